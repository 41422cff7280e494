"""Decide which runs go on at another engine, and where.

A run moves if another engine with a free slot is clearly more likely to complete it in
time. A slot that somebody waits for is taken only if the run makes more of its time than
the first of those who wait, to whom the run's own slot is given instead.
"""

from collections.abc import Callable, Iterable, Sequence

import msgspec

from ..config import MoveRules
from ..types import RequestId, Seconds, ServerId, Tokens, ZoneId
from .chances import LengthForecast, Pace, completion_chance

#: Least gain in the chance of completion. The measured paces of equal engines differ by
#: about a tenth, which changes the chance by up to a tenth where lengths vary as they do;
#: a move that gains no more would be undone by the next one.
MIN_GAIN = 0.1
#: Chance of completion above which no move could gain enough.
ENOUGH = 1.0 - MIN_GAIN
#: Time without events while a run changes over: a connection and a short last copy.
CHANGEOVER: Seconds = 0.1
#: Shortest time that a request is taken to need; less says nothing about a slot's worth.
MIN_TIME: Seconds = 0.1
#: Moves of one run. Each costs a slot at two engines while its memory is copied.
MAX_MOVES = 3
#: Fraction of the time left that a copy may take.
MAX_COPY_FRACTION = 0.5


class Run(msgspec.Struct, frozen=True):
    """Describe a run that may move."""

    request_id: RequestId
    server: ServerId
    zone: ZoneId
    tier: int
    prompt: Tokens
    written: Tokens
    length: LengthForecast
    left: Seconds
    pace: Pace


class Slot(msgspec.Struct, frozen=True):
    """Describe an engine with a free slot, and its pace with one run more."""

    server: ServerId
    zone: ZoneId
    pace: Pace


class Waiting(msgspec.Struct, frozen=True):
    """Describe the first request that waits for a slot."""

    tier: int
    length: LengthForecast
    left: Seconds


class Move(msgspec.Struct, frozen=True):
    """Describe a chosen move; chances are those to complete in time."""

    run: Run
    target: ServerId
    copy_time: Seconds
    stays: float
    moves: float


def is_in_doubt(run: Run) -> bool:
    """Return whether a move could gain enough for a run."""
    return stay_chance(run) < ENOUGH


def stay_chance(run: Run) -> float:
    """Return the chance that a run completes in time where it is."""
    return completion_chance(run.length, run.pace, run.left, written=run.written)


def greatest_gain(run: Run, fastest: Pace) -> float:
    """Return what a run would gain if it were at the fastest engine already."""
    chance = completion_chance(run.length, fastest, run.left, written=run.written)
    return chance - stay_chance(run)


def best_move(
    run: Run,
    slots: Iterable[Slot],
    rules: MoveRules,
    *,
    waiting: Waiting | None = None,
) -> Move | None:
    """Return the best move of a run in doubt, or None if none gains enough."""
    stays = stay_chance(run)
    if stays >= ENOUGH:
        return None
    best: Move | None = None
    for slot in slots:
        move = _move_to(run, slot, rules, stays)
        if move is None or not _is_worth_it(move, slot, waiting):
            continue
        if best is None or move.moves > best.moves:
            best = move
    return best


def _move_to(run: Run, slot: Slot, rules: MoveRules, stays: float) -> Move | None:
    same_zone = run.zone == slot.zone
    copy_time = rules.copy_time(run.prompt + run.written, same_zone=same_zone)
    if copy_time > run.left * MAX_COPY_FRACTION:
        return None
    # The run goes on at its source while the first copy is made.
    written_meanwhile = int(run.pace.tokens(copy_time))
    last_copy = rules.copy_time(written_meanwhile, same_zone=same_zone)
    left = run.left - copy_time - last_copy - CHANGEOVER
    recent = run.length.ends_by(
        run.written + written_meanwhile + max(0.0, left) / slot.pace.recent,
        written=run.written,
    )
    usual = run.length.ends_by(
        run.written + written_meanwhile + max(0.0, left) / slot.pace.usual,
        written=run.written,
    )
    moves = (recent + usual) / 2
    if left <= 0 or moves - stays < MIN_GAIN:
        return None
    return Move(run, slot.server, copy_time, stays, moves)


def _is_worth_it(move: Move, slot: Slot, waiting: Waiting | None) -> bool:
    """Return whether the run makes more of both slots' time than the first who waits.

    The time of a slot counts by the chance of completion that the waiting request would
    gain there, a second; the target's is taken from it and the source's given to it.
    """
    if waiting is None:
        return True
    run = move.run
    if waiting.tier < run.tier:
        return False
    rest = run.length.usual_rest(written=run.written)
    stays_for = min(run.left, rest / run.pace.tokens(1.0))
    moves_for = move.copy_time + min(run.left, rest / slot.pace.tokens(1.0))
    given = _worth(waiting, run.pace) * (stays_for - move.copy_time)
    taken = _worth(waiting, slot.pace) * moves_for
    return move.moves - move.stays + given > taken


def _worth(waiting: Waiting, pace: Pace) -> float:
    """Return the chance of completion that a request gains a second at some pace."""
    time = min(waiting.left, waiting.length.median / pace.tokens(1.0))
    chance = completion_chance(waiting.length, pace, waiting.left, written=0)
    return chance / max(time, MIN_TIME)


def choose_moves(
    runs: Sequence[Run],
    slots_for: Callable[[Run], Iterable[Slot]],
    rules: MoveRules,
    *,
    waiting: Waiting | None,
    busy: Iterable[ServerId],
) -> list[Move]:
    """Return the moves that begin now, the most useful ones first.

    Copies queue on the links of both engines, so that each takes part in one at a time.
    """
    taken = set(busy)

    def best(run: Run) -> Move | None:
        if run.server in taken:
            return None
        slots = [slot for slot in slots_for(run) if slot.server not in taken]
        return best_move(run, slots, rules, waiting=waiting)

    chosen = []
    moves = [move for run in runs if (move := best(run))]
    for first in sorted(moves, key=lambda move: move.stays - move.moves):
        # The best target may have been taken meanwhile, and another one be free.
        move = first if first.target not in taken else best(first.run)
        if move is not None and move.run.server not in taken:
            taken |= {move.run.server, move.target}
            chosen.append(move)
    return chosen
