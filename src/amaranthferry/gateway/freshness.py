"""Know how old the beliefs are that requests are admitted by."""

import time

from ..types import Seconds

#: Room for a store that answers from a state slightly older than the call.
STALENESS_SLACK: Seconds = 0.6
#: Part of the bound after which new connections are better taken by other hosts.
READY_FRACTION = 0.6


def boot_time() -> Seconds:
    """Return seconds that go on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Hold when the latest read that confirmed a belief was sent."""

    def __init__(self, bound: Seconds) -> None:
        self._bound = bound
        self._confirmed: Seconds | None = None

    def confirm(self, sent: Seconds) -> None:
        """Note that a read sent at a time has confirmed the belief."""
        self._confirmed = max(sent, self._confirmed or sent)

    def age(self, now: Seconds) -> Seconds | None:
        """Return the age of the belief, or None before the first one."""
        return None if self._confirmed is None else now - self._confirmed

    def is_current(self, now: Seconds) -> bool:
        """Tell whether keyed requests may be admitted by the belief."""
        age = self.age(now)
        return age is not None and age < self._bound - STALENESS_SLACK

    def is_ready(self, now: Seconds) -> bool:
        """Tell whether this host is as good as others for new connections."""
        age = self.age(now)
        return age is not None and age < self._bound * READY_FRACTION
