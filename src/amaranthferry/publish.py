"""Apply settings to the object API and read their history.

A change is committed when the root object is replaced. The root contains the
change's audit entry, and the previous entry is stored as an object of its own
before each replacement, so that a committed change has exactly one entry even if
an operator's process stops at any point.
"""

import asyncio
from collections.abc import Iterable

import msgspec
from returns.result import Failure, Result, Success

from .chunks import Assembler, unpack_chunk
from .config import Deployment
from .draft import Draft, compare, draft_deployment, draft_drained
from .exceptions import (
    DECODE_ERRORS,
    AmaranthferryError,
    AnswerLost,
    SettingsError,
    StoreUnavailable,
    VersionConflict,
)
from .object_store import ObjectStore, StoredObject
from .root import (
    AUDIT_PREFIX,
    ROOT_KEY,
    AuditEntry,
    Change,
    ChunkRef,
    Root,
    audit_key,
    decode_root,
    encode_root,
)
from .types import Seconds, ServerId, SettingsVersion

MAX_ATTEMPTS = 6
FIRST_BACKOFF: Seconds = 0.1
MAX_CONCURRENT_CALLS = 8
WRITES_PER_SECOND = 100
# Chunks that a root no longer uses are deleted after this many versions.
RETAINED_VERSIONS = 16
PAGE_LENGTH = 500
NO_VERSION = SettingsVersion(0)


class Author(msgspec.Struct, frozen=True):
    """Identify the author of a change; `when` is UTC in ISO 8601, `nonce` is unique."""

    who: str
    when: str
    nonce: str


class StoredRoot(msgspec.Struct, frozen=True):
    """Represent a root and its object version in the object API, 0 if there is none."""

    root: Root | None = None
    stored_version: int = 0

    @property
    def version(self) -> SettingsVersion:
        """Return the settings version, 0 if nothing has been applied yet."""
        return self.root.version if self.root else NO_VERSION

    @property
    def latest(self) -> AuditEntry | None:
        """Return the audit entry of the newest change."""
        return self.root.latest if self.root else None


class ApplyResult(msgspec.Struct, frozen=True):
    """Report the active version after an apply; `entry` is None if nothing changed."""

    version: SettingsVersion
    entry: AuditEntry | None = None


async def read_root(store: ObjectStore) -> StoredRoot:
    """Read the root."""
    stored = await store.get(ROOT_KEY)
    if stored is None:
        return StoredRoot()
    return StoredRoot(decode_root(stored.value), stored.version)


async def read_deployment(store: ObjectStore) -> Deployment | None:
    """Read the active deployment, None if nothing has been applied yet."""
    root = (await read_root(store)).root
    if root is None:
        return None
    chunks = await _read_chunks(store, root.refs)
    packed = {ref.digest: value for ref, value in chunks.items()}
    return Assembler().assemble(root, packed)


async def diff(
    store: ObjectStore, deployment: Deployment
) -> tuple[SettingsVersion, tuple[Change, ...]]:
    """Return the active version and the changes that applying a deployment makes."""
    stored = await read_root(store)
    draft = draft_deployment(stored.root, deployment)
    return stored.version, await _list_changes(store, stored.root, draft)


async def apply(
    store: ObjectStore,
    deployment: Deployment,
    author: Author,
    *,
    expected: SettingsVersion | None = None,
) -> Result[ApplyResult, AmaranthferryError]:
    """Apply a deployment, if `expected` is still the active version."""
    try:
        stored = await read_root(store)
        if expected is not None and stored.version != expected:
            return Failure(_conflict_error(stored.latest, expected))
        draft = draft_deployment(stored.root, deployment)
        return await _publish(store, stored, draft, author)
    except AmaranthferryError as exc:
        return Failure(exc)


async def set_drained(
    store: ObjectStore, servers: Iterable[ServerId], author: Author, *, drained: bool
) -> Result[ApplyResult, AmaranthferryError]:
    """Drain servers or cancel their drains; later applies preserve the drains."""
    try:
        stored = await read_root(store)
        if stored.root is None:
            return Failure(_not_applied_error())
        draft = draft_drained(stored.root, servers, drained=drained)
        return await _publish(store, stored, draft, author)
    except AmaranthferryError as exc:
        return Failure(exc)


async def read_history(
    store: ObjectStore, *, limit: int = 100
) -> tuple[AuditEntry, ...]:
    """Read the newest audit entries, oldest first."""
    root = (await read_root(store)).root
    if root is None:
        return ()
    entries = {entry.version: entry for entry in root.recent}
    first = max(1, root.version - limit + 1)
    after = audit_key(SettingsVersion(first - 1))
    while len(entries) < limit and min(entries) > first:
        page = await store.list(AUDIT_PREFIX, after=after, limit=PAGE_LENGTH)
        for stored in page:
            entry = _decode_entry(stored)
            entries.setdefault(entry.version, entry)
        if len(page) < PAGE_LENGTH:
            break
        after = page[-1].key
    return tuple(entries[version] for version in sorted(entries))[-limit:]


async def read_details(store: ObjectStore, entry: AuditEntry) -> tuple[Change, ...]:
    """Read the changes of an entry, from its details object if it has one."""
    stored = await store.get(entry.details) if entry.details else None
    if stored is None:
        return entry.changes
    return msgspec.msgpack.decode(stored.value, type=tuple[Change, ...])


async def _publish(
    store: ObjectStore, stored: StoredRoot, draft: Draft, author: Author
) -> Result[ApplyResult, AmaranthferryError]:
    if draft.is_empty(stored.root):
        return Success(ApplyResult(stored.version))
    changes = await _list_changes(store, stored.root, draft)
    root, details = draft.to_root(
        stored.root,
        changes,
        who=author.who,
        when=author.when,
        nonce=author.nonce,
        retained_versions=RETAINED_VERSIONS,
    )
    await _write_chunks(store, draft.packed_chunks)
    if details is not None:
        await _create(store, root.latest.details, details)
    if stored.root is not None:
        latest = stored.root.latest
        await _create(store, audit_key(latest.version), msgspec.msgpack.encode(latest))
    outcome = await _replace_root(store, stored, root)
    if isinstance(outcome, Success):
        await _delete_expired(store, stored.root, root)
    return outcome


async def _list_changes(
    store: ObjectStore, root: Root | None, draft: Draft
) -> tuple[Change, ...]:
    dropped = draft.dropped_refs(root)
    chunks = await _read_chunks(store, dropped)
    old = {ref: unpack_chunk(value, ref.digest) for ref, value in chunks.items()}
    return tuple(compare(root, old, draft))


async def _replace_root(
    store: ObjectStore, stored: StoredRoot, root: Root
) -> Result[ApplyResult, AmaranthferryError]:
    value = encode_root(root)
    for attempt in range(MAX_ATTEMPTS):
        try:
            await store.put(ROOT_KEY, value, expected=stored.stored_version)
            return Success(ApplyResult(root.version, root.latest))
        except StoreUnavailable:
            if attempt == 0:
                raise
        except (AnswerLost, VersionConflict):
            pass
        # A write whose answer was lost may still be applied, so only a newer root
        # shows which change was committed; until then the write is safe to retry.
        try:
            winner = await _read_entry(store, root.version)
        except StoreUnavailable:
            await asyncio.sleep(FIRST_BACKOFF * 2**attempt)
            continue
        if winner is not None and winner.nonce == root.nonce:
            return Success(ApplyResult(root.version, root.latest))
        if winner is not None:
            return Failure(_conflict_error(winner, stored.version))
        await asyncio.sleep(FIRST_BACKOFF * 2**attempt)
    return Failure(_unknown_outcome_error(root))


async def _read_entry(
    store: ObjectStore, version: SettingsVersion
) -> AuditEntry | None:
    """Read the entry of a version, None if the root is still older."""
    root = (await read_root(store)).root
    if root is None or root.version < version:
        return None
    for entry in root.recent:
        if entry.version == version:
            return entry
    stored = await store.get(audit_key(version))
    return _decode_entry(stored) if stored else None


def _decode_entry(stored: StoredObject) -> AuditEntry:
    try:
        return msgspec.msgpack.decode(stored.value, type=AuditEntry)
    except DECODE_ERRORS as exc:
        raise SettingsError(
            f"The audit entry {stored.key!r} can't be read: {exc}.",
            remedy="Use the release that wrote it, or later.",
        ) from exc


async def _write_chunks(
    store: ObjectStore, packed_chunks: dict[ChunkRef, bytes]
) -> None:
    """Write chunks at a limited rate, since the object API's rate limit is shared."""
    refs = tuple(packed_chunks)
    for start in range(0, len(refs), MAX_CONCURRENT_CALLS):
        if start:
            await asyncio.sleep(MAX_CONCURRENT_CALLS / WRITES_PER_SECOND)
        batch = refs[start : start + MAX_CONCURRENT_CALLS]
        await asyncio.gather(
            *(_create(store, ref.key, packed_chunks[ref]) for ref in batch)
        )


async def _create(store: ObjectStore, key: str, value: bytes) -> None:
    """Write an immutable object; it may already exist."""
    for attempt in range(MAX_ATTEMPTS):
        try:
            await store.put(key, value, expected=0)
            return
        except VersionConflict:
            return
        except AnswerLost:
            await asyncio.sleep(FIRST_BACKOFF * 2**attempt)
    raise StoreUnavailable(
        f"The object API did not confirm the write of {key!r}.",
        remedy="The active settings are unchanged; apply again.",
    )


async def _read_chunks(
    store: ObjectStore, refs: Iterable[ChunkRef]
) -> dict[ChunkRef, bytes]:
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def read(ref: ChunkRef) -> StoredObject | None:
        async with semaphore:
            return await store.get(ref.key)

    unique_refs = tuple(dict.fromkeys(refs))
    objects = await asyncio.gather(*(read(ref) for ref in unique_refs))
    chunks = {
        ref: item.value
        for ref, item in zip(unique_refs, objects, strict=True)
        if item is not None
    }
    if len(chunks) < len(unique_refs):
        raise VersionConflict(
            "The settings changed while they were being read.",
            remedy="Run the command again.",
        )
    return chunks


async def _delete_expired(
    store: ObjectStore, previous: Root | None, root: Root
) -> None:
    retained = {item.ref for item in root.retired}
    expired = (
        [item.ref for item in previous.retired if item.ref not in retained]
        if previous
        else []
    )
    for ref in expired:
        try:
            stored = await store.get(ref.key)
            if stored is not None:
                await store.delete(ref.key, expected=stored.version)
        except AmaranthferryError:
            # The change is committed; a chunk that is not deleted only uses storage.
            return


def _conflict_error(
    winner: AuditEntry | None, expected: SettingsVersion
) -> VersionConflict:
    if winner is None:
        return VersionConflict(
            f"Version {expected} was expected, but nothing is applied yet.",
            remedy="Apply with --expect 0, or without --expect.",
        )
    return VersionConflict(
        f"{winner.who} applied version {winner.version} at {winner.when}, after "
        f"version {expected}, which this change is based on; nothing was changed.",
        remedy="Merge their change, run `settings diff`, then apply again.",
    )


def _not_applied_error() -> VersionConflict:
    return VersionConflict(
        "No settings have been applied yet.", remedy="Run `settings apply` first."
    )


def _unknown_outcome_error(root: Root) -> AnswerLost:
    return AnswerLost(
        f"Version {root.version} may or may not be active: the object API's answer "
        "was lost and can't be read back.",
        remedy=f"Look for nonce {root.nonce} in `settings history` once the object "
        "API answers; applying the same settings again is safe.",
    )
