"""Define the events and effects of the settings follower's reducer."""

from .config import Deployment
from .effects import Effect
from .events import Event
from .root import Root
from .types import HostId, Seconds, SettingsVersion


class RootRead(Event, frozen=True):
    """Report the platform's answer; `value` is None if there is no newer root.

    `requested_at` is when the call began, so that an answer read after a long pause
    does not confirm the current settings as of now.
    """

    requested_at: Seconds
    value: bytes | None = None
    revision: int = 0


class RootReadFailed(Event, frozen=True):
    """Report that a call for the root failed."""


class ChunkRead(Event, frozen=True):
    """Report the platform's answer; `value` is None if the chunk has been deleted."""

    digest: bytes
    value: bytes | None = None


class ChunkReadFailed(Event, frozen=True):
    """Report that a call for a chunk failed."""

    digest: bytes


class PeersSeen(Event, frozen=True):
    """Report the other live hosts, each with the version that it last reported."""

    versions: dict[HostId, SettingsVersion]


class ReadRoot(Effect, frozen=True):
    """Read the root from the platform."""


class WatchRoot(Effect, frozen=True):
    """Watch the platform for a root with a greater revision."""

    since: int
    timeout: Seconds


class ReadChunk(Effect, frozen=True):
    """Read a chunk from the platform."""

    key: str
    digest: bytes


class PutInForce(Effect, frozen=True):
    """Apply a newer deployment on this host."""

    deployment: Deployment
    root: Root


class RejectRoot(Effect, frozen=True):
    """Log settings that this host can't read."""

    version: SettingsVersion
    reason: str
