"""Register requests and server states with coordinators."""

from collections.abc import Iterable

from . import coordinator_reducer
from .coordinator import Coordinator
from .effects import Effect, SendToHost
from .events import Event, ServerStateSeen
from .messages import LimitWord, Registration
from .shards import pool_of
from .state import HostState
from .types import HostId, RequestState, ShardId

#: Registrations with a shard of which a host has no request any more: one may come too
#: early to count for a recent permit, and one may be lost.
LAST_REGISTRATIONS = 3


def replay_server_reports(state: HostState, coordinator: Coordinator) -> list[Effect]:
    """Apply the reported server states to a new coordinator."""
    effects: list[Effect] = []
    for server, reports in state.server_reports.items():
        for source, reported in reports.items():
            event = ServerStateSeen(
                now=state.now, server=server, state=reported, source=source
            )
            effects += coordinator_reducer.reduce(coordinator, event)
    return effects


def register_all(state: HostState) -> list[Effect]:
    """Register every request with its coordinator, to recover from lost messages.

    A host that has none any more says so too, since a release may have been lost.
    """
    shards = {req.shard for req in state.requests.values() if req.shard}
    shards |= _count_last_registrations(state, shards)
    effects: list[Effect] = []
    for shard in sorted(shards.union(state.fallbacks, state.stand_ins)):
        hosts = (state.coordinator_of(shard), state.permit_host(shard))
        for host in dict.fromkeys(hosts):
            effects += register_requests(state, shard, host=host)
    return effects


def _count_last_registrations(
    state: HostState, used: Iterable[ShardId]
) -> set[ShardId]:
    """Count one of the last registrations with each shard, and return these shards.

    Shards of which this host has a request are counted from the start.
    """
    left = state.registrations_left
    state.registrations_left = {shard: n - 1 for shard, n in left.items() if n > 1}
    state.registrations_left |= dict.fromkeys(used, LAST_REGISTRATIONS)
    return {shard for shard in left if shard in state.shards_of(pool_of(shard))}


def register_requests(
    state: HostState,
    shard: ShardId,
    *,
    host: HostId | None = None,
    filling: bool = False,
) -> list[Effect]:
    """Register a shard's requests with a host, by default the one that decides now."""
    waiting = []
    running = []
    target = host or state.permit_host(shard)
    # While another host decides, the coordinator hears of the work that it granted. It
    # would hold the slots of other work for as long as it is late to read its release.
    is_deciding = target == state.permit_host(shard)
    for req in state.requests.values():
        if req.shard != shard:
            continue
        if req.is_running and (is_deciding or req.permit_host == target):
            req.registered_with.add(target)
            running.append(req.running_work(state.now))
            if req.second_run is not None:
                running.append(req.second_work(req.second_run, state.now))
        elif req.state is RequestState.WAITING and is_deciding:
            if req.permit_host != target:
                req.permit_host, req.moved_at = target, state.now
            waiting.append(req.permit_request(state.now))
    usage = state.usage.get(shard)
    message = Registration(
        shard=shard,
        waiting=tuple(waiting),
        running=tuple(running),
        quota_usage=dict(usage.usage(state.now)) if usage else {},
        usage_age=state.now - (state.started_at or state.now),
        limits=_limits_of(state, shard),
        filling=filling,
    )
    return [SendToHost(host=target, message=message)]


def _limits_of(state: HostState, shard: ShardId) -> tuple[LimitWord, ...]:
    """Return the limits that servers of a shard's pool have named."""
    if not state.server_rates:
        return ()
    pool, servers = pool_of(shard), state.deployment.servers
    return tuple(
        known.word(incarnation, state.now)
        for incarnation, known in state.server_rates.in_force()
        if incarnation.server in servers and servers[incarnation.server].pool == pool
    )


def notify_coordinators(state: HostState, event: Event) -> list[Effect]:
    """Apply an event to every coordinator on this host."""
    effects: list[Effect] = []
    for coordinator in (*state.coordinators.values(), *state.fallbacks.values()):
        effects += coordinator_reducer.reduce(coordinator, event)
    return effects
