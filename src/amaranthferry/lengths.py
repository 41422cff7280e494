"""Estimate answer lengths relative to the requested output tokens."""

import msgspec

from .messages import PermitRequest
from .types import Tokens, WorkspaceId

#: Weight of a new sample in the moving averages.
SMOOTHING = 0.05
MARGIN_DEVIATIONS = 2.0
PRIOR_DEVIATION = 0.25
MAX_KEYS = 4_096


class _RatioStats(msgspec.Struct):
    mean: float = 1.0
    deviation: float = PRIOR_DEVIATION


class LengthEstimate:
    """Estimate the ratio of actual to requested output by workspace and class."""

    def __init__(self) -> None:
        self._stats: dict[tuple[WorkspaceId, int], _RatioStats] = {}

    def expected(self, request: PermitRequest) -> Tokens:
        """Return the mean output tokens of a request."""
        return max(1, round(request.output_tokens * self._stats_of(request).mean))

    def conservative(self, request: PermitRequest) -> Tokens:
        """Return output tokens that few requests of the same kind exceed."""
        stats = self._stats_of(request)
        ratio = stats.mean + MARGIN_DEVIATIONS * stats.deviation
        return max(1, round(request.output_tokens * ratio))

    def shortest_ratio(self, request: PermitRequest) -> float:
        """Return a fraction of the expected length that few answers stay below."""
        stats = self._stats_of(request)
        shortest = stats.mean - MARGIN_DEVIATIONS * stats.deviation
        return max(0.0, shortest / stats.mean) if stats.mean > 0 else 0.0

    def observe(self, request: PermitRequest, output: Tokens) -> None:
        """Record the output tokens of a complete answer."""
        key = (request.workspace, request.class_rank)
        if key not in self._stats and len(self._stats) >= MAX_KEYS:
            self._stats.pop(next(iter(self._stats)))
        stats = self._stats.setdefault(key, _RatioStats())
        error = output / max(1, request.output_tokens) - stats.mean
        stats.mean += SMOOTHING * error
        stats.deviation += SMOOTHING * (abs(error) - stats.deviation)

    def _stats_of(self, request: PermitRequest) -> _RatioStats:
        return self._stats.get((request.workspace, request.class_rank)) or _RatioStats()
