"""Hold workspaces to their quotas: rate times window and burst in any window.

A ledger that takes over from another one gives little, until each host has told what
its requests used of late.
"""

from collections import deque
from collections.abc import Iterator, Mapping

import msgspec

from .config import Quota
from .types import Seconds, WorkspaceId

#: Longest hint to a workspace that is over its quota.
MAX_WAIT: Seconds = 60.0
#: Span of time that use is counted by.
SLOT: Seconds = 0.5
#: Slots that a host keeps: more than any window that a quota is stated for.
KEPT_SLOTS = 32
#: Part of the use of late that must be known before a ledger builds on it.
MIN_KNOWN = 0.6

#: Use by workspace, one number a slot, the latest first.
Usage = Mapping[WorkspaceId, tuple[float, ...]]


class Slot(msgspec.Struct):
    """Hold what was used in one span of time; slots are numbered from time 0."""

    number: int
    cost: float


class SlotCounts:
    """Count one workspace's use by slots of time."""

    def __init__(self) -> None:
        self._slots: deque[Slot] = deque()

    def add(self, cost: float, number: int) -> None:
        """Count a cost in a slot; late ones count in the latest slot."""
        if self._slots and number <= self._slots[-1].number:
            self._slots[-1].cost += cost
        else:
            self._slots.append(Slot(number, cost))

    def prepend(self, slots: list[Slot]) -> None:
        """Count use from before all that was counted here, the latest first."""
        self._slots.extendleft(slots)

    def forget(self, before: int) -> None:
        """Drop the slots before a number."""
        while self._slots and self._slots[0].number < before:
            self._slots.popleft()

    def __iter__(self) -> Iterator[Slot]:
        """Yield the slots, the oldest first."""
        return iter(self._slots)

    @property
    def total(self) -> float:
        """Return the cost in all slots."""
        return sum(slot.cost for slot in self._slots)


class UsageRecord:
    """Keep what one host's requests used of late."""

    def __init__(self) -> None:
        self._counts: dict[WorkspaceId, SlotCounts] = {}

    def record(self, workspace: WorkspaceId, cost: float, now: Seconds) -> None:
        """Count the cost of a dispatch."""
        counts = self._counts.setdefault(workspace, SlotCounts())
        counts.add(cost, int(now / SLOT))
        counts.forget(int(now / SLOT) - KEPT_SLOTS)

    def usage(self, now: Seconds) -> Usage:
        """Return the use of the slots up to now, the latest first."""
        latest = int(now / SLOT)
        found: dict[WorkspaceId, tuple[float, ...]] = {}
        for workspace, counts in self._counts.items():
            counts.forget(latest - KEPT_SLOTS)
            by_age = {latest - slot.number: slot.cost for slot in counts}
            if by_age:
                ages = range(max(by_age) + 1)
                found[workspace] = tuple(by_age.get(age, 0.0) for age in ages)
        return found


class QuotaLedger:
    """Account for what the workspaces use of their quotas."""

    def __init__(self, now: Seconds = 0.0) -> None:
        self._quotas: Mapping[WorkspaceId, Quota] = {}
        self._counts: dict[WorkspaceId, SlotCounts] = {}
        self._began = now
        self._settled = False
        self._known: set[WorkspaceId] = set()
        self._told: dict[WorkspaceId, list[float]] = {}
        self._recorded: list[Seconds] = []

    def apply(self, quotas: Mapping[WorkspaceId, Quota]) -> None:
        """Put quotas in force; what was used stays used."""
        self._quotas = quotas
        for workspace in list(self._counts):
            if workspace not in quotas:
                del self._counts[workspace]

    def is_known(self, now: Seconds) -> bool:
        """Tell whether the ledger knows what was used in a window up to now."""
        windows = (quota.window for quota in self._quotas.values())
        return bool(self._known) or now - self._began >= max(windows, default=0.0)

    def learn(self, usage: Usage, recorded: Seconds) -> None:
        """Take one host's use of late, and for how long it has kept record."""
        if self._settled:
            return
        self._recorded.append(recorded)
        for workspace, used in usage.items():
            total = self._told.setdefault(workspace, [0.0] * KEPT_SLOTS)
            for index, cost in enumerate(used[:KEPT_SLOTS]):
                total[index] += cost

    def settle(self, hosts: int) -> None:
        """Build on what was learned, once all of so many hosts had time to tell."""
        if self._settled:
            return
        self._settled = True
        for workspace, quota in self._quotas.items():
            part = self._part_told(quota, hosts)
            if part >= MIN_KNOWN:
                self._known.add(workspace)
                self._take_over(workspace, part)
        self._told.clear()
        self._recorded.clear()

    def _part_told(self, quota: Quota, hosts: int) -> float:
        """Return the part of the use in the quota's window that was told."""
        window = max(SLOT, quota.window)
        return sum(min(1.0, at / window) for at in self._recorded) / max(1, hosts)

    def _take_over(self, workspace: WorkspaceId, part: float) -> None:
        # The slots of hosts begin at different times: use counts as one slot later.
        latest = int(self._began / SLOT)
        slots = [
            Slot(min(latest, latest - age + 1), cost / part)
            for age, cost in enumerate(self._told.get(workspace, ()))
            if cost
        ]
        self._counts_of(workspace).prepend(slots)

    def _counts_of(self, workspace: WorkspaceId) -> SlotCounts:
        return self._counts.setdefault(workspace, SlotCounts())

    def take(self, workspace: WorkspaceId, cost: float, now: Seconds) -> Seconds:
        """Take a request's cost; return 0, or the wait until there is room for it."""
        quota = self._quotas.get(workspace)
        if quota is None or quota.rate <= 0 or cost <= 0:
            return 0.0
        counts = self._counts_of(workspace)
        wait = self._window_wait(counts, quota, cost, now)
        if workspace not in self._known:
            wait = max(wait, self._start_wait(counts, quota, cost, now))
        if wait > 0:
            return min(MAX_WAIT, wait)
        counts.add(cost, int(now / SLOT))
        return 0.0

    def _window_wait(
        self, counts: SlotCounts, quota: Quota, cost: float, now: Seconds
    ) -> Seconds:
        """Return the time until the window has room."""
        counts.forget(int((now - quota.window) / SLOT))
        # A request that is larger than the whole room passes an empty window.
        excess = counts.total + min(cost, quota.window_limit) - quota.window_limit
        if excess <= 0:
            return 0.0
        leaves = now
        for slot in counts:
            excess -= slot.cost
            leaves = (slot.number + 1) * SLOT + quota.window
            if excess <= 0:
                break
        return max(SLOT, leaves - now)

    def _start_wait(
        self, counts: SlotCounts, quota: Quota, cost: float, now: Seconds
    ) -> Seconds:
        """Return the wait of an account that can't know what was used before."""
        age = now - self._began
        if age >= quota.window:
            return 0.0
        # Within its first window the ledger has dropped nothing of what it gave.
        needed = counts.total + min(cost, quota.initial_allowance)
        return max(0.0, (needed - quota.initial_allowance) / quota.rate - age)

    def give_back(self, workspace: WorkspaceId, cost: float, now: Seconds) -> None:
        """Return the cost of a request that did not run."""
        counts = self._counts.get(workspace)
        if counts is not None and cost > 0:
            counts.add(-cost, int(now / SLOT))
