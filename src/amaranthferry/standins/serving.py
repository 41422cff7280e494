"""Serve an ASGI application on loopback inside the running event loop."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, MutableMapping
from contextlib import asynccontextmanager
from typing import Any

import uvicorn
from starlette.requests import Request
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

LOOPBACK = "127.0.0.1"

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class _Protocol(HttpToolsProtocol):
    """Expose the connection's transport to the application."""

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope["state"]["transport"] = self.transport


def drop_connection(request: Request) -> None:
    """Abort the connection that carries a request, without an answer."""
    request.scope["state"]["transport"].abort()


def reset_connection(request: Request) -> None:
    """Reset the connection that carries a request."""
    transport = request.scope["state"]["transport"]
    linger = struct.pack("ii", 1, 0)
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    transport.abort()


class UnframedResponse:
    """Send an answer with neither a length nor chunks; its connection's end ends it.

    With a trailer, the answer is sent in chunks.
    """

    def __init__(
        self,
        body: AsyncIterator[bytes],
        headers: Mapping[str, str],
        *,
        trailer: str = "",
    ) -> None:
        self._body = body
        self._trailer = trailer
        self.headers = dict(headers)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Write the answer to the transport, past the server's framing."""
        transport = scope["state"]["transport"]
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        if self._trailer:
            lines.append("Transfer-Encoding: chunked")
        transport.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
        async for chunk in self._body:
            framed = b"%x\r\n%b\r\n" % (len(chunk), chunk)
            transport.write(framed if self._trailer else chunk)
        if self._trailer:
            transport.write(f"0\r\n{self._trailer}\r\n\r\n".encode())
        transport.close()
        await _wait_for_disconnect(receive)


class StallableApp:
    """Wrap an application so that its open connections can be stalled permanently."""

    def __init__(self, app: App, *, on_close: Callable[[], None] | None = None) -> None:
        self.app = app
        self.on_close = on_close
        self._open: dict[int, asyncio.Transport] = {}
        self._stalled: dict[int, asyncio.Transport] = {}

    def stall_connections(self) -> None:
        """Stop sending on every open connection; new connections work."""
        self._stalled.update(self._open)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Pass a request on unless its connection is stalled."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        transport = scope["state"]["transport"]
        conn_id = id(transport)
        self._remove_closed()
        self._open[conn_id] = transport

        async def send_unless_stalled(message: MutableMapping[str, Any]) -> None:
            if conn_id in self._stalled:
                await _wait_for_disconnect(receive)
            await send(message)

        if conn_id in self._stalled:
            await _wait_for_disconnect(receive)
            return
        await self.app(scope, receive, send_unless_stalled)

    def _remove_closed(self) -> None:
        for transports in (self._open, self._stalled):
            closed = [
                conn_id for conn_id, conn in transports.items() if conn.is_closing()
            ]
            for conn_id in closed:
                del transports[conn_id]


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


@asynccontextmanager
async def serve(app: App, *, port: int = 0) -> AsyncIterator[str]:
    """Serve an application until the block ends; yield its base URL.

    Requests still running at the end of the block are cancelled.
    """
    config = uvicorn.Config(
        app, log_config=None, log_level="critical", lifespan="off", ws="none"
    )
    config.load()
    state = ServerState()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: _Protocol(config, state, {}), host=LOOPBACK, port=port, backlog=2048
    )
    bound_port = server.sockets[0].getsockname()[1]
    try:
        yield f"http://{LOOPBACK}:{bound_port}"
    finally:
        server.close()
        for conn in list(state.connections):
            conn.transport.abort()
        tasks = list(state.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if isinstance(app, StallableApp) and app.on_close is not None:
            app.on_close()
