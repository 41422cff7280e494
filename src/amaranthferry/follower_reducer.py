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
    JOIN_TIMEOUT,
    MAX_BACKOFF,
    MAX_PENDING_REQUESTS,
    MIN_READ_INTERVAL,
    NEVER,
    TEMPORARY_WATCH_DURATION,
    VERSION_REQUEST_INTERVAL,
    WATCH_TIMEOUT,
    Follower,
    record_confirmation,
    request_newer_root,
    request_version,
    start_fetch,
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
    """Apply one event and return the effects to perform."""
    effects = _reduce(event, follower)
    effects += _run_due_actions(follower, event.now)
    return effects


@singledispatch
def _reduce(event: Event, follower: Follower) -> list[Effect]:
    return []


@_reduce.register
def _handle_tick(event: Ticked, follower: Follower) -> list[Effect]:
    if event.now < follower.timing.next_request_at or not follower.partners:
        return []
    follower.timing.next_request_at = event.now + VERSION_REQUEST_INTERVAL
    return [request_version(follower, _next_partner(follower), event.now)]


@_reduce.register
def _handle_peers_seen(event: PeersSeen, follower: Follower) -> list[Effect]:
    follower.set_peers(event.versions)
    newest_peer = max(
        follower.peers, key=lambda host: follower.peers[host], default=None
    )
    if newest_peer is None:
        return []
    return request_newer_root(
        follower, newest_peer, follower.peers[newest_peer], event.now
    )


@_reduce.register
def _handle_root_read(event: RootRead, follower: Follower) -> list[Effect]:
    timing = follower.timing
    follower.call_in_progress = False
    follower.platform_answered = True
    timing.backoff = MIN_READ_INTERVAL
    timing.next_read_at = event.requested_at + MIN_READ_INTERVAL
    follower.revision = max(follower.revision, event.revision)
    if event.value is None:
        record_confirmation(follower, event.requested_at)
        return []
    return start_fetch(
        follower, event.value, None, event.now, confirmed_at=event.requested_at
    )


@_reduce.register
def _handle_root_read_failure(
    event: RootReadFailed, follower: Follower
) -> list[Effect]:
    timing = follower.timing
    follower.call_in_progress = False
    timing.next_read_at = event.now + timing.backoff
    timing.backoff = min(2 * timing.backoff, MAX_BACKOFF)
    if not follower.is_ranked_watcher:
        return []
    if not follower.partners:
        return []
    return [SendToHost(host=_next_partner(follower), message=SettingsWatchRequest())]


@_reduce.register
def _handle_chunk_read(event: ChunkRead, follower: Follower) -> list[Effect]:
    if follower.fetch is None:
        return []
    if event.value is not None:
        follower.fetch.accept(event.digest, event.value)
    elif not follower.fetch.holders:
        # The platform has deleted the chunk, so there is a newer root to read.
        follower.fetch = None
        follower.revision = 0
        follower.timing.next_read_at = event.now + MAX_BACKOFF
    return []


@_reduce.register
def _handle_chunk_read_failure(
    event: ChunkReadFailed, follower: Follower
) -> list[Effect]:
    return []


@_reduce.register
def _handle_message(event: PeerReceived, follower: Follower) -> list[Effect]:
    return _receive(event.message, follower, event.sender, event.now)


@singledispatch
def _receive(
    message: Message, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    return []


@_receive.register
def _receive_version_request(
    message: SettingsVersionRequest, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    reply = SettingsVersionReply(follower.version, message.nonce)
    return [
        SendToHost(host=sender, message=reply),
        *request_newer_root(follower, sender, message.version, now),
    ]


@_receive.register
def _receive_version_reply(
    message: SettingsVersionReply, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    requested_at = follower.pending_requests.pop(message.nonce, None)
    if requested_at is None:
        return []
    follower.join_answered.add(sender)
    if message.version > follower.version:
        return request_newer_root(follower, sender, message.version, now)
    record_confirmation(follower, requested_at)
    if message.version < follower.version:
        notice = SettingsVersionNotice(follower.version)
        return [SendToHost(host=sender, message=notice)]
    return []


@_receive.register
def _receive_version_notice(
    message: SettingsVersionNotice, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    return request_newer_root(follower, sender, message.version, now)


@_receive.register
def _receive_watch_request(
    message: SettingsWatchRequest, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    follower.timing.temporary_watch_until = now + TEMPORARY_WATCH_DURATION
    return []


@_receive.register
def _receive_root_request(
    message: SettingsRootRequest, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    if follower.root is None:
        return []
    return [SendToHost(host=sender, message=SettingsRoot(follower.root_value))]


@_receive.register
def _receive_root(
    message: SettingsRoot, follower: Follower, sender: HostId, now: Seconds
) -> list[Effect]:
    return start_fetch(follower, message.value, sender, now, confirmed_at=NEVER)


@_receive.register
def _receive_chunk_request(
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
        fetch.remove_holder(sender)
        fetch.allow_retry(message.digest)
    return []


def _run_due_actions(follower: Follower, now: Seconds) -> list[Effect]:
    """Run the actions that may be due after any event."""
    effects: list[Effect] = []
    effects += _request_versions_to_join(follower, now)
    effects += _request_chunks(follower, now)
    effects += _finish_fetch(follower, now)
    effects += _call_platform(follower, now)
    _finish_joining(follower, now)
    return effects


def _request_versions_to_join(follower: Follower, now: Seconds) -> list[Effect]:
    if follower.joined or len(follower.join_requested) >= MAX_PENDING_REQUESTS:
        return []
    new_partners = [
        host for host in follower.partners if host not in follower.join_requested
    ]
    follower.join_requested.update(new_partners)
    return [request_version(follower, host, now) for host in new_partners]


def _finish_joining(follower: Follower, now: Seconds) -> None:
    """Join once the platform and the requested peers have answered, or on time-out."""
    if follower.joined or follower.root is None or follower.fetch is not None:
        return
    timed_out = now - follower.timing.started_at >= JOIN_TIMEOUT
    requested = bool(follower.join_requested) or not follower.expects_peers
    answered = follower.join_requested <= follower.join_answered
    sources_answered = requested and answered and follower.platform_answered
    follower.joined = timed_out or sources_answered


def _request_chunks(follower: Follower, now: Seconds) -> list[Effect]:
    fetch = follower.fetch
    if fetch is None:
        return []
    timed_out = now - follower.timing.started_at >= JOIN_TIMEOUT
    peers_known = bool(follower.peers) or not follower.expects_peers
    use_platform = follower.is_watcher(now) and (peers_known or timed_out)
    effects: list[Effect] = []
    for request in fetch.due_requests(now, use_platform=use_platform):
        digest = request.ref.digest
        if request.host is None:
            effects.append(ReadChunk(key=request.ref.key, digest=digest))
        else:
            effects.append(
                SendToHost(host=request.host, message=SettingsChunkRequest(digest))
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
        follower.rejected_version = root.version
        return [RejectRoot(version=root.version, reason=str(exc))]
    follower.root, follower.root_value = root, fetch.value
    follower.chunks, follower.deployment = fetch.chunks, deployment
    record_confirmation(follower, fetch.confirmed_at)
    follower.timing.next_request_at = now
    notice = SettingsVersionNotice(root.version)
    return [
        PutInForce(deployment=deployment, root=root),
        *(SendToHost(host=host, message=notice) for host in follower.partners),
    ]


def _next_partner(follower: Follower) -> HostId:
    follower.partner_index += 1
    return follower.partners[follower.partner_index % len(follower.partners)]


def _call_platform(follower: Follower, now: Seconds) -> list[Effect]:
    """Read the root once at the start, then watch it if this host is a watcher."""
    if follower.call_in_progress or now < follower.timing.next_read_at:
        return []
    if follower.platform_answered and follower.is_watcher(now):
        follower.call_in_progress = True
        return [WatchRoot(since=follower.revision, timeout=WATCH_TIMEOUT)]
    no_root = follower.root is None and follower.fetch is None
    if no_root or not follower.platform_answered and follower.is_watcher(now):
        follower.call_in_progress = True
        return [ReadRoot()]
    return []
