"""Read the requests of one connection, and bound what is held for it."""

import asyncio
from typing import Any

import httptools
import uvicorn
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)
from uvicorn.server import ServerState

from ..config import KIBIBYTE
from ..intake.accounting import Intake
from ..intake.costs import CONNECTION_COST, connection_size
from ..intake.state import Cause, Port
from ..types import Seconds
from .flow import (
    FLOW_STATE,
    ConnectionLimits,
    Flow,
    HeadTooLarge,
    UnreadWatch,
    announced_length,
    head_without_upgrade,
)

#: Bytes that are parsed at once. The requests in them are held in parsed form, which
#: takes some 3 KB for each, so that 113 of the shortest ones take 340 KB.
PIECE_BYTES = 2 * KIBIBYTE
#: Unparsed bytes behind a running request after which no more are read. Some are read
#: so that the end of a connection is noticed while its request runs.
READ_AHEAD_BYTES = 16 * KIBIBYTE
#: Change of what is held for a connection from which on it is told.
ACCOUNTED_BYTES = KIBIBYTE
#: Fields of a head up to which a short one is not accounted for by itself.
FEW_FIELDS = 32
CONNECT = b"CONNECT"
#: Methods whose requests hardly ever have a body, so that its length isn't looked for.
BODILESS = frozenset((b"GET", b"HEAD"))
MALFORMED = 400
HEAD_TOO_LATE = 408
HEAD_TOO_LARGE = 431


class CallerConnection(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Read each request as its caller has framed it, without protocol upgrades.

    While a whole request is in progress, or responses are unread, nothing more is
    parsed, and little more is read. All connections read into one buffer: asyncio calls
    `buffer_updated` as soon as it has filled the buffer.

    The parser ends a request that offers an upgrade at its head, where another protocol
    would begin. None is supported here, so it is parsed again without that header.
    """

    def __init__(
        self,
        *,
        limits: ConnectionLimits,
        config: uvicorn.Config,
        server_state: ServerState,
        read_buffer: memoryview,
        intake: Intake,
        port: Port,
    ) -> None:
        super().__init__(config=config, server_state=server_state, app_state={})
        self.headers = []
        self._limits = limits
        self._read_buffer = read_buffer
        self._intake, self._port = intake, port
        #: Bytes that have been read and not been parsed.
        self._pending = bytearray()
        #: Bytes of the current body that are still expected, if its length is known.
        self._body_left = 0
        #: Bytes of the current body that have arrived.
        self._body_bytes = 0
        #: Whether the head of the current message has ended, and its body has not.
        self._in_body = False
        #: Bytes of the current body since its last chunk began or brought something.
        self._framing_bytes = 0
        #: The latest request that has been started.
        self._active: RequestResponseCycle | None = None
        #: Whether the next request waits until the caller has read its responses.
        self._waits_for_reader = False
        #: Whether the connection ends without another request.
        self._refused = False
        #: Bytes of the head that is arriving, or None outside of heads.
        self._head_bytes: int | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._late_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Count the new connection."""
        super().connection_made(transport)
        self.flow = self._flow = Flow(transport)
        self.app_state[FLOW_STATE] = self.flow
        self._unread = UnreadWatch(transport, self._limits.unread, self._end_unread)
        self._holding = self._intake.open(self._port, self._give_way)
        self.account()
        self._arm_idle(max(self._limits.first_idle, self.timeout_keep_alive))

    def set_idle_timeout(self, idle: int) -> None:
        """Set the idle timeout; a longer one also applies to the current idle time.

        A client that knows only the one before may use it to the end.
        """
        longer = idle - self.timeout_keep_alive
        self.timeout_keep_alive = idle
        task = self.timeout_keep_alive_task
        if longer > 0 and task is not None:
            self._unset_keepalive_if_required()
            self._arm_idle(task.when() + longer - self.loop.time())

    def _arm_idle(self, idle: Seconds) -> None:
        """Close the connection after a time unless a request begins."""
        self.timeout_keep_alive_task = self.loop.call_later(
            idle, self.timeout_keep_alive_handler
        )

    def _give_way(self) -> None:
        """End the connection in favour of others."""
        self._refused = True
        self._pending.clear()
        self.transport.abort()

    def account(self) -> None:
        """Tell how much is held for the connection, if that has changed much."""
        size = connection_size(
            fields=len(self.headers),
            head=self._head_bytes or 0,
            body=self._body_bytes,
            queued=len(self.pipeline),
            pending=len(self._pending),
            unread=self.transport.get_write_buffer_size(),
        )
        if abs(size - self._holding.size) >= ACCOUNTED_BYTES:
            self._intake.resize(self._holding, size)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what is held for the connection."""
        self._end_head()
        self._pending.clear()
        self._end_late_body()
        self._unread.stop()
        self._unset_keepalive_if_required()
        self._intake.close(self._holding)
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections of the listener share."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Copy what has been read, since the next connection overwrites it."""
        self.data_received(bytes(self._read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse what has been read, or keep it until the request in progress ends."""
        if self._refused:
            return
        if self._in_body:
            self._unset_keepalive_if_required()
        if self._pending or self._is_busy:
            self._pending += data
        elif len(data) <= PIECE_BYTES:
            self._parse_piece(data)
            if not (self._in_body or self.pipeline or len(self.headers) > FEW_FIELDS):
                # Nothing is pending, and little is held.
                return
        else:
            self._pending += self._parse(data)
        self._set_read_ahead()
        self.account()

    @property
    def _is_busy(self) -> bool:
        """Return whether a whole request is in progress, or its response is unread."""
        if self.pipeline or self._waits_for_reader:
            return True
        cycle = self.cycle
        return not (cycle is None or cycle.more_body or cycle.response_complete)

    def _parse(self, data: bytes) -> bytes:
        """Parse data in pieces until a request is whole; return what is left."""
        begin, size = 0, len(data)
        while begin < size and not self._refused and not self._is_busy:
            end = begin + max(PIECE_BYTES, self._body_left)
            self._parse_piece(data[begin:end])
            begin = end
        return b"" if self._refused else data[begin:]

    def _parse_piece(self, piece: bytes) -> None:
        self._framing_bytes += len(piece)
        self._feed(piece)
        if self._in_body:
            self._limit_framing()
        elif self._head_bytes is not None and not self.transport.is_closing():
            self._limit_head(len(piece))

    def _limit_head(self, size: int) -> None:
        """Count the bytes of a head that has not ended, and limit its time."""
        assert self._head_bytes is not None
        self._head_bytes += size
        # The piece in which a head begins may also have the end of another message.
        if self._head_bytes > self._limits.head_size + PIECE_BYTES:
            self._refuse(HEAD_TOO_LARGE, "The head is too large.")
        elif self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self._limits.head_time,
                self._refuse,
                HEAD_TOO_LATE,
                "The head is too late.",
            )

    def _limit_framing(self) -> None:
        """Limit the bytes of one chunk's head, and of all trailers."""
        if self._framing_bytes > self._limits.head_size and not self._refused:
            self._refuse(HEAD_TOO_LARGE, "The trailers or extensions are too large.")

    def _set_read_ahead(self) -> None:
        """Stop reading while enough bytes wait to be parsed."""
        self._flow.has_enough = len(self._pending) >= READ_AHEAD_BYTES
        if self._flow.has_enough:
            self.flow.pause_reading()

    def on_response_complete(self) -> None:
        """Begin the next request once the response is read."""
        if self.flow.write_paused and not self.transport.is_closing():
            self._waits_for_reader = True
            self._unread.watch()
            self.account()
        else:
            self._advance()

    def resume_writing(self) -> None:
        """Begin the request that has waited for the caller to read."""
        super().resume_writing()
        if self._waits_for_reader:
            self._waits_for_reader = False
            self._advance()

    def _advance(self) -> None:
        """Begin the next request of the connection."""
        self._intake.complete(self._holding)
        self._body_bytes = 0
        super().on_response_complete()
        if self.transport.is_closing():
            self._unread.watch()
        elif self._in_body and not self.pipeline:
            self._late_timer = self.loop.call_later(
                self._limits.late_body,
                self._intake.end,
                self._holding,
                Cause.LATE_BODY,
            )
        if self._pending and not self.transport.is_closing() and not self._is_busy:
            data = bytes(self._pending)
            self._pending.clear()
            self._pending += self._parse(data)
            was_full = self._flow.has_enough
            self._set_read_ahead()
            if was_full and not self._flow.has_enough:
                self.flow.resume_reading()
        if self._holding.size > CONNECTION_COST:
            self.account()

    def _end_unread(self) -> None:
        if self._waits_for_reader or self.transport.is_closing():
            self._intake.end(self._holding, Cause.UNREAD)

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection."""
        super().timeout_keep_alive_handler()
        self._unread.watch()

    def shutdown(self) -> None:
        """Close the connection once no request is in progress."""
        super().shutdown()
        if self.transport.is_closing():
            self._unread.watch()

    def _feed(self, data: bytes) -> None:
        while data:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                if self.parser.get_method() == CONNECT:
                    self._refuse(MALFORMED, "CONNECT is not supported.")
                    return
                head = head_without_upgrade(self.parser, self.url, self.headers)
                data = head + data[exc.args[0] :]
                self.parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError as exc:
                if isinstance(exc.__context__, HeadTooLarge):
                    self._refuse(HEAD_TOO_LARGE, "The head is too large.")
                else:
                    self._refuse(MALFORMED, f"Invalid HTTP request received: {exc}.")
                return
            else:
                return

    def _refuse(self, status: int, problem: str) -> None:
        """Answer what is no request, unless another answer is written, and close.

        A request whose message is broken is given up before it runs: it runs only once
        its body has arrived as a whole.
        """
        self._intake.on_refused(self._port, status, problem)
        self._refused = True
        self._pending.clear()
        self._end_head()
        last: RequestResponseCycle | None = self.cycle
        if self._in_body:
            if not self._withdraw(self.cycle):
                self.cycle.disconnected = True
                self.cycle.message_event.set()
                if not self.cycle.response_started:
                    self._write_refusal(status)
                self._close()
                return
            last = self.pipeline[0][0] if self.pipeline else self._active
        if last is not None and not last.response_complete:
            last.keep_alive = False
            self.flow.pause_reading()
            return
        self._write_refusal(status)
        self._close()

    def _close(self) -> None:
        self.transport.close()
        self._unread.watch()

    def _withdraw(self, cycle: RequestResponseCycle) -> bool:
        """Remove a request that waits for earlier ones; return whether it did."""
        waited = bool(self.pipeline) and self.pipeline[0][0] is cycle
        if waited:
            self.pipeline.popleft()
        return waited

    def _write_refusal(self, status: int) -> None:
        head = b"%bcontent-length: 0\r\nconnection: close\r\n\r\n"
        self.transport.write(head % STATUS_LINE[status])

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._active = cycle
        task = self.loop.create_task(cycle.run_asgi(app))
        task.add_done_callback(self._end_task)
        self.tasks.add(task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if self.transport.is_closing():
            self._unread.watch()

    def _end_late_body(self) -> None:
        if self._late_timer is not None:
            self._late_timer.cancel()
            self._late_timer = None

    def _end_head(self) -> None:
        self._head_bytes = None
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def on_message_begin(self) -> None:
        """Begin to count a head."""
        super().on_message_begin()
        self._unset_keepalive_if_required()
        self._head_bytes = 0

    def on_headers_complete(self) -> None:
        """Check the size of a head, and begin its request."""
        self._end_head()
        size = len(self.url) + sum(len(k) + len(v) for k, v in self.headers)
        if size > self._limits.head_size:
            raise HeadTooLarge
        if not self.parser.should_upgrade():
            super().on_headers_complete()
            self._in_body = True
            self._body_bytes = 0
            self._framing_bytes = 0
            if self.parser.get_method() not in BODILESS:
                self._body_left = announced_length(self.headers)

    def on_chunk_header(self) -> None:
        """Count the bytes of the next chunk's framing anew."""
        self._framing_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Pass a part of a body on."""
        self._framing_bytes = 0
        self._body_bytes += len(body)
        self._body_left = max(0, self._body_left - len(body))
        if not self.parser.should_upgrade():
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Note that the request is whole."""
        self._in_body = False
        self._body_left = 0
        if not self.parser.should_upgrade():
            super().on_message_complete()
            self._end_late_body()
            if not self.cycle.response_complete:
                self._intake.begin(self._holding)
            elif self.timeout_keep_alive_task is None:
                self._arm_idle(self.timeout_keep_alive)
