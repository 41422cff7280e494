"""Stand in for engines that copy the memory of their runs to each other."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator, Callable
from enum import StrEnum

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from ..types import Seconds
from .routed import HANG_DURATION, RoutedServer, ServerFault
from .serving import UnframedResponse, drop_connection

_NOT_EXECUTED = {"X-Amaranthferry-Not-Executed": "1"}


class MoveFault(StrEnum):
    """Define how a source fails one kind of call."""

    NONE = "none"
    NOT_FOUND = "not_found"
    BUSY = "busy"
    NO_ROOM = "no_room"
    #: The answer has no handle, as if something in front of the source refused.
    REFUSED = "refused"
    #: The call isn't carried out, and has no answer.
    LOST_CALL = "lost_call"
    #: The call is carried out, but its answer is lost.
    LOST_ANSWER = "lost_answer"


class Work(msgspec.Struct):
    """Record the time in which an engine worked on a run."""

    server: str
    run: int
    began: Seconds
    ended: Seconds | None = None


class Run(msgspec.Struct, eq=False):
    """Represent a run by its number and the events that it has created."""

    attempt: str
    number: int
    created: int = 0
    stop: asyncio.Event = msgspec.field(default_factory=asyncio.Event)


class Copy(msgspec.Struct, eq=False):
    """Represent the copy of a run, which is in place at both engines."""

    run: Run
    target: str
    created: int
    expires_at: Seconds


class EngineGroup:
    """Connect engines by their addresses, and record when each one worked."""

    def __init__(self, *, handle_lifetime: Seconds = 5.0) -> None:
        self.engines: dict[str, MovableEngine] = {}
        self.work: list[Work] = []
        self.handle_lifetime = handle_lifetime
        self.numbers = itertools.count(1)
        self.handles = itertools.count(1)


class MovableEngine(RoutedServer):
    """Stream events that name their run, and move runs within a group."""

    def __init__(self, name: str, group: EngineGroup) -> None:
        super().__init__(name)
        self.group = group
        self.address = ""
        self.copy_time: Seconds = 0.0
        self.copy_fault = MoveFault.NONE
        self.stop_fault = MoveFault.NONE
        #: Whether the engine refuses to go on with any copy.
        self.refuses_copies = False
        #: Whether it takes a request with a copy, but never answers it.
        self.ignores_copies = False
        #: New events after which the engine drops a run that it goes on with.
        self.cuts_after: int | None = None
        #: Called once a run has stopped to move.
        self.on_stopped: Callable[[], None] = lambda: None
        self.copies: dict[str, Copy] = {}
        self.calls: list[str] = []
        self.runs: dict[str, Run] = {}
        self._copying: set[str] = set()
        self._continued: dict[str, Run] = {}

    def listen_at(self, address: str) -> None:
        """Join the group under an address."""
        self.address = address
        self.group.engines[address] = self

    async def _answer(self, request: Request) -> Response | UnframedResponse:
        path = request.url.path
        if path == "/kv-move":
            return await self._move(request)
        if path.startswith("/kv-handle/"):
            self.calls.append("free")
            found = self.copies.pop(path.removeprefix("/kv-handle/"), None)
            return Response(status_code=204 if found else 404)
        if "kv-from" in request.headers:
            refusal = await self._take_copy(request)
            if refusal is not None:
                return refusal
        return await super()._answer(request)

    async def _move(self, request: Request) -> Response:
        call = msgspec.json.decode(await request.body())
        last = bool(call.get("last"))
        self.calls.append("stop" if last else "copy")
        fault = self.stop_fault if last else self.copy_fault
        if fault is MoveFault.LOST_CALL:
            drop_connection(request)
            return Response(status_code=500)
        answer = await self._carry_out(call["id"], call["to"], last, fault)
        if fault is MoveFault.LOST_ANSWER:
            self.stop_fault = MoveFault.NONE
            drop_connection(request)
        return answer

    async def _carry_out(
        self, attempt: str, target: str, last: bool, fault: MoveFault
    ) -> Response:
        run = self.runs.get(attempt)
        if run is None or fault is MoveFault.NOT_FOUND:
            return Response(status_code=404)
        if attempt in self._copying or fault is MoveFault.BUSY:
            return Response(status_code=409)
        if fault is MoveFault.REFUSED:
            return Response(status_code=503)
        if last:
            run.stop.set()
            self.on_stopped()
        self._copying.add(attempt)
        try:
            await asyncio.sleep(self.copy_time)
        finally:
            self._copying.discard(attempt)
        reached = target in self.group.engines and fault is not MoveFault.NO_ROOM
        if not (reached or last):
            return Response(status_code=503)
        handle = next((h for h, c in self.copies.items() if c.run is run), None)
        handle = handle or f"h{next(self.group.handles)}"
        expires_at = time.monotonic() + self.group.handle_lifetime
        place = target if reached else ""
        self.copies[handle] = Copy(run, place, run.created, expires_at)
        body = {"kvHandle": handle, "created": run.created}
        return JSONResponse(body, status_code=200 if reached else 503)

    async def _take_copy(self, request: Request) -> Response | None:
        """Take the copy that a request names, or return a refusal."""
        address, _, handle = request.headers["kv-from"].partition("/")
        source = self.group.engines.get(address)
        copy = source.copies.get(handle) if source is not None else None
        if self.ignores_copies:
            await asyncio.sleep(HANG_DURATION)
        usable = (
            source is not None
            and copy is not None
            and copy.run.stop.is_set()
            and (source is self or copy.target == self.address)
            and time.monotonic() < copy.expires_at
            and not self.refuses_copies
        )
        if source is None or copy is None or not usable:
            return Response(status_code=503, headers=_NOT_EXECUTED)
        del source.copies[handle]
        attempt = copy.run.attempt
        self._continued[attempt] = Run(attempt, copy.run.number, copy.created)
        return None

    async def _stream(
        self, request: Request, fault: ServerFault
    ) -> AsyncIterator[bytes]:
        attempt = request.headers.get("x-amaranthferry-attempt-id", "")
        run = self._continued.pop(attempt, None)
        cut_at = None
        if run is not None and self.cuts_after is not None:
            cut_at = run.created + self.cuts_after
        run = run or Run(attempt, next(self.group.numbers))
        self.runs[attempt] = run
        first = int(request.headers.get("last-event-id", "-1")) + 1
        work = Work(self.name, run.number, time.monotonic())
        self.group.work.append(work)
        try:
            for number in range(first, self.event_count):
                if number >= run.created:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(self.event_interval):
                            await run.stop.wait()
                    if run.stop.is_set() or number == cut_at:
                        drop_connection(request)
                        return
                    run.created = number + 1
                yield b"id: %d\ndata: %d/%d\n\n" % (number, run.number, number)
        finally:
            work.ended = time.monotonic()
            if not run.stop.is_set() and self.runs.get(attempt) is run:
                del self.runs[attempt]
