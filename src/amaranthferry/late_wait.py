"""Estimate how long late work of a rank waits for a place.

This answers a load that stays above what the servers can do: whoever can't be served
before its caller leaves is told at once when to come back, instead of being held.
"""

from .decay import DecayingSum
from .types import Seconds

Level = tuple[int, int]

#: Time over which arrivals and grants are averaged.
RATE_WINDOW: Seconds = 2.0
#: Time in which a rate that the servers once reached is forgotten.
PEAK_DECAY_TIME: Seconds = 20.0
#: Part of what the servers can do that late work gets at least.
MIN_CAPACITY_FRACTION = 0.02


class LateWaitEstimate:
    """Compare what arrives in time with what the servers have shown they can do."""

    def __init__(self) -> None:
        self._arrivals: dict[Level, DecayingSum] = {}
        self._grants = DecayingSum(RATE_WINDOW)
        self._peak_slot_rate = DecayingSum(PEAK_DECAY_TIME)

    def record_arrival(self, level: Level, cost: Seconds, now: Seconds) -> None:
        """Count an arrival that goes before late work of its rank."""
        self._arrivals.setdefault(level, DecayingSum(RATE_WINDOW)).add(cost, now)

    def record_grant(self, cost: Seconds, now: Seconds, slots: int) -> None:
        """Count a grant; `slots` are those of all servers that get work."""
        self._grants.add(cost, now)
        slot_rate = self._grants.rate(now) / max(1, slots)
        excess = slot_rate - self._peak_slot_rate.value(now)
        self._peak_slot_rate.add(max(0.0, excess), now)

    def estimate_wait(
        self, level: Level, cost_ahead: Seconds, now: Seconds, slots: int
    ) -> Seconds:
        """Return how long work ahead keeps late work of a rank waiting."""
        capacity = self._peak_slot_rate.value(now) * slots
        if capacity <= 0:
            return 0.0
        more_urgent = sum(
            cost.rate(now) for other, cost in self._arrivals.items() if other <= level
        )
        return cost_ahead / max(
            MIN_CAPACITY_FRACTION * capacity, capacity - more_urgent
        )
