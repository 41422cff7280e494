"""Have others decide permits while a shard's coordinator doesn't answer.

This is for coordinators that are gone, cut off or too slow. A host turns to the shard's
successor, where all hosts that don't reach the coordinator meet, or to the one after it,
and decides for itself only if none of them answers. None uses more than the slots that
belong to the hosts it decides for, and the hosts return one after the other.
"""

import math

import xxhash

from .coordinator import Coordinator, notice_interval
from .effects import (
    CountMetric,
    Effect,
    ReportFallbackEnd,
    ReportFallbackStart,
    SendToHost,
)
from .events import PeerLost
from .messages import UsageElsewhere
from .reducer import apply_event
from .registration import register_requests, replay_server_reports
from .requests import Request
from .shards import pool_of
from .slot_shares import SlotShares
from .state import COORDINATOR_TIMEOUT as COORDINATOR_TIMEOUT
from .state import Absence, HostState
from .types import FallbackCause, HostId, RequestState, Seconds, ShardId

#: Queue notices that may be lost or late before a decider counts as not answering.
MISSED_NOTICES = 3.5
#: Time between two ticks of a host above which it is late itself.
LATE_TICK: Seconds = 0.15
#: Shortest time for which a host stays with another decider, and the longest; it
#: doubles while the coordinator stops answering again and again.
MIN_ABSENCE: Seconds = 0.5
MAX_ABSENCE: Seconds = 4.0
#: Time with the coordinator after which the shortest time applies again.
STABLE_TIME: Seconds = 10.0
#: Stand-ins that a host asks, one after the other, before it decides by itself.
MAX_STAND_INS = 3


def check_coordinators(state: HostState, since_tick: Seconds) -> list[Effect]:
    """Turn from deciders that don't answer, and return to coordinators that do.

    After a late tick of this host, messages may have come that it has yet to read.
    """
    own_delay = since_tick if since_tick > LATE_TICK else 0.0
    overdue = {
        req.shard
        for req in state.requests.values()
        if req.state is RequestState.WAITING
        and req.permit_host == state.permit_host(req.shard)
        and _is_unanswered(state, req, own_delay)
    }
    effects: list[Effect] = []
    for shard in sorted(overdue):
        silent = _silence(state, state.permit_host(shard))
        cause = FallbackCause.COORDINATOR_SILENT
        effects += turn_away(state, shard, cause=cause, silent=silent)
    return effects + _return_to_coordinators(state)


def _is_unanswered(state: HostState, req: Request, own_delay: Seconds) -> bool:
    if req.permit_host is None or req.permit_host == state.host:
        return False
    last_received = state.last_received.get(req.permit_host, 0.0)
    since = max(last_received, req.requested_at, req.moved_at, state.resumed_at)
    return state.now - since - own_delay >= _silence_limit(state, req.shard)


def _silence_limit(state: HostState, shard: ShardId) -> Seconds:
    """Return the time without a message after which a decider isn't waited for."""
    rules = state.deployment.rules_of(pool_of(shard))
    if rules.notice_interval <= 0:
        return state.coordinator_timeout
    interval = notice_interval(rules, len(state.hosts))
    return max(state.coordinator_timeout, MISSED_NOTICES * interval)


def _silence(state: HostState, host: HostId) -> Seconds | None:
    """Return the time since the last message of a host, if any."""
    last_received = state.last_received.get(host)
    return None if last_received is None else state.now - last_received


def _waiting(state: HostState, shard: ShardId) -> int:
    return sum(
        req.shard == shard and req.state is RequestState.WAITING
        for req in state.requests.values()
    )


def turn_away(
    state: HostState, shard: ShardId, *, cause: FallbackCause, silent: Seconds | None
) -> list[Effect]:
    """Have the next decider decide on a shard's requests, and report it."""
    if shard in state.fallbacks:
        return []
    waiting, left = _waiting(state, shard), state.permit_host(shard)
    effects = _turn_away(state, shard, left)
    report = ReportFallbackStart(
        shard=shard,
        coordinator=left,
        decider=state.permit_host(shard),
        cause=cause,
        silent=silent,
        waiting=waiting,
    )
    return [report, *effects]


def _turn_away(state: HostState, shard: ShardId, left: HostId) -> list[Effect]:
    absence = state.absences.get(shard)
    if absence is None or absence.ended is not None:
        absence = state.absences[shard] = _begin_absence(state, absence)
    absence.silent |= {left, state.coordinator_of(shard)}
    stand_in = state.decider_without(shard, absence.silent)
    if stand_in is not None and len(absence.silent) <= MAX_STAND_INS:
        state.stand_ins[shard] = stand_in
        counted = CountMetric(name="coordinator.stand_ins")
        return [counted, *register_requests(state, shard)]
    state.stand_ins.pop(shard, None)
    return _start_fallback(state, shard)


def _begin_absence(state: HostState, last: Absence | None) -> Absence:
    """Record that a coordinator stops answering, perhaps not for the first time."""
    minimum = MIN_ABSENCE
    if last is not None and last.ended is not None:
        stable = state.now - last.ended >= STABLE_TIME
        minimum = minimum if stable else min(MAX_ABSENCE, 2 * last.minimum)
    return Absence(began=state.now, minimum=minimum)


def _start_fallback(state: HostState, shard: ShardId) -> list[Effect]:
    """Start deciding a shard's permits here, on this host's own slots."""
    shares = SlotShares(shard, state.hosts)
    shares.record_reliance(state.host, math.inf)
    fallback = Coordinator.from_config(
        state.deployment, shard, now=state.now, hosts=(state.host,)
    )
    fallback.stand_in(shares)
    fallback.harm = state.harm
    fallback.server_rates = state.server_rates
    fallback.recent_hosts = state.recent_hosts()
    state.fallbacks[shard] = fallback
    effects = replay_server_reports(state, fallback)
    effects.append(CountMetric(name="coordinator.fallbacks"))
    return effects + register_requests(state, shard)


def _return_to_coordinators(state: HostState) -> list[Effect]:
    effects: list[Effect] = []
    for shard, absence in state.absences.items():
        if absence.ended is None and _may_return(state, shard, absence):
            effects += end_absence(state, shard)
    return effects


def end_absence(state: HostState, shard: ShardId) -> list[Effect]:
    """Have a shard's coordinator decide again."""
    absence = state.absences.get(shard)
    if absence is None or absence.ended is not None:
        return []
    absence.ended = state.now
    left = state.permit_host(shard)
    state.fallbacks.pop(shard, None)
    state.stand_ins.pop(shard, None)
    report = ReportFallbackEnd(
        shard=shard,
        coordinator=state.coordinator_of(shard),
        lasted=state.now - absence.began,
        waiting=_waiting(state, shard),
    )
    if left == state.coordinator_of(shard):
        return [report]
    effects = [report, *register_requests(state, shard)]
    effects += _report_usage(state, shard)
    if left != state.host:
        # The other decider drops the requests that it still has waiting.
        effects += register_requests(state, shard, host=left)
    return effects


def _report_usage(state: HostState, shard: ShardId) -> list[Effect]:
    """Tell a shard's coordinator of the usage that others have granted meanwhile."""
    record = state.usage_elsewhere.pop(shard, None)
    usage = dict(record.usage(state.now)) if record is not None else {}
    if not usage:
        return []
    message = UsageElsewhere(shard, usage)
    return [SendToHost(host=state.coordinator_of(shard), message=message)]


def _may_return(state: HostState, shard: ShardId, absence: Absence) -> bool:
    coordinator = state.coordinator_of(shard)
    if coordinator in (state.host, state.stand_ins.get(shard)):
        return True
    # Hosts differ in this, so that they don't all return in the same moment.
    digest = xxhash.xxh32_intdigest(f"{shard}\0{state.host}".encode())
    least = absence.minimum * (1.0 + digest / 2**32)
    if state.now - absence.began < least:
        return False
    last_received = state.last_received.get(coordinator, -math.inf)
    return state.now - last_received < _silence_limit(state, shard)


@apply_event.register
def _(event: PeerLost, state: HostState) -> list[Effect]:
    silent = _silence(state, event.host)
    state.last_received.pop(event.host, None)
    shards = {
        req.shard
        for req in state.requests.values()
        if req.permit_host == event.host
        and req.state is RequestState.WAITING
        and event.host == state.permit_host(req.shard)
    }
    effects: list[Effect] = []
    for shard in sorted(shards):
        cause = FallbackCause.CONNECTION_LOST
        effects += turn_away(state, shard, cause=cause, silent=silent)
    return effects
