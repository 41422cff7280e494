"""Measure what membership and peer connections cost an entry host."""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable

from .config import HostConfig
from .gossip import (
    Ack,
    Member,
    MemberUpdate,
    Ping,
    Status,
    decode_packet,
    encode_packet,
)
from .links import PeerTiming
from .membership_bench import Fleet
from .messages import Message, PermitWithdraw
from .peers import PeerNetwork
from .slopes import MICROSECONDS_PER_SECOND, Series, cpu_microseconds, state_bytes
from .swim import TICK_SECONDS, Membership, MembershipTicked, PacketReceived, SendPacket
from .types import HostId, RequestId, Seconds, ShardId, ZoneId

FLEET_SIZES = (16, 32, 64, 128, 256)
TABLE_SIZES = (64, 128, 256, 512, 1_024)
CONNECTION_COUNTS = (8, 16, 32, 64)
IDLE_SECONDS = 3.0
MESSAGE = PermitWithdraw(RequestId("r" * 32), ShardId("pool/0"))
MESSAGE_COUNTS = (2_000, 4_000, 8_000, 16_000)
KEY = b"bench"
_MEMBERSHIP_ROLE = "every host: membership"
_PEERS_ROLE = "every host: peer connections"


def measure_membership(seed: int) -> list[Series]:
    """Measure traffic in virtual time, state and processor time by number of hosts."""
    traffic = []
    for size in FLEET_SIZES:
        fleet = Fleet(size, seed=seed)
        fleet.run_until(fleet.has_converged, limit=120)
        fleet.run(20)
        traffic.append(fleet.measure(20))
    state = [_state(size) for size in TABLE_SIZES]
    idle_costs = [_membership_idle_cost(size) for size in TABLE_SIZES]

    def series(
        quantity: str, unit: str, sizes: tuple[int, ...], values: list[float]
    ) -> Series:
        return Series(_MEMBERSHIP_ROLE, quantity, unit, "host", sizes, tuple(values))

    return [
        series(
            "messages sent, idle",
            "a second",
            FLEET_SIZES,
            [t.messages_per_second for t in traffic],
        ),
        series(
            "bytes sent, idle",
            "a second",
            FLEET_SIZES,
            [t.bytes_per_second for t in traffic],
        ),
        series("state", "bytes", TABLE_SIZES, state),
        series("processor time, idle", "us a second", TABLE_SIZES, idle_costs),
    ]


async def measure_peers() -> list[Series]:
    """Measure messages and idle connections over the loopback interface."""
    costs = [await _message_cost(count) for count in MESSAGE_COUNTS]
    idle = []
    for count in CONNECTION_COUNTS:
        unconnected = await _connection_idle_cost(count, connected=False)
        idle.append(await _connection_idle_cost(count, connected=True) - unconnected)
    return [
        Series(
            _PEERS_ROLE,
            "processor time of messages, both ends",
            "us",
            "message",
            MESSAGE_COUNTS,
            tuple(costs),
        ),
        Series(
            _PEERS_ROLE,
            "state, both ends",
            "bytes",
            "connection",
            CONNECTION_COUNTS,
            tuple([await _connection_state(count) for count in CONNECTION_COUNTS]),
        ),
        Series(
            _PEERS_ROLE,
            "processor time of heartbeats, one a second, both ends",
            "us a second",
            "connection",
            CONNECTION_COUNTS,
            tuple(idle),
        ),
    ]


def _member(index: int) -> Member:
    address = f"10.0.{index // 250}.{index % 250 + 1}:7000"
    zone = ZoneId(f"zone-{index % 7}")
    return Member(HostId(f"entry-{index:04d}"), address, zone, 1_700_000_000_000)


def _membership(size: int) -> Membership:
    membership = Membership(_member(0), ())
    for index in range(1, size):
        membership.roster.merge(MemberUpdate(Status.ALIVE, _member(index)), 0.0)
    membership.reduce(MembershipTicked(now=0.0, seed=0))
    while membership.roster.has_updates:
        membership.roster.reset_update_budget()
        membership.roster.next_updates()
    return membership


def _state(size: int) -> float:
    return state_bytes(lambda: _membership(size))[0]


def _membership_idle_cost(size: int) -> float:
    """Return the microseconds spent in one idle second: probes, acks and ticks."""
    membership = _membership(size)
    members_by_address = {m.address: m for m in membership.roster.others()}
    ping = encode_packet(Ping(_member(1), (), 1), KEY)
    seconds = 50
    ticks = iter(range(1, 1_000_000))

    def receive(datagram: bytes, address: str, now: Seconds) -> None:
        event = PacketReceived(
            now=now, packet=decode_packet(datagram, KEY), address=address
        )
        for effect in membership.reduce(event):
            assert isinstance(effect, SendPacket)
            encode_packet(effect.packet, KEY)

    def tick() -> None:
        count = next(ticks)
        now = count * TICK_SECONDS
        for effect in membership.reduce(MembershipTicked(now=now, seed=count)):
            assert isinstance(effect, SendPacket)
            encode_packet(effect.packet, KEY)
            if isinstance(effect.packet, Ping):
                target = members_by_address[effect.address]
                ack = Ack(target, (), effect.packet.sequence, target.host)
                receive(encode_packet(ack, KEY), effect.address, now)
                receive(ping, "10.0.0.2:7000", now)

    def run() -> None:
        for _ in range(int(seconds / TICK_SECONDS)):
            tick()

    return cpu_microseconds(run, calls=seconds)


def _config(name: str) -> HostConfig:
    return HostConfig(
        host=HostId(name),
        zone=ZoneId("zone-0"),
        http_address="",
        peer_address="127.0.0.1:0",
        platform_url="",
        peer_key="bench",
    )


def _network(name: str, on_message: Callable[[HostId, Message], None]) -> PeerNetwork:
    timing = PeerTiming(heartbeat_interval=1.0)
    return PeerNetwork(_config(name), on_message=on_message, timing=timing)


async def _message_cost(count: int) -> float:
    all_received = asyncio.Event()
    received_count = 0

    def on_message(host: HostId, message: Message) -> None:
        nonlocal received_count
        received_count += 1
        if received_count >= count:
            all_received.set()

    sender = _network("one", lambda host, message: None)
    receiver = _network("two", on_message)
    await sender.start()
    await receiver.start()
    sender.set_addresses({HostId("two"): receiver.address})
    start = time.process_time()
    for index in range(count):
        sender.send(HostId("two"), MESSAGE)
        # Messages of one event loop turn share a write, and small batches cost most,
        # so the loop runs after every second message.
        if index % 2:
            await asyncio.sleep(0)
    await all_received.wait()
    used = (time.process_time() - start) * MICROSECONDS_PER_SECOND
    await sender.stop()
    await receiver.stop()
    return used


async def _connection_state(count: int) -> float:
    gc.collect()
    tracemalloc.start()
    hub, spokes = await _start_star(count)
    before = tracemalloc.get_traced_memory()[0]
    for spoke in spokes:
        spoke.send(HostId("hub"), MESSAGE)
    await asyncio.sleep(0.5)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    await _stop(hub, spokes)
    return used


async def _start_star(count: int) -> tuple[PeerNetwork, list[PeerNetwork]]:
    hub = _network("hub", lambda host, message: None)
    await hub.start()
    spokes = [
        _network(f"spoke-{index}", lambda host, message: None) for index in range(count)
    ]
    for spoke in spokes:
        await spoke.start()
        spoke.set_addresses({HostId("hub"): hub.address})
    return hub, spokes


async def _stop(hub: PeerNetwork, spokes: list[PeerNetwork]) -> None:
    for spoke in spokes:
        await spoke.stop()
    await hub.stop()


async def _connection_idle_cost(count: int, *, connected: bool) -> float:
    hub, spokes = await _start_star(count)
    for spoke in spokes:
        if connected:
            spoke.send(HostId("hub"), MESSAGE)
    await asyncio.sleep(1.0)
    start = time.process_time()
    await asyncio.sleep(IDLE_SECONDS)
    used = (time.process_time() - start) * MICROSECONDS_PER_SECOND / IDLE_SECONDS
    await _stop(hub, spokes)
    return used
