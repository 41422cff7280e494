"""Divide servers' slots among the hosts while some of them decide without the role.

This is for the time in which hosts don't reach a shard's coordinator: any number of them
may decide for themselves or have another host decide, and each sees free slots at the
same servers. Each slot therefore belongs to one host, and whoever decides without the
role uses only the slots of the hosts that rely on it.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

import xxhash

from .config import BackendServer
from .types import HostId, Seconds, ServerId, ShardId

#: Time without a permit request after which a host no longer relies on a decider.
RELIANCE_TIME: Seconds = 3.0
#: Time for which a slot belongs to a host if there are fewer slots than hosts.
TURN_TIME: Seconds = 1.0


class SlotShares:
    """Track which hosts rely on a decider without the role, and the slots of these."""

    def __init__(self, shard: ShardId, hosts: Collection[HostId]) -> None:
        self._shard = shard
        self._hosts = frozenset(hosts)
        self._relied_at: dict[HostId, Seconds] = {}
        self._turn = 0
        self._servers: tuple[BackendServer, ...] = ()
        # All hosts may come to rely on the decider in a moment, so both are kept.
        self._slots: list[ServerId] = []
        self._positions: dict[HostId, int] = {}

    @property
    def hosts(self) -> Collection[HostId]:
        """Return the hosts that rely on the decider."""
        return self._relied_at.keys()

    @property
    def fraction(self) -> float:
        """Return the fraction of the hosts that rely on the decider."""
        return len(self._relied_at) / max(1, len(self._hosts | self._relied_at.keys()))

    def replace_hosts(self, hosts: Collection[HostId]) -> None:
        """Replace the hosts that the slots are divided among."""
        self._hosts = frozenset(hosts)

    def record_reliance(self, host: HostId, now: Seconds) -> bool:
        """Record that a host relies on the decider; return whether it is a new one."""
        new = host not in self._relied_at
        self._relied_at[host] = now
        return new

    def expire(self, now: Seconds) -> bool:
        """Forget hosts that no longer rely on it; return whether the slots changed."""
        turn, self._turn = self._turn, int(now / TURN_TIME)
        expired = [
            host for host, at in self._relied_at.items() if now - at > RELIANCE_TIME
        ]
        for host in expired:
            del self._relied_at[host]
        return bool(expired) or turn != self._turn

    def limits(self, servers: tuple[BackendServer, ...]) -> Counter[ServerId]:
        """Return how many slots of each server belong to the relying hosts."""
        if servers != self._servers:
            self._servers = servers
            self._slots = _slots_in_order(self._shard, servers)
        owners = self._relied_at.keys()
        hosts = self._hosts | owners
        if self._positions.keys() != hosts:
            self._positions = _positions(self._shard, hosts)
        return _owned(self._slots, self._positions, owners, turn=self._turn)


def owned_slots(
    shard: ShardId,
    servers: Collection[BackendServer],
    hosts: Collection[HostId],
    owners: Collection[HostId],
    *,
    turn: int = 0,
) -> Counter[ServerId]:
    """Return how many slots of each server belong to some of the hosts.

    Every slot belongs to one host, and each host gets as many as any other, give or
    take one. If there are fewer slots than hosts, they take turns.
    """
    slots = _slots_in_order(shard, servers)
    return _owned(slots, _positions(shard, hosts), owners, turn=turn)


def _owned(
    slots: list[ServerId],
    positions: Mapping[HostId, int],
    owners: Collection[HostId],
    *,
    turn: int,
) -> Counter[ServerId]:
    count = len(positions)
    owned = {positions[host] for host in owners}
    first = turn * len(slots) if len(slots) < count else 0
    return Counter(
        server for number, server in enumerate(slots, first) if number % count in owned
    )


def _positions(shard: ShardId, hosts: Collection[HostId]) -> dict[HostId, int]:
    order = sorted(hosts, key=lambda host: _position(shard, host))
    return {host: number for number, host in enumerate(order)}


def _slots_in_order(shard: ShardId, servers: Iterable[BackendServer]) -> list[ServerId]:
    """Return one entry per slot, such that neighbors are at different servers."""
    ordered = sorted(servers, key=lambda server: _position(shard, server.name))
    rounds = max((server.slots for server in ordered), default=0)
    # Each round begins with another server, so that no host gets all of one server.
    return [
        server.name
        for number in range(rounds)
        for server in ordered[number % len(ordered) :]
        + ordered[: number % len(ordered)]
        if number < server.slots
    ]


def _position(shard: ShardId, name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{shard}\0{name}".encode()), name
