"""Apply events and messages to one shard's coordinator."""

from functools import singledispatch

from .coordinator import Coordinator
from .effects import (
    CountMetric,
    Effect,
    ObserveMetric,
    ReportBackoff,
    ReportUnlistedPermit,
)
from .events import (
    CacheEventSeen,
    Event,
    LoadReported,
    MembersChanged,
    PeerReceived,
    ServerStateSeen,
    SettingsApplied,
    Ticked,
)
from .granting import (
    LOOK_AHEAD,
    enqueue,
    grant_waiting,
    refuse_expired,
    refuse_held,
    refuse_held_off,
    refuse_new,
    remove_unlisted,
    review,
    shed,
)
from .harm.ledger import SETTLED_TIME
from .messages import (
    Message,
    PermitProgress,
    PermitRelease,
    PermitRequest,
    PermitWithdraw,
    Registration,
    UsageElsewhere,
)
from .relocation.coordination import (
    drop_move,
    end_move,
    follow_progress,
    follow_registration,
    follow_release,
    propose_moves,
    review_runs,
)
from .relocation.messages import MoveReport
from .servers import Permit
from .types import HostId, Seconds


def reduce(coordinator: Coordinator, event: Event) -> list[Effect]:
    """Apply an event to a coordinator and return the resulting effects."""
    return _apply(event, coordinator)


@singledispatch
def _apply(event: Event, coordinator: Coordinator) -> list[Effect]:
    return []


@_apply.register
def _(event: PeerReceived, coordinator: Coordinator) -> list[Effect]:
    return _receive(event.message, coordinator, event.sender, event.now)


@_apply.register
def _(event: Ticked, coordinator: Coordinator) -> list[Effect]:
    now = event.now
    effects = refuse_expired(coordinator, now) + refuse_held(coordinator, now)
    coordinator.expire_reliance(now)
    coordinator.apply_quota_usage(now)
    coordinator.permits.release_orphans(now)
    for record in coordinator.servers.values():
        record.hold_offs.expire(now)
    coordinator.permits.prune_closed(now)
    effects += review_runs(coordinator, now)
    effects += grant_waiting(coordinator, now) + review(coordinator, now)
    effects += coordinator.queue_notices(coordinator.queue.hosts(), now)
    return effects + coordinator.adverts(now)


@_apply.register
def _(event: MembersChanged, coordinator: Coordinator) -> list[Effect]:
    coordinator.replace_hosts(event.hosts, event.now)
    return grant_waiting(coordinator, event.now)


@_apply.register
def _(event: ServerStateSeen, coordinator: Coordinator) -> list[Effect]:
    record = coordinator.servers.get(event.server)
    if record is None:
        return []
    record.record_state(event.state, event.source, event.now)
    return grant_waiting(coordinator, event.now)


@_apply.register
def _(event: CacheEventSeen, coordinator: Coordinator) -> list[Effect]:
    record = coordinator.servers.get(event.server)
    if record is not None:
        record.prefixes.record_dropped(event.dropped, event.now)
    return []


@_apply.register
def _(event: LoadReported, coordinator: Coordinator) -> list[Effect]:
    record = coordinator.servers.get(event.server)
    if record is not None:
        record.external.apply_report(event, len(record.permits), record.tokens)
    return []


@_apply.register
def _(event: SettingsApplied, coordinator: Coordinator) -> list[Effect]:
    coordinator.apply(event.deployment)
    return grant_waiting(coordinator, event.now)


@singledispatch
def _receive(
    message: Message, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    return []


@_receive.register
def _(
    message: PermitRequest, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    coordinator.record_reliance(sender, now)
    effects = enqueue(coordinator, message, sender, now)
    if coordinator.queue.is_behind(message.request_id, LOOK_AHEAD):
        effects += shed(coordinator, now)
    else:
        effects += grant_waiting(coordinator, now)
    effects += refuse_new(coordinator, (message,), now)
    return effects + coordinator.queue_notices((sender,), now)


@_receive.register
def _(
    message: PermitWithdraw, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    if not coordinator.owns(sender, message.request_id):
        return []
    waiter = coordinator.queue.remove(message.request_id)
    if waiter is not None:
        coordinator.refund_share(waiter.request, waiter.cost)
    coordinator.permits.close(message.request_id, now)
    return grant_waiting(coordinator, now)


@_receive.register
def _(
    message: PermitProgress, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    permit = coordinator.permits.get(message.request_id)
    if permit is None or permit.host != sender:
        return []
    if not follow_progress(coordinator, permit, message):
        return []
    effects: list[Effect] = []
    if message.first_token > 0 and not permit.first_token_seen:
        effects = _prediction_error(permit, message.first_token)
        permit.server.record_first_token(permit, message.first_token, now)
    _record_progress(coordinator, permit, message)
    if message.first_token > 0 and (
        message.elapsed - message.first_token >= SETTLED_TIME
    ):
        _record_sound(coordinator, permit, now)
    return effects + (grant_waiting(coordinator, now) if effects else [])


def _record_progress(
    coordinator: Coordinator, permit: Permit, message: PermitProgress | PermitRelease
) -> None:
    target = coordinator.limits.target_inter_token
    permit.server.record_progress(
        permit, message.output_tokens, message.elapsed, target
    )


def _record_sound(coordinator: Coordinator, permit: Permit, now: Seconds) -> None:
    """Acquit the request, and its prompt, of an answer that began well and went on."""
    version = permit.server.cfg.model_version
    subjects = coordinator.subjects_of(permit.request)
    coordinator.harm.acquit(subjects, version, now)


def _prediction_error(permit: Permit, first_token: Seconds) -> list[Effect]:
    error = first_token - (permit.first_token_at - permit.granted)
    return [ObserveMetric(name="prediction.first_token_error_seconds", value=error)]


@_receive.register
def _(
    message: PermitRelease, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    permit = coordinator.permits.get(message.request_id)
    if permit is None or permit.host != sender:
        return []
    follow_release(coordinator, permit, message)
    if permit.server.cfg.name != message.server:
        return []
    drop_move(coordinator, permit)
    _record_result(coordinator, permit, message, now)
    if message.sound:
        _record_sound(coordinator, permit, now)
    if message.dispatched:
        permit.server.outcomes.observe(
            failed=message.failed, elapsed=message.elapsed, now=now
        )
    _release(coordinator, permit, message, now)
    if message.hold_off > 0:
        permit.server.hold_offs.start(sender, now + message.hold_off)
    elif message.dispatched and not message.failed:
        permit.server.hold_offs.record_answer(sender, now)
    effects: list[Effect] = []
    if not message.dispatched:
        # A grant that its host no longer needs says nothing about the server.
        if message.failed and message.hold_off <= 0:
            permit.server.record_failed_dispatch(now)
            effects += _report_backoff(permit, message, now)
    else:
        permit.server.reset_dispatch_failures()
        attempts = len(permit.request.excluded)
        coordinator.permits.close(message.request_id, now, attempts=attempts)
    if message.hold_off > 0:
        effects += refuse_held_off(coordinator, sender, now)
    effects += propose_moves(coordinator, now)
    return effects + grant_waiting(coordinator, now)


def _release(
    coordinator: Coordinator, permit: Permit, message: PermitRelease, now: Seconds
) -> None:
    """Release a permit; one that its host has no use for is left to other requests."""
    record = permit.server
    if record.allowance is not None and not (message.dispatched or message.failed):
        record.allowance.give_back(now)
    coordinator.permits.release(permit)
    record.external.record_release(now)


def _report_backoff(
    permit: Permit, message: PermitRelease, now: Seconds
) -> list[Effect]:
    report = ReportBackoff(
        shard=message.shard,
        server=message.server,
        host=permit.host,
        request_id=message.request_id,
        duration=permit.server.blocked_until - now,
    )
    return [report, CountMetric(name="server.backoffs")]


def _record_result(
    coordinator: Coordinator, permit: Permit, message: PermitRelease, now: Seconds
) -> None:
    """Update the estimates from an attempt that completed."""
    if not message.dispatched or message.failed:
        return
    record = permit.server
    coordinator.forecast.record_completion(permit.cost, message.elapsed, now)
    if message.first_token > 0:
        record.record_first_token(permit, message.first_token, now)
    _record_progress(coordinator, permit, message)
    record.prefixes.observe(permit.cached_tokens, message.cached_tokens)
    if message.output_tokens > 0:
        coordinator.lengths.observe(permit.request, message.output_tokens)


@_receive.register
def _(
    message: Registration, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    if message.waiting:
        coordinator.record_reliance(sender, now)
    coordinator.register(message, sender, now)
    unlisted = coordinator.permits.release_unlisted(message, sender, now)
    remove_unlisted(coordinator, message, sender, now)
    for work in message.running:
        record = coordinator.servers.get(work.server)
        if record is not None:
            coordinator.queue.remove(work.request.request_id)
            follow_registration(coordinator, work, sender)
            coordinator.permits.restore(work, sender, record, now)
    effects = _report_unlisted(coordinator, unlisted, now)
    for waiting in message.waiting:
        effects += enqueue(coordinator, waiting, sender, now)
    effects += grant_waiting(coordinator, now)
    return effects + refuse_new(coordinator, message.waiting, now)


def _report_unlisted(
    coordinator: Coordinator, permits: list[Permit], now: Seconds
) -> list[Effect]:
    """Report and count the permits that were given up as unlisted.

    Each stands for a message about the end of a request that was lost or is late.
    """
    effects: list[Effect] = [
        ReportUnlistedPermit(
            shard=coordinator.shard,
            server=permit.server.cfg.name,
            host=permit.host,
            request_id=permit.request.request_id,
            age=now - permit.granted,
            first_token_seen=permit.first_token_seen,
        )
        for permit in permits
    ]
    if permits:
        effects.append(CountMetric(name="permits.unlisted", value=len(permits)))
    return effects


@_receive.register
def _(
    message: MoveReport, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    end_move(coordinator, message, sender, now)
    return grant_waiting(coordinator, now)


@_receive.register
def _(
    message: UsageElsewhere, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    # A ledger that is being rebuilt gets the usage with the registrations.
    if coordinator.has_role and not coordinator.is_rebuilding(now):
        coordinator.quotas.add_usage_elsewhere(message.usage, now)
    return []
