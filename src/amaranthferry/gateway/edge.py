"""Receive routed requests over HTTP and answer them."""

import asyncio
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Coroutine,
    MutableMapping,
)
from typing import TYPE_CHECKING, Any

import structlog

from ..bodies import BODY_TOO_LARGE, read_body
from ..catalog import (
    ANONYMOUS,
    Route,
    Subscriber,
    priority_of,
    tier_id,
    work_class_id,
)
from ..config import KIBIBYTE
from ..entry import OTHER_HOST_RETRY
from ..events import RequestArrived
from ..exceptions import RequestError
from ..harm.digest import digest_request
from ..hop_by_hop import answer_headers
from ..http_connection import AnswerStart
from ..memory import SMALL_BODY_BYTES, BodyMemory, BodyRoom
from ..platform import headers
from ..platform.desired import CONFIG_KIND
from ..problems import Problem
from ..replica.statements import Statement
from ..types import ModelId, PoolId, Seconds
from .dispatching import RoutedCall
from .exchange import BufferedAnswer, RoutedExchange, TruncatedAnswer
from .flow import FLOW_STATE, FlowState
from .log_events import LogEvent
from .patience import unread_patience

if TYPE_CHECKING:
    from .application import Gateway

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

#: Timeout of a request for which neither the caller nor its route sets one.
DEFAULT_TIMEOUT: Seconds = 30.0
#: Retry-After for requests that a host cannot admit yet.
NOT_READY_RETRY: Seconds = 0.5
STOPPING = "This host is stopping."
NO_ROOM = "no_room"
#: Time in which a refusal reaches a caller that is about to give up.
REFUSAL_TIME: Seconds = 0.1
CALLER_STALL_TIMEOUT: Seconds = 30.0
#: Bytes of a whole answer that are written at once.
PIECE_BYTES = 64 * KIBIBYTE
_log = structlog.get_logger(__name__)


class CallerDisconnected(Exception):  # noqa: N818
    """Report that a caller disconnected before its request was complete; internal."""


class Edge:
    """Serve the callers' address as an ASGI application."""

    def __init__(self, app: "Gateway") -> None:
        self._app = app
        #: Requests that have been read in part and have no complete answer.
        self.open_requests = 0
        #: The timeouts of the bodies that are arriving.
        self._reading: set[asyncio.Timeout] = set()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        self.open_requests += 1
        try:
            await self._answer(scope, receive, send)
        finally:
            self.open_requests -= 1
            self._app.check_idle()

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        responder = Responder(
            send,
            closing=self._app.stopping,
            bodiless=scope["method"] == "HEAD",
            flow=scope.get("state", {}).get(FLOW_STATE),
        )
        received = [
            (k.decode("latin-1"), v.decode("latin-1")) for k, v in scope["headers"]
        ]
        arrived = self._app.clock()
        room = _Room(self._app.bodies)
        try:
            await self._serve(scope, received, receive, responder, arrived, room)
        finally:
            room.release()

    async def _serve(
        self,
        scope: Scope,
        received: list[tuple[str, str]],
        receive: Receive,
        responder: "Responder",
        arrived: Seconds,
        room: "_Room",
    ) -> None:
        try:
            call, arrival = await self._admit(scope, received, receive, arrived, room)
        except RequestError as exc:
            self._record_refusal(received, scope, exc)
            await responder.problem(
                Problem.from_error(exc), _retry_after(exc, stopping=self._app.refusing)
            )
            return
        except CallerDisconnected:
            return
        exchange = self._app.accept(arrival, call)
        watcher = asyncio.get_running_loop().create_task(
            self._watch_disconnect(exchange, receive)
        )
        try:
            await self._respond(exchange, responder)
        except OSError:
            self._app.handle_disconnect(exchange)
        finally:
            watcher.cancel()
            exchange.release_answers()

    def _record_refusal(
        self, received: list[tuple[str, str]], scope: Scope, exc: RequestError
    ) -> None:
        params = headers.read_request_params(dict(received))
        self._app.telemetry.requests.add("", "refused", exc.code)
        age = self._app.freshness.age(self._app.clock())
        catalog = self._app.config.catalog
        state = self._app.syncs[CONFIG_KIND].state
        _log.info(
            LogEvent.REQUEST_REFUSED,
            attempt=params.attempt,
            code=exc.code,
            status=exc.status,
            version=catalog.version if catalog else None,
            belief_age=None if age is None else round(age, 3),
            revision=state.revision,
            source=state.source,
            store_lost=state.store_lost,
        )

    async def _watch_disconnect(
        self, exchange: RoutedExchange, receive: Receive
    ) -> None:
        message = await receive()
        while message["type"] != "http.disconnect":
            message = await receive()
        self._app.handle_disconnect(exchange)

    async def _admit(
        self,
        scope: Scope,
        received: list[tuple[str, str]],
        receive: Receive,
        arrived: Seconds,
        room: "_Room",
    ) -> tuple[RoutedCall, RequestArrived]:
        fields = dict(received)
        params = headers.read_request_params(fields)
        if self._app.refusing:
            raise _not_ready_error(STOPPING)
        await self._app.wait_initialized()
        route_table = self._app.config.route_table
        if route_table is None:
            raise _not_ready_error("This host knows no configuration yet.")
        route = route_table.route(fields.get("host", ""), scope["path"])
        if route is None:
            if route_table.may_lack_routes:
                raise _not_ready_error("The path may be of a route that can't be read.")
            self._check_current(Statement.UNKNOWN_ROUTE, arrived)
            raise _unknown_route_error()
        subscriber = self._subscriber(route, params, arrived)
        version = route_table.catalog.version
        state_age = self._app.freshness.age(self._app.clock())
        service = route.service_for(params.attempt)
        routed_service = route_table.catalog.services.get(service)
        if routed_service is None:
            raise _not_ready_error("The route's service is not configured.")
        limit = route.timeout or DEFAULT_TIMEOUT
        deadline = arrived + min(params.remaining or DEFAULT_TIMEOUT, limit)
        max_size = route_table.catalog.limits.max_body
        size = _body_size(fields, max_size)
        body = await self._read_body(
            receive, max_size, arrived, room.wait(size, deadline - arrived)
        )
        if not self._app.admits(deadline):
            raise _not_ready_error(STOPPING)
        workspace = subscriber.workspace if subscriber else ANONYMOUS
        target = _target(scope)
        call = RoutedCall(
            request_id=self._app.new_request_id(params.attempt),
            route=route,
            workspace=workspace,
            params=params,
            method=scope["method"],
            target=target,
            headers=tuple(received),
            body=body,
            arrived=arrived,
            deadline=deadline,
            event_tokens=routed_service.engine.event_tokens
            if routed_service.engine
            else 1,
            digest=digest_request(
                method=scope["method"],
                host=fields.get("host", ""),
                target=target,
                prompt=_prompt_name(params),
                workspace=workspace,
                body=body,
                key=self._app.peer_key,
            ),
            version=version,
            state_age=state_age,
        )
        if state_age is not None:
            self._app.telemetry.admission_age.observe(state_age)
        engine = routed_service.engine
        models = engine.models if engine else ()
        return call, _arrival(call, service, subscriber, models)

    async def _read_body(
        self,
        receive: Receive,
        max_size: int,
        arrived: Seconds,
        has_room: Coroutine[Any, Any, None],
    ) -> bytes:
        try:
            async with asyncio.timeout(None) as reading:
                self._reading.add(reading)
                await has_room
                return await read_body(_chunks(receive), max_size)
        except TimeoutError:
            raise _not_ready_error(STOPPING) from None
        except RequestError as exc:
            if exc.code == BODY_TOO_LARGE:
                self._check_current(Statement.BODY_TOO_LARGE, arrived)
            raise
        finally:
            self._reading.discard(reading)

    def stop_reading(self) -> None:
        """Refuse the requests whose bodies have not arrived as a whole."""
        for reading in self._reading:
            reading.reschedule(asyncio.get_running_loop().time())

    def _check_current(self, denial: Statement, now: Seconds) -> None:
        """Refuse a request that a newer configuration than the known one may allow."""
        if not self._app.freshness.may_say(denial, now):
            raise _not_ready_error(
                "This host can't tell whether its configuration is current."
            )

    def _subscriber(
        self, route: Route, params: headers.RequestParams, now: Seconds
    ) -> Subscriber | None:
        route_table = self._app.config.route_table
        assert route_table is not None
        if not route_table.needs_key or route.public:
            return None
        if not self._app.freshness.is_current(now):
            raise _not_ready_error("This host can't tell whether its keys are current.")
        subscriber = route_table.subscriber(params.key)
        if subscriber is None and route_table.may_lack_keys:
            raise _not_ready_error("The key may be of a workspace that can't be read.")
        if subscriber is None:
            self._check_current(Statement.UNKNOWN_KEY, now)
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
        elif isinstance(head, BufferedAnswer):
            await responder.answer(head)
        else:
            await responder.start(head)
            exchange.attach(responder)
            try:
                async for chunk in exchange.body():
                    await responder.chunk(chunk)
            except TruncatedAnswer:
                responder.abort()
                return
            await responder.end()


class _Room:
    """Hold the room of one request's body."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._room: BodyRoom | None = None

    async def wait(self, size: int, left: Seconds) -> None:
        """Wait for room until the caller would give up; raise RequestError without any."""
        if size <= SMALL_BODY_BYTES:
            return
        has_room = asyncio.Event()
        self._room = self._memory.reserve(size, has_room.set)
        try:
            patience = unread_patience(left) - REFUSAL_TIME
            async with asyncio.timeout(max(0.0, patience)):
                await has_room.wait()
        except TimeoutError:
            raise _not_ready_error(
                "This host has no memory left for the body.", code=NO_ROOM
            ) from None

    def release(self) -> None:
        """Return the room."""
        if self._room is not None:
            self._room.release()


class Responder:
    """Write one response to a caller."""

    def __init__(
        self,
        send: Send,
        *,
        closing: bool,
        bodiless: bool = False,
        flow: FlowState | None = None,
    ) -> None:
        self._send = send
        self._closing = closing
        self._bodiless = bodiless
        self._flow = flow

    @property
    def is_writable(self) -> bool:
        """Return whether the connection takes bytes without a wait."""
        return self._flow is not None and not self._flow.write_paused

    async def start(self, start: AnswerStart, length: int | None = None) -> None:
        """Write the status and headers of a server's answer."""
        pairs = answer_headers(start.headers)
        if length is not None:
            pairs = [pair for pair in pairs if pair[0] != "content-length"]
            pairs.append(("content-length", str(length)))
        await self._start(start.status, pairs)

    async def answer(self, answer: BufferedAnswer) -> None:
        """Write a buffered answer, in pieces that wait until the caller reads."""
        size = len(answer.body)
        await self.start(answer.start, None if self._bodiless else size)
        for begin in range(0, size, PIECE_BYTES):
            piece = bytes(answer.body[begin : begin + PIECE_BYTES])
            await self._body(piece, more=begin + PIECE_BYTES < size)
        if not size:
            await self._body(b"", more=False)

    async def chunk(self, chunk: bytes) -> None:
        """Write a chunk of a stream."""
        await self._body(chunk, more=True)

    def write(self, chunk: bytes) -> None:
        """Write a chunk of a stream without waiting, while `is_writable`."""
        _run_without_wait(self._send(_body_message(chunk, more=True)))

    async def end(self) -> None:
        """Write the end of a stream."""
        await self._body(b"", more=False)

    def abort(self) -> None:
        """Abort a stream so that the caller cannot mistake it for a complete one."""
        raise StreamAborted

    async def problem(self, problem: Problem, retry_after: Seconds | None) -> None:
        """Write a refusal or failure of this host."""
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
        message = _body_message(body, more=more)
        if self.is_writable:
            await self._send(message)
            return
        try:
            async with asyncio.timeout(CALLER_STALL_TIMEOUT):
                await self._send(message)
        except TimeoutError as exc:
            raise OSError(
                f"The caller has not read its answer for {CALLER_STALL_TIMEOUT:g} s."
            ) from exc


def _run_without_wait(work: Awaitable[None]) -> None:
    """Run work that is known not to wait."""
    steps = work.__await__()
    try:
        next(steps)
    except StopIteration:
        return
    raise RuntimeError("The write waits, though the connection was writable.")


def _body_message(body: bytes, *, more: bool) -> dict[str, object]:
    return {"type": "http.response.body", "body": body, "more_body": more}


class StreamAborted(Exception):  # noqa: N818
    """Report that a stream ended early; the HTTP server then closes its connection."""


async def _chunks(receive: Receive) -> AsyncIterator[bytes]:
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        yield message.get("body", b"")
        more = message.get("more_body", False)


def _target(scope: Scope) -> str:
    raw_path: bytes = scope["raw_path"]
    query: bytes = scope["query_string"]
    return (raw_path + (b"?" + query if query else b"")).decode("latin-1")


def _arrival(
    call: RoutedCall,
    service: PoolId,
    subscriber: Subscriber | None,
    models: tuple[ModelId, ...],
) -> RequestArrived:
    """Build the reducer's event for a call.

    A model that the service doesn't list is left for the server to judge.
    """
    route, params = call.route, call.params
    model = ModelId(params.model)
    tokens = params.prompt_tokens + params.output_tokens
    return RequestArrived(
        now=call.arrived,
        request_id=call.request_id,
        workspace=call.workspace,
        tier=tier_id(priority_of(route, subscriber)),
        work_class=work_class_id(route),
        pool=service,
        timeout=call.deadline - call.arrived,
        prompt_tokens=params.prompt_tokens,
        output_tokens=_output_tokens(params),
        model=model if model in models else ModelId(""),
        prefixes=tuple(part.hash for part in params.parts),
        prefix_lengths=_prefix_lengths(params),
        objective=route.objective,
        event_timeout=route.event_timeout,
        quota_cost=subscriber.cost(tokens) if subscriber else 0.0,
        max_attempts=route.max_attempts,
        repeatable=route.repeatable,
        digest=call.digest,
    )


def _prompt_name(params: headers.RequestParams) -> str:
    return " ".join((params.model, *(f"{part.hash:x}" for part in params.parts)))


def _output_tokens(params: headers.RequestParams) -> int:
    return params.length_hint or params.output_tokens


def _prefix_lengths(params: headers.RequestParams) -> tuple[int, ...]:
    total, lengths = 0, []
    for part in params.parts:
        total += part.tokens
        lengths.append(total)
    return tuple(lengths)


def _body_size(fields: dict[str, str], most: int) -> int:
    """Return the size that a body is announced to have, or may have at most."""
    if "transfer-encoding" in fields:
        return most
    length = fields.get("content-length", "0")
    return min(int(length), most) if length.isdecimal() else most


def _not_ready_error(problem: str, *, code: str = "not_ready") -> RequestError:
    return RequestError(problem, remedy="Send it again shortly.", status=503, code=code)


def _retry_after(exc: RequestError, *, stopping: bool) -> Seconds | None:
    if exc.status != 503:
        return None
    # Another host has room for the body, or doesn't stop.
    elsewhere = stopping or exc.code == NO_ROOM
    return OTHER_HOST_RETRY if elsewhere else NOT_READY_RETRY


def _unknown_route_error() -> RequestError:
    return RequestError(
        "No route begins this path.",
        remedy="Use a host and path of the configuration.",
        status=404,
        code="route_unknown",
    )
