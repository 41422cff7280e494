"""Play servers that answer before they have read the request, and answers of no status."""

import asyncio
import contextlib
import socket
import struct
from enum import Enum

import pytest

from .fleet import entry, fleet

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
async def early_fleet(end, service="ledger", **answer):
    """Run a host whose only server of a service answers early."""
    early = EarlyServer(end, **answer)
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    listening.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(early.serve, sock=listening)
    address = f"127.0.0.1:{listening.getsockname()[1]}"
    async with fleet(engines=0, ledgers=0) as (system, caller):
        await system.store.put("servers", "early", entry(service, address))
        while "early" not in system.hosts[0].state.deployment.servers:
            await asyncio.sleep(0.01)
        yield caller
    server.close()
    async with asyncio.timeout(2.0):
        while early.open_connections:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("end", [End.RESET, End.CLOSED, End.HALF_CLOSED, End.LEFT_OPEN])
async def test_early_answer_without_length_is_not_complete_before_its_request(end):
    async with early_fleet(end) as caller:
        _, status, headers, body = await caller.send("POST", "/pay/x", data=UPLOAD)
    # The last one is given up at the deadline or just before.
    assert status in ((502, 504) if end is End.LEFT_OPEN else (502,))
    assert "Retry-After" not in headers
    assert PART not in body


@pytest.mark.parametrize("end", [End.READ_ON, End.READ])
async def test_answer_without_length_is_complete_once_its_request_is_read(end):
    async with early_fleet(end) as caller:
        _, status, _, body = await caller.send("POST", "/pay/x", data=UPLOAD)
    assert (status, body) == (200, PART)


@pytest.mark.parametrize("framing", [b"", b"Content-Length: 14\r\n"])
@pytest.mark.parametrize("status", [b"000 None", b"099 None", b"600 None", b"999 None"])
async def test_answer_with_an_impossible_status_reaches_no_caller(status, framing):
    async with early_fleet(End.READ, status=status, framing=framing) as caller:
        _, found, headers, body = await caller.send("POST", "/pay/x", data=b"1")
    assert found == 502
    assert "X-Amaranthferry-Server-Signature" not in headers
    assert PART not in body


async def test_body_of_an_impossible_status_is_no_part_of_the_next_answer():
    final = b"HTTP/1.1 200 OK\r\nX-Amaranthferry-Server-Signature: s\r\n"
    framing = b"Content-Length: 4\r\n\r\nnone" + final + b"Content-Length: 14\r\n"
    async with early_fleet(End.READ, status=b"000 None", framing=framing) as caller:
        _, status, _, _ = await caller.send("POST", "/pay/x", data=b"1")
    assert status == 502
