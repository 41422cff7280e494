"""Define the messages by which entry hosts spread settings."""

from .messages import Message
from .types import SettingsVersion


class SettingsVersionRequest(Message, frozen=True, tag="settings_ask"):
    """Ask a host which version it has in force; the answer repeats the nonce."""

    version: SettingsVersion
    nonce: int


class SettingsVersionReply(Message, frozen=True, tag="settings_tell"):
    """Answer `SettingsVersionRequest`."""

    version: SettingsVersion
    nonce: int


class SettingsVersionNotice(Message, frozen=True, tag="settings_news"):
    """Tell a host, unasked, that a version is in force here."""

    version: SettingsVersion


class SettingsWatchRequest(Message, frozen=True, tag="settings_watch_ask"):
    """Ask a host to watch the platform for a while, as the sender can't reach it."""


class SettingsRootRequest(Message, frozen=True, tag="settings_root_ask"):
    """Ask a host for the root that it has in force."""


class SettingsRoot(Message, frozen=True, tag="settings_root"):
    """Carry an encoded root."""

    value: bytes


class SettingsChunkRequest(Message, frozen=True, tag="settings_chunk_ask"):
    """Ask a host for one chunk by its SHA-256 digest."""

    digest: bytes


class SettingsChunk(Message, frozen=True, tag="settings_chunk"):
    """Carry one encoded chunk; an empty value says that the host lacks it."""

    digest: bytes
    value: bytes = b""
