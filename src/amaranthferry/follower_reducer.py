"""Reduce the events of a host's settings follower to effects."""

from functools import singledispatch

from .effects import Effect, SendToHost
from .events import Event, PeerReceived, Ticked
from .exceptions import SettingsError
from .follower_events import (
    ChunkRead,
    ChunkReadFailed,
    PeersSeen,
    PutInForce,
    ReadChunk,
    ReadRoot,
    RejectRoot,
    RootRead,
    RootReadFailed,
    WatchRoot,
)
from .follower_state import (
    ASK_INTERVAL,
    JOIN_WAIT,
    MAX_BACKOFF,
    MAX_OPEN_ASKS,
    NEVER,
    RELIEF_SPAN,
    WATCH_GAP,
    WATCH_TIMEOUT,
    Follower,
    ask,
    confirm,
    offer,
    want,
)
from .messages import Message
from .settings_messages import (
    SettingsChunk,
    SettingsChunkRequest,
    SettingsRoot,
    SettingsRootRequest,
    SettingsVersionNotice,
    SettingsVersionReply,
    SettingsVersionRequest,
    SettingsWatchRequest,
)
from .types import HostId, Seconds


def reduce(follower: Follower, event: Event) -> list[Effect]:
    """Take one event and return the effects to carry out."""
    effects = _reduce(event, follower)
    effects += _settle(follower, event.now)
    return effects


@singledispatch
def _reduce(event: Event, follower: Follower) -> list[Effect]:
    return []


@_reduce.register
def _tick(event: Ticked, follower: Follower) -> list[Effect]:
    if event.now < follower.timing.next_ask_at or not follower.near:
        return []
    follower.timing.next_ask_at = event.now + ASK_INTERVAL
    return [ask(follower, _next_partner(follower), event.now)]


@_reduce.register
def _take_peers(event: PeersSeen, follower: Follower) -> list[Effect]:
    follower.set_peers(event.versions)
    newest = max(follower.peers, key=lambda host: follower.peers[host], default=None)
    if newest is None:
        return []
    return want(follower, newest, follower.peers[newest], event.now)


@_reduce.register
def _take_root_read(event: RootRead, follower: Follower) -> list[Effect]:
    timing = follower.timing
    follower.calling = False
    follower.platform_answered = True
    timing.backoff = WATCH_GAP
    timing.next_read_at = event.asked_at + WATCH_GAP
    follower.revision = max(follower.revision, event.revision)
    if event.value is None:
        confirm(follower, event.asked_at)
        return []
    return offer(follower, event.value, None, event.now, confirmed_at=event.asked_at)


@_reduce.register
def _take_root_failure(event: RootReadFailed, follower: Follower) -> list[Effect]:
    timing = follower.timing
    follower.calling = False
    timing.next_read_at = event.now + timing.backoff
    timing.backoff = min(2 * timing.backoff, MAX_BACKOFF)
    if not follower.is_chosen:
        return []
    if not follower.near:
        return []
    return [SendToHost(host=_next_partner(follower), message=SettingsWatchRequest())]


@_reduce.register
def _take_chunk_read(event: ChunkRead, follower: Follower) -> list[Effect]:
    if follower.fetch is None:
        return []
    if event.value is not None:
        follower.fetch.accept(event.digest, event.value)
    elif not follower.fetch.holders:
        # The platform deleted it, so that there is a newer root to read.
        follower.fetch = None
        follower.revision = 0
        follower.timing.next_read_at = event.now + MAX_BACKOFF
    return []


@_reduce.register
def _take_chunk_failure(event: ChunkReadFailed, follower: Follower) -> list[Effect]:
    return []


@_reduce.register
def _take_message(event: PeerReceived, follower: Follower) -> list[Effect]:
    return _receive(event.message, follower, event.sender, event.now)


@singledispatch
def _receive(
    message: Message, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    return []


@_receive.register
def _receive_ask(
    message: SettingsVersionRequest, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    tell = SettingsVersionReply(follower.version, message.nonce)
    return [
        SendToHost(host=sender, message=tell),
        *want(follower, sender, message.version, now),
    ]


@_receive.register
def _receive_tell(
    message: SettingsVersionReply, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    asked_at = follower.open_asks.pop(message.nonce, None)
    if asked_at is None:
        return []
    follower.join_answered.add(sender)
    if message.version > follower.version:
        return want(follower, sender, message.version, now)
    confirm(follower, asked_at)
    if message.version < follower.version:
        news = SettingsVersionNotice(follower.version)
        return [SendToHost(host=sender, message=news)]
    return []


@_receive.register
def _receive_news(
    message: SettingsVersionNotice, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    return want(follower, sender, message.version, now)


@_receive.register
def _receive_watch_ask(
    message: SettingsWatchRequest, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    follower.timing.relief_until = now + RELIEF_SPAN
    return []


@_receive.register
def _receive_root_ask(
    message: SettingsRootRequest, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    if follower.root is None:
        return []
    return [SendToHost(host=sender, message=SettingsRoot(follower.root_value))]


@_receive.register
def _receive_root(
    message: SettingsRoot, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    return offer(follower, message.value, sender, now, confirmed_at=NEVER)


@_receive.register
def _receive_chunk_ask(
    message: SettingsChunkRequest, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    value = follower.chunks.get(message.digest, b"")
    chunk = SettingsChunk(message.digest, value)
    return [SendToHost(host=sender, message=chunk)]


@_receive.register
def _receive_chunk(
    message: SettingsChunk, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    fetch = follower.fetch
    if fetch is None or fetch.accept(message.digest, message.value):
        return []
    if sender in fetch.holders:
        fetch.drop_holder(sender)
        fetch.release(message.digest)
    return []


def _settle(follower: Follower, now: Seconds) -> list[Effect]:
    """Do all that is due after any event."""
    effects: list[Effect] = []
    effects += _ask_joining(follower, now)
    effects += _fetch_more(follower, now)
    effects += _finish_fetch(follower, now)
    effects += _call_platform(follower, now)
    _finish_joining(follower, now)
    return effects


def _ask_joining(follower: Follower, now: Seconds) -> list[Effect]:
    if follower.joined or len(follower.join_asked) >= MAX_OPEN_ASKS:
        return []
    fresh = [host for host in follower.near if host not in follower.join_asked]
    follower.join_asked.update(fresh)
    return [ask(follower, host, now) for host in fresh]


def _finish_joining(follower: Follower, now: Seconds) -> None:
    """Join once the platform and some peers could tell of the newest version."""
    if follower.joined or follower.root is None or follower.fetch is not None:
        return
    waited = now - follower.timing.started_at >= JOIN_WAIT
    asked = bool(follower.join_asked) or not follower.expects_peers
    answered = follower.join_asked <= follower.join_answered
    heard = asked and answered and follower.platform_answered
    follower.joined = waited or heard


def _fetch_more(follower: Follower, now: Seconds) -> list[Effect]:
    fetch = follower.fetch
    if fetch is None:
        return []
    waited = now - follower.timing.started_at >= JOIN_WAIT
    knows_peers = bool(follower.peers) or not follower.expects_peers
    use_platform = follower.is_watcher(now) and (knows_peers or waited)
    effects: list[Effect] = []
    for due in fetch.next_asks(now, use_platform=use_platform):
        digest = due.ref.digest
        if due.host is None:
            effects.append(ReadChunk(key=due.ref.key, digest=digest))
        else:
            effects.append(
                SendToHost(host=due.host, message=SettingsChunkRequest(digest))
            )
    return effects


def _finish_fetch(follower: Follower, now: Seconds) -> list[Effect]:
    fetch = follower.fetch
    if fetch is None or not fetch.complete:
        return []
    follower.fetch = None
    root = fetch.root
    try:
        deployment = follower.assembler.assemble(root, fetch.chunks)
    except SettingsError as exc:
        follower.rejected = root.version
        return [RejectRoot(version=root.version, reason=str(exc))]
    follower.root, follower.root_value = root, fetch.value
    follower.chunks, follower.deployment = fetch.chunks, deployment
    confirm(follower, fetch.confirmed_at)
    follower.timing.next_ask_at = now
    news = SettingsVersionNotice(root.version)
    return [
        PutInForce(deployment=deployment, root=root),
        *(SendToHost(host=host, message=news) for host in follower.near),
    ]


def _next_partner(follower: Follower) -> HostId:
    follower.turn += 1
    return follower.near[follower.turn % len(follower.near)]


def _call_platform(follower: Follower, now: Seconds) -> list[Effect]:
    """Read the root once at the start, then watch it if chosen to."""
    if follower.calling or now < follower.timing.next_read_at:
        return []
    if follower.platform_answered and follower.is_watcher(now):
        follower.calling = True
        return [WatchRoot(since=follower.revision, timeout=WATCH_TIMEOUT)]
    nothing_known = follower.root is None and follower.fetch is None
    if nothing_known or not follower.platform_answered and follower.is_watcher(now):
        follower.calling = True
        return [ReadRoot()]
    return []
