from math import e

import pytest

from amaranthferry.decay import DecayingSum


def test_amounts_decay_and_add_up():
    decaying = DecayingSum(4.0)
    decaying.add(2.0, 0.0)
    assert decaying.value(4.0) == pytest.approx(2.0 / e)
    decaying.add(1.0, 4.0)
    assert decaying.value(4.0) == pytest.approx(1.0 + 2.0 / e)
    assert decaying.rate(4.0) == pytest.approx((1.0 + 2.0 / e) / 4.0)


def test_backward_clock_step_does_not_raise_sum():
    decaying = DecayingSum(4.0)
    decaying.add(2.0, 10.0)
    assert decaying.value(9.0) == 2.0
