"""Check which runs move, and where to."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthferry.config import MoveRules
from amaranthferry.relocation.chances import LengthForecast, Pace, completion_chance
from amaranthferry.relocation.decision import (
    MIN_GAIN,
    Run,
    Slot,
    Waiting,
    best_move,
    choose_moves,
    is_in_doubt,
    stay_chance,
)

RULES = MoveRules(token_bytes=1_000, link_rate=125_000_000)
SLOW, FAST = Pace(0.05, 0.05), Pace(0.01, 0.01)
LENGTH = LengthForecast(median=300, spread=0.7)
RUN = Run(
    request_id="r1",
    server="slow",
    zone="z",
    tier=1,
    prompt=1_000,
    written=100,
    length=LENGTH,
    left=8.0,
    pace=SLOW,
)
SLOT = Slot("fast", "z", FAST)


def test_run_moves_to_an_engine_that_can_complete_it():
    move = best_move(RUN, [SLOT, Slot("slow-too", "z", SLOW)], RULES)
    assert move.target == "fast"
    assert move.moves - move.stays > MIN_GAIN


def test_run_that_its_engine_completes_stays():
    assert not is_in_doubt(msgspec.structs.replace(RUN, pace=FAST))
    assert best_move(msgspec.structs.replace(RUN, pace=FAST), [SLOT], RULES) is None


def test_run_that_no_engine_completes_stays():
    """Guard against copies that only waste a second slot."""
    hopeless = msgspec.structs.replace(RUN, left=0.3)
    assert best_move(hopeless, [SLOT], RULES) is None


def test_run_stays_if_its_copy_takes_the_time_that_is_left():
    slow_link = MoveRules(token_bytes=1_000_000, link_rate=125_000_000)
    assert best_move(RUN, [SLOT], slow_link) is None


def test_copy_between_zones_takes_twice_as_long():
    near = best_move(RUN, [SLOT], RULES)
    far = best_move(RUN, [Slot("fast", "other", FAST)], RULES)
    assert far.copy_time == 2 * near.copy_time


def test_slot_that_more_urgent_work_waits_for_is_left_to_it():
    waiting = Waiting(tier=0, length=LENGTH, left=8.0)
    assert best_move(RUN, [SLOT], RULES, waiting=waiting) is None


def test_slot_is_left_to_work_that_makes_more_of_it():
    """Guard against a run that is almost lost and takes a slot from short work."""
    almost_lost = msgspec.structs.replace(RUN, left=2.0)
    short = Waiting(tier=1, length=LengthForecast(20, 0.3), left=1.0)
    assert best_move(almost_lost, [SLOT], RULES) is not None
    assert best_move(almost_lost, [SLOT], RULES, waiting=short) is None


def test_each_engine_takes_part_in_one_move_at_a_time():
    runs = [msgspec.structs.replace(RUN, request_id=f"r{n}") for n in range(3)]
    slots = [SLOT, Slot("fast-2", "z", FAST)]
    moves = choose_moves(runs, lambda run: slots, RULES, waiting=None, busy=())
    assert len(moves) == 1
    busy = choose_moves(runs, lambda run: slots, RULES, waiting=None, busy=["slow"])
    assert busy == []
    others = [
        msgspec.structs.replace(run, server=f"slow-{n}") for n, run in enumerate(runs)
    ]
    moves = choose_moves(others, lambda run: slots, RULES, waiting=None, busy=())
    assert {move.target for move in moves} == {"fast", "fast-2"}


def test_run_that_has_moved_does_not_move_back_at_equal_speed():
    """Guard against runs that go to and fro by the errors of forecasts."""
    equal = Slot("equal", "z", Pace(0.0455, 0.0455))
    assert best_move(RUN, [equal], RULES) is None


@given(
    median=st.floats(1, 5_000),
    spread=st.floats(0.02, 2.5),
    written=st.integers(0, 20_000),
    left=st.floats(-1, 60),
    recent=st.floats(0.001, 1),
    usual=st.floats(0.001, 1),
)
def test_chances_are_probabilities_and_grow_with_the_time_left(
    median, spread, written, left, recent, usual
):
    length, pace = LengthForecast(median, spread), Pace(recent, usual)
    chance = completion_chance(length, pace, left, written=written)
    later = completion_chance(length, pace, left + 1, written=written)
    assert 0 <= chance <= later + 1e-6 <= 1 + 1e-6
    assert length.usual_rest(written=written) > 0


@pytest.mark.parametrize("deviation", [0.0, 0.25, 0.62, 5.0])
def test_length_forecast_keeps_its_mean_deviation(deviation):
    length = LengthForecast.from_mean(200, deviation)
    assert 0 < length.median <= 200
    assert stay_chance(msgspec.structs.replace(RUN, length=length, left=0)) == 0
