"""Estimate the service time and the failure rate of a server's dispatches."""

from .types import Seconds

INITIAL_SERVICE_TIME: Seconds = 0.02
SERVICE_TIME_WEIGHT = 0.1
FAILURE_WEIGHT = 0.2
#: Failures decay, so that a failing server is tried again after a while.
FAILURE_HALF_LIFE: Seconds = 3.0


class OutcomeEstimate:
    """Average the time of complete dispatches and the decayed rate of failed ones."""

    def __init__(self) -> None:
        self.service_time: Seconds = INITIAL_SERVICE_TIME
        self._failure_rate = 0.0
        self._updated_at: Seconds = 0.0

    def failure_rate(self, now: Seconds) -> float:
        """Return the decayed fraction of recent dispatches that failed."""
        age = max(0.0, now - self._updated_at)
        return self._failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE)

    def observe(self, *, failed: bool, elapsed: Seconds, now: Seconds) -> None:
        """Record the end of one dispatch."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + FAILURE_WEIGHT * (float(failed) - rate)
        self._updated_at = now
        if not failed:
            self.service_time += SERVICE_TIME_WEIGHT * (elapsed - self.service_time)
