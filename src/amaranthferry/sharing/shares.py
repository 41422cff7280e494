"""Tell how far each workspace's requests run ahead of its share of a level.

This answers sustained overload in which one workspace asks for many times its usual: the
others of its level go first until it has as much, by weight, as they have. Shares only
order what waits, so no slot stays idle and nothing is refused for them.
"""

from collections.abc import Mapping

import msgspec
from sortedcontainers import SortedList

from ..forecast import Level
from ..messages import PermitRequest
from ..types import Seconds, WorkspaceId

#: Mean requests that a workspace may have ahead of its share before it is deferred.
#: Callers send in small bursts, which are not competition.
BURST_REQUESTS = 4
#: Weight of a new sample in a level's mean cost.
SMOOTHING = 0.05
MAX_EXCESS = 8
MIN_WEIGHT = 1e-6


class _Charge(msgspec.Struct):
    """Represent what a workspace has been charged on a level's virtual clock."""

    weight: float
    finish: float


class _LevelShares:
    """Advance a level's virtual clock by the work it is granted.

    The clock runs as in weighted fair queueing: a second of work counts for the weights
    of all workspaces that are ahead of the clock together, so it tells what each would
    have got by its share.
    """

    def __init__(self) -> None:
        self._clock = 0.0
        self._mean_cost: Seconds = 0.0
        self._charges: dict[WorkspaceId, _Charge] = {}
        #: The workspaces that are ahead of the clock, in the order it reaches them.
        self._ahead: SortedList = SortedList()
        self._weight_ahead = 0.0

    def charge(self, workspace: WorkspaceId, weight: float, cost: Seconds) -> int:
        """Charge a request, and return its excess in bursts beyond the share."""
        if not self._mean_cost:
            self._mean_cost = cost
        self._mean_cost += SMOOTHING * (cost - self._mean_cost)
        charge = self._charges.get(workspace)
        start = self._clock if charge is None else max(self._clock, charge.finish)
        self._set(workspace, weight, start + cost / weight)
        burst = BURST_REQUESTS * self._mean_cost
        if burst <= 0.0:
            return 0
        return min(MAX_EXCESS, int((start - self._clock) / burst))

    def refund(self, workspace: WorkspaceId, cost: Seconds) -> None:
        """Take back the charge of a request that left the queue without a grant."""
        charge = self._charges.get(workspace)
        if charge is not None:
            finish = charge.finish - cost / charge.weight
            self._set(workspace, charge.weight, finish)

    def record_grant(self, cost: Seconds) -> None:
        """Advance the clock by granted work; who is reached is no longer ahead."""
        while self._ahead and cost > 0.0:
            finish, workspace = self._ahead[0]
            needed = (finish - self._clock) * self._weight_ahead
            if needed > cost:
                self._clock += cost / self._weight_ahead
                return
            cost -= max(0.0, needed)
            self._clock = max(self._clock, finish)
            self._remove(workspace)

    def _set(self, workspace: WorkspaceId, weight: float, finish: float) -> None:
        self._remove(workspace)
        if finish > self._clock:
            self._charges[workspace] = _Charge(weight, finish)
            self._ahead.add((finish, workspace))
            self._weight_ahead += weight

    def _remove(self, workspace: WorkspaceId) -> None:
        charge = self._charges.pop(workspace, None)
        if charge is not None:
            self._ahead.remove((charge.finish, workspace))
            self._weight_ahead -= charge.weight
        if not self._ahead:
            # Rounding errors of the sum don't accumulate.
            self._weight_ahead = 0.0


class WorkspaceShares:
    """Track the shares of each level's workspaces, weighted by what they are allowed.

    A workspace without an allowance weighs as much as the mean of the others.
    """

    def __init__(self) -> None:
        self._levels: dict[Level, _LevelShares] = {}
        self._weights: dict[WorkspaceId, float] = {}

    def apply(self, allowances: Mapping[WorkspaceId, float]) -> None:
        """Weigh the workspaces by their allowed rates; 0 stands for no allowance."""
        rates = {name: rate for name, rate in allowances.items() if rate > 0}
        mean = sum(rates.values()) / len(rates) if rates else 1.0
        self._weights = {
            name: max(MIN_WEIGHT, rate / mean) for name, rate in rates.items()
        }

    def charge(self, request: PermitRequest, cost: Seconds) -> int:
        """Charge a request that is queued, and return its excess over the share."""
        weight = self._weights.get(request.workspace, 1.0)
        return self._level(request).charge(request.workspace, weight, cost)

    def refund(self, request: PermitRequest, cost: Seconds) -> None:
        """Take back the charge of a request that left the queue without a grant."""
        self._level(request).refund(request.workspace, cost)

    def record_grant(self, request: PermitRequest, cost: Seconds) -> None:
        """Record that a request got a slot."""
        self._level(request).record_grant(cost)

    def _level(self, request: PermitRequest) -> _LevelShares:
        level = (request.tier_rank, request.class_rank)
        shares = self._levels.get(level)
        if shares is None:
            shares = self._levels[level] = _LevelShares()
        return shares
