"""Hold workspaces to their quotas over a sliding window.

In each window a workspace may use its rate times the window, its burst and a leeway.
A ledger that has just begun doesn't know what was used before, so it starts from the
burst and earns the rest.
"""

from collections import deque
from collections.abc import Mapping

from .config import Quota
from .types import Seconds, WorkspaceId

#: Longest hint to a workspace that is over its quota.
MAX_WAIT: Seconds = 60.0


class _Use:
    """Hold what one workspace used within the window."""

    def __init__(self) -> None:
        self.total = 0.0
        self._entries: deque[tuple[Seconds, float]] = deque()

    def expire(self, since: Seconds) -> None:
        """Forget what was used before a time."""
        while self._entries and self._entries[0][0] <= since:
            self.total -= self._entries.popleft()[1]

    def add(self, cost: float, now: Seconds) -> None:
        """Count a use; a negative one takes another back."""
        self._entries.append((now, cost))
        self.total += cost

    def free_at(self, amount: float) -> Seconds | None:
        """Return when the oldest uses that sum up to an amount were made."""
        for at, cost in self._entries:
            amount -= cost
            if amount <= 0:
                return at
        return None


class QuotaLedger:
    """Account for what the workspaces use of a rate and a burst."""

    def __init__(self, started: Seconds) -> None:
        self._started = started
        self._quotas: Mapping[WorkspaceId, Quota] = {}
        self._uses: dict[WorkspaceId, _Use] = {}

    def apply(self, quotas: Mapping[WorkspaceId, Quota]) -> None:
        """Put quotas in force; what was used stays used."""
        self._quotas = quotas
        for workspace in list(self._uses):
            if workspace not in quotas:
                del self._uses[workspace]

    def take(self, workspace: WorkspaceId, cost: float, now: Seconds) -> Seconds:
        """Take a request's cost; return 0, or the wait until there is room for it."""
        quota = self._quotas.get(workspace)
        if quota is None or quota.rate <= 0 or cost <= 0:
            return 0.0
        use = self._uses.setdefault(workspace, _Use())
        use.expire(now - quota.window)
        room = self._room(quota, now)
        # A request larger than the whole room passes when nothing else was used.
        excess = use.total + min(cost, room) - room
        if excess <= 0:
            use.add(cost, now)
            return 0.0
        if now < self._started + quota.window:
            return min(MAX_WAIT, excess / quota.rate)
        at = use.free_at(excess)
        return MAX_WAIT if at is None else max(0.0, at + quota.window - now)

    def _room(self, quota: Quota, now: Seconds) -> float:
        known = now - self._started
        if known < quota.window:
            return quota.burst + quota.rate * known
        return quota.burst + quota.rate * quota.window + quota.leeway

    def give_back(self, workspace: WorkspaceId, cost: float, now: Seconds) -> None:
        """Return the cost of a request that did not run."""
        use = self._uses.get(workspace)
        if use is not None and cost > 0:
            use.add(-cost, now)
