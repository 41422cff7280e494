"""Estimate how long a rank has to wait, from drained and arriving work."""

from .fading import FadingSum
from .prediction import WindowedRate
from .types import Seconds

TIME_CONSTANT: Seconds = 15.0
DRAIN_WINDOW: Seconds = 15.0
MIN_PART = 0.05


class Demand:
    """Hold the cost that a shard finishes a second, and what arrives by tier."""

    def __init__(self) -> None:
        self._drain: WindowedRate | None = None
        self._drained_at: Seconds = 0.0
        self._arrived: dict[int, FadingSum] = {}

    def arrive(self, tier: int, cost: Seconds, now: Seconds) -> None:
        """Count the cost of an arrival."""
        self._arrived.setdefault(tier, FadingSum(TIME_CONSTANT)).add(cost, now)

    def drain(self, cost: Seconds, now: Seconds, *, busy: bool, slots: float) -> None:
        """Count the cost of a finished request; idle times teach nothing."""
        if self._drain is None:
            self._drain = WindowedRate(max(1.0, slots), DRAIN_WINDOW * max(1.0, slots))
        elif busy:
            self._drain.add(cost, now - self._drained_at)
        self._drained_at = now

    def wait(self, tier: int, ahead: Seconds, now: Seconds, slots: float) -> Seconds:
        """Return how long work ahead keeps a tier's request waiting.

        Higher tiers keep arriving, and only what they leave drains the rest.
        """
        drain = self._drain.rate if self._drain else max(1.0, slots)
        higher = sum(
            cost.rate(now) for other, cost in self._arrived.items() if other < tier
        )
        return ahead / max(MIN_PART * drain, drain - higher)
