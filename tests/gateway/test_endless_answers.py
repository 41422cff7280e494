import asyncio
import contextlib

import pytest

from .fleet import entry, fleet

#: Bytes that a host may take of an answer that never ends.
MAX_TAKEN = 24 * 1024 * 1024
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Amaranthferry-Server-Signature: s\r\n"
    b"X-Amaranthferry-Attempt-Id: %b\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"
FILL = b"x" * 65_536
#: What a server sends first, and then again and again until the host closes.
ANSWERS = {
    "status line": (b"HTTP/1.1 200 ", FILL),
    "header": (HEAD + b"X-More: ", FILL),
    "headers": (HEAD, b"X-More: 1\r\n" * 4_096),
    "no answer": (b"", b"\r\n" * 4_096),
    "body": (HEAD + b"\r\n", FILL),
    "chunks": (CHUNKED + b"\r\n", b"10000\r\n" + FILL + b"\r\n"),
    "chunk extension": (CHUNKED + b"\r\n1;", FILL),
    "chunk length": (CHUNKED + b"\r\n", b"0" * 65_536),
    "trailers": (CHUNKED + b"\r\n1\r\nx\r\n0\r\n", b"X-More: 1\r\n" * 4_096),
    "after the answer": (HEAD + b"Content-Length: 1\r\n\r\nx", FILL),
}


class EndlessServer:
    """Answer each request with bytes that end only when the caller closes."""

    def __init__(self, first, repeated):
        self._first, self._repeated = first, repeated
        self.sent = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        attempt = b""
        while (line := await reader.readline()).strip():
            name, _, value = line.partition(b":")
            if name.lower() == b"x-amaranthferry-attempt-id":
                attempt = value.strip()
        first = self._first % attempt if b"%b" in self._first else self._first
        with contextlib.suppress(ConnectionError):
            writer.write(first)
            while True:
                writer.write(self._repeated)
                await writer.drain()
                self.sent += len(self._repeated)
        self.closed.set()
        writer.close()


@contextlib.asynccontextmanager
async def endless_server(system, service, answer):
    endless = EndlessServer(*ANSWERS[answer])
    server = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    listed = entry(service, f"127.0.0.1:{port}")
    await system.store.put("servers", "endless", listed)
    while "endless" not in system.hosts[0].state.deployment.servers:
        await asyncio.sleep(0.01)
    yield endless
    server.close()


@pytest.mark.parametrize("answer", ANSWERS)
async def test_answer_without_end_is_given_up_and_its_caller_answered(answer):
    async with (
        fleet(ledgers=0, engines=1) as (system, caller),
        endless_server(system, "ledger", answer) as endless,
    ):
        loop = asyncio.get_running_loop()
        began = loop.time()
        request = asyncio.create_task(caller.send("POST", "/pay/x", data=b"1"))
        _, other, _, _ = await caller.send_prompt()
        _, status, headers, _ = await request
        async with asyncio.timeout(1.0):
            await endless.closed.wait()
        assert loop.time() - began < 0.9
        assert status == (200 if answer == "after the answer" else 502)
        assert "Retry-After" not in headers
        assert endless.sent < MAX_TAKEN
        assert other == 200


async def test_event_without_end_is_given_up_and_its_caller_answered():
    answer = (HEAD + b"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", FILL)
    ANSWERS["event"] = answer
    async with (
        fleet(engines=0, ledgers=1) as (system, caller),
        endless_server(system, "engines", "event") as endless,
    ):
        del ANSWERS["event"]
        with contextlib.suppress(Exception):
            async with asyncio.timeout(1.0):
                await caller.send_prompt("/ask/x")
        async with asyncio.timeout(1.0):
            await endless.closed.wait()
        assert endless.sent < MAX_TAKEN
        assert (await caller.send("GET", "/look/x"))[1] == 200
