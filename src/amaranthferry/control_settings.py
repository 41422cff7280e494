"""Measure what it costs to publish, load and change settings."""

import time

import msgspec

from . import publish
from .chunks import Assembler
from .config import (
    BackendServer,
    Deployment,
    Pool,
    Tier,
    WorkClass,
    Workspace,
)
from .memory_objects import MemoryObjectStore
from .root import decode_root
from .slopes import MICROSECONDS_PER_SECOND, Series, state_bytes
from .types import (
    ClassId,
    PoolId,
    ServerId,
    TierId,
    WorkspaceId,
    ZoneId,
)

WORKSPACE_COUNTS = (3_000, 9_000, 18_000, 27_000)
SERVER_COUNT = 910
MODEL_COUNT = 26
KEYS_PER_WORKSPACE = 2
_ROLE = "settings"
_URGENT = ClassId("urgent")


class PublishCost(msgspec.Struct, frozen=True):
    """Represent the cost of publishing a deployment and one change to it."""

    stored_bytes: int
    root_bytes: int
    held_bytes: int
    load_microseconds: float
    change_writes: int
    change_bytes: int
    change_chunks: int
    change_microseconds: float


async def measure_settings() -> list[Series]:
    """Measure state, load time and the cost of one change by number of workspaces."""
    rows = [await publish_and_change(count) for count in WORKSPACE_COUNTS]

    def series(quantity: str, unit: str, values: list[float]) -> Series:
        return Series(
            _ROLE, quantity, unit, "workspace", WORKSPACE_COUNTS, tuple(values)
        )

    return [
        series("stored", "bytes", [r.stored_bytes for r in rows]),
        series("root", "bytes", [r.root_bytes for r in rows]),
        series("held by a host", "bytes", [r.held_bytes for r in rows]),
        series("processor time of a load", "us", [r.load_microseconds for r in rows]),
        series(
            "bytes written by a change of one", "bytes", [r.change_bytes for r in rows]
        ),
        series("writes of a change of one", "calls", [r.change_writes for r in rows]),
        series(
            "chunks decoded after a change of one",
            "chunks",
            [r.change_chunks for r in rows],
        ),
        series(
            "processor time of taking a change of one",
            "us",
            [r.change_microseconds for r in rows],
        ),
    ]


def large_deployment(workspaces: int) -> Deployment:
    """Return a deployment with all counts at their maximum except that of workspaces."""
    names = [WorkspaceId(f"workspace-{index:05d}") for index in range(workspaces)]
    servers = [ServerId(f"engine-{index:04d}") for index in range(SERVER_COUNT)]
    pools = [PoolId(f"model-{index:02d}") for index in range(MODEL_COUNT)]
    tiers = [TierId(f"tier-{index}") for index in range(3)]
    return Deployment(
        "bench",
        tiers={name: Tier(name, rank) for rank, name in enumerate(tiers)},
        classes={_URGENT: WorkClass(_URGENT)},
        workspaces={
            name: Workspace(
                name, tiers[index % 3], (_URGENT,), _URGENT, _key_hashes(index), 1.0
            )
            for index, name in enumerate(names)
        },
        pools={name: Pool(name) for name in pools},
        servers={
            name: BackendServer(
                name,
                pools[index % MODEL_COUNT],
                ZoneId(f"zone-{index % 7}"),
                f"10.1.{index // 250}.{index % 250}:8000",
            )
            for index, name in enumerate(servers)
        },
    )


def _key_hashes(index: int) -> tuple[str, ...]:
    return tuple(
        f"{index * KEYS_PER_WORKSPACE + n:064x}" for n in range(KEYS_PER_WORKSPACE)
    )


async def publish_and_change(count: int) -> PublishCost:
    """Measure publishing a deployment of `count` workspaces and changing one of them."""
    store = MemoryObjectStore()
    deployment = large_deployment(count)
    await _apply(store, deployment, "first")
    stored = sum(len(item.value) for item in store.objects.values())
    assembler = Assembler()
    start = time.process_time()
    held, _ = state_bytes(lambda: _load(store, assembler))
    # tracemalloc slows the load down, so a second load is timed without it.
    start = time.process_time()
    _load(store, Assembler())
    load = (time.process_time() - start) * MICROSECONDS_PER_SECOND
    before, decoded = dict(store.objects), assembler.decoded_chunks
    await _apply(store, _change_weight(deployment), "second")
    written = [
        item for key, item in store.objects.items() if before.get(key) is not item
    ]
    start = time.process_time()
    _load(store, assembler)
    return PublishCost(
        stored_bytes=stored,
        root_bytes=len(before[publish.ROOT_KEY].value),
        held_bytes=held,
        load_microseconds=load,
        change_writes=len(written),
        change_bytes=sum(len(item.value) for item in written),
        change_chunks=assembler.decoded_chunks - decoded,
        change_microseconds=(time.process_time() - start) * MICROSECONDS_PER_SECOND,
    )


def _change_weight(deployment: Deployment) -> Deployment:
    name = next(iter(deployment.workspaces))
    changed = msgspec.structs.replace(deployment.workspaces[name], weight=2.0)
    return msgspec.structs.replace(
        deployment, workspaces={**deployment.workspaces, name: changed}
    )


async def _apply(store: MemoryObjectStore, deployment: Deployment, nonce: str) -> None:
    author = publish.Author("bench", "2000-01-01T00:00:00Z", nonce)
    result = await publish.apply(store, deployment, author)
    result.unwrap()


def _load(store: MemoryObjectStore, assembler: Assembler) -> Deployment:
    root = decode_root(store.objects[publish.ROOT_KEY].value)
    chunks = {ref.digest: store.objects[ref.key].value for ref in root.refs}
    return assembler.assemble(root, chunks)
