"""Stand in for the platform's object API and its lagging list of servers."""

import asyncio
import time

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..exceptions import AnswerLost, StoreUnavailable, VersionConflict
from ..objects import ListedServer, MemoryObjectStore, StoredObject
from ..types import Seconds, ServerId, ServerState
from .serving import StallableApp, drop_connection

_BURST_DURATION: Seconds = 1.0


class CallBudget:
    """Limit calls per second with a token bucket of one second's calls."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._tokens = rate * _BURST_DURATION
        self._refilled_at = time.monotonic()

    def try_acquire(self) -> bool:
        """Consume a token and return whether one was available."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self.rate
        self._tokens = min(self.rate * _BURST_DURATION, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ObjectStandIn:
    """Serve the object API from memory.

    `outage` refuses every call, `delay` (seconds) precedes the effect of each
    call, and `lose_answers` is the number of next writes whose connection is
    dropped after their effect. `listed_servers` is the platform's list of backend
    servers, which a test may leave stale.
    """

    def __init__(
        self, *, writes_per_second: float = 400.0, reads_per_second: float = 2_000.0
    ) -> None:
        self.store = MemoryObjectStore()
        self.delay: Seconds = 0.0
        self.listed_servers: dict[ServerId, ServerState] = {}
        self.throttled = 0
        self._write_budget = CallBudget(writes_per_second)
        self._read_budget = CallBudget(reads_per_second)
        self._app = StallableApp(self._build_app())

    @property
    def app(self) -> StallableApp:
        """Return the ASGI application."""
        return self._app

    @property
    def outage(self) -> bool:
        """Return whether every call is refused."""
        return self.store.outage

    @outage.setter
    def outage(self, value: bool) -> None:
        self.store.outage = value

    @property
    def lose_answers(self) -> int:
        """Return how many of the next writes lose their answers."""
        return self.store.lose_answers

    @lose_answers.setter
    def lose_answers(self, value: int) -> None:
        self.store.lose_answers = value

    def stall_connections(self) -> None:
        """Stop sending on every open connection; new connections work."""
        self._app.stall_connections()

    def _build_app(self) -> Starlette:
        return Starlette(
            routes=[
                Route("/objects", self._list),
                Route("/objects/{key:path}", self._get, methods=["GET"]),
                Route("/objects/{key:path}", self._put, methods=["PUT"]),
                Route("/objects/{key:path}", self._delete, methods=["DELETE"]),
                Route("/watch", self._watch),
                Route("/hosts", self._list_servers),
                Route("/control", self._control, methods=["POST"]),
            ]
        )

    async def _get(self, request: Request) -> Response:
        if refusal := await self._admit(self._read_budget):
            return refusal
        try:
            stored = await self.store.get(request.path_params["key"])
        except StoreUnavailable as exc:
            return Response(str(exc), 503)
        if stored is None:
            return Response(status_code=404)
        return Response(stored.value, headers={"ETag": f'"{stored.version}"'})

    async def _put(self, request: Request) -> Response:
        value = await request.body()
        key = request.path_params["key"]
        return await self._write(
            request, lambda: self.store.put(key, value, expected=_expected(request))
        )

    async def _delete(self, request: Request) -> Response:
        key = request.path_params["key"]
        return await self._write(
            request, lambda: self.store.delete(key, expected=_expected(request))
        )

    async def _write(self, request: Request, operation) -> Response:  # type: ignore[no-untyped-def]
        if refusal := await self._admit(self._write_budget):
            return refusal
        try:
            version = await operation()
        except StoreUnavailable as exc:
            return Response(str(exc), 503)
        except VersionConflict as exc:
            return Response(str(exc), 412)
        except AnswerLost:
            drop_connection(request)
            return Response()
        return Response(headers={"ETag": f'"{version}"'} if version else None)

    async def _list(self, request: Request) -> Response:
        if refusal := await self._admit(self._read_budget):
            return refusal
        query = request.query_params
        try:
            found = await self.store.list(
                query.get("prefix", ""),
                after=query.get("after", ""),
                limit=int(query.get("limit", "500")),
            )
        except StoreUnavailable as exc:
            return Response(str(exc), 503)
        return _json(found)

    async def _watch(self, request: Request) -> Response:
        if refusal := await self._admit(self._read_budget):
            return refusal
        query = request.query_params
        try:
            found = await self.store.watch(
                query.get("prefix", ""),
                since=int(query.get("since", "0")),
                timeout=float(query.get("timeout", "30")),
            )
        except StoreUnavailable as exc:
            return Response(str(exc), 503)
        return _json(found)

    async def _list_servers(self, request: Request) -> Response:
        if refusal := await self._admit(self._read_budget):
            return refusal
        if self.outage:
            return Response(status_code=503)
        return _json(tuple(ListedServer(*item) for item in self.listed_servers.items()))

    async def _control(self, request: Request) -> Response:
        faults = msgspec.json.decode(await request.body(), type=Faults)
        self.outage = faults.outage
        self.delay = faults.delay
        self.lose_answers = faults.lose_answers
        return Response(status_code=204)

    async def _admit(self, budget: CallBudget) -> Response | None:
        if not budget.try_acquire():
            self.throttled += 1
            return Response(status_code=429)
        if self.delay:
            await asyncio.sleep(self.delay)
        return None


class Faults(msgspec.Struct, frozen=True):
    """Define the faults to inject from now on; `delay` in seconds."""

    outage: bool = False
    delay: Seconds = 0.0
    lose_answers: int = 0


def _expected(request: Request) -> int:
    return int(request.headers.get("If-Match", "0").strip('"'))


def _json(objects: tuple[StoredObject, ...] | tuple[ListedServer, ...]) -> Response:
    return Response(msgspec.json.encode(objects), media_type="application/json")
