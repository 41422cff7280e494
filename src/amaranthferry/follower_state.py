"""Hold what one host knows of the settings, and how it learns more.

A few hosts watch the platform's root; the others hear of a new version from
hosts that have it in force, and fetch what changed from those.
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

WATCHERS = 3
RELIEF_SPAN: Seconds = 10.0
WATCH_TIMEOUT: Seconds = 4.0
WATCH_GAP: Seconds = 0.5
MAX_BACKOFF: Seconds = 4.0
ASK_INTERVAL: Seconds = 2.0
ROOT_WAIT: Seconds = 1.0
JOIN_WAIT: Seconds = 2.0
NEAR_HOSTS = 4
MAX_OPEN_ASKS = 8
NEVER: Seconds = -1e12


class FollowerTiming(msgspec.Struct):
    """Hold when things were heard and are due, in the host's seconds."""

    started_at: Seconds
    heard_at: Seconds = NEVER
    relief_until: Seconds = NEVER
    next_read_at: Seconds = NEVER
    next_ask_at: Seconds = NEVER
    root_asked_at: Seconds = NEVER
    backoff: Seconds = WATCH_GAP


class Follower:
    """Hold the settings of one host and what it knows of newer ones."""

    def __init__(
        self, me: HostId, *, now: Seconds, expects_peers: bool, first_nonce: int = 0
    ) -> None:
        self.me = me
        self.expects_peers = expects_peers
        self.timing = FollowerTiming(now)
        self.root: Root | None = None
        self.root_value = b""
        self.chunks: dict[bytes, bytes] = {}
        self.deployment: Deployment | None = None
        self.fetch: Fetch | None = None
        self.peers: dict[HostId, SettingsVersion] = {}
        self.newest = SettingsVersion(0)
        self.rejected = SettingsVersion(0)
        self.root_asked = SettingsVersion(0)
        self.joined = False
        self.calling = False
        self.revision = 0
        self.assembler = Assembler()
        self.next_nonce = first_nonce
        self.turn = 0
        self.open_asks: dict[int, Seconds] = {}
        self.join_asked: set[HostId] = set()
        self.join_answered: set[HostId] = set()
        self.platform_answered = False
        self.near: tuple[HostId, ...] = ()
        self._hosts_ahead = 0

    @property
    def version(self) -> SettingsVersion:
        """Return the version in force, 0 for none."""
        return self.root.version if self.root else SettingsVersion(0)

    @property
    def freshness(self) -> Seconds:
        """Return how long settings may stay unconfirmed."""
        limits = self.deployment.limits if self.deployment else Limits()
        return limits.freshness

    def is_current(self, now: Seconds) -> bool:
        """Tell whether this host may take new work on its settings."""
        confirmed = now - self.timing.heard_at <= self.freshness
        return self.joined and self.root is not None and confirmed

    def is_watcher(self, now: Seconds) -> bool:
        """Tell whether this host watches the platform, by rank or in relief."""
        return self.is_chosen or now < self.timing.relief_until

    @property
    def is_chosen(self) -> bool:
        """Tell whether this host ranks among those that watch the platform."""
        return self._hosts_ahead < WATCHERS

    def set_peers(self, versions: Mapping[HostId, SettingsVersion]) -> None:
        """Replace the live other hosts."""
        self.peers = {
            host: version for host, version in versions.items() if host != self.me
        }
        mine = _rank_key("watch", self.me)
        ahead = [host for host in self.peers if _rank_key("watch", host) < mine]
        self._hosts_ahead = len(ahead)
        # The same few partners each time, so that few connections stay open.
        near = f"near{self.me}"
        order = sorted(self.peers, key=lambda host: _rank_key(near, host))
        self.near = tuple(order[:NEAR_HOSTS])
        if self.fetch is not None:
            self.fetch.keep_live(self.peers)


def confirm(follower: Follower, asked_at: Seconds) -> None:
    """Note that the version in force was the newest known at `asked_at`."""
    if follower.version < follower.newest:
        return
    follower.timing.heard_at = max(follower.timing.heard_at, asked_at)


def want(
    follower: Follower, holder: HostId, version: SettingsVersion, now: Seconds
) -> list[Effect]:
    """Ask a host for its root when it has a newer version."""
    fetch = follower.fetch
    if version <= max(follower.version, follower.rejected):
        return []
    if fetch is not None and version >= fetch.root.version:
        fetch.add_holder(holder)
    if fetch is not None and version <= fetch.root.version:
        return []
    waiting = now - follower.timing.root_asked_at < ROOT_WAIT
    if waiting and version <= follower.root_asked:
        return []
    follower.timing.root_asked_at = now
    follower.root_asked = version
    return [SendToHost(host=holder, message=SettingsRootRequest())]


def offer(
    follower: Follower,
    value: bytes,
    holder: HostId | None,
    now: Seconds,
    *,
    confirmed_at: Seconds,
) -> list[Effect]:
    """Begin to fetch a root that is newer than all before."""
    try:
        root = decode_root(value)
    except SettingsError as exc:
        if holder is None:
            # The platform holds something newer that can't be put in force here.
            follower.newest = SettingsVersion(follower.version + 1)
        return [RejectRoot(version=SettingsVersion(0), reason=str(exc))]
    follower.newest = max(follower.newest, root.version)
    if root.version <= follower.version:
        if root.version == follower.version:
            confirm(follower, confirmed_at)
        return []
    if root.version <= follower.rejected:
        return []
    fetch = follower.fetch
    if fetch is None or fetch.root.version < root.version:
        held = {**follower.chunks, **(fetch.chunks if fetch else {})}
        fetch = Fetch(root, value, now=now, confirmed_at=confirmed_at, held=held)
        follower.fetch = fetch
    if holder is not None:
        fetch.add_holder(holder)
    return []


def ask(follower: Follower, host: HostId, now: Seconds) -> Effect:
    """Ask a host for its version."""
    nonce = follower.next_nonce
    follower.next_nonce += 1
    follower.open_asks[nonce] = now
    if len(follower.open_asks) > MAX_OPEN_ASKS:
        follower.open_asks.pop(min(follower.open_asks))
    return SendToHost(
        host=host, message=SettingsVersionRequest(follower.version, nonce)
    )


def _rank_key(salt: str, host: HostId) -> int:
    return xxhash.xxh64_intdigest(f"{salt}\0{host}".encode())
