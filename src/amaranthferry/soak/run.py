"""Run one soak: hosts as processes, stand-ins and callers here, faults from outside."""

import asyncio
import contextlib
import itertools
import random
import signal
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import structlog

from ..standins.deployment import (
    ENGINE_SERVICE,
    GRACE_TIME,
    HARMFUL_NAME,
    HARMFUL_PART,
    LEDGER_SERVICE,
    CallKind,
    CallRecord,
    call,
    config_spec,
    server_entry,
)
from ..standins.metadata import MetadataStore, StoreFault, StoreView
from ..standins.routed import ReceivedRequest, RoutedServer, ServerFault
from ..standins.serving import serve
from ..types import Seconds
from .checks import (
    CONTACT_BOUND,
    EVENT_COUNT,
    LEAVING_BOUND,
    Execution,
    NamedLimit,
    Refusal,
    SoakRecord,
    Span,
)
from .processes import HostProcess
from .schedule import PlannedFault, SoakFault, plan_faults

SERVERS_PER_SERVICE = {ENGINE_SERVICE: 4, LEDGER_SERVICE: 2}
#: Share of streaming calls with the harmful prompt part while such prompts are sent, and
#: of the other calls that are the harmful request while that is sent.
HARMFUL_SHARE = 0.3
#: Time from the end of a server to its next start, and to the end of its entry.
RESTART_TIME: Seconds = 1.0
EXPIRY_TIME: Seconds = 2.5
CALL_PERIOD: Seconds = 0.08
CALL_DEADLINE: Seconds = 2.5
CALLERS = 6
#: Time for which a caller keeps an idle connection.
KEPT_TIME: Seconds = 60.0
EVENT_INTERVAL: Seconds = 0.1
SAMPLE_PERIOD: Seconds = 0.3
START_TIMEOUT: Seconds = 60.0
#: Time after the last fault in which all hosts serve as one fleet again.
RECOVERY_TIME: Seconds = 12.0
#: Pause between a copy's return and the operator's and the servers' rewrite.
REWRITE_DELAY: Seconds = 0.3
AWAY_TIME: Seconds = 0.3
#: Time in which a server refuses work and asks for hold-offs.
REFUSING_TIME: Seconds = 0.6
#: Shortest hold-off that it asks for.
MIN_HOLD_OFF: Seconds = 3.0
#: Limits that a server names, in requests a second; half of it later.
NAMED_LIMITS = (0.3, 1.0, 2.0)
#: Multiple of the calls while a server names a limit.
LIMITED_CALLS = 3.0
_log = structlog.get_logger(__name__)

#: Time that a slow store takes for an answer, and for which watches hear nothing.
SLOW_ANSWER: Seconds = 1.0
MUTED_TIME: Seconds = 1.0
ODD_SPECS = (
    b"[" * 3_000 + b"]" * 3_000,
    b'{"slots":1e999}',
    b'{"zone":"\\ud800"}',
    b'{"address":"127.0.0.1:70000"}',
)
_STORE_FAULTS = {
    SoakFault.STORE_BUSY: StoreFault.BUSY,
    SoakFault.STORE_RESET: StoreFault.RESET,
    SoakFault.STORE_SILENT: StoreFault.SILENT,
}
_SERVER_FAULTS = {
    SoakFault.SERVER_CUTS_STREAMS: ServerFault.CUT_STREAM,
    SoakFault.SERVER_LOSES_ANSWERS: ServerFault.RESET_AFTER_EXECUTION,
    SoakFault.SERVER_FAILS: ServerFault.ERROR,
    SoakFault.SERVER_FULL: ServerFault.FULL,
    SoakFault.SERVER_RESETS_STREAMS: ServerFault.RESET_STREAM,
    SoakFault.SERVER_ENDS_STREAMS_EARLY: ServerFault.END_IN_EVENT,
    SoakFault.SERVER_SILENT: ServerFault.NO_ANSWER,
    SoakFault.SERVER_CROSSES_ANSWERS: ServerFault.WRONG_ATTEMPT_ID,
    SoakFault.SERVER_ENDLESS: ServerFault.ENDLESS_FAILURE,
}


class _RecordingServer(RoutedServer):
    """Note the time of each execution."""

    def __init__(self, name: str, service: str, record: SoakRecord) -> None:
        super().__init__(name, event_count=EVENT_COUNT, event_interval=EVENT_INTERVAL)
        self.service = service
        self._record = record
        self.address = ""
        self.born = 1
        self.harmful_parts = frozenset({HARMFUL_PART})
        self.process = contextlib.AsyncExitStack()
        self.ends_under = self._is_harmful_request
        #: Whether the process ends under the harmful request, not under a prompt.
        self.ran_harmful_request = False

    def _is_harmful_request(self, request: ReceivedRequest) -> bool:
        if not request.target.endswith(f"/{HARMFUL_NAME}"):
            return False
        self.ran_harmful_request = True
        return True

    def note_execution(self, attempt: str) -> None:
        """Record that a request begins to run."""
        self._record.executions.append(Execution(attempt, self.name, _now()))

    def note_arrival(self, attempt: str) -> None:
        """Record that a request has arrived."""
        self._record.arrivals.append(Execution(attempt, self.name, _now()))

    def note_refusal(self, attempt: str) -> None:
        """Record a refusal that asks for a hold-off."""
        if self.retry_after:
            duration = float(self.retry_after)
            self._record.refusals.append(Refusal(attempt, self.name, _now(), duration))


def _now() -> Seconds:
    return asyncio.get_running_loop().time()


class Soak:
    """Run a schedule of faults against real hosts, and record what is seen."""

    def __init__(
        self,
        seed: int,
        *,
        seconds: Seconds,
        hosts: int,
        folder: Path,
        only: tuple[SoakFault, ...] = (),
    ) -> None:
        self.record = SoakRecord()
        self.schedule = plan_faults(seed, seconds=seconds, only=only)
        self._seconds = seconds
        self._host_count = hosts
        self._folder = folder
        self._rng = random.Random(seed)
        self._store = MetadataStore()
        #: The store as each host reaches it.
        self._views: list[StoreView] = []
        self._hosts: list[HostProcess] = []
        self._servers: list[_RecordingServer] = []
        self._numbers = itertools.count(1)
        self._keys = ["key-1"]
        self._version = 1
        self._tasks: list[asyncio.Task[Any]] = []
        self._busy: set[str] = set()
        self._sends_harmful = False
        self._sends_harmful_request = False
        self._limited: set[str] = set()
        self._sessions: list[aiohttp.ClientSession] = []
        self._stack = contextlib.AsyncExitStack()

    async def run(self) -> SoakRecord:
        """Run to the end of the schedule and return the record."""
        async with self._stack:
            await self._open()
            callers = self._spawn(self._call_forever())
            sampler = self._spawn(self._sample_forever())
            began = self._now()
            for planned in self.schedule:
                await asyncio.sleep(max(0.0, began + planned.at - self._now()))
                self._spawn(self._inject(planned))
            await asyncio.sleep(max(0.0, began + self._seconds - self._now()))
            await self._check_recovery()
            callers.cancel()
            sampler.cancel()
            results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result
        return self.record

    def _now(self) -> Seconds:
        return asyncio.get_running_loop().time()

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.append(task)
        return task

    async def _open(self) -> None:
        await self._open_sessions()
        await self._write_config()
        for service in (ENGINE_SERVICE, LEDGER_SERVICE):
            for _ in range(SERVERS_PER_SERVICE[service]):
                await self._add_server(service)
        for number in range(self._host_count):
            view = self._store.view()
            url = await self._stack.enter_async_context(serve(view.app))
            self._views.append(view)
            store = url.removeprefix("http://")
            host = HostProcess(f"host-{number}", store, self._folder)
            self._stack.push_async_callback(host.kill)
            self._hosts.append(host)
        await asyncio.gather(*(host.start() for host in self._hosts))
        async with asyncio.timeout(START_TIMEOUT):
            while await self._unrecovered():
                await asyncio.sleep(SAMPLE_PERIOD)

    async def _open_sessions(self) -> None:
        """Open callers that use a connection until its host closes it or is gone."""
        for _ in range(CALLERS):
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEPT_TIME)
            session = aiohttp.ClientSession(connector=connector)
            self._sessions.append(await self._stack.enter_async_context(session))

    async def _write_config(self) -> None:
        spec = config_spec(self._version, keys=self._keys)
        await self._store.put("config", "main", spec)
        for key in self._keys:
            self.record.confirmed.setdefault(key, self._now())

    async def _add_server(self, service: str) -> None:
        number = next(self._numbers)
        server = _RecordingServer(f"{service}-{number}", service, self.record)
        server.born = number
        server.on_execution = server.note_execution
        server.on_arrival = server.note_arrival
        server.on_refusal = server.note_refusal
        self.record.servers.append(server.name)
        server.on_crash = lambda: self._end_server(server)
        await self._stack.enter_async_context(server.process)
        url = await server.process.enter_async_context(serve(server))
        server.address = url.removeprefix("http://")
        self._servers.append(server)
        await self._write_server(server)

    def _end_server(self, server: _RecordingServer) -> None:
        """End a server's process, as its prompt does, and start another one."""
        if server in self._servers:
            self._servers.remove(server)
            ends = self.record.harmful_ends
            if server.ran_harmful_request:
                ends = self.record.harmful_request_ends
            ends.append(self._now())
            self._spawn(self._restart_server(server))

    async def _restart_server(self, server: _RecordingServer) -> None:
        await server.process.aclose()
        await asyncio.sleep(RESTART_TIME)
        await self._add_server(server.service)
        await asyncio.sleep(EXPIRY_TIME - RESTART_TIME)
        await self._store.remove("servers", server.name)

    async def _write_server(self, server: _RecordingServer) -> None:
        draining = server.name in self.record.leaving
        entry = server_entry(
            server.service, server.address, born=server.born, draining=draining
        )
        await self._store.put("servers", server.name, entry)

    async def _call_forever(self) -> None:
        for number in itertools.count():
            rate = (LIMITED_CALLS if self._limited else 1.0) / CALL_PERIOD
            await asyncio.sleep(self._rng.expovariate(rate))
            host = self._rng.choice(self._hosts)
            revoked = list(self.record.revoked)
            use_revoked = bool(revoked) and self._rng.random() < 0.2
            record = CallRecord(
                attempt=f"attempt-{number}",
                kind=self._rng.choice(tuple(CallKind)),
                host=host.name,
                key=self._rng.choice(revoked if use_revoked else self._keys),
                sent=self._now(),
            )
            if self._sends_harmful and record.kind.streaming:
                record.harmful = self._rng.random() < HARMFUL_SHARE
            if self._sends_harmful_request and record.kind is CallKind.LOOK:
                record.harmful = self._rng.random() < HARMFUL_SHARE
            self.record.calls.append(record)
            session = self._sessions[number % len(self._sessions)]
            self._spawn(
                call(record, host.address, deadline=CALL_DEADLINE, session=session)
            )

    async def _sample_forever(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_PERIOD)
            for host in self._hosts:
                incarnation = host.incarnation
                most = self.record.memory.get(incarnation, 0)
                self.record.memory[incarnation] = max(most, host.memory())
                version = int((await host.metrics()).get("config_version", 0))
                # A host that restarted meanwhile may have answered for the old one.
                if version and incarnation == host.incarnation:
                    versions = self.record.versions.setdefault(incarnation, [])
                    if not versions or versions[-1] != version:
                        versions.append(version)

    async def _inject(self, planned: PlannedFault) -> None:
        """Inject one fault, unless one of the same target is present."""
        target, action = self._action(planned)
        if target in self._busy:
            return
        self._busy.add(target)
        began = self._now()
        _log.info(
            "soak.fault", fault=planned.fault, target=target, seconds=planned.duration
        )
        try:
            await action()
        finally:
            self._busy.discard(target)
            # A planned stop is no fault: nothing may be cut.
            if planned.fault is not SoakFault.HOST_STOPPED:
                span = Span(f"{planned.fault}: {target}", began, self._now())
                self.record.faults.append(span)

    def _action(
        self, planned: PlannedFault
    ) -> tuple[str, Callable[[], Awaitable[None]]]:
        """Return the name of a fault's target, and what injects the fault."""
        fault, duration = planned.fault, planned.duration
        if fault in _STORE_FAULTS:
            return "store", lambda: self._fail_store(_STORE_FAULTS[fault], duration)
        host = self._hosts[planned.index % len(self._hosts)]
        servers = [s for s in self._servers if s.name not in self.record.leaving]
        server = servers[planned.index % len(servers)]
        if fault in _SERVER_FAULTS:
            kind = _SERVER_FAULTS[fault]
            return server.name, lambda: self._fail_server(server, kind, duration)
        return {
            SoakFault.HOST_KILLED: (host.name, lambda: self._kill([host], duration)),
            SoakFault.ALL_HOSTS_KILLED: (
                "hosts",
                lambda: self._kill(self._hosts, duration),
            ),
            SoakFault.HOST_SUSPENDED: (
                host.name,
                lambda: self._suspend(host, duration),
            ),
            SoakFault.HOST_STOPPED: (host.name, lambda: self._stop(host)),
            SoakFault.STORE_RESTORED: ("store", lambda: self._restore(planned.age)),
            SoakFault.STORE_COMPACTED: ("history", self._compact),
            SoakFault.STORE_SLOW: ("store", lambda: self._slow_store(duration)),
            SoakFault.STORE_SILENT_FOR_SOME: (
                "views",
                lambda: self._silence_views(planned.index, duration),
            ),
            SoakFault.WATCHES_MUTE: ("store", self._mute_watches),
            SoakFault.ODD_OBJECTS: ("objects", lambda: self._put_odd(duration)),
            SoakFault.SERVER_REPLACED: (
                server.service,
                lambda: self._replace(server),
            ),
            SoakFault.SERVER_UNFRAMED: (
                f"{server.name} framing",
                lambda: self._unframe(server, duration),
            ),
            SoakFault.SERVER_SAYS_LEAVING: (
                server.service,
                lambda: self._say_leaving(server, duration),
            ),
            SoakFault.SERVICE_HOLDS_OFF: (
                server.service,
                lambda: self._hold_off(server.service, duration),
            ),
            SoakFault.SERVER_LIMITED: (
                f"{server.name} limit",
                lambda: self._name_limits(server, duration),
            ),
            SoakFault.HARMFUL_PROMPTS: (
                "prompts",
                lambda: self._send_harmful(duration),
            ),
            SoakFault.HARMFUL_REQUEST: (
                "request",
                lambda: self._send_harmful_request(duration),
            ),
            SoakFault.KEY_REVOKED: ("config", self._revoke),
            SoakFault.CONFIG_CHANGED: ("config", self._change_config),
        }[fault]

    async def _kill(self, hosts: list[HostProcess], duration: Seconds) -> None:
        await asyncio.gather(*(host.kill() for host in hosts))
        await asyncio.sleep(duration)
        await asyncio.gather(*(host.start() for host in hosts))
        await self._wait_ready(hosts)

    async def _suspend(self, host: HostProcess, duration: Seconds) -> None:
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(duration)
        host.signal(signal.SIGCONT)

    async def _stop(self, host: HostProcess) -> None:
        began = self._now()
        host.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GRACE_TIME):
                await host.wait()
        self.record.planned_stops.append(Span(host.name, began, self._now()))
        await host.kill()
        await host.start()
        await self._wait_ready([host])

    async def _wait_ready(self, hosts: list[HostProcess]) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECOVERY_TIME):
                while not all([await host.is_ready() for host in hosts]):
                    await asyncio.sleep(SAMPLE_PERIOD)

    async def _fail_store(self, fault: StoreFault, duration: Seconds) -> None:
        self._store.fault = fault
        await asyncio.sleep(duration)
        self._store.fault = StoreFault.NONE

    async def _restore(self, age: Seconds) -> None:
        await self._fail_store(StoreFault.RESET, AWAY_TIME)
        await self._store.restore(age=age)
        await asyncio.sleep(REWRITE_DELAY)
        await self._write_config()
        now = self._now()
        # The bound counts from the acknowledgement that stands.
        lost = {key: at for key, at in self.record.revoked.items() if at >= now - age}
        self.record.revoked.update(dict.fromkeys(lost, now))
        self.record.confirmed.update(dict.fromkeys(self._keys, now))
        for server in self._servers:
            await self._write_server(server)

    async def _slow_store(self, duration: Seconds) -> None:
        self._store.delay = SLOW_ANSWER
        await asyncio.sleep(duration)
        self._store.delay = 0.0

    async def _silence_views(self, index: int, duration: Seconds) -> None:
        """Let some hosts, often both readers among them, hear nothing of the store."""
        count = 1 + index % len(self._views)
        silenced = random.Random(index).sample(self._views, count)
        for view in silenced:
            view.fault = StoreFault.SILENT
        await asyncio.sleep(duration)
        for view in silenced:
            view.fault = StoreFault.NONE

    async def _mute_watches(self) -> None:
        self._store.fault = StoreFault.MUTE_WATCHES
        await asyncio.sleep(MUTED_TIME)
        self._store.compact_history()
        self._store.fault = StoreFault.NONE

    async def _put_odd(self, duration: Seconds) -> None:
        """Leave objects beside the others that no decoder reads."""
        odd = msgspec.Raw(self._rng.choice(ODD_SPECS))
        for kind in ("servers", "config", "entryhosts"):
            await self._store.put(kind, "odd", odd)
        await asyncio.sleep(duration)
        for kind in ("servers", "config", "entryhosts"):
            await self._store.remove(kind, "odd")

    async def _compact(self) -> None:
        self._store.compact_history()

    async def _replace(self, server: _RecordingServer) -> None:
        await self._add_server(server.service)
        self.record.leaving[server.name] = self._now()
        await self._write_server(server)

    async def _unframe(self, server: _RecordingServer, duration: Seconds) -> None:
        server.unframed = True
        await asyncio.sleep(duration)
        server.unframed = False

    async def _say_leaving(self, server: _RecordingServer, duration: Seconds) -> None:
        """Let a server say that it leaves, while its entry still shows it as live."""
        await self._add_server(server.service)
        server.leaving = True
        await asyncio.sleep(LEAVING_BOUND + duration)
        self.record.leaving[server.name] = self._now()
        await self._write_server(server)

    async def _hold_off(self, service: str, duration: Seconds) -> None:
        """Let all servers of a service refuse work for a moment and ask for hold-offs.

        One server alone would get little anyway, since hosts avoid servers that fail.
        """
        wanted = MIN_HOLD_OFF + duration
        servers = [server for server in self._servers if server.service == service]
        for server in servers:
            server.retry_after = f"{wanted:.3f}"
        await asyncio.gather(
            *(self._fail_server(s, ServerFault.FULL, REFUSING_TIME) for s in servers)
        )
        for server in servers:
            server.retry_after = ""
        await asyncio.sleep(wanted)

    async def _name_limits(self, server: _RecordingServer, duration: Seconds) -> None:
        """Let a server name a limit, a lower one, and none, under more calls."""
        rate = self._rng.choice(NAMED_LIMITS)
        self._limited.add(server.name)
        for named in (rate, rate / 2):
            server.limit = f"{named:g}"
            self._record_limit(server, named)
            await asyncio.sleep(CONTACT_BOUND + duration)
        server.limit = ""
        self._record_limit(server, None)
        self._limited.discard(server.name)

    def _record_limit(self, server: _RecordingServer, rate: float | None) -> None:
        self.record.limits.append(NamedLimit(server.name, rate, self._now()))

    async def _send_harmful(self, duration: Seconds) -> None:
        self._sends_harmful = True
        await asyncio.sleep(CONTACT_BOUND + duration)
        self._sends_harmful = False

    async def _send_harmful_request(self, duration: Seconds) -> None:
        self._sends_harmful_request = True
        await asyncio.sleep(CONTACT_BOUND + duration)
        self._sends_harmful_request = False

    async def _revoke(self) -> None:
        revoked, self._keys = self._keys, [f"key-{next(self._numbers)}"]
        await self._change_config()
        now = self._now()
        self.record.revoked.update(dict.fromkeys(revoked, now))
        self.record.first_revoked.update(dict.fromkeys(revoked, now))

    async def _change_config(self) -> None:
        self._version += self._rng.randrange(1, 4)
        await self._write_config()

    async def _fail_server(
        self, server: _RecordingServer, fault: ServerFault, duration: Seconds
    ) -> None:
        server.fault = fault
        await asyncio.sleep(duration)
        server.fault = ServerFault.NONE

    async def _check_recovery(self) -> None:
        """Record what is still wrong some time after the last fault."""
        deadline = self._now() + RECOVERY_TIME
        problems = await self._unrecovered()
        while problems and self._now() < deadline:
            await asyncio.sleep(SAMPLE_PERIOD)
            problems = await self._unrecovered()
        self.record.unrecovered = problems

    async def _unrecovered(self) -> list[str]:
        expected = {"hosts": float(len(self._hosts)), "config_version": self._version}
        problems = []
        for host in self._hosts:
            metrics = await host.metrics()
            found = {name: metrics.get(name) for name in expected}
            if not await host.is_ready() or found != expected:
                problems.append(f"{host.incarnation}: {found}, expected {expected}")
        return problems


def write_findings(folder: Path, soak: Soak, violations: list[Any]) -> None:
    """Write the schedule, the record and the violations of a run to its folder."""
    parts = {
        "schedule": soak.schedule,
        "violations": violations,
        "record": soak.record,
    }
    for name, part in parts.items():
        data = msgspec.json.format(msgspec.json.encode(part), indent=1)
        (folder / f"{name}.json").write_bytes(data)
