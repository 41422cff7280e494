"""Serve metrics and the operators' views of a host, on the internal address."""

import hmac
from collections.abc import Awaitable, Callable, MutableMapping
from typing import TYPE_CHECKING, Any

import msgspec
import structlog

from ..events import PartLifted
from .log_events import LogEvent

if TYPE_CHECKING:
    from .application import Gateway

PARTS_PATH = "/held-parts"
LIFT_SUFFIX = "/lift"
ROLLOUTS_PATH = "/rollouts"
_JSON = b"application/json"
_METRICS = b"text/plain; version=0.0.4"

_log = structlog.get_logger(__name__)

Scope = MutableMapping[str, Any]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class OperatorApi:
    """Answer operators as an ASGI application."""

    def __init__(self, app: "Gateway") -> None:
        self._app = app

    async def __call__(self, scope: Scope, receive: Any, send: Send) -> None:
        """Answer one request."""
        path, method = scope["path"], scope["method"]
        if method == "POST" and path.startswith(f"{PARTS_PATH}/"):
            await self._lift(scope, send)
        elif path == PARTS_PATH:
            app = self._app
            held = app.state.harm.held_subjects(app.clock())
            await answer(send, 200, _JSON, msgspec.json.encode(held))
        elif path == ROLLOUTS_PATH and self._app.rollouts is not None:
            found = self._app.rollouts.info()
            await answer(send, 200, _JSON, msgspec.json.encode(found))
        else:
            await answer(send, 200, _METRICS, self._app.telemetry.text(self._app))

    async def _lift(self, scope: Scope, send: Send) -> None:
        if not self._is_operator(scope):
            _log.warning(LogEvent.PART_LIFT_REFUSED, path=scope["path"])
            await answer(send, 401, _JSON, b'{"error":"The peer key is needed."}')
            return
        text = scope["path"].removeprefix(f"{PARTS_PATH}/").removesuffix(LIFT_SUFFIX)
        try:
            part = int(text, 16)
        except ValueError:
            await answer(send, 400, _JSON, b'{"error":"A part is a hex number."}')
            return
        held = self._app.state.harm.held_subjects(self._app.clock())
        found = [item for item in held if item.part == f"{part:x}"]
        _log.info(LogEvent.PART_LIFTED, part=f"{part:x}", holds=len(found))
        self._app.handle(PartLifted(now=self._app.clock(), part=part))
        status = 200 if found else 404
        await answer(send, status, _JSON, msgspec.json.encode(found))

    def _is_operator(self, scope: Scope) -> bool:
        headers = dict(scope["headers"])
        sent = headers.get(b"authorization", b"").removeprefix(b"Bearer ")
        key = self._app.peer_key.encode()
        return bool(key) and hmac.compare_digest(sent, key)


async def answer(send: Send, status: int, kind: bytes, body: bytes) -> None:
    """Send one whole answer."""
    headers = [
        (b"content-type", kind),
        (b"content-length", str(len(body)).encode()),
    ]
    start = {"type": "http.response.start", "status": status, "headers": headers}
    await send(start)
    await send({"type": "http.response.body", "body": body})
