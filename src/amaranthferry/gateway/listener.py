"""Listen for HTTP on one address with uvicorn's protocol, without its server."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import httptools
import msgspec
import structlog
import uvicorn
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol
from uvicorn.server import ServerState

from ..config import KIBIBYTE
from ..types import Seconds
from .log_events import LogEvent

BACKLOG = 512
#: Time for the first request of a connection that is accepted just before the stop.
NEW_CONNECTION_TIMEOUT: Seconds = 0.2
#: Time for writing the last answers.
CLOSE_TIMEOUT: Seconds = 0.2
CLOSE_CHECK_PERIOD: Seconds = 0.01
#: Key of a request's `FlowState` in its ASGI state.
FLOW_STATE = "flow"
UPGRADE = b"upgrade"
CONNECT = b"CONNECT"
MALFORMED = 400
HEAD_TOO_LATE = 408
HEAD_TOO_LARGE = 431
_log = structlog.get_logger(__name__)
Application = Callable[[Any, Any, Any], Awaitable[None]]


class FlowState(Protocol):
    """Tell whether writes to a connection have to wait for its peer to read."""

    write_paused: bool


class HeadTooLarge(Exception):  # noqa: N818
    """Report a request whose head is over the limit; internal."""


class HeadLimits(msgspec.Struct):
    """Define how large a request's head may be, in bytes, and how long it may take."""

    size: int = 64 * KIBIBYTE
    time: Seconds = 10.0


class _Protocol(HttpToolsProtocol):
    """Read each request as its caller has framed it, without protocol upgrades.

    The parser ends a request that offers an upgrade at its head, where another protocol
    would begin. None is supported here, so it is parsed again without that header.
    """

    def __init__(
        self, *, limits: HeadLimits, config: uvicorn.Config, server_state: ServerState
    ) -> None:
        super().__init__(config=config, server_state=server_state, app_state={})
        self._limits = limits
        #: Bytes of the head that is arriving, or None outside of heads.
        self._head_bytes: int | None = None
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self.app_state[FLOW_STATE] = self.flow

    def connection_lost(self, exc: Exception | None) -> None:
        self._end_head()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self._unset_keepalive_if_required()
        self._feed(data)
        if self._head_bytes is None or self.transport.is_closing():
            return
        self._head_bytes += len(data)
        if self._head_bytes > self._limits.size:
            self._refuse(HEAD_TOO_LARGE, "The head is too large.")
        elif self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self._limits.time, self._refuse, HEAD_TOO_LATE, "The head is too late."
            )

    def _feed(self, data: bytes) -> None:
        while data:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                if self.parser.get_method() == CONNECT:
                    self._refuse(MALFORMED, "CONNECT is not supported.")
                    return
                data = self._without_upgrade() + data[exc.args[0] :]
                self.parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError as exc:
                if isinstance(exc.__context__, HeadTooLarge):
                    self._refuse(HEAD_TOO_LARGE, "The head is too large.")
                else:
                    self._refuse(MALFORMED, f"Invalid HTTP request received: {exc}.")
                return
            else:
                return

    def _without_upgrade(self) -> bytes:
        """Return the head of the last parsed request without its Upgrade header."""
        version = self.parser.get_http_version().encode("ascii")
        lines = [b"%b %b HTTP/%b" % (self.parser.get_method(), self.url, version)]
        lines += [
            b"%b: %b" % (name, value) for name, value in self.headers if name != UPGRADE
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _refuse(self, status: int, problem: str) -> None:
        """Answer what is no request, unless another answer is written, and close."""
        _log.info(LogEvent.REQUEST_MALFORMED, status=status, problem=problem)
        self._end_head()
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.keep_alive = False
            self.flow.pause_reading()
            return
        head = b"%bcontent-length: 0\r\nconnection: close\r\n\r\n"
        self.transport.write(head % STATUS_LINE[status])
        self.transport.close()

    def _end_head(self) -> None:
        self._head_bytes = None
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._head_bytes = 0

    def on_headers_complete(self) -> None:
        self._end_head()
        size = len(self.url) + sum(len(k) + len(v) for k, v in self.headers)
        if size > self._limits.size:
            raise HeadTooLarge
        if not self.parser.should_upgrade():
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        if not self.parser.should_upgrade():
            super().on_body(body)

    def on_message_complete(self) -> None:
        if not self.parser.should_upgrade():
            super().on_message_complete()


class Listener:
    """Serve one ASGI application on one address."""

    def __init__(self, application: Application, address: str) -> None:
        self._address = address
        self._config = uvicorn.Config(
            application,
            http="httptools",
            interface="asgi3",
            ws="none",
            lifespan="off",
            log_config=None,
            log_level="critical",
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
        )
        self._state = ServerState()
        self._limits = HeadLimits()
        self._server: asyncio.Server | None = None

    def set_idle_timeout(self, idle: Seconds) -> None:
        """Set the idle timeout; it applies to new connections."""
        self._config.timeout_keep_alive = max(1, int(idle))

    def set_head_limits(self, size: int, time: Seconds) -> None:
        """Set what a request's head may have and take."""
        self._limits.size, self._limits.time = size, time

    async def start(self) -> None:
        """Bind the address and accept connections."""
        self._config.load()
        ip, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocol, ip, int(port), backlog=BACKLOG, reuse_address=True
        )

    def _protocol(self) -> HttpToolsProtocol:
        return _Protocol(
            limits=self._limits, config=self._config, server_state=self._state
        )

    def close_idle(self) -> None:
        """Close idle connections now and the others after their current request.

        A connection without a request is a new one, whose first request may be on its
        way.
        """
        for protocol in list(self._state.connections):
            if isinstance(protocol, HttpToolsProtocol) and protocol.cycle is not None:
                protocol.shutdown()

    async def stop(self) -> None:
        """Stop listening and close every connection that has no request."""
        if self._server is not None:
            self._server.close()
        for protocol in list(self._state.connections):
            protocol.shutdown()
        await asyncio.sleep(0)

    async def finish(self) -> None:
        """Stop listening, answer what has been accepted, and close all connections."""
        # Connections that wait to be accepted would be reset with the socket.
        await asyncio.sleep(0)
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(NEW_CONNECTION_TIMEOUT)
        await self.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT):
                while self._state.connections:
                    await asyncio.sleep(CLOSE_CHECK_PERIOD)
