"""Bound the work of second runs by a fraction of a service's work.

Each host earns from the first runs that it sends itself, and starts with nothing, so the
sum over all hosts stays within the limit whether or not they hear each other.
"""

from ..decay import DecayingSum
from ..types import Seconds

#: Time whose earnings a host may save, since slow periods are rare and need many second
#: runs at once.
SAVING_TIME: Seconds = 60.0


class WorkBudget:
    """Count seconds of servers' work that one host's second runs of a service may use."""

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._left: Seconds = 0.0
        self._recent = DecayingSum(SAVING_TIME)
        #: Work of first and of second runs so far.
        self.first_work: Seconds = 0.0
        self.extra_work: Seconds = 0.0

    @property
    def left(self) -> Seconds:
        """Return the work that second runs may use; negative after a long one."""
        return self._left

    def record_first(self, seconds: Seconds, now: Seconds) -> None:
        """Record the work of a first run, which earns a fraction of it.

        Savings are bounded by what was earned recently, but never below one run of this
        length: a host with little work could otherwise never save enough for one.
        """
        self.first_work += seconds
        self._recent.add(seconds, now)
        most = max(seconds, self._limit * self._recent.value(now))
        earned = self._left + self._limit * seconds
        self._left = max(self._left, min(most, earned))

    def take(self, expected: Seconds) -> bool:
        """Reserve the expected work of a second run, if that much is left."""
        if self._left < expected:
            return False
        self._left -= expected
        return True

    def settle(self, expected: Seconds, actual: Seconds) -> None:
        """Replace a reservation by the work that was done; what exceeds it is owed."""
        self.extra_work += actual
        self._left += expected - actual
