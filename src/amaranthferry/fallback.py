"""Decide permits locally while a shard's coordinator is unreachable."""

import math

import msgspec

from . import coordinator_reducer
from .config import Deployment
from .coordinator import Coordinator
from .effects import (
    CountMetric,
    Effect,
    ReportFallbackEnd,
    ReportFallbackStart,
)
from .events import PeerLost, SettingsApplied
from .reducer import apply_event
from .registration import register_requests, replay_server_reports
from .requests import Request
from .state import COORDINATOR_TIMEOUT as COORDINATOR_TIMEOUT
from .state import HostState
from .types import FallbackCause, RequestState, Seconds, ShardId


def check_coordinators(state: HostState) -> list[Effect]:
    """Start fallbacks for unresponsive coordinators, and end those no longer needed."""
    overdue = {
        req.shard
        for req in state.requests.values()
        if req.state is RequestState.WAITING and _is_unanswered(state, req)
    }
    effects: list[Effect] = []
    for shard in sorted(overdue):
        silent = _silence(state, shard)
        cause = FallbackCause.COORDINATOR_SILENT
        effects += start_fallback(state, shard, cause=cause, silent=silent)
    return effects + _end_fallbacks(state)


def _is_unanswered(state: HostState, req: Request) -> bool:
    if req.permit_host is None or req.permit_host == state.host:
        return False
    last_received = max(state.last_received.get(req.permit_host, 0.0), req.requested_at)
    return state.now - last_received >= state.coordinator_timeout


def _silence(state: HostState, shard: ShardId) -> Seconds | None:
    """Return the time since the last message of a shard's coordinator, if any."""
    last_received = state.last_received.get(state.coordinator_of(shard))
    return None if last_received is None else state.now - last_received


def _waiting(state: HostState, shard: ShardId) -> int:
    return sum(
        req.shard == shard and req.state is RequestState.WAITING
        for req in state.requests.values()
    )


def start_fallback(
    state: HostState, shard: ShardId, *, cause: FallbackCause, silent: Seconds | None
) -> list[Effect]:
    """Start deciding a shard's permits here, within this host's share of each server."""
    if shard in state.fallbacks:
        return []
    report = ReportFallbackStart(
        shard=shard,
        coordinator=state.coordinator_of(shard),
        cause=cause,
        silent=silent,
        waiting=_waiting(state, shard),
    )
    share = _host_share(state.deployment, max(1, len(state.hosts)))
    fallback = Coordinator.from_config(share, shard, now=state.now, hosts=(state.host,))
    fallback.harmful_parts = state.harmful_parts
    state.fallbacks[shard] = fallback
    effects = [report, *replay_server_reports(state, fallback)]
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
            fallback = state.fallbacks.pop(shard)
            effects.append(
                ReportFallbackEnd(
                    shard=shard,
                    coordinator=coordinator,
                    lasted=state.now - fallback.started,
                    waiting=_waiting(state, shard),
                )
            )
            effects += register_requests(state, shard)
    return effects


@apply_event.register
def _(event: PeerLost, state: HostState) -> list[Effect]:
    last_received = state.last_received.pop(event.host, None)
    silent = None if last_received is None else state.now - last_received
    shards = {
        req.shard
        for req in state.requests.values()
        if req.permit_host == event.host and req.state is RequestState.WAITING
    }
    effects: list[Effect] = []
    for shard in sorted(shards):
        cause = FallbackCause.CONNECTION_LOST
        effects += start_fallback(state, shard, cause=cause, silent=silent)
    return effects
