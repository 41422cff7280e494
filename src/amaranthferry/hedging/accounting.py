"""Account for second runs in an entry host's reducer.

A request has one run that its state describes, and at most one second run beside it. The
shell swaps the two before the second one becomes the only run or its answer counts, so
that all else in the reducer handles a request with one run.
"""

import msgspec

from ..coordinator import Coordinator
from ..effects import CountMetric, Effect, HedgeDispatch, SendToHost
from ..events import HedgeEnded, HedgeWanted, RunsSwapped
from ..harm.updates import accuse, acquit_request
from ..messages import PermitRelease
from ..reducer import apply_event
from ..requests import Request, SecondRun
from ..retry import RepeatBudget
from ..servers import Permit
from ..state import HostState
from ..types import RequestId, Seconds, ServerId
from ..wait_queue import Rank, Waiter
from .decision import Reason

#: Repeats that stay for failed runs where the budget can hold more than one.
RESERVED_REPEATS = 1.0


def may_hedge(state: HostState, req: Request) -> bool:
    """Return whether the guarantees allow a second run beside the current one.

    It reaches one more server, so the attempts left have to cover both.
    """
    arrival = req.arrival
    return (
        req.is_running
        and req.second_run is None
        and arrival.repeatable
        and not arrival.idempotency_key
        and not req.work_class.never_repeated
        and not req.caller_gone
        and len(req.tried_servers) + 2 <= arrival.max_attempts
        and state.now < req.deadline
        and state.is_decided_locally(req.shard)
    )


def other_servers(state: HostState, req: Request) -> tuple[ServerId, ...]:
    """Return the servers of a request's service that have not had it."""
    tried = {*req.tried_servers, req.server}
    return tuple(
        name
        for name, cfg in state.deployment.servers.items()
        if cfg.pool == req.arrival.pool
        and name not in tried
        and name not in state.deployment.drained
    )


@apply_event.register
def _(event: HedgeWanted, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is None or not may_hedge(state, req):
        return []
    coordinator = state.coordinators.get(req.shard)
    server = None
    if coordinator is not None and not state.draining:
        server = _choose(state, coordinator, req, event.avoid)
    if coordinator is None or server is None:
        return [_denied(Reason.NO_SERVER)]
    if not _take_repeat(state, req):
        return [_denied(Reason.RETRY_BUDGET)]
    run = _start(state, coordinator, req, server)
    return [
        HedgeDispatch(request_id=event.request_id, server=run.server),
        CountMetric(name="hedges.started"),
    ]


def _denied(reason: Reason) -> Effect:
    return CountMetric(name=f"hedges.denied.{reason}")


def _take_repeat(state: HostState, req: Request) -> bool:
    budget = state.repeat_budget(req.arrival.pool)
    return may_take(budget, state.now) and budget.take(state.now)


def may_take(budget: RepeatBudget, now: Seconds) -> bool:
    """Return whether the retry budget allows a second run; failed runs keep a part."""
    reserve = RESERVED_REPEATS if budget.burst >= 1.0 + RESERVED_REPEATS else 0.0
    return budget.allows(now) and budget.tokens >= 1.0 + reserve


def _choose(
    state: HostState,
    coordinator: Coordinator,
    req: Request,
    avoid: tuple[ServerId, ...],
) -> ServerId | None:
    """Choose the server of a second run as for any request, if nothing waits.

    One slot of it has to stay free, since a first run may need it. There is no second
    run for a request that may end servers, nor while a server names a limit, whose
    requests are all needed for first runs.
    """
    if coordinator.queue or coordinator.is_rebuilding(state.now):
        return None
    coordinator.refresh_allowances(state.now)
    if coordinator.limited_servers():
        return None
    request = req.permit_request(state.now)
    excluded = (*request.excluded, _server_of(req), *avoid)
    request = msgspec.structs.replace(request, excluded=excluded, zone=state.zone)
    if coordinator.caution_for(request, state.now) is not None:
        return None
    rank = Rank(req.tier_rank, req.work_class.rank, 0, req.deadline, 0)
    waiter = Waiter(
        request=request,
        host=state.host,
        rank=rank,
        grant_rank=rank,
        arrived=state.now,
        deadline=req.deadline,
    )
    choice = coordinator.chooser(state.now).choose(waiter)
    if choice is None:
        return None
    record = choice.record
    spare = record.slots - len(record.permits)
    name = record.cfg.name
    if spare < 2 or state.is_leaving(name) or state.hold_off(name) > 0:
        return None
    return name


def _start(
    state: HostState, coordinator: Coordinator, req: Request, server: ServerId
) -> SecondRun:
    number = len(req.tried_servers) + 2
    run = SecondRun(
        server=server,
        permit_id=RequestId(f"{req.arrival.request_id}\0{number}"),
        dispatched_at=state.now,
    )
    record = coordinator.servers[server]
    coordinator.permits.add(
        Permit(
            request=req.second_work(run, state.now).request,
            host=state.host,
            server=record,
            granted=state.now,
            deadline=req.deadline,
            first_token_at=state.now,
        )
    )
    req.second_run = run
    return run


@apply_event.register
def _(event: RunsSwapped, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is not None and req.second_run is not None:
        req.swap_runs()
    return []


@apply_event.register
def _(event: HedgeEnded, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is None or req.second_run is None:
        return []
    run = req.second_run
    effects: list[Effect] = []
    if event.reached:
        req.tried_servers = (*req.tried_servers, run.server)
        req.may_have_run = req.may_have_run or not event.refused
    if event.server_ended or event.from_server:
        req.swap_runs()
        effects += accuse(state, req) if event.server_ended else []
        if event.from_server:
            acquit_request(state, req)
        req.swap_runs()
    req.second_run = None
    # The server's times would be learned from how early the run was cancelled.
    release = PermitRelease(
        request_id=run.permit_id,
        shard=req.shard,
        server=run.server,
        dispatched=event.reached and not event.cancelled,
        failed=event.failed,
        elapsed=state.now - run.dispatched_at,
        hold_off=state.hold_off(run.server),
    )
    return [*effects, SendToHost(host=state.host, message=release)]


def _server_of(req: Request) -> ServerId:
    assert req.server is not None
    return req.server
