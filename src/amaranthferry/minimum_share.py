"""Serve a part of each level's work, however much more urgent work there is.

This is for sustained overload by more urgent levels: lower work may be delayed, but it
doesn't starve. A level that has got less goes before more urgent work.
"""

from .forecast import Level
from .types import Seconds


class MinimumShares:
    """Track whether each level gets its share, a fraction of the work that it asks for."""

    def __init__(self, share: float) -> None:
        self.share = share
        #: What each level may still get before its share is reached; costs are in seconds.
        self._credit: dict[Level, Seconds] = {}

    def record_arrival(self, level: Level, cost: Seconds) -> None:
        """Record work that is asked for, whether it is then refused or not."""
        credit = self._credit.get(level, 0.0)
        # What is refused meanwhile saves up no more than one request.
        self._credit[level] = min(credit + self.share * cost, max(credit, cost))

    def record_grant(self, level: Level, cost: Seconds) -> None:
        """Record work that got a slot, in its turn or before it."""
        credit = self._credit.get(level, 0.0)
        # What is served while there is room for all is not held against the level.
        self._credit[level] = max(credit - cost, -cost)

    def is_below_minimum(self, level: Level) -> bool:
        """Return whether a level goes first until it gets its share."""
        return self.credit(level) > 0.0

    def credit(self, level: Level) -> Seconds:
        """Return the cost that a level may get before its turn; negative after more."""
        return self._credit.get(level, 0.0)
