"""Check how long a silent server is waited for."""

import pytest

from amaranthferry.catalog import Route, RouteKind, RouteTarget
from amaranthferry.gateway.patience import AnswerTimes, even_part

SERVICE = "ledger"


def route(*, max_attempts=2):
    return Route(
        name="r",
        host="h",
        prefix="/",
        kind=RouteKind.SAFE,
        targets=(RouteTarget("s"),),
        max_attempts=max_attempts,
    )


def limit_of(times, patience, *, service=SERVICE, **options):
    return times.silence_limit(service, patience, route(**options), dispatches=1)


def times_of(*samples):
    times = AnswerTimes()
    for seconds in samples:
        times.observe(SERVICE, seconds)
    return times


def test_server_is_not_given_up_while_nothing_is_known_of_its_service():
    assert limit_of(AnswerTimes(), 6.0) == 6.0
    assert limit_of(times_of(0.1), 6.0, service="other") == 6.0


def test_slow_but_sound_server_is_not_given_up():
    times = times_of(*[1.9, 2.0, 2.1] * 20)
    assert limit_of(times, 10.0) > 2.1


@pytest.mark.parametrize("attempts", [2, 3, 5])
def test_silent_server_leaves_each_later_run_as_much_time(attempts):
    times = times_of(*[0.03, 0.05] * 20)
    assert limit_of(times, 2.5, max_attempts=attempts) == 2.5 / attempts


def test_limit_does_not_follow_a_servers_usual_time_closely():
    """A fast service that is late for a moment is not given up for that."""
    times = times_of(*[0.030, 0.031] * 20)
    assert limit_of(times, 0.6) == 0.3


def test_server_is_not_given_up_when_no_time_is_left_for_another():
    times = times_of(*[2.0] * 20)
    assert limit_of(times, 3.0) == 3.0


def test_service_that_becomes_slow_is_not_given_up_again_and_again():
    times = times_of(*[0.05] * 20)
    for _ in range(10):
        times.back_off(SERVICE, limit_of(times, 60.0))
    assert limit_of(times, 60.0) > 0.5


@pytest.mark.parametrize("factor", [0.25, 4.0])
def test_limit_is_in_proportion_to_the_times(factor):
    whole = limit_of(times_of(0.1, 0.2, 0.1), 5.0)
    part = times_of(*[factor * s for s in (0.1, 0.2, 0.1)])
    assert limit_of(part, 5.0 * factor) == pytest.approx(whole * factor)


@pytest.mark.parametrize("attempts", [1, 2, 3, 5])
def test_silent_streams_leave_each_later_run_as_much_time(attempts):
    cfg, patience, limits = route(max_attempts=attempts), 6.0, []
    for run in range(1, attempts + 1):
        limits.append(even_part(patience, cfg, dispatches=run))
        patience -= limits[-1]
    assert limits == pytest.approx([6.0 / attempts] * attempts)


def test_no_time_is_left_after_the_caller_has_given_up():
    assert even_part(-1.0, route(), dispatches=1) == 0.0
