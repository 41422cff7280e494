"""Guard against framing that no byte of a body follows: trailers, chunk extensions."""

import asyncio
import contextlib

import pytest

from tests.gateway.fleet import KEY, config, fleet
from tests.gateway.test_request_framing import head, ran, read_status

MAX_HEADER = 4_096
FRAMING = b"Transfer-Encoding: chunked\r\n"


@contextlib.asynccontextmanager
async def limited_fleet():
    spec = config(maxHeaderBytes=MAX_HEADER)
    async with fleet(engines=0, spec=spec) as (system, _):
        async with asyncio.timeout(5):
            while not system.hosts[0].is_ready:
                await asyncio.sleep(0.01)
        yield system


async def send(system, data):
    """Return the statuses of all answers until the host closes or a whole one came."""
    ip, _, port = system.urls[0].removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(data)
    statuses = []
    with contextlib.suppress(
        asyncio.IncompleteReadError, ConnectionError, TimeoutError
    ):
        async with asyncio.timeout(3.0):
            while True:
                statuses.append(await read_status(reader))
                if statuses[-1] == 200 and data.endswith(b"0\r\n\r\n"):
                    break
    writer.close()
    return statuses


UNENDED = {
    "many trailers": b"1\r\nx\r\n0\r\n" + b"t: 1\r\n" * 2_000,
    "one trailer": b"1\r\nx\r\n0\r\nt: " + b"x" * 12_000,
    "one extension": b"1;" + b"x" * 12_000,
    "extension of a later chunk": b"1\r\nx\r\n1;" + b"x" * 12_000,
}


@pytest.mark.parametrize("name", UNENDED)
async def test_framing_over_the_limit_is_refused_and_runs_nothing(name):
    async with limited_fleet() as system:
        data = head(b"POST", b"/pay/x", "one", FRAMING) + UNENDED[name]
        assert await send(system, data) == [431]
        assert ran(system) == []


async def test_head_within_the_limit_behind_other_requests_runs():
    """Guards against bytes before a head that are counted toward it."""
    async with limited_fleet() as system:
        first = head(b"POST", b"/pay/x", "one", b"Content-Length: 1900\r\n")
        padding = b"X-More: " + b"x" * (MAX_HEADER - 200) + b"\r\n"
        second = head(b"POST", b"/pay/x", "two", FRAMING, padding)
        assert MAX_HEADER - 100 < len(second) <= MAX_HEADER
        data = first + b"y" * 1_900 + second + b"0\r\n\r\n"
        ip, _, port = system.urls[0].removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(data)
        async with asyncio.timeout(10.0):
            assert [await read_status(reader) for _ in range(2)] == [200, 200]
        writer.close()


async def test_trailers_over_the_limit_behind_a_running_request_cut_no_answer():
    async with limited_fleet() as system:
        for server in system.servers.values():
            server.processing_time = 0.2
        data = head(b"POST", b"/pay/x", "first", b"Content-Length: 1\r\n") + b"1"
        data += head(b"POST", b"/pay/x", "second", FRAMING) + UNENDED["many trailers"]
        assert await send(system, data) in ([200], [200, 431])
        assert [request[0] for request in ran(system)] == ["first"]


async def test_trailers_over_the_limit_behind_a_refusal_bring_no_second_answer():
    async with limited_fleet() as system:
        data = head(b"POST", b"/pay/x", "one", FRAMING).replace(KEY.encode(), b"other")
        ip, _, port = system.urls[0].removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(data)
        assert await read_status(reader) == 401
        writer.write(UNENDED["many trailers"])
        async with asyncio.timeout(3.0):
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
        writer.close()


async def test_long_body_in_short_chunks_with_trailers_within_the_limit_runs():
    async with limited_fleet() as system:
        body = b"1;a=b\r\nx\r\n" * 10_000 + b"0\r\nt: 1\r\n" + b"\r\n"
        data = head(b"POST", b"/pay/x", "one", FRAMING) + body
        data += head(b"POST", b"/pay/x", "two", FRAMING) + b"0\r\n\r\n"
        assert (await send(system, data))[:1] == [200]
        assert ran(system)[0] == ("one", "POST", "/pay/x", b"x" * 10_000)
