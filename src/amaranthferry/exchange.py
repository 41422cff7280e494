"""Connect one caller to one dispatch; the answer's bytes bypass the reducer."""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from .claim_record import StoredAnswer
from .config import BackendServer
from .problems import Problem
from .types import PoolKind, RequestId, Seconds

MAX_QUEUED_CHUNKS = 64


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """Define the call that is sent unchanged to the backend server."""

    request_id: RequestId
    kind: PoolKind
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    streamed: bool
    timeout: Seconds


class AnswerHead(msgspec.Struct, frozen=True):
    """Define the status and headers of an answer; the body follows in chunks."""

    status: int
    headers: tuple[tuple[str, str], ...]


class AnswerTruncated(Exception):  # noqa: N818
    """Report that an answer's body ended early; it is never sent to a caller."""


class Exchange:
    """Represent one call and the answer that is streamed back."""

    def __init__(self, call: Call, *, record_limit: int = 0) -> None:
        self.call = call
        self.head: asyncio.Future[AnswerHead | Problem] = (
            asyncio.get_running_loop().create_future()
        )
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        self._record_limit = record_limit
        self._recorded = bytearray()
        self._complete = False
        self.caller_disconnected = False
        self.task: asyncio.Task[None] | None = None
        self.server: BackendServer | None = None

    def begin(self, head: AnswerHead) -> None:
        """Pass the answer's status and headers to the caller."""
        if not self.head.done():
            self.head.set_result(head)

    async def feed(self, chunk: bytes) -> None:
        """Pass a chunk of the body on, waiting while the caller is slow."""
        if len(self._recorded) <= self._record_limit:
            self._recorded += chunk
        if not self.caller_disconnected:
            await self._chunks.put(chunk)

    async def finish(self) -> None:
        """Mark the body as complete."""
        self._complete = True
        await self._end()

    async def settle(self, problem: Problem) -> None:
        """Send the caller a problem, or truncate a body that has already started."""
        if not self.head.done():
            self.head.set_result(problem)
        await self._end()

    async def _end(self) -> None:
        if not self.caller_disconnected:
            await self._chunks.put(None)

    def disconnect(self) -> None:
        """Mark the caller as disconnected and unblock the producer."""
        self.caller_disconnected = True
        while not self._chunks.empty():
            self._chunks.get_nowait()
        self._chunks.put_nowait(None)

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body; raise AnswerTruncated where it ends early."""
        while (chunk := await self._chunks.get()) is not None:
            yield chunk
        if not self._complete:
            raise AnswerTruncated(self.call.request_id)

    def stored_answer(self) -> StoredAnswer | None:
        """Return the complete answer if it is within the record limit, else None."""
        if not self._complete or len(self._recorded) > self._record_limit:
            return None
        if not self.head.done():
            return None
        head = self.head.result()
        if isinstance(head, Problem):
            return None
        return StoredAnswer(head.status, head.headers, bytes(self._recorded))

    async def replay(self, answer: StoredAnswer) -> None:
        """Send the caller a recorded answer."""
        self.begin(AnswerHead(answer.status, answer.headers))
        await self.feed(answer.body)
        await self.finish()
