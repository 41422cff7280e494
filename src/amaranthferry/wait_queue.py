"""Queue the waiting requests of one shard in the order of their ranks."""

import heapq
from collections.abc import Collection, Iterator
from typing import NamedTuple

import msgspec
from sortedcontainers import SortedList

from .forecast import Ahead, Wait
from .messages import PermitRequest
from .types import HostId, ModelId, RequestId, Seconds, WorkspaceId


class Lane(NamedTuple):
    """Identify a group of waiters that the same servers can serve."""

    model: ModelId
    bulk: bool


class _Group(NamedTuple):
    lane: Lane
    tier: int
    work_class: int
    workspace: WorkspaceId


class Rank(NamedTuple):
    """Order waiters: the lowest rank is granted first, the highest shed first."""

    tier: int
    work_class: int
    virtual_start: int
    deadline: Seconds
    sequence: int


NO_WAIT = Wait()


class Waiter(msgspec.Struct, eq=False):
    """Represent a waiting request; times are the coordinator's monotonic seconds."""

    request: PermitRequest
    host: HostId
    arrived: Seconds
    deadline: Seconds
    rank: Rank
    grant_rank: Rank
    cost: Seconds = 0.0
    #: The newest forecast of the wait, and when it was made.
    forecast: Wait = NO_WAIT
    forecast_at: Seconds = 0.0

    @property
    def group(self) -> _Group:
        """Return the group of waiters that may swap grant ranks with this one."""
        request = self.request
        return _Group(
            self.lane, request.tier_rank, request.class_rank, request.workspace
        )

    @property
    def lane(self) -> Lane:
        """Return the lane that the waiter queues in."""
        return Lane(self.request.model, self.request.bulk)


class WaitQueue:
    """Order waiters by grant rank within lanes, and by rank for shedding."""

    def __init__(self) -> None:
        self._by_id: dict[RequestId, Waiter] = {}
        self._by_sequence: dict[int, Waiter] = {}
        self._lanes: dict[Lane, SortedList] = {}
        self._deadlines: dict[_Group, SortedList] = {}
        self._ranks = SortedList()
        self._expiry: list[tuple[Seconds, int]] = []
        self._costs: dict[tuple[int, int], Seconds] = {}
        self._expires_at: dict[RequestId, Seconds] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._by_id

    def __iter__(self) -> Iterator[Waiter]:
        return iter(tuple(self._by_id.values()))

    def hosts(self) -> Collection[HostId]:
        """Return the hosts that have waiters in the queue."""
        return {waiter.host for waiter in self._by_id.values()}

    def get(self, request_id: RequestId) -> Waiter | None:
        """Return a waiter by its request id."""
        return self._by_id.get(request_id)

    def add(self, waiter: Waiter, *, expires_at: Seconds) -> None:
        """Add a waiter that expires at `expires_at`."""
        sequence = waiter.rank.sequence
        self._by_id[waiter.request.request_id] = waiter
        self._by_sequence[sequence] = waiter
        self._lanes.setdefault(waiter.lane, SortedList()).add(waiter.grant_rank)
        self._ranks.add(waiter.rank)
        deadlines = self._deadlines.setdefault(waiter.group, SortedList())
        deadlines.add((waiter.deadline, sequence))
        heapq.heappush(self._expiry, (expires_at, sequence))
        self._expires_at[waiter.request.request_id] = expires_at
        level = waiter.rank[:2]
        self._costs[level] = self._costs.get(level, 0.0) + waiter.cost

    def remove(self, request_id: RequestId) -> Waiter | None:
        """Remove and return a waiter, or return None if there is none."""
        waiter = self._by_id.pop(request_id, None)
        if waiter is None:
            return None
        del self._by_sequence[waiter.rank.sequence]
        del self._expires_at[request_id]
        self._lanes[waiter.lane].remove(waiter.grant_rank)
        self._ranks.remove(waiter.rank)
        deadlines = self._deadlines[waiter.group]
        deadlines.remove((waiter.deadline, waiter.rank.sequence))
        if not deadlines:
            del self._deadlines[waiter.group]
        self._costs[waiter.rank[:2]] -= waiter.cost
        return waiter

    def expires_at(self, request_id: RequestId) -> Seconds:
        """Return the time at which a waiter expires."""
        return self._expires_at[request_id]

    def lowest(self) -> Waiter | None:
        """Return the waiter that is shed first."""
        if not self._ranks:
            return None
        return self._by_sequence[self._ranks[-1].sequence]

    def lanes(self) -> tuple[Lane, ...]:
        """Return the lanes that have waiters."""
        return tuple(lane for lane, ranks in self._lanes.items() if ranks)

    def length(self, lane: Lane) -> int:
        """Return the number of waiters in a lane."""
        return len(self._lanes[lane])

    def is_behind(self, request_id: RequestId, count: int) -> bool:
        """Return whether at least `count` waiters are ahead of one in its lane."""
        waiter = self._by_id.get(request_id)
        if waiter is None:
            return False
        ranks = self._lanes[waiter.lane]
        return len(ranks) > count and ranks.bisect_left(waiter.grant_rank) >= count

    def at(self, lane: Lane, index: int) -> Waiter | None:
        """Return the waiter at an index of its lane, or None past the end.

        A workspace's waiters are granted by deadline: the head of a lane first swaps
        grant ranks with the waiter of its group that has the earliest deadline.
        """
        ranks = self._lanes[lane]
        if index >= len(ranks):
            return None
        waiter = self._by_sequence[ranks[index].sequence]
        if index:
            return waiter
        first = self._by_sequence[self._deadlines[waiter.group][0][1]]
        if (
            first.grant_rank[:2] == waiter.grant_rank[:2]
            and first.grant_rank > waiter.grant_rank
        ):
            self._swap(waiter, first)
        return self._by_sequence[ranks[0].sequence]

    def _swap(self, one: Waiter, other: Waiter) -> None:
        ranks = self._lanes[one.lane]
        ranks.remove(one.grant_rank)
        ranks.remove(other.grant_rank)
        start, other_start = (
            one.grant_rank.virtual_start,
            other.grant_rank.virtual_start,
        )
        one.grant_rank = one.grant_rank._replace(virtual_start=other_start)
        other.grant_rank = other.grant_rank._replace(virtual_start=start)
        ranks.add(one.grant_rank)
        ranks.add(other.grant_rank)

    def pop_expired(self, now: Seconds) -> Iterator[Waiter]:
        """Remove and yield the waiters that have expired."""
        while self._expiry and self._expiry[0][0] <= now:
            _, sequence = heapq.heappop(self._expiry)
            waiter = self._by_sequence.get(sequence)
            if waiter is not None:
                self.remove(waiter.request.request_id)
                yield waiter

    def count_before(self, waiter: Waiter) -> int:
        """Return the waiters that go before a waiter."""
        return self._ranks.bisect_left(waiter.rank)

    def ahead_of_new(self, rank: Rank) -> Ahead:
        """Estimate the cost of the work that goes before a new waiter of a rank.

        Higher levels count in full. The rank's own level counts in proportion to the
        number of waiters ahead, which avoids a walk over the queue.
        """
        level = rank[:2]
        ahead = sum(cost for other, cost in self._costs.items() if other < level)
        own = self._costs.get(level, 0.0)
        if own <= 0.0:
            return Ahead(ahead, 0.0)
        first = self._ranks.bisect_left((*level,))
        last = self._ranks.bisect_left((level[0], level[1] + 1))
        before = self._ranks.bisect_left(rank)
        return Ahead(ahead, own * (before - first) / max(1, last - first))
