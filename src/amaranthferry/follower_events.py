"""Define what the settings follower's reducer takes and returns."""

from .config import Deployment
from .effects import Effect
from .events import Event
from .root import Root
from .types import HostId, Seconds, SettingsVersion


class RootRead(Event, frozen=True):
    """Take the platform's answer; no value says that nothing is newer.

    `asked_at` is when the call began, so that an answer read after a long pause
    does not count as news of now.
    """

    requested_at: Seconds
    value: bytes | None = None
    revision: int = 0


class RootReadFailed(Event, frozen=True):
    """Report that the platform gave no answer."""


class ChunkRead(Event, frozen=True):
    """Take a chunk from the platform; no value says that it is gone."""

    digest: bytes
    value: bytes | None = None


class ChunkReadFailed(Event, frozen=True):
    """Report that the platform gave no chunk."""

    digest: bytes


class PeersSeen(Event, frozen=True):
    """Replace the live other hosts, each with the version it last spoke of."""

    versions: dict[HostId, SettingsVersion]


class ReadRoot(Effect, frozen=True):
    """Read the root from the platform."""


class WatchRoot(Effect, frozen=True):
    """Wait at the platform for a root with a greater revision."""

    since: int
    timeout: Seconds


class ReadChunk(Effect, frozen=True):
    """Read a chunk from the platform."""

    key: str
    digest: bytes


class PutInForce(Effect, frozen=True):
    """Put a newer deployment in force on this host."""

    deployment: Deployment
    root: Root


class RejectRoot(Effect, frozen=True):
    """Report settings that this host can't read."""

    version: SettingsVersion
    reason: str
