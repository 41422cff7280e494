"""Handle requests from their arrival to a permit or a refusal."""

import msgspec
import xxhash

from .effects import (
    CloseClaim,
    CountMetric,
    Dispatch,
    Effect,
    MakeClaim,
    ObserveMetric,
    ReplayAnswer,
    ReportHold,
    ReportReturn,
    SendToHost,
    SettleRequest,
)
from .events import ClaimSettled, PeerReceived, RequestArrived
from .harm.subjects import HOLD_REASONS
from .harm.updates import hold_arrival, hold_grant, refuse_arrival, tell
from .leaving import incarnation_of
from .messages import (
    LeavingNotice,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    PermitWithdraw,
    ServerNotice,
)
from .quota import UsageRecord
from .reducer import apply_event, receive_message
from .registration import LAST_REGISTRATIONS
from .requests import Request
from .state import HostState
from .types import (
    HostId,
    Outcome,
    RefusalReason,
    RequestId,
    RequestState,
    ReturnReason,
    Seconds,
    ShardId,
    StoreOutageRule,
)

#: Interval at which hosts ask each other for the newest settings.
SETTINGS_RETRY: Seconds = 2.0
#: Retry-After where another host can serve the request at once.
OTHER_HOST_RETRY: Seconds = 0.05
#: Longest wait for a claim in classes that refuse work during a store outage.
REFUSING_CLAIM_TIMEOUT: Seconds = 2.0
#: Reasons for which the server of a returned grant should get no other request now.
_UNUSABLE_SERVER = frozenset({ReturnReason.SERVER_LEAVING, ReturnReason.PART_HELD})


@apply_event.register
def _(event: RequestArrived, state: HostState) -> list[Effect]:
    req = Request.from_arrival(event, state.deployment)
    reason = _rejection_reason(state)
    if reason is not None:
        draining = reason is RefusalReason.DRAINING
        retry_after = OTHER_HOST_RETRY if draining else SETTINGS_RETRY
        return [refusal_effect(event.request_id, reason, retry_after)]
    # An earlier attempt with the same key may have run: its claim tells.
    hold = None if event.idempotency_key else hold_arrival(state, event)
    if hold is not None:
        reason = HOLD_REASONS[hold.subject.kind]
        refusal = refusal_effect(event.request_id, reason, 0.0)
        return [*refuse_arrival(event, hold), refusal]
    state.requests[event.request_id] = req
    state.budget(event.pool).deposit()
    state.repeat_budget(event.pool).deposit()
    counted: list[Effect] = [CountMetric(name=f"requests.{event.tier}.received")]
    if not event.idempotency_key:
        return counted + enter_queue(state, req)
    req.transition_to(RequestState.CLAIMING)
    claim = MakeClaim(
        request_id=event.request_id,
        workspace=event.workspace,
        key=event.idempotency_key,
        body_digest=event.body_digest,
        timeout=_claim_timeout(req),
        rule=req.work_class.store_outage,
    )
    return [*counted, claim]


def _claim_timeout(req: Request) -> Seconds:
    if req.work_class.store_outage is StoreOutageRule.WAIT:
        return req.arrival.timeout
    return min(req.arrival.timeout, REFUSING_CLAIM_TIMEOUT)


def _rejection_reason(state: HostState) -> RefusalReason | None:
    if state.draining:
        return RefusalReason.DRAINING
    if not state.settings_current:
        return RefusalReason.SETTINGS_STALE
    return None


@apply_event.register
def _(event: ClaimSettled, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is None or req.state is not RequestState.CLAIMING:
        return _release_unused_claim(event)
    if event.held:
        req.claim_held = True
        return enter_queue(state, req)
    if event.answer_stored:
        req.transition_to(RequestState.DONE)
        del state.requests[event.request_id]
        return [ReplayAnswer(request_id=event.request_id)]
    if event.outcome is Outcome.UNKNOWN:
        req.transition_to(RequestState.UNKNOWN)
        del state.requests[event.request_id]
        return [_unknown_key_effect(event.request_id)]
    if event.conflict:
        return refuse(state, req, RefusalReason.KEY_CONFLICT, 0.0)
    return refuse(state, req, RefusalReason.STORE_UNAVAILABLE, event.retry_after)


def _unknown_key_effect(request_id: RequestId) -> Effect:
    return SettleRequest(
        request_id=request_id,
        outcome=Outcome.UNKNOWN,
        reason=RefusalReason.KEY_UNKNOWN,
    )


def _release_unused_claim(event: ClaimSettled) -> list[Effect]:
    if not event.held:
        return []
    return [CloseClaim(request_id=event.request_id, outcome=Outcome.NOT_RUN)]


def enter_queue(state: HostState, req: Request) -> list[Effect]:
    """Queue a request for a permit."""
    req.transition_to(RequestState.WAITING)
    return request_permit(state, req)


def request_permit(state: HostState, req: Request) -> list[Effect]:
    """Request a permit from a shard's coordinator, unless the deadline has passed."""
    if req.deadline <= state.now:
        return refuse_expired(state, req)
    if state.versions is not None:
        state.versions.assign(req)
    req.shard = _choose_shard(state, req)
    req.requested_at = state.now
    state.registrations_left[req.shard] = LAST_REGISTRATIONS
    req.server, req.second_permit = None, RequestId("")
    req.permit_host = state.permit_host(req.shard)
    message = msgspec.structs.replace(req.permit_request(state.now), zone=state.zone)
    return [SendToHost(host=req.permit_host, message=message)]


def _choose_shard(state: HostState, req: Request) -> ShardId:
    shards = state.shards_of(req.arrival.pool)
    if len(shards) == 1:
        return shards[0]
    candidates = sorted(shards, key=lambda shard: _rendezvous_rank(shard, req))[:2]
    return min(candidates, key=lambda shard: _advertised_wait(state, shard, req))


def _rendezvous_rank(shard: ShardId, req: Request) -> int:
    return xxhash.xxh64_intdigest(f"{shard} {req.arrival.request_id}".encode())


def _advertised_wait(state: HostState, shard: ShardId, req: Request) -> Seconds:
    waits = state.waits.get(shard, ())
    return waits[req.tier_rank] if req.tier_rank < len(waits) else 0.0


@receive_message.register
def _(message: PermitGrant, event: PeerReceived, state: HostState) -> list[Effect]:
    req = state.requests.get(message.request_id)
    if req is None or req.state is not RequestState.WAITING:
        running = req is not None and req.is_running and req.server == message.server
        if running and req is not None and req.permit_host == event.sender:
            return []
        reason = (
            ReturnReason.REQUEST_GONE if req is None else ReturnReason.GRANTED_ELSEWHERE
        )
        return _return_grant(state, event.sender, message, reason)
    if req.deadline <= state.now:
        returned = _return_grant(state, event.sender, message, ReturnReason.EXPIRED)
        return [*returned, *refuse_expired(state, req)]
    if req.requested_at < state.resumed_at:
        returned = _return_grant(state, event.sender, message, ReturnReason.SUSPENDED)
        return [*returned, *request_permit(state, req)]
    if state.is_leaving(message.server):
        return _decline(state, req, event.sender, message)
    if state.versions is not None and state.versions.refuses(req, message.server):
        reason = ReturnReason.VERSION_WITHHELD
        returned = _return_grant(state, event.sender, message, reason)
        return [*returned, *request_permit(state, req)]
    hold_off = state.hold_off(message.server)
    if hold_off > 0:
        returned = _return_grant(
            state, event.sender, message, ReturnReason.HELD_OFF, hold_off=hold_off
        )
        return [*returned, *request_permit(state, req)]
    if not message.trial:
        version = state.version_of(message.server)
        hold = hold_grant(state, req, version)
        if hold is not None:
            reason = ReturnReason.PART_HELD
            returned = _return_grant(state, event.sender, message, reason)
            told = tell(state, event.sender, [hold.subject])
            return [*told, *returned, *_request_unless_held(state, req)]
    req.permit_host = event.sender
    req.shard = message.shard
    req.server = message.server
    req.alone_subjects, req.familiar_parts = message.alone, message.familiar
    req.transition_to(RequestState.PERMITTED)
    return _dispatch(state, req)


def _request_unless_held(state: HostState, req: Request) -> list[Effect]:
    """Request another permit, unless the request is held wherever it could run.

    A coordinator of an earlier release would grant it again and again.
    """
    hold = hold_arrival(state, req.arrival)
    if hold is None:
        return request_permit(state, req)
    report = ReportHold(request_id=req.arrival.request_id, hold=hold)
    return [report, *refuse(state, req, HOLD_REASONS[hold.subject.kind], 0.0)]


def _return_grant(
    state: HostState,
    sender: HostId,
    grant: PermitGrant,
    reason: ReturnReason,
    *,
    hold_off: Seconds = 0.0,
) -> list[Effect]:
    """Release a grant that this host will not use, and report why."""
    req = state.requests.get(grant.request_id)
    release = PermitRelease(
        request_id=grant.request_id,
        shard=grant.shard,
        server=grant.server,
        dispatched=False,
        failed=reason in _UNUSABLE_SERVER,
        hold_off=hold_off,
    )
    report = ReportReturn(
        request_id=grant.request_id,
        shard=grant.shard,
        coordinator=sender,
        server=grant.server,
        reason=reason,
        age=None if req is None else state.now - req.requested_at,
    )
    counted = CountMetric(name=f"grants_returned.{reason}")
    return [report, counted, SendToHost(host=sender, message=release)]


def _decline(
    state: HostState, req: Request, sender: HostId, grant: PermitGrant
) -> list[Effect]:
    """Decline a grant for a leaving server and forward its reported states."""
    reports = state.server_reports.get(grant.server, {}).items()
    notices: list[Effect] = _leaving_notice(state, sender, grant)
    notices += [
        SendToHost(
            host=sender,
            message=ServerNotice(server=grant.server, state=reported, source=source),
        )
        for source, reported in reports
    ]
    returned = _return_grant(state, sender, grant, ReturnReason.SERVER_LEAVING)
    return [*notices, *returned, *request_permit(state, req)]


def _leaving_notice(
    state: HostState, sender: HostId, grant: PermitGrant
) -> list[Effect]:
    """Tell the granting host what the server itself has said, if it has."""
    incarnation = incarnation_of(state.deployment, grant.server)
    if incarnation is None or incarnation not in state.leaving:
        return []
    age = state.now - state.leaving.seen_at(incarnation)
    notice = LeavingNotice(incarnation, state.host, age)
    return [SendToHost(host=sender, message=notice)]


def _record_quota_usage(state: HostState, req: Request) -> None:
    """Record the quota usage of a request's first dispatch."""
    arrival = req.arrival
    if arrival.quota_cost > 0 and not req.tried_servers:
        usage = state.usage.setdefault(req.shard, UsageRecord())
        usage.record(arrival.workspace, arrival.quota_cost, state.now)
        if req.permit_host != state.coordinator_of(req.shard):
            elsewhere = state.usage_elsewhere.setdefault(req.shard, UsageRecord())
            elsewhere.record(arrival.workspace, arrival.quota_cost, state.now)


def _dispatch(state: HostState, req: Request) -> list[Effect]:
    assert req.server is not None
    req.transition_to(RequestState.DISPATCHED)
    req.dispatched_at = state.now
    waited = ObserveMetric(
        name="permit.wait_seconds", value=state.now - req.arrival.now
    )
    _record_quota_usage(state, req)
    dispatch = Dispatch(request_id=req.arrival.request_id, server=req.server)
    return [waited, dispatch]


@receive_message.register
def _(message: PermitRefusal, event: PeerReceived, state: HostState) -> list[Effect]:
    req = state.requests.get(message.request_id)
    if req is None or req.state is not RequestState.WAITING:
        return []
    if req.permit_host != event.sender:
        return []
    return refuse(state, req, message.reason, message.retry_after)


def refusal_effect(
    request_id: RequestId, reason: RefusalReason, retry_after: Seconds
) -> Effect:
    """Build the effect that reports a request as not run to its caller."""
    return SettleRequest(
        request_id=request_id,
        outcome=Outcome.NOT_RUN,
        reason=reason,
        retry_after=retry_after,
    )


def refuse(
    state: HostState, req: Request, reason: RefusalReason, retry_after: Seconds
) -> list[Effect]:
    """Refuse a request that was not executed."""
    request_id = req.arrival.request_id
    req.transition_to(RequestState.NOT_RUN)
    del state.requests[request_id]
    effects: list[Effect] = [refusal_effect(request_id, reason, retry_after)]
    if req.claim_held:
        effects.append(CloseClaim(request_id=request_id, outcome=Outcome.NOT_RUN))
    counted = CountMetric(name=f"requests.{req.arrival.tier}.not_run.{reason}")
    return [*effects, counted]


def withdraw(state: HostState, req: Request) -> list[Effect]:
    """Withdraw the permit request of a waiting request."""
    if req.state is not RequestState.WAITING or req.permit_host is None:
        return []
    message = PermitWithdraw(request_id=req.arrival.request_id, shard=req.shard)
    return [SendToHost(host=req.permit_host, message=message)]


def expire(state: HostState) -> list[Effect]:
    """Refuse the waiting requests whose deadline has passed."""
    waiting = {RequestState.WAITING, RequestState.CLAIMING}
    late = [
        req
        for req in state.requests.values()
        if req.state in waiting and req.deadline <= state.now
    ]
    effects: list[Effect] = []
    for req in late:
        effects += withdraw(state, req) + refuse_expired(state, req)
    return effects


def refuse_expired(state: HostState, req: Request) -> list[Effect]:
    """Refuse a request that has not been executed by its deadline.

    Nobody has decided on it in time, so another host may serve its caller sooner.
    """
    wait = _advertised_wait(state, req.shard, req)
    retry_after = max(OTHER_HOST_RETRY, wait)
    return refuse(state, req, RefusalReason.DEADLINE, retry_after)
