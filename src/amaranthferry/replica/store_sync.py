"""Distribute store updates from a few reader hosts to all others.

Calls to the store are counted while messages between hosts cost little. Readers watch
for changes with long waits, and the first one also confirms its state by short reads,
since a waiting watch confirms nothing until it returns. A host that is not a reader
requests an update from one about once a second. It dates the reply to the read behind
it: the age in the reply plus the time since the request was sent. When no reader has
current state, the hosts take turns at reading the store themselves, and the one that
succeeds stands in for the readers.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Collection, Iterable
from enum import Enum
from typing import Any

import structlog
import xxhash
from msgspec.structs import replace

from ..codec import encode
from ..fan_out import children
from ..gateway.log_events import LogEvent
from ..messages import Message, StoreUpdate, StoreUpdateRequest
from ..types import HostId, Position, Seconds, StoreEra
from .broadcast import pack, unpack
from .budget import AgeBudget
from .freshness import boot_time
from .read_pace import ReadPace
from .watching import KindReader, SyncState

READER_COUNT = 2
ANSWER_TIMEOUT: Seconds = 0.25
#: Longest time for requests to all sources: to the first one, then to the others.
MAX_ASKING_TIME: Seconds = 2 * ANSWER_TIMEOUT
#: Hosts that are asked together for the version in force, the time for an answer, and
#: the time that the others get after the first one.
MAX_ASKED = 4
VERSION_TIMEOUT: Seconds = 0.1
VERSION_SPREAD: Seconds = 0.02
#: Limits of the compressed changes in a reply and in an update that is broadcast; a
#: host reads larger ones from the store.
MAX_REPLY_BYTES = 8 * 1024
MAX_BROADCAST_BYTES = 64 * 1024
#: Size of a broadcast, to all hosts together, up to which its origin sends all of it.
MAX_DIRECT_BYTES = 64 * 1024
#: Time that a broadcast may take to reach a host that is told it is behind.
BROADCAST_TIME: Seconds = 0.4
#: Bounds of the pause after a read that fails or brings nothing before its wait is over.
MIN_READ_PAUSE: Seconds = 0.05
MAX_READ_PAUSE: Seconds = 0.5
#: Pause after a read that brings changes, so that one read brings those of a series.
MAX_BATCH_PAUSE: Seconds = 0.2
#: Period over which the hosts spread their reads of a restored store.
RESTORED_READ_SPREAD: Seconds = 0.5
#: Shortest pause between two confirming reads.
MIN_CONFIRM_PAUSE: Seconds = 0.05
#: Time for a waiting watch to bring a change that a confirming read has brought.
WATCH_LAG: Seconds = 0.1
#: Time for which a host that could read the store stands in for the readers.
STAND_IN_TIME: Seconds = 10.0
_NOWHERE = Position(StoreEra(0), -1)
_log = structlog.get_logger(__name__)

Send = Callable[[HostId, Message], bool]


class _Result(Enum):
    """Classify the answer to a request for an update, the best one first."""

    CURRENT = "current"
    BEHIND = "behind"
    STALE = "stale"
    SILENT = "silent"


def choose_readers(
    hosts: Iterable[HostId], capable: Collection[HostId] = ()
) -> tuple[HostId, ...]:
    """Return the hosts that read the store; the choice is the same on every host.

    Capable hosts go first, since a reader answers all the others.
    """
    ranked = sorted(hosts, key=lambda host: (host not in capable, _score(host), host))
    return tuple(ranked[:READER_COUNT])


def _score(host: HostId) -> int:
    return xxhash.xxh64_intdigest(f"reader\0{host}".encode())


class StoreSync:
    """Synchronize one kind of objects, as a reader or through one."""

    def __init__(
        self,
        host: HostId,
        state: SyncState,
        reader: KindReader,
        send: Send,
        *,
        wait: Seconds,
        budget: AgeBudget | None = None,
        order: int = 0,
    ) -> None:
        self._host = host
        self._state = state
        self._reader = reader
        self._send = send
        self._wait = wait
        self._budget = budget or AgeBudget()
        self._confirm_after = self._budget.confirm_after(order)
        self._readers: tuple[HostId, ...] = (host,)
        self._others: tuple[HostId, ...] = ()
        self._pending: dict[int, asyncio.Future[StoreUpdate]] = {}
        self._last_number = 0
        self._watch: asyncio.Future[bool] | None = None
        self._wake = asyncio.Event()
        self._read_needed = False
        self._read_spread: Seconds = 0.0
        self._pace = ReadPace(self._budget)
        self._stand_in_until: Seconds = 0.0
        self._stand_ins: dict[HostId, Seconds] = {}
        self._forwarded: dict[HostId, Position] = {}
        #: Until when no source is asked, since one has just lost the store.
        self._unasked_until: Seconds = 0.0
        state.on_change = self._broadcast
        state.on_lost = self._broadcast_loss

    @property
    def state(self) -> SyncState:
        """Return the state that is kept in step."""
        return self._state

    @property
    def readers(self) -> tuple[HostId, ...]:
        """Return the hosts that read the store for all others, the first one first."""
        return self._readers

    @property
    def is_reader(self) -> bool:
        """Return whether this host reads the store for the others."""
        return self._host in self._readers or boot_time() < self._stand_in_until

    def set_hosts(
        self, hosts: Iterable[HostId], capable: Collection[HostId] = ()
    ) -> None:
        """Choose the readers from the live hosts, the capable ones first."""
        live_hosts = tuple(hosts)
        readers = choose_readers(live_hosts, capable)
        if readers != self._readers:
            _log.info(LogEvent.READERS_CHANGED, kind=self._state.kind, readers=readers)
        self._readers = readers
        self._others = tuple(host for host in live_hosts if host != self._host)
        if self._watch is not None and not self.is_reader and self._state.position:
            # A host that has just found the others requests updates from them at once.
            self._watch.cancel()
        known = set(live_hosts)
        self._forwarded = {h: at for h, at in self._forwarded.items() if h in known}
        self._stand_ins = {h: at for h, at in self._stand_ins.items() if h in known}

    async def run(self) -> None:
        """Read the store if this host is a reader, or request updates from readers."""
        fruitless = 0
        while True:
            if self.is_reader or self._state.position is None:
                began, before = boot_time(), self._state.position
                succeeded = await self._read_as_reader()
                early = boot_time() - began < self._wait / 2
                fruitful = succeeded and (not early or self._state.position != before)
            else:
                fruitful, early = await self._sync_from_readers(), False
            fruitless = 0 if fruitful else fruitless + 1
            if not fruitful:
                await asyncio.sleep(_read_pause(fruitless))
            elif early:
                await asyncio.sleep(
                    random.uniform(MAX_BATCH_PAUSE / 2, MAX_BATCH_PAUSE)
                )

    async def _read_as_reader(self) -> bool:
        """Watch the store for changes; meanwhile keep the state confirmed."""
        # After a failure, a short read shows at once whether the store answers again.
        wait = 0.0 if self._state.store_lost else self._wait
        self._watch = watch = asyncio.ensure_future(self._reader.read(wait))
        try:
            while not watch.done():
                await self._wait_to_confirm(watch)
                if not watch.done() and not await self._confirm(watch):
                    return True
            if watch.cancelled():
                return True
            if not watch.result():
                await self._request_from_sources()
            return watch.result()
        finally:
            self._watch = None
            watch.cancel()

    async def _wait_to_confirm(self, watch: asyncio.Future[bool]) -> None:
        """Wait until the state is to be confirmed, or the first reader has lost it."""
        pause = self._confirm_after
        if self._is_first:
            pause -= self._state.freshness.age(boot_time()) or 0.0
        self._wake.clear()
        lost = asyncio.ensure_future(self._wake.wait())
        ends: set[asyncio.Future[Any]] = {watch, lost}
        try:
            await asyncio.wait(
                ends,
                timeout=max(MIN_CONFIRM_PAUSE, pause),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            lost.cancel()

    @property
    def _is_first(self) -> bool:
        return self._readers[0] == self._host

    async def _confirm(self, watch: asyncio.Future[bool]) -> bool:
        """Confirm the state through a reader of a higher rank, or else by a read.

        Return whether the watch is to be kept.
        """
        if self._is_first:
            if not self._is_due():
                return True
        else:
            asked = map(self._request_update, self._higher_readers())
            if _Result.CURRENT in await asyncio.gather(*asked):
                return True
        before = self._state.last_change
        if not await self._read_and_listen():
            await self._request_from_sources()
        elif self._state.last_change != before:
            await asyncio.wait({watch}, timeout=WATCH_LAG)
            return watch.done()
        return True

    def _higher_readers(self) -> list[HostId]:
        """Return the readers that rank above this host, then the stand-ins that do.

        Two of them that took each other's word would not notice that neither reads.
        """
        if self._host in self._readers:
            return list(self._readers[: self._readers.index(self._host)])
        now = boot_time()
        stand_ins = sorted(
            host
            for host, until in self._stand_ins.items()
            if until > now and host < self._host and host not in self._readers
        )
        return [*self._readers, *stand_ins]

    def _is_due(self) -> bool:
        age = self._state.freshness.age(boot_time())
        return age is None or age >= self._confirm_after

    async def _read_and_listen(self) -> bool:
        """Read the store; take updates from other hosts while the answer is late."""
        read = asyncio.ensure_future(self._reader.read())
        late_after = self._budget.late_after(self._reader.latency)
        late_at = boot_time() + late_after
        try:
            while not await self._ends_before_notice(read, late_after):
                if boot_time() >= late_at:
                    self._state.mark_late(
                        f"The store has not answered for {late_after:.2f} s."
                    )
                await self._request_from_sources()
            return await read
        finally:
            read.cancel()

    async def _ends_before_notice(
        self, read: asyncio.Future[bool], limit: Seconds
    ) -> bool:
        """Wait for a read, a notice of another host or a time limit."""
        self._wake.clear()
        notice = asyncio.ensure_future(self._wake.wait())
        ends: set[asyncio.Future[Any]] = {read, notice}
        try:
            await asyncio.wait(ends, timeout=limit, return_when=asyncio.FIRST_COMPLETED)
        finally:
            notice.cancel()
        return read.done()

    async def _request_from_sources(self) -> _Result:
        """Request an update from each source, until one has current state.

        Once one is silent the others are asked together, so that their timeouts don't
        add up. The result is SILENT only if no other host answers at all.
        """
        sources = self._sources()
        results = {_Result.SILENT}
        for number, source in enumerate(sources, 1):
            result = await self._request_update(source)
            results.add(result)
            if result is _Result.SILENT:
                rest = map(self._request_update, sources[number:])
                results.update(await asyncio.gather(*rest, self._reach_bystander()))
            if result is not _Result.STALE:
                break
        return min(results, key=list(_Result).index)

    async def _sync_from_readers(self) -> bool:
        """Request an update from each source in turn; fall back to the store."""
        if boot_time() < self._unasked_until:
            return await self._read_at_pace(isolated=False)
        result = await self._request_from_sources()
        if result is _Result.CURRENT:
            self._pace.reset()
            return await self._wait_for_broadcast(self._budget.request_period)
        if result is _Result.BEHIND:
            return await self._catch_up()
        return await self._read_at_pace(isolated=result is _Result.SILENT)

    def _sources(self) -> list[HostId]:
        """Return the hosts that read the store, the latest stand-ins first."""
        now = boot_time()
        stand_ins = [host for host, until in self._stand_ins.items() if until > now]
        sources = dict.fromkeys([*reversed(stand_ins), *self._readers])
        return [host for host in sources if host != self._host]

    async def _reach_bystander(self) -> _Result:
        """Return whether a host that is no source answers; if not, SILENT.

        Its state isn't taken as current, since it may wait for the same sources.
        """
        sources = self._sources()
        others = [host for host in self._others if host not in sources]
        if not others:
            return _Result.SILENT
        result = await self._request_update(random.choice(others))
        return _Result.SILENT if result is _Result.SILENT else _Result.STALE

    async def _wait_for_broadcast(self, limit: Seconds) -> bool:
        """Wait for the time of the next request; read the store if one is needed."""
        self._wake.clear()
        if not self._read_needed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit):
                    await self._wake.wait()
        if not self._read_needed:
            return True
        self._read_needed = False
        if self._read_spread:
            await asyncio.sleep(random.uniform(0.0, self._read_spread))
            self._read_spread = 0.0
        return await self._reader.read()

    async def _catch_up(self) -> bool:
        """Read the store unless a broadcast brings what a reader knows already."""
        before = self._state.position
        await asyncio.sleep(BROADCAST_TIME)
        if self._state.position != before:
            return True
        return await self._reader.read()

    async def _read_at_pace(self, *, isolated: bool) -> bool:
        """Read the store in this host's turn, and stand in for the readers."""
        hosts = 1 if isolated else len(self._others) + 1
        now = boot_time()
        age = self._state.freshness.age(now)
        left = self._pace.time_left(now, hosts=hosts, age=age)
        if left:
            position, period = self._state.position, self._budget.request_period
            # Silent sources would be asked until after the read is due.
            asks_again = left > period + MAX_ASKING_TIME
            succeeded = await self._wait_for_broadcast(period if asks_again else left)
            heard = self._wake.is_set() or self._state.position != position
            if heard or asks_again:
                return succeeded
        now = boot_time()
        age = self._state.freshness.age(now)
        self._pace.record_read(now, hosts=hosts)
        self._unasked_until = 0.0
        before = self._state.revision or 0
        succeeded = await self._read_and_listen()
        if succeeded and not isolated:
            self._stand_in_until = boot_time() + STAND_IN_TIME
            _log.info(
                LogEvent.READER_STOOD_IN,
                kind=self._state.kind,
                readers=self._readers,
                age=None if age is None else round(age, 3),
            )
            self._broadcast(before)
        return succeeded

    async def _request_update(
        self, source: HostId, *, starting: bool = False
    ) -> _Result:
        self._last_number += 1
        number, sent = self._last_number, boot_time()
        revision, era = self._state.revision or 0, self._state.era
        fut = asyncio.get_running_loop().create_future()
        self._pending[number] = fut
        try:
            request = StoreUpdateRequest(number, self._state.kind, revision, era)
            if not self._send(source, request):
                return _Result.SILENT
            async with asyncio.timeout(VERSION_TIMEOUT if starting else ANSWER_TIMEOUT):
                update = await fut
        except TimeoutError:
            _log.info(LogEvent.READER_SILENT, kind=self._state.kind, reader=source)
            return _Result.SILENT
        finally:
            del self._pending[number]
        if starting or update.era < self._state.era:
            # A restored store doesn't make the version that is in force an older one.
            self._state.require_version(update.version)
        if update.era < self._state.era:
            return _Result.STALE
        # A host that can't read the store learns of no change, however recent its state.
        stale = update.store_lost or update.age > self._budget.update_age
        if not self._apply(update):
            return _Result.STALE if stale else _Result.BEHIND
        self._state.require_version(update.version)
        self._state.confirm(sent - update.age, source)
        return _Result.STALE if stale else _Result.CURRENT

    async def hear_version(self) -> bool:
        """Ask for the version in force, as a starting host; return whether one answers.

        A store that was restored may hold an older version than they do.
        """
        sources = self._sources()
        others = [host for host in self._others if host not in sources]
        count = min(len(others), MAX_ASKED)
        asked = [*sources, *random.sample(others, count)][:MAX_ASKED]
        calls = [
            asyncio.ensure_future(self._request_update(host, starting=True))
            for host in asked
        ]
        try:
            for call in asyncio.as_completed(calls):
                if await call is not _Result.SILENT:
                    await asyncio.wait(calls, timeout=VERSION_SPREAD)
                    return True
        finally:
            for fut in calls:
                fut.cancel()
        return False

    def _apply(self, update: StoreUpdate) -> bool:
        """Apply an update; return whether it continues from the known position."""
        known = self._state.position
        if known is None or update.era != known.era or update.since > known.revision:
            return False
        changes = unpack(update)
        if changes is None:
            return False
        self._state.advance(list(changes), update.revision)
        return True

    def receive(
        self, sender: HostId, message: StoreUpdateRequest | StoreUpdate
    ) -> None:
        """Answer a request, or handle a reply or an unsolicited update."""
        if isinstance(message, StoreUpdateRequest):
            self._reply(sender, message)
            return
        fut = self._pending.get(message.number)
        if fut is not None and not fut.done():
            fut.set_result(message)
        elif not message.number:
            self._receive_broadcast(sender, message)

    def _receive_broadcast(self, sender: HostId, update: StoreUpdate) -> None:
        """Apply an unsolicited update, or read the store if it doesn't continue."""
        source = update.origin or sender
        if update.store_lost:
            self._handle_loss(source)
            return
        self._unasked_until = 0.0
        if source not in self._readers:
            if self._stand_ins.pop(source, 0.0) < boot_time():
                self._wake.set()
            self._stand_ins[source] = boot_time() + STAND_IN_TIME
        found = Position(update.era, update.revision)
        if update.origin and found > self._forwarded.get(source, _NOWHERE):
            self._forwarded[source] = found
            self._forward(update, source)
        known = self._state.position
        if (known is not None and found <= known) or self._apply(update):
            return
        if update.era > self._state.era:
            self._read_spread = RESTORED_READ_SPREAD
        self._read_needed = True
        self._wake.set()

    def _handle_loss(self, source: HostId) -> None:
        """Have this host read in its turn, if its state rests on what was lost.

        What another source says meanwhile may rest on the same reader's reads.
        """
        self._stand_ins.pop(source, None)
        if source in (*self._readers, self._state.source):
            self._unasked_until = boot_time() + self._budget.request_period
            self._wake.set()

    def _broadcast_loss(self) -> None:
        """Tell all other hosts that this reader has lost the store."""
        if not self.is_reader or self._state.revision is None:
            return
        update = StoreUpdate(
            0,
            self._state.kind,
            self._state.revision,
            self._state.revision,
            0.0,
            (),
            self._state.era,
            store_lost=True,
        )
        for host in self._others:
            self._send(host, update)

    def _forward(self, update: StoreUpdate, origin: HostId) -> None:
        for host in children(self._host, origin, self._others):
            self._send(host, update)

    def _reply(self, sender: HostId, request: StoreUpdateRequest) -> None:
        age = self._state.freshness.age(boot_time())
        if age is None or self._state.revision is None:
            return
        same_era = request.era == self._state.era
        changes = self._state.changes_since(request.revision) if same_era else None
        update = StoreUpdate(
            request.number,
            request.kind,
            request.revision,
            self._state.revision,
            age,
            changes,
            self._state.era,
            version=self._state.version,
            store_lost=self._state.store_lost,
        )
        self._send(sender, pack(update, limit=MAX_REPLY_BYTES))

    def _broadcast(self, since: int) -> None:
        """Send the changes since a revision to all other hosts."""
        if not self.is_reader or self._state.revision is None:
            return
        changes = self._state.changes_since(since)
        update = StoreUpdate(
            0,
            self._state.kind,
            since,
            self._state.revision,
            0.0,
            changes,
            self._state.era,
        )
        update = pack(update, limit=MAX_BROADCAST_BYTES)
        if len(encode(update)) * len(self._others) <= MAX_DIRECT_BYTES:
            for host in self._others:
                self._send(host, update)
        else:
            self._forward(replace(update, origin=self._host), self._host)


def _read_pause(fruitless: int) -> Seconds:
    """Return a random pause that grows with the number of fruitless reads in a row."""
    longest = min(2 * MIN_READ_PAUSE * fruitless, MAX_READ_PAUSE)
    return random.uniform(longest / 2, longest)
