"""Apply what servers say of themselves in their answers."""

from collections.abc import Collection

from .deploying import apply_deployment
from .effects import Effect, ReportSignal, SendToHost
from .events import (
    PeerReceived,
    ServerHoldOffSeen,
    ServerLeavingSeen,
    ServerLimitSeen,
)
from .fan_out import children
from .hold_off import spread_end
from .limits.server_rates import ServerRate
from .limits.turns import owner_of
from .messages import LeavingNotice, LimitNotice, LimitWord, ServerIncarnation
from .reducer import apply_event, receive_message
from .state import HostState
from .types import HostId, Seconds, ServerSignal

#: Shortest time between two notices of a host about the limit of one server.
LIMIT_NOTICE_PERIOD: Seconds = 1.0


@apply_event.register
def _(event: ServerLeavingSeen, state: HostState) -> list[Effect]:
    return _learn_leaving(state, event.incarnation, origin=state.host, age=0.0)


@receive_message.register
def _(message: LeavingNotice, event: PeerReceived, state: HostState) -> list[Effect]:
    return _learn_leaving(
        state, message.incarnation, origin=message.origin, age=message.age
    )


@apply_event.register
def _(event: ServerHoldOffSeen, state: HostState) -> list[Effect]:
    incarnation = event.incarnation
    until = spread_end(state.host, incarnation.server, event.duration, state.now)
    if event.duration <= 0 or until <= state.hold_offs.get(incarnation, 0.0):
        return []
    state.hold_offs[incarnation] = until
    return [
        ReportSignal(
            signal=ServerSignal.HELD_OFF,
            incarnation=incarnation,
            source=state.host,
            duration=until - state.now,
        )
    ]


def end_hold_offs(state: HostState) -> list[Effect]:
    """Forget the hold-offs that have ended."""
    ended = [item for item, until in state.hold_offs.items() if until <= state.now]
    for incarnation in ended:
        del state.hold_offs[incarnation]
    return [
        ReportSignal(
            signal=ServerSignal.HOLD_OFF_ENDED,
            incarnation=incarnation,
            source=state.host,
        )
        for incarnation in ended
    ]


def _learn_leaving(
    state: HostState, incarnation: ServerIncarnation, *, origin: HostId, age: Seconds
) -> list[Effect]:
    """Stop new work for a leaving server here, and forward the news once."""
    if incarnation in state.leaving:
        return []
    forgotten = state.leaving.add(incarnation, state.now - age)
    effects: list[Effect] = [
        ReportSignal(
            signal=ServerSignal.LEAVING, incarnation=incarnation, source=origin, age=age
        )
    ]
    if forgotten is not None:
        effects.append(
            ReportSignal(
                signal=ServerSignal.LEAVING_FORGOTTEN,
                incarnation=forgotten,
                source=state.host,
            )
        )
    hosts = set(children(state.host, origin, state.hosts))
    if origin == state.host:
        hosts.update(state.deciding_hosts(incarnation.server))
    notice = LeavingNotice(incarnation, origin, age)
    effects += [SendToHost(host=host, message=notice) for host in sorted(hosts)]
    return effects + apply_deployment(state, state.deployment)


@apply_event.register
def _(event: ServerLimitSeen, state: HostState) -> list[Effect]:
    news = ServerRate(
        rate=event.rate,
        since=state.now,
        seen_at=state.now,
        sent_at=event.sent_at,
        source=state.host,
    )
    return _learn_limit(state, event.incarnation, news, origin=state.host)


@receive_message.register
def _(message: LimitNotice, event: PeerReceived, state: HostState) -> list[Effect]:
    incarnation = message.word.incarnation
    news = ServerRate.from_word(message.word, state.now)
    # Others that have heard the same as the sender are corrected by this host.
    origin = message.origin or state.host
    effects = _learn_limit(state, incarnation, news, origin=origin)
    if message.origin and state.server_rates.knows_better(incarnation, news):
        correction = LimitNotice(_word(state, incarnation))
        effects.append(SendToHost(host=event.sender, message=correction))
    return effects


def learn_limits(state: HostState, words: tuple[LimitWord, ...]) -> list[Effect]:
    """Learn the limits that another host knows of."""
    effects: list[Effect] = []
    for word in words:
        news = ServerRate.from_word(word, state.now)
        effects += _learn_limit(state, word.incarnation, news, origin=state.host)
    return effects


def tell_joined_hosts(state: HostState, added: Collection[HostId]) -> list[Effect]:
    """Tell hosts that have joined of the limits in force; one host tells each."""
    others = set(state.hosts).difference(added)
    limits = list(state.server_rates.in_force())
    if not limits or state.host not in others:
        return []
    return [
        SendToHost(host=host, message=LimitNotice(known.word(incarnation, state.now)))
        for host in sorted(added)
        if owner_of(f"joined {host}", 0, others) == state.host
        for incarnation, known in limits
    ]


def _learn_limit(
    state: HostState,
    incarnation: ServerIncarnation,
    news: ServerRate,
    *,
    origin: HostId,
) -> list[Effect]:
    """Keep what a server says of its limit, and tell others of a change."""
    before = state.server_rates.get(incarnation)
    if not state.server_rates.learn(incarnation, news):
        return []
    ended = news.rate is None
    report = ReportSignal(
        signal=ServerSignal.LIMIT_ENDED if ended else ServerSignal.LIMITED,
        incarnation=incarnation,
        source=news.source,
        age=state.now - news.seen_at,
        duration=0.0 if before is None else news.seen_at - before.since,
        rate=news.rate,
        before=None if before is None else before.rate,
    )
    return [report, *_tell_limit(state, incarnation, origin)]


def _tell_limit(
    state: HostState, incarnation: ServerIncarnation, origin: HostId
) -> list[Effect]:
    """Forward what is known of a server's limit, now or once the period has passed."""
    if state.now < state.limits_told_at.get(incarnation, -LIMIT_NOTICE_PERIOD) + (
        LIMIT_NOTICE_PERIOD
    ):
        state.untold_limits.add(incarnation)
        return []
    state.limits_told_at[incarnation] = state.now
    hosts = set(children(state.host, origin, state.hosts))
    if origin == state.host:
        hosts.update(state.deciding_hosts(incarnation.server))
    notice = LimitNotice(_word(state, incarnation), origin)
    return [SendToHost(host=host, message=notice) for host in sorted(hosts)]


def tell_limits(state: HostState) -> list[Effect]:
    """Tell others of changes that came too soon after the ones before."""
    if not state.limits_told_at:
        return []
    since = state.now - LIMIT_NOTICE_PERIOD
    for incarnation, told_at in list(state.limits_told_at.items()):
        if told_at <= since:
            del state.limits_told_at[incarnation]
    due = sorted(
        (item for item in state.untold_limits if item not in state.limits_told_at),
        key=lambda item: item.server,
    )
    state.untold_limits.difference_update(due)
    effects: list[Effect] = []
    for incarnation in due:
        effects += _tell_limit(state, incarnation, state.host)
    return effects


def _word(state: HostState, incarnation: ServerIncarnation) -> LimitWord:
    known = state.server_rates.get(incarnation)
    assert known is not None
    return known.word(incarnation, state.now)
