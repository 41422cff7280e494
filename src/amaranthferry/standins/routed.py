"""Stand in for the backend servers of routed requests and their faults."""

import asyncio
from collections.abc import AsyncIterator, Callable
from enum import StrEnum

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.types import Receive, Scope, Send

from ..types import Seconds
from .serving import UnframedResponse, drop_connection, reset_connection

HANG_DURATION: Seconds = 3_600.0
#: Interval between the bytes of a stalled stream.
STALL_INTERVAL: Seconds = 0.2
#: Chunks that an answer without end brings at once, and the pause between two bursts.
ENDLESS_CHUNK = b"nan "
ENDLESS_BURST = 200
ENDLESS_INTERVAL: Seconds = 0.002
FOREIGN_PAGE = b"<html>\n<body>no such server</body>\n</html>\n\n"


class ServerFault(StrEnum):
    """Define how a server fails its next requests."""

    NONE = "none"
    FULL = "full"
    ERROR = "error"
    BUSY = "busy"
    REJECTED = "rejected"
    RESET_AFTER_EXECUTION = "reset_after_run"
    CUT_STREAM = "cut_stream"
    RESET_STREAM = "reset_stream"
    END_IN_EVENT = "end_in_event"
    STALLED_STREAM = "stalled_stream"
    NO_ANSWER = "mute"
    UNSIGNED = "unsigned"
    WRONG_ATTEMPT_ID = "crossed"
    #: The stream begins with its first event, whatever the caller has had.
    RESTARTED_STREAM = "restarted"
    EMPTY_STREAM = "empty"
    #: The stream's body is the page of a proxy.
    FOREIGN_STREAM = "foreign"
    #: A failure whose body goes on in short chunks until the caller closes.
    ENDLESS_FAILURE = "endless"


_CUT_FAULTS = {
    ServerFault.CUT_STREAM: drop_connection,
    ServerFault.RESET_STREAM: reset_connection,
}
#: Faults that end a stream inside its second event.
_STREAM_FAULTS = {*_CUT_FAULTS, ServerFault.END_IN_EVENT}


class ReceivedRequest(msgspec.Struct, frozen=True):
    """Represent a request as the server received it."""

    attempt: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class RoutedServer:
    """Answer requests as one incarnation of a server."""

    def __init__(
        self, name: str, *, event_count: int = 3, event_interval: Seconds = 0.0
    ) -> None:
        self.name = name
        self.event_count = event_count
        self.event_interval = event_interval
        self.processing_time: Seconds = 0.0
        self.fault = ServerFault.NONE
        #: Whether answers have neither a length nor chunks.
        self.unframed = False
        #: Retry-After of refusals.
        self.retry_after = ""
        #: Trailer of unframed answers, which are then sent in chunks.
        self.trailer = ""
        #: Whether the server says in all its answers that it leaves.
        self.leaving = False
        #: Limit that the server names in all its answers, or nothing.
        self.limit = ""
        #: Value of the header that tells how long idle connections are kept, or nothing.
        self.keep_alive = ""
        #: The port of the caller of each request, which tells connections apart.
        self.caller_ports: list[int] = []
        #: Hashes of prompt parts that end the process once an answer begins on them.
        self.harmful_parts: frozenset[str] = frozenset()
        #: The fault that a request meets by what it is, whatever the current one is.
        self.fault_under: Callable[[ReceivedRequest], ServerFault | None] = (
            lambda request: None
        )
        #: Whether a request ends the process while it runs, and after which time.
        self.ends_under: Callable[[ReceivedRequest], bool] = lambda request: False
        self.crash_delay: Seconds = 0.05
        self.on_harmful: Callable[[], None] = lambda: None
        self.on_crash: Callable[[], None] = lambda: None
        self.executed: list[ReceivedRequest] = []
        self.cancelled: list[str] = []
        self.refused: list[str] = []
        self.on_execution: Callable[[str], None] = lambda attempt: None
        self.on_arrival: Callable[[str], None] = lambda attempt: None
        self.on_refusal: Callable[[str], None] = lambda attempt: None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request over ASGI."""
        if scope["type"] == "http":
            request = Request(scope, receive)
            self.caller_ports.append(scope["client"][1])
            response = await self._answer(request)
            if self.leaving:
                response.headers["Server-Leaving"] = "1"
            if self.keep_alive:
                response.headers["Keep-Alive"] = self.keep_alive
            if self.limit:
                response.headers["Server-Limit"] = self.limit
            await response(scope, receive, send)

    async def _answer(self, request: Request) -> Response | UnframedResponse:
        expected = request.headers.get("x-amaranthferry-expect-instance")
        attempt = request.headers.get("x-amaranthferry-attempt-id", "")
        if expected and expected != self.name:
            return Response(status_code=421)
        self.on_arrival(attempt)
        if self._is_harmful(request):
            self.on_harmful()
        if self.fault is ServerFault.FULL:
            self.refused.append(attempt)
            self.on_refusal(attempt)
            refusal = Response(
                status_code=503, headers={"X-Amaranthferry-Not-Executed": "1"}
            )
            if self.retry_after:
                refusal.headers["Retry-After"] = self.retry_after
            return refusal
        path = request.scope["raw_path"].decode("latin-1")
        target = path + (f"?{request.url.query}" if request.url.query else "")
        body = await request.body()
        self.on_execution(attempt)
        received = ReceivedRequest(
            attempt, request.method, target, dict(request.headers), body
        )
        self.executed.append(received)
        if self.ends_under(received):
            self.on_harmful()
            await asyncio.sleep(self.crash_delay)
            self.on_crash()
            await asyncio.sleep(HANG_DURATION)
        fault = self.fault_under(received) or self.fault
        try:
            await asyncio.sleep(
                HANG_DURATION
                if fault is ServerFault.NO_ANSWER
                else self.processing_time
            )
        except asyncio.CancelledError:
            self.cancelled.append(attempt)
            raise
        if fault is ServerFault.RESET_AFTER_EXECUTION:
            drop_connection(request)
            return Response(status_code=500)
        return self._response(request, attempt, fault)

    def _response(
        self, request: Request, attempt: str, fault: ServerFault
    ) -> Response | UnframedResponse:
        attempt_id = "another" if fault is ServerFault.WRONG_ATTEMPT_ID else attempt
        headers = {"X-Amaranthferry-Attempt-Id": attempt_id}
        if fault is not ServerFault.UNSIGNED:
            headers["X-Amaranthferry-Server-Signature"] = f"signed-{self.name}"
        if fault is ServerFault.ENDLESS_FAILURE:
            return StreamingResponse(_endless(), status_code=500, headers=headers)
        if fault is ServerFault.BUSY:
            return Response(b"busy", status_code=503, headers=headers)
        if fault is ServerFault.ERROR:
            return Response(b"failed", status_code=500, headers=headers)
        if fault is ServerFault.REJECTED:
            return JSONResponse({"error": "no"}, status_code=422, headers=headers)
        if self.unframed:
            body = (
                self._body(request)
                if request.method == "GET"
                else self._stream(request, fault)
            )
            return UnframedResponse(body, headers, trailer=self.trailer)
        if request.method in ("GET", "HEAD"):
            return Response(self.name.encode(), headers=headers)
        return StreamingResponse(
            self._stream(request, fault),
            headers=headers,
            media_type="text/event-stream",
        )

    async def _body(self, request: Request) -> AsyncIterator[bytes]:
        name = self.name.encode()
        yield name[:1]
        if self.fault is ServerFault.RESET_STREAM:
            reset_connection(request)
            return
        yield name[1:]

    def _is_harmful(self, request: Request) -> bool:
        return not self.harmful_parts.isdisjoint(_shared_parts(request))

    def _fault_of_body(self, request: Request) -> ServerFault:
        """Return the current fault, or one that a caller can see in a plain body.

        A plain body that ends in order is whole, whatever its bytes are.
        """
        if "x-amaranthferry-model" in request.headers:
            return self.fault
        if self.fault is ServerFault.END_IN_EVENT:
            return ServerFault.NONE
        if self.fault is ServerFault.CUT_STREAM and self.unframed:
            return ServerFault.RESET_STREAM
        return self.fault

    async def _stream(
        self, request: Request, fault: ServerFault
    ) -> AsyncIterator[bytes]:
        if self._is_harmful(request):
            self.on_crash()
            await asyncio.sleep(HANG_DURATION)
        fault = self._fault_of_body(request) if fault is self.fault else fault
        if fault is ServerFault.EMPTY_STREAM:
            return
        if fault is ServerFault.FOREIGN_STREAM:
            yield FOREIGN_PAGE
            return
        first = int(request.headers.get("last-event-id", "-1")) + 1
        if fault is ServerFault.RESTARTED_STREAM:
            first = 0
        for number in range(first, self.event_count):
            while fault is ServerFault.STALLED_STREAM and number == first + 1:
                yield b":\n"
                await asyncio.sleep(STALL_INTERVAL)
            cut = fault in _STREAM_FAULTS and number == first + 1
            if cut:
                yield b"id: %d\ndata: ha" % number
                if fault in _CUT_FAULTS:
                    _CUT_FAULTS[fault](request)
                return
            yield b"id: %d\ndata: %d\n\n" % (number, number)
            await asyncio.sleep(self.event_interval)


async def _endless() -> AsyncIterator[bytes]:
    while True:
        for _ in range(ENDLESS_BURST):
            yield ENDLESS_CHUNK
        await asyncio.sleep(ENDLESS_INTERVAL)


def _shared_parts(request: Request) -> list[str]:
    """Return the hashes of a prompt's parts but for the last, its own one."""
    parts = request.headers.get("x-amaranthferry-prefix-hash", "").split(",")
    return [part.partition(":")[0] for part in parts[:-1]]
