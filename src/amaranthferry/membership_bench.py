"""Simulate the membership of many hosts in virtual time and count its traffic."""

import heapq
import random
from collections.abc import Callable

import msgspec

from .gossip import AnyPacket, Member, datagram_size
from .swim import (
    TICK_SECONDS,
    Membership,
    MembershipEvent,
    MembershipTicked,
    PacketReceived,
    ReportMembers,
    SendPacket,
)
from .types import HostId, Seconds, ZoneId

#: IPv4 and UDP headers.
HEADER_BYTES = 28
DELAY_SECONDS = 0.0005
SEED_HOSTS = 3
ZONES = 7

Blocked = Callable[["VirtualHost", "VirtualHost"], bool]


class VirtualHost:
    """Run one host's membership and count what it sends."""

    def __init__(self, index: int, zone: ZoneId, *, incarnation: int = 1) -> None:
        self.index = index
        self.address = f"10.0.{index // 250}.{index % 250 + 1}:7000"
        host = HostId(f"entry-{index:04d}")
        self.zone = zone
        own = Member(host, self.address, zone, incarnation)
        seeds = tuple(f"10.0.0.{n + 1}:7000" for n in range(SEED_HOSTS))
        self.membership = Membership(own, seeds)
        self.running = True
        self.messages = 0
        self.bytes = 0
        self.max_datagram = 0

    @property
    def host(self) -> HostId:
        """Return the host's id."""
        return self.membership.roster.own.host

    def lists_as_live(self, other: "VirtualHost") -> bool:
        """Return whether this host lists another as live."""
        return other.host in {m.host for m in self.membership.roster.live()}


class Traffic(msgspec.Struct, frozen=True):
    """Represent the traffic that one host sends per second, headers included."""

    messages_per_second: float
    bytes_per_second: float
    max_bytes_per_second: float


class Fleet:
    """Simulate hosts with a shared virtual clock and packets in transit."""

    def __init__(self, size: int, *, seed: int, loss: float = 0.0) -> None:
        self.now: Seconds = 0.0
        self.loss = loss
        self.blocked: Blocked = lambda source, target: False
        self.reports = 0
        self._random = random.Random(seed)
        self._sequence = 0
        self._queue: list[tuple[Seconds, int, VirtualHost, MembershipEvent | None]] = []
        self.hosts: list[VirtualHost] = []
        self._by_address: dict[str, VirtualHost] = {}
        for index in range(size):
            self.add(index)

    @property
    def running(self) -> list[VirtualHost]:
        """Return the running hosts."""
        return [host for host in self.hosts if host.running]

    def add(self, index: int, *, incarnation: int = 1) -> VirtualHost:
        """Start a host, replacing any earlier one at its address."""
        zone = ZoneId(f"zone-{index % ZONES}")
        host = VirtualHost(index, zone, incarnation=incarnation)
        previous = self._by_address.get(host.address)
        if previous is not None:
            previous.running = False
            self.hosts.remove(previous)
        self.hosts.append(host)
        self._by_address[host.address] = host
        self._schedule(self.now + self._random.random() * TICK_SECONDS, host, None)
        return host

    def run(self, seconds: Seconds) -> None:
        """Advance virtual time and process the events that are due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, host, event = heapq.heappop(self._queue)
            self._step(host, event)
        self.now = end

    @property
    def deaths(self) -> int:
        """Return how often hosts have declared another host dead."""
        return sum(host.membership.roster.deaths for host in self.hosts)

    def run_until(self, done: Callable[[], bool], *, limit: Seconds) -> Seconds:
        """Run until a condition holds or the limit is reached; return the time taken."""
        start = self.now
        while not done() and self.now - start < limit:
            self.run(TICK_SECONDS)
        return self.now - start

    def has_converged(self) -> bool:
        """Return whether each running host lists exactly the running hosts as live."""
        expected = sorted(host.host for host in self.running)
        return all(
            [m.host for m in host.membership.roster.live()] == expected
            for host in self.running
        )

    def measure(self, seconds: Seconds) -> Traffic:
        """Run and return the traffic that the hosts sent meanwhile."""
        before = {host.host: (host.messages, host.bytes) for host in self.running}
        self.run(seconds)
        hosts = [host for host in self.running if host.host in before]
        sent = [host.bytes - before[host.host][1] for host in hosts]
        messages = sum(host.messages - before[host.host][0] for host in hosts)
        return Traffic(
            messages / seconds / len(hosts),
            sum(sent) / seconds / len(hosts),
            max(sent) / seconds,
        )

    def apply(self, host: VirtualHost, event: MembershipEvent) -> None:
        """Apply an event to a host and execute its effects."""
        for effect in host.membership.reduce(event):
            if isinstance(effect, SendPacket):
                self._send(host, effect.address, effect.packet)
            elif isinstance(effect, ReportMembers):
                self.reports += 1

    def _step(self, host: VirtualHost, event: MembershipEvent | None) -> None:
        if event is None:
            if host in self.hosts:
                self._schedule(self.now + TICK_SECONDS, host, None)
            event = MembershipTicked(now=self.now, seed=self._random.getrandbits(64))
        if host.running:
            self.apply(host, event)

    def _send(self, source: VirtualHost, address: str, packet: AnyPacket) -> None:
        size = datagram_size(packet)
        source.messages += 1
        source.bytes += size + HEADER_BYTES
        source.max_datagram = max(source.max_datagram, size)
        target = self._by_address.get(address)
        lost = self._random.random() < self.loss
        if target is None or lost or self.blocked(source, target):
            return
        arrival = self.now + DELAY_SECONDS
        received = PacketReceived(now=arrival, packet=packet, address=source.address)
        self._schedule(arrival, target, received)

    def _schedule(
        self, at: Seconds, host: VirtualHost, event: MembershipEvent | None
    ) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (at, self._sequence, host, event))
