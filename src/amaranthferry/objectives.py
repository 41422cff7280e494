"""Order and place work by the objective that each request's route states.

This answers the load of many unlike requests on too few engines: an answer is worth
most within its objective and little after it, so work that can still meet its own
goes before work of its rank that can't, and what waits long without a place is told.
"""

import heapq
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from itertools import islice
from math import ceil
from typing import NamedTuple

import msgspec
from sortedcontainers import SortedList

from .fading import FadingSum
from .lengths import LengthEstimate
from .order import Rank, Waiter
from .outlook import Level
from .placement import Prediction, Rules, has_kv_room, predict, price
from .servers import ServerRecord
from .types import HostId, RequestId, Seconds

#: Waiters that may stand before one that is granted, since no server suits them.
MAX_PASSED = 16
#: Prefill that may stand before a request at its server. Engines start work in order
#: of arrival, so what waits here can still be passed by what is more urgent.
MAX_BACKLOG: Seconds = 0.15
#: Part of the servers' time that each rank gets at least, and the time it is taken over.
MINIMUM_SHARE = 0.08
SHARE_WINDOW: Seconds = 4.0


class _Place(NamedTuple):
    tier: int
    work_class: int
    late: bool
    latest_start: Seconds
    sequence: int


class ObjectiveQueue:
    """Hold waiters by rank, and within a rank those that can be in time first.

    No call walks the whole queue, so that a long one costs its coordinator little.
    """

    def __init__(self) -> None:
        self._waiters: dict[RequestId, Waiter] = {}
        self._places: dict[RequestId, _Place] = {}
        self._order: SortedList = SortedList()
        self._ids: dict[int, RequestId] = {}
        self._timely: SortedList = SortedList()
        self._give_up: dict[RequestId, Seconds] = {}
        self._expiry: list[tuple[Seconds, int]] = []
        self._levels: dict[Level, _LevelCount] = {}
        self._hosts: Counter[HostId] = Counter()

    def __len__(self) -> int:
        return len(self._waiters)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._waiters

    def __iter__(self) -> Iterator[Waiter]:
        """Yield a copy of the waiters in order."""
        return iter(self._found(self._order))

    def _found(self, places: Iterable[_Place]) -> list[Waiter]:
        return [self._waiters[self._ids[place.sequence]] for place in places]

    def hosts(self) -> Collection[HostId]:
        """Return the hosts that have waiters here."""
        return self._hosts.keys()

    def in_turn(
        self, shares: "MinimumShares", now: Seconds, *, limit: int
    ) -> list[Waiter]:
        """Return the first waiters; ranks that are short of their part go first."""
        first: list[_Place] = []
        for level in sorted(self._levels):
            if shares.is_short(level, now):
                timely = self._order.irange((*level, False), (*level, True))
                first += islice(timely, limit - len(first))
        ahead = set(first)
        others = (place for place in self._order if place not in ahead)
        return self._found(first) + self._found(islice(others, limit - len(first)))

    def get(self, request_id: RequestId) -> Waiter | None:
        """Return a waiter by its request id."""
        return self._waiters.get(request_id)

    def add(
        self, waiter: Waiter, *, give_up_at: Seconds, latest_start: Seconds
    ) -> None:
        """Take a waiter in; after `latest_start` it can't meet its objective."""
        request_id = waiter.request.request_id
        late = latest_start < waiter.arrived
        rank = waiter.rank
        place = _Place(rank.tier, rank.work_class, late, latest_start, rank.sequence)
        self._waiters[request_id] = waiter
        self._ids[rank.sequence] = request_id
        self._give_up[request_id] = give_up_at
        heapq.heappush(self._expiry, (give_up_at, rank.sequence))
        self._hosts[waiter.host] += 1
        self._levels.setdefault(rank[:2], _LevelCount()).add(waiter.cost)
        self._put(request_id, place)

    def _put(self, request_id: RequestId, place: _Place) -> None:
        self._places[request_id] = place
        self._order.add(place)
        if not place.late:
            self._timely.add((place.latest_start, place.sequence))

    def _take(self, place: _Place) -> None:
        self._order.remove(place)
        if not place.late:
            self._timely.remove((place.latest_start, place.sequence))

    def remove(self, request_id: RequestId) -> Waiter | None:
        """Take a waiter out, whether it was granted, refused or withdrawn."""
        waiter = self._waiters.pop(request_id, None)
        if waiter is None:
            return None
        self._take(self._places.pop(request_id))
        del self._ids[waiter.rank.sequence]
        del self._give_up[request_id]
        self._hosts[waiter.host] -= 1
        if not self._hosts[waiter.host]:
            del self._hosts[waiter.host]
        level = waiter.rank[:2]
        if self._levels[level].remove(waiter.cost):
            del self._levels[level]
        return waiter

    def is_late(self, request_id: RequestId) -> bool:
        """Tell whether a waiter can't meet its objective any more."""
        return self._places[request_id].late

    def demote(self, now: Seconds) -> list[Waiter]:
        """Move the waiters that have become late behind those of their rank."""
        demoted = []
        while self._timely and self._timely[0][0] < now:
            request_id = self._ids[self._timely[0][1]]
            place = self._places[request_id]
            self._take(place)
            self._put(request_id, place._replace(late=True))
            demoted.append(self._waiters[request_id])
        return demoted

    def give_up_at(self, request_id: RequestId) -> Seconds:
        """Return when a waiter is told at the latest."""
        return self._give_up[request_id]

    def pop_expired(self, now: Seconds) -> Iterator[Waiter]:
        """Take out and yield the waiters whose time to give up has come."""
        while self._expiry and self._expiry[0][0] <= now:
            _, sequence = heapq.heappop(self._expiry)
            request_id = self._ids.get(sequence)
            waiter = None if request_id is None else self.remove(request_id)
            if waiter is not None:
                yield waiter

    def is_behind(self, request_id: RequestId, places: int) -> bool:
        """Tell whether a waiter has at least so many before it."""
        place = self._places.get(request_id)
        return place is not None and self._order.bisect_left(place) >= places

    def cost_ahead(self, rank: Rank) -> Seconds:
        """Return the cost of the work that goes before a rank."""
        level = rank[:2]
        return sum(count.cost for other, count in self._levels.items() if other < level)

    def cost_up_to(self, level: Level) -> Seconds:
        """Return the cost of the work of a rank and of those before it."""
        return sum(
            count.cost for other, count in self._levels.items() if other <= level
        )

    def lowest(self) -> Waiter | None:
        """Return the waiter that is shed first."""
        if not self._order:
            return None
        return self._waiters[self._ids[self._order[-1].sequence]]


class _LevelCount(msgspec.Struct):
    """Count a rank's waiters and what they cost."""

    waiters: int = 0
    cost: Seconds = 0.0

    def add(self, cost: Seconds) -> None:
        self.waiters += 1
        self.cost += cost

    def remove(self, cost: Seconds) -> bool:
        """Take one waiter out; tell whether it was the last."""
        self.waiters -= 1
        self.cost -= cost
        return not self.waiters


class MinimumShares:
    """Keep a small part of the servers' time for each rank that asks for it.

    Urgent work goes first; what is lower may be delayed, but not for ever.
    """

    def __init__(self) -> None:
        self._granted: dict[Level, FadingSum] = {}

    def record(self, level: Level, cost: Seconds, now: Seconds) -> None:
        """Count the cost of a grant."""
        self._granted.setdefault(level, FadingSum(SHARE_WINDOW)).add(cost, now)

    def is_short(self, level: Level, now: Seconds) -> bool:
        """Tell whether a rank has had less than its part of late."""
        total = sum(cost.value(now) for cost in self._granted.values())
        own = self._granted.get(level)
        return (own.value(now) if own else 0.0) < MINIMUM_SHARE * total


class ObjectiveChooser:
    """Choose servers during one pass over the queue, at one time."""

    def __init__(
        self,
        records: Collection[ServerRecord],
        now: Seconds,
        rules: Rules,
        lengths: LengthEstimate,
    ) -> None:
        self._now = now
        self._rules = rules
        self._lengths = lengths
        self._ready = [r for r in records if r.open and self._room(r) > 0]

    @property
    def has_places(self) -> bool:
        """Tell whether any request may be granted."""
        return bool(self._ready)

    def places(self) -> int:
        """Return how many requests may be granted at most."""
        return sum(self._room(record) for record in self._ready)

    def granted(self, record: ServerRecord) -> None:
        """Note that a server was given work."""
        if not self._room(record):
            self._ready.remove(record)

    def _room(self, record: ServerRecord) -> int:
        now = self._now
        if now < record.held_until or not record.straggler.may_probe(now):
            return 0
        if record.prefill_starts(now) > now + MAX_BACKLOG:
            return 0
        running = len(record.permits)
        slots = record.cfg.slots * record.straggler.share * self._rules.share
        return max(0, ceil(max(1.0, slots) - running))

    def choose(self, waiter: Waiter, *, late: bool) -> Prediction | None:
        """Return the best server for a waiter, or None while it is to wait.

        While it can still meet its objective, it only goes where it is to do so.
        """
        ask, now = waiter.request, self._now
        policy = self._rules.policy
        found = [
            predict(record, ask, now, self._lengths, policy)
            for record in self._ready
            if record.serves(ask) and has_kv_room(record, ask, now, self._rules)
        ]
        if not late and ask.objective > 0:
            due = waiter.arrived + ask.objective
            found = [item for item in found if item.first_token_at <= due]
        return min(found, key=lambda item: price(item, ask, now), default=None)
