"""Play moves off and on in virtual time, on the same arrivals and slow spells."""

import pytest

from .simulation import play

#: One seed alone differs by up to 3 in 100 answers in either direction.
SEEDS = (1, 2, 3)


def total(results, field):
    return sum(getattr(result, field) for result in results)


@pytest.mark.parametrize("load", [0.7, 1.0, 1.5, 3.0])
def test_moves_save_more_runs_from_being_cut_off_than_they_cost(load):
    """Guard against moves whose copies hold slots for more answers than they save."""
    off = [play(load=load, moves=False, seed=seed) for seed in SEEDS]
    on = [play(load=load, moves=True, seed=seed) for seed in SEEDS]
    assert not total(off, "moved")
    assert total(on, "moved") > 0
    assert total(on, "cut_off") < total(off, "cut_off")
    assert total(on, "wasted") < total(off, "wasted")
    saved = total(off, "cut_off") - total(on, "cut_off")
    assert total(off, "done") - total(on, "done") < saved
