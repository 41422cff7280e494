"""Stand in for the backend servers of routed requests, and for their faults."""

import asyncio
from enum import StrEnum

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.types import Receive, Scope, Send

from ..types import Seconds
from .serving import drop_connection

HANG: Seconds = 3_600.0


class ServerFault(StrEnum):
    """Name what a server does wrong with its next requests."""

    NONE = "none"
    FULL = "full"
    ERROR = "error"
    RESET_AFTER_RUN = "reset_after_run"
    CUT_STREAM = "cut_stream"
    MUTE = "mute"
    UNSIGNED = "unsigned"
    CROSSED = "crossed"


class SeenRequest(msgspec.Struct, frozen=True):
    """Hold a request as the server read it."""

    attempt: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class RoutedServer:
    """Answer requests as one incarnation of a server."""

    def __init__(self, name: str, *, events: int = 3, gap: Seconds = 0.0) -> None:
        self.name = name
        self.events = events
        self.gap = gap
        self.work: Seconds = 0.0
        self.fault = ServerFault.NONE
        self.ran: list[SeenRequest] = []
        self.left: list[str] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request over ASGI."""
        if scope["type"] == "http":
            request = Request(scope, receive)
            response = await self._answer(request)
            await response(scope, receive, send)

    async def _answer(self, request: Request) -> Response:
        expected = request.headers.get("x-amaranthferry-expect-instance")
        attempt = request.headers.get("x-amaranthferry-attempt-id", "")
        if expected and expected != self.name:
            return Response(status_code=421)
        if self.fault is ServerFault.FULL:
            return Response(
                status_code=503, headers={"X-Amaranthferry-Not-Executed": "1"}
            )
        path = request.scope["raw_path"].decode("latin-1")
        target = path + (f"?{request.url.query}" if request.url.query else "")
        body = await request.body()
        self.ran.append(
            SeenRequest(attempt, request.method, target, dict(request.headers), body)
        )
        try:
            await asyncio.sleep(HANG if self.fault is ServerFault.MUTE else self.work)
        except asyncio.CancelledError:
            self.left.append(attempt)
            raise
        if self.fault is ServerFault.RESET_AFTER_RUN:
            drop_connection(request)
            return Response(status_code=500)
        return self._response(request, attempt)

    def _response(self, request: Request, attempt: str) -> Response:
        shown = "another" if self.fault is ServerFault.CROSSED else attempt
        headers = {"X-Amaranthferry-Attempt-Id": shown}
        if self.fault is not ServerFault.UNSIGNED:
            headers["X-Amaranthferry-Server-Signature"] = f"signed-{self.name}"
        if self.fault is ServerFault.ERROR:
            return Response(b"failed", status_code=500, headers=headers)
        if request.method == "GET":
            return Response(self.name.encode(), headers=headers)
        return StreamingResponse(
            self._stream(request), headers=headers, media_type="text/event-stream"
        )

    async def _stream(self, request: Request):  # type: ignore[no-untyped-def]
        first = int(request.headers.get("last-event-id", "-1")) + 1
        for number in range(first, self.events):
            if self.fault is ServerFault.CUT_STREAM and number == first + 1:
                yield b"id: %d\ndata: ha" % number
                drop_connection(request)
                return
            yield b"id: %d\ndata: %d\n\n" % (number, number)
            await asyncio.sleep(self.gap)
