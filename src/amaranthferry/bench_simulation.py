"""Simulate one trace on fake engines in virtual time, under one dispatcher."""

import heapq
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Protocol

import msgspec

from .arrivals import Arrival
from .bench_engine import FakeEngine, Job
from .config import BackendServer
from .types import RequestId, Seconds, ServerId, Tokens

REPORT_INTERVAL: Seconds = 1.0
REPORT_LAG: Seconds = 1.0
STALE_REPORT_LAG: Seconds = 10.0
LOSS_DETECTION_DELAY: Seconds = 3.0
STRAGGLER_SPEED = 0.1
FAULTY_SERVER_INDEX = 1


class Fault(StrEnum):
    """Define the faults that a simulation injects."""

    NONE = "none"
    STRAGGLER = "straggler"
    ENGINE_LOST = "engine-lost"
    STALE_REPORTS = "stale-reports"


class RequestStatus(StrEnum):
    """Define the states and outcomes of a request."""

    PENDING = "pending"
    DONE = "done"
    LATE = "late"
    SHED = "shed"
    FAILED = "failed"


class Record(msgspec.Struct, eq=False, kw_only=True):
    """Track one request through a simulation.

    `admitted` is the time at which the shard admitted the request, and `dropped` the
    time at which it ended without admission. Each attempt of the caller after a refusal
    has an id of its own.
    """

    arrival: Arrival
    hashes: tuple[int, ...]
    status: RequestStatus = RequestStatus.PENDING
    server: ServerId | None = None
    job: Job | None = None
    admitted: Seconds | None = None
    dropped: Seconds | None = None
    tries: int = 0
    refusals: int = 0

    @property
    def attempt_id(self) -> RequestId:
        """Return the id of the caller's current attempt."""
        request_id = self.arrival.request_id
        return (
            RequestId(f"{request_id}/{self.refusals}") if self.refusals else request_id
        )


class Report(msgspec.Struct, frozen=True):
    """Describe an engine's load at the time of the report."""

    server: ServerId
    running: int
    waiting: int
    tokens: Tokens
    age: Seconds


class Dispatcher(Protocol):
    """Decide when and to which engine each request is dispatched."""

    def start(self, simulation: "Simulation") -> None:
        """Prepare for a simulation."""

    def submit(self, record: Record, now: Seconds) -> None:
        """Accept a request at its arrival."""

    def withdraw(self, record: Record, now: Seconds) -> None:
        """Remove a waiting request whose deadline has passed."""

    def admitted(self, record: Record, now: Seconds) -> None:
        """Handle the admission of a request to an engine's batch."""

    def first_token(self, record: Record, now: Seconds) -> None:
        """Handle the first token of a request."""

    def released(self, record: Record, now: Seconds, *, failed: bool) -> None:
        """Handle the end of a request on its engine, whether complete or not."""

    def reported(self, report: Report, now: Seconds) -> None:
        """Handle a delayed load report."""

    def server_changed(self, server: ServerId, now: Seconds, *, live: bool) -> None:
        """Handle the detection that an engine was lost or has recovered."""


class Simulation:
    """Simulate the engines and requests of one trace."""

    def __init__(
        self,
        arrivals: Iterable[Arrival],
        servers: Iterable[BackendServer],
        dispatcher: Dispatcher,
        *,
        duration: Seconds,
        fault: Fault = Fault.NONE,
    ) -> None:
        self.records = {
            arrival.request_id: Record(arrival=arrival, hashes=arrival.prefix_hashes())
            for arrival in arrivals
        }
        self.engines = {
            server.name: FakeEngine(server, listener=self, schedule=self.schedule)
            for server in servers
        }
        self.duration = duration
        self.fault = fault
        self.dispatcher = dispatcher
        self.open_count = len(self.records)
        self._heap: list[tuple[Seconds, int, Callable[[Seconds], None]]] = []
        self._sequence = 0

    def schedule(self, at: Seconds, call: Callable[[Seconds], None]) -> None:
        """Schedule a call at a virtual time; equal times run in scheduling order."""
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, call))

    def repeat(self, interval: Seconds, call: Callable[[Seconds], None]) -> None:
        """Schedule a call at every interval while requests are open."""

        def call_and_repeat(now: Seconds) -> None:
            call(now)
            if self.open_count:
                self.schedule(now + interval, call_and_repeat)

        self.schedule(0.0, call_and_repeat)

    def run(self) -> tuple[Record, ...]:
        """Run the simulation to its end and return the request records."""
        self.dispatcher.start(self)
        for record in self.records.values():
            self._schedule_record(record)
        self.repeat(REPORT_INTERVAL, self._send_load_reports)
        self._schedule_fault()
        while self._heap and self.open_count:
            now, _, call = heapq.heappop(self._heap)
            call(now)
        return tuple(self.records.values())

    def dispatch(self, record: Record, server: ServerId, now: Seconds) -> bool:
        """Dispatch a request; return False if the engine refuses the connection."""
        engine = self.engines[server]
        record.tries += 1
        if engine.lost:
            return False
        record.server = server
        record.job = Job(arrival=record.arrival, hashes=record.hashes, dispatched=now)
        engine.submit(record.job, now)
        return True

    def shed(self, record: Record, now: Seconds) -> None:
        """Shed a request that is on no engine."""
        record.dropped = now
        self._close(record, RequestStatus.SHED)

    def admitted(self, job: Job, now: Seconds) -> None:
        """Record the longest prefix cached on a live engine; notify the dispatcher."""
        job.best_cached = max(
            engine.cache.longest_match(job.hashes)
            for engine in self.engines.values()
            if not engine.lost
        )
        self.dispatcher.admitted(self.records[job.arrival.request_id], now)

    def first_token(self, job: Job, now: Seconds) -> None:
        """Notify the dispatcher of a first token."""
        self.dispatcher.first_token(self.records[job.arrival.request_id], now)

    def finished(self, job: Job, now: Seconds) -> None:
        """Complete a request and notify the dispatcher."""
        record = self.records[job.arrival.request_id]
        self._close(record, RequestStatus.DONE)
        self.dispatcher.released(record, now, failed=False)

    def _close(self, record: Record, status: RequestStatus) -> None:
        record.status = status
        self.open_count -= 1

    def _schedule_record(self, record: Record) -> None:
        arrival = record.arrival
        self.schedule(arrival.at, lambda now: self.dispatcher.submit(record, now))
        self.schedule(arrival.deadline, lambda now: self._expire(record, now))

    def _expire(self, record: Record, now: Seconds) -> None:
        """End a request at its deadline, and cancel it if it is on an engine."""
        if record.status is not RequestStatus.PENDING:
            return
        if record.job is None:
            self.shed(record, now)
            self.dispatcher.withdraw(record, now)
            return
        assert record.server is not None
        if record.admitted is None:
            record.dropped = now
        self._close(record, RequestStatus.LATE)
        self.engines[record.server].cancel(record.job, now)
        self.dispatcher.released(record, now, failed=False)

    def _send_load_reports(self, now: Seconds) -> None:
        stale = self.fault is Fault.STALE_REPORTS
        lag = STALE_REPORT_LAG if stale else REPORT_LAG
        for engine in self.engines.values():
            if engine.lost:
                continue
            report = Report(
                engine.cfg.name,
                engine.running,
                len(engine.waiting),
                engine.outstanding_tokens(),
                lag,
            )
            self._schedule_report(report, now + lag)

    def _schedule_report(self, report: Report, at: Seconds) -> None:
        self.schedule(at, lambda now: self.dispatcher.reported(report, now))

    def _schedule_fault(self) -> None:
        engine = tuple(self.engines.values())[FAULTY_SERVER_INDEX]
        third = self.duration / 3
        if self.fault is Fault.STRAGGLER:
            self.schedule(third, lambda now: engine.set_speed(STRAGGLER_SPEED, now))
        if self.fault is Fault.ENGINE_LOST:
            self.schedule(third, lambda now: self._fail_engine(engine, now))
            self.schedule(2 * third, lambda now: self._recover_engine(engine, now))

    def _fail_engine(self, engine: FakeEngine, now: Seconds) -> None:
        for job in engine.fail():
            record = self.records[job.arrival.request_id]
            if record.status is RequestStatus.PENDING:
                self._close(record, RequestStatus.FAILED)
                self.dispatcher.released(record, now, failed=True)
        self._schedule_detection(engine, now, live=False)

    def _recover_engine(self, engine: FakeEngine, now: Seconds) -> None:
        engine.recover()
        self._schedule_detection(engine, now, live=True)

    def _schedule_detection(
        self, engine: FakeEngine, now: Seconds, *, live: bool
    ) -> None:
        server = engine.cfg.name
        self.schedule(
            now + LOSS_DETECTION_DELAY,
            lambda at: self.dispatcher.server_changed(server, at, live=live),
        )
