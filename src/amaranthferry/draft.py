"""Compute the next root from the current root and a new deployment."""

from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec

from .changes import diff_bases, diff_items, index_by_name
from .chunks import (
    decode_base,
    decode_servers,
    decode_workspaces,
    digest_of,
    pack_chunk,
    split_deployment,
)
from .config import BackendServer, Deployment, Workspace
from .root import (
    CHANGES_PREFIX,
    RECENT_ENTRIES,
    AuditEntry,
    Change,
    ChunkRef,
    RetiredChunk,
    Root,
)
from .types import ServerId, SettingsVersion

MAX_ENTRY_CHANGES = 20
MAX_ENTRY_VALUE_LENGTH = 400
MAX_DETAIL_CHANGES = 2_000


class Draft(msgspec.Struct, frozen=True):
    """Store the chunk references of the next root; `new_chunks` are uncompressed."""

    version: SettingsVersion
    base: ChunkRef
    servers: tuple[ChunkRef, ...]
    workspaces: tuple[ChunkRef, ...]
    drained: tuple[ServerId, ...] = ()
    new_chunks: dict[ChunkRef, bytes] = {}

    @property
    def refs(self) -> tuple[ChunkRef, ...]:
        """Return the references to all chunks of the next root."""
        return (self.base, *self.servers, *self.workspaces)

    @property
    def packed_chunks(self) -> dict[ChunkRef, bytes]:
        """Compress the new chunks."""
        return {ref: pack_chunk(raw) for ref, raw in self.new_chunks.items()}

    def is_empty(self, root: Root | None) -> bool:
        """Return whether the current root already has the same content."""
        if root is None:
            return False
        return (self.refs, self.drained) == (root.refs, root.drained)

    def dropped_refs(self, root: Root | None) -> tuple[ChunkRef, ...]:
        """Return the chunks of the current root that this draft drops."""
        if root is None:
            return ()
        kept = set(self.refs)
        return tuple(ref for ref in dict.fromkeys(root.refs) if ref not in kept)

    def to_root(
        self,
        root: Root | None,
        changes: tuple[Change, ...],
        *,
        who: str,
        when: str,
        nonce: str,
        retained_versions: int,
    ) -> tuple[Root, bytes | None]:
        """Build the next root, and a details object if its entry is incomplete."""
        shortened = tuple(_shorten(change) for change in changes[:MAX_ENTRY_CHANGES])
        complete = shortened == changes
        details = None if complete else f"{CHANGES_PREFIX}{self.version:012d}-{nonce}"
        entry = AuditEntry(
            version=self.version,
            previous=SettingsVersion(self.version - 1),
            who=who,
            when=when,
            nonce=nonce,
            changes=shortened,
            omitted=len(changes) - len(shortened),
            details=details or "",
        )
        retired = (
            *(root.retired if root else ()),
            *(RetiredChunk(ref, self.version) for ref in self.dropped_refs(root)),
        )
        oldest = self.version - retained_versions
        next_root = Root(
            version=self.version,
            nonce=nonce,
            base=self.base,
            servers=self.servers,
            workspaces=self.workspaces,
            drained=self.drained,
            recent=(*(root.recent if root else ()), entry)[-RECENT_ENTRIES:],
            retired=tuple(item for item in retired if item.version > oldest),
        )
        if complete:
            return next_root, None
        return next_root, msgspec.msgpack.encode(changes[:MAX_DETAIL_CHANGES])


def draft_deployment(root: Root | None, deployment: Deployment) -> Draft:
    """Draft the root of a deployment; drains set by operators are preserved."""
    version = SettingsVersion(root.version + 1 if root else 1)
    existing_refs = {ref.digest: ref for ref in root.refs} if root else {}
    new_chunks: dict[ChunkRef, bytes] = {}

    def reference_chunk(chunk: bytes) -> ChunkRef:
        digest = digest_of(chunk)
        if digest in existing_refs:
            return existing_refs[digest]
        ref = ChunkRef(digest, version)
        new_chunks[ref] = chunk
        return ref

    chunks = split_deployment(deployment)
    drained = root.drained if root else ()
    return Draft(
        version=version,
        base=reference_chunk(chunks.base),
        servers=tuple(reference_chunk(chunk) for chunk in chunks.servers),
        workspaces=tuple(reference_chunk(chunk) for chunk in chunks.workspaces),
        drained=tuple(name for name in drained if name in deployment.servers),
        new_chunks=new_chunks,
    )


def draft_drained(root: Root, servers: Iterable[ServerId], *, drained: bool) -> Draft:
    """Draft a root that differs only in its drained servers."""
    names = set(servers)
    wanted = {*root.drained, *names} if drained else {*root.drained} - names
    return Draft(
        version=SettingsVersion(root.version + 1),
        base=root.base,
        servers=root.servers,
        workspaces=root.workspaces,
        drained=tuple(sorted(wanted)),
    )


def compare(
    root: Root | None, old: Mapping[ChunkRef, bytes], draft: Draft
) -> Iterator[Change]:
    """List the changes from the current root, whose dropped chunks are in `old`."""
    if draft.base in draft.new_chunks:
        before = decode_base(old[root.base]) if root else None
        yield from diff_bases(before, decode_base(draft.new_chunks[draft.base]))
    for kind, decode in (("server", decode_servers), ("workspace", decode_workspaces)):
        field = f"{kind}s"
        refs = getattr(root, field) if root else ()
        kept = set(getattr(draft, field))
        dropped = [ref for ref in dict.fromkeys(refs) if ref not in kept]
        added = [
            ref
            for ref in dict.fromkeys(getattr(draft, field))
            if ref in draft.new_chunks
        ]
        yield from diff_items(
            kind,
            _index(decode, [old[ref] for ref in dropped]),
            _index(decode, [draft.new_chunks[ref] for ref in added]),
        )
    drained = root.drained if root else ()
    for name in sorted({*drained} ^ {*draft.drained}):
        old_value, new_value = str(name in drained), str(name in draft.drained)
        yield Change(f"server {name}", "drained", old_value.lower(), new_value.lower())


def _index(
    decode: Callable[[bytes], tuple[BackendServer, ...] | tuple[Workspace, ...]],
    chunks: list[bytes],
) -> dict[str, msgspec.Struct]:
    items: dict[str, msgspec.Struct] = {}
    for chunk in chunks:
        items.update(index_by_name(decode(chunk)))
    return items


def _shorten(change: Change) -> Change:
    return msgspec.structs.replace(
        change,
        before=_truncate(change.before),
        after=_truncate(change.after),
    )


def _truncate(text: str) -> str:
    limit = MAX_ENTRY_VALUE_LENGTH
    return text if len(text) <= limit else text[:limit] + "..."
