"""Measure the cost of settings, and their propagation over loopback connections.

Run `python -m amaranthferry.settings_bench size --workspaces 27000` or
`python -m amaranthferry.settings_bench spread --hosts 19`.
"""

import asyncio
import gc
import hashlib
import logging
import tempfile
import time
import tracemalloc
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager
from pathlib import Path

import msgspec
import structlog
import typer

from . import publish
from .chunks import Assembler, pack_chunk, split_deployment
from .config import Deployment, HostConfig
from .follower import SettingsFollower
from .messages import Message
from .objects import HttpObjectStore, MemoryObjectStore
from .peers import PeerNetwork
from .publish import Author
from .root import ROOT_KEY, decode_root
from .standins.objects import ObjectStandIn
from .standins.serving import serve
from .tree import compile_tree
from .types import HostId, Seconds, WorkspaceId, ZoneId

app = typer.Typer(help="Measure settings.", no_args_is_help=True)

_SETTINGS_INI = """\
[tier urgent]
rank = 0
[tier standard]
rank = 1
[tier background]
rank = 2
[class question]
default_timeout = 10s
[class lookup]
rank = 1
[class review]
rank = 2
bulk = yes
[pool models]
models = large, small
"""
_TIERS = ("urgent", "standard", "background")


class SizeReport(msgspec.Struct):
    """Represent the cost of settings of one size; times in seconds, sizes in bytes."""

    workspaces: int
    servers: int
    tree_bytes: int = 0
    compile_seconds: float = 0.0
    split_seconds: float = 0.0
    chunk_count: int = 0
    chunk_bytes: int = 0
    largest_chunk_bytes: int = 0
    root_bytes: int = 0
    held_bytes: int = 0
    first_load_seconds: float = 0.0
    change_apply_seconds: float = 0.0
    change_calls: int = 0
    change_chunk_bytes: int = 0
    change_reload_seconds: float = 0.0
    change_decoded_chunks: int = 0


class SpreadReport(msgspec.Struct):
    """Represent the propagation of changes, in seconds after each was accepted."""

    hosts: int
    workspaces: int
    first_seconds: list[float]
    median_seconds: list[float]
    last_seconds: list[float]
    platform_calls_per_change: float
    idle_platform_calls_per_second: float


def write_tree(root: Path, *, workspaces: int, servers: int) -> int:
    """Write a tree of generated settings and return its size in bytes."""
    leaf = root / "deployment"
    leaf.mkdir(parents=True)
    texts = {
        root / "settings.ini": _SETTINGS_INI,
        leaf / "servers.ini": "".join(_server(index) for index in range(servers)),
        leaf / "workspaces.ini": "".join(_workspace(i) for i in range(workspaces)),
    }
    for path, text in texts.items():
        path.write_text(text)
    return sum(len(text) for text in texts.values())


@app.command()
def size(workspaces: int = 27_000, servers: int = 910) -> None:
    """Measure check, apply, first load and the reload of one change."""
    report = asyncio.run(_measure_size(workspaces, servers))
    typer.echo(msgspec.json.format(msgspec.json.encode(report)).decode())


@app.command()
def spread(
    hosts: int = 19, workspaces: int = 5, changes: int = 10, idle: float = 10.0
) -> None:
    """Measure how long a change takes to be applied on all hosts."""
    report = asyncio.run(_measure_spread(hosts, workspaces, changes, idle))
    typer.echo(msgspec.json.format(msgspec.json.encode(report)).decode())


async def _measure_size(workspaces: int, servers: int) -> SizeReport:
    report = SizeReport(workspaces, servers)
    with tempfile.TemporaryDirectory() as name:
        root = Path(name) / "tree"
        report.tree_bytes = write_tree(root, workspaces=workspaces, servers=servers)
        with _timed(report, "compile_seconds"):
            deployment = compile_tree(root).unwrap()
    with _timed(report, "split_seconds"):
        chunks = split_deployment(deployment)
        raw = (chunks.base, *chunks.servers, *chunks.workspaces)
        sizes = [len(pack_chunk(chunk)) for chunk in raw]
    report.chunk_count, report.chunk_bytes = len(sizes), sum(sizes)
    report.largest_chunk_bytes = max(sizes)
    del chunks, raw
    store = MemoryObjectStore()
    (await publish.apply(store, deployment, _author(1))).unwrap()
    report.root_bytes = len(store.objects[ROOT_KEY].value)
    changed = _change_weight(deployment, 2)
    del deployment
    await _measure_host(report, store, changed)
    return report


async def _measure_host(
    report: SizeReport, store: MemoryObjectStore, changed: Deployment
) -> None:
    report.held_bytes = _measure_held(store)
    assembler = Assembler()
    with _timed(report, "first_load_seconds"):
        deployment = _load(assembler, store)
    store.calls = dict.fromkeys(store.calls, 0)
    previous_keys = set(store.objects)
    with _timed(report, "change_apply_seconds"):
        (await publish.apply(store, changed, _author(2))).unwrap()
    report.change_calls = sum(store.calls.values())
    report.change_chunk_bytes = sum(
        len(stored.value)
        for key, stored in store.objects.items()
        if key not in previous_keys and "/chunks/" in key
    )
    decoded = assembler.decoded_chunks
    with _timed(report, "change_reload_seconds"):
        deployment = _load(assembler, store)
    report.change_decoded_chunks = assembler.decoded_chunks - decoded
    if deployment.workspaces != changed.workspaces:
        raise AssertionError("The reloaded settings differ from the applied ones.")


def _load(assembler: Assembler, store: MemoryObjectStore) -> Deployment:
    root = decode_root(store.objects[ROOT_KEY].value)
    chunks = {ref.digest: store.objects[ref.key].value for ref in root.refs}
    return assembler.assemble(root, chunks)


class _Host:
    """Run one follower with its own platform client and peer connections."""

    def __init__(self, index: int, url: str) -> None:
        address = "127.0.0.1:0"
        name = HostId(f"h{index:03d}")
        zone = ZoneId("z")
        self.cfg = HostConfig(name, zone, address, address, url, "key", (address,))
        self.store = HttpObjectStore(url)
        self.peers = PeerNetwork(self.cfg, on_message=self._receive)
        self.applied_at: dict[int, Seconds] = {}
        self.changed = asyncio.Event()
        self.follower = SettingsFollower(
            self.store,
            self.cfg,
            on_deployment=self._record_applied,
            send=self.peers.send,
        )

    async def start(self, stack: AsyncExitStack) -> None:
        """Open the platform client and listen for peers."""
        await stack.enter_async_context(self.store)
        await self.peers.start()
        stack.push_async_callback(self.peers.stop)

    async def wait_for_version(self, version: int) -> None:
        """Wait until a version is applied."""
        while version not in self.applied_at:
            self.changed.clear()
            await self.changed.wait()

    def _receive(self, sender: HostId, message: Message) -> None:
        self.follower.receive(sender, message)

    def _record_applied(self, deployment: Deployment) -> None:
        self.applied_at[deployment.version] = time.monotonic()
        self.changed.set()


async def _measure_spread(
    count: int, workspaces: int, changes: int, idle: float
) -> SpreadReport:
    report = SpreadReport(count, workspaces, [], [], [], 0.0, 0.0)
    with tempfile.TemporaryDirectory() as name:
        write_tree(Path(name) / "tree", workspaces=workspaces, servers=9)
        deployment = compile_tree(Path(name) / "tree").unwrap()
    standin = ObjectStandIn()
    async with AsyncExitStack() as stack:
        url = await stack.enter_async_context(serve(standin.app))
        operator = await stack.enter_async_context(HttpObjectStore(url))
        (await publish.apply(operator, deployment, _author(1))).unwrap()
        hosts = [_Host(index, url) for index in range(count)]
        await _start_all(hosts, stack)
        await _wait_for_all(hosts, 1)
        calls = standin.store.calls
        started, before = time.monotonic(), sum(calls.values())
        await asyncio.sleep(idle)
        new_calls = sum(calls.values()) - before
        report.idle_platform_calls_per_second = new_calls / (time.monotonic() - started)
        before = sum(calls.values())
        started = time.monotonic()
        for version in range(2, changes + 2):
            changed = _change_weight(deployment, version)
            (await publish.apply(operator, changed, _author(version))).unwrap()
            _record_delays(report, await _wait_for_all(hosts, version))
        elapsed = time.monotonic() - started
        idle_calls = report.idle_platform_calls_per_second * elapsed
        new_calls = sum(calls.values()) - before
        report.platform_calls_per_change = (new_calls - idle_calls) / changes
        await asyncio.gather(*(host.follower.stop() for host in hosts))
    return report


async def _start_all(hosts: list[_Host], stack: AsyncExitStack) -> None:
    for host in hosts:
        await host.start(stack)
    addresses = {host.cfg.host: host.peers.address for host in hosts}
    for host in hosts:
        host.peers.set_addresses(addresses)
        await host.follower.start()
        host.follower.set_peers(dict.fromkeys(addresses, publish.NO_VERSION))


async def _wait_for_all(hosts: list[_Host], version: int) -> list[Seconds]:
    accepted_at = time.monotonic()
    for host in hosts:
        await host.wait_for_version(version)
    return [host.applied_at[version] - accepted_at for host in hosts]


def _record_delays(report: SpreadReport, delays: list[Seconds]) -> None:
    ordered = sorted(max(0.0, delay) for delay in delays)
    report.first_seconds.append(round(ordered[0], 4))
    report.median_seconds.append(round(ordered[len(ordered) // 2], 4))
    report.last_seconds.append(round(ordered[-1], 4))


@contextmanager
def _timed(report: SizeReport, field: str) -> Iterator[None]:
    started = time.perf_counter()
    yield
    setattr(report, field, round(time.perf_counter() - started, 4))


def _measure_held(store: MemoryObjectStore) -> int:
    """Return the bytes in a host's memory: packed chunks and decoded settings."""
    tracemalloc.start()
    assembler = Assembler()
    deployment = _load(assembler, store)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    root = decode_root(store.objects[ROOT_KEY].value)
    packed = sum(len(store.objects[ref.key].value) for ref in set(root.refs))
    return held + packed if deployment else 0


def _change_weight(deployment: Deployment, version: int) -> Deployment:
    name = WorkspaceId("workspace-00001")
    workspace = msgspec.structs.replace(
        deployment.workspaces[name], weight=float(version)
    )
    workspaces = {**deployment.workspaces, name: workspace}
    return msgspec.structs.replace(deployment, workspaces=workspaces)


def _author(version: int) -> Author:
    return Author("bench", "2026-01-01T00:00:00+00:00", f"bench-{version}")


def _workspace(index: int) -> str:
    name = f"workspace-{index:05d}"
    digest = hashlib.sha256(name.encode()).hexdigest()
    return (
        f"[workspace {name}]\ntier = {_TIERS[index % 3]}\n"
        "classes = question, lookup, review\ndefault_class = question\n"
        f"key_hashes = {digest}\n"
    )


def _server(index: int) -> str:
    return (
        f"[server e{index}]\npool = models\nzone = z{index % 7}\n"
        f"address = 10.0.{index // 250}.{index % 250 + 1}:8000\n"
        "models = large, small\n"
    )


if __name__ == "__main__":
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    app()
