"""Stand in for the rate-limited store of model weights."""

import asyncio
from collections import Counter

import aiohttp
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..types import Seconds
from .objects import CallBudget
from .serving import StallableApp


class WeightStandIn:
    """Serve weights at a limited rate; loads of names in `stuck` never finish."""

    def __init__(
        self, *, loads_per_second: float = 10.0, duration: Seconds = 0.0
    ) -> None:
        self.duration = duration
        self.stuck: set[str] = set()
        self.loaded: Counter[str] = Counter()
        self.throttled = 0
        self._budget = CallBudget(loads_per_second)
        routes = [Route("/weights/{name:path}", self._load)]
        self._app = StallableApp(Starlette(routes=routes))

    @property
    def app(self) -> StallableApp:
        """Return the ASGI application."""
        return self._app

    async def _load(self, request: Request) -> Response:
        name = request.path_params["name"]
        if not self._budget.try_acquire():
            self.throttled += 1
            return Response(status_code=429, headers={"Retry-After": "1"})
        if name in self.stuck:
            await asyncio.Event().wait()
        await asyncio.sleep(self.duration)
        self.loaded[name] += 1
        return Response(b"weights of " + name.encode())


async def fetch_weights(base_url: str, name: str) -> None:
    """Load a model's weights; raise `OSError` if the store does not serve them."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{base_url}/weights/{name}") as answer,
    ):
        await answer.read()
        if answer.status != 200:
            raise OSError(f"weight store answered status {answer.status} for {name}")
