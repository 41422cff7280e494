"""Count what the servers of both sides of a rollout do with requests."""

import math
from collections.abc import Iterable, Sequence

import msgspec

from ..types import Seconds
from .messages import RouteCounts

#: Bounds of the histograms: two buckets for each doubling, from 1 ms to 46 s.
FIRST_BOUND: Seconds = 0.001
BUCKETS_PER_DOUBLING = 2
BUCKET_COUNT = 32
#: Routes of one service that are told apart; the others count together.
MAX_ROUTES = 16
OTHER_ROUTES = "(others)"

Key = tuple[str, bool]


def bucket_of(seconds: Seconds) -> int:
    """Return the number of the bucket that a time belongs to."""
    if seconds <= FIRST_BOUND:
        return 0
    number = math.ceil(BUCKETS_PER_DOUBLING * math.log2(seconds / FIRST_BOUND))
    return min(number, BUCKET_COUNT - 1)


class RouteEvidence(msgspec.Struct):
    """Count the answers to the requests of one route at one side."""

    answers: int = 0
    failures: int = 0
    refusals: int = 0
    first: list[int] = msgspec.field(default_factory=lambda: [0] * BUCKET_COUNT)
    rest: list[int] = msgspec.field(default_factory=lambda: [0] * BUCKET_COUNT)


class HostEvidence:
    """Count what one host has seen since an order."""

    def __init__(self) -> None:
        self._routes: dict[Key, RouteEvidence] = {}
        self.longest: Seconds = 0.0
        self.requests = 0
        self.exposed = 0
        #: Grows with each answer of the new version.
        self.news = 0

    def _of(self, route: str, is_new: bool) -> RouteEvidence:
        key = (route, is_new)
        if key not in self._routes and len(self._routes) >= 2 * MAX_ROUTES:
            key = (OTHER_ROUTES, is_new)
        return self._routes.setdefault(key, RouteEvidence())

    def record_first(self, route: str, is_new: bool, seconds: Seconds) -> None:
        """Record the time to the start of an answer."""
        self._of(route, is_new).first[bucket_of(seconds)] += 1
        self.news += is_new

    def record_end(
        self,
        route: str,
        is_new: bool,
        *,
        failed: bool,
        elapsed: Seconds,
        token_interval: Seconds | None = None,
    ) -> None:
        """Record the end of an answer."""
        found = self._of(route, is_new)
        found.answers += 1
        found.failures += failed
        self.news += is_new
        if token_interval is not None:
            found.rest[bucket_of(token_interval)] += 1
        if not is_new:
            self.longest = max(self.longest, elapsed)

    def record_refusal(self, route: str, is_new: bool) -> None:
        """Record that a server refused to run a request, or could not be reached."""
        self._of(route, is_new).refusals += 1
        self.news += is_new

    def counts(
        self, pending: Iterable[tuple[str, bool, Seconds]] = ()
    ) -> tuple[RouteCounts, ...]:
        """Return the counts, with the ages of requests whose answer hasn't begun."""
        ages: dict[Key, list[int]] = {}
        for route, is_new, age in pending:
            self._of(route, is_new)
            key = (route, is_new) if (route, is_new) in self._routes else None
            buckets = ages.setdefault(key or (OTHER_ROUTES, is_new), [0] * BUCKET_COUNT)
            buckets[bucket_of(age)] += 1
        return tuple(
            RouteCounts(
                route=route,
                is_new=is_new,
                answers=item.answers,
                failures=item.failures,
                refusals=item.refusals,
                first=_trim(item.first),
                rest=_trim(item.rest),
                pending=_trim(ages.get((route, is_new), ())),
            )
            for (route, is_new), item in self._routes.items()
        )


def _trim(counts: Sequence[int]) -> tuple[int, ...]:
    """Return the counts without the zeros at the end, which need not be sent."""
    end = len(counts)
    while end and not counts[end - 1]:
        end -= 1
    return tuple(counts[:end])


class _Sum:
    """Add up the counts of one route at one side."""

    def __init__(self) -> None:
        self.counts = [0, 0, 0]
        self.histograms = [[0] * BUCKET_COUNT for _ in range(3)]

    def add(self, item: RouteCounts) -> None:
        """Add the counts of one host."""
        for number, count in enumerate((item.answers, item.failures, item.refusals)):
            self.counts[number] += count
        histograms = (item.first, item.rest, item.pending)
        for total, histogram in zip(self.histograms, histograms, strict=True):
            for number, count in enumerate(histogram[:BUCKET_COUNT]):
                if count:
                    total[number] += count

    def total(self, route: str, is_new: bool) -> RouteCounts:
        """Return the sum."""
        answers, failures, refusals = self.counts
        first, rest, pending = map(_trim, self.histograms)
        return RouteCounts(
            route, is_new, answers, failures, refusals, first, rest, pending
        )


def add_up(reports: Iterable[tuple[RouteCounts, ...]]) -> dict[Key, RouteCounts]:
    """Return the sum of several hosts' counts by route and side."""
    sums: dict[Key, _Sum] = {}
    for counts in reports:
        for item in counts:
            sums.setdefault((item.route, item.is_new), _Sum()).add(item)
    return {key: found.total(*key) for key, found in sums.items()}
