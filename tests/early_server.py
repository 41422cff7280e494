"""Run servers that answer before they have read their request."""

import asyncio
import contextlib
import socket
import struct
from enum import Enum

#: More than the connection to the server holds.
UPLOAD = b"u" * 3_000_000
RECEIVE_BYTES = 32 * 1024
HEAD = (
    b"HTTP/1.1 %b\r\nX-Amaranthferry-Server-Signature: s\r\n"
    b"X-Amaranthferry-Attempt-Id: %b\r\n"
)
PART = b"the first part"


class End(Enum):
    """Define how a server ends its answer without a length."""

    RESET = "reset"
    CLOSED = "closed with unread bytes"
    HALF_CLOSED = "reset after the end of the answer"
    LEFT_OPEN = "never closed after the end of the answer"
    READ_ON = "closed in order after the rest of the request"
    READ = "closed in order after the whole request"


class EarlyServer:
    """Answer with the part of a body as soon as the head of a request has been read."""

    def __init__(self, end, status=b"200 OK", framing=b""):
        self._end, self._status, self._framing = end, status, framing
        self.open_connections = 0

    async def serve(self, reader, writer):
        self.open_connections += 1
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self._answer(reader, writer)
        finally:
            writer.close()
            self.open_connections -= 1

    async def _answer(self, reader, writer):
        attempt, length = b"", 0
        while (line := await reader.readline()).strip():
            name, _, value = line.partition(b":")
            if name.lower() == b"x-amaranthferry-attempt-id":
                attempt = value.strip()
            if name.lower() == b"content-length":
                length = int(value)
        if self._end is End.READ:
            await reader.readexactly(length)
        else:
            writer.transport.pause_reading()
        head = HEAD % (self._status, attempt)
        writer.write(head + self._framing + b"\r\n" + PART)
        await asyncio.sleep(0.05)
        await self._finish(reader, writer, length)

    async def _finish(self, reader, writer, length):
        if self._end in (End.HALF_CLOSED, End.LEFT_OPEN, End.READ_ON):
            writer.write_eof()
        if self._end is End.READ_ON:
            writer.transport.resume_reading()
            await reader.readexactly(length)
        elif self._end in (End.HALF_CLOSED, End.LEFT_OPEN):
            await asyncio.sleep(0.05 if self._end is End.HALF_CLOSED else 1.0)
        if self._end in (End.RESET, End.HALF_CLOSED):
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


@contextlib.asynccontextmanager
async def early_server(end, **answer):
    """Run a server that answers early; yield its address."""
    early = EarlyServer(end, **answer)
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    listening.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(early.serve, sock=listening)
    yield f"127.0.0.1:{listening.getsockname()[1]}"
    server.close()
    async with asyncio.timeout(2.0):
        while early.open_connections:
            await asyncio.sleep(0.01)
