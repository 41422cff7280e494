"""Estimate how long late work of a level waits for a slot.

Under sustained overload, a request that can't be served before it expires is refused
at once with a time to retry, instead of occupying the queue until then.
"""

from .decay import DecayingSum
from .types import Seconds

#: Tier rank and class rank.
Level = tuple[int, int]

#: Time constant over which arrivals and grants are averaged.
RATE_WINDOW: Seconds = 2.0
#: Time constant with which the peak grant rate decays.
PEAK_DECAY_TIME: Seconds = 20.0
#: Minimum fraction of the servers' capacity that late work is expected to get.
MIN_CAPACITY_FRACTION = 0.02


class LateWaitEstimate:
    """Estimate the wait of late work from the arrival rate and the peak grant rate."""

    def __init__(self) -> None:
        self._arrivals: dict[Level, DecayingSum] = {}
        self._grants = DecayingSum(RATE_WINDOW)
        self._peak_slot_rate = DecayingSum(PEAK_DECAY_TIME)

    def record_arrival(self, level: Level, cost: Seconds, now: Seconds) -> None:
        """Record an arrival that goes before late work of its level."""
        self._arrivals.setdefault(level, DecayingSum(RATE_WINDOW)).add(cost, now)

    def record_grant(self, cost: Seconds, now: Seconds, slots: float) -> None:
        """Record a grant; `slots` is the total of the servers that accept work."""
        self._grants.add(cost, now)
        slot_rate = self._grants.rate(now) / max(1, slots)
        excess = slot_rate - self._peak_slot_rate.value(now)
        self._peak_slot_rate.add(max(0.0, excess), now)

    def estimate_wait(
        self, level: Level, cost_ahead: Seconds, now: Seconds, slots: float
    ) -> Seconds:
        """Return the expected wait of late work of a level behind `cost_ahead`."""
        capacity = self._peak_slot_rate.value(now) * slots
        if capacity <= 0:
            return 0.0
        more_urgent = sum(
            cost.rate(now) for other, cost in self._arrivals.items() if other <= level
        )
        return cost_ahead / max(
            MIN_CAPACITY_FRACTION * capacity, capacity - more_urgent
        )
