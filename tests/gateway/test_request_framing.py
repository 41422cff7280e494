"""Compare the requests that servers get with those that callers have framed."""

import asyncio
import contextlib

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from .fleet import HOST, KEY, config, fleet

OFFER = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAA\r\n"
)
WEBSOCKET = b"Connection: upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Key: a\r\n"
HIDDEN = (
    b"POST /pay/hidden HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1\r\n\r\nx"
)


def head(method, target, attempt, *lines):
    fields = [
        b"Host: %b\r\n" % HOST.encode(),
        b"X-Amaranthferry-Key: %b\r\n" % KEY.encode(),
        b"X-Amaranthferry-Attempt-Id: %b\r\n" % attempt.encode(),
        *lines,
    ]
    return b"%b %b HTTP/1.1\r\n%b\r\n" % (method, target, b"".join(fields))


def with_length(method, target, attempt, body, offer=b""):
    length = b"Content-Length: %d\r\n" % len(body)
    return head(method, target, attempt, length, offer) + body


def in_chunks(method, target, attempt, body, offer=b""):
    chunks = b"".join(b"%x\r\n%b\r\n" % (1, body[n : n + 1]) for n in range(len(body)))
    framing = b"Transfer-Encoding: chunked\r\n"
    return head(method, target, attempt, framing, offer) + chunks + b"0\r\n\r\n"


async def exchange(system, data, answers, *, splits=()):
    """Send bytes in pieces on one connection, and return the statuses of the answers."""
    ip, _, port = system.urls[0].removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    statuses = []
    begin = 0
    for end in (*splits, len(data)):
        writer.write(data[begin:end])
        begin = end
        await asyncio.sleep(0.002)
    ends = (TimeoutError, asyncio.IncompleteReadError, ConnectionError)
    with contextlib.suppress(*ends):
        async with asyncio.timeout(3.0):
            while len(statuses) < answers:
                statuses.append(await read_status(reader))
    writer.close()
    return statuses


async def read_status(reader):
    status = (await reader.readuntil(b"\r\n")).split()[1]
    length, chunked = 0, False
    while (line := await reader.readuntil(b"\r\n")).strip():
        name, _, value = line.lower().partition(b":")
        if name == b"content-length":
            length = int(value)
        chunked |= name == b"transfer-encoding"
    if chunked:
        await reader.readuntil(b"0\r\n\r\n")
    await reader.readexactly(length)
    return int(status)


def ran(system):
    return [
        (request.attempt, request.method, request.target, request.body)
        for server in system.servers.values()
        for request in server.executed
    ]


@pytest.mark.parametrize("offer", [b"", OFFER, WEBSOCKET])
@pytest.mark.parametrize("frame", [with_length, in_chunks])
@pytest.mark.parametrize("body", [b"", b"pay 7", HIDDEN])
async def test_request_that_offers_an_upgrade_runs_as_if_it_did_not(offer, frame, body):
    async with fleet(engines=0) as (system, _):
        data = frame(b"POST", b"/pay/x", "one", body, offer)
        end_of_head = data.index(b"\r\n\r\n") + 4
        for number, split in enumerate((0, end_of_head // 2, end_of_head)):
            sent = data.replace(b": one\r\n", b": one-%d\r\n" % number)
            sent += with_length(b"GET", b"/look/x", f"next-{number}", b"")
            assert await exchange(system, sent, 2, splits=(split,)) == [200, 200]
        assert sorted(ran(system)) == sorted(
            found
            for number in range(3)
            for found in (
                (f"one-{number}", "POST", "/pay/x", body),
                (f"next-{number}", "GET", "/look/x", b""),
            )
        )


async def test_connect_and_another_protocol_are_refused_and_run_nothing():
    async with fleet(engines=0) as (system, _):
        for data in (
            head(b"CONNECT", b"desk.example:80", "a") + HIDDEN,
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + HIDDEN,
        ):
            assert await exchange(system, data, 2) in ([400], [])
        assert ran(system) == []


REQUESTS = st.lists(
    st.tuples(
        st.sampled_from([with_length, in_chunks]),
        st.sampled_from([b"", OFFER, WEBSOCKET]),
        st.sampled_from([b"", b"pay", HIDDEN, HIDDEN + OFFER]),
    ),
    min_size=1,
    max_size=3,
)


async def test_pipelined_requests_split_anywhere_run_as_they_were_framed():
    async with fleet(engines=0) as (system, _):
        loop = asyncio.get_running_loop()
        counts = iter(range(1_000_000))

        async def play(requests, parts):
            expected, data = [], b""
            for frame, offer, body in requests:
                attempt = f"fuzz-{next(counts)}"
                data += frame(b"POST", b"/pay/x", attempt, body, offer)
                expected.append((attempt, "POST", "/pay/x", body))
            splits = sorted(int(part * len(data)) for part in parts)
            statuses = await exchange(system, data, len(requests), splits=splits)
            assert statuses == [200] * len(requests)
            found = set(ran(system))
            assert set(expected) <= found
            assert not any(request[2] == "/pay/hidden" for request in found)
            assert len(ran(system)) == len(found)

        @settings(
            max_examples=40,
            deadline=None,
            database=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        )
        @given(REQUESTS, st.lists(st.floats(0.0, 1.0), max_size=4))
        def fuzz(requests, parts):
            asyncio.run_coroutine_threadsafe(play(requests, parts), loop).result(20)

        await asyncio.to_thread(fuzz)


MAX_HEADER = 4_096


@contextlib.asynccontextmanager
async def limited_fleet():
    spec = config(maxHeaderBytes=MAX_HEADER, headerTimeoutMs=500)
    async with fleet(engines=0, spec=spec) as (system, _):
        async with asyncio.timeout(5):
            while not system.hosts[0].is_ready:
                await asyncio.sleep(0.01)
        yield system


@pytest.mark.parametrize("size", [MAX_HEADER // 2, 2 * MAX_HEADER, 300_000])
@pytest.mark.parametrize("lines", [1, 20])
async def test_head_over_its_limit_is_refused(size, lines):
    async with limited_fleet() as system:
        fields = [
            b"X-More-%d: %b\r\n" % (number, b"x" * (size // lines))
            for number in range(lines)
        ]
        data = head(b"GET", b"/look/x", "one", *fields)
        statuses = await exchange(system, data, 1)
        if size < MAX_HEADER:
            assert statuses == [200]
        else:
            # A caller that is still sending may find the connection reset.
            assert statuses == [431] or (not statuses and size > 100_000)
        assert len(ran(system)) == (size < MAX_HEADER)


@pytest.mark.parametrize("fill", [b"X-More: 1\r\n", b"X-More: " + b"x" * 2_000, b"x"])
async def test_head_without_end_is_given_up(fill):
    async with limited_fleet() as system:
        ip, _, port = system.urls[0].removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b"GET /look/x HTTP/1.1\r\nX-A: ")
        sent = 0
        with contextlib.suppress(ConnectionError):
            while sent < 50_000_000:
                writer.write(fill * 100)
                sent += 100 * len(fill)
                await writer.drain()
                await asyncio.sleep(0)
        assert sent < 20_000_000
        writer.close()


async def test_head_that_arrives_slowly_is_given_up_and_later_ones_are_not():
    async with limited_fleet() as system:
        ip, _, port = system.urls[0].removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        whole = head(b"GET", b"/look/x", "one")
        for number in range(2):
            # The time runs from the first byte of a head, not while the caller is idle.
            await asyncio.sleep(0.7)
            writer.write(head(b"GET", b"/look/x", f"kept-{number}"))
            assert await read_status(reader) == 200
        writer.write(whole[:20])
        began = asyncio.get_running_loop().time()
        async with asyncio.timeout(3.0):
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 408 ")
        assert 0.4 < asyncio.get_running_loop().time() - began < 1.0
        writer.close()


@pytest.mark.parametrize("target", [b"http://[::1/x", b"/look/%00 x", b"look"])
async def test_request_with_an_odd_target_is_answered_and_runs_nothing_else(target):
    async with fleet(engines=0) as (system, _):
        data = head(b"GET", target, "odd")
        (status,) = await exchange(system, data, 1)
        assert status in (400, 404)
        assert ran(system) == []


async def test_connect_behind_a_running_request_cuts_no_answer():
    async with fleet(engines=0) as (system, _):
        for server in system.servers.values():
            server.processing_time = 0.2
        data = with_length(b"POST", b"/pay/x", "first", b"1")
        data += head(b"CONNECT", b"desk.example:80", "second") + HIDDEN
        assert await exchange(system, data, 2) == [200]
        assert ran(system) == [("first", "POST", "/pay/x", b"1")]
