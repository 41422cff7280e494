"""Record counters and histograms, and send them to statsd."""

from typing import Protocol

import msgspec
import statsd
from hdrh.histogram import HdrHistogram

HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000
_QUANTILES = (50.0, 90.0, 95.0, 99.0)


class StatsdClient(Protocol):
    """Define the methods of the statsd client that are used."""

    def incr(self, stat: str, count: float = 1) -> None:
        """Add to a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class MetricsReport(msgspec.Struct, frozen=True):
    """Describe all metrics at one moment; quantiles are in seconds."""

    counters: dict[str, float]
    quantiles: dict[str, dict[str, float]]


class Metrics:
    """Record the counters and samples that the reducer's effects report."""

    def __init__(self, client: StatsdClient | None = None) -> None:
        self._client = client
        self._counters: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    @classmethod
    def from_address(cls, address: str) -> "Metrics":
        """Create metrics sent to statsd at `IP:PORT`; an empty address sends none."""
        if not address:
            return cls()
        host, _, port = address.rpartition(":")
        return cls(statsd.StatsClient(host, int(port), prefix="amaranthferry"))

    def count(self, name: str, value: float = 1.0) -> None:
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0.0) + value
        if self._client is not None:
            self._client.incr(name, value)

    def observe(self, name: str, value: float) -> None:
        """Record one sample in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(max(1, int(value * MICROSECONDS_PER_SECOND)))
        if self._client is not None:
            self._client.timing(name, value * 1000)

    def report(self) -> MetricsReport:
        """Return every counter and the quantiles of every histogram."""
        quantiles = {
            name: {
                f"p{quantile:g}": histogram.get_value_at_percentile(quantile)
                / MICROSECONDS_PER_SECOND
                for quantile in _QUANTILES
            }
            for name, histogram in self._histograms.items()
        }
        return MetricsReport(dict(self._counters), quantiles)
