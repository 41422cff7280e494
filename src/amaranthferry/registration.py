"""Register requests and server states with coordinators."""

from . import coordinator_reducer
from .coordinator import Coordinator
from .effects import Effect, SendToHost
from .events import Event, ServerStateSeen
from .messages import Registration
from .state import HostState
from .types import HostId, RequestState, ShardId


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
    """Register every request with its coordinator, to recover from lost messages."""
    shards = {req.shard for req in state.requests.values() if req.shard}
    effects: list[Effect] = []
    for shard in sorted(shards | set(state.fallbacks)):
        hosts = (state.coordinator_of(shard), state.permit_host(shard))
        for host in dict.fromkeys(hosts):
            effects += register_requests(state, shard, host=host)
    return effects


def register_requests(
    state: HostState, shard: ShardId, *, host: HostId | None = None
) -> list[Effect]:
    """Register a shard's requests with a host, by default the one that decides now."""
    waiting = []
    running = []
    target = host or state.permit_host(shard)
    # During a fallback, only running requests are registered with the coordinator.
    is_deciding = target == state.permit_host(shard)
    for req in state.requests.values():
        if req.shard != shard:
            continue
        if req.is_running:
            running.append(req.running_work(state.now))
        elif req.state is RequestState.WAITING and is_deciding:
            req.permit_host = target
            waiting.append(req.permit_request(state.now))
    usage = state.usage.get(shard)
    message = Registration(
        shard=shard,
        waiting=tuple(waiting),
        running=tuple(running),
        quota_usage=dict(usage.usage(state.now)) if usage else {},
        usage_age=state.now - (state.started_at or state.now),
    )
    return [SendToHost(host=target, message=message)]


def notify_coordinators(state: HostState, event: Event) -> list[Effect]:
    """Apply an event to every coordinator on this host."""
    effects: list[Effect] = []
    for coordinator in (*state.coordinators.values(), *state.fallbacks.values()):
        effects += coordinator_reducer.reduce(coordinator, event)
    return effects
