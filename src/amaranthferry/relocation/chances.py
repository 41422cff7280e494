"""Forecast whether a run completes before its caller's deadline.

Answer lengths are taken as log-normal, which fits lengths that vary by a factor around
their usual value. What a run has written already is known to be a lower bound.
"""

from functools import lru_cache
from math import erfc, exp, log, sqrt
from statistics import NormalDist

import msgspec

from ..types import Seconds, Tokens

#: Relative mean deviation of lengths above which a log-normal one has no bound.
MAX_DEVIATION = 1.8
MIN_SPREAD = 0.02
#: Share of lengths that are longer than what has been written, below which the
#: conditional distribution would lose its precision.
MIN_TAIL = 1e-9
_STANDARD = NormalDist()


class LengthForecast(msgspec.Struct, frozen=True):
    """Describe the forecast of an answer's length: its median and its log deviation."""

    median: float
    spread: float

    @classmethod
    def from_mean(cls, mean: float, deviation: float) -> "LengthForecast":
        """Return the forecast with a mean and a relative mean absolute deviation."""
        spread = _spread(round(min(MAX_DEVIATION, max(0.0, deviation)), 3))
        return cls(mean * exp(-spread * spread / 2), spread)

    def longer(self, tokens: float) -> float:
        """Return the share of answers that are longer."""
        if tokens <= 0:
            return 1.0
        return erfc(log(tokens / self.median) / self.spread / sqrt(2)) / 2

    def ends_by(self, tokens: float, *, written: Tokens) -> float:
        """Return the chance of an answer of at most `tokens`, given what is written."""
        if tokens <= written:
            return 0.0
        rest = self.longer(written)
        if rest < MIN_TAIL:
            # Longer than nearly all answers, so it says nothing about the rest.
            return 0.5
        return 1.0 - self.longer(tokens) / rest

    def usual_rest(self, *, written: Tokens) -> float:
        """Return the median of the tokens that follow what is written."""
        rest = self.longer(written)
        if rest < MIN_TAIL:
            return float(written)
        point = _STANDARD.inv_cdf(1.0 - rest / 2)
        return max(1.0, self.median * exp(self.spread * point) - written)


@lru_cache(maxsize=4096)
def _spread(deviation: float) -> float:
    """Return the log deviation that makes a relative mean absolute deviation."""
    return max(MIN_SPREAD, 2 * _STANDARD.inv_cdf((deviation / 2 + 1) / 2))


class Pace(msgspec.Struct, frozen=True):
    """Describe an engine's time between tokens: as of late, and in the long run."""

    recent: Seconds
    usual: Seconds

    def tokens(self, seconds: Seconds) -> float:
        """Return the tokens written in some time, at the slower of the two paces."""
        return max(0.0, seconds) / max(self.recent, self.usual)


def completion_chance(
    length: LengthForecast, pace: Pace, seconds: Seconds, *, written: Tokens
) -> float:
    """Return the chance that an answer completes within some time.

    Whether a recent change of an engine's speed lasts is unknown: both count alike.
    """
    if seconds <= 0:
        return 0.0
    recent = length.ends_by(written + seconds / pace.recent, written=written)
    usual = length.ends_by(written + seconds / pace.usual, written=written)
    return (recent + usual) / 2
