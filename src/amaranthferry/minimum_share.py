"""Keep a minimum for each level of work, against starvation by more urgent levels.

This is for sustained overload. Work below its minimum goes before more urgent work, so a
level's minimum ends once it is served about as often as the levels that are more urgent.
"""

from collections.abc import Iterable

from .decay import DecayingSum
from .late_wait import Level
from .types import Seconds

#: Minimum share of the servers' time for each level.
MINIMUM_SHARE = 0.08
#: Minimum served in time of a level's requests, as a fraction of that of all levels.
MIN_SERVED_RATIO = 0.35
#: How much more often than a more urgent level one below its share may be served.
MAX_SERVED_EXCESS = 0.12
#: Time constant over which grants and arrivals are averaged.
SHARE_WINDOW: Seconds = 4.0


class MinimumShares:
    """Track whether each level with waiters is due its minimum."""

    def __init__(self, *, by_service: bool = True) -> None:
        self._by_service = by_service
        self._cost: dict[Level, DecayingSum] = {}
        self._in_time: dict[Level, DecayingSum] = {}
        self._arrivals: dict[Level, DecayingSum] = {}

    def record_arrival(self, level: Level, now: Seconds) -> None:
        """Record an arrival that can still be in time."""
        self._arrivals.setdefault(level, DecayingSum(SHARE_WINDOW)).add(1.0, now)

    def record(
        self, level: Level, cost: Seconds, now: Seconds, *, late: bool = False
    ) -> None:
        """Record a grant and its cost."""
        self._cost.setdefault(level, DecayingSum(SHARE_WINDOW)).add(cost, now)
        if not late:
            self._in_time.setdefault(level, DecayingSum(SHARE_WINDOW)).add(1.0, now)

    def is_below_minimum(self, level: Level, now: Seconds) -> bool:
        """Return whether a level goes first until it gets its minimum."""
        if not self._by_service or level not in self._arrivals:
            return self._is_below_share(level, now)
        served = self._served((level,), now)
        if served < MIN_SERVED_RATIO * self._served(self._arrivals, now):
            return True
        above = (other for other in self._arrivals if other < level)
        return (
            served < 1.0
            and self._is_below_share(level, now)
            and all(
                served <= self._served((other,), now) + MAX_SERVED_EXCESS
                for other in above
            )
        )

    def _is_below_share(self, level: Level, now: Seconds) -> bool:
        total = _sum(self._cost, self._cost, now)
        return _sum(self._cost, (level,), now) < MINIMUM_SHARE * total

    def _served(self, levels: Iterable[Level], now: Seconds) -> float:
        """Return the fraction of the levels' recent requests granted in time."""
        levels = tuple(levels)
        arrivals = _sum(self._arrivals, levels, now)
        if not arrivals:
            return 1.0
        return min(1.0, _sum(self._in_time, levels, now) / arrivals)


def _sum(
    sums: dict[Level, DecayingSum], levels: Iterable[Level], now: Seconds
) -> float:
    return sum(sums[level].value(now) for level in levels if level in sums)
