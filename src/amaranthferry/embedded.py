"""Run entry hosts and stand-ins in one process on the loopback interface."""

import asyncio
import os
import random
import socket
import uuid
from contextlib import AsyncExitStack
from datetime import UTC, datetime
from types import TracebackType
from typing import Self

import msgspec
from returns.result import Result

from .application import Application
from .arrivals import Workload
from .callers import hash_key
from .config import (
    BackendServer,
    Deployment,
    HostConfig,
    Limits,
    Pool,
    Service,
    Tier,
    WorkClass,
    Workspace,
)
from .exceptions import AmaranthferryError
from .objects import HttpObjectStore
from .publish import ApplyResult, Author, apply
from .standins.engine import EngineStandIn
from .standins.ledger import LedgerStandIn
from .standins.objects import ObjectStandIn
from .standins.serving import serve
from .types import (
    ClassId,
    HostId,
    ModelId,
    PoolId,
    PoolKind,
    ServerId,
    ServiceId,
    SettingsVersion,
    WorkspaceId,
    ZoneId,
)

MODEL = ModelId("contract-model")
ENGINES = PoolId("engines")
LEDGERS = PoolId("ledgers")
LEDGER = ServiceId("ledger")
READ_CLASS = ClassId("ledger-lookup")
WRITE_CLASS = ClassId("ledger-entry")
ZONES = (ZoneId("zone-a"), ZoneId("zone-b"), ZoneId("zone-c"))
HOST_COUNT = 3
OPERATOR_KEY = "operator-key-of-the-demo"
PEER_KEY = "peer-key-of-the-demo"
MAX_TIMEOUT_SECONDS = 40_000.0
START_TIMEOUT_SECONDS = 30.0
START_POLL_SECONDS = 0.02
#: Below the ephemeral ports that kernels use for outgoing connections.
LISTEN_PORTS = range(12_000, 32_000)
_assigned_ports: set[int] = set()


class EngineKind(msgspec.Struct, frozen=True):
    """Describe one kind of stand-in engine; rates per second, times in seconds."""

    name: str
    slots: int
    kv_tokens: int
    prefill_rate: float
    decode_interval: float


ENGINE_KINDS = (
    EngineKind("fast", 16, 200_000, 40_000.0, 0.004),
    EngineKind("fast", 16, 200_000, 40_000.0, 0.004),
    EngineKind("slow", 8, 100_000, 10_000.0, 0.016),
)


def api_key(workspace: WorkspaceId) -> str:
    """Return a workspace's API key in the demo."""
    return f"key-of-{workspace}"


def build_deployment(
    workload: Workload, engines: tuple[str, ...], ledger: str
) -> Deployment:
    """Build a workload's deployment with backend servers at these addresses."""
    ledger_server = BackendServer(
        name=ServerId("ledger-1"),
        pool=LEDGERS,
        zone=ZONES[0],
        address=ledger,
        slots=32,
    )
    servers = {ledger_server.name: ledger_server}
    for index, address in enumerate(engines):
        server = _engine_server(index, address)
        servers[server.name] = server
    return Deployment(
        name=f"demo-{workload.name}",
        tiers={k.tier: Tier(k.tier, k.tier_rank) for k in workload.kinds},
        classes=_classes(workload),
        workspaces=_workspaces(workload),
        pools={
            ENGINES: Pool(ENGINES, models=(MODEL,)),
            LEDGERS: Pool(LEDGERS, kind=PoolKind.SERVICE),
        },
        servers=servers,
        services={LEDGER: Service(LEDGER, LEDGERS, READ_CLASS, WRITE_CLASS)},
        operator_key_hashes=(hash_key(OPERATOR_KEY),),
        limits=Limits(idle_timeout=5.0),
    )


def _engine_server(index: int, address: str) -> BackendServer:
    kind = ENGINE_KINDS[index % len(ENGINE_KINDS)]
    return BackendServer(
        name=ServerId(f"engine-{index + 1}"),
        pool=ENGINES,
        zone=ZONES[index % len(ZONES)],
        address=address,
        kind=kind.name,
        slots=kind.slots,
        kv_tokens=kind.kv_tokens,
        prefill_rate=kind.prefill_rate,
        decode_interval=kind.decode_interval,
        models=(MODEL,),
    )


def _classes(workload: Workload) -> dict[ClassId, WorkClass]:
    classes = {
        kind.work_class: WorkClass(
            name=kind.work_class,
            rank=kind.class_rank,
            default_timeout=kind.timeout,
            max_timeout=MAX_TIMEOUT_SECONDS,
            bulk=kind.bulk,
            expected_output_tokens=sum(kind.output) // 2,
        )
        for kind in workload.kinds
    }
    lookup = WorkClass(name=READ_CLASS, expected_output_tokens=1)
    entry = WorkClass(
        name=WRITE_CLASS,
        never_repeated=True,
        cancel_when_caller_gone=False,
        expected_output_tokens=1,
    )
    return {**classes, lookup.name: lookup, entry.name: entry}


def _workspaces(workload: Workload) -> dict[WorkspaceId, Workspace]:
    return {
        kind.workspace: Workspace(
            name=kind.workspace,
            tier=kind.tier,
            classes=(kind.work_class, READ_CLASS, WRITE_CLASS),
            default_class=kind.work_class,
            key_hashes=(hash_key(api_key(kind.workspace)),),
        )
        for kind in workload.kinds
    }


def free_address() -> str:
    """Return a loopback address whose port is free for TCP and UDP.

    Each process uses its own IP address, since another process could bind the port
    between this check and its use. No address is returned twice.
    """
    process = os.getpid()
    ip = f"127.{1 + process % 250}.{1 + process // 250 % 250}.1"
    while True:
        port = random.choice(LISTEN_PORTS)
        if port not in _assigned_ports and _is_free(ip, port):
            _assigned_ports.add(port)
            return f"{ip}:{port}"


def _is_free(ip: str, port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(type=kind) as probe:
                probe.bind((ip, port))
    except OSError:
        return False
    return True


class EmbeddedSystem:
    """Run the stand-ins and the entry hosts of one process."""

    def __init__(
        self,
        workload: Workload,
        *,
        hosts: int = HOST_COUNT,
        port: int = 0,
        application: type[Application] = Application,
    ) -> None:
        self.workload = workload
        self.platform = ObjectStandIn()
        self.engines = [_engine_stand_in(index) for index in range(len(ENGINE_KINDS))]
        self.ledger = LedgerStandIn()
        self.hosts: list[Application] = []
        self._host_count = hosts
        self._port = port
        self._application = application
        self._stack = AsyncExitStack()
        self.platform_url = ""

    async def __aenter__(self) -> Self:
        """Start all stand-ins and entry hosts, and wait until they are ready."""
        enter = self._stack.enter_async_context
        self.platform_url = await enter(serve(self.platform.app))
        engines = [await enter(serve(engine.app)) for engine in self.engines]
        ledger = await enter(serve(self.ledger.app))
        deployment = build_deployment(
            self.workload, tuple(map(_address, engines)), _address(ledger)
        )
        (await self.publish(deployment)).unwrap()
        addresses = [free_address() for _ in range(self._host_count)]
        for index, address in enumerate(addresses):
            await self._start_host(index, address, seeds=tuple(addresses[:1]))
        await self._wait_until_ready()
        return self

    async def publish(
        self,
        deployment: Deployment,
        *,
        who: str = "demo",
        expected: SettingsVersion | None = None,
    ) -> Result[ApplyResult, AmaranthferryError]:
        """Apply settings through the platform, as an operator does."""
        author = Author(
            who=who,
            when=datetime.now(UTC).isoformat(timespec="seconds"),
            nonce=uuid.uuid4().hex,
        )
        store = HttpObjectStore(self.platform_url)
        await store.start()
        try:
            return await apply(store, deployment, author, expected=expected)
        finally:
            await store.stop()

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not all(self._is_ready(app) for app in self.hosts):
                await asyncio.sleep(START_POLL_SECONDS)

    def _is_ready(self, app: Application) -> bool:
        return app.is_ready and len(app.state.hosts) == self._host_count

    async def _start_host(
        self, index: int, address: str, *, seeds: tuple[str, ...]
    ) -> None:
        port = self._port + index if self._port else 0
        cfg = HostConfig(
            host=HostId(f"host-{index + 1}"),
            zone=ZONES[index % len(ZONES)],
            http_address=f"127.0.0.1:{port}",
            peer_address=address,
            platform_url=self.platform_url,
            peer_key=PEER_KEY,
            seeds=seeds,
        )
        store = HttpObjectStore(self.platform_url)
        await store.start()
        self._stack.push_async_callback(store.stop)
        app = self._application.from_config(cfg, store)
        await app.start()
        self._stack.push_async_callback(app.stop)
        self.hosts.append(app)

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all entry hosts and stand-ins."""
        await self._stack.aclose()

    @property
    def base_urls(self) -> tuple[str, ...]:
        """Return the URLs at which callers reach the entry hosts."""
        return tuple(app.base_url for app in self.hosts)

    @property
    def api_keys(self) -> dict[str, str]:
        """Return the API key of each workspace."""
        names = (kind.workspace for kind in self.workload.kinds)
        return {name: api_key(name) for name in names}


def _engine_stand_in(index: int) -> EngineStandIn:
    kind = ENGINE_KINDS[index % len(ENGINE_KINDS)]
    return EngineStandIn(
        f"engine-{index + 1}",
        models=(MODEL,),
        slots=kind.slots,
        kv_tokens=kind.kv_tokens,
        prefill_rate=kind.prefill_rate,
        decode_interval=kind.decode_interval,
    )


def _address(url: str) -> str:
    return url.removeprefix("http://")
