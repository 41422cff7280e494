"""Share a shard between the workspaces of one level by start-time fair queueing."""

from .messages import PermitRequest
from .types import Seconds, WorkspaceId

QUANTUM: Seconds = 1.0
PRUNE_THRESHOLD = 1_024

Level = tuple[int, int]


class FairShare:
    """Hold the virtual time of each level and each workspace's place in it.

    A workspace that was idle starts at its level's virtual time, so it goes before
    what another workspace's burst has queued up, and saves nothing up.
    """

    def __init__(self) -> None:
        self._time: dict[Level, Seconds] = {}
        self._finish: dict[tuple[Level, WorkspaceId], Seconds] = {}
        self._prune_at = PRUNE_THRESHOLD

    def charge(self, request: PermitRequest, cost: Seconds) -> int:
        """Charge a request to its workspace, and return its place in its level."""
        level = (request.tier_rank, request.class_rank)
        key = (level, request.workspace)
        start = max(self._time.get(level, 0.0), self._finish.get(key, 0.0))
        self._finish[key] = start + cost / max(request.weight, 1e-6)
        if len(self._finish) > self._prune_at:
            self._prune()
        return int(start / QUANTUM)

    def record_grant(self, request: PermitRequest, virtual_start: int) -> None:
        """Move a level's virtual time on to a granted request's place."""
        level = (request.tier_rank, request.class_rank)
        self._time[level] = max(self._time.get(level, 0.0), virtual_start * QUANTUM)

    def refund(self, request: PermitRequest, cost: Seconds) -> None:
        """Take the charge for a request back that left without a grant."""
        key = ((request.tier_rank, request.class_rank), request.workspace)
        if key in self._finish:
            self._finish[key] -= cost / max(request.weight, 1e-6)

    def _prune(self) -> None:
        """Forget idle workspaces; the bound doubles, so the cost stays amortized."""
        self._finish = {
            key: finish
            for key, finish in self._finish.items()
            if finish > self._time.get(key[0], 0.0)
        }
        self._prune_at = max(PRUNE_THRESHOLD, 2 * len(self._finish))
