"""Find servers that have become slow, and bring them back with care."""

from .prediction import WindowedRate
from .types import Seconds

SAMPLE_WINDOW: Seconds = 4.0
SLOW_FACTOR = 4.0
HEALTHY_FACTOR = 2.0
PROBE_INTERVAL: Seconds = 2.0
MIN_SHARE = 0.05


class StragglerDetector:
    """Compare a server's latest work with what was predicted of it.

    Samples are (usual, taken) seconds, so that batch size, prompt length and the
    server's kind are already accounted for. Decoding beside a prefill is several
    times slower than without one, so that only a larger factor counts.
    """

    def __init__(self) -> None:
        self._latest = WindowedRate(1.0, SAMPLE_WINDOW)
        self._share = 1.0
        self._probed_at: Seconds = 0.0
        self.straggling = False

    @property
    def share(self) -> float:
        """Return the part of its slots that the server may fill."""
        return self._share

    def observe(self, expected: Seconds, actual: Seconds) -> None:
        """Compare one span of work with what was expected of it."""
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
        """Tell whether a straggler may get one more request to try it with."""
        return not self.straggling or now - self._probed_at >= PROBE_INTERVAL

    def record_probe(self, now: Seconds) -> None:
        """Note a grant to a straggler."""
        if self.straggling:
            self._probed_at = now
