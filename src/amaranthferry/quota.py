"""Hold workspaces to their quotas with one token bucket each.

A bucket holds the burst and a leeway. A ledger that has just begun doesn't know what
was used before, so its buckets start from the burst and earn the leeway.
"""

from collections.abc import Mapping

import msgspec

from .config import Quota
from .types import Seconds, WorkspaceId

#: Longest hint to a workspace that is over its quota.
MAX_WAIT: Seconds = 60.0


class _Bucket(msgspec.Struct):
    level: float
    filled_at: Seconds


class QuotaLedger:
    """Account for what the workspaces use of a rate and a burst."""

    def __init__(self) -> None:
        self._quotas: Mapping[WorkspaceId, Quota] = {}
        self._buckets: dict[WorkspaceId, _Bucket] = {}

    def apply(self, quotas: Mapping[WorkspaceId, Quota]) -> None:
        """Put quotas in force; what was used stays used."""
        self._quotas = quotas
        for workspace in list(self._buckets):
            if workspace not in quotas:
                del self._buckets[workspace]

    def take(self, workspace: WorkspaceId, cost: float, now: Seconds) -> Seconds:
        """Take a request's cost; return 0, or the wait until there is room for it."""
        quota = self._quotas.get(workspace)
        if quota is None or quota.rate <= 0 or cost <= 0:
            return 0.0
        bucket = self._filled(workspace, quota, now)
        # A request larger than the whole room passes a full bucket, and leaves a debt.
        needed = min(cost, quota.room)
        if bucket.level < needed:
            return min(MAX_WAIT, (needed - bucket.level) / quota.rate)
        bucket.level -= cost
        return 0.0

    def give_back(self, workspace: WorkspaceId, cost: float, now: Seconds) -> None:
        """Return the cost of a request that did not run."""
        quota = self._quotas.get(workspace)
        if quota is not None and quota.rate > 0 and cost > 0:
            bucket = self._filled(workspace, quota, now)
            bucket.level = min(quota.room, bucket.level + cost)

    def _filled(self, workspace: WorkspaceId, quota: Quota, now: Seconds) -> _Bucket:
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(quota.burst, now)
        elapsed = max(0.0, now - bucket.filled_at)
        bucket.level = min(quota.room, bucket.level + elapsed * quota.rate)
        bucket.filled_at = now
        return bucket
