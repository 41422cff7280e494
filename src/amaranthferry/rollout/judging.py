"""Judge a version by the answers of both versions over the same period."""

import math
from collections.abc import Sequence
from enum import StrEnum

import msgspec

from ..types import Seconds
from .evidence import BUCKETS_PER_DOUBLING, Key
from .messages import RouteCounts

#: Chance at which a good version may look bad, for one test of many, and for the last.
#: A rollout makes thousands of tests, which depend on each other.
CHANCE_OF_MANY = 1e-5
CHANCE_OF_LAST = 5e-3
#: Factor on the chance where times are judged, since they are judged in several ways.
TIMES_CHANCE = 0.2
#: Part of a sum below which its further terms are left out.
NEGLIGIBLE = 1e-6
#: Share of answers by which a bad version is worse at least, by measure. The answers of
#: an engine that slows down for a moment raise the share of slow ones by less.
MIN_FAILURES = 0.02
MIN_SLOW = 0.1
MIN_REFUSALS = 0.3
#: Least share of failures that an old version is taken to have.
LEAST_SHARE = 0.01
#: Greatest share of failures that an old version without many answers is taken to have.
GREATEST_FAILURES = 0.3
#: An answer is slow by so many buckets above the old version's median: 1.4, 2 and 4
#: times.
SLOW_BUCKETS = (
    BUCKETS_PER_DOUBLING // 2,
    BUCKETS_PER_DOUBLING,
    2 * BUCKETS_PER_DOUBLING,
)
#: Answers of the old version that its median needs.
MIN_OLD_ANSWERS = 8
#: Length of a slice of the evidence. A server may be slow for a moment without
#: being bad, so the two worst adjacent slices don't count where times are judged.
SLICE: Seconds = 0.5
#: Answers of one server that are slow for the same reason, on average: a slow moment takes
#: in several, and one server alone has more of them at once than several have.
CLUSTER = 1.5
#: Names all routes of a service in a finding.
ALL_ROUTES = "all routes"
#: Slices up to which a bad version is judged by all answers alone.
RECENT_SLICES = 5
#: Slices that are kept; older ones are merged.
MAX_SLICES = 120


class Measure(StrEnum):
    """Define what the answers are judged by."""

    FAILURES = "failures"
    REFUSALS = "refusals"
    FIRST = "first"
    REST = "rest"


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """Name the measure and the route by which a version is bad."""

    route: str
    measure: Measure
    old: float
    new: float
    bad: int
    answers: int

    def __str__(self) -> str:
        return (
            f"{self.measure} on {self.route}: {self.bad} of {self.answers}"
            f" ({self.new:.2f}, the old version {self.old:.2f})"
        )


Counts = dict[Key, RouteCounts]


class Timeline:
    """Keep the evidence of all hosts in slices of time."""

    def __init__(self) -> None:
        self.slices: list[Counts] = [{}]
        self._began: Seconds = 0.0

    @property
    def latest(self) -> Counts:
        """Return all evidence so far."""
        return self.slices[-1]

    def record(self, counts: Counts, now: Seconds) -> None:
        """Record all evidence so far at a time."""
        if now - self._began >= SLICE or len(self.slices) == 1:
            self._began = now
            self.slices.append(counts)
            if len(self.slices) > MAX_SLICES:
                del self.slices[1 : len(self.slices) - MAX_SLICES + 1]
        else:
            self.slices[-1] = counts


def judge(timeline: Timeline, chance: float = CHANCE_OF_MANY) -> Finding | None:
    """Return why the new version is bad, or None if nothing shows it."""
    routes = sorted({route for route, _ in timeline.latest})
    for route in routes:
        for test in (_judge_failures, _judge_refusals, _judge_times):
            finding = test(timeline, route, chance)
            if finding is not None:
                return finding
    return _judge_together(timeline, routes, chance) if len(routes) > 1 else None


def _judge_together(
    timeline: Timeline, routes: list[str], chance: float
) -> Finding | None:
    """Judge the times of all routes together, each by its own old version's median.

    So a version shows as slow sooner where no route has many answers.
    """
    for distance in SLOW_BUCKETS:
        old = (0, 0)
        series: list[tuple[int, int]] = []
        expected = 0.0
        for route in routes:
            known = _counts(timeline.latest, route, False)
            if sum(known.first) < MIN_OLD_ANSWERS:
                continue
            bucket = _median(known.first) + distance
            found = _bad(known, Measure.FIRST, bucket)
            own = _series(timeline, route, Measure.FIRST, bucket)
            expected += sum(count for count, _ in own) * _upper_share(*found)
            old = (old[0] + found[0], old[1] + found[1])
            series = [
                (a[0] + b[0], a[1] + b[1])
                for a, b in zip(series or [(0, 0)] * len(own), own, strict=True)
            ]
        answers = sum(count for count, _ in series)
        if not answers:
            continue
        kept, chance_of_times = _without_worst(series), chance * TIMES_CHANCE
        bad = _test(
            kept, expected / answers, MIN_SLOW, chance_of_times, cluster=CLUSTER
        )
        if bad is not None:
            return _finding(ALL_ROUTES, Measure.FIRST, old, bad)
    return None


def _counts(counts: Counts, route: str, is_new: bool) -> RouteCounts:
    return counts.get((route, is_new)) or RouteCounts(route, is_new)


def _series(
    timeline: Timeline, route: str, measure: Measure, bucket: int = 0
) -> list[tuple[int, int]]:
    """Return the answers of the new version, and the bad ones, by slice."""
    totals = [
        _bad(_counts(counts, route, True), measure, bucket)
        for counts in timeline.slices
    ]
    return [
        (max(0, now[0] - before[0]), max(0, now[1] - before[1]))
        for before, now in zip(totals, totals[1:], strict=False)
    ]


def _bad(item: RouteCounts, measure: Measure, bucket: int) -> tuple[int, int]:
    """Return the number of answers, and how many of them are bad."""
    if measure is Measure.FAILURES:
        return item.answers, item.failures
    if measure is Measure.REFUSALS:
        return item.answers + item.refusals, item.refusals
    if measure is Measure.REST:
        return sum(item.rest), sum(item.rest[bucket + 1 :])
    overdue = sum(item.pending[bucket + 1 :])
    return sum(item.first) + overdue, sum(item.first[bucket + 1 :]) + overdue


def _judge_failures(timeline: Timeline, route: str, chance: float) -> Finding | None:
    old = _bad(_counts(timeline.latest, route, False), Measure.FAILURES, 0)
    expected = min(_upper_share(*old), GREATEST_FAILURES)
    series = _series(timeline, route, Measure.FAILURES)
    for part in (series, series[-RECENT_SLICES:]):
        found = _test(part, expected, MIN_FAILURES, chance)
        if found is not None:
            return _finding(route, Measure.FAILURES, old, found)
    return None


def _judge_refusals(timeline: Timeline, route: str, chance: float) -> Finding | None:
    old = _bad(_counts(timeline.latest, route, False), Measure.REFUSALS, 0)
    series = _series(timeline, route, Measure.REFUSALS)
    found = _test(series, _upper_share(*old), MIN_REFUSALS, chance)
    return None if found is None else _finding(route, Measure.REFUSALS, old, found)


def _judge_times(timeline: Timeline, route: str, chance: float) -> Finding | None:
    known = _counts(timeline.latest, route, False)
    for measure in (Measure.FIRST, Measure.REST):
        times = known.first if measure is Measure.FIRST else known.rest
        if sum(times) < MIN_OLD_ANSWERS:
            continue
        for distance in SLOW_BUCKETS:
            bucket = _median(times) + distance
            old = _bad(known, measure, bucket)
            series = _series(timeline, route, measure, bucket)
            for part in (series, series[-2 * RECENT_SLICES :]):
                kept = _without_worst(part)
                share = _upper_share(*old)
                found = _test(
                    kept, share, MIN_SLOW, chance * TIMES_CHANCE, cluster=CLUSTER
                )
                if found is not None:
                    return _finding(route, measure, old, found)
    return None


def _median(times: Sequence[int]) -> int:
    half, below = sum(times) / 2, 0
    for number, count in enumerate(times):
        below += count
        if below >= half:
            return number
    return len(times)


def _without_worst(series: list[tuple[int, int]]) -> list[tuple[int, int]]:
    """Return the slices without the two adjacent ones that have the most slow answers."""
    if len(series) <= 2:
        return []
    pairs = range(len(series) - 1)
    worst = max(pairs, key=lambda i: series[i][1] + series[i + 1][1])
    return series[:worst] + series[worst + 2 :]


def _test(
    series: list[tuple[int, int]],
    expected: float,
    margin: float,
    chance: float,
    *,
    cluster: float = 1.0,
) -> tuple[int, int] | None:
    """Return the answers and the bad ones if there are too many to be by chance.

    Answers that come in clusters count as one for each cluster.
    """
    answers = sum(count for count, _ in series)
    bad = sum(count for _, count in series)
    if bad < 2 or bad / answers < expected + margin:
        return None
    found = tail(int(answers / cluster), int(bad / cluster), expected)
    return (answers, bad) if found < chance else None


def _upper_share(answers: int, bad: int) -> float:
    """Return a share that the old version's own one is hardly above."""
    share = (bad + 1) / (answers + 2)
    error = math.sqrt(share * (1 - share) / (answers + 1))
    return max(LEAST_SHARE, min(1.0, share + error))


def tail(answers: int, bad: int, share: float) -> float:
    """Return the chance of so many bad answers, or more, at a share (binomial)."""
    if not answers or share >= 1.0 or bad / answers <= share:
        return 1.0
    chance = math.exp(
        math.lgamma(answers + 1)
        - math.lgamma(bad + 1)
        - math.lgamma(answers - bad + 1)
        + bad * math.log(share)
        + (answers - bad) * math.log1p(-share)
    )
    total, odds = 0.0, share / (1 - share)
    for count in range(bad, answers + 1):
        total += chance
        chance *= (answers - count) / (count + 1) * odds
        if chance < total * NEGLIGIBLE:
            break
    return total


def _finding(
    route: str, measure: Measure, old: tuple[int, int], new: tuple[int, int]
) -> Finding:
    return Finding(
        route=route,
        measure=measure,
        old=old[1] / old[0] if old[0] else 0.0,
        new=new[1] / new[0],
        bad=new[1],
        answers=new[0],
    )
