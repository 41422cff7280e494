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


def add_up(reports: Iterable[tuple[RouteCounts, ...]]) -> dict[Key, RouteCounts]:
    """Return the sum of several hosts' counts by route and side."""
    total: dict[Key, RouteCounts] = {}
    for counts in reports:
        for item in counts:
            key = (item.route, item.is_new)
            known = total.get(key)
            total[key] = item if known is None else _sum(known, item)
    return total


def _sum(a: RouteCounts, b: RouteCounts) -> RouteCounts:
    return RouteCounts(
        route=a.route,
        is_new=a.is_new,
        answers=a.answers + b.answers,
        failures=a.failures + b.failures,
        refusals=a.refusals + b.refusals,
        first=add_histograms(a.first, b.first),
        rest=add_histograms(a.rest, b.rest),
        pending=add_histograms(a.pending, b.pending),
    )


def add_histograms(a: Sequence[int], b: Sequence[int]) -> tuple[int, ...]:
    """Return the sum of two histograms of any lengths."""
    size = max(len(a), len(b))
    return tuple(
        (a[i] if i < len(a) else 0) + (b[i] if i < len(b) else 0) for i in range(size)
    )
