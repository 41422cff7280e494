"""Sum amounts with exponential decay over time."""

from math import exp

import msgspec

from .types import Seconds


class DecayingSum(msgspec.Struct):
    """Sum amounts that decay to 1/e of their value in each time constant."""

    time_constant: Seconds
    total: float = 0.0
    updated_at: Seconds = 0.0

    def add(self, amount: float, now: Seconds) -> None:
        """Add an amount at a time."""
        self.total = self.value(now) + amount
        self.updated_at = now

    def value(self, now: Seconds) -> float:
        """Return the decayed sum at a time."""
        return self.total * exp(-max(0.0, now - self.updated_at) / self.time_constant)

    def rate(self, now: Seconds) -> float:
        """Return the mean amount per second over the time constant."""
        return self.value(now) / self.time_constant
