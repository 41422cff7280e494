"""Decide permits locally while a shard's coordinator is unreachable."""

import math

import msgspec

from . import coordinator_reducer
from .config import Deployment
from .coordinator import Coordinator
from .effects import CountMetric, Effect
from .events import PeerLost, SettingsApplied
from .reducer import apply_event
from .registration import register_requests, replay_server_reports
from .requests import Request
from .state import COORDINATOR_TIMEOUT as COORDINATOR_TIMEOUT
from .state import HostState
from .types import RequestState, ShardId


def check_coordinators(state: HostState) -> list[Effect]:
    """Start fallbacks for unresponsive coordinators, and end those no longer needed."""
    overdue = {
        req.shard
        for req in state.requests.values()
        if req.state is RequestState.WAITING and _is_unanswered(state, req)
    }
    effects: list[Effect] = []
    for shard in sorted(overdue):
        effects += start_fallback(state, shard)
    return effects + _end_fallbacks(state)


def _is_unanswered(state: HostState, req: Request) -> bool:
    if req.permit_host is None or req.permit_host == state.host:
        return False
    last_received = max(state.last_received.get(req.permit_host, 0.0), req.requested_at)
    return state.now - last_received >= state.coordinator_timeout


def start_fallback(state: HostState, shard: ShardId) -> list[Effect]:
    """Start deciding a shard's permits here, within this host's share of each server."""
    if shard in state.fallbacks:
        return []
    share = _host_share(state.deployment, max(1, len(state.hosts)))
    fallback = Coordinator.from_config(share, shard, now=state.now, hosts=(state.host,))
    fallback.harmful_parts = state.harmful_parts
    state.fallbacks[shard] = fallback
    effects = replay_server_reports(state, fallback)
    effects.append(CountMetric(name="coordinator.fallbacks"))
    return effects + register_requests(state, shard)


def _host_share(deployment: Deployment, hosts: int) -> Deployment:
    servers = {
        name: msgspec.structs.replace(
            server,
            slots=max(1, server.slots // hosts),
            kv_tokens=math.ceil(server.kv_tokens / hosts),
        )
        for name, server in deployment.servers.items()
    }
    quotas = {
        workspace: quota.divide(hosts) for workspace, quota in deployment.quotas.items()
    }
    return msgspec.structs.replace(deployment, servers=servers, quotas=quotas)


def apply_to_fallbacks(state: HostState) -> list[Effect]:
    """Apply newer settings to the fallbacks, within this host's share."""
    share = _host_share(state.deployment, max(1, len(state.hosts)))
    applied = SettingsApplied(now=state.now, deployment=share)
    effects: list[Effect] = []
    for fallback in state.fallbacks.values():
        effects += coordinator_reducer.reduce(fallback, applied)
    return effects


def _end_fallbacks(state: HostState) -> list[Effect]:
    effects: list[Effect] = []
    for shard in list(state.fallbacks):
        coordinator = state.coordinator_of(shard)
        last_received = state.last_received.get(coordinator, -math.inf)
        reachable = state.now - last_received < state.coordinator_timeout
        if reachable or coordinator == state.host:
            del state.fallbacks[shard]
            effects += register_requests(state, shard)
    return effects


@apply_event.register
def _(event: PeerLost, state: HostState) -> list[Effect]:
    state.last_received.pop(event.host, None)
    shards = {
        req.shard
        for req in state.requests.values()
        if req.permit_host == event.host and req.state is RequestState.WAITING
    }
    effects: list[Effect] = []
    for shard in sorted(shards):
        effects += start_fallback(state, shard)
    return effects
