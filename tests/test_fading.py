from math import e

import pytest

from amaranthferry.fading import FadingSum


def test_amounts_fade_and_add_up():
    found = FadingSum(4.0)
    found.add(2.0, 0.0)
    assert found.value(4.0) == pytest.approx(2.0 / e)
    found.add(1.0, 4.0)
    assert found.value(4.0) == pytest.approx(1.0 + 2.0 / e)
    assert found.rate(4.0) == pytest.approx((1.0 + 2.0 / e) / 4.0)


def test_a_clock_that_steps_back_adds_nothing():
    found = FadingSum(4.0)
    found.add(2.0, 10.0)
    assert found.value(9.0) == 2.0
