"""Learn how long a server's runs take and how often they fail."""

from .types import Seconds

PRIOR_TIME: Seconds = 0.02
TIME_STEP = 0.1
FAILURE_STEP = 0.2
#: A failing server is tried again as its failures fade.
FAILURE_HALF_LIFE: Seconds = 3.0


class OutcomeEstimate:
    """Hold the mean time of whole runs and the fading share of failed ones."""

    def __init__(self) -> None:
        self.service_time: Seconds = PRIOR_TIME
        self._failures = 0.0
        self._failed_at: Seconds = 0.0

    def failure_share(self, now: Seconds) -> float:
        """Return the part of the latest runs that failed."""
        age = max(0.0, now - self._failed_at)
        return self._failures * 0.5 ** (age / FAILURE_HALF_LIFE)

    def observe(self, *, failed: bool, elapsed: Seconds, now: Seconds) -> None:
        """Take the end of one run."""
        share = self.failure_share(now)
        self._failures = share + FAILURE_STEP * (float(failed) - share)
        self._failed_at = now
        if not failed:
            self.service_time += TIME_STEP * (elapsed - self.service_time)
