import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthferry import publish
from amaranthferry.chunks import (
    ITEMS_PER_BUCKET,
    Assembler,
    bucket_count,
    digest_of,
    pack_chunk,
    split_deployment,
    unpack_chunk,
)
from amaranthferry.events import PeerReceived
from amaranthferry.exceptions import SettingsError
from amaranthferry.follower_events import PeersSeen
from amaranthferry.follower_reducer import reduce
from amaranthferry.follower_state import Follower
from amaranthferry.objects import MemoryObjectStore
from amaranthferry.root import (
    ROOT_KEY,
    AuditEntry,
    ChunkRef,
    Root,
    decode_root,
    encode_root,
)
from amaranthferry.settings_messages import (
    SettingsChunk,
    SettingsChunkRequest,
    SettingsRoot,
)

from .settings_fakes import author, deployment_of, with_weight

REF = ChunkRef(digest_of(b"raw"), 1)
ENTRY = AuditEntry(version=1, previous=0, who="a", when="w", nonce="n")
ROOT_VALUE = encode_root(Root(1, "n", REF, (REF,), (REF, REF), (), (ENTRY,)))


@pytest.mark.parametrize(
    ("items", "count"), [(0, 1), (128, 1), (129, 2), (910, 8), (27_000, 256)]
)
def test_buckets_grow_with_the_items(items, count):
    assert bucket_count(items) == count
    assert items <= count * ITEMS_PER_BUCKET


def test_equal_settings_are_equal_bytes():
    deployment = deployment_of(300)
    names = list(deployment.workspaces)
    random.Random(1).shuffle(names)
    shuffled = {name: deployment.workspaces[name] for name in names}
    other = msgspec.structs.replace(deployment, workspaces=shuffled)
    assert split_deployment(other) == split_deployment(deployment)


@pytest.mark.parametrize(
    "value", [b"", b"x", pack_chunk(b"other"), pack_chunk(b"raw")[:-1]]
)
def test_bytes_with_another_digest_are_rejected(value):
    with pytest.raises(SettingsError):
        unpack_chunk(value, digest_of(b"raw"))


def test_oversized_chunk_is_rejected_before_it_is_written():
    with pytest.raises(SettingsError, match="over 1000000 or 8388608"):
        pack_chunk(random.Random(1).randbytes(1_100_000))


@pytest.mark.parametrize("value", [b"", b"\xc1", b"\x80", b"\x93\x01\x02\x03"])
def test_malformed_root_raises_settings_error(value):
    with pytest.raises(SettingsError):
        decode_root(value)


@pytest.mark.parametrize(
    "fields",
    [
        {"base": ChunkRef(b"", 1)},
        {"workspaces": (REF, ChunkRef(b"short", 1))},
        {"version": 0},
        {"version": 2},
        {"recent": ()},
    ],
)
def test_inconsistent_root_is_rejected(fields):
    root = msgspec.structs.replace(decode_root(ROOT_VALUE), **fields)
    with pytest.raises(SettingsError):
        decode_root(encode_root(root))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(position=st.integers(0, 400), value=st.binary(max_size=3))
def test_altered_root_or_chunk_never_crashes_a_follower(position, value):
    """A peer sends an altered root, then altered chunks for each request."""
    good = ROOT_VALUE
    altered = good[:position] + value + good[position + len(value) :]
    follower = Follower("h1", now=0.0, expects_peers=True)
    reduce(follower, PeersSeen(now=0.1, versions={"h2": 9}))
    effects = reduce(
        follower, PeerReceived(now=0.2, sender="h2", message=SettingsRoot(altered))
    )
    for effect in effects:
        request = getattr(effect, "message", None)
        if isinstance(request, SettingsChunkRequest):
            answer = SettingsChunk(request.digest, value)
            reduce(follower, PeerReceived(now=0.3, sender="h2", message=answer))
    assert follower.version == 0


async def test_reassembly_applies_added_moved_and_removed_workspaces():
    """The sizes change the number of buckets, so that some steps replace all chunks."""
    store, assembler, earlier = MemoryObjectStore(), Assembler(), []
    steps = [deployment_of(n) for n in (5, 127, 129, 300, 2)]
    steps.append(with_weight(steps[-1], "workspace-00001", 4.0))
    for number, wanted in enumerate(steps):
        (await publish.apply(store, wanted, author(f"op{number}"))).unwrap()
        root = decode_root(store.objects[ROOT_KEY].value)
        chunks = {ref.digest: store.objects[ref.key].value for ref in root.refs}
        deployment = assembler.assemble(root, chunks)
        assert deployment.workspaces == wanted.workspaces
        earlier.append((deployment, wanted.workspaces))
    assert all(kept.workspaces == wanted for kept, wanted in earlier)
