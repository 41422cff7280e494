"""Find the other entry hosts, and the key they share, through the store."""

import asyncio
import random
import secrets
from collections.abc import Callable

import msgspec
import structlog

from ..exceptions import AmaranthferryError, StoreUnavailable, VersionConflict
from ..platform.store import Listing, StoreClient, StoredObject
from ..types import HostId, Seconds
from .log_events import LogEvent

HOST_KIND = "entryhosts"
KEY_KIND = "peerkeys"
KEY_NAME = "main"
KEY_BYTES = 32
RETRY_PAUSE: Seconds = 0.3
#: Hosts that start together don't see each other's entries in the first list.
SECOND_LIST_PAUSE: Seconds = 1.0
REFRESH_PERIOD: Seconds = 60.0
_log = structlog.get_logger(__name__)


class HostEntry(msgspec.Struct, frozen=True):
    """Describe a host's entry in the store, with the address for its peers."""

    address: str


class _PeerKey(msgspec.Struct, frozen=True):
    key: str


class HostDirectory:
    """Register this host in the store and report the other hosts' addresses."""

    def __init__(
        self,
        store: StoreClient,
        host: HostId,
        address: str,
        *,
        on_hosts: Callable[[dict[HostId, str]], None],
    ) -> None:
        self._store = store
        self._host = host
        self._entry = HostEntry(address)
        self._on_hosts = on_hosts

    async def peer_key(self) -> str:
        """Return the key that all hosts share; the first host creates it."""
        while True:
            try:
                return await self._read_key()
            except AmaranthferryError as exc:
                _log.info(LogEvent.PEER_KEY_NOT_READ, problem=exc.message)
                await asyncio.sleep(random.uniform(RETRY_PAUSE / 2, RETRY_PAUSE))

    async def _read_key(self) -> str:
        stored = await self._store.get(KEY_KIND, KEY_NAME)
        if stored is None:
            spec = msgspec.to_builtins(_PeerKey(secrets.token_hex(KEY_BYTES)))
            try:
                stored = await self._store.create(KEY_KIND, KEY_NAME, spec)
            except VersionConflict:
                stored = await self._store.get(KEY_KIND, KEY_NAME)
        if stored is None:
            raise StoreUnavailable(
                "The peer key does not exist in the store.", remedy="Try again."
            )
        return msgspec.convert(stored.spec, _PeerKey).key

    async def run(self) -> None:
        """Write this host's entry and list the others periodically."""
        pause = SECOND_LIST_PAUSE
        written = False
        while True:
            try:
                if not written:
                    await self._write()
                    written = True
                self._report(await self._store.list(HOST_KIND))
            except AmaranthferryError as exc:
                _log.info(LogEvent.HOSTS_NOT_READ, problem=exc.message)
                await asyncio.sleep(random.uniform(RETRY_PAUSE, 2 * RETRY_PAUSE))
                continue
            await asyncio.sleep(pause)
            pause = random.uniform(REFRESH_PERIOD, 2 * REFRESH_PERIOD)

    async def _write(self) -> None:
        spec = msgspec.to_builtins(self._entry)
        try:
            await self._store.create(HOST_KIND, self._host, spec)
        except VersionConflict:
            stored = await self._store.get(HOST_KIND, self._host)
            if stored is not None and _decode_entry(stored) != self._entry:
                await self._store.delete(HOST_KIND, self._host)
                await self._store.create(HOST_KIND, self._host, spec)

    def _report(self, listing: Listing) -> None:
        entries = {
            HostId(item.metadata.name): _decode_entry(item) for item in listing.entries
        }
        others = {
            host: entry.address
            for host, entry in entries.items()
            if entry is not None and host != self._host
        }
        self._on_hosts(others)


def _decode_entry(stored: StoredObject) -> HostEntry | None:
    try:
        return msgspec.convert(stored.spec, HostEntry)
    except msgspec.ValidationError:
        _log.warning(LogEvent.HOST_ENTRY_UNREADABLE, name=stored.metadata.name)
        return None
