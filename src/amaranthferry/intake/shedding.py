"""Decide which connections end where all together take too much."""

import heapq
from collections.abc import Iterable

from .state import Holding, Stage


def largest(holdings: Iterable[Holding]) -> Holding | None:
    """Return the connection that holds most."""
    return max(holdings, key=lambda item: item.size, default=None)


def least_needed(holdings: Iterable[Holding], count: int) -> list[Holding]:
    """Return connections to end in favour of a new one.

    Those that never brought a whole request come first, then those that were used
    longest ago. One whose request is in progress is never among them.
    """
    idle = (item for item in holdings if item.stage is not Stage.RUNNING)
    return heapq.nsmallest(count, idle, key=lambda item: (item.stage, item.used))
