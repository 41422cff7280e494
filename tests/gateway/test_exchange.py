"""Test the path of a stream's chunks from a server to its caller."""

import asyncio

import pytest

from amaranthferry.gateway.exchange import (
    MAX_QUEUED_BYTES,
    RoutedExchange,
    TruncatedAnswer,
)
from amaranthferry.memory import AnswerMemory

from .fleet import fleet

#: Longer than the time without progress after which a stream is resumed elsewhere.
STREAM_TIME = 2.2
EVENTS = 11


class FakeWriter:
    """Collect what is written."""

    def __init__(self):
        self.is_writable = True
        self.written = []

    def write(self, chunk):
        self.written.append(chunk)


async def consume(exchange, writer):
    async for chunk in exchange.body():
        await asyncio.sleep(0)
        writer.write(chunk)


async def test_chunks_skip_the_queue_only_while_it_is_empty():
    exchange, writer = RoutedExchange(call=None), FakeWriter()
    assert exchange.writer is None
    exchange.attach(writer)
    consumer = asyncio.ensure_future(consume(exchange, writer))
    await asyncio.sleep(0)
    exchange.writer.write(b"a")
    await exchange.feed(b"b")
    while b"b" not in writer.written:
        assert exchange.writer is None
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    exchange.writer.write(b"c")
    exchange.finish()
    assert exchange.writer is None
    await consumer
    assert writer.written == [b"a", b"b", b"c"]


async def test_chunks_for_a_slow_caller_are_queued():
    exchange, writer = RoutedExchange(call=None), FakeWriter()
    exchange.attach(writer)
    consumer = asyncio.ensure_future(consume(exchange, writer))
    await asyncio.sleep(0)
    assert exchange.writer is writer
    writer.is_writable = False
    assert exchange.writer is None
    consumer.cancel()
    await asyncio.gather(consumer, return_exceptions=True)
    writer.is_writable = True
    assert exchange.writer is None


@pytest.mark.parametrize("size", [1, 100, 256 * 1024])
async def test_stream_for_a_caller_that_does_not_read_holds_no_more_than_its_bound(
    size,
):
    exchange, held = RoutedExchange(call=None), 0
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            while True:
                await exchange.feed(b"x" * size)
                held += size
    assert held <= MAX_QUEUED_BYTES + size


async def test_chunks_wait_for_room_and_arrive_in_order():
    exchange, writer = RoutedExchange(call=None), FakeWriter()
    chunks = [bytes([number]) * 100_000 for number in range(20)]

    async def feed():
        for chunk in chunks:
            await exchange.feed(chunk)
        exchange.finish()

    await asyncio.gather(feed(), consume(exchange, writer))
    assert writer.written == chunks


async def test_stream_that_is_given_up_ends_though_its_queue_is_full():
    exchange = RoutedExchange(call=None)
    feeding = asyncio.ensure_future(exchange.feed(b"x" * MAX_QUEUED_BYTES))
    waiting = asyncio.ensure_future(exchange.feed(b"y"))
    await asyncio.sleep(0)
    exchange.settle(None)
    with pytest.raises(TruncatedAnswer):
        await consume(exchange, FakeWriter())
    assert feeding.done()
    waiting.cancel()


async def test_relayed_events_keep_a_stream_at_its_server():
    async with fleet(engines=2) as (running, caller):
        for server in running.servers.values():
            server.event_count = EVENTS
            server.event_interval = STREAM_TIME / EVENTS
        attempt, status, _, body = await caller.send_prompt(deadline=3.0)
        assert (status, body.count(b"\n\n")) == (200, EVENTS)
        assert len(running.servers_that_ran(attempt)) == 1


async def test_answer_that_comes_after_its_caller_has_left_holds_no_memory():
    memory = AnswerMemory(1_000)
    exchange, held = RoutedExchange(call=None), memory.hold(lambda: None)
    held.grow(100)
    exchange.release_answers()
    exchange.hold_answer(held)
    assert memory.held == 0
