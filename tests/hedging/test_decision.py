"""Guard against second runs that forecasts don't justify, and slow ones left alone."""

import random

from amaranthferry.hedging.decision import Reason, RunningRun, decide, first_check
from amaranthferry.hedging.latency import (
    MAX_ROUTES,
    LatencyModel,
    RouteTimes,
    ServerTimes,
)

OTHERS = ("s1", "s2")
NOW = 60.0


def learned(times, *, server="s1", until=NOW):
    """Return a model of runs that ended one after the other."""
    model = LatencyModel()
    for number, time in enumerate(times):
        model.observe("p", "r", server, time, until * number / len(times))
    return model


def run(age, *, left=2.0, server="s0"):
    return RunningRun("p", "r", server, age, left)


def spread(mean, *, count=200, seed=1):
    rng = random.Random(seed)
    return [mean * rng.lognormvariate(0, 0.2) for _ in range(count)]


def test_nothing_is_decided_without_known_times():
    assert decide(LatencyModel(), run(1.0), OTHERS, now=0.0).reason is (
        Reason.UNKNOWN_TIMES
    )


def test_run_that_is_as_old_as_usual_ones_is_left_alone():
    decision = decide(learned(spread(0.1)), run(0.1), OTHERS, now=NOW)
    assert decision.reason is Reason.NOT_SLOWER


def test_run_that_is_far_older_than_usual_ones_gets_a_second_one():
    decision = decide(learned(spread(0.1)), run(0.4), OTHERS, now=NOW)
    assert decision.wants_hedge
    assert decision.remaining.low > decision.fresh.high


def test_run_times_without_memory_give_no_reason_for_a_second_run():
    """A fixed percentile would send one here for nothing: what is left never grows."""
    rng = random.Random(1)
    model = learned([rng.expovariate(10.0) for _ in range(3_000)])
    for age in (0.1, 0.2, 0.3):
        assert not decide(model, run(age), OTHERS, now=NOW).wants_hedge


def test_few_known_runs_delay_the_second_one():
    few = first_check(learned([0.1] * 2, until=1.0), "p", "r", "s0", 1.5)
    many = first_check(learned([0.1] * 500), "p", "r", "s0", NOW)
    assert few is not None and many is not None
    assert few >= many


def test_second_run_has_to_end_before_the_deadline():
    decision = decide(learned(spread(0.1)), run(0.4, left=0.05), OTHERS, now=NOW)
    assert decision.reason is Reason.DEADLINE


def test_servers_that_are_slow_themselves_are_avoided():
    model = learned(spread(0.1))
    for _ in range(4):
        model.suspect("s1", 8.0, NOW)
    assert decide(model, run(0.4), OTHERS, now=NOW).avoid == ("s1",)


def test_run_at_a_server_known_as_slow_is_decided_on_at_once():
    model = learned(spread(0.1))
    for _ in range(4):
        model.suspect("s0", 5.0, NOW)
    assert first_check(model, "p", "r", "s0", NOW) == 0.0
    assert decide(model, run(0.0), OTHERS, now=NOW).wants_hedge


def test_slowness_of_a_server_is_forgotten_within_seconds():
    times = ServerTimes(0.0)
    times.observe(5.0, 0.0)
    assert times.factor(0.0) > 2.0
    assert times.factor(15.0) < 1.1


def test_service_that_is_slow_as_a_whole_counts_as_busy():
    """Guard against second runs that add to an overload."""
    model = learned(spread(0.1))
    for number in range(60):
        model.observe("p", "r", f"s{number % 3}", 0.4, NOW + number * 0.2)
    now = NOW + 12.0
    assert decide(model, run(2.0), OTHERS, now=now).reason is Reason.BUSY


def test_cancelled_runs_keep_the_long_times_in_the_distribution():
    """Guard against a forecast that forgets slow runs since hedging cuts them short."""
    whole, cut = RouteTimes(0.0), RouteTimes(0.0)
    for number in range(500):
        now = number * 0.05
        slow = number % 10 == 0
        time = 0.5 if slow else 0.1
        whole.observe(time, now)
        if slow and number >= 100:
            cut.observe_longer(0.2, now)
        else:
            cut.observe(time, now)
    expected = whole.distribution(30.0).fresh().mean
    assert abs(cut.distribution(30.0).fresh().mean - expected) < 0.1 * expected
    assert cut.distribution(30.0).remaining(0.2).mean > 0.2


def test_weights_stay_finite_over_a_long_time():
    times = RouteTimes(0.0)
    for hour in range(100):
        times.observe(0.1, hour * 3_600.0)
    assert 0.05 < times.distribution(99 * 3_600.0).fresh().mean < 0.2


def test_servers_and_routes_that_come_and_go_leave_no_state():
    """Guard against memory that grows with each new incarnation of a server."""
    model = LatencyModel()
    for number in range(1_000):
        model.observe("p", f"r{number}", f"s{number}", 0.1, number * 1.0)
    assert model.server_count == 1_000
    model.retain({"s999"})
    assert model.server_count == 1
    assert len(model._routes) == MAX_ROUTES
