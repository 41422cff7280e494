"""Reconcile engines with the declared placement of models."""

import asyncio
import secrets
from collections.abc import Callable

import aiohttp
import msgspec
import structlog

from .config import Deployment
from .effects import Effect
from .events import Event, SettingsApplied, Ticked
from .exceptions import DECODE_ERRORS, AnswerLost, StoreUnavailable, VersionConflict
from .objects import ObjectStore
from .order_plan import (
    ORDER_TIMEOUT,
    ElectionChanged,
    LeaseLost,
    LeaseRead,
    LeaseWritten,
    LoadBudget,
    OrderEnded,
    OrderPlan,
    Placement,
    PlacementRead,
    ReadLease,
    ReadPlacement,
    SendOrder,
    SetDrain,
    WriteLease,
)
from .order_reducer import reduce_orders
from .shards import choose_coordinator
from .supervision import keep_running
from .types import HostId, Seconds, ServerId, ShardId

LEASE_KEY = "orders/lease"
LEASE_SHARD = ShardId("orders/0")
TICK_INTERVAL: Seconds = 0.5
LEASE_CHECK_TIMEOUT: Seconds = 1.0
PLACEMENT_READ_TIMEOUT: Seconds = 2.0
DEFAULT_LOADS_PER_SECOND = 0.2

log = structlog.get_logger()


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """Represent the lease object; `process` distinguishes processes of one host."""

    host: HostId
    process: str
    write_number: int


class OrderReconciler:
    """Acquire the lease when elected, and order engines to their declared placement.

    `on_drain(server, draining)` must stop or restart new work for the server on
    every host. A stop is repeated every second and expires if it isn't, so that
    it doesn't outlast a failed lease holder. `loads_per_second` limits loads from
    the weight store.
    """

    def __init__(
        self,
        store: ObjectStore,
        host: HostId,
        deployment: Deployment,
        *,
        on_drain: Callable[[ServerId, bool], None],
        loads_per_second: float = DEFAULT_LOADS_PER_SECOND,
        clock: Callable[[], Seconds] | None = None,
    ) -> None:
        self.plan = OrderPlan(LoadBudget(loads_per_second))
        self._store = store
        self._host = host
        self._on_drain = on_drain
        self._clock = clock or asyncio.get_running_loop().time
        self._lease = Lease(host, secrets.token_hex(8), 0)
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.apply_settings(deployment)

    def apply_settings(self, deployment: Deployment) -> None:
        """Apply a newer deployment's declarations."""
        self._handle(SettingsApplied(now=self._clock(), deployment=deployment))

    def set_hosts(self, hosts: tuple[HostId, ...]) -> None:
        """Elect the lease holder from the live hosts."""
        elected = bool(hosts) and choose_coordinator(LEASE_SHARD, hosts) == self._host
        self._handle(ElectionChanged(now=self._clock(), elected=elected))

    async def start(self) -> None:
        """Start reconciling."""
        self._session = aiohttp.ClientSession()
        self._spawn(keep_running(self._tick))

    async def stop(self) -> None:
        """Stop sending orders, and abandon the answers to those in flight."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _tick(self) -> None:
        while True:
            self._handle(Ticked(now=self._clock()))
            await asyncio.sleep(TICK_INTERVAL)

    def _handle(self, event: Event) -> None:
        for effect in reduce_orders(event, self.plan):
            if isinstance(effect, SetDrain):
                self._on_drain(effect.server, effect.draining)
            else:
                self._spawn(self._perform(effect))

    def _spawn(self, coro) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _perform(self, effect: Effect) -> None:
        match effect:
            case ReadLease():
                await self._read_lease()
            case WriteLease(expected=expected):
                await self._write_lease(expected)
            case ReadPlacement(server=server):
                await self._read_placement(server)
            case SendOrder():
                self._handle(await self._send(effect))

    async def _read_lease(self) -> None:
        try:
            stored = await self._store.get(LEASE_KEY)
        except StoreUnavailable:
            return
        version = stored.version if stored else 0
        self._handle(LeaseRead(now=self._clock(), version=version))

    async def _write_lease(self, expected: int) -> None:
        started = self._clock()
        write_number = self._lease.write_number + 1
        self._lease = msgspec.structs.replace(self._lease, write_number=write_number)
        value = msgspec.msgpack.encode(self._lease)
        try:
            version = await self._store.put(LEASE_KEY, value, expected=expected)
        except VersionConflict:
            self._handle(LeaseLost(now=self._clock()))
        except AnswerLost:
            await self._read_back(value, started)
        except StoreUnavailable:
            return
        else:
            now = self._clock()
            self._handle(LeaseWritten(now=now, version=version, started=started))

    async def _read_back(self, value: bytes, started: Seconds) -> None:
        try:
            stored = await self._store.get(LEASE_KEY)
        except StoreUnavailable:
            return
        if stored is not None and stored.value == value:
            version = stored.version
            now = self._clock()
            self._handle(LeaseWritten(now=now, version=version, started=started))

    async def _read_placement(self, server: ServerId) -> None:
        server_plan = self.plan.servers.get(server)
        if server_plan is None or self._session is None:
            return
        timeout = aiohttp.ClientTimeout(total=PLACEMENT_READ_TIMEOUT)
        url = f"http://{server_plan.server.address}/load"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                body = await response.read()
            placement = msgspec.json.decode(body, type=Placement)
        except (aiohttp.ClientError, OSError, TimeoutError, *DECODE_ERRORS):
            return
        now = self._clock()
        self._handle(PlacementRead(now=now, server=server, placement=placement))

    async def _send(self, effect: SendOrder) -> OrderEnded:
        server_plan = self.plan.servers.get(effect.server)
        allowed = server_plan is not None and await self._may_send(effect)
        if server_plan is None or not allowed or self._session is None:
            return self._order_ended(effect, applied=False)
        order = {
            "fencing": effect.fencing,
            "kind": effect.order.kind,
            "target": effect.order.target,
        }
        url = f"http://{server_plan.server.address}/orders"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT)
        try:
            async with self._session.post(url, json=order, timeout=timeout) as response:
                status = response.status
        except aiohttp.ClientConnectorError:
            return self._order_ended(effect, applied=False)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            log.warning("order lost", server=effect.server, error=type(exc).__name__)
            return self._order_ended(effect, applied=False, in_doubt=True)
        log.info("order ended", server=effect.server, status=status, **order)
        return self._order_ended(effect, applied=status == 200)

    def _order_ended(
        self, effect: SendOrder, *, applied: bool, in_doubt: bool = False
    ) -> OrderEnded:
        return OrderEnded(
            now=self._clock(),
            server=effect.server,
            applied=applied,
            in_doubt=in_doubt,
        )

    async def _may_send(self, effect: SendOrder) -> bool:
        started = self._clock()
        try:
            async with asyncio.timeout(LEASE_CHECK_TIMEOUT):
                stored = await self._store.get(LEASE_KEY)
        except (StoreUnavailable, TimeoutError):
            return False
        now = self._clock()
        slow = now - started > LEASE_CHECK_TIMEOUT
        if slow or not self.plan.lease.is_held(now):
            return False
        # A renewal may have raised the version; the lease is still this process's.
        if stored is None or stored.version < effect.fencing:
            return False
        return self._is_own(stored.value)

    def _is_own(self, value: bytes) -> bool:
        try:
            lease = msgspec.msgpack.decode(value, type=Lease)
        except DECODE_ERRORS:
            return False
        return lease.process == self._lease.process
