"""Find the other entry hosts, and the key they share, through the store."""

import asyncio
import contextlib
import random
import secrets
from collections.abc import Callable

import msgspec
import structlog

from ..exceptions import AmaranthferryError, StoreUnavailable, VersionConflict
from ..gateway.log_events import LogEvent
from ..platform.store import StoreClient, StoredObject
from ..types import HostId, Seconds
from .freshness import boot_time

HOST_KIND = "entryhosts"
KEY_KIND = "peerkeys"
KEY_NAME = "main"
KEY_BYTES = 32
RETRY_PAUSE: Seconds = 0.3
#: Time that hosts which hold the key get to write it again to a restored store.
KEY_RETURN_TIME: Seconds = 2.0
#: Period over which the hosts spread their checks of a restored store.
RESTORED_CHECK_SPREAD: Seconds = 1.0
#: Time after the first list in which membership finds the other hosts; a host that has
#: found none lists them again, since hosts that start together may miss each other.
SECOND_LIST_PAUSE: Seconds = 1.0
REFRESH_PERIOD: Seconds = 60.0
_log = structlog.get_logger(__name__)


class HostEntry(msgspec.Struct, frozen=True):
    """Describe a host's entry in the store, with the address for its peers."""

    address: str
    capacity: float = 0.0


class _PeerKey(msgspec.Struct, frozen=True):
    key: str


class HostDirectory:
    """Register this host in the store and report the other hosts' entries."""

    def __init__(
        self,
        store: StoreClient,
        host: HostId,
        entry: HostEntry,
        *,
        on_hosts: Callable[[dict[HostId, HostEntry]], None],
        has_peers: Callable[[], bool],
    ) -> None:
        self._store = store
        self._host = host
        self._entry = entry
        self._on_hosts = on_hosts
        self._has_peers = has_peers
        self._key = ""
        self._restored = asyncio.Event()

    def handle_restored(self) -> None:
        """Check soon that what this host wrote is in the restored store."""
        self._restored.set()

    async def peer_key(self) -> str:
        """Return the key that all hosts share; the first host creates it."""
        began = boot_time()
        while not self._key:
            try:
                patient = boot_time() - began < KEY_RETURN_TIME
                self._key = await self._read_key(patient=patient)
            except AmaranthferryError as exc:
                _log.info(LogEvent.PEER_KEY_NOT_READ, problem=exc.message)
                await asyncio.sleep(random.uniform(RETRY_PAUSE / 2, RETRY_PAUSE))
        return self._key

    async def _read_key(self, *, patient: bool) -> str:
        """Return the stored key, or create it; a patient host leaves that to others."""
        stored = await self._store.get(KEY_KIND, KEY_NAME)
        if stored is None and patient and not self._key and await self._has_hosts():
            raise StoreUnavailable(
                "The peer key is missing, though other hosts are listed.",
                remedy="Wait until a host that holds it has written it again.",
            )
        if stored is None:
            key = self._key or secrets.token_hex(KEY_BYTES)
            spec = msgspec.to_builtins(_PeerKey(key))
            try:
                stored = await self._store.create(KEY_KIND, KEY_NAME, spec)
            except VersionConflict:
                stored = await self._store.get(KEY_KIND, KEY_NAME)
        if stored is None:
            raise StoreUnavailable(
                "The peer key does not exist in the store.", remedy="Try again."
            )
        return msgspec.convert(stored.spec, _PeerKey).key

    async def _has_hosts(self) -> bool:
        return bool((await self._store.list(HOST_KIND)).entries)

    async def run(self) -> None:
        """Keep this host's entry written, and list the others periodically.

        Return when a restored store holds another key, for this host to join with it.
        """
        pause = SECOND_LIST_PAUSE
        while True:
            try:
                if self._restored.is_set() and await self._key_has_changed():
                    return
                await self._list_hosts()
            except AmaranthferryError as exc:
                _log.info(LogEvent.HOSTS_NOT_READ, problem=exc.message)
                await asyncio.sleep(random.uniform(RETRY_PAUSE, 2 * RETRY_PAUSE))
                continue
            await self._pause(pause)
            if self._has_peers():
                await self._pause(random.uniform(REFRESH_PERIOD, 2 * REFRESH_PERIOD))
            pause = min(2 * pause, REFRESH_PERIOD)

    async def _pause(self, pause: Seconds) -> None:
        """Wait, but no longer than until the store has been restored."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause):
                await self._restored.wait()
                await asyncio.sleep(random.uniform(0.0, RESTORED_CHECK_SPREAD))

    async def _key_has_changed(self) -> bool:
        """Write the key again if the restored store has lost it; adopt another one."""
        self._restored.clear()
        try:
            key = await self._read_key(patient=False)
        except AmaranthferryError:
            self._restored.set()
            raise
        changed = key != self._key
        self._key = key
        if changed:
            _log.warning(LogEvent.PEER_KEY_CHANGED)
        return changed

    async def _list_hosts(self) -> None:
        """List the hosts, and write this host's entry if it is missing or differs."""
        listing = await self._store.list(HOST_KIND)
        entries = {
            HostId(item.metadata.name): _decode_entry(item) for item in listing.entries
        }
        own = entries.pop(self._host, None)
        if own != self._entry:
            if any(item.metadata.name == self._host for item in listing.entries):
                await self._store.delete(HOST_KIND, self._host)
            spec = msgspec.to_builtins(self._entry)
            await self._store.create(HOST_KIND, self._host, spec)
            _log.info(
                LogEvent.HOST_ENTRY_WRITTEN, era=listing.era, hosts=len(entries) + 1
            )
        self._on_hosts(
            {host: entry for host, entry in entries.items() if entry is not None}
        )


def _decode_entry(stored: StoredObject) -> HostEntry | None:
    try:
        return msgspec.convert(stored.spec, HostEntry)
    except msgspec.ValidationError:
        _log.warning(LogEvent.HOST_ENTRY_UNREADABLE, name=stored.metadata.name)
        return None
