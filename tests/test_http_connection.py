"""Test the relay of answers that arrive on a connection."""

import asyncio
import tracemalloc

import pytest

from amaranthferry.http_connection import (
    MAX_BODY_BYTES,
    MAX_BODY_PARTS,
    MAX_BUFFERED_BYTES,
    MAX_OVERHEAD_BYTES,
    BrokenAnswer,
    HttpConnection,
)

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"


class FakeTransport(asyncio.Transport):
    """Discard what is written."""

    def write(self, data):
        pass

    def __init__(self):
        super().__init__()
        self.aborted = self.paused = False

    def abort(self):
        self.aborted = True

    def is_closing(self):
        return self.aborted

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False


async def open_connection(transport=None):
    conn = HttpConnection()
    conn.connection_made(transport or FakeTransport())
    conn.send("GET", "/", [])
    conn.data_received(HEAD)
    await conn.start()
    return conn


async def wait_for_chunk(conn):
    task = asyncio.ensure_future(conn.chunk())
    await asyncio.sleep(0)
    return task


async def test_chunks_are_relayed_as_they_arrive():
    conn, relayed = await open_connection(), []
    conn.relay_to(lambda data: not relayed.append(data))
    reader = await wait_for_chunk(conn)
    conn.data_received(b"1\r\na\r\n2\r\nbc\r\n")
    conn.data_received(b"1\r\nd\r\n")
    assert relayed == [b"abc", b"d"]
    assert not reader.done()
    conn.data_received(END)
    assert await reader == b""


async def test_refused_chunks_are_buffered_in_order():
    conn = await open_connection()
    conn.relay_to(lambda data: False)
    reader = await wait_for_chunk(conn)
    conn.data_received(b"1\r\na\r\n")
    conn.data_received(b"1\r\nb\r\n" + END)
    assert [await reader, await conn.chunk(), await conn.chunk()] == [b"a", b"b", b""]


async def test_chunks_are_not_relayed_past_buffered_ones():
    conn, relayed = await open_connection(), []
    conn.data_received(b"1\r\na\r\n")
    conn.relay_to(lambda data: not relayed.append(data))
    conn.data_received(b"1\r\nb\r\n")
    assert [await conn.chunk(), await conn.chunk()] == [b"a", b"b"]
    assert relayed == []


async def test_error_of_the_relay_ends_the_answer():
    def refuse(data):
        raise BrokenAnswer("too long")

    conn = await open_connection()
    conn.relay_to(refuse)
    reader = await wait_for_chunk(conn)
    conn.data_received(b"1\r\na\r\n" + END)
    with pytest.raises(BrokenAnswer, match="too long"):
        await reader


#: Bytes that a server sends at once, and the size of a body that is read meanwhile.
BLOCK_BYTES = 64 * 1024
BODY_BYTES = 2 * 1024 * 1024
#: What a body may take for each byte, and what reading it may take beside.
MAX_COST = 1.25
READING_BYTES = 6 * BLOCK_BYTES


@pytest.fixture
def traced_memory():
    tracemalloc.start()
    yield tracemalloc.get_traced_memory
    tracemalloc.stop()


def chunks_of(size):
    """Return a block of chunks of a size, and the number of bytes of body in it."""
    count = max(1, BLOCK_BYTES // (size + 6))
    return b"%x\r\n%b\r\n" % (size, b"x" * size) * count, size * count


@pytest.mark.parametrize("size", [1, 2, 4, 64, 4_096])
async def test_body_in_short_chunks_takes_no_more_memory_than_its_bytes(
    size, traced_memory
):
    conn = await open_connection()
    block, payload = chunks_of(size)
    reading = asyncio.ensure_future(conn.body())
    before, sent = traced_memory()[0], 0
    while sent < min(BODY_BYTES, size * MAX_BODY_PARTS - payload):
        conn.data_received(block)
        sent += payload
        await asyncio.sleep(0)
    held = traced_memory()[0] - before
    conn.data_received(END)
    assert len(await reading) == sent
    assert held < sent * MAX_COST + READING_BYTES


async def test_unread_body_in_tiny_packets_is_paused_by_what_it_takes(traced_memory):
    transport = FakeTransport()
    conn = await open_connection(transport)
    before = traced_memory()[0]
    while not transport.paused:
        conn.data_received(b"2\r\nab\r\n")
    assert traced_memory()[0] - before < MAX_BUFFERED_BYTES * MAX_COST


async def test_body_in_too_many_parts_is_given_up():
    conn = await open_connection()
    block, _ = chunks_of(1)
    reading = asyncio.ensure_future(conn.body())
    for _ in range(MAX_BODY_PARTS // block.count(b"x") + 1):
        conn.data_received(block)
        await asyncio.sleep(0)
    with pytest.raises(BrokenAnswer, match="too many parts"):
        await reading


async def test_body_over_its_bound_is_given_up():
    conn = await open_connection()
    block, payload = chunks_of(4_096)
    reading = asyncio.ensure_future(conn.body())
    for _ in range(MAX_BODY_BYTES // payload + 2):
        conn.data_received(block)
        await asyncio.sleep(0)
    with pytest.raises(BrokenAnswer, match="too long"):
        await reading


@pytest.mark.parametrize(
    "trailers", [b"X-More: 1\r\n" * 4_096, b"X-More: " + b"x" * BLOCK_BYTES]
)
async def test_trailers_after_a_long_body_are_bounded(trailers, traced_memory):
    conn = await open_connection()
    block, payload = chunks_of(4_096)
    reading = asyncio.ensure_future(conn.body())
    for _ in range(BODY_BYTES // payload):
        conn.data_received(block)
        await asyncio.sleep(0)
    before = traced_memory()[0]
    conn.data_received(b"0\r\n")
    for _ in range(64):
        if conn.connected:
            conn.data_received(trailers)
    assert traced_memory()[0] - before < 4 * MAX_OVERHEAD_BYTES
    with pytest.raises(BrokenAnswer, match="trailers"):
        await reading


async def test_body_without_room_is_given_up():
    conn = await open_connection()
    reading = asyncio.ensure_future(conn.body(lambda size: False))
    conn.data_received(b"1\r\na\r\n")
    with pytest.raises(BrokenAnswer, match="memory"):
        await reading


SIGNATURE = b"x-amaranthferry-server-signature: s\r\n"
FRAMINGS = {
    "length": (b"content-length: 5\r\n\r\n", b"hello"),
    "chunked": (b"transfer-encoding: chunked\r\n\r\n", b"5\r\nhello\r\n" + END),
    "unframed": (b"\r\n", b"hello"),
}


async def read_answer(data, *, split=0):
    """Return an answer that its server closes after it, as `status, body`."""
    conn = HttpConnection()
    conn.connection_made(FakeTransport())
    conn.send("GET", "/", [])

    async def read():
        start = await conn.start()
        return start.status, bytes(await conn.body())

    reading = asyncio.ensure_future(read())
    for part in (data[:split], data[split:]):
        await asyncio.sleep(0)
        if part and conn.connected:
            conn.data_received(part)
    conn.eof_received()
    conn.connection_lost(None)
    return await reading


@pytest.mark.parametrize("early", [b"", b"HTTP/1.1 103 Early\r\nlink: x\r\n\r\n"])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_answer_cut_at_any_byte_is_complete_only_if_its_framing_says_so(
    framing, early
):
    end_of_head, body = FRAMINGS[framing]
    head = early + b"HTTP/1.1 200 OK\r\n" + SIGNATURE + end_of_head
    whole = head + body
    for cut in range(len(whole)):
        if framing == "unframed" and cut >= len(head):
            # Nothing tells such an answer from a whole one.
            assert await read_answer(whole[:cut]) == (200, whole[len(head) : cut])
            continue
        with pytest.raises(BrokenAnswer):
            await read_answer(whole[:cut], split=cut // 2)
    assert await read_answer(whole) == (200, b"hello")


@pytest.mark.parametrize("status", [b"100 Continue", b"102 Processing", b"103 Early"])
async def test_informational_answers_are_followed_by_the_final_one(status):
    end_of_head, body = FRAMINGS["length"]
    early = b"HTTP/1.1 %b\r\n%b\r\n" % (status, SIGNATURE)
    final = b"HTTP/1.1 200 OK\r\n" + SIGNATURE + end_of_head + body
    for split in range(len(early + final)):
        assert await read_answer(early * 2 + final, split=split) == (200, b"hello")
    with pytest.raises(BrokenAnswer):
        await read_answer(early)


async def test_answer_that_switches_the_protocol_is_broken():
    switch = b"HTTP/1.1 101 Switching\r\n%bupgrade: h2c\r\nconnection: upgrade\r\n\r\nx"
    with pytest.raises(BrokenAnswer, match="protocol"):
        await read_answer(switch % SIGNATURE)
