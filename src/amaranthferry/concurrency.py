"""Find how many requests a server runs at once within the inter-token target."""

from .types import Seconds

DECREASE_FACTOR = 0.9
INCREASE_STEP = 0.25
TARGET_TOLERANCE = 1.1
MIN_LIMIT_FRACTION = 0.5
USED_FRACTION = 0.75


class ConcurrencyLimit:
    """Move a limit on running requests by the measured inter-token time.

    It starts from the server's slots, falls in proportion while tokens come slower
    than the target, and rises step by step while they come faster and it is used.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)

    @property
    def value(self) -> float:
        """Return the requests that may run at once."""
        return self._limit

    def resize(self, slots: int) -> None:
        """Follow a change of the server's slots."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    def observe(self, interval: Seconds, running: int, target: Seconds) -> None:
        """Take an inter-token time that `running` requests had together."""
        floor = max(1.0, self._slots * MIN_LIMIT_FRACTION)
        if interval > target * TARGET_TOLERANCE and running > floor:
            reached = min(self._limit, float(running))
            self._limit = max(floor, reached * DECREASE_FACTOR)
        elif interval <= target and running >= self._limit * USED_FRACTION:
            self._limit = min(float(self._slots), self._limit + INCREASE_STEP)
