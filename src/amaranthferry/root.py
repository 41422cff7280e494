"""Define the root object, which references the chunks of the active settings."""

import msgspec

from .exceptions import DECODE_ERRORS, SettingsError
from .types import ServerId, SettingsVersion

ROOT_KEY = "settings/root"
AUDIT_PREFIX = "settings/audit/"
CHUNK_PREFIX = "settings/chunks/"
CHANGES_PREFIX = "settings/changes/"
RECENT_ENTRIES = 16
DIGEST_BYTES = 32


class Change(msgspec.Struct, frozen=True):
    """Describe one changed key; the key is empty for an added or removed section.

    Values are JSON; an absent value is empty.
    """

    section: str
    key: str
    before: str
    after: str


class AuditEntry(msgspec.Struct, frozen=True):
    """Record the author and changes of one settings version.

    `when` is UTC in ISO 8601. `omitted` counts the changes that are not in
    `changes`; the object with the key `details` has a longer list.
    """

    version: SettingsVersion
    previous: SettingsVersion
    who: str
    when: str
    nonce: str
    changes: tuple[Change, ...] = ()
    omitted: int = 0
    details: str = ""


class ChunkRef(msgspec.Struct, frozen=True, array_like=True):
    """Reference a chunk by its digest and the version that it was written for.

    The version distinguishes a newly written chunk from an older chunk with the
    same content that is about to be deleted.
    """

    digest: bytes
    written_for: SettingsVersion

    @property
    def key(self) -> str:
        """Return the key of the chunk's object."""
        return f"{CHUNK_PREFIX}{self.written_for:012d}-{self.digest.hex()}"


class RetiredChunk(msgspec.Struct, frozen=True, array_like=True):
    """Reference a chunk that is unused from a version on."""

    ref: ChunkRef
    version: SettingsVersion


class Root(msgspec.Struct, frozen=True):
    """Reference the chunks of one version; replacing the root commits a change."""

    version: SettingsVersion
    nonce: str
    base: ChunkRef
    servers: tuple[ChunkRef, ...]
    workspaces: tuple[ChunkRef, ...]
    drained: tuple[ServerId, ...] = ()
    recent: tuple[AuditEntry, ...] = ()
    retired: tuple[RetiredChunk, ...] = ()

    @property
    def refs(self) -> tuple[ChunkRef, ...]:
        """Return the references to all chunks of this version."""
        return (self.base, *self.servers, *self.workspaces)

    @property
    def latest(self) -> AuditEntry:
        """Return the audit entry of this version."""
        return self.recent[-1]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Root)


def encode_root(root: Root) -> bytes:
    """Encode a root."""
    return _encoder.encode(root)


def decode_root(value: bytes) -> Root:
    """Decode a root; raise SettingsError if it is malformed."""
    try:
        root = _decoder.decode(value)
    except DECODE_ERRORS as exc:
        raise SettingsError(
            f"The settings root can't be read: {exc}.",
            remedy="Apply the settings again with this release.",
        ) from exc
    if not _is_consistent(root):
        raise SettingsError(
            "The settings root has an invalid version, audit entry or digest.",
            remedy="Apply the settings again with this release.",
        )
    return root


def _is_consistent(root: Root) -> bool:
    entry_matches = bool(root.recent) and root.latest.version == root.version
    digests_valid = all(len(ref.digest) == DIGEST_BYTES for ref in root.refs)
    return root.version >= 1 and entry_matches and digests_valid


def audit_key(version: SettingsVersion) -> str:
    """Return the key of a version's audit object."""
    return f"{AUDIT_PREFIX}{version:012d}"
