"""Play drills in which the store comes back from an older copy, with real hosts."""

import asyncio
import contextlib

import pytest

from amaranthferry.embedded import free_address
from amaranthferry.replica.roster import RETURN_GRACE
from amaranthferry.replica.store_sync import choose_readers
from amaranthferry.standins.metadata import StoreFault

from .fleet import KEY, config, entry, fleet
from .test_application import until

NEW_KEY = "key-of-press"
#: Bound within which each host has to know what the restored store lists.
RETURN_BOUND = 2.0


async def drill(system, *, age, away=0.3):
    """Take the store away, bring it back from a copy, and have the servers write."""
    servers = system.store.objects("servers")
    system.store.fault = StoreFault.RESET
    await asyncio.sleep(away)
    await system.store.restore(age=age)
    system.store.fault = StoreFault.NONE
    for name, spec in servers.items():
        if system.store.objects("servers").get(name) != spec:
            await system.store.put("servers", name, spec)


async def accepted(caller, host, key):
    _, status, _, _ = await caller.send("GET", "/look/x", host=host, key=key)
    return status == 200


async def until_all(system, caller, expected):
    """Wait until each host admits exactly the expected keys."""

    async def matches():
        for host in range(len(system.hosts)):
            for key, admitted in expected.items():
                if await accepted(caller, host, key) != admitted:
                    return False
        return True

    async with asyncio.timeout(RETURN_BOUND):
        while not await matches():
            await asyncio.sleep(0.05)


async def lose_changes(system, *, count=20):
    """Raise the revisions beyond what the operator writes after the drill."""
    for number in range(count):
        await system.store.put("other", f"o-{number}", number)
    await asyncio.sleep(1.0)


@contextlib.asynccontextmanager
async def settled_fleet(hosts=3):
    async with fleet(hosts=hosts) as (system, caller):
        await until(lambda: all(len(h.state.hosts) == hosts for h in system.hosts))
        await asyncio.sleep(0.6)
        yield system, caller


async def test_changes_after_a_drill_are_applied():
    async with settled_fleet() as (system, caller):
        await lose_changes(system)
        await drill(system, age=1.4)
        await system.store.put("config", "main", config(2, keys=[NEW_KEY]))
        await until_all(system, caller, {KEY: False, NEW_KEY: True})


async def test_key_revoked_before_a_drill_stays_revoked():
    async with settled_fleet() as (system, caller):
        await system.store.put("config", "main", config(2, keys=[NEW_KEY]))
        await until_all(system, caller, {KEY: False, NEW_KEY: True})
        await drill(system, age=60)
        await asyncio.sleep(0.5)
        for host in range(3):
            assert not await accepted(caller, host, KEY)
        await system.store.put("config", "main", config(2, keys=[NEW_KEY]))
        await until_all(system, caller, {KEY: False, NEW_KEY: True})


async def test_several_drills_in_a_row():
    async with settled_fleet() as (system, caller):
        for _ in range(3):
            await lose_changes(system)
            await drill(system, age=1.2, away=0.1)
        keys = [NEW_KEY]
        await system.store.put("config", "main", config(5, keys=keys))
        await until_all(system, caller, {KEY: False, NEW_KEY: True})


async def test_server_at_the_address_of_a_gone_one_is_used():
    async with settled_fleet() as (system, caller):
        await lose_changes(system)
        await drill(system, age=1.4)
        for name in ("ledger-0", "ledger-1"):
            await system.store.remove("servers", name)
        address = system.addresses["ledger-0"]
        system.servers["ledger-0"].name = "ledger-9"
        await system.store.put("servers", "ledger-9", entry("ledger", address, born=9))
        await until_all(system, caller, {KEY: True})
        # A removed entry may still return for the grace time after each host has
        # applied the new era, which it has to do within the bound.
        await asyncio.sleep(RETURN_BOUND + RETURN_GRACE)
        for host in range(3):
            _, status, _, body = await caller.send("GET", "/look/x", host=host)
            assert (status, body) == (200, b"ledger-9")


async def test_what_the_hosts_wrote_is_written_again():
    async with settled_fleet() as (system, caller):
        written = system.store.objects("entryhosts")
        key = system.store.objects("peerkeys")
        assert len(written) == 3
        await drill(system, age=60)
        await until(
            lambda: (
                system.store.objects("entryhosts") == written
                and system.store.objects("peerkeys") == key
            ),
            seconds=RETURN_BOUND,
        )


async def test_host_that_starts_after_a_drill_joins_the_others():
    async with settled_fleet() as (system, caller):
        await drill(system, age=60)
        await system.store.put("config", "main", config(1))
        await system.add_host("host-3")
        await until(lambda: all(len(h.state.hosts) == 4 for h in system.hosts))


async def test_two_keys_of_one_fleet_become_one():
    async with settled_fleet() as (system, caller):
        await drill(system, age=60, away=0.0)
        await system.store.put("peerkeys", "main", {"key": "ab" * 32})
        await until(lambda: all(len(h.state.hosts) == 3 for h in system.hosts))
        await system.store.put("config", "main", config(1))
        await system.add_host("host-3")
        await until(lambda: all(len(h.state.hosts) == 4 for h in system.hosts))


@pytest.mark.parametrize("hosts", [3])
async def test_a_drill_costs_few_calls(hosts):
    async with settled_fleet(hosts) as (system, caller):
        await lose_changes(system)
        await drill(system, age=1.4)
        before = len(system.store.calls)
        await asyncio.sleep(RETURN_BOUND)
        calls = len(system.store.calls) - before
        # Each host lists two kinds and the hosts, checks the key and writes its entry;
        # two readers watch two kinds.
        assert calls < hosts * 8 + 4 * RETURN_BOUND / 0.4


async def test_host_that_starts_before_the_rewrite_distrusts_the_copy():
    async with settled_fleet() as (system, caller):
        await system.store.put("config", "main", config(2, keys=[NEW_KEY]))
        await until_all(system, caller, {KEY: False, NEW_KEY: True})
        await drill(system, age=60)
        await system.store.put("config", "main", config(1))
        await until(lambda: all(host.store_era == 2 for host in system.hosts))
        app = await system.add_host("host-3")
        await until(lambda: len(app.state.hosts) == 4)
        await asyncio.sleep(1.0)
        assert not await accepted(caller, 3, KEY)
        await system.store.put("config", "main", config(2, keys=[NEW_KEY]))
        await until_all(system, caller, {KEY: False, NEW_KEY: True})


async def test_drill_while_a_reader_dies():
    async with settled_fleet(4) as (system, caller):
        await lose_changes(system)
        reader = next(app for app in system.hosts if app.syncs["config"].is_reader)
        await reader.stop()
        system.urls.pop(system.hosts.index(reader))
        system.hosts.remove(reader)
        await drill(system, age=1.4, away=0.1)
        await system.store.put("config", "main", config(2, keys=[NEW_KEY]))
        await until_all(system, caller, {KEY: False, NEW_KEY: True})


async def test_drill_while_the_store_refuses_a_host():
    async with settled_fleet(4) as (system, caller):
        await lose_changes(system)
        client = system.hosts[0]._store
        await client.stop()
        client._address = free_address()
        await drill(system, age=1.4, away=0.1)
        await system.store.put("config", "main", config(2, keys=[NEW_KEY]))
        await asyncio.sleep(RETURN_BOUND)
        for host in range(1, 4):
            assert not await accepted(caller, host, KEY)
        # A host that can't read the new era serves nothing that it can't confirm.
        await asyncio.sleep(3.0)
        assert not await accepted(caller, 0, KEY)
        client._address = system.store_address
        await until_all(system, caller, {KEY: False, NEW_KEY: True})


def name_of_rank(system, rank):
    """Return the name of a new host that would be the reader of a rank, or none (-1)."""
    others = [app.settings.host for app in system.hosts]

    def rank_of(name):
        readers = choose_readers([*others, name])
        return readers.index(name) if name in readers else -1

    names = (f"late-{number}" for number in range(200))
    return next(name for name in names if rank_of(name) == rank)


@contextlib.asynccontextmanager
async def restored_before_a_revocation():
    """Run hosts that know a revocation that the restored store doesn't."""
    async with settled_fleet() as (system, caller):
        await asyncio.sleep(1.0)
        await system.store.put("config", "main", config(2, keys=[NEW_KEY]))
        await until_all(system, caller, {KEY: False, NEW_KEY: True})
        await asyncio.sleep(1.0)
        await drill(system, age=1.6)
        assert system.store.objects("config")["main"]["version"] == 1
        yield system, caller


async def count_accepted(caller, host, key, *, seconds):
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    found = 0
    while loop.time() < until:
        found += await accepted(caller, host, key)
        await asyncio.sleep(0.02)
    return found


@pytest.mark.parametrize("rank", [0, 1, -1])
async def test_host_that_starts_after_a_drill_serves_no_revoked_key(rank):
    async with restored_before_a_revocation() as (system, caller):
        await system.add_host(name_of_rank(system, rank))
        assert not await count_accepted(caller, 3, KEY, seconds=2.0)
        await system.store.put("config", "main", config(2, keys=[NEW_KEY]))
        await until_all(system, caller, {KEY: False, NEW_KEY: True})


async def test_hosts_that_start_together_after_a_drill_serve_no_revoked_key():
    async with restored_before_a_revocation() as (system, caller):
        await system.add_host(name_of_rank(system, 0))
        await system.add_host(name_of_rank(system, 0))
        found = [count_accepted(caller, host, KEY, seconds=2.0) for host in (3, 4)]
        assert await asyncio.gather(*found) == [0, 0]


async def test_reader_that_restarts_twice_after_a_drill_serves_no_revoked_key():
    async with restored_before_a_revocation() as (system, caller):
        for _ in range(2):
            late = await system.add_host(name_of_rank(system, 0))
            host = len(system.hosts) - 1
            assert not await count_accepted(caller, host, KEY, seconds=1.0)
            await late.drain()


async def test_host_that_starts_alone_serves_what_the_store_says():
    async with fleet() as (system, caller):
        await until(lambda: system.hosts[0].is_ready, seconds=2)
        assert await accepted(caller, 0, KEY)


async def test_host_that_starts_beside_hosts_that_are_gone_serves_in_time():
    async with fleet(hosts=0) as (system, caller):
        for number in range(20):
            gone = {"address": free_address()}
            await system.store.put("entryhosts", f"gone-{number}", gone)
        began = asyncio.get_running_loop().time()
        await system.add_host("host-0")
        async with asyncio.timeout(5):
            while not await accepted(caller, 0, KEY):
                await asyncio.sleep(0.02)
        assert asyncio.get_running_loop().time() - began < 2.0
