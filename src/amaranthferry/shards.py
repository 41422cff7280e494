"""Split pools into shards and choose each shard's coordinator."""

from collections.abc import Iterable

import xxhash

from .config import BackendServer, Deployment
from .types import HostId, PoolId, ShardId


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


def choose_coordinator(shard: ShardId, hosts: Iterable[HostId]) -> HostId:
    """Return the host that coordinates a shard, by rendezvous hashing."""
    return max(hosts, key=lambda host: (_score(shard, host), host))


def choose_successor(shard: ShardId, hosts: Iterable[HostId]) -> HostId | None:
    """Return the host that would coordinate a shard if its coordinator were lost."""
    candidates = tuple(hosts)
    coordinator = choose_coordinator(shard, candidates)
    others = tuple(host for host in candidates if host != coordinator)
    return choose_coordinator(shard, others) if others else None


def outranks(shard: ShardId, host: HostId, other: HostId) -> bool:
    """Return whether a host ranks above another one for a shard."""
    return (_score(shard, host), host) > (_score(shard, other), other)


def _score(shard: ShardId, host: HostId) -> int:
    return xxhash.xxh64_intdigest(f"{shard}\0{host}".encode())


def _pool_servers(deployment: Deployment, pool: PoolId) -> tuple[BackendServer, ...]:
    members = (server for server in deployment.servers.values() if server.pool == pool)
    return tuple(sorted(members, key=lambda server: (server.kind, server.name)))
