"""Play moves off and on in virtual time, on the same arrivals and slow spells."""

import pytest

from .simulation import play


@pytest.mark.parametrize("load", [0.7, 1.0, 1.5, 3.0])
def test_moves_save_runs_from_being_cut_off_without_fewer_answers(load):
    """Guard against moves that cost as many runs as they save."""
    off = play(load=load, moves=False)
    on = play(load=load, moves=True)
    assert off.moved == 0
    assert on.moved > 0
    assert on.cut_off < off.cut_off
    assert on.wasted < off.wasted
    assert on.done >= off.done
