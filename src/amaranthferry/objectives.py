"""Order and place work by the objective that each request's route states.

This answers the load of many unlike requests on too few engines: an answer is worth
most within its objective and little after it, so work that can still meet its own
goes before work of its rank that can't, and what waits long without a place is told.
"""

from collections.abc import Collection, Iterator
from math import exp
from typing import NamedTuple

from sortedcontainers import SortedList

from .lengths import LengthEstimate
from .order import Rank, Waiter
from .placement import Prediction, Rules, has_kv_room, predict, price
from .servers import ServerRecord
from .types import RequestId, Seconds

#: Waiters that may stand before one that is granted, since no server suits them.
MAX_PASSED = 16
#: Prefill that may stand before a request at its server. Engines start work in order
#: of arrival, so what waits here can still be passed by what is more urgent.
MAX_BACKLOG: Seconds = 0.15
#: Part of the servers' time that each rank gets at least, and the time it is taken over.
MINIMUM_SHARE = 0.08
SHARE_WINDOW: Seconds = 4.0

Level = tuple[int, int]


class _Place(NamedTuple):
    tier: int
    work_class: int
    late: bool
    latest_start: Seconds
    sequence: int


class ObjectiveQueue:
    """Hold waiters by rank, and within a rank those that can be in time first."""

    def __init__(self) -> None:
        self._waiters: dict[RequestId, Waiter] = {}
        self._places: dict[RequestId, _Place] = {}
        self._order: SortedList = SortedList()
        self._ids: dict[int, RequestId] = {}
        self._give_up: dict[RequestId, Seconds] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._waiters

    def __iter__(self) -> Iterator[Waiter]:
        """Yield a copy of the waiters in order."""
        places = tuple(self._order)
        return iter([self._waiters[self._ids[place.sequence]] for place in places])

    def in_turn(self, shares: "MinimumShares", now: Seconds) -> list[Waiter]:
        """Return the waiters in order; ranks that are short of their part go first."""
        levels = {place[:2] for place in self._order}
        short = {level for level in levels if shares.is_short(level, now)}
        first: list[Waiter] = []
        others: list[Waiter] = []
        for place in self._order:
            waiter = self._waiters[self._ids[place.sequence]]
            ahead = place[:2] in short and not place.late
            (first if ahead else others).append(waiter)
        return first + others

    def get(self, request_id: RequestId) -> Waiter | None:
        """Return a waiter by its request id."""
        return self._waiters.get(request_id)

    def add(
        self, waiter: Waiter, *, give_up_at: Seconds, latest_start: Seconds
    ) -> None:
        """Take a waiter in; after `latest_start` it can't meet its objective."""
        request_id = waiter.ask.request_id
        late = latest_start < waiter.arrived
        rank = waiter.rank
        place = _Place(rank.tier, rank.work_class, late, latest_start, rank.sequence)
        self._waiters[request_id] = waiter
        self._ids[rank.sequence] = request_id
        self._give_up[request_id] = give_up_at
        self._put(request_id, place)

    def _put(self, request_id: RequestId, place: _Place) -> None:
        self._places[request_id] = place
        self._order.add(place)

    def remove(self, request_id: RequestId) -> Waiter | None:
        """Take a waiter out, whether it was granted, refused or withdrawn."""
        waiter = self._waiters.pop(request_id, None)
        if waiter is None:
            return None
        self._order.remove(self._places.pop(request_id))
        del self._ids[waiter.rank.sequence]
        del self._give_up[request_id]
        return waiter

    def is_late(self, request_id: RequestId) -> bool:
        """Tell whether a waiter can't meet its objective any more."""
        return self._places[request_id].late

    def demote(self, now: Seconds) -> None:
        """Move the waiters that have become late behind those of their rank."""
        for request_id, place in list(self._places.items()):
            if not place.late and place.latest_start < now:
                self._order.remove(place)
                self._put(request_id, place._replace(late=True))

    def pop_expired(self, now: Seconds) -> Iterator[Waiter]:
        """Take out and yield the waiters whose time to give up has come."""
        due = [name for name, at in self._give_up.items() if at <= now]
        for request_id in due:
            waiter = self.remove(request_id)
            if waiter is not None:
                yield waiter

    def is_behind(self, request_id: RequestId, places: int) -> bool:
        """Tell whether a waiter has at least so many before it."""
        place = self._places.get(request_id)
        return place is not None and self._order.bisect_left(place) >= places

    def cost_ahead(self, rank: Rank) -> Seconds:
        """Return the cost of the work that goes before a rank."""
        return sum(
            waiter.cost
            for waiter in self._waiters.values()
            if waiter.rank[:2] < rank[:2]
        )

    def lowest(self) -> Waiter | None:
        """Return the waiter that is shed first."""
        if not self._order:
            return None
        return self._waiters[self._ids[self._order[-1].sequence]]


class MinimumShares:
    """Keep a small part of the servers' time for each rank that asks for it.

    Urgent work goes first; what is lower may be delayed, but not for ever.
    """

    def __init__(self) -> None:
        self._granted: dict[Level, tuple[float, Seconds]] = {}

    def note(self, level: Level, cost: Seconds, now: Seconds) -> None:
        """Count the cost of a grant."""
        self._granted[level] = (self._weight(level, now) + cost, now)

    def is_short(self, level: Level, now: Seconds) -> bool:
        """Tell whether a rank has had less than its part of late."""
        total = sum(self._weight(other, now) for other in self._granted)
        return self._weight(level, now) < MINIMUM_SHARE * total

    def _weight(self, level: Level, now: Seconds) -> float:
        weight, at = self._granted.get(level, (0.0, now))
        return weight * exp(-max(0.0, now - at) / SHARE_WINDOW)


class ObjectiveChooser:
    """Choose servers during one pass over the queue, at one time."""

    def __init__(
        self,
        records: Collection[ServerRecord],
        now: Seconds,
        rules: Rules,
        lengths: LengthEstimate,
    ) -> None:
        self._records = records
        self._now = now
        self._rules = rules
        self._lengths = lengths

    def ready(self) -> list[ServerRecord]:
        """Return the servers that may get another request now."""
        return [
            record for record in self._records if record.open and self._has_room(record)
        ]

    def _has_room(self, record: ServerRecord) -> bool:
        now = self._now
        if now < record.held_until or not record.straggler.may_probe(now):
            return False
        running = len(record.permits)
        slots = record.cfg.slots * record.straggler.share * self._rules.share
        if running >= max(1.0, slots):
            return False
        return record.prefill_starts(now) <= now + MAX_BACKLOG

    def choose(self, waiter: Waiter, *, late: bool) -> Prediction | None:
        """Return the best server for a waiter, or None while it is to wait.

        While it can still meet its objective, it only goes where it is to do so.
        """
        ask, now = waiter.ask, self._now
        policy = self._rules.policy
        found = [
            predict(record, ask, now, self._lengths, policy)
            for record in self.ready()
            if record.serves(ask) and has_kv_room(record, ask, now, self._rules)
        ]
        if not late and ask.objective > 0:
            due = waiter.arrived + ask.objective
            found = [item for item in found if item.first_token_at <= due]
        return min(found, key=lambda item: price(item, ask, now), default=None)
