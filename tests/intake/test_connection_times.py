"""Guard against connections that stay open without a request, a reader or an end.

Each test waits for an event with a guard against hangs, and asserts no duration.
"""

import asyncio
import contextlib
import socket

from amaranthferry.embedded import free_address
from amaranthferry.gateway.flow import ConnectionLimits, UnreadWatch
from amaranthferry.gateway.listener import Listener
from amaranthferry.intake.accounting import Intake
from amaranthferry.intake.state import Cause, IntakeLimits, Port

HANG_TIME = 20.0
LONG_BYTES = 8_000_000
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"


async def answer(scope, receive, send, *, size=2):
    headers = [(b"content-length", str(size).encode())]
    if scope["path"] == "/close":
        headers.append((b"connection", b"close"))
    start = {"type": "http.response.start", "status": 200, "headers": headers}
    await send(start)
    await send({"type": "http.response.body", "body": b"x" * size})


async def answer_long(scope, receive, send):
    await answer(scope, receive, send, size=LONG_BYTES)


class Server:
    def __init__(self, application, **limits):
        self.ended = []
        self.address = free_address()
        self.intake = Intake(
            IntakeLimits(100_000_000, {}),
            lambda holding, cause: self.ended.append(cause),
        )
        self.listener = Listener(
            application,
            self.address,
            port=Port.CALLERS,
            intake=self.intake,
            limits=ConnectionLimits(**limits),
        )

    async def __aenter__(self):
        self.listener.set_idle_timeout(1.0)
        await self.listener.start()
        return self

    async def __aexit__(self, *args):
        await self.listener.stop()

    async def connect(self, *, receive_buffer=None):
        ip, _, port = self.address.partition(":")
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (ip, int(port)))
        return sock

    async def until_closed(self):
        async with asyncio.timeout(HANG_TIME):
            while not self.intake.count(Port.CALLERS):
                await asyncio.sleep(0.01)
            while self.intake.count(Port.CALLERS):
                await asyncio.sleep(0.01)
        assert self.intake.held == 0


async def send(sock, data):
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def ask(sock):
    """Send a request and read its answer; fail if the connection ends before."""
    await send(sock, REQUEST)
    received = b""
    while not received.endswith(b"xx"):
        part = await asyncio.get_running_loop().sock_recv(sock, 4_096)
        assert part
        received += part


async def test_silent_connection_is_closed():
    async with Server(answer, first_idle=0.2) as server:
        sock = await server.connect()
        await server.until_closed()
        sock.close()


async def test_idle_connection_is_kept_for_a_longer_timeout_that_is_set_meanwhile():
    async with Server(answer) as server, asyncio.timeout(HANG_TIME):
        sock = await server.connect()
        await ask(sock)
        server.listener.set_idle_timeout(2 * HANG_TIME)
        # Longer than the timeout that the server has from its start.
        await asyncio.sleep(1.5)
        await ask(sock)
        sock.close()


async def test_idle_connection_is_kept_for_the_fraction_of_a_second_of_its_timeout():
    async with Server(answer) as server, asyncio.timeout(HANG_TIME):
        server.listener.set_idle_timeout(1.9)
        sock = await server.connect()
        await ask(sock)
        # Clients use a connection for up to four fifths of its timeout.
        await asyncio.sleep(1.9 * 0.8)
        await ask(sock)
        sock.close()


async def test_idle_connection_has_a_shorter_timeout_from_its_next_request_on():
    async with Server(answer) as server:
        sock = await server.connect()
        server.listener.set_idle_timeout(2 * HANG_TIME)
        await ask(sock)
        server.listener.set_idle_timeout(1.0)
        await ask(sock)
        await server.until_closed()
        sock.close()


async def test_blank_lines_keep_no_connection_open():
    async with Server(answer, first_idle=0.2) as server:
        sock = await server.connect()
        closed = asyncio.create_task(server.until_closed())
        with contextlib.suppress(ConnectionError):
            while not closed.done():
                await send(sock, b"\r\n")
                await asyncio.sleep(0.02)
        await closed
        sock.close()


async def test_blank_lines_behind_a_response_keep_no_connection_open():
    async with Server(answer) as server:
        sock = await server.connect()
        await send(sock, REQUEST)
        closed = asyncio.create_task(server.until_closed())
        with contextlib.suppress(ConnectionError):
            while not closed.done():
                await send(sock, b"\r\n")
                await asyncio.sleep(0.02)
        await closed
        sock.close()


async def test_body_without_end_behind_its_response_is_given_up():
    async with Server(answer, late_body=0.3) as server:
        sock = await server.connect()
        await send(sock, CHUNKED)
        closed = asyncio.create_task(server.until_closed())
        with contextlib.suppress(ConnectionError):
            while not closed.done():
                await send(sock, b"1\r\nx\r\n")
                await asyncio.sleep(0.02)
        await closed
        assert server.ended == [Cause.LATE_BODY]
        sock.close()


async def test_connection_is_used_again_behind_a_body_that_came_after_its_response():
    async with Server(answer, late_body=HANG_TIME) as server:
        sock = await server.connect()
        loop = asyncio.get_running_loop()
        await send(sock, CHUNKED)
        await loop.sock_recv(sock, 1_000)
        await send(sock, b"0\r\n\r\n" + REQUEST)
        assert (await loop.sock_recv(sock, 1_000)).startswith(b"HTTP/1.1 200 ")
        await server.until_closed()
        assert server.ended == []
        sock.close()


async def test_unread_response_ends_its_connection():
    async with Server(answer_long, unread=0.3) as server:
        sock = await server.connect(receive_buffer=4_096)
        await send(sock, REQUEST)
        await server.until_closed()
        assert server.ended == [Cause.UNREAD]
        sock.close()


async def test_unread_response_that_closes_ends_its_connection():
    async with Server(answer_long, unread=0.3) as server:
        sock = await server.connect(receive_buffer=4_096)
        await send(sock, REQUEST.replace(b" / ", b" /close "))
        await server.until_closed()
        assert server.ended == [Cause.UNREAD]
        sock.close()


async def test_response_that_is_read_slowly_arrives_as_a_whole():
    async with Server(answer_long, unread=1.0) as server:
        sock = await server.connect(receive_buffer=65_536)
        await send(sock, REQUEST)
        loop, received = asyncio.get_running_loop(), 0
        async with asyncio.timeout(3 * HANG_TIME):
            while received < LONG_BYTES:
                received += len(await loop.sock_recv(sock, 65_536))
                if received < 2_000_000:
                    await asyncio.sleep(0.01)
        assert server.ended == []
        sock.close()


async def test_next_request_begins_once_the_response_before_it_is_read():
    begun = []

    async def application(scope, receive, send):
        begun.append(scope["path"])
        await answer_long(scope, receive, send)

    async with Server(application, unread=HANG_TIME) as server:
        sock = await server.connect(receive_buffer=65_536)
        loop = asyncio.get_running_loop()
        await send(sock, REQUEST * 3)
        await asyncio.sleep(0.2)
        assert len(begun) == 1
        received = 0
        async with asyncio.timeout(HANG_TIME):
            while received < 3 * LONG_BYTES:
                received += len(await loop.sock_recv(sock, 1_000_000))
        assert len(begun) == 3
        sock.close()


class Buffer:
    """Stand in for a transport whose client reads in steps."""

    def __init__(self, sizes):
        self.sizes = sizes

    def get_write_buffer_size(self):
        return self.sizes.pop(0) if len(self.sizes) > 1 else self.sizes[0]


async def test_client_that_reads_in_each_period_is_not_stalled():
    stalled = asyncio.Event()
    buffer = Buffer([100, 90, 90, 50, 50, 1, 1, 0])
    watch = UnreadWatch(buffer, 0.001, stalled.set)
    watch.watch()
    while len(buffer.sizes) > 1:
        await asyncio.sleep(0.001)
    await asyncio.sleep(0.05)
    assert not stalled.is_set()


async def test_client_that_stops_reading_is_stalled():
    stalled = asyncio.Event()
    watch = UnreadWatch(Buffer([100, 90, 90, 90]), 0.001, stalled.set)
    watch.watch()
    async with asyncio.timeout(HANG_TIME):
        await stalled.wait()


async def test_responses_are_sent_without_nagle_s_delay():
    options = []

    async def application(scope, receive, send):
        (protocol,) = server.listener._state.connections
        sock = protocol.transport.get_extra_info("socket")
        options.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        await answer(scope, receive, send)

    async with Server(application) as server:
        sock = await server.connect()
        await send(sock, REQUEST)
        await asyncio.get_running_loop().sock_recv(sock, 1_000)
        assert options == [1]
        sock.close()
