"""Enforce workspace quotas: in any window, the rate times the window plus the burst.

A ledger that replaces another one starts from the initial allowance, until enough
hosts have reported the recent usage of their requests.
"""

from collections import deque
from collections.abc import Iterator, Mapping

import msgspec

from .config import Quota
from .types import Seconds, WorkspaceId

#: Upper bound of the retry-after for a workspace that is over its quota.
MAX_RETRY_AFTER: Seconds = 60.0
#: Width of the time buckets in which usage is counted.
BUCKET_WIDTH: Seconds = 0.5
#: Number of buckets that a host keeps; they cover more than the window of any quota.
KEPT_BUCKETS = 32
#: Fraction of recent usage that must be reported before a ledger relies on it.
MIN_REPORTED_FRACTION = 0.6

#: Usage by workspace, one number per bucket, the latest first.
Usage = Mapping[WorkspaceId, tuple[float, ...]]


class UsageBucket(msgspec.Struct):
    """Store the cost of one span of time; buckets are numbered from time 0."""

    number: int
    cost: float


class UsageBuckets:
    """Track one workspace's usage by time bucket."""

    def __init__(self) -> None:
        self._buckets: deque[UsageBucket] = deque()

    def add(self, cost: float, number: int) -> None:
        """Add a cost to a bucket, or to the latest one if that is newer."""
        if self._buckets and number <= self._buckets[-1].number:
            self._buckets[-1].cost += cost
        else:
            self._buckets.append(UsageBucket(number, cost))

    def prepend(self, buckets: list[UsageBucket]) -> None:
        """Add usage from before all existing buckets, the latest first."""
        self._buckets.extendleft(buckets)

    def prune(self, before: int) -> None:
        """Remove the buckets before a number."""
        while self._buckets and self._buckets[0].number < before:
            self._buckets.popleft()

    def __iter__(self) -> Iterator[UsageBucket]:
        """Return an iterator over the buckets, the oldest first."""
        return iter(self._buckets)

    @property
    def total(self) -> float:
        """Return the total cost of all buckets."""
        return sum(bucket.cost for bucket in self._buckets)


class UsageRecord:
    """Track the recent quota usage of one host's requests."""

    def __init__(self) -> None:
        self._usage: dict[WorkspaceId, UsageBuckets] = {}

    def record(self, workspace: WorkspaceId, cost: float, now: Seconds) -> None:
        """Record the cost of a dispatch."""
        buckets = self._usage.setdefault(workspace, UsageBuckets())
        buckets.add(cost, int(now / BUCKET_WIDTH))
        buckets.prune(int(now / BUCKET_WIDTH) - KEPT_BUCKETS)

    def usage(self, now: Seconds) -> Usage:
        """Return the usage per bucket up to now, the latest first."""
        latest = int(now / BUCKET_WIDTH)
        found: dict[WorkspaceId, tuple[float, ...]] = {}
        for workspace, buckets in self._usage.items():
            buckets.prune(latest - KEPT_BUCKETS)
            by_age = {latest - bucket.number: bucket.cost for bucket in buckets}
            if by_age:
                ages = range(max(by_age) + 1)
                found[workspace] = tuple(by_age.get(age, 0.0) for age in ages)
        return found


class QuotaLedger:
    """Account for the workspaces' usage of their quotas."""

    def __init__(self, now: Seconds = 0.0) -> None:
        self._quotas: Mapping[WorkspaceId, Quota] = {}
        self._usage: dict[WorkspaceId, UsageBuckets] = {}
        self._started = now
        self._usage_applied = False
        self._known: set[WorkspaceId] = set()
        self._reported: dict[WorkspaceId, list[float]] = {}
        self._record_ages: list[Seconds] = []

    def apply(self, quotas: Mapping[WorkspaceId, Quota]) -> None:
        """Apply new quotas; recorded usage still counts."""
        self._quotas = quotas
        for workspace in list(self._usage):
            if workspace not in quotas:
                del self._usage[workspace]

    def restart(self, now: Seconds) -> None:
        """Take over the usage of other ledgers, whose hosts report it from now on."""
        self._started = now
        self._usage_applied = False
        self._known.clear()

    def is_known(self, now: Seconds) -> bool:
        """Return whether the usage in a full window up to now is known."""
        windows = (quota.window for quota in self._quotas.values())
        return bool(self._known) or now - self._started >= max(windows, default=0.0)

    def add_usage(self, usage: Usage, record_age: Seconds) -> None:
        """Add one host's recent usage and the time for which it has recorded it."""
        if self._usage_applied:
            return
        self._record_ages.append(record_age)
        for workspace, used in usage.items():
            total = self._reported.setdefault(workspace, [0.0] * KEPT_BUCKETS)
            for index, cost in enumerate(used[:KEPT_BUCKETS]):
                total[index] += cost

    def apply_reported_usage(self, hosts: int) -> None:
        """Apply the reported usage, once all of `hosts` hosts had time to report."""
        if self._usage_applied:
            return
        self._usage_applied = True
        for workspace, quota in self._quotas.items():
            fraction = self._reported_fraction(quota, hosts)
            if fraction >= MIN_REPORTED_FRACTION:
                self._known.add(workspace)
                self._apply_usage(workspace, fraction)
        self._reported.clear()
        self._record_ages.clear()

    def _reported_fraction(self, quota: Quota, hosts: int) -> float:
        """Return the fraction of the usage in a quota's window that was reported."""
        window = max(BUCKET_WIDTH, quota.window)
        return sum(min(1.0, age / window) for age in self._record_ages) / max(1, hosts)

    def _apply_usage(self, workspace: WorkspaceId, fraction: float) -> None:
        # Buckets of hosts start at different times, so usage counts one bucket later.
        latest = int(self._started / BUCKET_WIDTH)
        buckets = [
            UsageBucket(min(latest, latest - age + 1), cost / fraction)
            for age, cost in enumerate(self._reported.get(workspace, ()))
            if cost
        ]
        self._buckets_of(workspace).prepend(buckets)

    def _buckets_of(self, workspace: WorkspaceId) -> UsageBuckets:
        return self._usage.setdefault(workspace, UsageBuckets())

    def charge(self, workspace: WorkspaceId, cost: float, now: Seconds) -> Seconds:
        """Charge a request's cost and return 0, or return the wait until it fits."""
        quota = self._quotas.get(workspace)
        if quota is None or quota.rate <= 0 or cost <= 0:
            return 0.0
        buckets = self._buckets_of(workspace)
        wait = self._window_wait(buckets, quota, cost, now)
        if workspace not in self._known:
            wait = max(wait, self._initial_wait(buckets, quota, cost, now))
        if wait > 0:
            return min(MAX_RETRY_AFTER, wait)
        buckets.add(cost, int(now / BUCKET_WIDTH))
        return 0.0

    def _window_wait(
        self, buckets: UsageBuckets, quota: Quota, cost: float, now: Seconds
    ) -> Seconds:
        """Return the time until the window has enough capacity."""
        buckets.prune(int((now - quota.window) / BUCKET_WIDTH))
        # A request that is larger than the limit passes an empty window.
        excess = buckets.total + min(cost, quota.window_limit) - quota.window_limit
        if excess <= 0:
            return 0.0
        free_at = now
        for bucket in buckets:
            excess -= bucket.cost
            free_at = (bucket.number + 1) * BUCKET_WIDTH + quota.window
            if excess <= 0:
                break
        return max(BUCKET_WIDTH, free_at - now)

    def _initial_wait(
        self, buckets: UsageBuckets, quota: Quota, cost: float, now: Seconds
    ) -> Seconds:
        """Return the wait of a ledger that doesn't know the usage before its start."""
        age = now - self._started
        if age >= quota.window:
            return 0.0
        # Within its first window the ledger has not pruned any charge.
        needed = buckets.total + min(cost, quota.initial_allowance)
        return max(0.0, (needed - quota.initial_allowance) / quota.rate - age)

    def refund(self, workspace: WorkspaceId, cost: float, now: Seconds) -> None:
        """Refund the cost of a request that did not run."""
        buckets = self._usage.get(workspace)
        if buckets is not None and cost > 0:
            buckets.add(-cost, int(now / BUCKET_WIDTH))
