"""Distribute store updates from a few reader hosts to all others.

Calls to the store are counted while messages between hosts cost little. A host that
is not a reader requests an update from one about once a second. It dates the reply to
the read behind it: the age in the reply plus the time since the request was sent. It
reads the store itself when no reader replies in time or the reader's state is too old.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

import structlog
import xxhash

from ..codec import encode
from ..exceptions import FrameError
from ..messages import Message, StoreUpdate, StoreUpdateRequest
from ..platform.store import Position
from ..types import HostId, Seconds
from .freshness import boot_time
from .log_events import LogEvent
from .watching import KindReader, SyncState

READER_COUNT = 2
REQUEST_PERIOD: Seconds = 0.8
ANSWER_TIMEOUT: Seconds = 0.25
#: Age above which a reader's reply is rejected in favour of reading the store.
MAX_UPDATE_AGE: Seconds = 2.0
#: Larger changes are cheaper to read from the store than to send to every host.
MAX_UPDATE_BYTES = 8_192
#: Bounds of the pause after a read that ends before its wait is over or fails.
MIN_READ_PAUSE: Seconds = 0.05
MAX_READ_PAUSE: Seconds = 0.5
#: Period over which the hosts spread their reads of a restored store.
RESTORED_READ_SPREAD: Seconds = 0.5
_log = structlog.get_logger(__name__)

Send = Callable[[HostId, Message], bool]


def choose_readers(hosts: Iterable[HostId]) -> tuple[HostId, ...]:
    """Return the hosts that read the store; the choice is the same on every host."""
    ranked = sorted(hosts, key=lambda host: (_score(host), host))
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
    ) -> None:
        self._host = host
        self._state = state
        self._reader = reader
        self._send = send
        self._wait = wait
        self._readers: tuple[HostId, ...] = (host,)
        self._others: tuple[HostId, ...] = ()
        self._pending: dict[int, asyncio.Future[StoreUpdate]] = {}
        self._last_number = 0
        self._read_needed = asyncio.Event()
        self._read_spread: Seconds = 0.0
        state.on_change = self._broadcast

    @property
    def is_reader(self) -> bool:
        """Return whether this host reads the store for the others."""
        return self._host in self._readers

    def set_hosts(self, hosts: Iterable[HostId]) -> None:
        """Choose the readers from the live hosts."""
        live_hosts = tuple(hosts)
        readers = choose_readers(live_hosts)
        if readers != self._readers:
            _log.info(LogEvent.READERS_CHANGED, kind=self._state.kind, readers=readers)
        self._readers = readers
        self._others = tuple(host for host in live_hosts if host != self._host)

    async def run(self) -> None:
        """Read the store if this host is a reader, or request updates from readers."""
        fruitless = 0
        while True:
            if self.is_reader or self._state.position is None:
                began, before = boot_time(), self._state.position
                succeeded = await self._reader.read(self._wait)
                early = boot_time() - began < self._wait / 2
                fruitful = succeeded and (not early or self._state.position != before)
            else:
                fruitful, early = await self._sync_from_readers(), False
            fruitless = 0 if fruitful else fruitless + 1
            if early or not fruitful:
                await asyncio.sleep(_read_pause(fruitless))

    async def _sync_from_readers(self) -> bool:
        """Request an update from each reader in turn; fall back to the store."""
        for reader in self._readers:
            if await self._request_update(reader):
                self._read_needed.clear()
                try:
                    async with asyncio.timeout(REQUEST_PERIOD):
                        await self._read_needed.wait()
                except TimeoutError:
                    return True
                if self._read_spread:
                    await asyncio.sleep(random.uniform(0.0, self._read_spread))
                    self._read_spread = 0.0
                return await self._reader.read()
        return await self._reader.read(self._wait)

    async def _request_update(self, reader: HostId) -> bool:
        self._last_number += 1
        number, sent = self._last_number, boot_time()
        revision, era = self._state.revision or 0, self._state.era
        fut = asyncio.get_running_loop().create_future()
        self._pending[number] = fut
        try:
            request = StoreUpdateRequest(number, self._state.kind, revision, era)
            if not self._send(reader, request):
                return False
            async with asyncio.timeout(ANSWER_TIMEOUT):
                update = await fut
        except TimeoutError:
            _log.info(LogEvent.READER_SILENT, kind=self._state.kind, reader=reader)
            return False
        finally:
            del self._pending[number]
        if update.age > MAX_UPDATE_AGE or not self._apply(update):
            return False
        self._state.freshness.confirm(sent - update.age)
        return True

    def _apply(self, update: StoreUpdate) -> bool:
        """Apply an update; return whether it continues from the known position."""
        known = self._state.position
        if update.changes is None or known is None or update.era != known.era:
            return False
        if update.since > known.revision:
            return False
        self._state.advance(list(update.changes), update.revision)
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
            self._receive_broadcast(message)

    def _receive_broadcast(self, update: StoreUpdate) -> None:
        """Apply an unsolicited update, or read the store if it doesn't continue."""
        known = self._state.position
        if known is not None and Position(update.era, update.revision) <= known:
            return
        if self._apply(update):
            return
        if update.era > self._state.era:
            self._read_spread = RESTORED_READ_SPREAD
        self._read_needed.set()

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
        )
        self._send(sender, self._limit_size(update))

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
        update = self._limit_size(update)
        for host in self._others:
            self._send(host, update)

    def _limit_size(self, update: StoreUpdate) -> StoreUpdate:
        """Return an update without its changes if they are too large to send."""
        try:
            small = len(encode(update)) <= MAX_UPDATE_BYTES
        except FrameError as exc:
            _log.warning(
                LogEvent.NEWS_NOT_SENDABLE, kind=update.kind, problem=exc.message
            )
            small = False
        if small:
            return update
        return StoreUpdate(
            update.number,
            update.kind,
            update.since,
            update.revision,
            update.age,
            changes=None,
            era=update.era,
        )


def _read_pause(fruitless: int) -> Seconds:
    """Return a random pause that grows with the number of fruitless reads in a row."""
    longest = min(2 * MIN_READ_PAUSE * max(1, fruitless), MAX_READ_PAUSE)
    return random.uniform(longest / 2, longest)
