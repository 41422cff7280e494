"""Sum what happened of late, older amounts counting less."""

from math import exp

import msgspec

from .types import Seconds


class FadingSum(msgspec.Struct):
    """Hold a sum that falls to a part of 1/e in each time constant."""

    time_constant: Seconds
    weight: float = 0.0
    at: Seconds = 0.0

    def add(self, amount: float, now: Seconds) -> None:
        """Count an amount."""
        self.weight = self.value(now) + amount
        self.at = now

    def value(self, now: Seconds) -> float:
        """Return the sum as it is at a time."""
        return self.weight * exp(-max(0.0, now - self.at) / self.time_constant)

    def rate(self, now: Seconds) -> float:
        """Return the mean amount a second over the time constant."""
        return self.value(now) / self.time_constant
