import pytest

from amaranthferry.shards import (
    capable_hosts,
    choose_coordinator,
    choose_successor,
    outranks,
    servers_of,
    shards_of,
)
from tests.reducer_fleet import ENGINES, instance
from tests.reducer_fleet import deployment as routed_deployment
from tests.scheduling import deployment, server

HOSTS = [f"h{index}" for index in range(19)]


@pytest.mark.parametrize(
    ("count", "size", "shards"), [(0, 4, 1), (4, 4, 1), (5, 4, 2), (910, 64, 15)]
)
def test_pool_is_split_into_bounded_shards(count, size, shards):
    servers = [server(f"e{index:03}") for index in range(count)]
    cfg = deployment(*servers, servers_per_shard=size)
    ids = shards_of(cfg, "models")
    shard_servers = [servers_of(cfg, shard) for shard in ids]
    assert len(ids) == shards
    assert all(len(members) <= size for members in shard_servers)
    assert sorted(s.name for members in shard_servers for s in members) == sorted(
        cfg.servers
    )


def test_losing_a_host_moves_only_its_shards():
    shards = [f"models/{index}" for index in range(200)]
    before = {shard: choose_coordinator(shard, HOSTS) for shard in shards}
    after = {shard: choose_coordinator(shard, HOSTS[1:]) for shard in shards}
    moved = {shard for shard in shards if before[shard] != after[shard]}
    assert moved == {shard for shard in shards if before[shard] == HOSTS[0]}
    assert moved


def test_small_hosts_get_the_coordinator_role_only_without_larger_ones():
    capacities = dict.fromkeys(HOSTS, 0.36) | {"h3": 2.15, "h7": 2.0}
    shards = [f"models/{index}" for index in range(50)]
    capable = capable_hosts(HOSTS, capacities)
    for shard in shards:
        roles = {
            choose_coordinator(shard, HOSTS, capable),
            choose_successor(shard, HOSTS, capacities),
        }
        assert roles == {"h3", "h7"}
    rest = [host for host in HOSTS if host not in ("h3", "h7")]
    left = capable_hosts(rest, capacities)
    assert len({choose_coordinator(shard, rest, left) for shard in shards}) > 10


@pytest.mark.parametrize(
    "capacities",
    [
        dict.fromkeys(HOSTS, 0.36) | {"h3": 9.0, "h7": 2.0, "h8": 2.1},
        dict.fromkeys(HOSTS, 0.36) | {"h3": 11.0, "h7": 5.0, "h8": 3.0},
    ],
)
def test_successor_of_one_large_host_is_the_host_that_takes_its_role(capacities):
    rest = [host for host in HOSTS if host != "h3"]
    left = capable_hosts(rest, capacities)
    for shard in (f"models/{index}" for index in range(50)):
        successor = choose_successor(shard, HOSTS, capacities)
        assert successor in ("h7", "h8")
        assert successor == choose_coordinator(shard, rest, left)


def test_hosts_of_unknown_capacity_are_equal():
    assert capable_hosts(HOSTS, {}) == set(HOSTS)


def test_a_small_host_never_outranks_a_capable_one():
    others = HOSTS[1:]
    assert not any(outranks("models/0", host, "h0", {"h0"}) for host in others)


def test_release_that_doubles_a_service_does_not_move_requests_between_shards():
    servers = [instance(f"e{index:03}") for index in range(60)]
    started = [instance(f"n{index:03}") for index in range(60)]
    before = routed_deployment(servers)
    assert shards_of(before, ENGINES) == shards_of(
        routed_deployment(servers + started), ENGINES
    )
