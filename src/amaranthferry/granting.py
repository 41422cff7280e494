"""Queue a shard's permit requests, and grant or refuse them."""

from collections.abc import Collection, Iterable

from .contention.orders import RUN_TIME_MARGIN
from .contention.run_times import mean_run_time
from .coordinator import MAX_PREDICTED_WAIT, Coordinator
from .effects import Effect, ReportForecast, ReportHold, ReportTrial, SendToHost
from .forecast import Wait
from .harm.ledger import Hold
from .harm.subjects import HOLD_REASONS
from .messages import PermitGrant, PermitRefusal, PermitRequest, Registration
from .objectives import MAX_SKIPPED, ObjectiveQueue
from .placement import Caution, Prediction, fastest_service_time
from .requests import NO_SERVER
from .servers import Permit
from .types import HostId, RefusalReason, Seconds, Tokens
from .wait_queue import Lane, Waiter, WaitQueue

#: Waiters that are tried from the head of a lane before the lane is skipped.
LOOK_AHEAD = 8
#: Retry-After without any server; how often the list of servers is read.
NO_SERVER_RETRY: Seconds = 0.5
#: Age up to which a waiter may be missing from its host's registration.
REGISTRATION_GRACE: Seconds = 1.0
#: Waiters whose forecast is renewed at a tick, so that its cost is bounded.
MAX_REVIEWED = 16
MAX_RETRY_AFTER = MAX_PREDICTED_WAIT


def enqueue(
    coordinator: Coordinator, request: PermitRequest, host: HostId, now: Seconds
) -> list[Effect]:
    """Add a request to the queue, or refuse it at once."""
    permit = coordinator.permits.get(request.request_id)
    if permit is not None:
        if permit.host != host:
            return []
        return [_grant_effect(coordinator, permit, now)]
    if coordinator.permits.is_closed(request):
        return []
    waiter = coordinator.queue.get(request.request_id)
    if waiter is not None and not _replaces(request, waiter.request):
        return []
    if waiter is not None:
        coordinator.queue.remove(request.request_id)
        coordinator.fair_share.refund(waiter.request, waiter.cost)
    hold = coordinator.hold_of(request, now)
    if hold is not None:
        return _refuse_for(coordinator, request, host, hold)
    return _enqueue_allowed(coordinator, request, host, now)


def _replaces(request: PermitRequest, queued: PermitRequest) -> bool:
    """Return whether a request excludes other servers than one that is queued."""
    if NO_SERVER not in request.excluded:
        return False
    return len(request.excluded) > len(queued.excluded)


def _enqueue_allowed(
    coordinator: Coordinator, request: PermitRequest, host: HostId, now: Seconds
) -> list[Effect]:
    service = _service_time(coordinator, request, coordinator.lengths.expected(request))
    waiter = coordinator.make_waiter(request, host, now, service or 0.0)
    if request.quota_cost > 0:
        wait = coordinator.quotas.charge(request.workspace, request.quota_cost, now)
        if wait > 0:
            return [
                _refusal_effect(coordinator, request, host, RefusalReason.QUOTA, wait)
            ]
    if service is None:
        return [_refuse(coordinator, waiter, RefusalReason.NO_SERVER, now)]
    beyond_limits = _refuse_beyond_limits(coordinator, waiter, now)
    if beyond_limits is not None:
        return [beyond_limits]
    if isinstance(coordinator.queue, ObjectiveQueue):
        return _enqueue_by_objective(coordinator, coordinator.queue, waiter, now)
    expires_at = waiter.deadline
    if coordinator.policy.early_refusal:
        expires_at -= service
    if expires_at <= now:
        return [_refuse(coordinator, waiter, RefusalReason.DEADLINE, now)]
    opens_at = _opens_at(coordinator, waiter)
    if opens_at > expires_at and not request.may_have_run:
        return [_refuse_until(coordinator, waiter, opens_at, now)]
    coordinator.forecast.record_arrival(waiter.rank[:2], service, now)
    coordinator.queue.add(waiter, expires_at=expires_at)
    return []


def _enqueue_by_objective(
    coordinator: Coordinator, queue: ObjectiveQueue, waiter: Waiter, now: Seconds
) -> list[Effect]:
    """Add a waiter to the objective queue, or refuse it if it would expire there."""
    request = waiter.request
    coordinator.minimum_shares.record_arrival(waiter.rank[:2], waiter.cost)
    deferred = coordinator.is_deferred(waiter)
    coordinator.forecast.record_arrival(
        waiter.rank[:2], waiter.cost, now, deferred=deferred
    )
    prefill = _prefill_time(coordinator, waiter)
    objective = request.objective if request.objective else request.remaining
    expires_at = _last_start(coordinator, waiter, prefill, now)
    if expires_at <= now:
        return [_refuse(coordinator, waiter, RefusalReason.DEADLINE, now)]
    opens_at = _opens_at(coordinator, waiter)
    if opens_at > expires_at and not request.may_have_run:
        return [_refuse_until(coordinator, waiter, opens_at, now)]
    queue.add(
        waiter,
        expires_at=expires_at,
        latest_start=now + objective - prefill,
    )
    return []


def _prefill_time(coordinator: Coordinator, waiter: Waiter) -> Seconds:
    time = _service_time(coordinator, waiter.request, 0) or 0.0
    return RUN_TIME_MARGIN * time if coordinator.orders_plain_work else time


def _service_time(
    coordinator: Coordinator, request: PermitRequest, output_tokens: Tokens
) -> Seconds | None:
    """Return the shortest run time on a server that could run a request, if any."""
    servers = coordinator.servers.values()
    if coordinator.orders_plain_work:
        return mean_run_time(servers, request)
    return fastest_service_time(servers, request, output_tokens)


def _last_start(
    coordinator: Coordinator, waiter: Waiter, prefill: Seconds, now: Seconds
) -> Seconds:
    """Return when a server has to begin, for an answer in its caller's time.

    Work that isn't expected to end in time beside other work gets one turn if it would
    alone; while slots are free and nothing waits, also if only a short answer would. How
    much is left of what may have run isn't known.
    """
    request, forecast = waiter.request, coordinator.forecast
    first_event = min(now + (request.patience or request.remaining), waiter.deadline)
    if request.may_have_run:
        return first_event
    if coordinator.orders_plain_work:
        idle = not coordinator.queue and len(coordinator.permits) < coordinator.slots()
        return waiter.deadline - (1.0 if idle else RUN_TIME_MARGIN) * waiter.cost
    last = waiter.deadline - forecast.run_time(waiter.cost, now)
    if last <= now:
        needed, slots = waiter.cost, coordinator.slots()
        if not coordinator.queue and len(coordinator.permits) < slots:
            decode = max(0.0, waiter.cost - prefill)
            needed = prefill + decode * coordinator.lengths.shortest_ratio(request)
        turn = forecast.turn_time(waiter.cost, slots, now)
        last = min(now + turn, waiter.deadline - needed)
    return min(last, first_event - prefill)


def _refuse_beyond_limits(
    coordinator: Coordinator, waiter: Waiter, now: Seconds
) -> Effect | None:
    """Refuse a request that servers, which all name limits, don't take in time.

    One that may have run is queued, since a refusal would be untrue.
    """
    rate, available = 0.0, 0
    for record in coordinator.servers.values():
        if not record.accepts_work or not record.serves(waiter.request):
            continue
        if record.allowance is None:
            return None
        rate += coordinator.rate_of(record) or 0.0
        available += record.allowance.available
    if not rate or waiter.request.may_have_run:
        return None
    wait = max(0, coordinator.queue.count_before(waiter) + 1 - available) / rate
    prefill = _prefill_time(coordinator, waiter)
    if wait <= _last_start(coordinator, waiter, prefill, now) - now:
        return None
    latest = waiter.deadline - waiter.cost - now
    retry_after = coordinator.return_times.book(
        waiter.rank[:2], now, wait=wait, rate=rate, latest=latest
    )
    return _refuse_for_time(
        coordinator, waiter, RefusalReason.SERVER_LIMIT, retry_after, now
    )


def refuse_new(
    coordinator: Coordinator, requests: Iterable[PermitRequest], now: Seconds
) -> list[Effect]:
    """Refuse the newly queued requests that are expected to expire before a slot is free."""
    queue = coordinator.queue
    if not isinstance(queue, ObjectiveQueue):
        return []
    waiters = [queue.get(request.request_id) for request in requests]
    new = [waiter for waiter in waiters if waiter and not waiter.forecast_at]
    return _refuse_unservable(coordinator, queue, new, now)


def review(coordinator: Coordinator, now: Seconds) -> list[Effect]:
    """Renew some forecasts in rotation, and refuse what is now expected to expire."""
    queue = coordinator.queue
    if not isinstance(queue, ObjectiveQueue):
        return []
    return _refuse_unservable(
        coordinator, queue, queue.next_to_review(MAX_REVIEWED), now
    )


def _refuse_unservable(
    coordinator: Coordinator,
    queue: ObjectiveQueue,
    waiters: Collection[Waiter],
    now: Seconds,
) -> list[Effect]:
    """Refuse the waiters that are expected to expire before they get a slot.

    Those that may have run stay queued, since a refusal would be untrue.
    """
    effects: list[Effect] = []
    if coordinator.orders_plain_work and coordinator.is_new(now):
        # Its slots aren't known while hosts turn to it one after the other.
        return effects
    slots = coordinator.slots() if waiters else 0.0
    for waiter in waiters:
        request_id = waiter.request.request_id
        forecast = _forecast(coordinator, queue, waiter, now, slots=slots)
        waited = now - waiter.forecast_at
        if forecast.late != waiter.forecast.late and waiter.forecast_at:
            level = waiter.rank[:2]
            coordinator.forecast.record_unserved(level, waiter.forecast, waited, now)
        if forecast.late != waiter.forecast.late or not waiter.forecast_at:
            waiter.forecast, waiter.forecast_at = forecast, now
        if waiter.request.may_have_run:
            continue
        left = queue.expires_at(request_id) - now
        if forecast.least > left:
            queue.remove(request_id)
            effects.append(_forecast_report(coordinator, waiter, forecast, left, now))
            effects.append(_refuse(coordinator, waiter, RefusalReason.DEADLINE, now))
    return effects


def _forecast_report(
    coordinator: Coordinator,
    waiter: Waiter,
    forecast: Wait,
    left: Seconds,
    now: Seconds,
) -> Effect:
    return ReportForecast(
        shard=coordinator.shard,
        request_id=waiter.request.request_id,
        expected=min(MAX_PREDICTED_WAIT, forecast.expected),
        least=min(MAX_PREDICTED_WAIT, forecast.least),
        left=left,
        age=now - waiter.arrived,
        late=forecast.late,
    )


def _forecast(
    coordinator: Coordinator,
    queue: ObjectiveQueue,
    waiter: Waiter,
    now: Seconds,
    *,
    slots: float,
) -> Wait:
    """Return how long a waiter is expected to wait from now on."""
    request_id, level = waiter.request.request_id, waiter.rank[:2]
    forecast = coordinator.forecast
    ahead = queue.ahead_of(waiter, coordinator.minimum_shares)
    turn = 0.0
    if len(coordinator.permits) >= slots:
        turn = forecast.turn_time(waiter.cost, slots, now)
    return forecast.wait(
        level,
        ahead,
        now,
        slots=slots,
        turn=turn,
        late=queue.is_late(request_id),
        deferred=coordinator.is_deferred(waiter),
    )


def _refuse_for(
    coordinator: Coordinator, request: PermitRequest, host: HostId, hold: Hold
) -> list[Effect]:
    reason = HOLD_REASONS[hold.subject.kind]
    return [
        ReportHold(request_id=request.request_id, hold=hold),
        _refusal_effect(coordinator, request, host, reason, 0.0),
    ]


def refuse_held(coordinator: Coordinator, now: Seconds) -> list[Effect]:
    """Refuse the waiters that are held at all servers."""
    effects: list[Effect] = []
    if not coordinator.harm.holds_any:
        return effects
    for waiter in coordinator.queue:
        request = waiter.request
        hold = coordinator.hold_of(request, now)
        if hold is not None:
            coordinator.queue.remove(request.request_id)
            coordinator.refund(request, waiter.cost, now)
            effects += _refuse_for(coordinator, request, waiter.host, hold)
    return effects


def remove_unlisted(
    coordinator: Coordinator, message: Registration, host: HostId, now: Seconds
) -> None:
    """Remove a host's waiters that it now has another decider decide on.

    Their permit requests may have overtaken the registration, so new ones are kept;
    but hosts that leave a stand-in would rely on it for as long as these wait.
    """
    grace = REGISTRATION_GRACE if coordinator.has_role else 0.0
    listed = {request.request_id for request in message.waiting}
    for waiter in coordinator.queue:
        request = waiter.request
        if waiter.host != host or now - waiter.arrived < grace:
            continue
        if request.request_id not in listed:
            coordinator.queue.remove(request.request_id)
            coordinator.refund(request, waiter.cost, now)


def refuse_held_off(
    coordinator: Coordinator, host: HostId, now: Seconds
) -> list[Effect]:
    """Refuse a host's waiters that expire before any server wants its work again.

    They are told when that is. Those that may have run stay queued, since a refusal
    would be untrue.
    """
    effects: list[Effect] = []
    for waiter in coordinator.queue:
        if waiter.host != host or waiter.request.may_have_run:
            continue
        opens_at = _opens_at(coordinator, waiter)
        request_id = waiter.request.request_id
        if opens_at > max(now, coordinator.queue.expires_at(request_id)):
            coordinator.queue.remove(request_id)
            effects.append(_refuse_until(coordinator, waiter, opens_at, now))
    return effects


def _opens_at(coordinator: Coordinator, waiter: Waiter) -> Seconds:
    """Return when the first server wants work of a waiter's host; 0 is at once."""
    ends = []
    for record in coordinator.servers.values():
        if record.accepts_work and record.serves(waiter.request):
            end = record.hold_offs.until(waiter.host)
            if not end:
                return 0.0
            ends.append(end)
    return min(ends, default=0.0)


def _refuse_until(
    coordinator: Coordinator, waiter: Waiter, opens_at: Seconds, now: Seconds
) -> Effect:
    retry_after = min(MAX_RETRY_AFTER, opens_at - now)
    reason = RefusalReason.SERVER_REFUSED
    return _refuse_for_time(coordinator, waiter, reason, retry_after, now)


def _refuse_for_time(
    coordinator: Coordinator,
    waiter: Waiter,
    reason: RefusalReason,
    retry_after: Seconds,
    now: Seconds,
) -> Effect:
    coordinator.refund(waiter.request, waiter.cost, now)
    return _refusal_effect(
        coordinator, waiter.request, waiter.host, reason, retry_after
    )


def shed(coordinator: Coordinator, now: Seconds) -> list[Effect]:
    """Refuse the lowest-ranked waiters while the queue exceeds its limit."""
    effects: list[Effect] = []
    while len(coordinator.queue) > coordinator.pool.queue_limit:
        lowest = coordinator.queue.lowest()
        assert lowest is not None
        newest = lowest.rank.sequence == coordinator.sequence
        reason = RefusalReason.QUEUE_FULL if newest else RefusalReason.EVICTED
        coordinator.queue.remove(lowest.request.request_id)
        effects.append(_refuse(coordinator, lowest, reason, now))
    return effects


def refuse_expired(coordinator: Coordinator, now: Seconds) -> list[Effect]:
    """Refuse the waiters that have expired or can no longer be served in time."""
    effects: list[Effect] = []
    for waiter in coordinator.queue.pop_expired(now):
        waited = now - waiter.forecast_at
        level = waiter.rank[:2]
        coordinator.forecast.record_unserved(level, waiter.forecast, waited, now)
        effects.append(_refuse(coordinator, waiter, RefusalReason.DEADLINE, now))
    queue = coordinator.queue
    if isinstance(queue, ObjectiveQueue):
        effects += _refuse_unservable(coordinator, queue, queue.demote(now), now)
    return effects


def _refuse(
    coordinator: Coordinator, waiter: Waiter, reason: RefusalReason, now: Seconds
) -> Effect:
    coordinator.refund(waiter.request, waiter.cost, now)
    deferred = coordinator.is_deferred(waiter)
    coordinator.forecast.record_refusal(
        waiter.rank[:2], waiter.cost, now, deferred=deferred
    )
    if reason is RefusalReason.NO_SERVER:
        retry_after = NO_SERVER_RETRY
    else:
        retry_after = min(MAX_RETRY_AFTER, _room_in(coordinator, waiter, now))
    return _refusal_effect(
        coordinator, waiter.request, waiter.host, reason, retry_after
    )


def _room_in(coordinator: Coordinator, waiter: Waiter, now: Seconds) -> Seconds:
    """Return after which time a refused caller finds a slot, as far as forecast."""
    level, slots = waiter.rank[:2], coordinator.slots()
    turn = coordinator.forecast.turn_time(waiter.cost, slots, now)
    return coordinator.return_times.book(
        level,
        now,
        wait=turn + coordinator.predicted_wait(waiter.rank, now),
        rate=coordinator.forecast.rate(level, waiter.cost, slots, now),
        latest=waiter.deadline - waiter.cost - now,
    )


def _refusal_effect(
    coordinator: Coordinator,
    request: PermitRequest,
    host: HostId,
    reason: RefusalReason,
    retry_after: Seconds,
) -> Effect:
    message = PermitRefusal(request.request_id, coordinator.shard, reason, retry_after)
    return SendToHost(host=host, message=message)


def grant_waiting(coordinator: Coordinator, now: Seconds) -> list[Effect]:
    """Grant permits by rank while servers have capacity, then shed the excess.

    A lane is skipped once its first waiters find no server. The look-ahead prevents
    one large request from idling servers that smaller ones could use.
    """
    effects = refuse_expired(coordinator, now)
    coordinator.refresh_allowances(now)
    if isinstance(coordinator.queue, ObjectiveQueue):
        return effects + _grant_by_objective(coordinator, coordinator.queue, now)
    chooser = coordinator.chooser(now)
    cursors = dict.fromkeys(coordinator.queue.lanes(), 0)
    while cursors:
        lane, waiter = _next_to_grant(coordinator.queue, cursors)
        if not chooser.candidates(waiter.request):
            del cursors[lane]
            continue
        caution = coordinator.caution_for(waiter.request, now)
        choice = chooser.choose(waiter, caution)
        if choice is not None:
            effects += _grant(coordinator, waiter, choice, now, caution)
            chooser.record_grant()
        else:
            cursors[lane] += 1
        if cursors[lane] >= min(LOOK_AHEAD, coordinator.queue.length(lane)):
            del cursors[lane]
    return effects + shed(coordinator, now)


def _grant_by_objective(
    coordinator: Coordinator, queue: ObjectiveQueue, now: Seconds
) -> list[Effect]:
    chooser = coordinator.objective_chooser(now)
    if not queue or not chooser.has_free_slots:
        return shed(coordinator, now)
    effects: list[Effect] = []
    skipped = 0
    limit = MAX_SKIPPED + chooser.free_slots()
    held_off = chooser.held_off_hosts(queue.hosts())
    for waiter in queue.in_grant_order(
        coordinator.minimum_shares, limit=limit, without=held_off
    ):
        if skipped >= MAX_SKIPPED or not chooser.has_free_slots:
            break
        # Where no server is faster than another, a free slot isn't left for a better one.
        late = coordinator.orders_plain_work or queue.is_late(waiter.request.request_id)
        caution = coordinator.caution_for(waiter.request, now)
        choice = chooser.choose(waiter, late=late, caution=caution)
        if choice is None:
            skipped += 1
        else:
            level = waiter.rank[:2]
            coordinator.minimum_shares.record_grant(level, waiter.cost)
            coordinator.forecast.record_wait(
                level,
                waiter.forecast,
                now - waiter.forecast_at,
                now,
                limit=queue.expires_at(waiter.request.request_id) - waiter.forecast_at,
            )
            effects += _grant(coordinator, waiter, choice, now, caution)
            chooser.record_grant(choice.record)
    return effects + shed(coordinator, now)


def _next_to_grant(queue: WaitQueue, cursors: dict[Lane, int]) -> tuple[Lane, Waiter]:
    heads = []
    for lane, index in cursors.items():
        waiter = queue.at(lane, index)
        assert waiter is not None
        heads.append((waiter.grant_rank, lane, waiter))
    _, lane, waiter = min(heads, key=lambda head: head[0])
    return lane, waiter


def _grant(
    coordinator: Coordinator,
    waiter: Waiter,
    choice: Prediction,
    now: Seconds,
    caution: Caution | None,
) -> list[Effect]:
    coordinator.queue.remove(waiter.request.request_id)
    coordinator.record_share(waiter)
    record = choice.record
    permit = Permit(
        request=waiter.request,
        host=waiter.host,
        server=record,
        granted=now,
        deadline=waiter.deadline,
        first_token_at=choice.first_token_at,
        cost=waiter.cost,
        cached_tokens=choice.cached_tokens,
        alone_subjects=tuple(sorted(caution.suspects)) if caution else (),
    )
    if record.allowance is not None:
        record.allowance.take()
    record.straggler.record_probe(now)
    if not coordinator.orders_plain_work:
        record.prefill_free_at = choice.first_token_at
    record.prefixes.record_sent(waiter.request.prefixes, now)
    coordinator.permits.add(permit)
    trial = _start_trial(coordinator, permit, now)
    return [*trial, _grant_effect(coordinator, permit, now, trial=bool(trial))]


def _start_trial(
    coordinator: Coordinator, permit: Permit, now: Seconds
) -> list[Effect]:
    """Record the trial if a permit is granted to a held request."""
    ledger = coordinator.harm
    if not ledger:
        return []
    server = permit.server.cfg
    subjects = coordinator.subjects_of(permit.request)
    hold = ledger.hold_at(subjects, server.model_version, now)
    if hold is None:
        return []
    ledger.start_trial(hold.subject, now)
    request_id = permit.request.request_id
    return [ReportTrial(request_id=request_id, server=server.name, hold=hold)]


def _grant_effect(
    coordinator: Coordinator, permit: Permit, now: Seconds, *, trial: bool = False
) -> Effect:
    subjects = coordinator.subjects_of(permit.request)
    version = permit.server.cfg.model_version
    message = PermitGrant(
        permit.request.request_id,
        coordinator.shard,
        permit.server.cfg.name,
        predicted_first_token=permit.first_token_at - permit.granted,
        predicted_cached_tokens=permit.cached_tokens,
        trial=trial,
        alone=permit.alone_subjects,
        familiar=coordinator.harm.familiar_parts(subjects, version, now),
    )
    return SendToHost(host=permit.host, message=message)
