"""Let few hosts read the store, and pass what they find on to all others.

Calls to the store are counted while messages between hosts cost little. A host that
is no reader asks one about once a second, and believes its answer to be as old as the
read behind it plus the time since the ask. It reads the store itself when no reader
answers in time or what a reader knows is itself old.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

import structlog
import xxhash

from ..codec import encode
from ..exceptions import FrameError
from ..messages import Message, StoreUpdate, StoreUpdateRequest
from ..types import HostId, Seconds
from .freshness import boot_time
from .vocabulary import LogEvent
from .watching import KindBelief, KindReader

READERS = 2
ASK_PERIOD: Seconds = 0.8
ANSWER_TIMEOUT: Seconds = 0.25
#: Age from which a reader's answer is no better than a read of one's own.
MAX_NEWS_AGE: Seconds = 2.0
#: Larger changes are cheaper to read from the store than to pass on.
MAX_NEWS_BYTES = 8_192
_log = structlog.get_logger(__name__)

Send = Callable[[HostId, Message], bool]


def choose_readers(hosts: Iterable[HostId]) -> tuple[HostId, ...]:
    """Return the hosts that read the store, the same on every host."""
    ranked = sorted(hosts, key=lambda host: (_score(host), host))
    return tuple(ranked[:READERS])


def _score(host: HostId) -> int:
    return xxhash.xxh64_intdigest(f"reader\0{host}".encode())


class NewsDesk:
    """Keep one kind's belief current, as a reader or by asking one."""

    def __init__(
        self,
        host: HostId,
        belief: KindBelief,
        reader: KindReader,
        send: Send,
        *,
        wait: Seconds,
    ) -> None:
        self._host = host
        self._belief = belief
        self._reader = reader
        self._send = send
        self._wait = wait
        self._readers: tuple[HostId, ...] = (host,)
        self._others: tuple[HostId, ...] = ()
        self._asked: dict[int, asyncio.Future[StoreUpdate]] = {}
        self._number = 0
        self._poked = asyncio.Event()
        belief.on_change = self._spread

    @property
    def is_reader(self) -> bool:
        """Tell whether this host reads the store for the others."""
        return self._host in self._readers

    def set_hosts(self, hosts: Iterable[HostId]) -> None:
        """Choose the readers anew from the live hosts."""
        found = tuple(hosts)
        readers = choose_readers(found)
        if readers != self._readers:
            _log.info(LogEvent.READERS_CHANGED, kind=self._belief.kind, readers=readers)
        self._readers = readers
        self._others = tuple(host for host in found if host != self._host)

    async def run(self) -> None:
        """Read while this host is a reader, ask otherwise."""
        failures = 0
        while True:
            if self.is_reader or self._belief.revision is None:
                good = await self._reader.read(self._wait)
            else:
                good = await self._follow()
            failures = 0 if good else failures + 1
            if not good:
                await asyncio.sleep(random.uniform(0.05, 0.1) * min(failures, 5))

    async def _follow(self) -> bool:
        """Ask the readers in turn; read the store where they are of no help."""
        for reader in self._readers:
            if await self._ask(reader):
                self._poked.clear()
                try:
                    async with asyncio.timeout(ASK_PERIOD):
                        await self._poked.wait()
                except TimeoutError:
                    return True
                return await self._reader.read()
        return await self._reader.read(self._wait)

    async def _ask(self, reader: HostId) -> bool:
        self._number += 1
        number, asked = self._number, boot_time()
        revision = self._belief.revision or 0
        fut = asyncio.get_running_loop().create_future()
        self._asked[number] = fut
        try:
            if not self._send(
                reader, StoreUpdateRequest(number, self._belief.kind, revision)
            ):
                return False
            async with asyncio.timeout(ANSWER_TIMEOUT):
                news = await fut
        except TimeoutError:
            _log.info(LogEvent.READER_SILENT, kind=self._belief.kind, reader=reader)
            return False
        finally:
            del self._asked[number]
        if news.age > MAX_NEWS_AGE or not self._take(news):
            return False
        self._belief.freshness.confirm(asked - news.age)
        return True

    def _take(self, news: StoreUpdate) -> bool:
        """Apply passed-on changes; tell whether they lead on from what is known."""
        known = self._belief.revision
        if news.changes is None or known is None or news.since > known:
            return False
        self._belief.advance(list(news.changes), news.revision)
        return True

    def receive(
        self, sender: HostId, message: StoreUpdateRequest | StoreUpdate
    ) -> None:
        """Answer an ask, or take an answer or unasked news."""
        if isinstance(message, StoreUpdateRequest):
            self._answer(sender, message)
            return
        fut = self._asked.get(message.number)
        if fut is not None and not fut.done():
            fut.set_result(message)
        elif not message.number and not self._take(message):
            self._poked.set()

    def _answer(self, sender: HostId, ask: StoreUpdateRequest) -> None:
        age = self._belief.freshness.age(boot_time())
        if age is None or self._belief.revision is None:
            return
        changes = self._belief.changes_since(ask.revision)
        news = StoreUpdate(
            ask.number, ask.kind, ask.revision, self._belief.revision, age, changes
        )
        self._send(sender, self._bounded(news))

    def _spread(self, since: int) -> None:
        """Tell the others at once what a reader has found."""
        if not self.is_reader or self._belief.revision is None:
            return
        changes = self._belief.changes_since(since)
        news = StoreUpdate(
            0, self._belief.kind, since, self._belief.revision, 0.0, changes
        )
        news = self._bounded(news)
        for host in self._others:
            self._send(host, news)

    def _bounded(self, news: StoreUpdate) -> StoreUpdate:
        """Leave changes out that are too large to pass on."""
        try:
            small = len(encode(news)) <= MAX_NEWS_BYTES
        except FrameError as exc:
            _log.warning(
                LogEvent.NEWS_NOT_SENDABLE, kind=news.kind, problem=exc.message
            )
            small = False
        if small:
            return news
        return StoreUpdate(
            news.number, news.kind, news.since, news.revision, news.age, changes=None
        )
