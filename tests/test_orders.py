import asyncio
import itertools
from functools import partial

import pytest

from amaranthferry.config import BackendServer, Deployment, Pool
from amaranthferry.events import SettingsApplied, Ticked
from amaranthferry.objects import MemoryObjectStore
from amaranthferry.order_plan import (
    DRAIN_SETTLE,
    LEASE_SECONDS,
    ORDER_TIMEOUT,
    ElectionChanged,
    EngineOrder,
    LeaseLost,
    LeaseRead,
    LeaseWritten,
    LoadBudget,
    OrderEnded,
    OrderKind,
    OrderPlan,
    Placement,
    PlacementRead,
    SendOrder,
    SetDrain,
    WriteLease,
    missing_orders,
)
from amaranthferry.order_reducer import reduce_orders
from amaranthferry.orders import LEASE_KEY, OrderReconciler
from amaranthferry.standins.engine import EngineStandIn
from amaranthferry.standins.placement import Placement as EnginePlacement
from amaranthferry.standins.serving import serve
from amaranthferry.standins.weights import WeightStandIn, fetch_weights
from amaranthferry.types import HostId, ModelId, PoolId, ServerId, ZoneId

POOL = PoolId("p")
OLD, NEW = ModelId("old"), ModelId("new")
H1, H2 = HostId("h1"), HostId("h2")


def server(name, *, address="127.0.0.1:9", fences=True, models=(NEW,), **fields):
    return BackendServer(
        name=ServerId(name),
        pool=POOL,
        zone=ZoneId("z"),
        address=address,
        models=models,
        fences_orders=fences,
        **fields,
    )


def deployment(*servers):
    named = {item.name: item for item in servers}
    return Deployment("d", pools={POOL: Pool(POOL)}, servers=named)


class Planner:
    """Drive the reducer with a manual clock."""

    def __init__(self, *servers, rate=1e9, held=True):
        self.now = 1_000.0
        self.plan = OrderPlan(LoadBudget(rate))
        self.handle(SettingsApplied, deployment=deployment(*servers))
        self.handle(ElectionChanged, elected=True)
        if held:
            self.handle(LeaseWritten, version=7, started=self.now)
            self.plan.lease.unfenced_wait_until = self.now

    def handle(self, kind, **fields):
        return reduce_orders(kind(now=self.now, **fields), self.plan)

    def tick(self, seconds=0.0, *, renew=True):
        self.now += seconds
        if renew:
            self.plan.lease.held_until = self.now + LEASE_SECONDS
        return self.handle(Ticked)

    def read(self, name, *, models=(OLD,), running=0, age=0.0):
        placement = Placement(models=models, running=running, age=age)
        return self.handle(PlacementRead, server=ServerId(name), placement=placement)

    def drain(self, name):
        """Drain a server until its order may be sent."""
        self.read(name)
        self.tick()
        self.now += DRAIN_SETTLE
        self.read(name)


def of_type(kind, effects):
    return [effect for effect in effects if isinstance(effect, kind)]


@pytest.mark.parametrize(
    ("declared", "found", "orders"),
    [
        ({"models": (NEW,)}, Placement((OLD,)), [(OrderKind.LOAD_MODEL, "new")]),
        ({"models": (NEW,)}, Placement((OLD, NEW)), []),
        (
            {"adapters": ("a",), "role": "prefill", "model_version": "v2"},
            Placement((NEW,)),
            [
                (OrderKind.SET_ROLE, "prefill"),
                (OrderKind.SET_VERSION, "v2"),
                (OrderKind.LOAD_ADAPTER, "a"),
            ],
        ),
    ],
)
def test_missing_orders_follow_from_declaration_and_placement(declared, found, orders):
    expected = tuple(EngineOrder(*order) for order in orders)
    assert missing_orders(server("e1", **declared), found) == expected


def test_interrupting_order_waits_for_a_report_made_after_the_drain():
    planner = Planner(server("e1"))
    planner.read("e1", running=2)
    assert of_type(SetDrain, planner.tick()) == [SetDrain(server="e1", draining=True)]
    planner.now += DRAIN_SETTLE
    planner.read("e1", running=1)
    assert not of_type(SendOrder, planner.tick())
    planner.read("e1", age=DRAIN_SETTLE)
    assert not of_type(SendOrder, planner.tick())
    planner.read("e1")
    assert of_type(SendOrder, planner.tick())[0].fencing == 7


def test_adapter_is_loaded_without_a_drain():
    planner = Planner(server("e1", models=(), adapters=("a",)))
    planner.read("e1", running=5)
    effects = planner.tick()
    assert of_type(SendOrder, effects)
    assert not of_type(SetDrain, effects)


def test_one_server_of_a_small_pool_drains_at_a_time():
    planner = Planner(*(server(f"e{n}") for n in range(5)))
    for n in range(5):
        planner.read(f"e{n}")
    assert len(of_type(SetDrain, planner.tick())) == 1


def test_stuck_order_does_not_block_other_servers():
    planner = Planner(server("e0"), server("e1"))
    planner.drain("e0")
    assert of_type(SendOrder, planner.tick())
    planner.read("e1")
    assert SetDrain(server="e1", draining=True) not in planner.tick(1.0)
    assert SetDrain(server="e1", draining=True) in planner.tick(20.0)


def test_order_in_doubt_keeps_its_server_drained():
    planner = Planner(server("e0"))
    planner.drain("e0")
    planner.tick()
    ended = {"server": ServerId("e0"), "applied": False}
    assert not planner.handle(OrderEnded, in_doubt=True, **ended)
    planner.read("e0")
    assert planner.plan.servers["e0"].draining_since is not None
    effects = planner.read("e0", models=(OLD, NEW))
    assert effects == [SetDrain(server="e0", draining=False)]


def test_loads_are_shared_evenly_within_the_rate():
    names = [f"e{n}" for n in range(4)]
    planner = Planner(
        *(server(n, models=(), adapters=("a", "b", "c")) for n in names), rate=0.5
    )
    sent = []
    for _ in range(40):
        for name in names:
            planner.read(name, models=())
        for effect in of_type(SendOrder, planner.tick(1.0)):
            sent.append(effect.server)
            planner.handle(OrderEnded, server=effect.server, applied=True)
    assert len(sent) <= 0.5 * 40 + 2
    counts = {name: sent.count(name) for name in names}
    assert max(counts.values()) - min(counts.values()) <= 1


def test_new_holder_waits_for_earlier_orders_to_engines_without_fencing():
    planner = Planner(server("e1", fences=False), held=False)
    planner.handle(LeaseWritten, version=9, started=planner.now)
    planner.read("e1")
    assert not of_type(SetDrain, planner.tick(ORDER_TIMEOUT - 1))
    planner.read("e1")
    assert of_type(SetDrain, planner.tick(1))


def test_lease_is_taken_only_after_it_was_not_renewed():
    planner = Planner(held=False)
    assert not planner.handle(LeaseRead, version=3)
    planner.now += LEASE_SECONDS - 1
    assert not planner.handle(LeaseRead, version=4)
    planner.now += LEASE_SECONDS - 1
    assert not planner.handle(LeaseRead, version=4)
    planner.now += 1
    assert planner.handle(LeaseRead, version=4) == [WriteLease(expected=4)]


def test_holder_resumed_after_lease_expiry_sends_nothing():
    planner = Planner(server("e1"))
    planner.drain("e1")
    assert not of_type(SendOrder, planner.tick(LEASE_SECONDS, renew=False))
    planner.handle(LeaseLost)
    assert not planner.plan.lease.is_held(planner.now)


class Fleet:
    """Run reconcilers against engine stand-ins, on a clock that the test advances."""

    def __init__(self, store, *servers):
        self.store = store
        self.deployment = deployment(*servers)
        self.ticks = itertools.count()
        self.now = 0.0
        self.drains = []
        self.hosts = []

    async def add(self, host):
        reconciler = OrderReconciler(
            self.store,
            host,
            self.deployment,
            on_drain=lambda name, on: self.drains.append((name, on)),
            loads_per_second=100.0,
            clock=lambda: self.now,
        )
        await reconciler.start()
        self.hosts.append(reconciler)
        return reconciler

    async def run_until(self, done, *, paused=()):
        """Tick the hosts once per virtual second until `done` returns true."""
        for _ in range(300):
            if done():
                return
            self.now += 1.0
            for host in self.hosts:
                if host not in paused:
                    host._handle(Ticked(now=self.now))
            for _ in range(30):
                await asyncio.sleep(0)
        raise AssertionError("not done within 300 virtual seconds")

    async def stop(self):
        for host in self.hosts:
            await host.stop()


def engine(name, **options):
    placement = EnginePlacement((OLD,), **options)
    return EngineStandIn(
        name, models=(OLD,), placement=placement, decode_interval=0.001, load_lag=0.0
    )


async def test_engine_loads_its_declared_model_from_the_weight_store():
    weights = WeightStandIn()
    async with serve(weights.app) as weights_url:
        target = engine("e1", fetch=partial(fetch_weights, weights_url))
        async with serve(target.app) as url:
            address = url.removeprefix("http://")
            fleet = Fleet(MemoryObjectStore(), server("e1", address=address))
            host = await fleet.add(H1)
            host.set_hosts((H1,))
            await fleet.run_until(lambda: (ServerId("e1"), False) in fleet.drains)
            await fleet.stop()
    assert target.placement.models == (OLD, NEW)
    assert weights.loaded == {"new": 1}
    assert [applied.running for applied in target.placement.applied] == [0]


async def test_stuck_load_does_not_block_other_loads():
    weights = WeightStandIn()
    weights.stuck.add("stuck")
    async with serve(weights.app) as weights_url:
        fetch = partial(fetch_weights, weights_url)
        stuck, other = engine("e1", fetch=fetch), engine("e2", fetch=fetch)
        async with serve(stuck.app) as first, serve(other.app) as second:
            addresses = [url.removeprefix("http://") for url in (first, second)]
            fleet = Fleet(
                MemoryObjectStore(),
                server("e1", address=addresses[0], models=(ModelId("stuck"),)),
                server("e2", address=addresses[1]),
            )
            host = await fleet.add(H1)
            host.set_hosts((H1,))
            await fleet.run_until(lambda: NEW in other.placement.models)
            assert host.plan.servers[ServerId("e1")].order_in_flight
            await fleet.stop()
    assert stuck.placement.models == (OLD,)


@pytest.mark.parametrize("fences", [True, False])
async def test_order_of_a_paused_holder_is_refused_or_repaired(fences):
    target = engine("e1", enforce_fencing=fences)
    store = MemoryObjectStore()
    async with serve(target.app) as url:
        address = url.removeprefix("http://")
        wrong = server("e1", address=address, models=(), role="old", fences=fences)
        fleet = Fleet(store, wrong)
        old = await fleet.add(H1)
        old.set_hosts((H1,))
        resume = asyncio.Event()
        reached = asyncio.Event()
        may_send = old._may_send

        async def pause_after_check(effect):
            passed = await may_send(effect)
            reached.set()
            await resume.wait()
            return passed

        old._may_send = pause_after_check
        await fleet.run_until(reached.is_set)
        right = server("e1", address=address, models=(), role="new", fences=fences)
        fleet.deployment = deployment(right)
        new = await fleet.add(H2)
        new.set_hosts((H2,))
        placement = target.placement
        await fleet.run_until(lambda: placement.role == "new", paused=(old,))
        resume.set()
        await fleet.run_until(
            lambda: placement.rejected or len(placement.applied) > 1, paused=(old,)
        )
        await fleet.run_until(lambda: placement.role == "new", paused=(old,))
        await fleet.stop()
    roles = [applied.order.target for applied in placement.applied]
    assert roles == (["new"] if fences else ["new", "old", "new"])
    assert len(placement.rejected) == (1 if fences else 0)


async def test_order_is_not_sent_after_the_lease_was_overwritten():
    target = engine("e1")
    store = MemoryObjectStore()
    async with serve(target.app) as url:
        fleet = Fleet(store, server("e1", address=url.removeprefix("http://")))
        host = await fleet.add(H1)
        host.set_hosts((H1,))
        await fleet.run_until(lambda: fleet.drains)
        version = store.objects[LEASE_KEY].version
        await store.put(LEASE_KEY, b"another", expected=version)
        for _ in range(8):
            fleet.now += 1.0
            host.plan.lease.next_call = fleet.now + 1
            host._handle(Ticked(now=fleet.now))
            await asyncio.sleep(0.005)
        failures = host.plan.servers[ServerId("e1")].failures
        await fleet.stop()
    assert failures > 0
    assert target.placement.applied == []


async def test_renewal_with_a_lost_answer_keeps_the_lease():
    store = MemoryObjectStore()
    fleet = Fleet(store, server("e1"))
    host = await fleet.add(H1)
    host.set_hosts((H1,))
    lease = host.plan.lease
    await fleet.run_until(lambda: lease.is_held(fleet.now))
    version = lease.version
    store.lose_answers = 1
    await fleet.run_until(lambda: lease.version > version)
    assert store.lose_answers == 0
    assert host.plan.lease is lease
    assert lease.version == store.objects[LEASE_KEY].version
    await fleet.stop()


async def test_lease_of_an_earlier_process_of_the_same_host_is_not_its_own():
    store = MemoryObjectStore()
    fleet = Fleet(store, server("e1"))
    first = await fleet.add(H1)
    first.set_hosts((H1,))
    await fleet.run_until(lambda: first.plan.lease.is_held(fleet.now))
    second = await fleet.add(H1)
    stored = store.objects[LEASE_KEY].value
    assert first._is_own(stored)
    assert not second._is_own(stored)
    await fleet.stop()
