"""Fetch the chunks of one root from hosts that have it, or from the platform."""

from collections.abc import Iterable, Mapping

import msgspec

from .chunks import unpack_chunk
from .exceptions import SettingsError
from .root import ChunkRef, Root
from .types import HostId, Seconds

MAX_CONCURRENT_CHUNKS = 8
CHUNK_TIMEOUT: Seconds = 1.0
MAX_TIMEOUT_DOUBLINGS = 2
MAX_PEER_ATTEMPTS = 4
PLATFORM_FALLBACK_DELAY: Seconds = 3.0


class ChunkRequest(msgspec.Struct, frozen=True):
    """Request one chunk from a host, or from the platform if `host` is None."""

    ref: ChunkRef
    host: HostId | None


class Fetch:
    """Track the fetch of one root's chunks."""

    def __init__(
        self,
        root: Root,
        value: bytes,
        *,
        now: Seconds,
        confirmed_at: Seconds,
        cached_chunks: Mapping[bytes, bytes],
    ) -> None:
        self.root = root
        self.value = value
        self.started_at = now
        self.confirmed_at = confirmed_at
        self.holders: list[HostId] = []
        self.chunks = {
            ref.digest: cached_chunks[ref.digest]
            for ref in root.refs
            if ref.digest in cached_chunks
        }
        self._missing = {
            ref.digest: ref for ref in root.refs if ref.digest not in self.chunks
        }
        self._requested_at: dict[bytes, Seconds] = {}
        self._attempts: dict[bytes, int] = {}

    @property
    def complete(self) -> bool:
        """Return whether all chunks have been received."""
        return not self._missing

    def add_holder(self, host: HostId) -> None:
        """Record a host whose active root is this one or a newer one."""
        if host not in self.holders:
            self.holders.append(host)

    def retain_holders(self, hosts: Iterable[HostId]) -> None:
        """Remove the holders that are not among the live hosts."""
        live = set(hosts)
        self.holders = [host for host in self.holders if host in live]

    def accept(self, digest: bytes, value: bytes) -> bool:
        """Store a chunk; return False if it is not missing or its digest differs."""
        if digest not in self._missing:
            return False
        self._requested_at.pop(digest, None)
        try:
            unpack_chunk(value, digest)
        except SettingsError:
            return False
        self.chunks[digest] = value
        del self._missing[digest]
        return True

    def allow_retry(self, digest: bytes) -> None:
        """Allow a chunk to be requested again at once."""
        self._requested_at.pop(digest, None)

    def remove_holder(self, host: HostId) -> None:
        """Remove a host, so that nothing more is requested from it."""
        self.holders = [holder for holder in self.holders if holder != host]

    def due_requests(self, now: Seconds, *, use_platform: bool) -> list[ChunkRequest]:
        """Return the requests that are due; a limited number are open at once."""
        self._expire(now)
        platform_allowed = (
            use_platform or now - self.started_at >= PLATFORM_FALLBACK_DELAY
        )
        requests: list[ChunkRequest] = []
        for digest, ref in self._missing.items():
            if len(self._requested_at) >= MAX_CONCURRENT_CHUNKS:
                break
            if digest in self._requested_at:
                continue
            attempt = self._attempts.get(digest, 0)
            host = self._pick_holder(digest, attempt)
            if host is None and not platform_allowed:
                continue
            self._requested_at[digest] = now
            self._attempts[digest] = attempt + 1
            requests.append(ChunkRequest(ref, host))
        return requests

    def _expire(self, now: Seconds) -> None:
        for digest, requested_at in tuple(self._requested_at.items()):
            doublings = min(self._attempts[digest] - 1, MAX_TIMEOUT_DOUBLINGS)
            if now - requested_at >= CHUNK_TIMEOUT * 2**doublings:
                del self._requested_at[digest]

    def _pick_holder(self, digest: bytes, attempt: int) -> HostId | None:
        # Every few attempts go to the platform, in case no holder can send the chunk.
        position = attempt % (MAX_PEER_ATTEMPTS + 1)
        if not self.holders or position == MAX_PEER_ATTEMPTS:
            return None
        return self.holders[(digest[0] + attempt) % len(self.holders)]
