"""Send a request to a server and relay its answer."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import TypeVar

import msgspec
import structlog

from ..catalog import Route, RouteKind
from ..config import BackendServer
from ..contention.connections import IdleConnections
from ..events import (
    DispatchFailed,
    DispatchFinished,
    DispatchRefused,
    Event,
    FirstTokenSeen,
    MoveEnded,
    RunMoved,
    ServerHoldOffSeen,
    ServerLeavingSeen,
    ServerLimitSeen,
    TokensSeen,
)
from ..http_connection import (
    CHECK_TIMEOUT,
    AnswerFraming,
    AnswerStart,
    BrokenAnswer,
    HttpConnection,
    RequestNotSent,
    ServerProcess,
    check_process,
)
from ..memory import AnswerMemory
from ..messages import ServerIncarnation
from ..platform import headers
from ..relocation.messages import MoveOutcome
from ..types import (
    Decider,
    PoolId,
    RequestDigest,
    RequestId,
    Seconds,
    ServerId,
    SettingsVersion,
    Tokens,
    WorkspaceId,
)
from .exchange import RoutedExchange
from .log_events import LogEvent
from .moving import Move, MoveTarget, Spawn
from .patience import AnswerTimes, even_part
from .sse import EventReader, ResumedRun, UnprovenEvent

#: A lost SYN is retransmitted only after seconds; another server answers sooner.
CONNECT_TIMEOUT: Seconds = 0.3
PROGRESS_PERIOD: Seconds = 0.5
#: Bytes that count as progress inside an event.
PROGRESS_BYTES = 1_024
#: Interval at which a stalled stream looks for another server.
STALL_CHECK_PERIOD: Seconds = 0.25
#: Time for the rest of a stopped run's stream, which its server closes by itself.
STOPPED_STREAM_TIMEOUT: Seconds = 0.1
MAX_EVENT_BYTES = 256 * 1024
MIN_REDIRECT = 300
MIN_SERVER_ERROR = 500
#: With these a server may turn a request away that it hasn't begun to run.
REFUSAL_STATUSES = frozenset({408, 429, 503})
EVENT_STREAM = "text/event-stream"

Report = Callable[[Event], None]
_Part = TypeVar("_Part")
_log = structlog.get_logger(__name__)


class RoutedCall(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a caller's request as received, with its route, workspace and deadline."""

    request_id: RequestId
    route: Route
    workspace: WorkspaceId
    params: headers.RequestParams
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived: Seconds
    deadline: Seconds
    event_tokens: Tokens = 1
    digest: RequestDigest = RequestDigest(0)
    #: The configuration that admitted it, and the age of the read behind that.
    version: SettingsVersion = SettingsVersion(0)
    state_age: Seconds | None = None

    @property
    def streaming(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAMING


class _AnswerEnd(Enum):
    """Describe how reading an answer ended."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    UNREACHED = "unreached"


class Dispatch:
    """Perform one dispatch of a request to one server."""

    def __init__(
        self,
        exchange: RoutedExchange,
        server: BackendServer,
        report: Report,
        *,
        incarnation: ServerIncarnation,
        decided_by: Decider,
        clock: Callable[[], Seconds],
        can_rerun: Callable[[], bool],
        is_limited: Callable[[], bool],
        answers: AnswerMemory,
        times: AnswerTimes,
        connections: IdleConnections[HttpConnection],
        kept_connections: int,
        moves: bool,
        spawn: Spawn,
    ) -> None:
        self._exchange = exchange
        self._number = exchange.dispatches
        #: Whether another run's answer counts, so that this one ends nothing.
        self.superseded = False
        self.decided_by = decided_by
        self._incarnation = incarnation
        self._call = exchange.call
        self._server = server
        self._report = report
        self._clock = clock
        self._can_rerun = can_rerun
        self._is_limited = is_limited
        self._answers = answers
        self._connections = connections
        self._kept_connections = kept_connections
        self._leaving = self._misdirected = False
        self._times = times
        #: Whether the run may go on at another engine by a copy of its memory.
        self._moves = moves
        self._spawn = spawn
        self._move: Move | None = None
        self._sent_at: Seconds = 0.0
        self._tokens: Tokens = 0
        self._reported_at: Seconds = 0.0
        self._failed = False
        #: Whether the answer that has begun is the server's, and not a refusal to run.
        self._ran = False
        #: Whether it is complete, too.
        self._from_server = False
        self._conn: HttpConnection | None = None
        self.framing: AnswerFraming | None = None
        self._reader: EventReader | None = None
        self._resumed: ResumedRun | None = None
        self._end: _AnswerEnd | None = None
        self._started_at: Seconds | None = None
        self._progress_at: Seconds = 0.0
        self._unfinished = 0
        #: The limit that the answer names, as far as it has been read.
        self.limit = headers.NamedLimit()
        #: When the server counts as silent unless it sends something before.
        self._silent_at: Seconds = 0.0
        #: The state of the server's process after a broken answer.
        self.process: ServerProcess | None = None

    @property
    def server(self) -> ServerId:
        """Return the server of this dispatch."""
        return self._server.name

    @property
    def service(self) -> PoolId:
        """Return the service that the server belongs to."""
        return self._server.pool

    @property
    def rejected(self) -> bool:
        """Return whether the server refused to run the request."""
        return self._end is _AnswerEnd.NOT_RUN

    @property
    def end(self) -> str:
        """Return how the dispatch ended, for metrics."""
        return "cancelled" if self._end is None else self._end.value

    def answer_details(self) -> dict[str, object]:
        """Return what decides whether the answer is complete, for log lines."""
        return {
            "framing": self.framing,
            "closed_by_peer": self._conn is not None and self._conn.closed_by_peer,
            "partial_event": self._reader.partial_size if self._reader else 0,
            "server_limit": self.limit.rate,
        }

    def _break_details(self) -> dict[str, object]:
        """Return what tells whether a request or a prompt may have ended the server."""
        started = self._started_at
        return {
            "route": self._call.route.name,
            "service": self.service,
            "workspace": self._call.workspace,
            "digest": f"{self._call.digest:x}",
            "ran_for": self._age(self._sent_at),
            "answering_for": None if started is None else self._age(started),
            "parts": [f"{part.hash:x}" for part in self._call.params.parts],
        }

    def _age(self, since: Seconds) -> Seconds:
        return round(self._clock() - since, 4)

    async def run(self) -> None:
        """Send the request, relay its answer and report how it ended."""
        self._connections.begin(self.service, limit=self._kept_connections)
        try:
            await self._run()
        finally:
            self._connections.end(self.service)
            self._release_connection()

    async def _run(self) -> None:
        try:
            self._conn = self._take_connection() or await HttpConnection.open(
                self._server.address, timeout=CONNECT_TIMEOUT
            )
        except (OSError, TimeoutError) as exc:
            self._log(LogEvent.DISPATCH_UNREACHED, problem=str(exc) or "timeout")
            self._report_end(_AnswerEnd.UNREACHED)
            return
        try:
            end = await self._exchange_messages(self._conn)
        except BaseException:
            self._conn.abort()
            self._abandon_move()
            raise
        self._abandon_move()
        if end is not _AnswerEnd.COMPLETE:
            self._conn.abort()
        self._report_end(end)

    def _take_connection(self) -> HttpConnection | None:
        """Return a kept connection for a request that could be repeated now.

        If the server closes it at the same time, the request may have run.
        """
        route = self._call.route
        repeats = self._exchange.dispatches < route.max_attempts
        if not self._kept_connections or route.kind is not RouteKind.SAFE:
            return None
        if not (repeats and self._can_rerun()):
            return None
        return self._connections.take(self._incarnation, self._clock())

    def _release_connection(self) -> None:
        """Keep the connection of an answer that ended cleanly, or close it."""
        conn = self._conn
        if conn is None or not conn.connected:
            return
        kept = (
            self._end is _AnswerEnd.COMPLETE
            and not self._leaving
            and conn.ended_cleanly
            and self._connections.keep(
                self._incarnation,
                conn,
                self._clock(),
                service=self.service,
                duration=conn.keep_alive_time,
                limit=self._kept_connections,
            )
        )
        if not kept:
            conn.close()

    def _report_end(self, end: _AnswerEnd) -> None:
        self._end = end
        request_id = self._call.request_id
        if end in (_AnswerEnd.NOT_RUN, _AnswerEnd.UNREACHED):
            self._report(self._refused(by_server=end is _AnswerEnd.NOT_RUN))
        elif end is _AnswerEnd.BROKEN:
            self._exchange.unknown_dispatches += 1
            self._report(
                DispatchFailed(
                    now=self._clock(),
                    request_id=request_id,
                    output_tokens=self._tokens,
                    server_ended=self.process is ServerProcess.ENDED,
                    from_server=self._from_server,
                )
            )
        else:
            self._report(
                DispatchFinished(
                    now=self._clock(),
                    request_id=request_id,
                    failed=self._failed,
                    from_server=self._from_server,
                    output_tokens=self._tokens,
                )
            )

    def _refused(self, *, by_server: bool) -> DispatchRefused:
        return DispatchRefused(
            now=self._clock(),
            request_id=self._call.request_id,
            by_server=by_server,
            misdirected=self._misdirected,
        )

    async def _exchange_messages(self, conn: HttpConnection) -> _AnswerEnd:
        call = self._call
        sent = headers.request_headers(
            call.headers,
            server=self._server.name,
            workspace=call.workspace,
            remaining=call.deadline - self._clock(),
            last_event_id=self._exchange.last_event_id or call.params.last_event_id,
        )
        self._sent_at = self._clock()
        self._exchange.request_sent = True
        try:
            conn.send(call.method, call.target, sent, call.body)
            start = await self._wait_for(conn.start, self._start_timeout)
            return await self._receive_answer(conn, start)
        except RequestNotSent as exc:
            self._exchange.request_sent = False
            self._log(LogEvent.DISPATCH_UNREACHED, problem=str(exc))
            return _AnswerEnd.UNREACHED
        except (BrokenAnswer, TimeoutError) as exc:
            if self._started_at is None and isinstance(exc, TimeoutError):
                self._times.back_off(self.service, self._clock() - self._sent_at)
            details = self.answer_details() | self._break_details()
            # A server that ends after a run has stopped there doesn't end under it.
            stopped = self._move is not None and self._move.is_broken
            if not stopped and (self._conn is None or not self._conn.connected):
                self.process = await check_process(
                    self._server.address, timeout=CHECK_TIMEOUT
                )
            self._log(
                LogEvent.DISPATCH_BROKEN,
                problem=str(exc) or "timeout",
                process=self.process,
                **details,
            )
            return _AnswerEnd.BROKEN

    async def _wait_for(
        self, read: Callable[[], Awaitable[_Part]], timeout: Callable[[], Seconds]
    ) -> _Part:
        """Read a part of the answer; give up a silent server only for another one.

        Otherwise the server's silence would end an answer that it may still send.
        """
        while True:
            self._silent_at = self._clock() + timeout()
            try:
                return await self._read_until_silent(read)
            except TimeoutError:
                if self._can_rerun() or self._call.deadline <= self._clock():
                    raise

    async def _read_until_silent(self, read: Callable[[], Awaitable[_Part]]) -> _Part:
        while True:
            try:
                async with asyncio.timeout(self._silent_at - self._clock()):
                    return await read()
            except TimeoutError:
                # Chunks that were relayed meanwhile have moved the time.
                if self._silent_at <= self._clock():
                    raise

    def _start_timeout(self) -> Seconds:
        """Return the timeout for the start of the answer."""
        left = max(0.0, self._call.deadline - self._clock())
        route = self._call.route
        may_retry = self._exchange.dispatches < route.max_attempts
        if not (route.repeatable and may_retry):
            return left
        patience = left
        if route.event_timeout:
            gives_up_at = self._call.arrived + route.event_timeout
            patience = min(left, gives_up_at - self._sent_at)
        limit = self._times.silence_limit(
            self.service, patience, route, dispatches=self._exchange.dispatches
        )
        remaining = limit - (self._clock() - self._sent_at)
        return min(left, remaining if remaining > 0 else STALL_CHECK_PERIOD)

    async def _receive_answer(
        self, conn: HttpConnection, start: AnswerStart
    ) -> _AnswerEnd:
        self.framing = start.framing
        self._started_at = self._clock()
        origin = headers.read_answer_origin(start.fields(), start.status)
        self.limit = headers.read_limit(start.headers)
        if origin.is_of_server(call_attempt=self._call.params.attempt):
            self._report_limit(signed=origin.signed)
        if origin.leaving:
            self._leaving = True
            self._report(
                ServerLeavingSeen(now=self._clock(), incarnation=self._incarnation)
            )
        if origin.hold_off is not None:
            self._report(
                ServerHoldOffSeen(
                    now=self._clock(),
                    incarnation=self._incarnation,
                    duration=origin.hold_off,
                )
            )
        if origin.not_executed:
            self._misdirected = origin.misdirected
            self._log(
                LogEvent.DISPATCH_NOT_RUN,
                service=self.service,
                decided_by=self.decided_by,
                status=start.status,
                retry_after=start.fields().get(headers.RETRY_AFTER),
                hold_off=origin.hold_off,
            )
            return _AnswerEnd.NOT_RUN
        if origin.attempt and origin.attempt != self._call.params.attempt:
            raise BrokenAnswer("The answer carries the attempt id of another request.")
        if start.status < MIN_REDIRECT and not origin.signed:
            raise BrokenAnswer("The answer has no server signature.")
        self._times.observe(self.service, self._started_at - self._sent_at)
        self._ran = origin.signed and start.status not in REFUSAL_STATUSES
        self._failed = start.status >= MIN_SERVER_ERROR
        if self._failed:
            self._log(LogEvent.DISPATCH_FAILED, status=start.status)
        if self._call.streaming and _is_event_stream(start):
            return await self._relay_stream(conn, start)
        if self._exchange.has_begun:
            # The caller has the head of a stream, which no other answer can follow.
            raise BrokenAnswer(f"A begun stream is answered with {start.status}.")
        return await self._relay_buffered(conn, start)

    def _report_limit(self, *, signed: bool) -> None:
        """Report the limit that the server names, or that it names none any more.

        A refusal or failure without a signature may come from in front of the server,
        so it ends no limit.
        """
        rate = self.limit.rate
        ended = self.limit == headers.NamedLimit() and signed and self._is_limited()
        if rate is not None or ended:
            self._report(
                ServerLimitSeen(
                    now=self._clock(),
                    incarnation=self._incarnation,
                    rate=rate,
                    sent_at=self._sent_at,
                )
            )

    async def _relay_buffered(
        self, conn: HttpConnection, start: AnswerStart
    ) -> _AnswerEnd:
        """Relay a non-streamed answer once it is complete."""
        body = await self._read_body(conn)
        self._from_server = self._ran
        self._report(
            FirstTokenSeen(now=self._clock(), request_id=self._call.request_id)
        )
        if self._failed and self._call.route.repeatable:
            self._exchange.save_failure(start, body)
            return _AnswerEnd.BROKEN
        self._exchange.answer(start, body)
        return _AnswerEnd.COMPLETE

    async def _read_body(self, conn: HttpConnection) -> bytearray:
        """Read a body as a whole; the exchange holds it until the caller has it."""
        held = self._answers.hold(lambda: self._drop_answer(conn))
        left = max(0.0, self._call.deadline - self._clock())
        try:
            async with asyncio.timeout(left):
                body = await conn.body(held.grow)
        except BaseException:
            held.release()
            raise
        held.complete()
        self._exchange.hold_answer(held)
        return body

    def _drop_answer(self, conn: HttpConnection) -> None:
        """Break off an answer that has had to give way."""
        self._log(
            LogEvent.ANSWER_DROPPED,
            size=conn.body_size,
            held=self._answers.held,
            limit=self._answers.limit,
        )
        conn.give_up("There is no memory left for the answer's body.")

    async def _relay_stream(
        self, conn: HttpConnection, start: AnswerStart
    ) -> _AnswerEnd:
        """Relay a stream; a resumable one only in complete events."""
        if self._exchange.last_event_id:
            self._resumed = ResumedRun(self._exchange.last_event_id)
        resumes = bool(self._call.params.last_event_id)
        self._exchange.begin(start)
        complete_only = self._call.route.resumable or self._moves
        self._reader = reader = EventReader(complete_only=complete_only)
        self._progress_at = self._clock()
        while True:
            try:
                await self._relay_run(conn, start, reader)
                break
            except (BrokenAnswer, TimeoutError):
                moved = await self._continue_moved_run()
                if moved is None:
                    raise
                conn, start = moved
            self._resumed = ResumedRun(self._exchange.last_event_id)
            resumes = True
            self._reader = reader = EventReader(complete_only=True)
            self._progress_at, self._unfinished = self._clock(), 0
        if reader.is_inside_event:
            raise BrokenAnswer("The stream ended inside an event.")
        unframed = start.framing is AnswerFraming.CONNECTION_END
        if unframed and not (reader.has_had_event or resumes):
            raise BrokenAnswer("The stream ended before its first event.")
        if self._resumed is not None and not reader.has_had_event:
            raise BrokenAnswer("The resumed stream ended without an event.")
        self._from_server = self._ran
        if rest := reader.finish():
            await self._exchange.feed(rest)
        self._exchange.finish()
        return _AnswerEnd.COMPLETE

    async def _relay_run(
        self, conn: HttpConnection, start: AnswerStart, reader: EventReader
    ) -> None:
        """Relay what one engine writes, up to the end of its stream."""
        conn.relay_to(lambda chunk: self._relay_now(chunk, reader))
        while chunk := await self._wait_for(conn.chunk, self._gap_timeout):
            if passed := self._process(chunk, reader):
                await self._exchange.feed(passed)
        unframed = start.framing is AnswerFraming.CONNECTION_END
        if not unframed or self._move is None:
            return
        # Such a stream ends alike whether its run is complete or has been stopped.
        if await self._move.stopped() or self._move.is_stop_in_doubt:
            raise BrokenAnswer("The run has been stopped, or may have been.")

    def move_to(self, target: MoveTarget) -> None:
        """Begin to move the run; a move that can't begin is reported as declined."""
        reason = self._why_unmovable()
        if reason:
            self._log(LogEvent.MOVE_DECLINED, target=target.server.name, reason=reason)
            request_id, outcome = self._call.request_id, MoveOutcome.DECLINED
            self._report(
                MoveEnded(now=self._clock(), request_id=request_id, outcome=outcome)
            )
            return
        conn = self._conn
        assert conn is not None
        self._move = Move(
            self._server,
            target,
            request_id=self._call.request_id,
            attempt=self._call.params.attempt,
            report=self._report,
            clock=self._clock,
            spawn=self._spawn,
            on_stopped=lambda: self._end_stream_of(conn),
        )

    def _end_stream_of(self, conn: HttpConnection) -> None:
        """Have a stopped run's stream end, once what is under way has been read."""
        asyncio.get_running_loop().call_later(
            STOPPED_STREAM_TIMEOUT, conn.give_up, "The run has been stopped."
        )

    def _why_unmovable(self) -> str:
        """Return why the run can't move now, or nothing."""
        if not self._moves or self._reader is None or self._conn is None:
            return "no_stream"
        if self._call.params.attempt != self._call.request_id:
            return "no_attempt_id"
        if self._exchange.is_full:
            # Its caller might not read until the copy has expired.
            return "slow_caller"
        if not self._exchange.last_event_id:
            return "no_event_id"
        if self._move is not None and not self._move.is_over:
            return "moving"
        return "" if self._conn.connected else "ended"

    async def _continue_moved_run(self) -> tuple[HttpConnection, AnswerStart] | None:
        """Have an engine go on with a run that has stopped; None if none does."""
        move = self._move
        if move is None or not await move.stopped():
            return None
        if self._conn is not None:
            self._conn.abort()
        asks = True
        while asks:
            server, incarnation = move.next_server()
            continued = await self._resume_at(server, move)
            if continued is not None:
                self._conn = continued[0]
                self._server = server
                self._incarnation = incarnation or self._incarnation
            asks = move.handle_resumption(accepted=continued is not None)
            if continued is not None:
                break
        if continued is not None and server is move.target.server:
            now, request_id = self._clock(), self._call.request_id
            self._report(RunMoved(now=now, request_id=request_id, server=server.name))
        return continued

    async def _resume_at(
        self, server: BackendServer, move: Move
    ) -> tuple[HttpConnection, AnswerStart] | None:
        """Send the request with the copy of its run; None if it doesn't go on there."""
        call = self._call
        try:
            conn = await HttpConnection.open(server.address, timeout=CONNECT_TIMEOUT)
        except (OSError, TimeoutError):
            return None
        sent = headers.request_headers(
            call.headers,
            server=server.name,
            workspace=call.workspace,
            remaining=call.deadline - self._clock(),
            last_event_id=self._exchange.last_event_id,
            copy=move.copy,
        )
        try:
            async with asyncio.timeout(move.start_timeout):
                conn.send(call.method, call.target, sent, call.body)
                start = await conn.start()
        except (BrokenAnswer, TimeoutError):
            conn.abort()
            return None
        except BaseException:
            conn.abort()
            raise
        if not self._continues(start):
            conn.abort()
            return None
        return conn, start

    def _continues(self, start: AnswerStart) -> bool:
        """Return whether an answer goes on with the run."""
        origin = headers.read_answer_origin(start.fields(), start.status)
        own = not origin.attempt or origin.attempt == self._call.params.attempt
        ran = origin.signed and not origin.not_executed
        return own and ran and _is_event_stream(start)

    def _abandon_move(self) -> None:
        """Free the copy of a run that has ended otherwise."""
        if self._move is not None:
            self._move.abandon()

    def _relay_now(self, chunk: bytes, reader: EventReader) -> bool:
        """Relay a chunk unless the caller has to be waited for."""
        writer = self._exchange.writer
        if writer is None:
            return False
        if passed := self._process(chunk, reader):
            writer.write(passed)
        self._silent_at = self._clock() + self._gap_timeout()
        return True

    def _process(self, chunk: bytes, reader: EventReader) -> bytes:
        """Record a chunk and return the bytes to relay; raise BrokenAnswer."""
        self._count_tokens(chunk)
        passed = reader.feed(chunk)
        self._unfinished += len(chunk)
        if reader.has_event or self._unfinished >= PROGRESS_BYTES:
            self._progress_at, self._unfinished = self._clock(), 0
        elif self._stalled_for() >= self._max_gap() and self._can_rerun():
            raise BrokenAnswer("The stream brings bytes, but no event.")
        if reader.partial_size > MAX_EVENT_BYTES:
            raise BrokenAnswer("An event of the stream is too long.")
        if self._resumed is not None:
            try:
                passed = self._resumed.cut(passed)
            except UnprovenEvent as exc:
                raise BrokenAnswer("A resumed event has no id.") from exc
        if passed and reader.last_event_id:
            self._exchange.last_event_id = reader.last_event_id
        return passed

    def _max_gap(self) -> Seconds:
        """Return how long a stream may bring no event before another run goes on."""
        route, left = self._call.route, self._call.deadline - self._progress_at
        patience = min(left, route.event_timeout or left)
        return even_part(patience, route, dispatches=self._exchange.dispatches)

    def _stalled_for(self) -> Seconds:
        return self._clock() - self._progress_at

    def _gap_timeout(self) -> Seconds:
        left = max(0.0, self._call.deadline - self._clock())
        if self._call.route.resumable and self._exchange.dispatches < (
            self._call.route.max_attempts
        ):
            remaining = self._max_gap() - self._stalled_for()
            return min(left, max(STALL_CHECK_PERIOD, remaining))
        return left

    def _count_tokens(self, chunk: bytes) -> None:
        now = self._clock()
        if self._exchange.first_byte is None:
            self._exchange.first_byte = now
        if not self._tokens:
            self._report(FirstTokenSeen(now=now, request_id=self._call.request_id))
            self._reported_at = now
        self._tokens += chunk.count(b"\n\n") * self._call.event_tokens
        self._tokens = max(1, self._tokens)
        self._exchange.tokens = self._tokens
        if now - self._reported_at >= PROGRESS_PERIOD:
            self._reported_at = now
            self._report(
                TokensSeen(
                    now=now,
                    request_id=self._call.request_id,
                    output_tokens=self._tokens,
                    movable=self._moves and not self._why_unmovable(),
                )
            )

    def _log(self, event: str, **fields: object) -> None:
        _log.info(
            event,
            request_id=self._call.request_id,
            server=self._server.name,
            run=self._number,
            **fields,
        )


def _is_event_stream(start: AnswerStart) -> bool:
    kind = start.fields().get("content-type", EVENT_STREAM)
    return start.status < MIN_REDIRECT and kind.startswith(EVENT_STREAM)
