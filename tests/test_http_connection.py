"""Test the relay of answers that arrive on a connection."""

import asyncio

import pytest

from amaranthferry.http_connection import BrokenAnswer, HttpConnection

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"


class FakeTransport(asyncio.Transport):
    """Discard what is written."""

    def write(self, data):
        pass

    def abort(self):
        pass

    def is_closing(self):
        return False

    def resume_reading(self):
        pass


async def open_connection():
    conn = HttpConnection()
    conn.connection_made(FakeTransport())
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
