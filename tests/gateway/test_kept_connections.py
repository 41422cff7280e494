"""Check which requests of running hosts go over a kept connection."""

import asyncio
import contextlib

from amaranthferry.standins.routed import ServerFault

from .fleet import entry, fleet


@contextlib.asynccontextmanager
async def contended_fleet(hosts=5):
    """Run more hosts than the slots of two servers."""
    async with fleet(hosts=hosts, ledgers=2, engines=0) as (system, caller):
        for name, server in system.servers.items():
            server.keep_alive = "timeout=5"
            listed = entry("ledger", system.addresses[name], slots=2)
            await system.store.put("servers", name, listed)
        async with asyncio.timeout(20):
            while not all(
                host.state.deployment.rules_of("ledger").kept_connections
                for host in system.hosts
            ):
                await asyncio.sleep(0.02)
        yield system, caller


def ports(system):
    return [port for s in system.servers.values() for port in s.caller_ports]


async def look(caller, count, **options):
    for _ in range(count):
        assert (await caller.send("GET", "/look/x", **options))[1] == 200


async def test_requests_that_may_be_repeated_share_connections():
    async with contended_fleet() as (system, caller):
        await look(caller, 10)
        assert len(ports(system)) == 10
        assert len(set(ports(system))) <= 2
        assert 1 <= len(system.hosts[0].connections) <= 2


async def test_requests_that_may_not_be_repeated_open_connections():
    async with contended_fleet() as (system, caller):
        await look(caller, 4)
        before = set(ports(system))
        for _ in range(4):
            assert (await caller.send("POST", "/pay/x", data=b"1"))[1] == 200
        after = [port for port in ports(system) if port not in before]
        assert len(set(after)) == 4


async def test_server_without_a_time_gets_a_connection_for_each_request():
    async with contended_fleet() as (system, caller):
        for server in system.servers.values():
            server.keep_alive = ""
        await look(caller, 5)
        assert len(set(ports(system))) == 5
        assert len(system.hosts[0].connections) == 0


async def test_fleet_with_enough_slots_keeps_no_connection():
    async with fleet(hosts=2, ledgers=2, engines=0) as (system, caller):
        for server in system.servers.values():
            server.keep_alive = "timeout=5"
        await look(caller, 5)
        assert len(set(ports(system))) == 5
        assert len(system.hosts[0].connections) == 0


async def test_answer_to_another_request_ends_its_connection():
    async with contended_fleet() as (system, caller):
        for server in system.servers.values():
            server.fault = ServerFault.WRONG_ATTEMPT_ID
        assert (await caller.send("GET", "/look/x"))[1] == 502
        assert len(system.hosts[0].connections) == 0


async def test_request_on_a_connection_that_is_cut_goes_to_another_server():
    async with contended_fleet() as (system, caller):
        await look(caller, 6)
        for server in system.servers.values():
            server.fault = ServerFault.NONE
        first = system.servers["ledger-0"]
        first.fault = ServerFault.RESET_AFTER_EXECUTION
        await look(caller, 2)


async def test_idle_connections_are_closed_in_time_and_at_the_stop():
    async with contended_fleet() as (system, caller):
        host = system.hosts[0]
        for server in system.servers.values():
            server.keep_alive = "timeout=1"
        await look(caller, 3)
        assert len(host.connections) > 0
        async with asyncio.timeout(5):
            while len(host.connections):
                await asyncio.sleep(0.05)
        for server in system.servers.values():
            server.keep_alive = "timeout=60"
        await look(caller, 3)
        assert len(host.connections) > 0
        await host.stop()
        assert len(host.connections) == 0
