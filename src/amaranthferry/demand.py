"""Estimate the wait of a tier from the rates of completed and arriving work."""

from .decay import DecayingSum
from .prediction import WindowedRate
from .types import Seconds

ARRIVAL_WINDOW: Seconds = 15.0
DRAIN_WINDOW: Seconds = 15.0
MIN_DRAIN_FRACTION = 0.05


class Demand:
    """Track the cost per second that a shard completes, and that arrives by tier."""

    def __init__(self) -> None:
        self._drain: WindowedRate | None = None
        self._drained_at: Seconds = 0.0
        self._arrivals: dict[int, DecayingSum] = {}

    def record_arrival(self, tier: int, cost: Seconds, now: Seconds) -> None:
        """Record the cost of an arrival."""
        self._arrivals.setdefault(tier, DecayingSum(ARRIVAL_WINDOW)).add(cost, now)

    def record_completion(
        self, cost: Seconds, now: Seconds, *, busy: bool, slots: float
    ) -> None:
        """Record the cost of a completed request; only busy periods count."""
        if self._drain is None:
            self._drain = WindowedRate(max(1.0, slots), DRAIN_WINDOW * max(1.0, slots))
        elif busy:
            self._drain.add(cost, now - self._drained_at)
        self._drained_at = now

    def estimate_wait(
        self, tier: int, cost_ahead: Seconds, now: Seconds, slots: float
    ) -> Seconds:
        """Return the expected wait of a tier's request behind `cost_ahead`.

        Higher tiers keep arriving, so only the capacity that they leave counts.
        """
        drain = self._drain.rate if self._drain else max(1.0, slots)
        higher = sum(
            cost.rate(now) for other, cost in self._arrivals.items() if other < tier
        )
        return cost_ahead / max(MIN_DRAIN_FRACTION * drain, drain - higher)
