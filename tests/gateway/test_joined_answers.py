"""Play streams that go on at another server, and answers that come twice."""

import asyncio
import contextlib

import aiohttp
import pytest

from amaranthferry.standins.routed import ServerFault

from .fleet import Caller, entry, fleet

EVENTS = 6


def events(body):
    """Return the ids of a stream's events; fail on what is no event of the stand-in."""
    blocks = [block for block in body.split(b"\n\n") if block]
    ids = [int(block.split(b"\n")[0].removeprefix(b"id: ")) for block in blocks]
    assert blocks == [b"id: %d\ndata: %d" % (n, n) for n in ids]
    return ids


class ReadingCaller(Caller):
    """Return what could be read of a stream, and whether it ended as complete."""

    async def read_stream(self, path):
        self._count += 1
        headers = {
            "Host": "desk.example",
            "X-Amaranthferry-Attempt-Id": f"stream-{self._count}",
            "X-Amaranthferry-Deadline-Ms": "2000",
            "X-Amaranthferry-Key": "key-of-field",
            "X-Amaranthferry-Model": "m",
            "X-Amaranthferry-Token-Usage": "100,20",
        }
        url = self._fleet.urls[0] + path
        received = b""
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=b"text") as answer,
        ):
            try:
                async for chunk in answer.content.iter_any():
                    received += chunk
            except aiohttp.ClientPayloadError:
                return received, False
        return received, True


def resumed_with(fault):
    """Break off a stream's first run inside an event, and fail the run that resumes."""

    def choose(received):
        resumes = "last-event-id" in received.headers
        return fault if resumes else ServerFault.CUT_STREAM

    return choose


@pytest.mark.parametrize("unframed", [False, True])
@pytest.mark.parametrize(
    "fault",
    [
        ServerFault.NONE,
        ServerFault.RESTARTED_STREAM,
        ServerFault.EMPTY_STREAM,
        ServerFault.FOREIGN_STREAM,
        ServerFault.ERROR,
        ServerFault.BUSY,
        ServerFault.REJECTED,
        ServerFault.UNSIGNED,
        ServerFault.WRONG_ATTEMPT_ID,
        ServerFault.CUT_STREAM,
    ],
)
async def test_resumed_stream_has_each_event_once_and_ends_as_complete_only_when_it_is(
    fault, unframed
):
    async with fleet(engines=2) as (system, _):
        caller = ReadingCaller(system)
        for name in ("engine-0", "engine-1"):
            system.servers[name].event_count = EVENTS
            system.servers[name].unframed = unframed
            system.servers[name].fault_under = resumed_with(fault)
        async with asyncio.timeout(5.0):
            received, complete = await caller.read_stream("/ask/one")
        ids = events(received)
        assert ids == list(range(len(ids)))
        assert complete == (len(ids) == EVENTS)
        if fault in (ServerFault.NONE, ServerFault.RESTARTED_STREAM):
            assert complete


class RepeatingServer:
    """Refuse a request, and write the same refusal again on the kept connection."""

    REFUSAL = (
        b"HTTP/1.1 503 Service Unavailable\r\n"
        b"X-Amaranthferry-Attempt-Id: %b\r\n"
        b"X-Amaranthferry-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    ANSWER = (
        b"HTTP/1.1 200 OK\r\n"
        b"X-Amaranthferry-Attempt-Id: %b\r\n"
        b"X-Amaranthferry-Server-Signature: signed\r\n"
        b"Content-Length: 4\r\n\r\ndone"
    )

    def __init__(self, delay, *, names_attempt):
        self.delay = delay
        self.names_attempt = names_attempt
        self.refused, self.executed = [], []

    async def serve(self, reader, writer):
        refusal = None
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.lower().split(b"\r\n")
                fields = dict(line.partition(b": ")[::2] for line in lines[1:] if line)
                await reader.readexactly(int(fields.get(b"content-length", b"0")))
                attempt = fields[b"x-amaranthferry-attempt-id"]
                if refusal is not None:
                    writer.write(refusal)
                if len(self.refused) <= len(self.executed):
                    self.refused.append(attempt)
                    refusal = self.REFUSAL % (attempt if self.names_attempt else b"")
                    writer.write(refusal)
                    await asyncio.sleep(self.delay)
                    writer.write(refusal)
                else:
                    self.executed.append(attempt)
                    writer.write(self.ANSWER % attempt)
                await writer.drain()
        writer.close()


@pytest.mark.parametrize("names_attempt", [True, False])
@pytest.mark.parametrize("delay", [0.0, 0.015])
async def test_refusal_written_again_is_no_answer_to_a_later_request(
    delay, names_attempt
):
    async with fleet(ledgers=0) as (system, caller):
        server = RepeatingServer(delay, names_attempt=names_attempt)
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        await system.store.put(
            "servers", "odd", entry("ledger", f"127.0.0.1:{port}", slots=4)
        )
        await asyncio.sleep(0.5)
        statuses = {}
        for _ in range(40):
            attempt, status, *_ = await caller.send("POST", "/pay/x", data=b"1")
            statuses[attempt.encode()] = status
        listener.close()
        assert server.executed
        assert len(set(server.executed)) == len(server.executed)
        assert all(statuses[attempt] == 200 for attempt in server.executed)
        told_not_run = {a for a, status in statuses.items() if status == 503}
        assert told_not_run.isdisjoint(server.executed)
