"""Listen for HTTP on one address with uvicorn's protocol, without its server."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import httptools
import structlog
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

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
_log = structlog.get_logger(__name__)
Application = Callable[[Any, Any, Any], Awaitable[None]]


class FlowState(Protocol):
    """Tell whether writes to a connection have to wait for its peer to read."""

    write_paused: bool


class _Protocol(HttpToolsProtocol):
    """Read each request as its caller has framed it, whatever else it offers.

    The parser ends a request that offers an upgrade at its head, where another protocol
    would begin. None is taken up here, so the request is parsed again without the offer.
    """

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self.app_state[FLOW_STATE] = self.flow

    def data_received(self, data: bytes) -> None:
        self._unset_keepalive_if_required()
        while data:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                data = self._without_offer() + data[exc.args[0] :]
                if self.transport.is_closing():
                    return
                self.parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError as exc:
                self._refuse(f"Invalid HTTP request received: {exc}.")
                return
            else:
                return

    def _without_offer(self) -> bytes:
        """Return the head of the request that was parsed last without its offer."""
        method = self.parser.get_method()
        if method == b"CONNECT":
            self._refuse("CONNECT is not supported.")
            return b""
        lines = [b"%b %b HTTP/%b" % (method, self.url, self._http_version)]
        lines += [
            b"%b: %b" % (name, value) for name, value in self.headers if name != UPGRADE
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    @property
    def _http_version(self) -> bytes:
        return self.parser.get_http_version().encode("ascii")

    def _refuse(self, problem: str) -> None:
        """Answer what is no request with 400, and close the connection."""
        _log.info(LogEvent.REQUEST_MALFORMED, problem=problem)
        self.send_400_response("Invalid HTTP request received.")

    def on_headers_complete(self) -> None:
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
        self._server: asyncio.Server | None = None

    def set_idle_timeout(self, idle: Seconds) -> None:
        """Set the idle timeout; it applies to new connections."""
        self._config.timeout_keep_alive = max(1, int(idle))

    async def start(self) -> None:
        """Bind the address and accept connections."""
        self._config.load()
        ip, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocol, ip, int(port), backlog=BACKLOG, reuse_address=True
        )

    def _protocol(self) -> HttpToolsProtocol:
        return _Protocol(config=self._config, server_state=self._state, app_state={})

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
