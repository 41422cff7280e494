"""Tell refused callers when to return, one after the other at a limited rate.

This answers more work than limited servers take: callers that are all told the same time
would come back together and be refused again.
"""

from ..types import Seconds

#: Earliest return of a refused caller.
MIN_RETURN_TIME: Seconds = 0.5


class ReturnTimes:
    """Book a time for each refused caller at which there is room for it."""

    def __init__(self) -> None:
        self._next: Seconds = 0.0

    def book(
        self, now: Seconds, *, wait: Seconds, rate: float, latest: Seconds
    ) -> Seconds:
        """Return after which time a caller should return, at most `latest`.

        `wait` is the time until the servers are through with what they have, and `rate`
        is what they take a second. A caller that can't come later than the times that
        are booked takes none from the others.
        """
        due = max(now + max(MIN_RETURN_TIME, wait), self._next)
        if due > now + latest:
            return max(MIN_RETURN_TIME, latest)
        self._next = due + 1.0 / rate
        return due - now
