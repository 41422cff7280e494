"""Split pools into shards and choose each shard's coordinator."""

from collections.abc import Collection, Iterable, Mapping
from types import MappingProxyType

import xxhash

from .config import BackendServer, Deployment
from .types import HostId, PoolId, ShardId

#: Least capacity of a capable host, as a fraction of the greatest one.
CAPABLE_FRACTION = 0.5


def shards_of(deployment: Deployment, pool: PoolId) -> tuple[ShardId, ...]:
    """Return the ids of a pool's shards."""
    if pool not in deployment.pools:
        return (ShardId(f"{pool}/0"),)
    members = _pool_servers(deployment, pool)
    size = max(1, deployment.pools[pool].servers_per_shard)
    count = max(1, -(-len(members) // size))
    return tuple(ShardId(f"{pool}/{index}") for index in range(count))


def pool_of(shard: ShardId) -> PoolId:
    """Return the pool that a shard belongs to."""
    return PoolId(shard.rpartition("/")[0])


def servers_of(deployment: Deployment, shard: ShardId) -> tuple[BackendServer, ...]:
    """Return the backend servers of one shard, ordered by kind and name.

    Servers are assigned round-robin, so a change of the pool moves few of them
    between shards of equal size, and different kinds spread over all shards.
    """
    pool = pool_of(shard)
    if pool not in deployment.pools:
        return ()
    count = len(shards_of(deployment, pool))
    index = int(shard.rpartition("/")[2])
    return _pool_servers(deployment, pool)[index::count]


def choose_coordinator(
    shard: ShardId, hosts: Iterable[HostId], capable: Collection[HostId] = ()
) -> HostId:
    """Return the host that coordinates a shard, by rendezvous hashing.

    Capable hosts go before all others.
    """
    return max(hosts, key=lambda host: _rank(shard, host, capable))


def choose_successor(
    shard: ShardId,
    hosts: Iterable[HostId],
    capacities: Mapping[HostId, float] = MappingProxyType({}),
) -> HostId | None:
    """Return the host that would coordinate a shard if its coordinator were lost."""
    candidates = tuple(hosts)
    capable = capable_hosts(candidates, capacities)
    coordinator = choose_coordinator(shard, candidates, capable)
    others = tuple(host for host in candidates if host != coordinator)
    if not others:
        return None
    return choose_coordinator(shard, others, capable_hosts(others, capacities))


def outranks(
    shard: ShardId, host: HostId, other: HostId, capable: Collection[HostId] = ()
) -> bool:
    """Return whether a host ranks above another one for a shard."""
    return _rank(shard, host, capable) > _rank(shard, other, capable)


def capable_hosts(
    hosts: Iterable[HostId], capacities: Mapping[HostId, float]
) -> frozenset[HostId]:
    """Return the hosts whose capacity comes near the greatest one that is known.

    A coordinator decides for a whole shard, which small hosts can't always carry.
    """
    known = {host: capacities.get(host, 0.0) for host in hosts}
    least = CAPABLE_FRACTION * max(known.values(), default=0.0)
    return frozenset(host for host, value in known.items() if value >= least)


def _rank(
    shard: ShardId, host: HostId, capable: Collection[HostId]
) -> tuple[bool, int, HostId]:
    score = xxhash.xxh64_intdigest(f"{shard}\0{host}".encode())
    return host in capable, score, host


def _pool_servers(deployment: Deployment, pool: PoolId) -> tuple[BackendServer, ...]:
    members = (server for server in deployment.servers.values() if server.pool == pool)
    return tuple(sorted(members, key=lambda server: (server.kind, server.name)))
