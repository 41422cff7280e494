"""Estimate how long late work of a rank waits for a place.

This answers a load that stays above what the servers can do: whoever can't be served
before its caller leaves is told at once when to come back, instead of being held.
"""

from .fading import FadingSum
from .types import Seconds

Level = tuple[int, int]

#: Time over which arrivals and grants are averaged.
WINDOW: Seconds = 2.0
#: Time in which a rate that the servers once reached is forgotten.
MEMORY: Seconds = 20.0
#: Part of what the servers can do that late work gets at least.
MIN_PART = 0.02


class Outlook:
    """Compare what arrives in time with what the servers have shown they can do."""

    def __init__(self) -> None:
        self._arrivals: dict[Level, FadingSum] = {}
        self._grants = FadingSum(WINDOW)
        self._best_of_slot = FadingSum(MEMORY)

    def arrived(self, level: Level, cost: Seconds, now: Seconds) -> None:
        """Count an arrival that goes before late work of its rank."""
        self._arrivals.setdefault(level, FadingSum(WINDOW)).add(cost, now)

    def granted(self, cost: Seconds, now: Seconds, slots: int) -> None:
        """Count a grant; `slots` are those of all servers that get work."""
        self._grants.add(cost, now)
        shown = self._grants.rate(now) / max(1, slots)
        above = shown - self._best_of_slot.value(now)
        self._best_of_slot.add(max(0.0, above), now)

    def wait(self, level: Level, ahead: Seconds, now: Seconds, slots: int) -> Seconds:
        """Return how long work ahead keeps late work of a rank waiting."""
        capacity = self._best_of_slot.value(now) * slots
        if capacity <= 0:
            return 0.0
        before = sum(
            cost.rate(now) for other, cost in self._arrivals.items() if other <= level
        )
        return ahead / max(MIN_PART * capacity, capacity - before)
