"""Hand requests and server signs to coordinators."""

from . import coordinator_reducer
from .coordinator import Coordinator
from .effects import Effect, SendToHost
from .events import Event, ServerStateSeen
from .messages import Registration
from .state import HostState
from .types import HostId, RequestState, ShardId


def replay_server_reports(state: HostState, coordinator: Coordinator) -> list[Effect]:
    """Tell a new coordinator what is known of its servers."""
    effects: list[Effect] = []
    for server, reports in state.server_reports.items():
        for source, reported in reports.items():
            event = ServerStateSeen(
                now=state.now, server=server, state=reported, source=source
            )
            effects += coordinator_reducer.reduce(coordinator, event)
    return effects


def register_all(state: HostState) -> list[Effect]:
    """Hand every request to its coordinator, so that lost messages are made good."""
    shards = {req.shard for req in state.requests.values() if req.shard}
    effects: list[Effect] = []
    for shard in sorted(shards | set(state.fallbacks)):
        effects += register_requests(state, shard, host=state.coordinator_of(shard))
    return effects


def register_requests(
    state: HostState, shard: ShardId, *, host: HostId | None = None
) -> list[Effect]:
    """Hand a shard's waiting and running requests to the host that is asked now."""
    waiting = []
    running = []
    target = host or state.permit_host(shard)
    # While this host falls back, the coordinator only learns of what runs.
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
    """Pass an event to every coordinator on this host."""
    effects: list[Effect] = []
    for coordinator in (*state.coordinators.values(), *state.fallbacks.values()):
        effects += coordinator_reducer.reduce(coordinator, event)
    return effects
