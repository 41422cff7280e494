"""Send calls to backend servers, model engines and plain services alike."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Self

import aiohttp
import msgspec
import structlog
from aiohttp.connector import Connection

from .config import MEBIBYTE, BackendServer
from .events import (
    DispatchFailed,
    DispatchFinished,
    DispatchRefused,
    Event,
    FirstTokenSeen,
    TokensSeen,
)
from .exceptions import DECODE_ERRORS
from .exchange import AnswerHead, Exchange
from .http_connection import (
    CHECK_TIMEOUT,
    ServerProcess,
    check_process,
    is_possible_status,
    is_request_read,
)
from .types import PoolKind, Seconds, Tokens

CONNECT_TIMEOUT: Seconds = 2.0
PROGRESS_PERIOD: Seconds = 1.0
MAX_RESUME_FAILURES = 3
RESUME_DELAY: Seconds = 0.3
BODILESS_STATUSES = frozenset({204, 304})
#: Size of a server's own document, and of an answer whose token counts are read.
MAX_DOCUMENT_BYTES = MEBIBYTE
MAX_COUNTED_BYTES = 4 * MEBIBYTE
STREAM_END = b"data: [DONE]"
_TAIL_BYTES = 64
_log = structlog.get_logger()
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
    }
)

_AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")

Report = Callable[[Event], None]


class _Usage(msgspec.Struct):
    """Define the token counts that an engine reports."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _UsageBody(msgspec.Struct):
    """Define the part of an engine's answer that has the token counts."""

    usage: _Usage | None = None


class _Truncated(Exception):  # noqa: N818
    """Report that a body ended before its end marker."""


class _ImpossibleStatus(Exception):  # noqa: N818
    """Report that the status of an answer is outside the possible ones."""


def end_to_end_headers(headers: list[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Drop the headers that concern one connection only."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    dropped = _HOP_BY_HOP | named
    return tuple(
        (str(key), value) for key, value in headers if key.lower() not in dropped
    )


class BackendClient:
    """Dispatch each call once, on a new connection, and resume its answer.

    With a new connection for each dispatch, no call is written to a stale
    connection, and the client library never retries a call on its own.
    """

    def __init__(self, *, idle_timeout: Seconds, clock: Callable[[], Seconds]) -> None:
        self.idle_timeout = idle_timeout
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT, sock_read=self.idle_timeout
            ),
        )

    async def stop(self) -> None:
        """Close the client session."""
        if self._session is not None:
            await self._session.close()

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the open session."""
        if self._session is None:
            raise RuntimeError(
                "The backend client has not been started. Call start first."
            )
        return self._session

    async def dispatch(
        self, exchange: Exchange, server: BackendServer, report: Report
    ) -> None:
        """Send the call, relay its answer and report the result as events."""
        attempt = _DispatchAttempt(self, exchange, server, report, clock=self._clock)
        await attempt.execute()

    async def cancel(self, exchange: Exchange, server: BackendServer) -> None:
        """Cancel the call of a disconnected caller on its engine."""
        url = f"http://{server.address}/v1/streams/{exchange.call.request_id}"
        try:
            async with self.session.delete(url):
                pass
        except (aiohttp.ClientError, TimeoutError):
            return

    async def get_json(self, server: BackendServer, path: str) -> bytes:
        """Read a small document from a server's control interface.

        Raise a client error for one that is too large.
        """
        url = f"http://{server.address}{path}"
        timeout = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT)
        async with self.session.get(url, timeout=timeout) as answer:
            answer.raise_for_status()
            document = bytearray()
            async for chunk in answer.content.iter_any():
                document += chunk
                if len(document) > MAX_DOCUMENT_BYTES:
                    raise aiohttp.ClientPayloadError("The document is too large.")
            return bytes(document)


class _ResumeResult(Enum):
    """Describe how an attempt to resume an answer ended."""

    COMPLETE = "complete"
    ALIVE = "alive"
    FAILED = "failed"


class _DispatchAttempt:
    """Represent one dispatch: connect, read the answer and resume it if it breaks."""

    def __init__(
        self,
        client: BackendClient,
        exchange: Exchange,
        server: BackendServer,
        report: Report,
        *,
        clock: Callable[[], Seconds],
    ) -> None:
        self._client = client
        self._exchange = exchange
        self._call = exchange.call
        self._server = server
        self._report = report
        self._clock = clock
        self._offset = 0
        self._tokens: Tokens = 0
        self._cached: Tokens = 0
        self._tail = b"\n"
        self._reported_at = 0.0
        self._status = 0
        self._unstreamed_body = bytearray()
        #: Whether the body is too long for its token counts to be read.
        self._uncounted = False
        #: Whether the server has refused the last connection.
        self._server_ended = False

    async def execute(self) -> None:
        try:
            await self._run_step(self._send)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            self._report(
                DispatchRefused(now=self._clock(), request_id=self._call.request_id)
            )
        except (
            aiohttp.ClientError,
            TimeoutError,
            _Truncated,
            _ImpossibleStatus,
            OSError,
        ):
            await self._resume()

    async def _run_step(self, step: Callable[[], Awaitable[bool]]) -> None:
        if await step():
            await self._finish()

    async def _send(self) -> bool:
        headers = [*self._call.headers, ("X-Request-Id", self._call.request_id)]
        url = f"http://{self._server.address}{self._call.path}"
        async with self._client.session.request(
            self._call.method,
            url,
            data=self._call.body or None,
            headers=headers,
            allow_redirects=False,
            skip_auto_headers=_AUTOMATIC_HEADERS,
            timeout=self._timeout(),
        ) as answer:
            if self._is_refusal(answer):
                self._report(
                    DispatchRefused(
                        now=self._clock(),
                        request_id=self._call.request_id,
                        by_server=True,
                    )
                )
                return False
            self._begin(answer)
            await self._read(answer)
        return True

    def _timeout(self) -> aiohttp.ClientTimeout:
        idle = self._client.idle_timeout
        if self._call.kind is PoolKind.SERVICE:
            # A plain service's answer can't be resumed: wait up to the call's timeout.
            idle = max(idle, self._call.timeout)
        return aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT, sock_read=idle
        )

    def _is_refusal(self, answer: aiohttp.ClientResponse) -> bool:
        not_admitted = answer.headers.get("X-Not-Admitted", "").lower() == "true"
        return not_admitted and answer.status in (429, 503)

    def _begin(self, answer: aiohttp.ClientResponse) -> None:
        if not is_possible_status(answer.status):
            _log.warning(
                "engine.status_impossible",
                server=self._server.name,
                request_id=self._call.request_id,
                status=answer.status,
            )
            raise _ImpossibleStatus
        self._status = answer.status
        self._cached = int(answer.headers.get("X-Cached-Tokens", "0") or 0)
        headers = end_to_end_headers(list(answer.headers.items()))
        forwarded = tuple(
            (key, value)
            for key, value in headers
            if key.lower() not in ("date", "server")
        )
        self._exchange.begin(AnswerHead(answer.status, forwarded))

    async def _read(self, answer: aiohttp.ClientResponse) -> None:
        end = _UnframedEnd.of(answer)
        try:
            async for chunk in answer.content.iter_any():
                await self._process_chunk(chunk)
            if end is not None and not await end.is_orderly():
                raise _Truncated
        finally:
            if end is not None:
                end.release()
        if self._needs_end_marker() and not self._has_end_marker():
            raise _Truncated

    def _has_end_marker(self) -> bool:
        # The first line of the tail may be the end of a longer one.
        return STREAM_END in self._tail.splitlines()[1:]

    def _needs_end_marker(self) -> bool:
        engine = self._call.kind is PoolKind.ENGINE
        return engine and self._call.streamed and self._status == 200

    async def _process_chunk(self, chunk: bytes) -> None:
        now = self._clock()
        if self._offset == 0:
            seen = FirstTokenSeen(now=now, request_id=self._call.request_id)
            self._report(seen)
            self._reported_at = now
        self._offset += len(chunk)
        self._tail = (self._tail + chunk)[-_TAIL_BYTES:]
        if self._call.streamed:
            self._tokens += chunk.count(b"data:")
            self._report_progress(now)
        elif self._call.kind is PoolKind.ENGINE and not self._uncounted:
            self._unstreamed_body += chunk
            if len(self._unstreamed_body) > MAX_COUNTED_BYTES:
                self._unstreamed_body.clear()
                self._uncounted = True
                _log.warning(
                    "engine.answer_not_counted",
                    server=self._server.name,
                    request_id=self._call.request_id,
                    limit=MAX_COUNTED_BYTES,
                )
        await self._exchange.feed(chunk)

    def _report_progress(self, now: Seconds) -> None:
        if now - self._reported_at < PROGRESS_PERIOD:
            return
        self._reported_at = now
        seen = TokensSeen(
            now=now, request_id=self._call.request_id, output_tokens=self._tokens
        )
        self._report(seen)

    async def _resume(self) -> None:
        failures = 0
        while self._call.kind is PoolKind.ENGINE and failures < MAX_RESUME_FAILURES:
            match await self._try_resume():
                case _ResumeResult.COMPLETE:
                    await self._finish()
                    return
                case _ResumeResult.ALIVE:
                    failures = 0
                case _ResumeResult.FAILED:
                    failures += 1
                    await asyncio.sleep(RESUME_DELAY)
        if self._call.kind is PoolKind.SERVICE:
            process = await check_process(self._server.address, timeout=CHECK_TIMEOUT)
            self._server_ended = process is ServerProcess.ENDED
        failed = DispatchFailed(
            now=self._clock(),
            request_id=self._call.request_id,
            output_tokens=self._tokens,
            server_ended=self._server_ended,
        )
        self._report(failed)

    async def _try_resume(self) -> _ResumeResult:
        url = f"http://{self._server.address}/v1/streams/{self._call.request_id}"
        query = {"offset": str(self._offset)}
        found = self._server_ended = False
        before = self._offset
        try:
            async with self._client.session.get(url, params=query) as answer:
                if answer.status != 200:
                    return _ResumeResult.FAILED
                found = True
                if not self._exchange.head.done():
                    self._begin(answer)
                await self._read(answer)
        except TimeoutError:
            return _ResumeResult.ALIVE if found else _ResumeResult.FAILED
        except aiohttp.ClientConnectorError as exc:
            self._server_ended = isinstance(exc.os_error, ConnectionRefusedError)
            return _ResumeResult.FAILED
        except (aiohttp.ClientError, _Truncated, _ImpossibleStatus, OSError):
            return (
                _ResumeResult.ALIVE if self._offset > before else _ResumeResult.FAILED
            )
        return _ResumeResult.COMPLETE

    async def _finish(self) -> None:
        await self._exchange.finish()
        usage = self._usage()
        self._report(
            DispatchFinished(
                now=self._clock(),
                request_id=self._call.request_id,
                prompt_tokens=usage.prompt_tokens,
                cached_tokens=self._cached,
                output_tokens=self._tokens or usage.completion_tokens,
            )
        )

    def _usage(self) -> _Usage:
        if not self._unstreamed_body:
            return _Usage()
        try:
            body = msgspec.json.decode(bytes(self._unstreamed_body), type=_UsageBody)
        except DECODE_ERRORS:
            return _Usage()
        return body.usage or _Usage()


class _UnframedEnd:
    """Watch the end of the connection of an answer that only this end completes.

    The client library also completes such an answer when its connection is reset. It
    closes its socket at the end of the server's side, so a duplicate is watched.
    """

    def __init__(self, connection: Connection) -> None:
        assert connection.protocol is not None and connection.transport is not None
        self._closed = connection.protocol.closed
        self._sock = connection.transport.get_extra_info("socket").dup()

    @classmethod
    def of(cls, answer: aiohttp.ClientResponse) -> Self | None:
        """Return the end that completes an answer, or None for one with framing."""
        if answer.method == "HEAD" or answer.status in BODILESS_STATUSES:
            return None
        if answer.headers.keys() & {"Content-Length", "Transfer-Encoding"}:
            return None
        if answer.connection is None or answer.connection.transport is None:
            raise _Truncated
        return cls(answer.connection)

    async def is_orderly(self) -> bool:
        """Return whether the connection ended without a reset, its request read."""
        if self._closed is None or not self._closed.done() or self._closed.exception():
            return False
        return await is_request_read(self._sock)

    def release(self) -> None:
        """Close the duplicate of the socket."""
        self._sock.close()


async def cancel_and_wait(task: asyncio.Task[None] | None) -> None:
    """Cancel a task and wait until it has ended."""
    if task is None:
        return
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
