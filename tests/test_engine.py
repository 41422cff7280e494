import asyncio
import contextlib
import tracemalloc

import aiohttp
import pytest
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from amaranthferry.config import BackendServer
from amaranthferry.engine import BackendClient, cancel_and_wait
from amaranthferry.events import DispatchFailed, DispatchFinished
from amaranthferry.exchange import Call, Exchange
from amaranthferry.standins.serving import UnframedResponse, reset_connection, serve
from amaranthferry.types import PoolId, PoolKind, RequestId, ServerId, ZoneId

from .early_server import UPLOAD, End, early_server
from .gateway.test_endless_answers import ANSWERS, EndlessServer


async def dispatch(
    chunks, *, kind=PoolKind.SERVICE, reset=False, method="GET", status=200
):
    """Dispatch to a server that sends these chunks unframed; return the last event."""

    async def answer(request):
        if status != 200 or request.method == "HEAD":
            return Response(status_code=status)

        async def body():
            for chunk in chunks:
                yield chunk
            if reset:
                reset_connection(request)

        return UnframedResponse(body(), {})

    app = Starlette(routes=[Route("/call", answer, methods=["GET", "HEAD"])])
    call = Call(
        request_id=RequestId("r"),
        kind=kind,
        method=method,
        path="/call",
        headers=(),
        body=b"",
        streamed=kind is PoolKind.ENGINE,
        timeout=2.0,
    )
    events = []
    loop = asyncio.get_running_loop()
    client = BackendClient(idle_timeout=2.0, clock=loop.time)
    await client.start()
    async with serve(app) as url:
        server = BackendServer(
            name=ServerId("s"),
            pool=PoolId("p"),
            zone=ZoneId("z"),
            address=url.removeprefix("http://"),
        )
        await client.dispatch(Exchange(call), server, events.append)
        await client.stop()
    return events[-1]


async def test_unframed_answer_is_complete_at_an_orderly_end():
    assert isinstance(await dispatch([b"whole"]), DispatchFinished)


@pytest.mark.parametrize(
    ("method", "status"), [("GET", 204), ("GET", 304), ("HEAD", 200)]
)
async def test_answer_without_a_body_is_complete(method, status):
    ended = await dispatch([], method=method, status=status)
    assert isinstance(ended, DispatchFinished)


async def test_unframed_answer_that_is_reset_is_not_complete():
    assert isinstance(await dispatch([b"par"], reset=True), DispatchFailed)


@pytest.mark.parametrize(
    ("text", "complete"),
    [
        (b'data: {"text": "data: [DONE]"}', False),
        (b'data: {"text": "x"}\n\ndata: [DON', False),
        (b'data: {"text": "x"}\n\ndata: [DONE]\n\n', True),
        (b'data: {"text": "x"}\r\n\r\ndata: [DONE]\r\n\r\n', True),
        (b"data: [DONE]\n\n", True),
    ],
)
async def test_engine_stream_is_complete_only_with_its_end_marker(text, complete):
    ended = await dispatch([text], kind=PoolKind.ENGINE)
    assert isinstance(ended, DispatchFinished if complete else DispatchFailed)


@pytest.mark.parametrize("kind", [PoolKind.ENGINE, PoolKind.SERVICE])
@pytest.mark.parametrize("ends", [True, False])
async def test_end_of_a_server_is_told_from_a_lost_connection(ends, kind):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if ends:
            listener.close()
        writer.close()

    listener = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    server = BackendServer(
        name=ServerId("s"),
        pool=PoolId("p"),
        zone=ZoneId("z"),
        address=f"127.0.0.1:{port}",
    )
    call = Call(
        request_id=RequestId("r"),
        kind=kind,
        method="POST",
        path="/call",
        headers=(),
        body=b"x",
        streamed=kind is PoolKind.ENGINE,
        timeout=2.0,
    )
    events = []
    client = BackendClient(idle_timeout=2.0, clock=asyncio.get_running_loop().time)
    await client.start()
    await client.dispatch(Exchange(call), server, events.append)
    await client.stop()
    listener.close()
    assert isinstance(events[-1], DispatchFailed)
    assert events[-1].server_ended is ends


def server_at(address):
    return BackendServer(
        name=ServerId("s"), pool=PoolId("p"), zone=ZoneId("z"), address=address
    )


def whole_call(kind, body):
    """Return a call whose answer is no stream."""
    return Call(
        request_id=RequestId("r"),
        kind=kind,
        method="POST",
        path="/call",
        headers=(),
        body=body,
        streamed=False,
        timeout=30.0,
    )


async def dispatch_early(end, *, body, **answer):
    """Dispatch to a plain service that answers early; return the head and the event."""
    async with early_server(end, **answer) as address:
        server = server_at(address)
        events, exchange = [], Exchange(whole_call(PoolKind.SERVICE, body))
        client = BackendClient(idle_timeout=2.0, clock=asyncio.get_running_loop().time)
        await client.start()
        await client.dispatch(exchange, server, events.append)
        await client.stop()
    return exchange.head, events[-1]


@pytest.mark.parametrize(
    ("end", "complete"),
    [
        (End.RESET, False),
        (End.CLOSED, False),
        (End.HALF_CLOSED, False),
        (End.LEFT_OPEN, False),
        (End.READ_ON, True),
        (End.READ, True),
    ],
)
async def test_unframed_answer_is_complete_only_once_its_request_is_read(end, complete):
    _, ended = await dispatch_early(end, body=UPLOAD)
    assert isinstance(ended, DispatchFinished if complete else DispatchFailed)


@pytest.mark.parametrize("framing", [b"", b"Content-Length: 14\r\n"])
@pytest.mark.parametrize("status", [b"000 None", b"099 None", b"600 None", b"999 None"])
async def test_answer_with_an_impossible_status_is_broken(status, framing):
    head, ended = await dispatch_early(
        End.READ, body=b"1", status=status, framing=framing
    )
    assert isinstance(ended, DispatchFailed)
    assert not head.done()


#: What may be held of an answer without end.
MAX_HELD = 16 * 1024 * 1024


@contextlib.asynccontextmanager
async def endless_client(answer):
    """Run a client and a server whose answers never end; yield them with the peak."""
    endless = EndlessServer(*ANSWERS[answer])
    listener = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    server = server_at(f"127.0.0.1:{port}")
    client = BackendClient(idle_timeout=1.0, clock=asyncio.get_running_loop().time)
    await client.start()
    tracemalloc.start()
    yield client, server, endless, lambda: tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    await client.stop()
    listener.close()


async def read_all(exchange):
    await exchange.head
    async for _ in exchange.body():
        pass


@pytest.mark.parametrize("answer", ["body", "chunks"])
async def test_answer_of_an_engine_without_end_is_not_held_in_memory(answer):
    exchange = Exchange(whole_call(PoolKind.ENGINE, b"1"))
    async with endless_client(answer) as (client, server, endless, peak):
        reader = asyncio.ensure_future(read_all(exchange))
        dispatch = client.dispatch(exchange, server, lambda event: None)
        tasks = [reader, asyncio.ensure_future(dispatch)]
        async with asyncio.timeout(20.0):
            while endless.sent < 2 * MAX_HELD:
                await asyncio.sleep(0.01)
        held = peak()
        for task in tasks:
            await cancel_and_wait(task)
    assert held < MAX_HELD


@pytest.mark.parametrize("answer", ["body", "chunks"])
async def test_document_of_a_server_without_end_is_not_held_in_memory(answer):
    async with endless_client(answer) as (client, server, _, peak):
        with pytest.raises(aiohttp.ClientPayloadError):
            await client.get_json(server, "/load")
        held = peak()
    assert held < MAX_HELD
