"""Define the messages by which entry hosts distribute settings."""

from .messages import Message
from .types import SettingsVersion


class SettingsVersionRequest(Message, frozen=True, tag="settings_ask"):
    """Request the active version of a host; the reply repeats the nonce."""

    version: SettingsVersion
    nonce: int


class SettingsVersionReply(Message, frozen=True, tag="settings_tell"):
    """Reply to `SettingsVersionRequest`."""

    version: SettingsVersion
    nonce: int


class SettingsVersionNotice(Message, frozen=True, tag="settings_news"):
    """Notify a host, without a request, of the sender's active version."""

    version: SettingsVersion


class SettingsWatchRequest(Message, frozen=True, tag="settings_watch_ask"):
    """Request a temporary watch of the platform, which the sender can't reach."""


class SettingsRootRequest(Message, frozen=True, tag="settings_root_ask"):
    """Request the active root of a host."""


class SettingsRoot(Message, frozen=True, tag="settings_root"):
    """Reply with an encoded root."""

    value: bytes


class SettingsChunkRequest(Message, frozen=True, tag="settings_chunk_ask"):
    """Request one chunk by its SHA-256 digest."""

    digest: bytes


class SettingsChunk(Message, frozen=True, tag="settings_chunk"):
    """Reply with one compressed chunk; the value is empty if the sender lacks it."""

    digest: bytes
    value: bytes = b""
