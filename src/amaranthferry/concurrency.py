"""Limit a server's concurrent requests to meet the inter-token target."""

from .types import Seconds

DECREASE_FACTOR = 0.9
INCREASE_STEP = 0.25
#: Multiple of the target above which the limit falls.
TARGET_TOLERANCE = 1.1
#: Fraction of the server's slots that the limit never falls below.
MIN_LIMIT_FRACTION = 0.5
#: Fraction of the limit that must be in use for it to rise.
USED_FRACTION = 0.75


class ConcurrencyLimit:
    """Adapt the limit on a server's running requests to its inter-token time.

    It starts at the server's slots, decreases multiplicatively while tokens are
    slower than the target, and increases additively while they meet the target and
    the limit is used.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)

    @property
    def value(self) -> float:
        """Return the number of requests that may run concurrently."""
        return self._limit

    def resize(self, slots: int) -> None:
        """Reset the limit if the server's slots have changed."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    def observe(self, interval: Seconds, running: int, target: Seconds) -> None:
        """Record the inter-token time at `running` concurrent requests."""
        floor = max(1.0, self._slots * MIN_LIMIT_FRACTION)
        if interval > target * TARGET_TOLERANCE and running > floor:
            reached = min(self._limit, float(running))
            self._limit = max(floor, reached * DECREASE_FACTOR)
        elif interval <= target and running >= self._limit * USED_FRACTION:
            self._limit = min(float(self._slots), self._limit + INCREASE_STEP)
