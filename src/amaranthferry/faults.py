"""Inject faults into an embedded system, alone and in pairs."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterable
from enum import StrEnum

import msgspec
from returns.pipeline import is_successful

from .application import Application
from .config import HostConfig
from .embedded import ENGINES, EmbeddedSystem
from .events import Event
from .fault_calls import Caller, PlannedCall, plan_burst, plan_calls
from .fault_checks import Observation, Violation, check_guarantees
from .objects import ObjectStore
from .shards import shards_of
from .types import Seconds, ServerState, SettingsVersion
from .workloads import KYKLOS

LOAD_DURATION: Seconds = 1.6
FAULT_START: Seconds = 0.5
FAULT_DURATION: Seconds = 1.5
SETTLE_TIMEOUT: Seconds = 10.0
DRAIN_TIMEOUT: Seconds = 30.0
STORE_DELAY: Seconds = 0.4
SLOWDOWN_FACTOR = 10.0
SAMPLE_PERIOD: Seconds = 0.05


class Fault(StrEnum):
    """Define the faults that a run injects."""

    HOST_KILLED = "host killed"
    COORDINATOR_KILLED = "coordinator killed"
    COORDINATOR_PAUSED = "coordinator paused"
    STORE_OUT = "store out"
    STORE_SLOW = "store slow"
    STORE_ANSWERS_LOST = "store answers lost"
    LIST_STALE = "list stale"
    ENGINE_STRAGGLING = "engine straggling"
    ENGINE_KILLED = "engine killed mid-stream"
    ENGINE_SILENT = "engine connections silent"
    ENGINE_LEAVING = "engine leaving"
    LEDGER_ANSWERS_LOST = "ledger answers lost"
    BURST = "burst"
    OPERATORS_RACING = "operators racing"
    PLANNED_STOP = "planned stop"


class CaseResult(msgspec.Struct, frozen=True):
    """Report the outcome of one case."""

    faults: tuple[Fault, ...]
    seed: int
    calls: int
    done: int
    violations: tuple[Violation, ...]


class PausableApplication(Application):
    """Queue every event while paused, as a stopped process would."""

    paused = False

    def __init__(self, cfg: HostConfig, store: ObjectStore) -> None:
        super().__init__(cfg, store)
        self._queued_events: list[Event] = []

    def handle(self, event: Event) -> None:
        """Handle an event, or queue it until the pause ends."""
        if self.paused:
            self._queued_events.append(event)
            return
        super().handle(event)

    def resume(self) -> None:
        """End the pause and handle the queued events."""
        self.paused = False
        queued_events, self._queued_events = self._queued_events, []
        for event in queued_events:
            super().handle(event)


class Case:
    """Run one load with its faults and check the guarantees."""

    def __init__(self, faults: tuple[Fault, ...], seed: int) -> None:
        self.faults = faults
        self.seed = seed
        self.observation = Observation()
        self.system = EmbeddedSystem(KYKLOS, application=PausableApplication)
        self.killed: set[int] = set()
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> CaseResult:
        """Run the case on a fresh system."""
        async with self.system:
            self.observation.accepted_version = SettingsVersion(1)
            caller = Caller(self.system.base_urls)
            sampler = asyncio.create_task(self._sample_versions())
            try:
                await asyncio.gather(caller.run(self._plan()), self._inject())
                await asyncio.gather(*self.tasks)
                await self._settle()
            finally:
                sampler.cancel()
                await caller.close()
            found = check_guarantees(self.system, caller.records, self.observation)
            done = sum(record.outcome == "done" for record in caller.records)
            calls = len(caller.records)
        return CaseResult(self.faults, self.seed, calls, done, tuple(found))

    def _plan(self) -> list[PlannedCall]:
        hosts = len(self.system.hosts)
        calls = plan_calls(self.seed, hosts=hosts, duration=LOAD_DURATION)
        if Fault.BURST in self.faults:
            calls += plan_burst(self.seed, hosts=hosts, at=FAULT_START)
        return calls

    async def _inject(self) -> None:
        await asyncio.sleep(FAULT_START)
        for fault in self.faults:
            await _INJECTIONS.get(fault, _inject_nothing)(self)
        await asyncio.sleep(FAULT_DURATION)
        self._clear_faults()

    def _clear_faults(self) -> None:
        platform = self.system.platform
        platform.outage = False
        platform.delay = 0.0
        platform.lose_answers = 0
        for engine in self.system.engines:
            engine.slow_down(1.0)
        for app in self.system.hosts:
            if isinstance(app, PausableApplication) and app.paused:
                app.resume()

    def live(self) -> list[int]:
        """Return the indexes of the hosts that run and accept work."""
        excluded = {*self.killed, self.observation.stopped_host}
        return [i for i in range(len(self.system.hosts)) if i not in excluded]

    def coordinator(self) -> int | None:
        """Return the index of the host that coordinates the engines."""
        observer = self.system.hosts[self.live()[0]]
        shard = shards_of(observer.state.deployment, ENGINES)[0]
        name = observer.state.coordinator_of(shard)
        names = [app.cfg.host for app in self.system.hosts]
        index = names.index(name)
        return index if index in self.live() else None

    def other_host(self) -> int | None:
        """Return the index of a live host that does not coordinate the engines."""
        others = [i for i in self.live() if i != self.coordinator()]
        return others[0] if len(self.live()) > 1 and others else None

    async def kill(self, index: int | None) -> None:
        """Stop a host at once without draining it."""
        if index is None:
            return
        self.killed.add(index)
        await self.system.hosts[index].stop()

    async def _sample_versions(self) -> None:
        while True:
            for index in self.live():
                app = self.system.hosts[index]
                versions = self.observation.versions.setdefault(app.cfg.host, [])
                version = app.state.deployment.version
                if not versions or versions[-1] != version:
                    versions.append(version)
            await asyncio.sleep(SAMPLE_PERIOD)

    async def _settle(self) -> None:
        """Wait until every live host has applied the accepted settings."""
        deadline = asyncio.get_running_loop().time() + SETTLE_TIMEOUT
        while asyncio.get_running_loop().time() < deadline:
            versions = [
                self.system.hosts[i].state.deployment.version for i in self.live()
            ]
            if min(versions) >= self.observation.accepted_version:
                break
            await asyncio.sleep(SAMPLE_PERIOD)
        await asyncio.sleep(2 * SAMPLE_PERIOD)
        live = {self.system.hosts[i].cfg.host for i in self.live()}
        for host in self.observation.versions.keys() - live:
            del self.observation.versions[host]


Injection = Callable[[Case], Awaitable[None]]


async def _inject_nothing(case: Case) -> None:
    return


async def _kill_host(case: Case) -> None:
    await case.kill(case.other_host())


async def _kill_coordinator(case: Case) -> None:
    if len(case.live()) > 1:
        await case.kill(case.coordinator())


async def _pause_coordinator(case: Case) -> None:
    index = case.coordinator()
    if index is not None:
        app = case.system.hosts[index]
        assert isinstance(app, PausableApplication)
        app.paused = True


async def _start_store_outage(case: Case) -> None:
    case.system.platform.outage = True


async def _delay_store(case: Case) -> None:
    case.system.platform.delay = STORE_DELAY


async def _lose_store_answers(case: Case) -> None:
    case.system.platform.lose_answers = 3


async def _make_list_stale(case: Case) -> None:
    for server in case.system.hosts[case.live()[0]].state.deployment.servers:
        case.system.platform.listed_servers[server] = ServerState.LIVE
    case.system.engines[1].leave()


async def _slow_down_engine(case: Case) -> None:
    case.system.engines[0].slow_down(SLOWDOWN_FACTOR)


async def _kill_engine(case: Case) -> None:
    case.system.engines[0].abort_streams()


async def _stall_engines(case: Case) -> None:
    for engine in case.system.engines:
        engine.stall_connections()


async def _make_engine_leave(case: Case) -> None:
    case.system.engines[0].leave()


async def _lose_ledger_answers(case: Case) -> None:
    case.system.ledger.lose_answers = 2


async def _race_operators(case: Case) -> None:
    case.tasks.append(asyncio.create_task(_publish_concurrently(case)))


async def _publish_concurrently(case: Case) -> None:
    app = case.system.hosts[case.live()[0]]
    deployment = app.state.deployment
    publications = []
    for operator in ("first", "second"):
        limits = msgspec.structs.replace(
            deployment.limits, max_body=deployment.limits.max_body + len(operator)
        )
        draft = msgspec.structs.replace(deployment, limits=limits)
        publications.append(
            case.system.publish(draft, who=operator, expected=deployment.version)
        )
    for result in await asyncio.gather(*publications):
        if is_successful(result):
            version = result.unwrap().version
            case.observation.accepted_version = max(
                case.observation.accepted_version, version
            )


async def _stop_host(case: Case) -> None:
    index = case.other_host()
    if index is None:
        return
    case.observation.stopped_host = index
    case.observation.stopped_at = FAULT_START
    case.tasks.append(asyncio.create_task(_drain(case, index)))


async def _drain(case: Case, index: int) -> None:
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT):
            await case.system.hosts[index].drain()
    except TimeoutError:
        return
    case.observation.drained = True


_INJECTIONS: dict[Fault, Injection] = {
    Fault.HOST_KILLED: _kill_host,
    Fault.COORDINATOR_KILLED: _kill_coordinator,
    Fault.COORDINATOR_PAUSED: _pause_coordinator,
    Fault.STORE_OUT: _start_store_outage,
    Fault.STORE_SLOW: _delay_store,
    Fault.STORE_ANSWERS_LOST: _lose_store_answers,
    Fault.LIST_STALE: _make_list_stale,
    Fault.ENGINE_STRAGGLING: _slow_down_engine,
    Fault.ENGINE_KILLED: _kill_engine,
    Fault.ENGINE_SILENT: _stall_engines,
    Fault.ENGINE_LEAVING: _make_engine_leave,
    Fault.LEDGER_ANSWERS_LOST: _lose_ledger_answers,
    Fault.OPERATORS_RACING: _race_operators,
    Fault.PLANNED_STOP: _stop_host,
}


def single_cases() -> list[tuple[Fault, ...]]:
    """Return a case for each fault."""
    return [(fault,) for fault in Fault]


def pair_cases() -> list[tuple[Fault, ...]]:
    """Return a case for each pair of faults."""
    return list(itertools.combinations(Fault, 2))


async def run_cases(
    cases: Iterable[tuple[Fault, ...]],
    seed: int,
    *,
    on_result: Callable[[CaseResult], None],
    parallel: int = 4,
) -> list[CaseResult]:
    """Run up to `parallel` cases at a time and report each result."""
    semaphore = asyncio.Semaphore(parallel)

    async def run(faults: tuple[Fault, ...]) -> CaseResult:
        async with semaphore:
            result = await Case(faults, seed).run()
        on_result(result)
        return result

    return list(await asyncio.gather(*map(run, cases)))
