"""Log the decisions about requests, with the state that they were based on."""

from functools import singledispatch

import structlog

from ..availability import count_servers, idle_slots, role_of
from ..coordinator import Coordinator
from ..effects import (
    ReportBackoff,
    ReportFallbackEnd,
    ReportFallbackStart,
    ReportForecast,
    ReportHold,
    ReportReturn,
    ReportSignal,
    ReportSubject,
    ReportTrial,
    ReportUnlistedPermit,
)
from ..harm.ledger import Hold
from ..harm.subjects import SubjectState
from ..messages import Message, PermitGrant, PermitRefusal
from ..relocation.messages import MoveProposal
from ..servers import Permit
from ..state import HostState
from ..types import HostId, Seconds, ServerId, ServerSignal, ShardId
from .dispatching import Dispatch
from .exchange import RoutedExchange
from .log_events import LogEvent

_log = structlog.get_logger(__name__)
#: Lines a second about servers that a coordinator backs off from.
MAX_BACKOFF_LINES = 40
#: Lines a second about permits that their hosts don't list.
MAX_UNLISTED_LINES = 20
#: Lines a second about headers that can't be read, and their longest value shown.
MAX_UNREADABLE_LINES = 1
MAX_SHOWN_VALUE = 40
_SIGNAL_EVENTS = {
    ServerSignal.LEAVING: LogEvent.SERVER_LEAVING,
    ServerSignal.LEAVING_FORGOTTEN: LogEvent.SERVER_LEAVING_FORGOTTEN,
    ServerSignal.HELD_OFF: LogEvent.SERVER_HELD_OFF,
    ServerSignal.HOLD_OFF_ENDED: LogEvent.SERVER_HOLD_OFF_ENDED,
    ServerSignal.LIMITED: LogEvent.SERVER_LIMITED,
    ServerSignal.LIMIT_ENDED: LogEvent.SERVER_LIMIT_ENDED,
}


@singledispatch
def log_decision(message: Message, state: HostState, host: HostId) -> None:
    """Log a coordinator's decision; messages without one are not logged."""


@log_decision.register
def _(message: PermitGrant, state: HostState, host: HostId) -> None:
    coordinator = _coordinator(state, message.shard)
    record = coordinator.servers.get(message.server) if coordinator else None
    if coordinator is None or record is None or record.plain:
        return
    permit = record.permits.get(message.request_id)
    _log.info(
        LogEvent.PERMIT_GRANTED,
        request_id=message.request_id,
        asker=host,
        server=message.server,
        waited=None if permit is None else _time_queued(permit),
        queue=len(coordinator.queue),
        running=len(record.permits),
        backlog=round(max(0.0, record.prefill_free_at - state.now), 3),
        first_token=round(message.predicted_first_token, 3),
        prefill_rate=int(record.speed.prefill_rate),
        interval=round(record.speed.decode_interval(len(record.permits)), 5),
        limit=round(record.limit.value, 1),
        straggler_share=round(record.straggler.share, 2),
        failures=round(record.outcomes.failure_rate(state.now), 2),
        role=role_of(state, coordinator),
        server_limit=coordinator.rate_of(record),
    )


@log_decision.register
def _(message: PermitRefusal, state: HostState, host: HostId) -> None:
    coordinator = _coordinator(state, message.shard)
    if coordinator is None:
        return
    _log.info(
        LogEvent.PERMIT_REFUSED,
        request_id=message.request_id,
        asker=host,
        reason=message.reason,
        retry_after=round(message.retry_after, 2),
        queue=len(coordinator.queue),
        slots=round(coordinator.slots(), 2),
        running=sum(len(record.permits) for record in coordinator.servers.values()),
        known=coordinator.quotas.is_known(state.now),
        role=role_of(state, coordinator),
    )


@log_decision.register
def _(message: MoveProposal, state: HostState, host: HostId) -> None:
    coordinator = _coordinator(state, message.shard)
    pending = coordinator.moves.get(message.request_id) if coordinator else None
    if pending is None:
        return
    move = pending.move
    _log.info(
        LogEvent.MOVE_PROPOSED,
        request_id=message.request_id,
        asker=host,
        source=message.source,
        server=message.target,
        stays=round(move.stays, 3),
        moves=round(move.moves, 3),
        copy_time=round(move.copy_time, 4),
        left=round(move.run.left, 3),
        written=move.run.written,
    )


def log_forecast(effect: ReportForecast) -> None:
    """Log the forecast on which a request is refused; the refusal follows."""
    _log.info(
        LogEvent.PERMIT_FORECAST,
        request_id=effect.request_id,
        shard=effect.shard,
        expected=round(effect.expected, 3),
        least=round(effect.least, 3),
        left=round(effect.left, 3),
        age=round(effect.age, 3),
        late=effect.late,
    )


def _time_queued(permit: Permit) -> Seconds:
    """Return how long a request waited here, without the way of its messages."""
    queued_at = permit.deadline - permit.request.remaining
    return round(permit.granted - queued_at, 4)


def _coordinator(state: HostState, shard: ShardId) -> Coordinator | None:
    return state.fallbacks.get(shard) or state.coordinators.get(shard)


def log_signal(effect: ReportSignal) -> None:
    """Log a change of what is known from a server's own answers."""
    event = _SIGNAL_EVENTS[effect.signal]
    _log.info(
        event,
        server=effect.incarnation.server,
        born=effect.incarnation.number,
        address=effect.incarnation.address,
        source=effect.source,
        age=round(effect.age, 3),
        duration=round(effect.duration, 3),
        rate=effect.rate,
        before=effect.before,
    )


_PART_EVENTS = {
    SubjectState.SUSPECTED: LogEvent.PART_SUSPECTED,
    SubjectState.HELD: LogEvent.PART_HELD,
    SubjectState.CLEAR: LogEvent.PART_CLEARED,
}


def log_part(effect: ReportSubject, host: HostId) -> None:
    """Log a change of what is believed of a prompt part or a whole request.

    Suspicions and their ends are logged where the evidence was found, and holds and
    their ends on every host.
    """
    change = effect.change
    held = SubjectState.HELD in (change.state, change.before)
    if not held and change.source != host:
        return
    event = _PART_EVENTS[change.state]
    _log.info(
        event,
        part=f"{change.subject.hash:x}",
        pool=change.subject.pool,
        model=change.subject.model,
        version=change.subject.version,
        kind=change.subject.kind,
        before=change.before,
        ends=change.ends,
        requests=change.requests,
        lasted=round(change.lasted, 3),
        source=change.source,
    )


def log_hold(effect: ReportHold) -> None:
    """Log why a request is refused: for a part of its prompt, or as a whole."""
    _log.info(
        LogEvent.REQUEST_HELD,
        request_id=effect.request_id,
        **_hold_details(effect.hold),
    )


def log_trial(effect: ReportTrial) -> None:
    """Log that a held subject is tried again with a request."""
    _log.info(
        LogEvent.PART_TRIED,
        request_id=effect.request_id,
        server=effect.server,
        **_hold_details(effect.hold),
    )


def _hold_details(hold: Hold) -> dict[str, object]:
    return {
        "kind": hold.subject.kind,
        "part": f"{hold.subject.hash:x}",
        "held_for": round(hold.age, 3),
        "ends": hold.ends,
        "trials": hold.trials,
    }


def log_answer(exchange: RoutedExchange, dispatch: Dispatch, now: Seconds) -> None:
    """Log an answered request."""
    call = exchange.call
    first = exchange.first_byte
    _log.info(
        LogEvent.REQUEST_ANSWERED,
        request_id=call.request_id,
        route=call.route.name,
        server=dispatch.server,
        runs=exchange.dispatches,
        prompt_tokens=call.params.prompt_tokens,
        tokens=exchange.tokens,
        first_byte=None if first is None else round(first - call.arrived, 4),
        age=round(now - call.arrived, 4),
        caller_gone=exchange.caller_disconnected,
        **dispatch.answer_details(),
    )


def log_return(effect: ReportReturn) -> None:
    """Log why this host returned a grant unused."""
    _log.info(
        LogEvent.PERMIT_RETURNED,
        request_id=effect.request_id,
        shard=effect.shard,
        coordinator=effect.coordinator,
        server=effect.server,
        reason=effect.reason,
        age=rounded(effect.age),
    )


def log_fallback_start(effect: ReportFallbackStart) -> None:
    """Log that another decider than before decides on this host's permits."""
    _log.warning(
        LogEvent.FALLBACK_STARTED,
        shard=effect.shard,
        coordinator=effect.coordinator,
        decider=effect.decider,
        cause=effect.cause,
        silent=rounded(effect.silent),
        waiting=effect.waiting,
    )


def log_fallback_end(effect: ReportFallbackEnd) -> None:
    """Log that a shard's coordinator decides this host's permits again."""
    _log.info(
        LogEvent.FALLBACK_ENDED,
        shard=effect.shard,
        coordinator=effect.coordinator,
        lasted=rounded(effect.lasted),
        waiting=effect.waiting,
    )


def rounded(seconds: Seconds | None) -> Seconds | None:
    """Return a time in milliseconds' precision, for log lines."""
    return None if seconds is None else round(seconds, 3)


class LineLimit:
    """Bound the lines of one kind a second, and count those that are skipped."""

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._second = 0
        self._lines = 0
        self._skipped = 0

    def take(self, now: Seconds) -> int | None:
        """Return the lines skipped before a line, or None if it is skipped as well."""
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
        if self._lines >= self._per_second:
            self._skipped += 1
            return None
        self._lines += 1
        skipped, self._skipped = self._skipped, 0
        return skipped


class BackoffLog:
    """Log the servers that a coordinator backs off from, a bounded number a second."""

    def __init__(self) -> None:
        self._lines = LineLimit(MAX_BACKOFF_LINES)

    def record(self, effect: ReportBackoff, now: Seconds) -> None:
        """Log one backoff, or count it with the next line that is written."""
        skipped = self._lines.take(now)
        if skipped is None:
            return
        _log.info(
            LogEvent.SERVER_BACKED_OFF,
            shard=effect.shard,
            server=effect.server,
            duration=rounded(effect.duration),
            asker=effect.host,
            request_id=effect.request_id,
            skipped=skipped,
        )


class UnlistedPermitLog:
    """Log permits that their hosts don't list, a bounded number of lines a second."""

    def __init__(self) -> None:
        self._lines = LineLimit(MAX_UNLISTED_LINES)

    def record(self, effect: ReportUnlistedPermit, now: Seconds) -> None:
        """Log one permit, or count it with the next line that is written."""
        skipped = self._lines.take(now)
        if skipped is None:
            return
        _log.info(
            LogEvent.PERMIT_UNLISTED,
            request_id=effect.request_id,
            shard=effect.shard,
            server=effect.server,
            asker=effect.host,
            age=rounded(effect.age),
            first_token_seen=effect.first_token_seen,
            skipped=skipped,
        )


class UnreadableLimitLog:
    """Log what servers send in place of a limit, a bounded number of lines a second."""

    def __init__(self) -> None:
        self._lines = LineLimit(MAX_UNREADABLE_LINES)

    def record(self, server: ServerId, value: str, now: Seconds) -> None:
        """Log one value, or count it with the next line that is written."""
        skipped = self._lines.take(now)
        if skipped is not None:
            _log.warning(
                LogEvent.SERVER_LIMIT_UNREADABLE,
                server=server,
                value=value[:MAX_SHOWN_VALUE],
                skipped=skipped,
            )


def log_waiting(state: HostState, now: Seconds) -> None:
    """Log what waits at this host's coordinators, and what their servers could take."""
    for coordinator in (*state.coordinators.values(), *state.fallbacks.values()):
        if not coordinator.queue:
            continue
        oldest = min(waiter.arrived for waiter in coordinator.queue)
        _log.info(
            LogEvent.SHARD_WAITING,
            shard=coordinator.shard,
            role=role_of(state, coordinator),
            rebuilding=coordinator.is_rebuilding(now),
            queue=len(coordinator.queue),
            oldest=round(now - oldest, 3),
            received=coordinator.sequence,
            permits=len(coordinator.permits),
            idle_slots=idle_slots(coordinator),
            servers=count_servers(coordinator, now),
        )
