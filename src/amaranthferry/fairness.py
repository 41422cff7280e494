"""Share a shard between the workspaces of one level by start-time fair queueing."""

from .messages import PermitRequest
from .types import Seconds, WorkspaceId

#: Granularity of virtual start times in ranks.
QUANTUM: Seconds = 1.0
PRUNE_THRESHOLD = 1_024

#: Tier rank and class rank.
Level = tuple[int, int]


class FairShare:
    """Track the virtual time of each level and the virtual finish of each workspace.

    An idle workspace starts at its level's virtual time, so it goes before the burst
    that another workspace has queued, but gains no credit while idle.
    """

    def __init__(self) -> None:
        self._time: dict[Level, Seconds] = {}
        self._finish: dict[tuple[Level, WorkspaceId], Seconds] = {}
        self._prune_at = PRUNE_THRESHOLD

    def charge(self, request: PermitRequest, cost: Seconds) -> int:
        """Charge a request to its workspace, and return its virtual start in quanta."""
        level = (request.tier_rank, request.class_rank)
        key = (level, request.workspace)
        start = max(self._time.get(level, 0.0), self._finish.get(key, 0.0))
        self._finish[key] = start + cost / max(request.weight, 1e-6)
        if len(self._finish) > self._prune_at:
            self._prune()
        return int(start / QUANTUM)

    def record_grant(self, request: PermitRequest, virtual_start: int) -> None:
        """Advance a level's virtual time to a granted request's start."""
        level = (request.tier_rank, request.class_rank)
        self._time[level] = max(self._time.get(level, 0.0), virtual_start * QUANTUM)

    def refund(self, request: PermitRequest, cost: Seconds) -> None:
        """Refund the charge of a request that left the queue without a grant."""
        key = ((request.tier_rank, request.class_rank), request.workspace)
        if key in self._finish:
            self._finish[key] -= cost / max(request.weight, 1e-6)

    def _prune(self) -> None:
        """Remove idle workspaces; the threshold doubles, so the cost is amortized."""
        self._finish = {
            key: finish
            for key, finish in self._finish.items()
            if finish > self._time.get(key[0], 0.0)
        }
        self._prune_at = max(PRUNE_THRESHOLD, 2 * len(self._finish))
