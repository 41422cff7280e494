"""Judge the requests that a server gets against the limits that it has named.

This is for tests, simulations and the soak, which see every arrival; hosts don't use it.
"""

from bisect import bisect_left
from itertools import pairwise

import msgspec

from .types import HostId, Seconds

#: Width of the windows that arrivals are counted in.
WINDOW: Seconds = 4.0
#: Arrivals allowed beyond what the limit allows in a window.
EXCESS_RATIO = 1.5
EXTRA_ARRIVALS = 5
#: Time from the first limit until arrivals count, unless a case sets another one.
CONTACT_TIME: Seconds = 3.0
#: Time from an answer with a limit to a host until the host's requests count.
TOLD_TIME: Seconds = 0.5


class Window(msgspec.Struct, frozen=True):
    """Describe the arrivals in a window that ends at a time."""

    end: Seconds
    arrivals: int
    allowed: float

    @property
    def excess(self) -> float:
        """Return the arrivals beyond the allowed ones; negative if there are none."""
        return self.arrivals - self.allowed


class LimitedServer:
    """Record the limits and arrivals of one server, in order of time."""

    def __init__(self, *, counts_untold: bool = False) -> None:
        self._counts_untold = counts_untold
        self._limits: list[tuple[Seconds, float | None]] = []
        self._told: dict[HostId, Seconds] = {}
        self._arrivals: list[Seconds] = []

    @property
    def limited(self) -> bool:
        """Return whether the server has ever named a limit."""
        return any(rate is not None for _, rate in self._limits)

    def name(self, rate: float | None, now: Seconds) -> None:
        """Record that the server names a limit from now on, or none."""
        self._limits.append((now, rate))

    def tell(self, host: HostId, now: Seconds) -> None:
        """Record that a host got an answer that names a limit."""
        self._told.setdefault(host, now)

    def forget(self, host: HostId) -> None:
        """Record that a host has started again and knows nothing."""
        self._told.pop(host, None)

    def arrive(self, host: HostId, now: Seconds) -> None:
        """Record a request; it counts if the host has known of a limit for a while."""
        if self._counts_untold or self._told.get(host, now) + TOLD_TIME <= now:
            self._arrivals.append(now)

    def used(self, since: Seconds, until: Seconds) -> float:
        """Return which part of what its limits allow the server got in a span of time."""
        spans = [*self._limits, (until, None)]
        allowed, arrivals = 0.0, 0
        for (start, rate), (end, _) in pairwise(spans):
            start = max(start, since)
            if rate is not None and start < end:
                allowed += rate * (end - start)
                first = bisect_left(self._arrivals, start)
                arrivals += bisect_left(self._arrivals, end) - first
        return arrivals / allowed if allowed else 1.0

    def worst(self, *, contact: Seconds = CONTACT_TIME) -> Window:
        """Return the window with the most arrivals beyond the allowed ones."""
        first = next((at for at, rate in self._limits if rate is not None), 0.0)
        counted = self._arrivals[bisect_left(self._arrivals, first + contact) :]
        windows = []
        for number, end in enumerate(counted):
            begin = end - WINDOW
            allowance = self._allowance(begin, end)
            if allowance is None:
                continue
            arrivals = number + 1 - bisect_left(counted, begin)
            allowed = EXCESS_RATIO * allowance + EXTRA_ARRIVALS
            windows.append(Window(end, arrivals, allowed))
        none = Window(first, 0, float(EXTRA_ARRIVALS))
        return max(windows, key=lambda window: window.excess, default=none)

    def _allowance(self, begin: Seconds, end: Seconds) -> float | None:
        """Return what the limits allow in a span; None if there were times without."""
        spans = [*self._limits, (end, None)]
        total = 0.0
        for (since, rate), (until, _) in pairwise(spans):
            seconds = min(until, end) - max(since, begin)
            if seconds > 0 and rate is None:
                return None
            total += max(0.0, seconds) * (rate or 0.0)
        return total
