"""Track the age of the cached state that requests are admitted by."""

import time

from ..types import Seconds
from .budget import AgeBudget
from .statements import Statement, may_say


def boot_time() -> Seconds:
    """Return a monotonic time in seconds that includes time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Track when the latest read that confirmed some cached state was sent."""

    def __init__(self, bound: Seconds, budget: AgeBudget | None = None) -> None:
        self._bound = bound
        self._budget = budget or AgeBudget()
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

    def may_say(self, statement: Statement, now: Seconds) -> bool:
        """Return whether the state is recent enough for a statement."""
        return may_say(
            statement, self.age(now), budget=self._budget, revoke=self._bound
        )

    def is_current(self, now: Seconds) -> bool:
        """Return whether the state is recent enough to admit keyed requests."""
        return self.may_say(Statement.KEY_IN_FORCE, now)

    def is_ready(self, now: Seconds) -> bool:
        """Return whether the state is recent enough to accept new connections."""
        return self.may_say(Statement.READY, now)
