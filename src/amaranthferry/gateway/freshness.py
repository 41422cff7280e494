"""Track the age of the cached state that requests are admitted by."""

import time

from ..types import Seconds

#: Allowance for a store that answers from a state slightly older than the call.
STALENESS_SLACK: Seconds = 0.6
#: Fraction of the bound after which other hosts should accept new connections.
READY_FRACTION = 0.6


def boot_time() -> Seconds:
    """Return a monotonic time in seconds that includes time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Track when the latest read that confirmed some cached state was sent."""

    def __init__(self, bound: Seconds) -> None:
        self._bound = bound
        self._confirmed: Seconds | None = None

    def confirm(self, sent: Seconds) -> None:
        """Record that a read sent at a time has confirmed the state."""
        self._confirmed = max(sent, self._confirmed or sent)

    def reset(self) -> None:
        """Record that the state is known to be outdated."""
        self._confirmed = None

    def age(self, now: Seconds) -> Seconds | None:
        """Return the age of the state, or None before the first confirmation."""
        return None if self._confirmed is None else now - self._confirmed

    def is_current(self, now: Seconds) -> bool:
        """Return whether the state is recent enough to admit keyed requests."""
        age = self.age(now)
        return age is not None and age < self._bound - STALENESS_SLACK

    def is_ready(self, now: Seconds) -> bool:
        """Return whether the state is recent enough to accept new connections."""
        age = self.age(now)
        return age is not None and age < self._bound * READY_FRACTION
