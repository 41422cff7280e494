"""Join one caller's connection to the runs of its request."""

import asyncio
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

import msgspec

from ..http_connection import AnswerStart
from ..problems import Problem
from ..types import Seconds, Tokens

if TYPE_CHECKING:
    from .dispatching import RoutedCall

MAX_QUEUED_CHUNKS = 256


class BufferedAnswer(msgspec.Struct, frozen=True):
    """Hold an answer that is whole."""

    start: AnswerStart
    body: bytes


class TruncatedAnswer(Exception):  # noqa: N818
    """Report within the process that a body ended early."""


class RoutedExchange:
    """Carry a call out and one answer back, over one run or several."""

    def __init__(self, call: "RoutedCall") -> None:
        self.call = call
        self.head: asyncio.Future[AnswerStart | BufferedAnswer | Problem] = (
            asyncio.get_running_loop().create_future()
        )
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        self._complete = False
        self._failure: BufferedAnswer | None = None
        self.last_event_id = ""
        self.first_byte: Seconds | None = None
        self.tokens: Tokens = 0
        self.dispatches = 0
        #: Runs whose end is not known; after one, "not run" is no longer true.
        self.unknown_dispatches = 0
        self.timed_out = False
        self.caller_disconnected = False
        self.retry_after: Seconds | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def begin(self, start: AnswerStart) -> None:
        """Pass a stream's status and headers on; a later run keeps the first ones."""
        if not self.head.done():
            self.head.set_result(start)

    async def feed(self, chunk: bytes) -> None:
        """Pass a part of a stream on, waiting while the caller is slow."""
        await self._chunks.put(chunk)

    def finish(self) -> None:
        """Mark a stream as whole."""
        self._complete = True
        self._end()

    def answer(self, start: AnswerStart, body: bytes) -> None:
        """Pass a short answer on."""
        if not self.head.done():
            self.head.set_result(BufferedAnswer(start, body))

    def save_failure(self, start: AnswerStart, body: bytes) -> None:
        """Keep a server's failure, for a caller that no other run can serve."""
        self._failure = BufferedAnswer(start, body)

    def settle(self, problem: Problem) -> None:
        """Give the caller a problem, or break off a stream that has begun."""
        if not self.head.done():
            self.head.set_result(self._failure or problem)
        self._end()

    def _end(self) -> None:
        # A full queue has no room for the end; what waits is dropped, which only
        # a stream that is broken off or a caller that has gone can meet.
        if self._chunks.full() and not self._complete:
            self._chunks.get_nowait()
        if self._chunks.full():
            asyncio.get_running_loop().create_task(self._chunks.put(None))
        else:
            self._chunks.put_nowait(None)

    async def body(self) -> AsyncIterator[bytes]:
        """Yield a stream's parts; raise AnswerBrokenOff where it ends early."""
        while (chunk := await self._chunks.get()) is not None:
            yield chunk
        if not self._complete:
            raise TruncatedAnswer
