"""Learn how long answers are, compared with what was asked for."""

import msgspec

from .messages import PermitRequest
from .types import Tokens, WorkspaceId

STEP = 0.05
CAUTIOUS_DEVIATIONS = 2.0
PRIOR_DEVIATION = 0.25
MAX_KEYS = 4_096


class _Spread(msgspec.Struct):
    mean: float = 1.0
    deviation: float = PRIOR_DEVIATION


class LengthEstimate:
    """Hold the ratio of answered to expected output tokens by kind of work."""

    def __init__(self) -> None:
        self._spreads: dict[tuple[WorkspaceId, int], _Spread] = {}

    def expected(self, ask: PermitRequest) -> Tokens:
        """Return the output tokens that a request brings on average."""
        return max(1, round(ask.output_tokens * self._of(ask).mean))

    def cautious(self, ask: PermitRequest) -> Tokens:
        """Return output tokens that few requests of the kind exceed."""
        spread = self._of(ask)
        ratio = spread.mean + CAUTIOUS_DEVIATIONS * spread.deviation
        return max(1, round(ask.output_tokens * ratio))

    def observe(self, ask: PermitRequest, output: Tokens) -> None:
        """Learn from a whole answer."""
        key = (ask.workspace, ask.class_rank)
        if key not in self._spreads and len(self._spreads) >= MAX_KEYS:
            self._spreads.pop(next(iter(self._spreads)))
        spread = self._spreads.setdefault(key, _Spread())
        error = output / max(1, ask.output_tokens) - spread.mean
        spread.mean += STEP * error
        spread.deviation += STEP * (abs(error) - spread.deviation)

    def _of(self, ask: PermitRequest) -> _Spread:
        return self._spreads.get((ask.workspace, ask.class_rank)) or _Spread()
