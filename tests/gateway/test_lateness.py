import pytest
import structlog

from amaranthferry.gateway import lateness as lateness_module
from amaranthferry.gateway.lateness import (
    LATE_TICK,
    LOG_PERIOD,
    MAXIMUM_PERIOD,
    Lateness,
)


@pytest.fixture
def lines(monkeypatch):
    log = structlog.testing.CapturingLogger()
    monkeypatch.setattr(lateness_module, "_log", log)
    return log.calls


def test_late_ticks_are_logged_at_most_once_a_second(lines):
    lateness = Lateness(0.0)
    for number in range(40):
        now = 0.1 * number
        lateness.record(LATE_TICK * (2 if number == 5 else 1), now)
    assert [line.args[0] for line in lines] == ["host.lagging"] * 4
    assert lines[1].kwargs["ticks"] == 10
    assert lines[1].kwargs["late"] == 2 * LATE_TICK
    assert lines[2].kwargs["late"] == LATE_TICK


def test_ticks_in_time_are_not_logged(lines):
    lateness = Lateness(0.0)
    for number in range(40):
        lateness.record(LATE_TICK / 2, 0.1 * number)
    assert lines == []


def test_late_ticks_after_the_last_line_are_logged_with_the_next_one(lines):
    lateness = Lateness(0.0)
    lateness.record(LATE_TICK, 0.0)
    lateness.record(2 * LATE_TICK, 0.1)
    lateness.record(0.0, LOG_PERIOD)
    assert [line.kwargs["late"] for line in lines] == [LATE_TICK, 2 * LATE_TICK]


def test_greatest_lateness_is_kept_for_a_while():
    lateness = Lateness(0.0)
    lateness.record(0.7, 1.0)
    assert lateness.greatest(2.0) == 0.7
    assert lateness.greatest(MAXIMUM_PERIOD + 1.0) == 0.7
    assert lateness.greatest(3 * MAXIMUM_PERIOD) == 0.0
