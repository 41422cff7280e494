"""Send HTTP/1.1 requests over a connection, one at a time."""

import asyncio
import fcntl
import re
import select
import socket
import struct
import termios
from collections import deque
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Protocol, Self

import httptools
import msgspec

from .types import Seconds

#: Bytes of an answer that are buffered before reading from the socket is paused.
MAX_BUFFERED_BYTES = 256 * 1024
#: Bytes of an answer that are no body: its head, chunk framing and trailers. Small
#: chunks have more framing than body.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_RATIO = 64
#: What a buffered chunk takes besides its bytes.
CHUNK_COST_BYTES = 64
#: Size up to which an answer is read as a whole.
MAX_BODY_BYTES = 16 * 1024 * 1024
#: Parts of such an answer's body: each one costs processor time, however short it is.
MAX_BODY_PARTS = MAX_BODY_BYTES // 256
#: Answers with lower statuses are informational: the final one follows.
MIN_FINAL_STATUS = 200
#: Statuses that an answer can have.
MIN_STATUS, MAX_STATUS = 100, 599
#: Time without acknowledgement of sent data before a connection is closed.
UNACKNOWLEDGED_TIMEOUT: Seconds = 3.0
#: Time in which a server reads the rest of a request after the end of its answer, and
#: the interval at which that is checked.
REST_TIMEOUT: Seconds = 1.0
REST_CHECK_PERIOD: Seconds = 0.01


#: What ends the head of an answer.
HEAD_END = b"\r\n\r\n"
_KEEP_ALIVE_TIME = re.compile(
    r"(?:^|[,;\s])timeout=(\d{1,6})(?:$|[,;\s])", re.IGNORECASE
)

#: Takes received bytes at once, or returns False to have them buffered.
Sink = Callable[[bytes], bool]


class BrokenAnswer(Exception):  # noqa: N818
    """Report that an answer is truncated or is not valid HTTP; internal."""


class RequestNotSent(BrokenAnswer):
    """Report that no byte of a request was written, so that it can't have run."""


#: Timeout of the connection that tells whether a server's process has ended; the
#: request's next attempt waits for it.
CHECK_TIMEOUT: Seconds = 0.15


class ServerProcess(StrEnum):
    """Represent what a new connection tells about a server's process."""

    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"


async def check_process(address: str, *, timeout: Seconds) -> ServerProcess:
    """Connect to `IP:PORT` to tell an ended process from a lost connection."""
    ip, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            transport, _ = await loop.create_connection(asyncio.Protocol, ip, int(port))
    except ConnectionRefusedError:
        return ServerProcess.ENDED
    except (OSError, TimeoutError):
        return ServerProcess.UNKNOWN
    transport.abort()
    return ServerProcess.RUNNING


def is_possible_status(status: int) -> bool:
    """Return whether an answer can have a status."""
    return MIN_STATUS <= status <= MAX_STATUS


class Socket(Protocol):
    """Ask the kernel about a connection."""

    def fileno(self) -> int:
        """Return the descriptor."""

    def getsockopt(self, level: int, name: int, /) -> int:
        """Return an option."""


def unacknowledged_bytes(sock: Socket) -> int:
    """Return how much of what was written the peer's kernel has not acknowledged."""
    size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return int(struct.unpack("i", size)[0])


def has_failed(sock: Socket) -> bool:
    """Return whether the connection has been reset, or lost in another way."""
    return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def _no_bytes() -> int:
    """Return that all bytes have been written."""
    return 0


async def is_request_read(
    sock: Socket, unwritten: Callable[[], int] = _no_bytes
) -> bool:
    """Return whether a server reads the rest of its request in time.

    It has ended its side of the connection, which it may still reset. `unwritten` tells
    how many bytes the socket has not taken yet.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + REST_TIMEOUT
    while not has_failed(sock):
        if not (unwritten() or unacknowledged_bytes(sock)):
            return True
        if loop.time() >= until:
            return False
        await asyncio.sleep(REST_CHECK_PERIOD)
    return False


class AnswerFraming(StrEnum):
    """Define what marks the end of an answer's body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_END = "connection_end"


class AnswerStart(msgspec.Struct, frozen=True):
    """Describe an answer's status and headers; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    framing: AnswerFraming = AnswerFraming.LENGTH

    def fields(self) -> dict[str, str]:
        """Return the headers by name, with the last value of a repeated one."""
        return dict(self.headers)


def _always(size: int) -> bool:
    """Find room for any number of bytes."""
    return True


class HttpConnection(asyncio.Protocol):
    """Send one request at a time and read its answer in chunks."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._headers: list[tuple[str, str]] = []
        self._start: AnswerStart | None = None
        #: Parts of the body that the parser finds in the bytes that it is fed.
        self._parts: list[bytes] = []
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._received = 0
        self._body_bytes = 0
        self._part_count = 0
        #: Bytes received since the last ones of the body.
        self._bodiless_bytes = 0
        self._complete = False
        self._framed = False
        self._bodiless = False
        self._informational = False
        self._error: Exception | None = None
        self._sink: Sink | None = None
        self._sink_error: BrokenAnswer | None = None
        self._keep_alive = False
        #: The head until its end is found, and its size; -1 if it has no such end.
        self._head = bytearray()
        self._head_size = 0
        #: Whether the peer has closed the connection in order, not by a reset.
        self.closed_by_peer = False
        #: Waits for the server to read the rest of the request, after its answer.
        self._rest: asyncio.Task[None] | None = None

    @classmethod
    async def open(cls, address: str, *, timeout: Seconds) -> Self:
        """Connect to `IP:PORT`; raise OSError when that fails or takes too long."""
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout):
            _, conn = await loop.create_connection(cls, ip, int(port))
        return conn

    @property
    def reusable(self) -> bool:
        """Return whether the connection can be used for another request."""
        return (
            self._keep_alive
            and self._complete
            and self._error is None
            and self.connected
        )

    @property
    def ended_cleanly(self) -> bool:
        """Return whether the answer ended where its length says, without a byte more.

        The parser ignores some bytes after an answer, so these are counted.
        """
        if self._start is None or self._start.framing is not AnswerFraming.LENGTH:
            return False
        expected = self._head_size + self._body_bytes
        return self.reusable and self._head_size > 0 and self._received == expected

    @property
    def keep_alive_time(self) -> Seconds:
        """Return how long the server keeps the idle connection, as far as it says."""
        fields = self._start.fields() if self._start is not None else {}
        match = _KEEP_ALIVE_TIME.search(fields.get("keep-alive", ""))
        return float(match[1]) if match else 0.0

    @property
    def is_quiet(self) -> bool:
        """Return whether the connection is open, and nothing waits to be read from it.

        The end of the connection may have been received without having been read.
        """
        if self._transport is None or self._error is not None or not self.connected:
            return False
        sock = self._transport.get_extra_info("socket")
        if sock is None:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)

    @property
    def body_size(self) -> int:
        """Return the bytes of the answer's body that have been received."""
        return self._body_bytes

    @property
    def connected(self) -> bool:
        """Return whether the connection is open in both directions."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its timeout for unacknowledged data."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            milliseconds = int(UNACKNOWLEDGED_TIMEOUT * 1_000)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)

    def eof_received(self) -> bool:
        """Complete an answer that has no other end than its connection's orderly end.

        If it comes before the server has read the request, a reset may follow, by which
        an answer that was broken off is told from a whole one.
        """
        self.closed_by_peer = True
        if self._transport is None or self._start is None or self._framed:
            return False
        sock = self._transport.get_extra_info("socket")
        if sock is None or not unacknowledged_bytes(sock):
            self._complete = True
            return False
        self._rest = self._loop.create_task(self._await_rest(sock, self._transport))
        return True

    async def _await_rest(self, sock: Socket, transport: asyncio.Transport) -> None:
        """Complete the answer once its request has been read, or fail it."""
        if await is_request_read(sock, transport.get_write_buffer_size):
            self._complete = True
            self._wake()
        else:
            self.give_up("The answer ended before its request had been read.")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an answer that is not complete."""
        self._transport = None
        if self._rest is not None:
            self._rest.cancel()
        if not self._complete and self._error is None:
            self._error = BrokenAnswer(
                "The connection was closed before the answer was complete."
            )
        self._wake()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort the connection if no request is pending."""
        if self._parser is None or self._complete:
            self._fail("Bytes were received without a pending request.")
            return
        before = self._body_bytes
        self._received += len(data)
        if not self._head_size:
            self._find_head_end(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("The answer switches the protocol, which no request asks for.")
        except httptools.HttpParserError as exc:
            self._fail(f"The answer is not valid HTTP: {exc}.")
        self._buffer_parts()
        self._limit_overhead(len(data), self._body_bytes - before)
        if not self._pass_on() or self._complete or self._error is not None:
            self._wake()

    def _find_head_end(self, data: bytes) -> None:
        if self._start is not None or self._error is not None:
            # The parser has found an end that isn't the usual one, or an error.
            self._head_size = -1
            self._head.clear()
            return
        head = self._head + data if self._head else data
        end = head.find(HEAD_END)
        if end < 0:
            self._head += data
            return
        self._head_size = end + len(HEAD_END)
        self._head.clear()

    def _limit_overhead(self, received: int, body: int) -> None:
        """Fail an answer with too many bytes that are no body, in all or in a row."""
        self._bodiless_bytes = 0 if body else self._bodiless_bytes + received
        overhead = self._received - self._body_bytes
        limit = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * self._body_bytes
        if overhead > limit or self._bodiless_bytes > MAX_OVERHEAD_BYTES:
            self._fail("The answer's head, chunk framing or trailers are too long.")

    def _buffer_parts(self) -> None:
        """Buffer what has been parsed as one chunk, however small its parts are."""
        if not self._parts:
            return
        chunk = b"".join(self._parts)
        self._part_count += len(self._parts)
        self._parts.clear()
        self._chunks.append(chunk)
        self._body_bytes += len(chunk)
        self._buffered += len(chunk) + CHUNK_COST_BYTES
        if self._buffered >= MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def relay_to(self, sink: Sink) -> None:
        """Offer received chunks to a sink while `chunk` waits for them.

        An error that the sink raises is raised by `chunk`.
        """
        self._sink = sink

    def _pass_on(self) -> bool:
        """Pass the buffered chunks to the sink; return whether it has taken them."""
        is_awaited = self._waiter is not None and not self._waiter.done()
        if self._sink is None or not self._chunks or not is_awaited:
            return False
        data = b"".join(self._chunks)
        try:
            if not self._sink(data):
                return False
        except BrokenAnswer as exc:
            self._sink_error = exc
            return False
        count = len(self._chunks)
        self._chunks.clear()
        self._release(len(data), count)
        return True

    def _release(self, size: int, count: int = 1) -> None:
        """Count the bytes of some chunks as no longer buffered."""
        self._buffered -= size + count * CHUNK_COST_BYTES
        if self._transport is not None and self._buffered < MAX_BUFFERED_BYTES:
            self._transport.resume_reading()

    def give_up(self, problem: str) -> None:
        """Break off the answer that is being read."""
        self._fail(problem)
        self._wake()

    def _fail(self, problem: str) -> None:
        self._error = self._error or BrokenAnswer(problem)
        self.abort()

    def send(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes = b"",
    ) -> None:
        """Write one request; its answer is read by `start` and `chunk`."""
        if self._transport is None or self._transport.is_closing():
            raise RequestNotSent("The connection is closed.")
        self._parser = httptools.HttpResponseParser(self)
        self._start, self._complete, self._framed = None, False, False
        self._informational = False
        self._headers, self._keep_alive = [], False
        self._sink = self._sink_error = None
        self._bodiless = method == "HEAD"
        self._chunks.clear()
        self._parts.clear()
        self._buffered = self._received = self._bodiless_bytes = 0
        self._head.clear()
        self._head_size = 0
        self._body_bytes = self._part_count = 0
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"content-length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self._transport.write(head)
        if body:
            self._transport.write(body)

    async def start(self) -> AnswerStart:
        """Return the answer's status and headers; raise BrokenAnswer."""
        while self._start is None:
            await self._wait()
        return self._start

    async def chunk(self) -> bytes:
        """Return the next chunk of the body, or no bytes at its end."""
        while self._sink_error is None and not self._chunks:
            if self._complete:
                return b""
            await self._wait()
        if self._sink_error is not None:
            raise self._sink_error
        chunk = self._chunks.popleft()
        self._release(len(chunk))
        return chunk

    async def body(self, grow: Callable[[int], bool] = _always) -> bytearray:
        """Return the body; raise BrokenAnswer if it ends early or is too long.

        `grow` is told of each chunk's size, and returns whether it finds room.
        """
        body = bytearray()
        try:
            await self._read_into(body, grow)
        except BaseException:
            # The traceback keeps the buffer for as long as the error is handled.
            body.clear()
            raise
        return body

    async def _read_into(self, body: bytearray, grow: Callable[[int], bool]) -> None:
        while chunk := await self.chunk():
            if not grow(len(chunk)):
                raise BrokenAnswer("There is no memory left for the answer's body.")
            body += chunk
            if len(body) > MAX_BODY_BYTES:
                raise BrokenAnswer("The answer's body is too long.")
            if self._part_count > MAX_BODY_PARTS:
                raise BrokenAnswer("The answer's body has too many parts.")

    async def _wait(self) -> None:
        if self._error is not None:
            raise self._error
        if self._transport is None and not self._complete:
            raise BrokenAnswer("The connection is closed.")
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def close(self) -> None:
        """Close the connection after written data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle one header from the parser."""
        if self._complete or self._start is not None:
            # Headers after the body are trailers, which aren't relayed.
            return
        pair = (name.decode("latin-1").lower(), value.decode("latin-1"))
        self._headers.append(pair)

    def on_headers_complete(self) -> None:
        """Handle the end of the headers from the parser."""
        assert self._parser is not None
        if self._complete:
            return
        status = self._parser.get_status_code()
        if not is_possible_status(status):
            self._fail(f"No answer has the status {status:03}.")
            return
        self._informational = status < MIN_FINAL_STATUS
        if self._informational:
            self._headers.clear()
            return
        framing = self._framing()
        self._framed = framing is not AnswerFraming.CONNECTION_END
        self._keep_alive = self._parser.should_keep_alive() and self._framed
        self._start = AnswerStart(status, tuple(self._headers), framing)
        if self._bodiless:
            # The parser would wait for the body that the headers announce.
            self._complete, self._keep_alive = True, False

    def _framing(self) -> AnswerFraming:
        names = {name for name, _ in self._headers}
        if "transfer-encoding" in names:
            return AnswerFraming.CHUNKED
        if "content-length" in names:
            return AnswerFraming.LENGTH
        return AnswerFraming.CONNECTION_END

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body from the parser."""
        if self._complete:
            return
        self._parts.append(body)

    def on_message_begin(self) -> None:
        """Handle the start of an answer; a second one belongs to no request."""
        if self._start is not None:
            self._error = BrokenAnswer("A second answer was received for one request.")

    def on_message_complete(self) -> None:
        """Handle the end of the answer from the parser; an informational one is none."""
        if not self._informational:
            self._complete = True
