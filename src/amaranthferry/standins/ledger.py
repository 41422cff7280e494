"""Stand in for a plain service that records each entry it executes."""

import asyncio
from collections import Counter

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..types import Seconds
from .serving import StallableApp, drop_connection


class LedgerEffect(msgspec.Struct, frozen=True):
    """Record one executed entry."""

    request_id: str
    idempotency_key: str
    body: str


class LedgerStandIn:
    """Execute entries without detecting repeated ones.

    `delay` (seconds) precedes each effect. `lose_answers` is the number of next
    entries whose connection is dropped after their effect. `refuse` answers 503
    without an effect.
    """

    def __init__(self, name: str = "ledger") -> None:
        self.name = name
        self.effects: list[LedgerEffect] = []
        self.admitted: Counter[str] = Counter()
        self.delay: Seconds = 0.0
        self.lose_answers = 0
        self.refuse = False
        self._app = StallableApp(self._build_app())

    @property
    def app(self) -> StallableApp:
        """Return the ASGI application."""
        return self._app

    def stall_connections(self) -> None:
        """Stop sending on every open connection; new connections work."""
        self._app.stall_connections()

    def _build_app(self) -> Starlette:
        return Starlette(
            routes=[
                Route("/entries", self._add, methods=["POST"]),
                Route("/entries", self._entries),
                Route("/effects", self._effects),
                Route("/seen", self._list_admitted),
            ]
        )

    async def _add(self, request: Request) -> Response:
        if self.refuse:
            return Response(status_code=503, headers={"X-Not-Admitted": "true"})
        body = (await request.body()).decode("utf-8", "replace")
        effect = LedgerEffect(
            request.headers.get("X-Request-Id", ""),
            request.headers.get("Idempotency-Key", ""),
            body,
        )
        self.admitted[effect.request_id] += 1
        if self.delay:
            await asyncio.sleep(self.delay)
        self.effects.append(effect)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            drop_connection(request)
        number = len(self.effects)
        return _json({"entry": number, "body": body}, status=201)

    async def _entries(self, request: Request) -> Response:
        request_id = request.headers.get("X-Request-Id", "")
        if request_id:
            self.admitted[request_id] += 1
        return _json([effect.body for effect in self.effects])

    async def _effects(self, request: Request) -> Response:
        return _json(self.effects)

    async def _list_admitted(self, request: Request) -> Response:
        return _json(dict(self.admitted))


def _json(value: object, *, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status, media_type="application/json")
