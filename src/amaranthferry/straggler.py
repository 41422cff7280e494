"""Detect servers that have become slow, and restore their share gradually."""

from .prediction import WindowedRate
from .types import Seconds

SAMPLE_WINDOW: Seconds = 4.0
#: Slowdown above which a server is a straggler, and below which it recovers.
SLOW_FACTOR = 4.0
HEALTHY_FACTOR = 2.0
PROBE_INTERVAL: Seconds = 2.0
MIN_SHARE = 0.05


class StragglerDetector:
    """Detect slowdowns of a server's recent work relative to its long-term speed.

    Samples are (expected, actual) seconds, so batch size, prompt length and the
    server's kind are already accounted for. Decoding is several times slower during
    a prefill, so only a larger slowdown marks a straggler.
    """

    def __init__(self) -> None:
        self._latest = WindowedRate(1.0, SAMPLE_WINDOW)
        self._share = 1.0
        self._probed_at: Seconds = 0.0
        self.straggling = False

    @property
    def share(self) -> float:
        """Return the fraction of its slots that the server may fill."""
        return self._share

    def observe(self, expected: Seconds, actual: Seconds) -> None:
        """Record the expected and actual time of some work."""
        if expected <= 0 or actual <= 0:
            return
        self._latest.add(expected, actual)
        slowdown = 1 / self._latest.rate
        if slowdown > SLOW_FACTOR:
            self.straggling = True
            self._share = max(MIN_SHARE, 1 / slowdown**2)
        elif self.straggling and slowdown < HEALTHY_FACTOR:
            self._share = min(1.0, 2 * self._share)
            self.straggling = self._share < 1.0

    def may_probe(self, now: Seconds) -> bool:
        """Return whether the server may get a request, as a probe if it straggles."""
        return not self.straggling or now - self._probed_at >= PROBE_INTERVAL

    def record_probe(self, now: Seconds) -> None:
        """Record the time of a grant if the server straggles."""
        if self.straggling:
            self._probed_at = now
