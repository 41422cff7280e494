"""Check that running hosts begin a shared order by a rejection, and end it."""

import asyncio

from amaranthferry.standins.routed import ServerFault

from .fleet import fleet

SHARD = "ledger/0"


async def until(condition, *, seconds):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


async def test_hosts_order_requests_together_after_a_rejection():
    # One server of four slots is behind five hosts.
    async with fleet(hosts=5, ledgers=1, engines=0) as (system, caller):
        hosts = system.hosts

        def following():
            return sum(SHARD in host.state.shared_orders for host in hosts)

        await until(
            lambda: all(
                len(host.state.hosts) == 5
                and host.state.deployment.rules_of("ledger").shared_when_full
                for host in hosts
            ),
            seconds=20,
        )
        assert (await caller.send("GET", "/look/x"))[1] == 200
        assert following() == 0
        server = system.servers["ledger-0"]
        server.fault = ServerFault.FULL
        _, status, headers, _ = await caller.send("POST", "/pay/x", data=b"1")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        await until(lambda: following() == 5, seconds=5)
        server.fault = ServerFault.NONE
        for number in range(5):
            attempt, status, *_ = await caller.send(
                "POST", "/pay/x", data=b"1", host=number
            )
            assert status == 200
            assert system.servers_that_ran(attempt) == ["ledger-0"]
        await until(lambda: following() == 0, seconds=20)
        assert (await caller.send("GET", "/look/x", host=3))[1] == 200


async def test_fleet_with_enough_slots_has_no_shared_order():
    async with fleet(hosts=2, ledgers=1, engines=0) as (system, caller):
        await until(
            lambda: all(len(host.state.hosts) == 2 for host in system.hosts),
            seconds=20,
        )
        system.servers["ledger-0"].fault = ServerFault.FULL
        _, status, headers, _ = await caller.send("POST", "/pay/x", data=b"1")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        await asyncio.sleep(0.2)
        assert not any(host.state.shared_orders for host in system.hosts)
