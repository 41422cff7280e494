"""Take routed requests from callers over HTTP, and answer them."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from typing import TYPE_CHECKING, Any

import structlog

from ..bodies import read_body
from ..catalog import (
    ANONYMOUS,
    Route,
    Subscriber,
    priority_of,
    tier_id,
    work_class_id,
)
from ..events import RequestArrived
from ..exceptions import RequestError
from ..http_connection import AnswerStart
from ..platform import headers
from ..problems import Problem
from ..types import PoolId, Seconds
from .dispatching import RoutedCall
from .exchange import AnswerBrokenOff, RoutedExchange, ShortAnswer
from .vocabulary import LogEvent

if TYPE_CHECKING:
    from .application import Gateway

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

#: What a request may take where neither the caller nor its route says.
DEFAULT_TIMEOUT: Seconds = 30.0
#: When a caller should come back to a host that knows no configuration yet.
BELIEF_RETRY: Seconds = 0.5
#: When a caller of a stopping host should try the next one.
OTHER_HOST_RETRY: Seconds = 0.05
CALLER_STALL_TIMEOUT: Seconds = 30.0
_log = structlog.get_logger(__name__)


class CallerLeft(Exception):  # noqa: N818
    """Report within the process that a caller hung up before its request was whole."""


class Edge:
    """Serve the callers' address as an ASGI application."""

    def __init__(self, app: "Gateway") -> None:
        self._app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        responder = Responder(send, closing=self._app.stopping)
        received = [
            (k.decode("latin-1"), v.decode("latin-1")) for k, v in scope["headers"]
        ]
        arrived = self._app.clock()
        try:
            call, arrival = await self._admit(scope, received, receive, arrived)
        except RequestError as exc:
            self._note_refusal(received, scope, exc)
            await responder.problem(
                Problem.from_error(exc), _retry_after(exc, stopping=self._app.refusing)
            )
            return
        except CallerLeft:
            return
        exchange = self._app.accept(arrival, call)
        watcher = asyncio.get_running_loop().create_task(self._watch(exchange, receive))
        try:
            await self._respond(exchange, responder)
        except OSError:
            self._app.caller_gone(exchange)
        finally:
            watcher.cancel()

    def _note_refusal(
        self, received: list[tuple[str, str]], scope: Scope, exc: RequestError
    ) -> None:
        terms = headers.read_terms(dict(received))
        self._app.telemetry.requests.add("", "refused", exc.code)
        age = self._app.freshness.age(self._app.clock())
        catalog = self._app.config.catalog
        _log.info(
            LogEvent.REQUEST_REFUSED,
            attempt=terms.attempt,
            code=exc.code,
            status=exc.status,
            version=catalog.version if catalog else None,
            belief_age=None if age is None else round(age, 3),
        )

    async def _watch(self, exchange: RoutedExchange, receive: Receive) -> None:
        message = await receive()
        while message["type"] != "http.disconnect":
            message = await receive()
        self._app.caller_gone(exchange)

    async def _admit(
        self,
        scope: Scope,
        received: list[tuple[str, str]],
        receive: Receive,
        arrived: Seconds,
    ) -> tuple[RoutedCall, RequestArrived]:
        fields = dict(received)
        terms = headers.read_terms(fields)
        if self._app.refusing:
            raise _unready("This host is stopping.")
        await self._app.wait_known()
        directory = self._app.config.directory
        if directory is None:
            raise _unready("This host knows no configuration yet.")
        route = directory.route(fields.get("host", ""), scope["path"])
        if route is None:
            raise _unknown_route()
        subscriber = self._subscriber(route, terms, arrived)
        service = route.service_for(terms.attempt)
        routed = directory.catalog.services.get(service)
        if routed is None:
            raise _unready("The route's service is not configured.")
        body = await read_body(_chunks(receive), directory.catalog.limits.max_body)
        limit = route.timeout or DEFAULT_TIMEOUT
        call = RoutedCall(
            request_id=self._app.new_request_id(terms.attempt),
            route=route,
            workspace=subscriber.workspace if subscriber else ANONYMOUS,
            terms=terms,
            method=scope["method"],
            target=_target(scope),
            headers=tuple(received),
            body=body,
            arrived=arrived,
            deadline=arrived + min(terms.remaining or DEFAULT_TIMEOUT, limit),
            event_tokens=routed.engine.event_tokens if routed.engine else 1,
        )
        return call, _arrival(call, service, subscriber)

    def _subscriber(
        self, route: Route, terms: headers.Terms, now: Seconds
    ) -> Subscriber | None:
        directory = self._app.config.directory
        assert directory is not None
        if not directory.needs_key or route.public:
            return None
        if not self._app.freshness.is_current(now):
            raise _unready("This host can't tell whether its keys are current.")
        subscriber = directory.subscriber(terms.key)
        if subscriber is None:
            raise RequestError(
                "The key is not known.",
                remedy="Send a key of a workspace.",
                status=401,
                code="key_unknown",
            )
        return subscriber

    async def _respond(self, exchange: RoutedExchange, responder: "Responder") -> None:
        head = await exchange.head
        if isinstance(head, Problem):
            await responder.problem(head, exchange.retry_after)
        elif isinstance(head, ShortAnswer):
            await responder.short(head)
        else:
            await responder.start(head)
            try:
                async for chunk in exchange.body():
                    await responder.chunk(chunk)
            except AnswerBrokenOff:
                responder.break_off()
                return
            await responder.end()


class Responder:
    """Write one response to a caller."""

    def __init__(self, send: Send, *, closing: bool) -> None:
        self._send = send
        self._closing = closing

    async def start(self, start: AnswerStart, length: int | None = None) -> None:
        """Write the status and headers of a server's answer."""
        pairs = headers.answer_headers(start.headers)
        if length is not None:
            pairs = [pair for pair in pairs if pair[0] != "content-length"]
            pairs.append(("content-length", str(length)))
        await self._start(start.status, pairs)

    async def short(self, answer: ShortAnswer) -> None:
        """Write an answer that is whole."""
        await self.start(answer.start, len(answer.body))
        await self._body(answer.body, more=False)

    async def chunk(self, chunk: bytes) -> None:
        """Write a part of a stream."""
        await self._body(chunk, more=True)

    async def end(self) -> None:
        """Write the end of a stream."""
        await self._body(b"", more=False)

    def break_off(self) -> None:
        """End a stream so that nobody can take it for whole."""
        raise StreamBroken

    async def problem(self, problem: Problem, retry_after: Seconds | None) -> None:
        """Write a refusal or failure of our own."""
        body = problem.problem_body()
        pairs = [
            ("content-type", "application/problem+json"),
            ("content-length", str(len(body))),
            ("outcome", str(problem.outcome)),
        ]
        if retry_after is not None:
            pairs.append((headers.RETRY_AFTER, f"{retry_after:.2f}"))
        await self._start(problem.status, pairs)
        await self._body(body, more=False)

    async def _start(self, status: int, pairs: list[tuple[str, str]]) -> None:
        if self._closing:
            pairs = [*pairs, ("connection", "close")]
        encoded = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in pairs]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": encoded}
        )

    async def _body(self, body: bytes, *, more: bool) -> None:
        message = {"type": "http.response.body", "body": body, "more_body": more}
        try:
            async with asyncio.timeout(CALLER_STALL_TIMEOUT):
                await self._send(message)
        except TimeoutError as exc:
            raise OSError("The caller doesn't read its answer.") from exc


class StreamBroken(Exception):  # noqa: N818
    """Have the server close the connection of a stream that ends early."""


async def _chunks(receive: Receive) -> AsyncIterator[bytes]:
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerLeft
        yield message.get("body", b"")
        more = message.get("more_body", False)


def _target(scope: Scope) -> str:
    raw_path: bytes = scope["raw_path"]
    query: bytes = scope["query_string"]
    return (raw_path + (b"?" + query if query else b"")).decode("latin-1")


def _arrival(
    call: RoutedCall, service: PoolId, subscriber: Subscriber | None
) -> RequestArrived:
    """Describe a call to the reducer."""
    route, terms = call.route, call.terms
    tokens = terms.prompt_tokens + terms.output_tokens
    return RequestArrived(
        now=call.arrived,
        request_id=call.request_id,
        workspace=call.workspace,
        tier=tier_id(priority_of(route, subscriber)),
        work_class=work_class_id(route),
        pool=service,
        timeout=call.deadline - call.arrived,
        prompt_tokens=terms.prompt_tokens,
        output_tokens=_output_tokens(terms),
        prefixes=tuple(part.part for part in terms.parts),
        prefix_lengths=_lengths(terms),
        objective=route.objective,
        event_timeout=route.event_timeout,
        quota_cost=subscriber.cost(tokens) if subscriber else 0.0,
        max_attempts=route.max_attempts,
        repeatable=route.repeatable,
    )


def _output_tokens(terms: headers.Terms) -> int:
    return terms.length_hint or terms.output_tokens


def _lengths(terms: headers.Terms) -> tuple[int, ...]:
    total, lengths = 0, []
    for part in terms.parts:
        total += part.tokens
        lengths.append(total)
    return tuple(lengths)


def _unready(problem: str) -> RequestError:
    return RequestError(
        problem, remedy="Send it again shortly.", status=503, code="not_ready"
    )


def _retry_after(exc: RequestError, *, stopping: bool) -> Seconds | None:
    if exc.status != 503:
        return None
    return OTHER_HOST_RETRY if stopping else BELIEF_RETRY


def _unknown_route() -> RequestError:
    return RequestError(
        "No route begins this path.",
        remedy="Use a host and path of the configuration.",
        status=404,
        code="route_unknown",
    )
