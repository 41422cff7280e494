"""Estimate how long late work of a rank waits for a place.

This answers a load that stays above what the servers can do: whoever can't be served
before its caller leaves is told at once when to come back, instead of being held.
"""

from math import exp

import msgspec

from .types import Seconds

Level = tuple[int, int]

#: Time over which arrivals and grants are averaged.
WINDOW: Seconds = 2.0
#: Time in which a rate that the servers once reached is forgotten.
MEMORY: Seconds = 20.0
#: Part of what the servers can do that late work gets at least.
MIN_PART = 0.02


class _Rate(msgspec.Struct):
    """Hold the cost that comes a second, older costs counting less."""

    weight: float = 0.0
    at: Seconds = 0.0

    def add(self, cost: Seconds, now: Seconds) -> None:
        self.weight = self.value(now) * WINDOW + cost
        self.at = now

    def value(self, now: Seconds) -> float:
        return self.weight * exp(-max(0.0, now - self.at) / WINDOW) / WINDOW


class Outlook:
    """Compare what arrives in time with what the servers have shown they can do."""

    def __init__(self) -> None:
        self._arrivals: dict[Level, _Rate] = {}
        self._grants = _Rate()
        self._best = 0.0
        self._best_at: Seconds = 0.0

    def arrived(self, level: Level, cost: Seconds, now: Seconds) -> None:
        """Count an arrival that goes before late work of its rank."""
        self._arrivals.setdefault(level, _Rate()).add(cost, now)

    def granted(self, cost: Seconds, now: Seconds, slots: int) -> None:
        """Count a grant; `slots` are those of all servers that get work."""
        self._grants.add(cost, now)
        best = self._capacity_of_slot(now)
        self._best = max(best, self._grants.value(now) / max(1, slots))
        self._best_at = now

    def _capacity_of_slot(self, now: Seconds) -> float:
        return self._best * exp(-max(0.0, now - self._best_at) / MEMORY)

    def wait(self, level: Level, ahead: Seconds, now: Seconds, slots: int) -> Seconds:
        """Return how long work ahead keeps late work of a rank waiting."""
        capacity = self._capacity_of_slot(now) * slots
        if capacity <= 0:
            return 0.0
        before = sum(
            rate.value(now) for other, rate in self._arrivals.items() if other <= level
        )
        return ahead / max(MIN_PART * capacity, capacity - before)
