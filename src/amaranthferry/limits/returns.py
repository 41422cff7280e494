"""Tell refused callers when there will be room, one after the other.

This answers more work than servers take: callers that are all told the same time would
come back together and be refused again.
"""

from math import inf

from ..forecast import Level
from ..types import Seconds


class ReturnTimes:
    """Book a time for each refused caller at which there is room for it."""

    def __init__(self) -> None:
        self._next: dict[Level, Seconds] = {}

    def book(
        self,
        level: Level,
        now: Seconds,
        *,
        wait: Seconds,
        rate: float,
        latest: Seconds,
    ) -> Seconds:
        """Return after which time there is room for a caller of a level.

        `wait` is the time until what is queued before it has a slot, and `rate` is how
        many callers more can be served a second. Those of more urgent levels go first. A
        caller that can't be served later than `latest` is told the time as well, but
        takes none from the others.
        """
        turn = 1.0 / rate if rate > 0 else inf
        booked = (at for other, at in self._next.items() if other <= level)
        due = max(now + wait, now + turn, *booked)
        if due <= now + latest:
            self._next[level] = due + turn
        return due - now
