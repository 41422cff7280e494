"""Judge a version by the answers of both versions over the same period."""

import math
from collections.abc import Sequence
from enum import StrEnum

import msgspec

from ..types import Seconds
from .evidence import BUCKETS_PER_DOUBLING, Key
from .messages import RouteCounts

#: Chance at which a good version may look bad, for one test of many, and for the last.
#: A rollout of 12 s makes some thousand tests, which depend on each other.
CHANCE_OF_MANY = 1e-7
CHANCE_OF_LAST = 1e-3
#: Share of answers by which a bad version is worse at least, by measure. The answers of
#: an engine that slows down for a moment raise the share of slow ones by less.
MIN_FAILURES = 0.02
MIN_SLOW = 0.06
MIN_REFUSALS = 0.3
#: Least share of failures that an old version is taken to have.
LEAST_SHARE = 0.01
#: Greatest share of failures that an old version without many answers is taken to have.
GREATEST_FAILURES = 0.3
#: An answer is slow above these multiples of the old version's median.
SLOW_DOUBLINGS = (1, 2)
#: Answers of the old version that its median needs.
MIN_OLD_ANSWERS = 8
#: Length of a slice of the evidence. A server may be slow for 0.6 s at a time without
#: being bad, so the two worst adjacent slices don't count where times are judged.
SLICE: Seconds = 0.5
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
        for doublings in SLOW_DOUBLINGS:
            bucket = _median(times) + doublings * BUCKETS_PER_DOUBLING
            old = _bad(known, measure, bucket)
            series = _series(timeline, route, measure, bucket)
            for part in (series, series[-2 * RECENT_SLICES :]):
                kept = _without_worst(part)
                found = _test(kept, _upper_share(*old), MIN_SLOW, chance)
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
    series: list[tuple[int, int]], expected: float, margin: float, chance: float
) -> tuple[int, int] | None:
    """Return the answers and the bad ones if there are too many to be by chance."""
    answers = sum(count for count, _ in series)
    bad = sum(count for _, count in series)
    if bad < 2 or bad / answers < expected + margin:
        return None
    return (answers, bad) if tail(answers, bad, expected) < chance else None


def _upper_share(answers: int, bad: int) -> float:
    """Return a share that the old version's own one is hardly above."""
    share = (bad + 1) / (answers + 2)
    error = math.sqrt(share * (1 - share) / (answers + 1))
    return max(LEAST_SHARE, min(1.0, share + error))


def tail(answers: int, bad: int, share: float) -> float:
    """Return a bound on the chance of so many bad answers at a share (Chernoff)."""
    if not answers or share >= 1.0 or bad / answers <= share:
        return 1.0
    found = bad / answers
    exponent = found * math.log(found / share)
    if found < 1.0:
        exponent += (1 - found) * math.log((1 - found) / (1 - share))
    return math.exp(-answers * exponent)


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
