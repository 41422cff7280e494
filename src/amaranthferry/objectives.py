"""Order and place work by the latency objective of each request's route.

This is for engines that are overloaded by requests of different kinds. The objective is
what the operator states that callers need, so work that can still meet it goes before work
of the same level that can't; among the rest, who has the least time left goes first.
"""

import heapq
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from itertools import islice
from math import ceil
from typing import NamedTuple

import msgspec
from sortedcontainers import SortedList

from .contention.spreading import spread
from .forecast import Ahead, Level
from .lengths import LengthEstimate
from .minimum_share import MinimumShares
from .placement import (
    Caution,
    PlacementLimits,
    Prediction,
    cautious_cost,
    has_kv_capacity,
    predict,
)
from .servers import ServerRecord
from .types import HostId, RequestId, Seconds
from .wait_queue import Rank, Waiter

#: Waiters without a suitable server that one pass may skip.
MAX_SKIPPED = 16
#: Prefill backlog up to which a server gets new work. Engines start work in order of
#: arrival, whereas more urgent work can still overtake what waits in this queue.
MAX_PREFILL_BACKLOG: Seconds = 0.15


class _Position(NamedTuple):
    """Order waiters; `latest_start` is for the objective, or for any answer if late.

    `excess` tells how far the workspace is ahead of its share of the level.
    """

    tier: int
    work_class: int
    late: bool
    excess: int
    latest_start: Seconds
    sequence: int


class ObjectiveQueue:
    """Order waiters by level, and within a level those that can be in time first.

    No decision walks the whole queue, so its cost hardly grows with the length.
    """

    def __init__(self) -> None:
        self._waiters: dict[RequestId, Waiter] = {}
        self._positions: dict[RequestId, _Position] = {}
        self._order: SortedList = SortedList()
        self._ids: dict[int, RequestId] = {}
        self._timely: SortedList = SortedList()
        self._expires_at: dict[RequestId, Seconds] = {}
        self._expiry: list[tuple[Seconds, int]] = []
        self._levels: dict[Level, _LevelCount] = {}
        self._hosts: Counter[HostId] = Counter()
        self._reviewed = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._waiters

    def __iter__(self) -> Iterator[Waiter]:
        """Return an iterator over a copy of the waiters, in order."""
        return iter(self._waiters_at(self._order))

    def _waiters_at(self, positions: Iterable[_Position]) -> list[Waiter]:
        return [self._waiters[self._ids[position.sequence]] for position in positions]

    def hosts(self) -> Collection[HostId]:
        """Return the hosts that have waiters in the queue."""
        return self._hosts.keys()

    def in_grant_order(
        self,
        shares: MinimumShares,
        *,
        limit: int,
        without: Collection[HostId] = (),
    ) -> list[Waiter]:
        """Return up to `limit` waiters in the order in which they are to be granted.

        The waiters of some hosts may be left out.

        The waiters of levels below their minimum share go before all others.
        """
        first: list[_Position] = []
        for level in sorted(self._levels):
            if shares.is_below_minimum(level):
                tier, work_class = level
                waiting = self._order.irange(level, (tier, work_class + 1))
                allowed = (at for at in waiting if self._is_allowed(at, without))
                first += islice(allowed, limit - len(first))
        ahead = set(first)
        others = (
            position
            for position in self._order
            if position not in ahead and self._is_allowed(position, without)
        )
        return self._waiters_at(first) + self._waiters_at(
            islice(others, limit - len(first))
        )

    def _is_allowed(self, position: _Position, without: Collection[HostId]) -> bool:
        if not without:
            return True
        return self._waiters[self._ids[position.sequence]].host not in without

    def get(self, request_id: RequestId) -> Waiter | None:
        """Return a waiter by its request id."""
        return self._waiters.get(request_id)

    def add(
        self, waiter: Waiter, *, expires_at: Seconds, latest_start: Seconds
    ) -> None:
        """Add a waiter that misses its objective if it starts after `latest_start`."""
        request_id = waiter.request.request_id
        late = latest_start < waiter.arrived
        rank = waiter.rank
        start = expires_at if late else latest_start
        position = _Position(
            rank.tier, rank.work_class, late, rank.virtual_start, start, rank.sequence
        )
        self._waiters[request_id] = waiter
        self._ids[rank.sequence] = request_id
        self._expires_at[request_id] = expires_at
        heapq.heappush(self._expiry, (expires_at, rank.sequence))
        self._hosts[waiter.host] += 1
        self._levels.setdefault(rank[:2], _LevelCount()).add(waiter.cost)
        self._insert(request_id, position)

    def _insert(self, request_id: RequestId, position: _Position) -> None:
        self._positions[request_id] = position
        self._order.add(position)
        if not position.late:
            self._timely.add((position.latest_start, position.sequence))

    def _discard(self, position: _Position) -> None:
        self._order.remove(position)
        if not position.late:
            self._timely.remove((position.latest_start, position.sequence))

    def remove(self, request_id: RequestId) -> Waiter | None:
        """Remove and return a waiter, or return None if there is none."""
        waiter = self._waiters.pop(request_id, None)
        if waiter is None:
            return None
        self._discard(self._positions.pop(request_id))
        del self._ids[waiter.rank.sequence]
        del self._expires_at[request_id]
        self._hosts[waiter.host] -= 1
        if not self._hosts[waiter.host]:
            del self._hosts[waiter.host]
        level = waiter.rank[:2]
        if self._levels[level].remove(waiter.cost):
            del self._levels[level]
        return waiter

    def is_late(self, request_id: RequestId) -> bool:
        """Return whether a waiter can no longer meet its objective."""
        return self._positions[request_id].late

    def demote(self, now: Seconds) -> list[Waiter]:
        """Move newly late waiters behind the others of their level, and return them."""
        demoted = []
        while self._timely and self._timely[0][0] < now:
            request_id = self._ids[self._timely[0][1]]
            position = self._positions[request_id]
            self._discard(position)
            expires_at = self._expires_at[request_id]
            self._insert(
                request_id, position._replace(late=True, latest_start=expires_at)
            )
            demoted.append(self._waiters[request_id])
        return demoted

    def expires_at(self, request_id: RequestId) -> Seconds:
        """Return the time at which a waiter expires."""
        return self._expires_at[request_id]

    def pop_expired(self, now: Seconds) -> Iterator[Waiter]:
        """Remove and yield the waiters that have expired."""
        while self._expiry and self._expiry[0][0] <= now:
            _, sequence = heapq.heappop(self._expiry)
            request_id = self._ids.get(sequence)
            waiter = None if request_id is None else self.remove(request_id)
            if waiter is not None:
                yield waiter

    def is_behind(self, request_id: RequestId, count: int) -> bool:
        """Return whether at least `count` waiters are ahead of one."""
        position = self._positions.get(request_id)
        return position is not None and self._order.bisect_left(position) >= count

    def ahead_of_new(self, rank: Rank) -> Ahead:
        """Estimate the cost of the work that goes before a new waiter of a rank."""
        level = rank[:2]
        above = sum(
            count.cost for other, count in self._levels.items() if other < level
        )
        own = self._levels.get(level)
        if own is None:
            return Ahead(above, 0.0)
        first = self._order.bisect_left(level)
        timely = self._order.bisect_left((*level, True)) - first
        return Ahead(above, own.cost * timely / own.waiters)

    def ahead_of(self, waiter: Waiter, shares: MinimumShares) -> Ahead:
        """Estimate the cost of the work that goes before a waiter.

        Its own level counts in proportion to the number of waiters ahead, which avoids a
        walk over the queue.
        """
        position = self._positions[waiter.request.request_id]
        level = position[:2]
        own = self._levels[level]
        first = self._order.bisect_left(level)
        count = self._order.bisect_left(position) - first
        above = self.cost_up_to(level) - own.cost
        credit = shares.credit(level)
        return Ahead(above, own.cost * count / own.waiters, credit)

    def next_to_review(self, limit: int) -> list[Waiter]:
        """Return the next waiters in rotation, from the last in the order on."""
        count = min(limit, len(self._order))
        waiters = []
        for _ in range(count):
            self._reviewed = (self._reviewed - 1) % len(self._order)
            waiters += self._waiters_at((self._order[self._reviewed],))
        return waiters

    def count_before(self, waiter: Waiter) -> int:
        """Return the waiters of a waiter's level and of those before it."""
        level = waiter.rank[:2]
        return sum(
            count.waiters for other, count in self._levels.items() if other <= level
        )

    def cost_up_to(self, level: Level) -> Seconds:
        """Return the cost of the work of a level and of those before it."""
        return sum(
            count.cost for other, count in self._levels.items() if other <= level
        )

    def lowest(self) -> Waiter | None:
        """Return the waiter that is shed first."""
        if not self._order:
            return None
        return self._waiters[self._ids[self._order[-1].sequence]]


class _LevelCount(msgspec.Struct):
    """Count a level's waiters and their total cost."""

    waiters: int = 0
    cost: Seconds = 0.0

    def add(self, cost: Seconds) -> None:
        """Add one waiter."""
        self.waiters += 1
        self.cost += cost

    def remove(self, cost: Seconds) -> bool:
        """Remove one waiter, and return whether it was the last."""
        self.waiters -= 1
        self.cost -= cost
        return not self.waiters


class ObjectiveChooser:
    """Choose servers by objective during one pass over the queue at a fixed time."""

    def __init__(
        self,
        records: Collection[ServerRecord],
        now: Seconds,
        limits: PlacementLimits,
        lengths: LengthEstimate,
        *,
        spreads: bool = False,
    ) -> None:
        self._now = now
        self._spreads = spreads
        self._limits = limits
        self._lengths = lengths
        accepting = [record for record in records if record.accepts_work]
        self._ready = [r for r in accepting if self._free_slots(r) > 0]
        ready = set(map(id, self._ready))
        self._busy = [record for record in accepting if id(record) not in ready]

    @property
    def has_free_slots(self) -> bool:
        """Return whether any request may be granted."""
        return bool(self._ready)

    def free_slots(self) -> int:
        """Return the maximum number of requests that may be granted."""
        return sum(self._free_slots(record) for record in self._ready)

    def held_off_hosts(self, hosts: Collection[HostId]) -> set[HostId]:
        """Return the hosts that no server with free slots wants work from."""
        if not any(record.hold_offs for record in self._ready):
            return set()
        return {
            host
            for host in hosts
            if not any(record.accepts_from(host, self._now) for record in self._ready)
        }

    def record_grant(self, record: ServerRecord) -> None:
        """Update the free slots of a server after a grant."""
        if not self._free_slots(record):
            self._ready.remove(record)

    def _free_slots(self, record: ServerRecord) -> int:
        now = self._now
        restricted = self._limits.policy.straggler
        if now < record.blocked_until:
            return 0
        if restricted and not record.straggler.may_probe(now):
            return 0
        if record.prefill_starts(now) > now + MAX_PREFILL_BACKLOG:
            return 0
        running = len(record.permits)
        if running >= record.slots:
            return 0
        share = record.straggler.share if restricted else 1.0
        slots = record.slots * share * self._limits.share
        free = max(0, ceil(max(1.0, slots) - running))
        if record.allowance is not None:
            free = min(free, record.allowance.available)
        return free

    def choose(
        self, waiter: Waiter, *, late: bool, caution: Caution | None = None
    ) -> Prediction | None:
        """Return the best server for a waiter, or None while it has to wait.

        A waiter that isn't late only goes where it is expected to meet its objective, as
        long as a server that is busy now could still do so. Where long answers are held,
        it also goes where even one is expected to end by its deadline, by the same terms;
        rather than miss the objective, it goes where one of the expected length does.
        """
        request, now = waiter.request, self._now
        policy = self._limits.policy
        predictions = [
            predict(record, request, now, self._lengths, policy)
            for record in self._ready
            if record.serves(request)
            and (caution is None or caution.allows(record))
            and record.accepts_from(waiter.host, now)
            and has_kv_capacity(record, request, now, self._limits)
        ]
        predictions = self._suitable(waiter, predictions, late=late)
        return min(
            spread(predictions, request) if self._spreads else predictions,
            key=lambda item: cautious_cost(item, request, now, caution),
            default=None,
        )

    def _suitable(
        self, waiter: Waiter, predictions: list[Prediction], *, late: bool
    ) -> list[Prediction]:
        """Return where a waiter may go now; nowhere while it waits for a busy server."""
        request, deadline = waiter.request, waiter.deadline
        if not late and request.objective > 0:
            due = waiter.arrived + request.objective
            timely = [item for item in predictions if item.first_token_at <= due]
            safe = [item for item in timely if self._is_safe(item, waiter)]
            if safe or self._may_be_timely(waiter, due):
                return safe
            likely = [item for item in timely if item.finish_at <= deadline]
            if likely and self._limits.holds_long_answers:
                return likely
        if not self._limits.holds_long_answers:
            return predictions
        safe = [item for item in predictions if self._is_safe(item, waiter)]
        return safe if safe or self._may_end_in_time(waiter) else predictions

    def _is_safe(self, prediction: Prediction, waiter: Waiter) -> bool:
        """Return whether even a long answer is expected to end by the deadline.

        How much is left of what may have run isn't known.
        """
        if waiter.request.may_have_run or not self._limits.holds_long_answers:
            return True
        return prediction.conservative_finish_at <= waiter.deadline

    def _may_be_timely(self, waiter: Waiter, due: Seconds) -> bool:
        """Return whether a busy server could meet the objective, and end in time."""
        request = waiter.request
        return any(
            record.serves(request)
            and max(self._now, record.blocked_until)
            + request.prompt_tokens / record.speed.prefill_rate
            <= due
            and self._ends_in_time(record, waiter)
            for record in self._busy
        )

    def _may_end_in_time(self, waiter: Waiter) -> bool:
        """Return whether a busy server could end even a long answer in time."""
        return any(
            record.serves(waiter.request) and self._ends_in_time(record, waiter)
            for record in self._busy
        )

    def _ends_in_time(self, record: ServerRecord, waiter: Waiter) -> bool:
        """Return whether a server ends even a long answer in time if it begins now."""
        request = waiter.request
        if request.may_have_run or not self._limits.holds_long_answers:
            return True
        prefill = request.prompt_tokens / record.speed.prefill_rate
        tokens = self._lengths.conservative(request)
        decode = tokens * record.speed.decode_interval(record.slots)
        start = max(self._now, record.blocked_until)
        return start + prefill + decode <= waiter.deadline
