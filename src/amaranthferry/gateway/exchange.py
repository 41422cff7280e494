"""Connect one caller to the dispatches of its request."""

import asyncio
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Protocol

import msgspec

from ..config import KIBIBYTE
from ..http_connection import CHUNK_COST_BYTES, AnswerStart
from ..memory import HeldAnswer
from ..problems import Problem
from ..types import Seconds, Tokens

if TYPE_CHECKING:
    from ..hedging.runs import Run
    from .dispatching import Dispatch, RoutedCall

#: Bytes of a stream that wait for a slow caller before its server has to wait too.
MAX_QUEUED_BYTES = 256 * KIBIBYTE


class BufferedAnswer(msgspec.Struct, frozen=True):
    """Represent a complete answer."""

    start: AnswerStart
    body: bytes | bytearray


class TruncatedAnswer(Exception):  # noqa: N818
    """Report that a body ended early; internal."""


class Writer(Protocol):
    """Write the chunks of a stream to a caller."""

    @property
    def is_writable(self) -> bool:
        """Return whether the caller reads fast enough for a write without a wait."""

    def write(self, chunk: bytes) -> None:
        """Write a chunk without waiting."""


class RoutedExchange:
    """Track a call and its answer, over one or more dispatches."""

    def __init__(self, call: "RoutedCall") -> None:
        self.call = call
        self.head: asyncio.Future[AnswerStart | BufferedAnswer | Problem] = (
            asyncio.get_running_loop().create_future()
        )
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._queued_bytes = 0
        self._has_room = asyncio.Event()
        self._has_room.set()
        self._writer: Writer | None = None
        #: Whether everything that left the queue has been written.
        self._idle = False
        self._complete = False
        self._failure: BufferedAnswer | None = None
        self.last_event_id = ""
        self.first_byte: Seconds | None = None
        self.tokens: Tokens = 0
        self.dispatches = 0
        #: Whether bytes of the current dispatch may have been written to its server.
        self.request_sent = False
        #: Dispatches of unknown outcome; after one the request may have been executed.
        self.unknown_dispatches = 0
        self.timed_out = False
        self.caller_disconnected = False
        self.retry_after: Seconds | None = None
        self.task: asyncio.Task[None] | None = None
        #: The dispatch that runs now.
        self.dispatch: Dispatch | None = None
        self.timer: asyncio.TimerHandle | None = None
        #: The run that counts, and the next decision on a second one, with hedging on.
        self.run: Run | None = None
        self.check: asyncio.TimerHandle | None = None
        self._held_answers: list[HeldAnswer] = []
        #: Whether the caller has its answer, or none is owed any more.
        self._is_over = False

    def begin(self, start: AnswerStart) -> None:
        """Relay a stream's status and headers; later dispatches do not change them."""
        if not self.head.done():
            self.head.set_result(start)

    @property
    def has_begun(self) -> bool:
        """Return whether the caller gets a stream whose head is settled."""
        return self.head.done() and isinstance(self.head.result(), AnswerStart)

    def attach(self, writer: Writer) -> None:
        """Set the writer of a stream whose status and headers have been written."""
        self._writer = writer

    @property
    def writer(self) -> Writer | None:
        """Return the writer if a chunk can be written now, without the queue."""
        if self._writer is None or not self._idle or not self._chunks.empty():
            return None
        return self._writer if self._writer.is_writable else None

    async def feed(self, chunk: bytes) -> None:
        """Relay a chunk of a stream, waiting while the queue is full."""
        while not self._has_room.is_set():
            await self._has_room.wait()
        self._count(len(chunk) + CHUNK_COST_BYTES)
        self._chunks.put_nowait(chunk)

    @property
    def is_full(self) -> bool:
        """Return whether the server has to wait for a slow caller."""
        return not self._has_room.is_set()

    def _count(self, size: int) -> None:
        """Add to the bytes that wait, and have the server wait while there are many."""
        self._queued_bytes += size
        if self._queued_bytes < MAX_QUEUED_BYTES:
            self._has_room.set()
        else:
            self._has_room.clear()

    def finish(self) -> None:
        """Mark a stream as complete."""
        self._complete = True
        self._end()

    def answer(self, start: AnswerStart, body: bytes | bytearray) -> None:
        """Relay a complete answer."""
        if not self.head.done():
            self.head.set_result(BufferedAnswer(start, body))

    def save_failure(self, start: AnswerStart, body: bytes | bytearray) -> None:
        """Save a server's failure to return it if no other dispatch succeeds."""
        self._failure = BufferedAnswer(start, body)

    def settle(self, problem: Problem) -> None:
        """Answer with a problem, or end a stream that has begun."""
        if not self.head.done():
            self.head.set_result(self._failure or problem)
        self._end()

    def _end(self) -> None:
        self._chunks.put_nowait(None)

    def hold_answer(self, held: HeldAnswer) -> None:
        """Hold an answer that has been read as a whole until the caller has one."""
        if self._is_over:
            held.release()
        else:
            self._held_answers.append(held)

    def release_answers(self) -> None:
        """Release the answers; the caller has one of them or won't get any."""
        self._is_over = True
        for held in self._held_answers:
            held.release()
        self._held_answers.clear()

    async def body(self) -> AsyncIterator[bytes]:
        """Yield a stream's chunks; raise TruncatedAnswer if it ends early."""
        while (chunk := await self._next_chunk()) is not None:
            yield chunk
        if not self._complete:
            raise TruncatedAnswer

    async def _next_chunk(self) -> bytes | None:
        self._idle = True
        try:
            chunk = await self._chunks.get()
        finally:
            self._idle = False
        if chunk is not None:
            self._count(-len(chunk) - CHUNK_COST_BYTES)
        return chunk
