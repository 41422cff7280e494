"""Listen for HTTP on one address with uvicorn's protocol, without its server."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from math import ceil
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
)
from uvicorn.server import ServerState

from ..config import KIBIBYTE
from ..intake.accounting import Intake
from ..intake.state import Port
from ..types import Seconds
from .connection import CallerConnection
from .flow import ConnectionLimits

BACKLOG = 512
#: Connections that asyncio accepts at once, before those beyond the limit are closed.
ACCEPT_BATCH = 16
#: Time for the first request of a connection that is accepted just before the stop.
NEW_CONNECTION_TIMEOUT: Seconds = 0.2
#: Time for writing the last answers.
CLOSE_TIMEOUT: Seconds = 0.2
CLOSE_CHECK_PERIOD: Seconds = 0.01
#: Bytes that are read at once, from one connection after the other.
READ_BYTES = 64 * KIBIBYTE
Application = Callable[[Any, Any, Any], Awaitable[None]]


class Listener:
    """Serve one ASGI application on one address."""

    def __init__(
        self,
        application: Application,
        address: str,
        *,
        port: Port,
        intake: Intake,
        limits: ConnectionLimits | None = None,
    ) -> None:
        self._address = address
        self._port, self._intake = port, intake
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
        self._limits = limits or ConnectionLimits()
        self._read_buffer = memoryview(bytearray(READ_BYTES))
        self._server: asyncio.Server | None = None

    def set_idle_timeout(self, idle: Seconds) -> None:
        """Set the idle timeout of new connections and of those that are open."""
        self._config.timeout_keep_alive = timeout = max(1, ceil(idle))
        for protocol in list(self._state.connections):
            if isinstance(protocol, CallerConnection):
                protocol.set_idle_timeout(timeout)

    def set_head_limits(self, size: int, time: Seconds) -> None:
        """Set what a request's head may have and take."""
        self._limits.head_size, self._limits.head_time = size, time

    async def start(self) -> None:
        """Bind the address and accept connections."""
        self._config.load()
        ip, _, port = self._address.rpartition(":")
        family = socket.AF_INET6 if ":" in ip else socket.AF_INET
        # asyncio disables Nagle's algorithm only for sockets of a named protocol.
        listening = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind((ip.strip("[]"), int(port)))
            loop = asyncio.get_running_loop()
            self._server = await loop.create_server(
                self._protocol, sock=listening, backlog=ACCEPT_BATCH
            )
            # asyncio accepts as many connections at once as the backlog that it is given.
            listening.listen(BACKLOG)
        except OSError:
            listening.close()
            raise

    def _protocol(self) -> HttpToolsProtocol:
        return CallerConnection(
            limits=self._limits,
            config=self._config,
            server_state=self._state,
            read_buffer=self._read_buffer,
            intake=self._intake,
            port=self._port,
        )

    def account(self) -> None:
        """Tell how much is held for each connection, also for one that is written to."""
        for protocol in list(self._state.connections):
            if isinstance(protocol, CallerConnection):
                protocol.account()

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
