import random

import pytest

from amaranthferry.rollout.evidence import BUCKET_COUNT, HostEvidence, add_up, bucket_of
from amaranthferry.rollout.judging import (
    CHANCE_OF_LAST,
    Measure,
    Timeline,
    judge,
    tail,
)


def evidence(timeline, now, sides, seed=1):
    """Record answers: route, side, count, share of failures, time, share of slow ones."""
    random_ = random.Random(f"{seed} {now}")
    host = evidence.host
    for route, is_new, count, failures, slow in sides:
        for _ in range(count):
            took = 0.1 * random_.uniform(0.8, 1.2)
            took *= 4 if random_.random() < slow else 1
            failed = random_.random() < failures
            host.record_first(route, is_new, took)
            host.record_end(route, is_new, failed=failed, elapsed=took)
    timeline.record(add_up([host.counts()]), now)


def timeline_of(*sides, seconds=8):
    evidence.host = HostEvidence()
    timeline = Timeline()
    for number in range(2 * seconds):
        evidence(timeline, 0.5 * number, sides)
    return timeline


def test_equal_versions_are_not_told_apart():
    timeline = timeline_of(("a", False, 40, 0.01, 0.05), ("a", True, 5, 0.01, 0.05))
    assert judge(timeline) is None
    assert judge(timeline, CHANCE_OF_LAST) is None


@pytest.mark.parametrize(
    ("failures", "slow", "measure"),
    [(0.2, 0.02, Measure.FAILURES), (0.01, 0.4, Measure.FIRST)],
)
def test_version_that_is_bad_in_part_is_found_on_its_route(failures, slow, measure):
    timeline = timeline_of(
        ("a", False, 40, 0.01, 0.02),
        ("b", False, 20, 0.01, 0.02),
        ("a", True, 8, 0.01, 0.02),
        ("b", True, 8, failures, slow),
    )
    finding = judge(timeline)
    assert (finding.route, finding.measure) == ("b", measure)
    assert str(finding).startswith(f"{measure} on b: ")


def test_failures_that_both_versions_have_show_nothing():
    """Guards against a rollback for a fault that has nothing to do with the version."""
    timeline = timeline_of(("a", False, 40, 0.3, 0.3), ("a", True, 8, 0.3, 0.3))
    assert judge(timeline) is None


def test_one_slow_moment_of_a_server_shows_nothing():
    """Guards against a rollback for a server that is slow for 0.6 s."""
    evidence.host = HostEvidence()
    timeline = Timeline()
    for number in range(16):
        slow = 1.0 if number in (7, 8) else 0.02
        sides = [("a", False, 40, 0.0, 0.02), ("a", True, 5, 0.0, slow)]
        evidence(timeline, 0.5 * number, sides)
    assert judge(timeline, CHANCE_OF_LAST) is None


def test_requests_without_an_answer_count_as_slow_once_they_are():
    """Guards against a version that never answers and so gives no evidence."""
    host = HostEvidence()
    for _ in range(100):
        host.record_first("a", False, 0.1)
        host.record_end("a", False, failed=False, elapsed=0.1)
    timeline = Timeline()
    for number in range(20):
        pending = [("a", True, 0.5 * n) for n in range(1, number) for _ in range(3)]
        timeline.record(add_up([host.counts(pending)]), 0.5 * number)
    assert judge(timeline).measure is Measure.FIRST


def test_servers_that_refuse_everything_are_bad():
    host, timeline = HostEvidence(), Timeline()
    for number in range(10):
        for _ in range(20):
            host.record_first("a", False, 0.1)
            host.record_end("a", False, failed=False, elapsed=0.1)
        for _ in range(3):
            host.record_refusal("a", True)
        timeline.record(add_up([host.counts()]), 0.5 * number)
    assert judge(timeline).measure is Measure.REFUSALS


def test_version_that_turns_bad_later_is_found_by_its_recent_answers():
    evidence.host = HostEvidence()
    timeline = Timeline()
    for number in range(60):
        failures = 0.5 if number >= 54 else 0.0
        sides = [("a", False, 40, 0.0, 0.0), ("a", True, 10, failures, 0.0)]
        evidence(timeline, 0.5 * number, sides)
    assert judge(timeline).measure is Measure.FAILURES


def test_tail_is_the_binomial_one():
    assert tail(10, 10, 0.5) == pytest.approx(0.5**10)
    assert tail(3, 2, 0.1) == pytest.approx(3 * 0.01 * 0.9 + 0.001)
    assert tail(0, 0, 0.1) == tail(10, 1, 0.1) == 1.0


def test_buckets_cover_all_times():
    assert bucket_of(0.0) == 0
    assert bucket_of(1e9) == BUCKET_COUNT - 1
    assert bucket_of(0.2) - bucket_of(0.1) == 2


def test_counts_of_many_routes_are_bounded():
    """Guards against reports that grow with the number of routes."""
    host = HostEvidence()
    for number in range(200):
        host.record_end(f"route-{number}", True, failed=False, elapsed=0.1)
    counts = host.counts([("route-x", True, 1.0)])
    assert len(counts) <= 34
    assert sum(item.answers for item in counts) == 200
    assert sum(sum(item.pending) for item in counts) == 1
