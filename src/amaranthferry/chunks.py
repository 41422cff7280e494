"""Split a deployment into content-addressed chunks and reassemble it."""

import hashlib
import sys
import zlib
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Generic, Protocol, TypeVar, cast

import msgspec
import xxhash

from .config import (
    MEBIBYTE,
    BackendServer,
    Deployment,
    Limits,
    Pool,
    Service,
    Tier,
    WorkClass,
    Workspace,
)
from .exceptions import DECODE_ERRORS, SettingsError
from .root import ChunkRef, Root
from .types import ClassId, PoolId, ServerId, ServiceId, TierId, WorkspaceId

ITEMS_PER_BUCKET = 128
MAX_CHUNK_BYTES = 1_000_000
MAX_RAW_CHUNK_BYTES = 8 * MEBIBYTE
_COMPRESSION_LEVEL = 6


class BaseChunk(msgspec.Struct, frozen=True):
    """Store the parts of a deployment that don't grow with servers and workspaces."""

    name: str
    tiers: dict[TierId, Tier]
    classes: dict[ClassId, WorkClass]
    pools: dict[PoolId, Pool]
    services: dict[ServiceId, Service]
    operator_key_hashes: tuple[str, ...]
    drained: tuple[ServerId, ...]
    limits: Limits


class DeploymentChunks(msgspec.Struct, frozen=True):
    """Store a deployment's uncompressed chunks; buckets are ordered by index."""

    base: bytes
    servers: tuple[bytes, ...]
    workspaces: tuple[bytes, ...]


class _Named(Protocol):
    """Define an item that has a name."""

    @property
    def name(self) -> str:
        """Return the item's name."""


Item = TypeVar("Item", bound=_Named)
Decoded = TypeVar("Decoded")

# Sorted keys encode equal settings as equal bytes, and so with equal digests.
_encoder = msgspec.msgpack.Encoder(order="sorted")
_base_decoder = msgspec.msgpack.Decoder(BaseChunk)
_servers_decoder = msgspec.msgpack.Decoder(tuple[BackendServer, ...])
_workspaces_decoder = msgspec.msgpack.Decoder(tuple[Workspace, ...])


def bucket_count(items: int) -> int:
    """Return the smallest power of two of at least `items` / `ITEMS_PER_BUCKET`."""
    count = 1
    while count * ITEMS_PER_BUCKET < items:
        count *= 2
    return count


def bucket_of(name: str, count: int) -> int:
    """Return the index of a name's bucket."""
    return xxhash.xxh64_intdigest(name.encode()) % count


def split_deployment(deployment: Deployment) -> DeploymentChunks:
    """Encode a deployment as raw chunks."""
    base = BaseChunk(
        name=deployment.name,
        tiers=deployment.tiers,
        classes=deployment.classes,
        pools=deployment.pools,
        services=deployment.services,
        operator_key_hashes=deployment.operator_key_hashes,
        drained=deployment.drained,
        limits=deployment.limits,
    )
    return DeploymentChunks(
        base=_encoder.encode(base),
        servers=_encode_buckets(deployment.servers.values(), len(deployment.servers)),
        workspaces=_encode_buckets(
            deployment.workspaces.values(), len(deployment.workspaces)
        ),
    )


def digest_of(raw: bytes) -> bytes:
    """Return the SHA-256 digest that addresses a raw chunk."""
    return hashlib.sha256(raw).digest()


def pack_chunk(raw: bytes) -> bytes:
    """Compress a raw chunk; raise SettingsError if it exceeds a size limit."""
    value = zlib.compress(raw, _COMPRESSION_LEVEL)
    if len(value) > MAX_CHUNK_BYTES or len(raw) > MAX_RAW_CHUNK_BYTES:
        raise SettingsError(
            f"A settings chunk has {len(value)} bytes compressed and {len(raw)} raw, "
            f"over {MAX_CHUNK_BYTES} or {MAX_RAW_CHUNK_BYTES}.",
            remedy="Shorten lists of key hashes, models, pools or classes.",
        )
    return value


def unpack_chunk(value: bytes, digest: bytes) -> bytes:
    """Decompress a chunk; raise SettingsError if it does not match its digest."""
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(value, MAX_RAW_CHUNK_BYTES)
    except zlib.error:
        raw = b""
    complete = decompressor.eof and not decompressor.unused_data
    if not complete or digest_of(raw) != digest:
        raise SettingsError(
            f"A settings chunk does not match its digest {digest.hex()[:12]}.",
            remedy="It is fetched from another host; check the one that sent it.",
        )
    return raw


def decode_base(raw: bytes) -> BaseChunk:
    """Decode the base chunk."""
    return _decode(_base_decoder, raw)


def decode_servers(raw: bytes) -> tuple[BackendServer, ...]:
    """Decode a bucket of backend servers."""
    return _decode(_servers_decoder, raw)


def decode_workspaces(raw: bytes) -> tuple[Workspace, ...]:
    """Decode a bucket of workspaces; equal strings and tuples share one object."""
    shared: dict[tuple[ClassId, ...], tuple[ClassId, ...]] = {}
    return tuple(
        Workspace(
            name=item.name,
            tier=TierId(sys.intern(item.tier)),
            classes=shared.setdefault(item.classes, _intern_all(item.classes)),
            default_class=ClassId(sys.intern(item.default_class)),
            key_hashes=item.key_hashes,
            weight=item.weight,
        )
        for item in _decode(_workspaces_decoder, raw)
    )


class _ItemCache(Generic[Item]):
    """Cache decoded items, and decode only the chunks that a new root changes."""

    def __init__(self, decode: Callable[[bytes], tuple[Item, ...]]) -> None:
        self.decode = decode
        self.items: dict[str, Item] = {}
        self._chunks: dict[bytes, tuple[Item, ...]] = {}

    def refresh(
        self, refs: Iterable[ChunkRef], chunks: Mapping[bytes, bytes]
    ) -> tuple[dict[str, Item], int]:
        """Return the items of the chunks, and how many were decoded."""
        wanted = {ref.digest for ref in refs}
        added = {
            digest: self.decode(unpack_chunk(chunks[digest], digest))
            for digest in wanted - self._chunks.keys()
        }
        kept = {d: items for d, items in self._chunks.items() if d in wanted}
        # Earlier deployments share the current dictionary, so only a copy is changed.
        items = self.items.copy()
        for digest in self._chunks.keys() - wanted:
            for item in self._chunks[digest]:
                del items[item.name]
        for chunk in added.values():
            items.update((item.name, item) for item in chunk)
        self.items, self._chunks = items, kept | added
        return items, len(added)


class Assembler:
    """Build deployments from chunks, decoding only those that changed."""

    def __init__(self) -> None:
        self._servers = _ItemCache(decode_servers)
        self._workspaces = _ItemCache(decode_workspaces)
        self._base: tuple[bytes, BaseChunk] | None = None
        self.decoded_chunks = 0

    def assemble(self, root: Root, chunks: Mapping[bytes, bytes]) -> Deployment:
        """Build the root's deployment from compressed chunks, keyed by digest."""
        base = self._refresh_base(root.base.digest, chunks)
        servers, new_servers = self._servers.refresh(root.servers, chunks)
        workspaces, new_workspaces = self._workspaces.refresh(root.workspaces, chunks)
        self.decoded_chunks += new_servers + new_workspaces
        return Deployment(
            name=base.name,
            version=root.version,
            tiers=base.tiers,
            classes=base.classes,
            pools=base.pools,
            services=base.services,
            operator_key_hashes=base.operator_key_hashes,
            limits=base.limits,
            drained=tuple(sorted({*base.drained, *root.drained})),
            servers=cast(dict[ServerId, BackendServer], servers),
            workspaces=cast(dict[WorkspaceId, Workspace], workspaces),
        )

    def _refresh_base(self, digest: bytes, chunks: Mapping[bytes, bytes]) -> BaseChunk:
        if self._base is None or self._base[0] != digest:
            self._base = digest, decode_base(unpack_chunk(chunks[digest], digest))
            self.decoded_chunks += 1
        return self._base[1]


def _encode_buckets(items: Iterable[_Named], count: int) -> tuple[bytes, ...]:
    buckets: dict[int, list[_Named]] = defaultdict(list)
    size = bucket_count(count)
    for item in items:
        buckets[bucket_of(item.name, size)].append(item)
    return tuple(
        _encoder.encode(sorted(buckets[index], key=lambda item: item.name))
        for index in range(size)
    )


def _intern_all(names: tuple[ClassId, ...]) -> tuple[ClassId, ...]:
    return tuple(ClassId(sys.intern(name)) for name in names)


def _decode(decoder: msgspec.msgpack.Decoder[Decoded], raw: bytes) -> Decoded:
    try:
        return decoder.decode(raw)
    except DECODE_ERRORS as exc:
        raise SettingsError(
            f"A settings chunk can't be read: {exc}.",
            remedy="Run the release that the settings were applied with, or later.",
        ) from exc
