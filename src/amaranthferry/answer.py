"""Send an exchange's answer to its caller over ASGI."""

import asyncio
from collections.abc import Callable

import structlog
from starlette.types import Receive, Scope, Send

from .exchange import AnswerHead, AnswerTruncated, Exchange
from .problems import Problem
from .types import Outcome, PoolKind, Seconds

CALLER_STALL_TIMEOUT: Seconds = 120.0
_log = structlog.get_logger()


class AnswerResponse:
    """Stream an answer as it arrives, and detect when the caller disconnects."""

    def __init__(
        self, exchange: Exchange, *, on_disconnect: Callable[[], None]
    ) -> None:
        self._exchange = exchange
        self._on_disconnect = on_disconnect

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the ASGI response."""
        watcher = asyncio.create_task(self._watch_disconnect(receive))
        try:
            await self._respond(send)
        except (TimeoutError, OSError):
            self._disconnect()
        finally:
            watcher.cancel()

    async def _watch_disconnect(self, receive: Receive) -> None:
        message = await receive()
        while message["type"] != "http.disconnect":
            message = await receive()
        self._disconnect()

    def _disconnect(self) -> None:
        if not self._exchange.caller_disconnected:
            self._exchange.disconnect()
            self._on_disconnect()

    async def _respond(self, send: Send) -> None:
        head = await self._exchange.head
        if isinstance(head, Problem):
            await self._send_problem(head, send)
            return
        await self._send_head(head, send)
        try:
            async for chunk in self._exchange.body():
                await self._send_chunk(chunk, send, more=True)
        except AnswerTruncated:
            await self._send_truncation_error(send)
            raise
        await self._send_chunk(b"", send, more=False)

    async def _send_head(self, head: AnswerHead, send: Send) -> None:
        headers = [
            (k.lower().encode("latin-1"), v.encode("latin-1")) for k, v in head.headers
        ]
        headers.append((b"outcome", str(Outcome.DONE).encode()))
        headers.append((b"x-request-id", self._exchange.call.request_id.encode()))
        start = {"type": "http.response.start", "status": head.status}
        await send({**start, "headers": headers})

    async def _send_chunk(self, chunk: bytes, send: Send, *, more: bool) -> None:
        message = {"type": "http.response.body", "body": chunk, "more_body": more}
        async with asyncio.timeout(CALLER_STALL_TIMEOUT):
            await send(message)

    async def _send_problem(self, problem: Problem, send: Send) -> None:
        engine = self._exchange.call.kind is PoolKind.ENGINE
        await send_problem(
            problem,
            send,
            openai=engine,
            request_id=self._exchange.call.request_id,
        )

    async def _send_truncation_error(self, send: Send) -> None:
        """Send a streaming caller an error event, and leave the body unterminated."""
        if self._exchange.caller_disconnected or not self._exchange.call.streamed:
            return
        body = Problem.from_unknown().openai_body()
        await self._send_chunk(b"data: " + body + b"\n\n", send, more=True)


async def send_problem(
    problem: Problem, send: Send, *, openai: bool, request_id: str = ""
) -> None:
    """Send a problem as one response."""
    body = problem.openai_body() if openai else problem.problem_body()
    media_type = "application/json" if openai else "application/problem+json"
    headers = {
        **problem.headers(),
        "Content-Type": media_type,
        "X-Request-Id": request_id,
    }
    encoded = [(k.lower().encode(), v.encode()) for k, v in headers.items()]
    await send(
        {
            "type": "http.response.start",
            "status": problem.status,
            "headers": [*encoded, (b"content-length", str(len(body)).encode())],
        }
    )
    await send({"type": "http.response.body", "body": body})
