"""Learn how long answers are, compared with what was asked for."""

import msgspec

from .messages import PermitRequest
from .types import Tokens, WorkspaceId

SMOOTHING = 0.05
MARGIN_DEVIATIONS = 2.0
PRIOR_DEVIATION = 0.25
MAX_KEYS = 4_096


class _RatioStats(msgspec.Struct):
    mean: float = 1.0
    deviation: float = PRIOR_DEVIATION


class LengthEstimate:
    """Hold the ratio of answered to expected output tokens by kind of work."""

    def __init__(self) -> None:
        self._stats: dict[tuple[WorkspaceId, int], _RatioStats] = {}

    def expected(self, request: PermitRequest) -> Tokens:
        """Return the output tokens that a request brings on average."""
        return max(1, round(request.output_tokens * self._stats_of(request).mean))

    def conservative(self, request: PermitRequest) -> Tokens:
        """Return output tokens that few requests of the kind exceed."""
        stats = self._stats_of(request)
        ratio = stats.mean + MARGIN_DEVIATIONS * stats.deviation
        return max(1, round(request.output_tokens * ratio))

    def observe(self, request: PermitRequest, output: Tokens) -> None:
        """Learn from a whole answer."""
        key = (request.workspace, request.class_rank)
        if key not in self._stats and len(self._stats) >= MAX_KEYS:
            self._stats.pop(next(iter(self._stats)))
        stats = self._stats.setdefault(key, _RatioStats())
        error = output / max(1, request.output_tokens) - stats.mean
        stats.mean += SMOOTHING * error
        stats.deviation += SMOOTHING * (abs(error) - stats.deviation)

    def _stats_of(self, request: PermitRequest) -> _RatioStats:
        return self._stats.get((request.workspace, request.class_rank)) or _RatioStats()
