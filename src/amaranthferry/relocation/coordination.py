"""Propose moves for a shard's runs, and have their permits follow them."""

from collections.abc import Iterator

from ..coordinator import Coordinator
from ..effects import CountMetric, Effect, SendToHost
from ..lengths import MARGIN_DEVIATIONS
from ..messages import PermitProgress, PermitRelease, PermitRequest, RunningWork
from ..objectives import ObjectiveQueue
from ..servers import Permit, ServerRecord
from ..types import HostId, RequestId, Seconds, ServerId
from .chances import LengthForecast, Pace
from .decision import (
    MAX_MOVES,
    Move,
    Run,
    Slot,
    Waiting,
    choose_moves,
    greatest_gain,
    is_in_doubt,
)
from .messages import MoveOutcome, MoveProposal, MoveReport
from .state import MoveBook

#: Interval at which all runs are reviewed. Hosts report progress half as often, so a
#: shorter one would see little that is new.
REVIEW_PERIOD: Seconds = 0.25
#: Runs in doubt and free engines that one decision considers. A decision follows each
#: release, and more of them cost the coordinator over 2% of a core at 270 slots.
MAX_DOUBTFUL = 8
MAX_TARGETS = 3
#: Time without a report of progress after which a run counts as slower than its engine.
SILENT_TIME: Seconds = 1.0
#: Times of the copy on idle links that a move may take, since copies queue there.
COPY_PATIENCE = 3.0
#: Time by which a copy may begin late: a message and a connection.
COPY_SLACK: Seconds = 0.5


def review_runs(coordinator: Coordinator, now: Seconds) -> list[Effect]:
    """Find the runs in doubt when that is due, and propose moves for them."""
    _expire_moves(coordinator, now)
    book = coordinator.moves
    if coordinator.move_rules is None or not coordinator.has_role:
        book.doubtful.clear()
        return []
    if now < book.reviewed_at + REVIEW_PERIOD or coordinator.is_rebuilding(now):
        return []
    _record_paces(coordinator, min(now - book.reviewed_at, 2 * REVIEW_PERIOD))
    book.reviewed_at = now
    book.doubtful = _most_useful(coordinator, now)
    return propose_moves(coordinator, now)


def _most_useful(coordinator: Coordinator, now: Seconds) -> list[RequestId]:
    """Return the runs that would gain most at the fastest engine, in that order."""
    runs = [
        run
        for permit in coordinator.permits
        if _may_move(coordinator, permit)
        and is_in_doubt(run := _run(coordinator, permit, now))
    ]
    fastest = min(
        (
            _pace(coordinator.moves, record, len(record.permits) or 1)
            for record in coordinator.servers.values()
            if record.accepts_work
        ),
        key=lambda pace: pace.recent + pace.usual,
        default=None,
    )
    if fastest is None:
        return []
    gains = {run.request_id: greatest_gain(run, fastest) for run in runs}
    return sorted(gains, key=lambda request_id: -gains[request_id])


def propose_moves(coordinator: Coordinator, now: Seconds) -> list[Effect]:
    """Propose moves of the runs in doubt, as far as there are free slots for them."""
    book, rules = coordinator.moves, coordinator.move_rules
    if not book.doubtful or rules is None:
        return []
    busy = book.busy_servers()
    free = [
        record
        for name, record in coordinator.servers.items()
        if name not in busy and _has_free_slot(record, now)
    ]
    if not free:
        return []
    free.sort(key=lambda record: _slowness(book, record))
    free = free[:MAX_TARGETS]
    known: dict[RequestId, Permit] = {}
    for request_id in book.doubtful:
        permit = coordinator.permits.get(request_id)
        if len(known) == MAX_DOUBTFUL:
            break
        if permit is None or permit.server.cfg.name in busy:
            continue
        if _may_move(coordinator, permit):
            known[request_id] = permit
    moves = choose_moves(
        [_run(coordinator, permit, now) for permit in known.values()],
        lambda run: _slots_for(book, known[run.request_id], free, now),
        rules,
        waiting=_first_waiting(coordinator, now),
        busy=busy,
    )
    return [
        effect
        for move in moves
        for effect in _begin(coordinator, move, known[move.run.request_id], now)
    ]


def _begin(
    coordinator: Coordinator, move: Move, permit: Permit, now: Seconds
) -> list[Effect]:
    rules = coordinator.move_rules
    assert rules is not None
    patience = COPY_SLACK + COPY_PATIENCE * move.copy_time
    # The last copy, and one more engine to go on, each take the handle's time at most.
    expires_at = now + patience + 2 * rules.handle_lifetime
    target = coordinator.servers[move.target]
    coordinator.moves.begin(move, permit, target, expires_at=expires_at)
    permit.moves += 1
    message = MoveProposal(
        request_id=permit.request.request_id,
        shard=coordinator.shard,
        source=permit.server.cfg.name,
        target=move.target,
        patience=patience,
    )
    return [
        SendToHost(host=permit.host, message=message),
        CountMetric(name="moves.proposed"),
    ]


def _may_move(coordinator: Coordinator, permit: Permit) -> bool:
    """Return whether a run may move; one under suspicion stays where it is."""
    return (
        permit.movable
        and permit.first_token_seen
        and permit.moves < MAX_MOVES
        and permit.orphaned_until is None
        and not permit.alone_subjects
        and permit.request.request_id not in coordinator.moves
    )


def _has_free_slot(record: ServerRecord, now: Seconds) -> bool:
    """Return whether a server has a slot for a copy; one with a limit has none."""
    return (
        record.accepts_work
        and now >= record.blocked_until
        and record.allowance is None
        and not record.runs_suspect
        and len(record.permits) + record.external.running(now) < record.slots
    )


def _slots_for(
    book: MoveBook, permit: Permit, free: list[ServerRecord], now: Seconds
) -> Iterator[Slot]:
    """Yield the free slots where a run could go on; its memory fits one version."""
    source, request = permit.server, permit.request
    for record in free:
        if (
            record is not source
            and record.cfg.model_version == source.cfg.model_version
            and record.serves(request)
            and record.accepts_from(permit.host, now)
            and record.tokens + permit.tokens <= record.cfg.kv_tokens
        ):
            pace = _pace(book, record, len(record.permits) + 1)
            yield Slot(record.cfg.name, record.cfg.zone, pace)


def _record_paces(coordinator: Coordinator, elapsed: Seconds) -> None:
    for name, record in coordinator.servers.items():
        if any(permit.output_tokens > 1 for permit in record.permits.values()):
            recent = record.speed.decode_interval(len(record.permits))
            coordinator.moves.record_interval(name, recent, elapsed)


def _slowness(book: MoveBook, record: ServerRecord) -> Seconds:
    pace = _pace(book, record, len(record.permits) + 1)
    return pace.recent + pace.usual


def _pace(book: MoveBook, record: ServerRecord, batch: int) -> Pace:
    recent = record.speed.decode_interval(batch)
    return Pace(recent, book.usual_interval(record.cfg.name, recent))


def _run(coordinator: Coordinator, permit: Permit, now: Seconds) -> Run:
    record, request = permit.server, permit.request
    pace = _pace(coordinator.moves, record, len(record.permits))
    silent = max(0.0, now - permit.granted - permit.last_progress)
    written = permit.output_tokens
    if silent <= SILENT_TIME:
        written += int(pace.tokens(silent))
    else:
        pace = Pace(max(pace.recent, silent), pace.usual)
    return Run(
        request_id=request.request_id,
        server=record.cfg.name,
        zone=record.cfg.zone,
        tier=request.tier_rank,
        prompt=request.prompt_tokens,
        written=written,
        length=_length(coordinator, request),
        left=permit.deadline - now,
        pace=pace,
    )


def _length(coordinator: Coordinator, request: PermitRequest) -> LengthForecast:
    expected = coordinator.lengths.expected(request)
    margin = coordinator.lengths.conservative(request) / expected - 1
    return LengthForecast.from_mean(expected, margin / MARGIN_DEVIATIONS)


def _first_waiting(coordinator: Coordinator, now: Seconds) -> Waiting | None:
    """Return the request that would get the next free slot."""
    queue = coordinator.queue
    if not len(queue):
        return None
    if isinstance(queue, ObjectiveQueue):
        waiter = queue.in_grant_order(coordinator.minimum_shares, limit=1)[0]
    else:
        waiter = next(iter(queue))
    return Waiting(
        tier=waiter.request.tier_rank,
        length=_length(coordinator, waiter.request),
        left=waiter.deadline - now,
    )


def _expire_moves(coordinator: Coordinator, now: Seconds) -> None:
    """End the moves whose run has ended or whose report doesn't come."""
    for pending in coordinator.moves:
        request_id = pending.permit.request.request_id
        held = coordinator.permits.get(request_id) is pending.permit
        current = coordinator.servers.get(pending.move.target) is pending.target
        if not held or not current or now >= pending.expires_at:
            coordinator.moves.end(request_id)


def drop_move(coordinator: Coordinator, permit: Permit) -> None:
    """Give up the slot that is held for a run that ends."""
    coordinator.moves.end(permit.request.request_id)


def end_move(
    coordinator: Coordinator, report: MoveReport, sender: HostId, now: Seconds
) -> None:
    """Apply a host's report; a repeated or late one changes nothing."""
    pending = coordinator.moves.get(report.request_id)
    if pending is None or pending.permit.host != sender:
        return
    if pending.move.target != report.target:
        return
    if report.outcome is MoveOutcome.MOVED:
        _move(coordinator, pending.permit, report.target)
        # What the host reports next begins at the target.
        pending.permit.last_progress = now - pending.permit.granted
    else:
        coordinator.moves.end(report.request_id)


def follow_progress(
    coordinator: Coordinator, permit: Permit, message: PermitProgress
) -> bool:
    """Have a permit follow its run; return whether the progress is of its server."""
    if coordinator.move_rules is None:
        return True
    if permit.server.cfg.name != message.server:
        if not _may_be_at(coordinator, permit, message.server):
            return False
        _move(coordinator, permit, message.server)
        # The time of the changeover says nothing about either engine's speed.
        permit.output_tokens = message.output_tokens
        permit.last_progress = message.elapsed
    permit.movable = message.movable
    return True


def follow_release(
    coordinator: Coordinator, permit: Permit, message: PermitRelease
) -> None:
    """Have a permit follow a run whose end is the first that is heard of its move."""
    if coordinator.move_rules is None or permit.server.cfg.name == message.server:
        return
    if message.dispatched and _may_be_at(coordinator, permit, message.server):
        _move(coordinator, permit, message.server)
        permit.output_tokens = message.output_tokens
        permit.last_progress = message.elapsed


def follow_registration(
    coordinator: Coordinator, work: RunningWork, sender: HostId
) -> None:
    """Have a permit follow a run that its host registers elsewhere."""
    permit = coordinator.permits.get(work.request.request_id)
    if coordinator.move_rules is None or permit is None or permit.host != sender:
        return
    same_attempt = permit.request.excluded == work.request.excluded
    if same_attempt and permit.server.cfg.name != work.server:
        _move(coordinator, permit, work.server)


def _may_be_at(coordinator: Coordinator, permit: Permit, server: ServerId) -> bool:
    """Return whether a run may have moved to a server.

    A message about an earlier attempt names one of the excluded servers, and one about
    an earlier place comes from before a move that this coordinator proposed.
    """
    if server in permit.request.excluded or server not in coordinator.servers:
        return False
    pending = coordinator.moves.get(permit.request.request_id)
    return permit.moves == 0 if pending is None else pending.move.target == server


def _move(coordinator: Coordinator, permit: Permit, server: ServerId) -> None:
    record = coordinator.servers.get(server)
    coordinator.moves.end(permit.request.request_id)
    if record is not None and record is not permit.server:
        coordinator.permits.move(permit, record)
