"""Check after which answers a connection may carry another request."""

import asyncio

import pytest

from amaranthferry.http_connection import HttpConnection
from tests.test_http_connection import FakeTransport

HEAD = b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\ncontent-length: 2\r\n\r\n"


async def answered(*received, method="GET"):
    conn = HttpConnection()
    conn.connection_made(FakeTransport())
    conn.send(method, "/", [])
    for data in received:
        conn.data_received(data)
    await conn.start()
    await conn.body()
    return conn


@pytest.mark.parametrize(
    "received",
    [
        [HEAD + b"ok"],
        [HEAD, b"ok"],
        [HEAD[:30], HEAD[30:60], HEAD[60:] + b"o", b"k"],
        [bytes([byte]) for byte in HEAD + b"ok"],
    ],
)
async def test_answer_that_ends_where_its_length_says_ends_cleanly(received):
    conn = await answered(*received)
    assert conn.ended_cleanly
    assert conn.is_quiet
    assert conn.keep_alive_time == 5.0


@pytest.mark.parametrize(
    "received",
    [
        HEAD + b"ok\r\n",
        HEAD + b"ok\r\n\r\n",
        HEAD.replace(b"200 OK", b"200 OK\r\nconnection: close") + b"ok",
        HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + b"ok",
        HEAD.replace(b"content-length: 2", b"transfer-encoding: chunked")
        + b"2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + b"ok",
    ],
    ids=["line", "lines", "close", "old", "chunked", "informational"],
)
async def test_other_answers_dont(received):
    assert not (await answered(received)).ended_cleanly


async def test_second_answer_for_one_request_ends_the_connection():
    conn = HttpConnection()
    conn.connection_made(FakeTransport())
    conn.send("GET", "/", [])
    conn.data_received(HEAD + b"ok" + HEAD + b"no")
    assert not conn.ended_cleanly


async def test_bytes_after_the_answer_end_the_connection():
    conn = await answered(HEAD + b"ok")
    conn.data_received(b"x")
    assert not conn.ended_cleanly
    assert not conn.is_quiet


async def test_answer_without_a_body_doesnt_end_cleanly():
    # Whether the body that a HEAD's answer announces follows isn't known.
    conn = HttpConnection()
    conn.connection_made(FakeTransport())
    conn.send("HEAD", "/", [])
    conn.data_received(HEAD)
    assert not conn.ended_cleanly


async def test_connection_carries_a_second_request():
    conn = await answered(HEAD + b"ok")
    conn.send("GET", "/", [])
    assert not conn.ended_cleanly
    conn.data_received(HEAD + b"go")
    assert bytes(await conn.body()) == b"go"
    assert conn.ended_cleanly


async def test_answer_whose_head_has_no_usual_end_holds_nothing():
    conn = HttpConnection()
    conn.connection_made(FakeTransport())
    conn.send("GET", "/", [])
    body = b"x" * 100_000
    head = b"HTTP/1.1 200 OK\ncontent-length: 300000\n\n"
    for data in (head, body, body, body):
        conn.data_received(data)
    assert len(conn._head) <= len(head)
    assert not conn.ended_cleanly


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("timeout=5", 5.0),
        ("max=3, timeout=12", 12.0),
        ("Timeout=7, max=100", 7.0),
        ("timeout=-1", 0.0),
        ("timeout=x", 0.0),
        ("notimeout=5", 0.0),
        ("", 0.0),
    ],
)
async def test_time_is_read_from_the_header(value, expected):
    head = HEAD.replace(b"timeout=5", value.encode())
    assert (await answered(head + b"ok")).keep_alive_time == expected


async def test_end_that_has_not_been_read_yet_is_noticed():
    received = asyncio.Event()

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"ok")
        await writer.drain()
        await received.wait()
        writer.close()
        await writer.wait_closed()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    conn = await HttpConnection.open(f"127.0.0.1:{port}", timeout=5)
    conn.send("GET", "/", [])
    await conn.start()
    await conn.body()
    assert conn.is_quiet
    # The end arrives while the transport doesn't read.
    conn._transport.pause_reading()
    received.set()
    async with asyncio.timeout(5):
        while conn.is_quiet:
            await asyncio.sleep(0.01)
    assert conn.connected
    conn.abort()
    server.close()
