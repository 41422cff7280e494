"""Register entry hosts at the object API, as another way to discover them."""

import asyncio
import random
import time
from collections.abc import Callable

import msgspec
import structlog

from .config import HostConfig
from .exceptions import DECODE_ERRORS, AnswerLost, StoreUnavailable, VersionConflict
from .object_store import ObjectStore, StoredObject
from .types import HostId, Seconds

PRESENCE_PREFIX = "hosts/"
REFRESH_SECONDS = 600.0
#: An entry that was not refreshed for this long belongs to a stopped host.
EXPIRY_SECONDS = 3_600.0
RETRY_SECONDS = 10.0
PAGE_LENGTH = 500
#: Limit on the expired entries that one host removes in one pass.
MAX_REMOVALS = 8

_log = structlog.get_logger(__name__)
_FAILURES = (StoreUnavailable, AnswerLost, VersionConflict)


class PresenceEntry(msgspec.Struct, frozen=True):
    """Store the address of a host; `refreshed` is wall-clock time in seconds."""

    host: HostId
    address: str
    refreshed: Seconds


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(PresenceEntry)


class HostPresence:
    """Refresh this host's entry and report the addresses of the other hosts.

    Membership works without it; only hosts that can reach no seed depend on it.
    """

    def __init__(
        self,
        store: ObjectStore,
        cfg: HostConfig,
        *,
        on_addresses: Callable[[tuple[str, ...]], None],
        clock: Callable[[], Seconds] = time.time,
    ) -> None:
        self._store = store
        self._cfg = cfg
        self._key = PRESENCE_PREFIX + cfg.host
        self._on_addresses = on_addresses
        self._clock = clock
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic refresh without waiting for the object API."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop, and remove this host's entry if the object API accepts the call."""
        await self.abort()
        try:
            stored = await self._store.get(self._key)
            if stored is not None:
                await self._store.delete(self._key, expected=stored.version)
        except _FAILURES:
            _log.info("host entry not removed", host=self._cfg.host)

    async def abort(self) -> None:
        """Stop and leave the entry to expire, as a crashed process would."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def refresh(self) -> None:
        """Write this host's entry, report the unexpired ones and remove expired ones."""
        await self._write()
        entries = await self._read()
        oldest = self._clock() - EXPIRY_SECONDS
        fresh = [entry for entry, _ in entries if entry.refreshed >= oldest]
        self._on_addresses(
            tuple(entry.address for entry in fresh if entry.host != self._cfg.host)
        )
        stale = [stored for entry, stored in entries if entry.refreshed < oldest]
        for stored in stale[:MAX_REMOVALS]:
            await self._remove(stored)

    async def _run(self) -> None:
        while True:
            pause = REFRESH_SECONDS
            try:
                await self.refresh()
            except _FAILURES as exc:
                _log.info("host entry not refreshed", problem=str(exc))
                pause = RETRY_SECONDS
            # Jitter keeps hosts that started together from calling together.
            await asyncio.sleep(pause * random.uniform(0.75, 1.25))

    async def _write(self) -> None:
        entry = PresenceEntry(self._cfg.host, self._cfg.peer_address, self._clock())
        stored = await self._store.get(self._key)
        expected = 0 if stored is None else stored.version
        await self._store.put(self._key, _encode(entry), expected=expected)

    async def _read(self) -> list[tuple[PresenceEntry, StoredObject]]:
        entries: list[tuple[PresenceEntry, StoredObject]] = []
        after = ""
        while True:
            page = await self._store.list(
                PRESENCE_PREFIX, after=after, limit=PAGE_LENGTH
            )
            for stored in page:
                try:
                    entries.append((_decoder.decode(stored.value), stored))
                except DECODE_ERRORS:
                    _log.warning("host entry can't be read", key=stored.key)
            if len(page) < PAGE_LENGTH:
                return entries
            after = page[-1].key

    async def _remove(self, stored: StoredObject) -> None:
        try:
            await self._store.delete(stored.key, expected=stored.version)
        except VersionConflict:
            # The host has refreshed its entry in the meantime, so it stays.
            return
