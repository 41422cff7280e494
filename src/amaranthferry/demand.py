"""Estimate how long a rank has to wait, from drained and arriving work."""

from .decay import DecayingSum
from .prediction import WindowedRate
from .types import Seconds

ARRIVAL_WINDOW: Seconds = 15.0
DRAIN_WINDOW: Seconds = 15.0
MIN_DRAIN_FRACTION = 0.05


class Demand:
    """Hold the cost that a shard finishes a second, and what arrives by tier."""

    def __init__(self) -> None:
        self._drain: WindowedRate | None = None
        self._drained_at: Seconds = 0.0
        self._arrivals: dict[int, DecayingSum] = {}

    def record_arrival(self, tier: int, cost: Seconds, now: Seconds) -> None:
        """Count the cost of an arrival."""
        self._arrivals.setdefault(tier, DecayingSum(ARRIVAL_WINDOW)).add(cost, now)

    def record_completion(
        self, cost: Seconds, now: Seconds, *, busy: bool, slots: float
    ) -> None:
        """Count the cost of a finished request; idle times teach nothing."""
        if self._drain is None:
            self._drain = WindowedRate(max(1.0, slots), DRAIN_WINDOW * max(1.0, slots))
        elif busy:
            self._drain.add(cost, now - self._drained_at)
        self._drained_at = now

    def estimate_wait(
        self, tier: int, cost_ahead: Seconds, now: Seconds, slots: float
    ) -> Seconds:
        """Return how long work ahead keeps a tier's request waiting.

        Higher tiers keep arriving, and only what they leave drains the rest.
        """
        drain = self._drain.rate if self._drain else max(1.0, slots)
        higher = sum(
            cost.rate(now) for other, cost in self._arrivals.items() if other < tier
        )
        return cost_ahead / max(MIN_DRAIN_FRACTION * drain, drain - higher)
