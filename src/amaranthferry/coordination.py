"""Run the coordinators of this host, and apply host, server and settings changes."""

import xxhash

from . import coordinator_reducer
from .contention.sharing import (
    apply_advert,
    begin_by_registration,
    check_shared_orders,
    tell_joined,
)
from .coordinator import Coordinator
from .deploying import apply_deployment
from .effects import Effect, SendToHost
from .entry import expire
from .events import (
    CacheEventSeen,
    DrainStarted,
    FreshnessChanged,
    LoadReported,
    MembersChanged,
    OrderDrainSeen,
    PeerReceived,
    ServerStateSeen,
    SettingsApplied,
    Ticked,
)
from .fallback import check_coordinators, end_absence
from .harm.updates import ask_others, check_answers, exchange_records
from .messages import (
    CoordinatorLeaving,
    PermitProgress,
    PermitRelease,
    PermitRequest,
    PermitWithdraw,
    Registration,
    ServerNotice,
    ShardAdvert,
    UsageElsewhere,
)
from .reducer import apply_event, receive_message
from .registration import (
    notify_coordinators,
    register_all,
    register_requests,
    replay_server_reports,
)
from .server_signals import end_hold_offs, learn_limits, tell_joined_hosts, tell_limits
from .shards import pool_of
from .slot_shares import SlotShares
from .state import HostState
from .types import HostId, Seconds, ServerId, ServerState, ServerStateSource, ShardId

REGISTRATION_PERIOD: Seconds = 5.0
ORDER_DRAIN_TIMEOUT: Seconds = 5.0
#: Interval between two ticks above which this host is assumed to have been suspended.
PAUSE_THRESHOLD: Seconds = 1.5


@receive_message.register(PermitRequest)
@receive_message.register(Registration)
def _(
    message: PermitRequest | Registration, event: PeerReceived, state: HostState
) -> list[Effect]:
    local = event.sender == state.host
    if local and message.shard in state.fallbacks:
        return coordinator_reducer.reduce(state.fallbacks[message.shard], event)
    coordinator, effects = _open_coordinator(state, message.shard)
    if isinstance(message, Registration):
        effects += learn_limits(state, message.limits)
        if message.filling:
            effects += begin_by_registration(state, message.shard)
    return effects + coordinator_reducer.reduce(coordinator, event)


@receive_message.register(PermitWithdraw)
@receive_message.register(PermitProgress)
@receive_message.register(UsageElsewhere)
@receive_message.register(PermitRelease)
def _(
    message: PermitWithdraw | PermitProgress | PermitRelease | UsageElsewhere,
    event: PeerReceived,
    state: HostState,
) -> list[Effect]:
    effects: list[Effect] = []
    if event.sender == state.host and message.shard in state.fallbacks:
        effects += coordinator_reducer.reduce(state.fallbacks[message.shard], event)
    if message.shard in state.coordinators:
        effects += coordinator_reducer.reduce(state.coordinators[message.shard], event)
    return effects


def _open_coordinator(
    state: HostState, shard: ShardId
) -> tuple[Coordinator, list[Effect]]:
    if shard in state.coordinators:
        return state.coordinators[shard], []
    coordinator = Coordinator.from_config(
        state.deployment, shard, now=state.now, hosts=state.hosts
    )
    coordinator.coordinator = state.host
    if state.coordinator_of(shard) == state.host:
        coordinator.makes_trials = _makes_trials(state, shard)
    else:
        coordinator.stand_in(SlotShares(shard, state.hosts))
    coordinator.harm = state.harm
    coordinator.server_rates = state.server_rates
    coordinator.recent_hosts = state.recent_hosts()
    state.coordinators[shard] = coordinator
    return coordinator, replay_server_reports(state, coordinator)


def _makes_trials(state: HostState, shard: ShardId) -> bool:
    """Return whether a shard's coordinator here is the one of its pool to make trials."""
    first = state.shards_of(pool_of(shard))[0]
    return shard == first and state.trial_host(shard) == state.host


@receive_message.register
def _(message: ShardAdvert, event: PeerReceived, state: HostState) -> list[Effect]:
    state.waits[message.shard] = message.waits
    return apply_advert(state, message, event.sender)


@receive_message.register
def _(
    message: CoordinatorLeaving, event: PeerReceived, state: HostState
) -> list[Effect]:
    if message.host in state.draining_hosts:
        return []
    return _set_members(state, state.hosts, (*state.draining_hosts, message.host))


@receive_message.register
def _(message: ServerNotice, event: PeerReceived, state: HostState) -> list[Effect]:
    return record_server_state(state, message.server, message.state, message.source)


@apply_event.register
def _(event: Ticked, state: HostState) -> list[Effect]:
    since_tick = 0.0 if state.ticked_at is None else state.now - state.ticked_at
    state.ticked_at = state.now
    effects = expire(state) + _expire_order_drains(state) + end_hold_offs(state)
    effects += tell_limits(state) + check_shared_orders(state)
    if state.lost_hosts:
        _update_recent_hosts(state)
    for coordinator in list(state.coordinators.values()):
        effects += coordinator_reducer.reduce(coordinator, event)
    for fallback in list(state.fallbacks.values()):
        effects += coordinator_reducer.reduce(fallback, event)
    _close_unused(state)
    effects += check_coordinators(state, since_tick) + exchange_records(state)
    effects += check_answers(state)
    period = int((state.now + _registration_phase(state.host)) / REGISTRATION_PERIOD)
    if period != state.registration_period:
        state.registration_period = period
        effects += register_all(state)
    return effects


def _update_recent_hosts(state: HostState) -> None:
    """Tell the deciders on this host which hosts share limits."""
    recent = state.recent_hosts()
    for decider in (*state.coordinators.values(), *state.fallbacks.values()):
        decider.recent_hosts = recent


def _registration_phase(host: HostId) -> Seconds:
    """Return a host's part of the period, since hosts often start together."""
    digest = xxhash.xxh32_intdigest(f"registration\0{host}".encode())
    return REGISTRATION_PERIOD * digest / 2**32


def _close_unused(state: HostState) -> None:
    """Drop what this host decided for others that have all returned."""
    for shard, coordinator in list(state.coordinators.items()):
        if coordinator.is_unused:
            del state.coordinators[shard]


def reset_after_pause(state: HostState, now: Seconds) -> None:
    """Discard what this host decided and was granted before it was suspended.

    Hosts that received no reply have decided permits elsewhere meanwhile, so the counts
    of running requests are wrong; hosts register their requests again on contact.
    """
    if state.ticked_at is None or now - state.ticked_at <= PAUSE_THRESHOLD:
        return
    state.coordinators.clear()
    state.ticked_at = state.resumed_at = now


@apply_event.register
def _(event: MembersChanged, state: HostState) -> list[Effect]:
    return _set_members(state, event.hosts, event.draining, event.capacities)


def _set_members(
    state: HostState,
    hosts: tuple[HostId, ...],
    draining: tuple[HostId, ...],
    capacities: dict[HostId, float] | None = None,
) -> list[Effect]:
    before = state.coordinator_hosts()
    added = set(hosts).difference(state.hosts)
    state.replace_hosts(hosts, draining, capacities)
    after = state.coordinator_hosts()
    _move_roles(state, after)
    effects = ask_others(state) + tell_joined_hosts(state, added)
    if added:
        tell_joined(state)
    changed = MembersChanged(now=state.now, hosts=hosts, draining=draining)
    for coordinator in state.coordinators.values():
        effects += coordinator_reducer.reduce(coordinator, changed)
    for fallback in state.fallbacks.values():
        fallback.replace_sharing_hosts(hosts)
    _update_recent_hosts(state)
    for shard, host in after.items():
        if before.get(shard) != host:
            shared = shard in state.shared_orders
            effects += end_absence(state, shard) or register_requests(
                state, shard, filling=shared
            )
    return effects


def _move_roles(state: HostState, coordinators: dict[ShardId, HostId]) -> None:
    """Drop the roles that other hosts have now, and take those that are this host's."""
    for shard, coordinator in list(state.coordinators.items()):
        if coordinators.get(shard) == state.host:
            coordinator.take_role(state.now, recent_hosts=state.recent_hosts())
            coordinator.makes_trials = _makes_trials(state, shard)
        elif coordinator.has_role or shard not in coordinators:
            del state.coordinators[shard]


@apply_event.register
def _(event: ServerStateSeen, state: HostState) -> list[Effect]:
    known = state.server_reports.get(event.server, {}).get(event.source)
    effects = record_server_state(state, event.server, event.state, event.source)
    if known is event.state:
        return effects
    notice = ServerNotice(server=event.server, state=event.state, source=event.source)
    others = [host for host in state.hosts if host != state.host]
    return effects + [SendToHost(host=host, message=notice) for host in others]


def record_server_state(
    state: HostState, server: ServerId, reported: ServerState, source: ServerStateSource
) -> list[Effect]:
    """Record a server's reported state and apply it to this host's coordinators."""
    state.server_reports.setdefault(server, {})[source] = reported
    if source is ServerStateSource.ORDER:
        state.order_drains.pop(server, None)
        if reported is not ServerState.LIVE:
            state.order_drains[server] = state.now
    event = ServerStateSeen(now=state.now, server=server, state=reported, source=source)
    return notify_coordinators(state, event)


@apply_event.register
def _(event: OrderDrainSeen, state: HostState) -> list[Effect]:
    source = ServerStateSource.ORDER
    effects = record_server_state(state, event.server, event.state, source)
    notice = ServerNotice(server=event.server, state=event.state, source=source)
    hosts = state.deciding_hosts(event.server)
    return effects + [SendToHost(host=host, message=notice) for host in hosts]


def _expire_order_drains(state: HostState) -> list[Effect]:
    effects: list[Effect] = []
    for server, seen in list(state.order_drains.items()):
        if state.now - seen >= ORDER_DRAIN_TIMEOUT:
            effects += record_server_state(
                state, server, ServerState.LIVE, ServerStateSource.ORDER
            )
    return effects


@apply_event.register(LoadReported)
@apply_event.register(CacheEventSeen)
def _(event: LoadReported | CacheEventSeen, state: HostState) -> list[Effect]:
    return notify_coordinators(state, event)


@apply_event.register
def _(event: SettingsApplied, state: HostState) -> list[Effect]:
    if event.deployment.version < state.deployment.version:
        return []
    return apply_deployment(state, event.deployment)


@apply_event.register
def _(event: FreshnessChanged, state: HostState) -> list[Effect]:
    state.settings_current = event.current
    return []


@apply_event.register
def _(event: DrainStarted, state: HostState) -> list[Effect]:
    state.draining = event.refuse_new
    others = [host for host in state.hosts if host != state.host]
    leaving = CoordinatorLeaving(host=state.host)
    effects: list[Effect] = [SendToHost(host=host, message=leaving) for host in others]
    draining = (*state.draining_hosts, state.host)
    return effects + _set_members(state, state.hosts, draining)
