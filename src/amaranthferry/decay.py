"""Sum what happened of late, older amounts counting less."""

from math import exp

import msgspec

from .types import Seconds


class DecayingSum(msgspec.Struct):
    """Hold a sum that falls to a part of 1/e in each time constant."""

    time_constant: Seconds
    total: float = 0.0
    updated_at: Seconds = 0.0

    def add(self, amount: float, now: Seconds) -> None:
        """Count an amount."""
        self.total = self.value(now) + amount
        self.updated_at = now

    def value(self, now: Seconds) -> float:
        """Return the sum as it is at a time."""
        return self.total * exp(-max(0.0, now - self.updated_at) / self.time_constant)

    def rate(self, now: Seconds) -> float:
        """Return the mean amount a second over the time constant."""
        return self.value(now) / self.time_constant
