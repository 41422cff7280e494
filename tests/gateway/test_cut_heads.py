"""Play servers that stop inside the head of an answer and close."""

import asyncio
import contextlib

import aiohttp
import pytest

from amaranthferry.standins.routed import ServerFault

from .fleet import Caller, entry, fleet

SIGNED = (
    b"X-Amaranthferry-Server-Signature: s\r\nX-Amaranthferry-Attempt-Id: %b\r\n"
    b"Content-Type: text/event-stream\r\n"
)
BODY = b"id: 0\ndata: 0\n\n"
LENGTH = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 15\r\n\r\n"
HEADS = {
    "length": LENGTH,
    "chunked": b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Transfer-Encoding: chunked\r\n\r\n",
    "unframed": b"HTTP/1.1 200 OK\r\n" + SIGNED + b"\r\n",
    "after an early hint": b"HTTP/1.1 103 Early\r\n" + SIGNED + b"\r\n" + LENGTH,
}
#: Every byte is tried on the connection alone; these are tried with whole hosts.
PARTS = (0.0, 0.1, 0.3, 0.5, 0.8, 0.95, 1.0)
CALLS = ("/look/x", "/pay/x", "/ask/x", "/review/x")


class CutServer:
    """Answer with the beginning of a head, and close in order."""

    def __init__(self):
        self.head, self.part = b"", 0.0
        self.requests = 0

    async def serve(self, reader, writer):
        attempt = b""
        with contextlib.suppress(ConnectionError):
            while (line := await reader.readline()).strip():
                name, _, value = line.partition(b":")
                if name.lower() == b"x-amaranthferry-attempt-id":
                    attempt = value.strip()
            self.requests += 1
            head = self.head.replace(b"%b", attempt)
            # Never the last byte, with which an unframed answer would be whole.
            writer.write(head[: min(len(head) - 1, int(len(head) * self.part))])
            await writer.drain()
        writer.close()

    @contextlib.asynccontextmanager
    async def listed(self, system, *services):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for service in services:
            await system.store.put("servers", f"cut-{service}", entry(service, address))
        names = {f"cut-{service}" for service in services}
        while not names <= set(system.hosts[0].state.deployment.servers):
            await asyncio.sleep(0.01)
        yield
        server.close()


async def send(caller, path):
    """Return the status and the body of a whole answer, or None if it is cut."""
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        if path.startswith(("/ask", "/review")):
            _, status, _, body = await caller.send_prompt(path)
        else:
            method = "GET" if path.startswith("/look") else "POST"
            _, status, _, body = await caller.send(method, path)
        return status, body
    return None


@pytest.mark.parametrize("name", HEADS)
async def test_answer_cut_inside_its_head_is_no_success(name):
    cut = CutServer()
    async with (
        fleet(engines=0, ledgers=0) as (system, caller),
        cut.listed(system, "engines", "ledger"),
    ):
        cut.head = HEADS[name]
        for cut.part in PARTS:
            found = await asyncio.gather(*(send(caller, p) for p in CALLS))
            assert all(answer is None or answer[0] >= 500 for answer in found)
            assert found[:2] != [None, None]
        assert cut.requests >= len(PARTS) * len(CALLS)


@pytest.mark.parametrize("name", HEADS)
async def test_repeat_after_an_answer_cut_inside_its_head_is_whole(name):
    cut = CutServer()
    async with (
        fleet(engines=1, ledgers=1) as (system, caller),
        cut.listed(system, "engines", "ledger"),
    ):
        cut.head, whole = HEADS[name], 0
        for cut.part in PARTS:
            for path in ("/look/x", "/ask/x"):
                found = await send(caller, path)
                if found is not None and found[0] == 200:
                    whole += 1
                    assert found[1] in (b"ledger-0", b"".join(_events(3)))
        assert whole > len(PARTS)


def _events(count):
    return [b"id: %d\ndata: %d\n\n" % (number, number) for number in range(count)]


@pytest.mark.parametrize("name", HEADS)
async def test_begun_stream_whose_next_answer_is_cut_inside_its_head_is_not_whole(name):
    cut = CutServer()
    async with (
        fleet(engines=1, ledgers=0) as (system, caller),
        cut.listed(system, "engines"),
    ):
        system.servers["engine-0"].fault = ServerFault.CUT_STREAM
        cut.head = HEADS[name]
        for cut.part in PARTS:
            found = await send(caller, "/ask/x")
            assert found is None or found[0] >= 500


async def test_answer_after_an_early_hint_reaches_its_caller():
    server = CutServer()
    async with (
        fleet(engines=0, ledgers=0) as (system, _),
        server.listed(system, "engines", "ledger"),
    ):
        server.head, server.part = HEADS["after an early hint"] + BODY + b"\n", 1.0
        found = await asyncio.gather(*(send(Caller(system), p) for p in CALLS))
        assert found == [(200, BODY)] * len(CALLS)
