"""Handle dispatched requests until their outcome."""

from .contention.sharing import announce_rejection, begin_by_rejection
from .effects import (
    CancelDispatch,
    CloseClaim,
    CountMetric,
    Effect,
    ObserveMetric,
    SendToHost,
    SettleRequest,
)
from .entry import (
    OTHER_HOST_RETRY,
    refuse,
    refuse_expired,
    request_permit,
    withdraw,
)
from .events import (
    CallerGone,
    DeadlinePassed,
    DispatchFailed,
    DispatchFinished,
    DispatchRefused,
    FirstTokenSeen,
    GraceEnding,
    TokensSeen,
)
from .harm.updates import accuse, acquit_request, is_settled, record_sound
from .messages import PermitProgress, PermitRelease
from .reducer import apply_event
from .requests import Request
from .servers import MIN_BACKOFF
from .state import HostState
from .types import (
    Outcome,
    RefusalReason,
    RequestState,
    ServerId,
    WasteCause,
)

MAX_CONNECTION_RETRIES = 3


@apply_event.register
def _(event: DispatchRefused, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is None or not req.is_running:
        return []
    # A connection that the host gave up says nothing about the server.
    given_up = event.timed_out or event.host_stops
    effects = _release(state, req, dispatched=event.by_server, failed=not given_up)
    if event.timed_out:
        return effects + refuse_expired(state, req)
    if event.host_stops:
        return effects + refuse(state, req, RefusalReason.DRAINING, OTHER_HOST_RETRY)
    if event.by_server:
        req.tried_servers = (*req.tried_servers, _server_of(req))
        shard = req.shard
        shared = not event.misdirected and begin_by_rejection(
            state, shard, _server_of(req)
        )
        if req.may_redispatch and _spend_repeat_budget(state, req):
            req.transition_to(RequestState.WAITING)
            if shared:
                effects += announce_rejection(state, shard)
            return effects + request_permit(state, req)
        # A server that has turned work away gets none until then.
        retry_after = max(MIN_BACKOFF, state.pool_hold_off(req.arrival.pool))
        effects += refuse(state, req, RefusalReason.SERVER_REFUSED, retry_after)
        if shared:
            effects += announce_rejection(state, shard)
        return [*effects, _wasted_prefill(WasteCause.ENGINE_REFUSED, 0)]
    req.connection_retries += 1
    budget = state.budget(req.arrival.pool)
    exhausted = req.connection_retries > MAX_CONNECTION_RETRIES
    if req.caller_gone:
        return effects + refuse(state, req, RefusalReason.CALLER_GONE, 0.0)
    if exhausted or not budget.take(state.now):
        retry_after = max(OTHER_HOST_RETRY, budget.next_in(state.now))
        return effects + refuse(state, req, RefusalReason.RETRY_BUDGET, retry_after)
    req.transition_to(RequestState.WAITING)
    return effects + request_permit(state, req)


@apply_event.register
def _(event: FirstTokenSeen, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is None or req.state is not RequestState.DISPATCHED:
        return []
    req.transition_to(RequestState.ANSWERING)
    req.first_token = state.now - req.dispatched_at
    req.last_event_at = state.now
    req.output_tokens = max(req.output_tokens, 1)
    seen = ObserveMetric(name="first_token.seconds", value=state.now - req.arrival.now)
    return [seen, _progress(state, req)]


@apply_event.register
def _(event: TokensSeen, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is None or not req.is_running:
        return []
    req.output_tokens = event.output_tokens
    req.last_event_at = state.now
    return [_progress(state, req, movable=event.movable)]


def _progress(state: HostState, req: Request, *, movable: bool = False) -> Effect:
    assert req.server is not None
    message = PermitProgress(
        request_id=req.permit_id,
        shard=req.shard,
        server=req.server,
        first_token=req.first_token,
        output_tokens=req.output_tokens,
        elapsed=state.now - req.dispatched_at,
        movable=movable,
    )
    return SendToHost(host=state.permit_host(req.shard), message=message)


@apply_event.register
def _(event: DispatchFinished, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is None or not req.is_running:
        return []
    del state.requests[event.request_id]
    req.transition_to(RequestState.DONE)
    req.output_tokens = event.output_tokens
    if event.from_server:
        acquit_request(state, req)
    if _is_sound(state, req, event):
        record_sound(state, req)
    effects = _release(state, req, finished=event)
    if req.arrival.idempotency_key:
        effects.append(CloseClaim(request_id=event.request_id, outcome=Outcome.DONE))
    return effects + _completion_metrics(state, req, event)


def _completion_metrics(
    state: HostState, req: Request, finished: DispatchFinished
) -> list[Effect]:
    tier = req.arrival.tier
    prefill = float(finished.prompt_tokens or req.arrival.prompt_tokens)
    late = state.now > req.deadline
    effects: list[Effect] = [
        CountMetric(name="prefill_tokens", value=prefill - finished.cached_tokens),
        CountMetric(name=f"requests.{tier}.{'late' if late else 'done'}"),
    ]
    if req.caller_gone:
        effects.append(_wasted_prefill(WasteCause.CALLER_GONE, prefill))
    elif late:
        effects.append(_wasted_prefill(WasteCause.LATE, prefill))
    return effects


def _wasted_prefill(cause: WasteCause, tokens: float) -> Effect:
    return CountMetric(name=f"wasted_prefill.{cause}", value=tokens)


@apply_event.register
def _(event: DispatchFailed, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is None or not req.is_running:
        return []
    req.tried_servers = (*req.tried_servers, _server_of(req))
    req.may_have_run = True
    # Who decides on the next attempt has to know the evidence first.
    accused = accuse(state, req) if event.server_ended else []
    if event.from_server:
        acquit_request(state, req)
    rerun = req.may_rerun and not (event.timed_out or event.host_stops)
    if rerun and _spend_repeat_budget(state, req):
        effects = [*accused, *_release(state, req, failed=True)]
        req.transition_to(RequestState.WAITING)
        return effects + request_permit(state, req)
    del state.requests[event.request_id]
    req.transition_to(RequestState.UNKNOWN)
    req.output_tokens = max(req.output_tokens, event.output_tokens)
    cancelled = req.caller_gone
    cause = WasteCause.CALLER_GONE if cancelled else WasteCause.FAILED
    effects = [
        *accused,
        *_release(state, req, failed=not (cancelled or event.host_stops)),
        SettleRequest(request_id=event.request_id, outcome=Outcome.UNKNOWN),
        CountMetric(name=f"requests.{req.arrival.tier}.unknown"),
        _wasted_prefill(cause, float(req.arrival.prompt_tokens)),
    ]
    if req.arrival.idempotency_key:
        closed = CloseClaim(request_id=event.request_id, outcome=Outcome.UNKNOWN)
        effects.append(closed)
    return effects


def can_rerun(state: HostState, req: Request) -> bool:
    """Return whether a running request could go to another server if it failed now."""
    arrival = req.arrival
    attempts = len(req.tried_servers) + 1
    if req.second_run is not None:
        return False
    if req.caller_gone or not arrival.repeatable or attempts >= arrival.max_attempts:
        return False
    tried = {*req.tried_servers, req.server}
    if not req.exposed:
        # The next attempt of a request at an unproven version goes to the others.
        tried.update(req.barred)
    others = (
        name
        for name, cfg in state.deployment.servers.items()
        if cfg.pool == arrival.pool and name not in tried
    )
    usable = any(
        name not in state.deployment.drained and not state.hold_off(name)
        for name in others
    )
    return usable and state.repeat_budget(arrival.pool).allows(state.now)


def _server_of(req: Request) -> ServerId:
    assert req.server is not None
    return req.server


def _spend_repeat_budget(state: HostState, req: Request) -> bool:
    pool = req.arrival.pool
    return state.now < req.deadline and state.repeat_budget(pool).take(state.now)


def _release(
    state: HostState,
    req: Request,
    *,
    finished: DispatchFinished | None = None,
    dispatched: bool = True,
    failed: bool = False,
) -> list[Effect]:
    """Release the permit at all hosts that may count it."""
    assert req.server is not None
    message = PermitRelease(
        request_id=req.permit_id,
        shard=req.shard,
        server=req.server,
        dispatched=dispatched,
        failed=failed or (finished is not None and finished.failed),
        prompt_tokens=finished.prompt_tokens if finished else 0,
        cached_tokens=finished.cached_tokens if finished else 0,
        output_tokens=req.output_tokens,
        first_token=req.first_token,
        elapsed=state.now - req.dispatched_at,
        hold_off=state.hold_off(req.server),
        sound=_is_sound(state, req, finished),
    )
    deciding_host = state.permit_host(req.shard)
    hosts = dict.fromkeys((deciding_host, req.permit_host or deciding_host))
    hosts |= dict.fromkeys(sorted(req.registered_with))
    req.registered_with.clear()
    return [SendToHost(host=host, message=message) for host in hosts]


def _is_sound(
    state: HostState, req: Request, finished: DispatchFinished | None
) -> bool:
    """Return whether an answer shows that its prompt doesn't end servers."""
    if finished is not None and not finished.failed and finished.output_tokens > 0:
        return True
    return is_settled(state, req)


@apply_event.register
def _(event: CallerGone, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is None or req.is_final:
        return []
    req.caller_gone = True
    if req.is_running:
        return _cancel(req)
    effects = withdraw(state, req)
    return effects + refuse(state, req, RefusalReason.CALLER_GONE, 0.0)


@apply_event.register
def _(event: DeadlinePassed, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is None or req.is_final or req.is_running:
        return []
    return withdraw(state, req) + refuse_expired(state, req)


@apply_event.register
def _(event: GraceEnding, state: HostState) -> list[Effect]:
    effects: list[Effect] = []
    for req in list(state.requests.values()):
        if not (req.is_running or req.is_final) and req.deadline > event.ends_at:
            effects += withdraw(state, req)
            effects += refuse(state, req, RefusalReason.DRAINING, OTHER_HOST_RETRY)
    return effects


def _cancel(req: Request) -> list[Effect]:
    must_complete = req.work_class.never_repeated or req.arrival.idempotency_key
    if must_complete or not req.work_class.cancel_when_caller_gone:
        return []
    return [CancelDispatch(request_id=req.arrival.request_id)]
