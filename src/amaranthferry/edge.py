"""Serve callers and operators over HTTP."""

import hashlib
import uuid
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route, Router
from starlette.types import ASGIApp, Receive, Scope, Send

from .answer import AnswerResponse, send_problem
from .audit import encode_entries
from .bodies import read_body
from .callers import CallerDirectory, RequestOptions, Work
from .config import WorkClass, Workspace
from .engine import end_to_end_headers
from .events import RequestArrived
from .exceptions import AmaranthferryError, RequestError
from .exchange import Call
from .harm.digest import digest_request
from .problems import Problem
from .publish import Author
from .types import ClassId, PoolKind, ServerId

if TYPE_CHECKING:
    from .application import Application

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
_SCHEDULER_HEADERS = frozenset(
    {"authorization", "request-timeout", "work-class", "x-request-id"}
)


class ProblemResponse:
    """Send a problem document or an OpenAI error object."""

    def __init__(self, problem: Problem, *, openai: bool) -> None:
        self._problem = problem
        self._openai = openai

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the ASGI response."""
        await send_problem(self._problem, send, openai=self._openai)


Handler = Callable[[Request], Awaitable[ASGIApp]]


class Edge:
    """Serve the HTTP interface of one entry host."""

    def __init__(self, app: "Application") -> None:
        self._app = app

    def build(self) -> Router:
        """Return the ASGI application.

        It is a bare router: middleware would add a call for every streamed token.
        """
        chat = _Endpoint(self._chat, openai=True)
        service = _Endpoint(self._service, openai=False)
        operator = [
            Route("/operator/status", _Endpoint(self._status, openai=False)),
            Route("/operator/audit", _Endpoint(self._audit, openai=False)),
            Route(
                "/operator/servers/{server}/{action}",
                _Endpoint(self._change_server_state, openai=False),
                methods=["POST"],
            ),
        ]
        return Router(
            routes=[
                Route("/v1/chat/completions", chat, methods=["POST"]),
                Route("/v1/models", _Endpoint(self._models, openai=True)),
                Route("/services/{name}/{path:path}", service, methods=ALL_METHODS),
                Route("/services/{name}", service, methods=ALL_METHODS),
                Route("/healthz", _Endpoint(self._healthz, openai=False)),
                Route("/readyz", _Endpoint(self._readyz, openai=False)),
                Route("/metrics", _Endpoint(self._metrics, openai=False)),
                *operator,
            ]
        )

    @property
    def _callers(self) -> CallerDirectory:
        return self._app.callers

    async def _chat(self, req: Request) -> ASGIApp:
        workspace = self._callers.workspace(req.headers)
        work_class = self._callers.work_class(
            workspace, req.headers, workspace.default_class
        )
        options = RequestOptions.from_headers(req.headers, workspace, work_class)
        body = await self._read_body(req)
        work = self._callers.read_chat(body, work_class)
        call = self._build_call(req, options, body, kind=PoolKind.ENGINE, work=work)
        return self._submit(req, options, work, call)

    async def _service(self, req: Request) -> ASGIApp:
        workspace = self._callers.workspace(req.headers)
        service = self._callers.service(req.path_params["name"])
        safe = req.method in SAFE_METHODS
        default = service.work_class if safe else service.write_class
        work_class = self._service_class(workspace, req, default)
        options = RequestOptions.from_headers(req.headers, workspace, work_class)
        body = await self._read_body(req)
        work = Work.from_service(service, body, work_class)
        call = self._build_call(req, options, body, kind=PoolKind.SERVICE, work=work)
        return self._submit(req, options, work, call)

    def _build_call(
        self,
        req: Request,
        options: RequestOptions,
        body: bytes,
        *,
        kind: PoolKind,
        work: Work,
    ) -> Call:
        engine = kind is PoolKind.ENGINE
        return Call(
            request_id=self._app.new_request_id(),
            kind=kind,
            method=req.method,
            path=req.url.path if engine else _service_path(req),
            headers=_forwarded_headers(req),
            body=body,
            streamed=work.streamed,
            timeout=options.timeout,
        )

    def _submit(
        self, req: Request, options: RequestOptions, work: Work, call: Call
    ) -> ASGIApp:
        arrival = RequestArrived(
            now=self._app.clock(),
            request_id=call.request_id,
            workspace=options.workspace.name,
            tier=options.workspace.tier,
            work_class=options.work_class.name,
            pool=work.pool,
            timeout=options.timeout,
            prompt_tokens=work.prompt_tokens,
            output_tokens=work.output_tokens,
            model=work.model,
            prefixes=work.prefixes,
            idempotency_key=options.idempotency_key,
            body_digest=_digest(req, call.body),
            digest=digest_request(
                method=req.method,
                host="",
                target=f"{req.url.path}?{req.url.query}",
                prompt="",
                workspace=options.workspace.name,
                body=call.body,
                key=self._app.cfg.peer_key,
            ),
        )
        exchange = self._app.accept(arrival, call)
        return AnswerResponse(
            exchange, on_disconnect=lambda: self._app.handle_disconnect(call.request_id)
        )

    def _service_class(
        self, workspace: Workspace, req: Request, default: ClassId
    ) -> WorkClass:
        default_class = self._callers.deployment.classes.get(default)
        if default_class is not None and default_class.never_repeated:
            # A caller can't weaken the rule of a write by naming another class.
            return default_class
        return self._callers.work_class(workspace, req.headers, default)

    async def _read_body(self, req: Request) -> bytes:
        return await read_body(req.stream(), self._callers.deployment.limits.max_body)

    async def _models(self, req: Request) -> ASGIApp:
        self._callers.workspace(req.headers)
        data = [
            {"id": m, "object": "model", "created": 0, "owned_by": "amaranthferry"}
            for m in self._callers.models
        ]
        return _json({"object": "list", "data": data})

    async def _healthz(self, req: Request) -> ASGIApp:
        return _json({"status": "ok", "host": self._app.cfg.host})

    async def _readyz(self, req: Request) -> ASGIApp:
        ready = self._app.is_ready
        return _json({"ready": ready}, status=200 if ready else 503)

    async def _metrics(self, req: Request) -> ASGIApp:
        return _json(self._app.metrics.report())

    async def _status(self, req: Request) -> ASGIApp:
        self._callers.check_operator(req.headers)
        return _json(self._app.status())

    async def _audit(self, req: Request) -> ASGIApp:
        self._callers.check_operator(req.headers)
        entries = encode_entries(self._app.settings.recent_entries)
        return Response(entries, media_type="application/json")

    async def _change_server_state(self, req: Request) -> ASGIApp:
        self._callers.check_operator(req.headers)
        server = ServerId(req.path_params["server"])
        action = req.path_params["action"]
        if server not in self._callers.deployment.servers:
            raise RequestError(
                f"The server {server[:64]!r} does not exist.",
                remedy="Name one of those that `amaranthferry servers list` shows.",
                status=404,
                code="server_not_found",
            )
        if action not in ("drain", "restore"):
            raise RequestError(
                f"The action {action[:32]!r} does not exist.",
                remedy="Use drain or restore.",
                status=404,
                code="action_not_found",
            )
        author = Author(
            who=req.headers.get("operator", "operator"),
            when=datetime.now(UTC).isoformat(timespec="seconds"),
            nonce=uuid.uuid4().hex,
        )
        drained = action == "drain"
        result = await self._app.set_drained(server, drained=drained, author=author)
        if not is_successful(result):
            raise _change_not_stored(result.failure())
        return _json(result.unwrap())


class _Endpoint:
    """Adapt a handler to ASGI, and send its request errors as problems."""

    def __init__(self, handler: Handler, *, openai: bool) -> None:
        self._handler = handler
        self._openai = openai

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the handler and its response."""
        req = Request(scope, receive, send)
        try:
            response = await self._handler(req)
        except RequestError as exc:
            response = ProblemResponse(Problem.from_error(exc), openai=self._openai)
        except ClientDisconnect:
            return
        await response(scope, receive, send)


def _json(value: object, *, status: int = 200) -> Response:
    body = msgspec.json.encode(value)
    return Response(body, status_code=status, media_type="application/json")


def _change_not_stored(exc: AmaranthferryError) -> RequestError:
    return RequestError(
        f"Live hosts have been told, but the change was not kept. {exc.message}",
        remedy=f"{exc.remedy} Until then a new host will not know of it.",
        status=503,
        code="change_not_kept",
    )


def _digest(req: Request, body: bytes) -> str:
    digest = hashlib.sha256(f"{req.method} {req.url.path}?{req.url.query}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def _service_path(req: Request) -> str:
    path = "/" + req.path_params.get("path", "")
    query = req.url.query
    return f"{path}?{query}" if query else path


def _forwarded_headers(req: Request) -> tuple[tuple[str, str], ...]:
    headers = end_to_end_headers(list(req.headers.items()))
    return tuple(
        (key, value) for key, value in headers if key.lower() not in _SCHEDULER_HEADERS
    )
