"""Play clients that send without end and don't read what they get."""

import asyncio
import contextlib
import socket

#: Bytes that one client sends at most, over all of its connections.
CLIENT_BYTES = 2_000_000
#: Connections that one client opens at most.
CLIENT_CONNECTIONS = 20
#: Time without progress after which a client has met backpressure.
STALL_TIME = 2.0
PIECE_BYTES = 65_536

PIPELINED = b"GET /look/x HTTP/1.1\r\nHost: desk.example\r\n\r\n"
READINESS = b"GET /readyz HTTP/1.1\r\nHost: desk.example\r\n\r\n"
TRAILERS = b"t: 1\r\n"
CHUNKED = (
    b"POST /pay/x HTTP/1.1\r\nHost: desk.example\r\nX-Amaranthferry-Key: %b\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
)


class Client:
    """Send a beginning and then one block again and again, reading nothing."""

    def __init__(self, address, block, *, begin=b""):
        ip, _, port = address.partition(":")
        self._address = (ip, int(port))
        self._begin = begin
        self._piece = block * (PIECE_BYTES // len(block))
        self._sockets = []
        self.sent = 0

    async def run(self):
        """Send until the limit, or until the host takes no more bytes."""
        for _ in range(CLIENT_CONNECTIONS):
            with contextlib.suppress(OSError):
                await self._send_on(await self._connect())
                return

    async def _connect(self):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        connection.setblocking(False)
        self._sockets.append(connection)
        await asyncio.get_running_loop().sock_connect(connection, self._address)
        return connection

    async def _send_on(self, connection):
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, self._begin)
        while self.sent < CLIENT_BYTES:
            try:
                async with asyncio.timeout(STALL_TIME):
                    await loop.sock_sendall(connection, self._piece)
            except TimeoutError:
                return
            self.sent += len(self._piece)

    def close(self):
        for connection in self._sockets:
            connection.close()


class Holder:
    """Hold connections open; on each, send a beginning and nothing else."""

    def __init__(self, address, count, *, begin=b""):
        ip, _, port = address.partition(":")
        self._address = (ip, int(port))
        self._count = count
        self._begin = begin
        self._sockets = []

    async def run(self):
        loop = asyncio.get_running_loop()
        for _ in range(self._count):
            connection = socket.socket()
            connection.setblocking(False)
            self._sockets.append(connection)
            with contextlib.suppress(OSError):
                await loop.sock_connect(connection, self._address)
                await loop.sock_sendall(connection, self._begin)

    def close(self):
        for connection in self._sockets:
            connection.close()
