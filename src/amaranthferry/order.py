"""Keep the waiting requests of one shard in the order of their ranks."""

import heapq
from collections.abc import Collection, Iterator
from typing import NamedTuple

import msgspec
from sortedcontainers import SortedList

from .messages import PermitRequest
from .types import HostId, ModelId, RequestId, Seconds, WorkspaceId


class Lane(NamedTuple):
    """Group the waiters that the same servers can take."""

    model: ModelId
    bulk: bool


class _Group(NamedTuple):
    lane: Lane
    tier: int
    work_class: int
    workspace: WorkspaceId


class Rank(NamedTuple):
    """Order waiters; the lowest goes first, and the highest is shed first."""

    tier: int
    work_class: int
    share: int
    latest_start: Seconds
    sequence: int


class Waiter(msgspec.Struct, eq=False):
    """Hold one waiting request; times are the coordinator's monotonic seconds."""

    request: PermitRequest
    host: HostId
    arrived: Seconds
    deadline: Seconds
    rank: Rank
    turn: Rank
    cost: Seconds = 0.0

    @property
    def group(self) -> _Group:
        """Return the waiters that this one may change turns with."""
        ask = self.request
        return _Group(self.lane, ask.tier_rank, ask.class_rank, ask.workspace)

    @property
    def lane(self) -> Lane:
        """Return the lane that the waiter stands in."""
        return Lane(self.request.model, self.request.bulk)


class WaitQueue:
    """Hold waiters by turn within lanes, and by rank for shedding."""

    def __init__(self) -> None:
        self._by_id: dict[RequestId, Waiter] = {}
        self._by_sequence: dict[int, Waiter] = {}
        self._lanes: dict[Lane, SortedList] = {}
        self._due: dict[_Group, SortedList] = {}
        self._ranks = SortedList()
        self._expiry: list[tuple[Seconds, int]] = []
        self._costs: dict[tuple[int, int], Seconds] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._by_id

    def __iter__(self) -> Iterator[Waiter]:
        return iter(tuple(self._by_id.values()))

    def hosts(self) -> Collection[HostId]:
        """Return the hosts that have waiters here."""
        return {waiter.host for waiter in self._by_id.values()}

    def get(self, request_id: RequestId) -> Waiter | None:
        """Return a waiter by its request id."""
        return self._by_id.get(request_id)

    def add(self, waiter: Waiter, *, give_up_at: Seconds) -> None:
        """Take a waiter in; it expires at `give_up_at`."""
        sequence = waiter.rank.sequence
        self._by_id[waiter.request.request_id] = waiter
        self._by_sequence[sequence] = waiter
        self._lanes.setdefault(waiter.lane, SortedList()).add(waiter.turn)
        self._ranks.add(waiter.rank)
        due = self._due.setdefault(waiter.group, SortedList())
        due.add((waiter.deadline, sequence))
        heapq.heappush(self._expiry, (give_up_at, sequence))
        level = waiter.rank[:2]
        self._costs[level] = self._costs.get(level, 0.0) + waiter.cost

    def remove(self, request_id: RequestId) -> Waiter | None:
        """Take a waiter out, whether it was granted, shed or withdrawn."""
        waiter = self._by_id.pop(request_id, None)
        if waiter is None:
            return None
        del self._by_sequence[waiter.rank.sequence]
        self._lanes[waiter.lane].remove(waiter.turn)
        self._ranks.remove(waiter.rank)
        due = self._due[waiter.group]
        due.remove((waiter.deadline, waiter.rank.sequence))
        if not due:
            del self._due[waiter.group]
        self._costs[waiter.rank[:2]] -= waiter.cost
        return waiter

    def lowest(self) -> Waiter | None:
        """Return the waiter that is shed first."""
        if not self._ranks:
            return None
        return self._by_sequence[self._ranks[-1].sequence]

    def lanes(self) -> tuple[Lane, ...]:
        """Return the lanes that hold waiters."""
        return tuple(lane for lane, turns in self._lanes.items() if turns)

    def length(self, lane: Lane) -> int:
        """Return the number of waiters in a lane."""
        return len(self._lanes[lane])

    def is_behind(self, request_id: RequestId, places: int) -> bool:
        """Tell whether a waiter has at least so many before it in its lane."""
        waiter = self._by_id.get(request_id)
        if waiter is None:
            return False
        turns = self._lanes[waiter.lane]
        return len(turns) > places and turns.bisect_left(waiter.turn) >= places

    def at(self, lane: Lane, index: int) -> Waiter | None:
        """Return the waiter whose turn is at an index of its lane.

        The turn is its workspace's: the workspace's earliest deadline takes it.
        """
        turns = self._lanes[lane]
        if index >= len(turns):
            return None
        waiter = self._by_sequence[turns[index].sequence]
        if index:
            return waiter
        first = self._by_sequence[self._due[waiter.group][0][1]]
        if first.turn[:2] == waiter.turn[:2] and first.turn > waiter.turn:
            self._swap(waiter, first)
        return self._by_sequence[turns[0].sequence]

    def _swap(self, one: Waiter, other: Waiter) -> None:
        turns = self._lanes[one.lane]
        turns.remove(one.turn)
        turns.remove(other.turn)
        share, other_share = one.turn.share, other.turn.share
        one.turn = one.turn._replace(share=other_share)
        other.turn = other.turn._replace(share=share)
        turns.add(one.turn)
        turns.add(other.turn)

    def pop_expired(self, now: Seconds) -> Iterator[Waiter]:
        """Take out and yield the waiters whose time to give up has come."""
        while self._expiry and self._expiry[0][0] <= now:
            _, sequence = heapq.heappop(self._expiry)
            waiter = self._by_sequence.get(sequence)
            if waiter is not None:
                self.remove(waiter.request.request_id)
                yield waiter

    def cost_ahead(self, rank: Rank) -> Seconds:
        """Estimate the cost of the work that goes before a rank.

        Levels above count whole; of the rank's own level the part that stands
        before it, taken as even over its waiters, so that no walk is needed.
        """
        level = rank[:2]
        ahead = sum(cost for other, cost in self._costs.items() if other < level)
        own = self._costs.get(level, 0.0)
        if own <= 0.0:
            return ahead
        first = self._ranks.bisect_left((*level,))
        last = self._ranks.bisect_left((level[0], level[1] + 1))
        before = self._ranks.bisect_left(rank)
        return ahead + own * (before - first) / max(1, last - first)
