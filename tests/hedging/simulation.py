"""Simulate hosts and plain servers in virtual time, with second runs off and on.

The reducers, the decisions and the budgets are those of the product; the servers, their
queues and the connections are modelled. Run it with

    python -m tests.hedging.simulation [--loads 0.3,0.7] [--seeds 1]
"""

import argparse
import asyncio
import random
from types import SimpleNamespace

import msgspec

from amaranthferry import events
from amaranthferry.catalog import (
    Catalog,
    Instance,
    Route,
    RoutedService,
    RouteKind,
    RouteTarget,
    deployment_of,
)
from amaranthferry.core import HostState, reduce
from amaranthferry.effects import (
    CancelDispatch,
    Dispatch,
    HedgeDispatch,
    SendToHost,
    SettleRequest,
)
from amaranthferry.gateway.application import budget_limits_of
from amaranthferry.gateway.telemetry import Telemetry
from amaranthferry.hedging.runs import Hedger
from amaranthferry.logs import set_up_logs
from amaranthferry.platform.settings import Bounds
from amaranthferry.types import PoolId, ServerState
from tests.virtual_loop import run as run_in_virtual_time

LEDGER = PoolId("ledger")
TICK = 0.05
WORK = 0.09
SPREAD = 0.3
SLOTS, QUEUE = 6, 24
OBJECTIVE = 0.4
LIMITS = (1.5, 4.0)
BOUNDS = Bounds(
    drain=3.0,
    grace=8.0,
    apply=3.0,
    revoke=5.0,
    strict_revoke=True,
    contact=4.0,
    retry_ratio=0.2,
    retry_window=10.0,
    retry_extra=300,
    quota_window=8.0,
    quota_overage=0.1,
    quota_slack=0.0,
)


def make_route(kind):
    return Route(
        name=kind.value,
        host="h",
        prefix=f"/{kind.value}/",
        kind=kind,
        targets=(RouteTarget(LEDGER),),
        max_attempts=2 if kind is RouteKind.SAFE else 1,
    )


ROUTES = {kind: make_route(kind) for kind in (RouteKind.SAFE, RouteKind.UNSAFE)}


class World(msgspec.Struct, frozen=True, kw_only=True):
    """Define what is simulated."""

    load: float = 0.5
    hosts: int = 30
    servers: int = 4
    zones: int = 2
    seconds: float = 40.0
    #: The first seconds, in which the times are learned, don't count.
    warm_up: float = 20.0
    slow_share: float = 0.15
    slow_factor: float = 2.5
    slow_time: float = 0.6
    #: The servers that turn slow; None means all of them.
    slow_servers: int | None = None
    failed_zone: bool = False
    seed: int = 1
    limit: float | None = None


class Server:
    """Model a server of some slots and a queue, which is slow at times."""

    def __init__(self, name, zone, world, rng):
        self.name, self.zone = name, zone
        self.failed = False
        self.running = set()
        self.queue = []
        self.factor = world.slow_factor
        self.periods = []
        index = int(name.rpartition("-")[2])
        if world.slow_servers is not None and index >= world.slow_servers:
            return
        now = 0.0
        while world.slow_share > 0 and now < world.seconds:
            length = world.slow_time * rng.uniform(1.0, 2.0)
            now += rng.expovariate(1.0) * length * (1 / world.slow_share - 1)
            self.periods.append((now, now + length))
            now += length

    def finish(self, start, work):
        """Return when work ends that begins now."""
        now = start
        for begin, end in self.periods:
            if end <= now:
                continue
            if now + work <= begin:
                return now + work
            if begin > now:
                work -= begin - now
                now = begin
            done = (end - now) / self.factor
            if done >= work:
                return now + work * self.factor
            work -= done
            now = end
        return now + work

    async def serve(self, work):
        """Serve a request; return False if it is rejected."""
        loop = asyncio.get_running_loop()
        token = object()
        if len(self.running) >= SLOTS:
            if len(self.queue) >= QUEUE:
                return False
            turn = loop.create_future()
            self.queue.append(turn)
            try:
                await turn
            except asyncio.CancelledError:
                if turn in self.queue:
                    self.queue.remove(turn)
                else:
                    self._start_next()
                raise
        self.running.add(token)
        try:
            await asyncio.sleep(self.finish(loop.time(), work) - loop.time())
        finally:
            self.running.discard(token)
            self._start_next()
        return True

    def _start_next(self):
        while self.queue and len(self.running) < SLOTS:
            turn = self.queue.pop(0)
            if not turn.done():
                turn.set_result(None)
                return


class Exchange:
    def __init__(self, call, work):
        self.call, self.work = call, work
        self.run = self.check = self.task = None
        self.dispatches = self.unknown_dispatches = 0
        self.servers = []
        self.reached = []


class Host:
    """Stand for a gateway: its reducer, and dispatches to modelled servers."""

    def __init__(self, name, zone, simulation):
        world = simulation.world
        self.simulation = simulation
        names = simulation.host_names
        self.state = HostState(
            host=name, zone=zone, deployment=simulation.deployment(), hosts=names
        )
        self.state.harm.informed = True
        self.exchanges = {}
        self.telemetry = Telemetry()
        self.syncs = {}
        self.stopping = False
        self.settings = SimpleNamespace(bounds=BOUNDS)
        self.hedger = None if world.limit is None else Hedger(self, world.limit)

    def clock(self):
        return asyncio.get_running_loop().time()

    def handle(self, event):
        for effect in reduce(self.state, event):
            self._perform(effect)

    def _perform(self, effect):
        loop = asyncio.get_running_loop()
        if isinstance(effect, SendToHost):
            target = self.simulation.hosts[effect.host]
            received = events.PeerReceived(
                now=self.clock(), sender=self.state.host, message=effect.message
            )
            loop.call_soon(target.handle, received)
        elif isinstance(effect, Dispatch):
            exchange = self.exchanges[effect.request_id]
            req = self.state.requests[effect.request_id]
            if self.hedger is None or not self.hedger.watches(req):
                exchange.task = self._send(exchange, effect.server, self.handle)[1]
                return
            run = self.hedger.new_run(exchange)
            dispatch, exchange.task = self._send(exchange, effect.server, run.report)
            self.hedger.begin(run, dispatch, exchange.task)
        elif isinstance(effect, HedgeDispatch):
            exchange = self.exchanges[effect.request_id]
            run = self.hedger.new_run(exchange, is_hedge=True)
            self.hedger.begin(run, *self._send(exchange, effect.server, run.report))
        elif isinstance(effect, SettleRequest):
            exchange = self.exchanges.pop(effect.request_id)
            self.simulation.record(exchange, effect.outcome)
        elif isinstance(effect, CancelDispatch):
            raise AssertionError("No caller of the simulation leaves.")

    def _send(self, exchange, server, report):
        exchange.dispatches += 1
        exchange.servers.append(server)
        dispatch = SimpleNamespace(server=server, service=LEDGER, superseded=False)
        run = self._run(exchange, self.simulation.servers[server], report)
        return dispatch, asyncio.get_running_loop().create_task(run)

    async def _run(self, exchange, server, report):
        request_id, started = exchange.call.request_id, self.clock()
        await asyncio.sleep(0.001)
        fields = {"request_id": request_id}
        if server.failed:
            report(events.DispatchRefused(now=self.clock(), **fields))
            return
        self.simulation.arrivals += 1
        exchange.reached.append(server.name)
        rejected = False
        try:
            rejected = not await server.serve(exchange.work)
        finally:
            spent = self.clock() - started
            self.simulation.work += spent
        if server.failed:
            exchange.unknown_dispatches += 1
            report(events.DispatchFailed(now=self.clock(), **fields))
        elif rejected:
            self.simulation.rejections += 1
            report(events.DispatchRefused(now=self.clock(), by_server=True, **fields))
        else:
            self.simulation.record_answer(exchange, self.clock())
            report(events.FirstTokenSeen(now=self.clock(), **fields))
            report(events.DispatchFinished(now=self.clock(), **fields))
            self.exchanges.pop(request_id, None)

    def expire(self, exchange):
        request_id = exchange.call.request_id
        req = self.state.requests.get(request_id)
        if req is None:
            return
        fields = {"now": self.clock(), "request_id": request_id}
        if not req.is_running:
            self.handle(events.DeadlinePassed(**fields))
            return
        if self.hedger is not None:
            self.hedger.abandon(exchange)
        exchange.task.cancel()
        self.handle(events.DispatchFailed(timed_out=True, **fields))

    def accept(self, request_id, kind, work, limit):
        loop = asyncio.get_running_loop()
        now = self.clock()
        call = SimpleNamespace(
            request_id=request_id,
            route=ROUTES[kind],
            arrived=now,
            deadline=now + limit,
        )
        exchange = Exchange(call, work)
        self.exchanges[request_id] = exchange
        loop.call_later(limit, self.expire, exchange)
        self.simulation.sent[kind].append(exchange.reached)
        safe = kind is RouteKind.SAFE
        self.handle(
            events.RequestArrived(
                now=now,
                request_id=request_id,
                workspace="",
                tier="0",
                work_class="cancelled-0" if safe else "finished-0",
                pool=LEDGER,
                timeout=limit,
                prompt_tokens=0,
                output_tokens=0,
                objective=OBJECTIVE,
                max_attempts=call.route.max_attempts,
                repeatable=safe,
            )
        )
        if self.hedger is not None and self.hedger.open:
            loop.call_soon(self.hedger.make_room, LEDGER)


class Simulation:
    """Run one world and collect what its callers got."""

    def __init__(self, world):
        self.world = world
        rng = random.Random(world.seed)
        self.servers = {
            f"s-{n}": Server(f"s-{n}", f"z-{n % world.zones}", world, rng)
            for n in range(world.servers)
        }
        self.rng = rng
        self.host_names = tuple(f"h-{n}" for n in range(world.hosts))
        self.hosts = {}
        self.times = {kind: [] for kind in ROUTES}
        self.met = dict.fromkeys(ROUTES, 0)
        self.asked = dict.fromkeys(ROUTES, 0)
        self.outcomes = {}
        #: The servers that each request was sent to and that took it in.
        self.sent = {kind: [] for kind in ROUTES}
        self.arrivals = self.rejections = 0
        self.work = 0.0
        self.earlier = []

    def deployment(self):
        instances = {
            s.name: Instance(
                server=s.name,
                service=LEDGER,
                address=f"{s.name}:1",
                zone=s.zone,
                slots=SLOTS,
                state=ServerState.LIVE,
                incarnation=1,
            )
            for s in self.servers.values()
            if not s.failed
        }
        catalog = Catalog(version=1, services={LEDGER: RoutedService(name=LEDGER)})
        limits = budget_limits_of(BOUNDS, self.world.hosts)
        return deployment_of(catalog, instances, limits)

    def record_answer(self, exchange, now):
        if exchange.call.arrived < self.world.warm_up:
            return
        kind = exchange.call.route.kind
        time = now - exchange.call.arrived
        self.times[kind].append(time)
        self.met[kind] += time <= OBJECTIVE

    def record(self, exchange, outcome):
        kind = exchange.call.route.kind
        if exchange.call.arrived >= self.world.warm_up:
            self.outcomes[kind, outcome] = self.outcomes.get((kind, outcome), 0) + 1

    async def run(self):
        world = self.world
        for n, name in enumerate(self.host_names):
            self.hosts[name] = Host(name, f"z-{n % world.zones}", self)
        loop = asyncio.get_running_loop()
        rate = world.load * world.servers * SLOTS / WORK
        # The arrivals don't depend on what becomes of them, so that two runs compare.
        rng = random.Random(world.seed + 1)
        now, plan = 0.0, []
        while now < world.seconds:
            now += rng.expovariate(rate)
            kind = rng.choice(list(ROUTES))
            work = WORK * rng.lognormvariate(-(SPREAD**2) / 2, SPREAD)
            plan.append(
                (now, rng.choice(self.host_names), kind, work, rng.uniform(*LIMITS))
            )
        ticks = [loop.create_task(self._tick(host)) for host in self.hosts.values()]
        if world.failed_zone:
            loop.call_later(world.seconds / 2, self._fail_zone)
        for number, (at, host, kind, work, limit) in enumerate(plan):
            await asyncio.sleep(max(0.0, at - loop.time()))
            if at >= world.warm_up:
                self.asked[kind] += 1
            self.hosts[host].accept(f"r{number}", kind, work, limit)
        await asyncio.sleep(max(LIMITS) + 0.5)
        for task in ticks:
            task.cancel()
        return self

    def _fail_zone(self):
        for server in self.servers.values():
            if server.zone == "z-0":
                server.failed = True
        asyncio.get_running_loop().call_later(2.0, self._list_servers)

    def _list_servers(self):
        for host in self.hosts.values():
            host.handle(
                events.SettingsApplied(now=host.clock(), deployment=self.deployment())
            )

    async def _tick(self, host):
        while True:
            await asyncio.sleep(TICK)
            host.handle(events.Ticked(now=host.clock()))

    def first_work(self):
        return sum(h.hedger.budget(LEDGER).first_work for h in self._all_hosts())

    def extra_work(self):
        return sum(h.hedger.budget(LEDGER).extra_work for h in self._all_hosts())

    def _all_hosts(self):
        for simulation in (self, *self.earlier):
            yield from simulation.hosts.values()

    def hedges(self):
        ends = {}
        for host in self._all_hosts():
            for (_, winner, end), count in host.telemetry.hedges.values.items():
                ends[winner, end] = ends.get((winner, end), 0) + int(count)
        return ends

    def denials(self):
        reasons = {}
        for host in self._all_hosts():
            for (_, reason), count in host.telemetry.hedges_denied.values.items():
                reasons[str(reason)] = reasons.get(str(reason), 0) + int(count)
        return reasons


def simulate(world):
    return run_in_virtual_time(Simulation(world).run())


def percentile(times, part):
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def describe(simulation, kind):
    times = simulation.times[kind]
    shown = " ".join(
        f"p{100 * part:g}={percentile(times, part):.3f}" for part in (0.5, 0.99, 0.999)
    )
    asked = max(1, simulation.asked[kind])
    return f"{shown} met={simulation.met[kind] / asked:.3f} n={asked}"


def pooled(world, seeds):
    """Return one simulation that holds what the callers of all seeds got."""
    whole = None
    for seed in range(world.seed, world.seed + seeds):
        one = simulate(msgspec.structs.replace(world, seed=seed))
        if whole is None:
            whole = one
            continue
        whole.earlier.append(one)
        for kind in ROUTES:
            whole.times[kind] += one.times[kind]
            whole.met[kind] += one.met[kind]
            whole.asked[kind] += one.asked[kind]
        whole.arrivals += one.arrivals
        whole.rejections += one.rejections
        whole.work += one.work
    return whole


def compare(name, world, limits, seeds):
    print(f"-- {name}, load {world.load:g}")
    for limit in (None, *limits):
        simulation = pooled(msgspec.structs.replace(world, limit=limit), seeds)
        name = "off" if limit is None else f"limit {limit:g}"
        for kind in ROUTES:
            print(f"{name:<10} {kind.value:<6} {describe(simulation, kind)}")
        rejected = simulation.rejections / max(1, simulation.arrivals)
        line = f"{name:<10} rejected={rejected:.4f} work={simulation.work:.1f}"
        if limit is not None:
            part = simulation.extra_work() / simulation.first_work()
            line += f" extra={part:.4f} of the limit {limit:g},"
            line += f" second runs={simulation.hedges()} denied={simulation.denials()}"
        print(line, flush=True)


def main():
    set_up_logs("critical")
    parser = argparse.ArgumentParser()
    parser.add_argument("--loads", default="0.3,0.5,0.7,0.9,1.1,1.5")
    parser.add_argument("--limits", default="0.02,0.1")
    parser.add_argument("--hosts", type=int, default=30)
    parser.add_argument("--servers", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--cases", default="2.5,5,zone,one")
    arguments = parser.parse_args()
    limits = [float(text) for text in arguments.limits.split(",")]
    for load in arguments.loads.split(","):
        world = World(
            load=float(load),
            hosts=arguments.hosts,
            servers=arguments.servers,
            seconds=arguments.seconds,
            seed=arguments.seed,
        )
        cases = {
            "2.5": {"slow_factor": 2.5},
            "5": {"slow_factor": 5.0},
            "zone": {"slow_share": 0.0, "failed_zone": True},
            "tenth": {"slow_factor": 5.0, "slow_share": 0.1},
            "one": {"slow_factor": 5.0, "slow_servers": 1, "servers": 10},
        }
        for case in arguments.cases.split(","):
            compare(
                case,
                msgspec.structs.replace(world, **cases[case]),
                limits,
                arguments.seeds,
            )


if __name__ == "__main__":
    main()
