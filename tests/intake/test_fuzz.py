"""Play requests, broken ones and pauses in any order against one listener.

Guards against a connection that answers in another order than it was asked, runs what
was not framed, hangs, or is still counted after its end. The long run is
`AMARANTHFERRY_FUZZ_EXAMPLES=20000 pytest tests/intake/test_fuzz.py`.
"""

import asyncio
import os
import re

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from amaranthferry.bodies import read_body
from amaranthferry.embedded import free_address
from amaranthferry.gateway.edge import _chunks
from amaranthferry.gateway.flow import ConnectionLimits
from amaranthferry.gateway.listener import Listener
from amaranthferry.intake.accounting import Intake
from amaranthferry.intake.state import IntakeLimits, Port

EXAMPLES = int(os.environ.get("AMARANTHFERRY_FUZZ_EXAMPLES", "150"))
HANG_TIME = 20.0
HEAD_BYTES = 2_048
MEMORY = 2_000_000

BODIES = st.sampled_from([b"", b"x", b"GET / HTTP/1.1\r\n\r\n", b"y" * 3_000])


def framed(number, body, chunk):
    head = b"POST /%d HTTP/1.1\r\nHost: a\r\n" % number
    if not chunk:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    parts = [body[n : n + chunk] for n in range(0, len(body), chunk)]
    chunks = b"".join(b"%x;e=1\r\n%b\r\n" % (len(part), part) for part in parts)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\nt: 1\r\n\r\n"


LAST = b"GET /last HTTP/1.1\r\nConnection: close\r\n\r\n"
#: A body of which the host waits for more.
ENDLESS = b"GET / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\nx"
ANSWER = re.compile(rb"HTTP/1\.1 200 OK\r\ncontent-length: \d+\r\n[^/]*/(\d+|last|)")
#: Bytes that end a connection; each begins where a head may begin.
BROKEN = st.sampled_from(
    [
        b"",
        b"\r\n\r\n",
        b"NONSENSE\r\n\r\n",
        b"GET / HTTP/1.1\r\nA: " + b"b" * 3 * HEAD_BYTES,
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        + b"t: 1\r\n" * HEAD_BYTES,
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"e" * 8_192,
        ENDLESS,
    ]
)
REQUESTS = st.lists(
    st.tuples(BODIES, st.sampled_from([0, 1, 700]), st.booleans()), max_size=12
)


class Application:
    """Answer each request with its path and the size of its body."""

    def __init__(self):
        self.bodies = {}
        self.early = set()

    async def __call__(self, scope, receive, send):
        path = scope["path"]
        if path not in self.early:
            self.bodies[path] = await read_body(_chunks(receive), 10_000)
        body = path.encode()
        length = (b"content-length", str(len(body)).encode())
        start = {"type": "http.response.start", "status": 200, "headers": [length]}
        await send(start)
        await send({"type": "http.response.body", "body": body})


async def play(listener_address, data, splits, *, reads):
    """Send data in pieces, and return all that the host has written until it closes."""
    ip, _, port = listener_address.partition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    received, begin = b"", 0
    try:
        for end in (*splits, len(data)):
            writer.write(data[begin:end])
            begin = end
            await asyncio.sleep(0.001)
        if reads:
            while piece := await reader.read(65_536):
                received += piece
    except ConnectionError:
        # What was written before the reset is checked.
        pass
    writer.close()
    return received


async def test_any_bytes_in_any_pieces_are_answered_as_framed_or_refused():
    application = Application()
    intake = Intake(IntakeLimits(MEMORY, {Port.CALLERS: 20}))
    address = free_address()
    listener = Listener(
        application,
        address,
        port=Port.CALLERS,
        intake=intake,
        limits=ConnectionLimits(head_size=HEAD_BYTES, first_idle=HANG_TIME),
    )
    await listener.start()
    loop = asyncio.get_running_loop()

    async def check(requests, broken, parts, reads):
        application.bodies.clear()
        application.early = {
            f"/{number}" for number, (_, _, early) in enumerate(requests) if early
        }
        data = b"".join(
            framed(number, body, chunk)
            for number, (body, chunk, _) in enumerate(requests)
        )
        data += broken
        if not broken.strip():
            data += LAST
        reads = reads and broken is not ENDLESS
        splits = sorted(int(part * len(data)) for part in parts)
        async with asyncio.timeout(HANG_TIME):
            received = await play(address, data, splits, reads=reads)
            while intake.count(Port.CALLERS):
                await asyncio.sleep(0.001)
        assert intake.held == 0
        for path, body in application.bodies.items():
            if path.strip("/").isdigit():
                assert body == requests[int(path[1:])][0]
        answered = ANSWER.findall(received)
        expected = [b"%d" % n for n in range(len(requests))] + [b"last"]
        assert answered == expected[: len(answered)]
        if reads and not broken.strip():
            assert answered == expected
        assert received.count(b"HTTP/1.1 ") <= len(answered) + 1

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(REQUESTS, BROKEN, st.lists(st.floats(0.0, 1.0), max_size=5), st.booleans())
    def fuzz(requests, broken, parts, reads):
        asyncio.run_coroutine_threadsafe(
            check(requests, broken, parts, reads), loop
        ).result(2 * HANG_TIME)

    await asyncio.to_thread(fuzz)
    await listener.stop()
