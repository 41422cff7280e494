import asyncio
import time

import pytest

from amaranthferry import messages
from amaranthferry.config import HostConfig
from amaranthferry.frames import MAX_FRAME_BYTES, pack_frame
from amaranthferry.links import PeerLimits, PeerTiming, SendResult
from amaranthferry.peers import PeerNetwork
from amaranthferry.types import HostId, RequestId, ShardId, ZoneId

TIMING = PeerTiming(answer_delay=0.1, answer_timeout=0.6, handshake_timeout=1.0)
WITHDRAW = messages.PermitWithdraw(RequestId("r1"), ShardId("p/0"))


class Peer:
    def __init__(self, name, *, key="secret", **options):
        cfg = HostConfig(
            host=HostId(name),
            zone=ZoneId("larisa"),
            http_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            platform_url="",
            peer_key=key,
        )
        self.host = cfg.host
        self.received = asyncio.Queue()
        options.setdefault("timing", TIMING)
        self.lost = asyncio.Queue()
        self.network = PeerNetwork(
            cfg,
            on_message=self._on_message,
            on_lost=self.lost.put_nowait,
            **options,
        )

    def _on_message(self, host, message):
        self.received.put_nowait((host, message))

    async def next(self):
        return await asyncio.wait_for(self.received.get(), 10)


@pytest.fixture
async def make_peer():
    peers = []

    async def make(name, **options):
        peer = Peer(name, **options)
        await peer.network.start()
        peers.append(peer)
        return peer

    yield make
    for peer in peers:
        await peer.network.stop()


async def test_message_reaches_its_host_and_the_answer_uses_the_same_connection(
    make_peer,
):
    first, second = await make_peer("h1"), await make_peer("h2")
    first.network.set_addresses({second.host: second.network.address})
    assert first.network.send(second.host, WITHDRAW)
    assert await second.next() == (first.host, WITHDRAW)
    assert second.network.send(first.host, WITHDRAW)
    assert await first.next() == (second.host, WITHDRAW)
    assert first.network.connection_count == second.network.connection_count == 1


async def test_send_to_own_host_loops_back_later(make_peer):
    peer = await make_peer("h1")
    assert peer.network.send(peer.host, WITHDRAW)
    assert peer.received.empty()
    assert await peer.next() == (peer.host, WITHDRAW)


async def test_message_to_an_unknown_host_is_dropped_with_its_reason(make_peer):
    peer = await make_peer("h1")
    assert peer.network.offer(HostId("h9"), WITHDRAW) is SendResult.UNKNOWN_HOST
    assert not peer.network.send(HostId("h9"), WITHDRAW)
    assert peer.network.dropped == 2


async def wait_until(condition):
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise TimeoutError


def registration(size):
    return messages.Registration(ShardId("x" * size), (), ())


class Relay:
    """Proxy TCP; discard the first connection's bytes while `silent` is set."""

    def __init__(self, target):
        self.ip, port = target.rsplit(":", 1)
        self.port = int(port)
        self.silent = False
        self.accepted = 0
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self.server.sockets[0].getsockname()
        return f"{ip}:{port}"

    async def stop(self):
        for writer in self.writers:
            writer.close()
        self.server.close()

    async def _serve(self, reader, writer):
        self.accepted += 1
        first = self.accepted == 1
        other_reader, other_writer = await asyncio.open_connection(self.ip, self.port)
        self.writers += [writer, other_writer]
        await asyncio.gather(
            self._copy(reader, other_writer, first),
            self._copy(other_reader, writer, first),
        )

    async def _copy(self, reader, writer, first):
        while data := await reader.read(65_536):
            if not (first and self.silent):
                writer.write(data)
        writer.close()


async def test_silent_connection_is_replaced(make_peer):
    first, second = await make_peer("h1"), await make_peer("h2")
    relay = Relay(second.network.address)
    first.network.set_addresses({second.host: await relay.start()})
    first.network.send(second.host, WITHDRAW)
    await second.next()
    relay.silent = True
    async with asyncio.timeout(20):
        while relay.accepted < 2:
            first.network.send(second.host, WITHDRAW)
            await asyncio.sleep(0.05)
    assert await second.next() == (first.host, WITHDRAW)
    await relay.stop()


async def test_silence_is_detected_without_further_messages(make_peer):
    timing = PeerTiming(answer_delay=0.05, heartbeat_interval=0.2, answer_timeout=0.6)
    first, second = await make_peer("h1", timing=timing), await make_peer("h2")
    relay = Relay(second.network.address)
    first.network.set_addresses({second.host: await relay.start()})
    first.network.send(second.host, WITHDRAW)
    await second.next()
    relay.silent = True
    await wait_until(lambda: first.network.connection_count == 0)
    await relay.stop()


async def test_quiet_connection_stays_open_when_heartbeats_are_answered(make_peer):
    timing = PeerTiming(answer_delay=0.05, heartbeat_interval=0.1, answer_timeout=0.6)
    first, second = [await make_peer(n, timing=timing) for n in ("h1", "h2")]
    relay = Relay(second.network.address)
    first.network.set_addresses({second.host: await relay.start()})
    first.network.send(second.host, WITHDRAW)
    await second.next()
    await asyncio.sleep(1.5)
    assert (relay.accepted, first.network.connection_count) == (1, 1)
    await relay.stop()


async def test_pause_of_this_host_does_not_time_out_its_connections(make_peer):
    first, second = await make_peer("h1"), await make_peer("h2")
    first.network.set_addresses({second.host: second.network.address})
    first.network.send(second.host, WITHDRAW)
    await second.next()
    conn = first.network._links[second.host].outbound
    first.network.send(second.host, WITHDRAW)
    await asyncio.sleep(0)
    time.sleep(2 * TIMING.answer_timeout)  # noqa: ASYNC251
    await asyncio.sleep(2 * TIMING.answer_delay)
    assert first.network._links[second.host].outbound is conn
    assert conn.error is None


async def test_acceptor_replaces_a_silent_connection(make_peer):
    first, second = await make_peer("h1"), await make_peer("h2")
    relay = Relay(second.network.address)
    first.network.set_addresses({second.host: await relay.start()})
    second.network.set_addresses({first.host: first.network.address})
    first.network.send(second.host, WITHDRAW)
    await second.next()
    relay.silent = True
    async with asyncio.timeout(20):
        while first.received.empty():
            second.network.send(first.host, WITHDRAW)
            await asyncio.sleep(0.05)
    await relay.stop()


async def test_wrong_key_delivers_nothing_and_reports_the_host_as_lost(make_peer):
    first, second = await make_peer("h1"), await make_peer("h2", key="other")
    first.network.set_addresses({second.host: second.network.address})
    first.network.send(second.host, WITHDRAW)
    assert await asyncio.wait_for(first.lost.get(), 10) == second.host
    assert second.received.empty()
    assert first.network.dropped == 1


async def test_restarted_peer_is_reached_again(make_peer):
    first, second = await make_peer("h1"), await make_peer("h2")
    first.network.set_addresses({second.host: second.network.address})
    first.network.send(second.host, WITHDRAW)
    await second.next()
    await second.network.stop()
    again = await make_peer("h2")
    first.network.set_addresses({second.host: again.network.address})
    first.network.send(second.host, WITHDRAW)
    assert await again.next() == (first.host, WITHDRAW)


async def test_host_at_a_reused_address_gets_no_messages_for_another_host(make_peer):
    first, third = await make_peer("h1"), await make_peer("h3")
    first.network.set_addresses({HostId("h2"): third.network.address})
    first.network.send(HostId("h2"), WITHDRAW)
    assert await asyncio.wait_for(first.lost.get(), 10) == "h2"
    assert third.received.empty()


async def test_message_over_the_queue_limit_is_dropped_with_its_reason(make_peer):
    first = await make_peer("h1", limits=PeerLimits(queue_bytes=250))
    first.network.set_addresses({HostId("h2"): "127.0.0.1:1"})
    offers = [first.network.offer(HostId("h2"), registration(90)) for _ in range(3)]
    assert offers == [SendResult.QUEUED, SendResult.QUEUED, SendResult.QUEUE_FULL]


async def test_message_over_the_frame_limit_is_dropped_with_its_reason(make_peer):
    first = await make_peer("h1")
    first.network.set_addresses({HostId("h2"): "127.0.0.1:1"})
    offer = first.network.offer(HostId("h2"), registration(MAX_FRAME_BYTES))
    assert offer is SendResult.NOT_SENDABLE


async def test_unused_connection_is_closed_and_opened_again_on_demand(make_peer):
    timing = PeerTiming(answer_delay=0.05, answer_timeout=1.0, idle_timeout=0.1)
    first, second = await make_peer("h1", timing=timing), await make_peer("h2")
    first.network.set_addresses({second.host: second.network.address})
    for _ in range(2):
        first.network.send(second.host, WITHDRAW)
        await second.next()
        await wait_until(lambda: first.network.connection_count == 0)


async def test_connections_over_the_limit_are_refused(make_peer):
    first = await make_peer("h1", limits=PeerLimits(connections=1))
    ip, port = first.network.address.split(":")
    _, held = await asyncio.open_connection(ip, port)
    reader, writer = await asyncio.open_connection(ip, port)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await asyncio.wait_for(reader.readexactly(1), 10)
    held.close()
    writer.close()


async def test_message_of_an_unknown_kind_keeps_the_connection(make_peer):
    first, second = await make_peer("h1"), await make_peer("h2")
    first.network.set_addresses({second.host: second.network.address})
    first.network.send(second.host, WITHDRAW)
    await second.next()
    link = first.network._links[second.host]
    link.outbound.write(pack_frame(b"\x91\xa3new"))
    first.network.send(second.host, WITHDRAW)
    assert await second.next() == (first.host, WITHDRAW)
    assert second.network.unreadable == 1
    assert second.network.connection_count == 1
