"""Define the state of one host's settings follower, and how it is updated.

A few hosts watch the platform's root; the others are notified of a new version by
hosts that have applied it, and fetch the changed chunks from those.
"""

from collections.abc import Mapping

import msgspec
import xxhash

from .chunks import Assembler
from .config import Deployment, Limits
from .effects import Effect, SendToHost
from .exceptions import SettingsError
from .fetching import Fetch
from .follower_events import (
    RejectRoot,
)
from .root import Root, decode_root
from .settings_messages import (
    SettingsRootRequest,
    SettingsVersionRequest,
)
from .types import HostId, Seconds, SettingsVersion

WATCHER_COUNT = 3
TEMPORARY_WATCH_DURATION: Seconds = 10.0
WATCH_TIMEOUT: Seconds = 4.0
MIN_READ_INTERVAL: Seconds = 0.5
MAX_BACKOFF: Seconds = 4.0
VERSION_REQUEST_INTERVAL: Seconds = 2.0
ROOT_REQUEST_TIMEOUT: Seconds = 1.0
JOIN_TIMEOUT: Seconds = 2.0
PARTNER_COUNT = 4
MAX_PENDING_REQUESTS = 8
NEVER: Seconds = -1e12  # earlier than any clock reading


class FollowerTiming(msgspec.Struct):
    """Track when settings were confirmed and actions are due, on the host's clock."""

    started_at: Seconds
    confirmed_at: Seconds = NEVER
    temporary_watch_until: Seconds = NEVER
    next_read_at: Seconds = NEVER
    next_request_at: Seconds = NEVER
    root_requested_at: Seconds = NEVER
    backoff: Seconds = MIN_READ_INTERVAL


class Follower:
    """Track the active settings of one host, and the newer versions known to it."""

    def __init__(
        self, host: HostId, *, now: Seconds, expects_peers: bool, first_nonce: int = 0
    ) -> None:
        self.host = host
        self.expects_peers = expects_peers
        self.timing = FollowerTiming(now)
        self.root: Root | None = None
        self.root_value = b""
        self.chunks: dict[bytes, bytes] = {}
        self.deployment: Deployment | None = None
        self.fetch: Fetch | None = None
        self.peers: dict[HostId, SettingsVersion] = {}
        self.newest_version = SettingsVersion(0)
        self.rejected_version = SettingsVersion(0)
        self.requested_root_version = SettingsVersion(0)
        self.joined = False
        self.call_in_progress = False
        self.revision = 0
        self.assembler = Assembler()
        self.next_nonce = first_nonce
        self.partner_index = 0
        self.pending_requests: dict[int, Seconds] = {}
        self.join_requested: set[HostId] = set()
        self.join_answered: set[HostId] = set()
        self.platform_answered = False
        self.partners: tuple[HostId, ...] = ()
        self._higher_ranked_count = 0

    @property
    def version(self) -> SettingsVersion:
        """Return the active version, 0 for none."""
        return self.root.version if self.root else SettingsVersion(0)

    @property
    def freshness(self) -> Seconds:
        """Return how long the settings stay current after their last confirmation."""
        limits = self.deployment.limits if self.deployment else Limits()
        return limits.freshness

    def is_current(self, now: Seconds) -> bool:
        """Return whether this host may accept new work with its settings."""
        confirmed = now - self.timing.confirmed_at <= self.freshness
        return self.joined and self.root is not None and confirmed

    def is_watcher(self, now: Seconds) -> bool:
        """Return whether this host watches the platform, by rank or temporarily."""
        return self.is_ranked_watcher or now < self.timing.temporary_watch_until

    @property
    def is_ranked_watcher(self) -> bool:
        """Return whether this host ranks among those that watch the platform."""
        return self._higher_ranked_count < WATCHER_COUNT

    def set_peers(self, versions: Mapping[HostId, SettingsVersion]) -> None:
        """Replace the list of other live hosts, and choose the partners among them."""
        self.peers = {
            host: version for host, version in versions.items() if host != self.host
        }
        own_rank_key = _rank_key("watch", self.host)
        higher_ranked = [
            host for host in self.peers if _rank_key("watch", host) < own_rank_key
        ]
        self._higher_ranked_count = len(higher_ranked)
        # A stable choice of few partners limits the number of open connections.
        partner_salt = f"near{self.host}"
        ranked = sorted(self.peers, key=lambda host: _rank_key(partner_salt, host))
        self.partners = tuple(ranked[:PARTNER_COUNT])
        if self.fetch is not None:
            self.fetch.retain_holders(self.peers)


def record_confirmation(follower: Follower, requested_at: Seconds) -> None:
    """Record that the active version was the newest known at `requested_at`."""
    if follower.version < follower.newest_version:
        return
    follower.timing.confirmed_at = max(follower.timing.confirmed_at, requested_at)


def request_newer_root(
    follower: Follower, holder: HostId, version: SettingsVersion, now: Seconds
) -> list[Effect]:
    """Request the root of a host that has a newer version."""
    fetch = follower.fetch
    if version <= max(follower.version, follower.rejected_version):
        return []
    if fetch is not None and version >= fetch.root.version:
        fetch.add_holder(holder)
    if fetch is not None and version <= fetch.root.version:
        return []
    waiting = now - follower.timing.root_requested_at < ROOT_REQUEST_TIMEOUT
    if waiting and version <= follower.requested_root_version:
        return []
    follower.timing.root_requested_at = now
    follower.requested_root_version = version
    return [SendToHost(host=holder, message=SettingsRootRequest())]


def start_fetch(
    follower: Follower,
    value: bytes,
    holder: HostId | None,
    now: Seconds,
    *,
    confirmed_at: Seconds,
) -> list[Effect]:
    """Start to fetch a newer root, or record a confirmation of the active one."""
    try:
        root = decode_root(value)
    except SettingsError as exc:
        if holder is None:
            # The platform has a newer version that can't be applied on this host.
            follower.newest_version = SettingsVersion(follower.version + 1)
        return [RejectRoot(version=SettingsVersion(0), reason=str(exc))]
    follower.newest_version = max(follower.newest_version, root.version)
    if root.version <= follower.version:
        if root.version == follower.version:
            record_confirmation(follower, confirmed_at)
        return []
    if root.version <= follower.rejected_version:
        return []
    fetch = follower.fetch
    if fetch is None or fetch.root.version < root.version:
        cached_chunks = {**follower.chunks, **(fetch.chunks if fetch else {})}
        fetch = Fetch(
            root, value, now=now, confirmed_at=confirmed_at, cached_chunks=cached_chunks
        )
        follower.fetch = fetch
    if holder is not None:
        fetch.add_holder(holder)
    return []


def request_version(follower: Follower, host: HostId, now: Seconds) -> Effect:
    """Create a request for the version of a host, and record its nonce."""
    nonce = follower.next_nonce
    follower.next_nonce += 1
    follower.pending_requests[nonce] = now
    if len(follower.pending_requests) > MAX_PENDING_REQUESTS:
        follower.pending_requests.pop(min(follower.pending_requests))
    return SendToHost(
        host=host, message=SettingsVersionRequest(follower.version, nonce)
    )


def _rank_key(salt: str, host: HostId) -> int:
    return xxhash.xxh64_intdigest(f"{salt}\0{host}".encode())
