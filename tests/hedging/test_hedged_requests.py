"""Run whole hosts with stand-in servers on loopback, and have slow requests hedged."""

import asyncio
import contextlib
from types import SimpleNamespace

import aiohttp
import pytest

from amaranthferry.gateway.options import HedgingOptions, HostOptions
from amaranthferry.hedging import runs
from amaranthferry.standins.metadata import StoreFault
from amaranthferry.standins.routed import ServerFault
from tests.gateway.fleet import HOST, KEY, ROUTES, config
from tests.gateway.fleet import fleet as plain_fleet

#: Enough for each test's second runs, since a host earns them from its first runs.
OPTIONS = HostOptions(hedging=HedgingOptions(enabled=True, limit=0.5))
OFF = HostOptions()
USUAL = 0.02
#: So long that a silent server is hedged, also on a busy machine, before it is given up.
DEADLINE = 8.0
SPEC = config(
    routes=[{**r, "timeoutMs": 8000} if r["name"] == "look" else r for r in ROUTES]
)


@contextlib.asynccontextmanager
async def fleet(options=OPTIONS, **arguments):
    """Run a fleet whose hosts have the options."""
    async with plain_fleet(engines=0, spec=SPEC, options=options, **arguments) as (
        running,
        caller,
    ):
        for server in running.servers.values():
            server.processing_time = USUAL
            record_connections(server)
        for _ in range(40):
            _, status, _, _ = await caller.send("GET", "/look/x", deadline=DEADLINE)
            assert status == 200
        if running.hosts[0].hedger is not None:
            await learned(running, caller)
        yield running, caller


def record_connections(server):
    """Remember the connection of each request, which tells whether it was closed."""
    server.connections = {}
    answer = server._answer

    async def record(request):
        attempt = request.headers["x-amaranthferry-attempt-id"]
        server.connections[attempt] = request.scope["state"]["transport"]
        return await answer(request)

    server._answer = record


def is_closed(server, attempt):
    return server.connections[attempt].is_closing()


async def learned(running, caller):
    """Wait until the host has evaluated the times of its runs."""
    hedger = running.hosts[0].hedger
    while hedger.budget("ledger").left < 2 * USUAL:
        await caller.send("GET", "/look/x", deadline=DEADLINE)
    # The histogram is evaluated once a second.
    await asyncio.sleep(1.05)
    await caller.send("GET", "/look/x", deadline=DEADLINE)


def make_first_slow(running, *, fault=ServerFault.NO_ANSWER):
    """Have the server fail that gets the next request, whichever it is."""
    names = []
    for name, server in running.servers.items():
        server.on_execution = lambda attempt, name=name: names.append(name)
        server.fault_under = lambda request, name=name: (
            fault if names[0] == name else None
        )
    return names


def second_runs(running):
    """Return the ends of second runs by the run that counted."""
    return {
        (winner, end): count
        for host in running.hosts
        for (_, winner, end), count in host.telemetry.hedges.values.items()
    }


async def until(condition, *, timeout=5.0):
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.01)


async def test_request_of_a_slow_server_is_answered_by_another():
    """Guard against a caller that waits for a slow server while others are free."""
    async with fleet() as (running, caller):
        names = make_first_slow(running)
        attempt, status, headers, body = await caller.send(
            "GET", "/look/x", deadline=DEADLINE
        )
        assert status == 200
        assert len(set(names)) == 2
        assert body.decode() == names[1]
        assert headers["X-Amaranthferry-Server-Signature"] == f"signed-{names[1]}"
        assert second_runs(running) == {("second", "answered"): 1}
        # The slow server's connection is closed at once, so it drops the request.
        await until(lambda: is_closed(running.servers[names[0]], attempt))
        received = running.received_requests(attempt)
        remaining = [int(r.headers["x-amaranthferry-deadline-ms"]) for r in received]
        assert len(received) == 2
        assert max(remaining) <= 8_000
        assert {r.headers["x-amaranthferry-expect-instance"] for r in received} == set(
            names
        )


async def test_second_run_leaves_one_line_and_metrics(monkeypatch):
    """Guard against extra work that an operator can't explain afterwards."""
    async with fleet() as (running, caller):
        lines = []
        monkeypatch.setattr(
            runs,
            "_log",
            SimpleNamespace(info=lambda event, **f: lines.append((event, f))),
        )
        names = make_first_slow(running)
        attempt, _, _, _ = await caller.send("GET", "/look/x", deadline=DEADLINE)
        ((event, fields),) = lines
        assert event == "request.hedged"
        assert fields["request_id"] == attempt
        assert (fields["first"], fields["second"]) == tuple(names)
        assert (fields["winner"], fields["reason"]) == ("second", "slow")
        assert fields["remaining"] > fields["fresh"] > 0
        async with (
            aiohttp.ClientSession() as session,
            session.get(running.metrics[0]) as answer,
        ):
            text = await answer.text()
    labels = 'end="answered",route="look",winner="second"'
    assert f"amaranthferry_second_runs_total{{{labels}}} 1.0" in text
    assert 'amaranthferry_second_run_work_seconds{service="ledger"}' in text


async def test_hedging_is_off_without_the_option():
    """Guard against second runs in deployments that didn't ask for them."""
    async with fleet(OFF) as (running, caller):
        assert running.hosts[0].hedger is None
        for server in running.servers.values():
            server.processing_time = 0.5
        attempt, status, _, _ = await caller.send("GET", "/look/x", deadline=DEADLINE)
        assert status == 200
        assert len(running.servers_that_ran(attempt)) == 1


async def test_unsafe_request_is_never_sent_twice():
    """Guard against a payment that runs at two servers."""
    async with fleet() as (running, caller):
        for server in running.servers.values():
            server.processing_time = 0.6
        # On a busy machine, a request before this one may have got a second run.
        before = second_runs(running)
        attempt, status, _, _ = await caller.send("POST", "/pay/x", data=b"1")
        assert status == 200
        assert len(running.servers_that_ran(attempt)) == 1
        assert second_runs(running) == before


async def test_late_bytes_of_the_other_run_reach_no_caller():
    """Guard against an answer that carries bytes of another run or request."""
    async with fleet() as (running, caller):
        names = make_first_slow(running)
        bodies = []
        async with aiohttp.ClientSession() as session:
            for number in range(6):
                headers = {
                    "Host": HOST,
                    "X-Amaranthferry-Attempt-Id": f"kept-{number}",
                    "X-Amaranthferry-Deadline-Ms": "8000",
                    "X-Amaranthferry-Key": KEY,
                }
                url = f"{running.urls[0]}/look/x"
                async with session.get(url, headers=headers) as answer:
                    assert answer.status == 200
                    assert answer.headers["X-Amaranthferry-Attempt-Id"] == (
                        f"kept-{number}"
                    )
                    bodies.append((await answer.read()).decode())
                    signature = answer.headers["X-Amaranthferry-Server-Signature"]
                    assert signature == f"signed-{bodies[-1]}"
        assert names[0] not in bodies


async def test_failure_of_the_second_run_leaves_the_first_one_to_answer():
    """Guard against a failed second run that ends a sound first one."""
    async with fleet() as (running, caller):
        names = []

        def fail_second(name):
            names.append(name)
            for other, server in running.servers.items():
                server.processing_time = 0.8 if other == names[0] else 0.0

        for name, server in running.servers.items():
            server.on_execution = lambda attempt, name=name: fail_second(name)
            server.fault_under = lambda request, name=name: (
                ServerFault.ERROR if names[0] != name else None
            )
        _, status, _, body = await caller.send("GET", "/look/x", deadline=DEADLINE)
        assert (status, body.decode()) == (200, names[0])
        assert len(names) == 2
        assert second_runs(running) == {("first", "failed"): 1}


async def test_failure_of_the_first_run_leaves_the_second_one_to_answer():
    """Guard against a request that is given up while a run of it goes on."""
    async with fleet() as (running, caller):
        names = []
        for name, server in running.servers.items():
            server.on_execution = lambda attempt, name=name: names.append(name)
            server.fault_under = lambda request, name=name: (
                ServerFault.ERROR if names[0] == name else None
            )
            server.processing_time = 0.4
        _, status, _, body = await caller.send("GET", "/look/x", deadline=DEADLINE)
        assert (status, body.decode()) == (200, names[1])
        assert len(names) == 2


async def test_caller_that_leaves_has_both_runs_cancelled():
    """Guard against servers that go on working for nobody."""
    async with fleet() as (running, caller):
        for server in running.servers.values():
            server.fault = ServerFault.NO_ANSWER
        task = asyncio.create_task(
            caller.send("GET", "/look/x", deadline=DEADLINE, attempt="left")
        )
        await until(lambda: len(running.servers_that_ran("left")) == 2)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await until(lambda: all(is_closed(s, "left") for s in running.servers.values()))
        (host,) = running.hosts
        await until(lambda: not host.exchanges and not host.hedger.open)
        assert second_runs(running) == {("none", "cancelled"): 1}


async def test_deadline_ends_both_runs_as_unknown():
    """Guard against "has not run" about a request that two servers may have run."""
    async with fleet() as (running, caller):
        for server in running.servers.values():
            server.fault = ServerFault.NO_ANSWER
        attempt, status, headers, _ = await caller.send("GET", "/look/x", deadline=1.5)
        assert status == 504
        assert "Retry-After" not in headers
        assert len(running.servers_that_ran(attempt)) == 2
        await until(
            lambda: all(is_closed(s, attempt) for s in running.servers.values())
        )


async def test_planned_stop_lets_two_runs_end():
    """Guard against a stop that interrupts a request with a second run."""
    async with fleet() as (running, caller):
        for server in running.servers.values():
            server.processing_time = 0.8
        task = asyncio.create_task(
            caller.send("GET", "/look/x", deadline=DEADLINE, attempt="open")
        )
        await until(lambda: len(running.servers_that_ran("open")) == 2)
        (host,) = running.hosts
        drain = asyncio.create_task(host.drain())
        _, status, _, _ = await task
        assert status == 200
        assert not host.hedger.open
        drain.cancel()
        await asyncio.gather(drain, return_exceptions=True)


@pytest.mark.parametrize("reason", ["store_lost", "stopping", "busy"])
async def test_no_second_run_in_a_store_outage_a_stop_or_an_overload(reason):
    """Guard against extra work while there is no capacity or no sound state."""
    async with fleet() as (running, caller):
        (host,) = running.hosts
        if reason == "store_lost":
            running.store.fault = StoreFault.RESET
            await until(lambda: any(s.state.store_lost for s in host.syncs.values()))
        elif reason == "stopping":
            host.stopping = True
        else:
            for server in running.servers.values():
                server.fault = ServerFault.FULL
            await caller.send("GET", "/look/x", deadline=DEADLINE)
            for server in running.servers.values():
                server.fault = ServerFault.NONE
        for server in running.servers.values():
            server.processing_time = 0.5
        attempt, status, _, _ = await caller.send("GET", "/look/x", deadline=DEADLINE)
        assert status == 200
        assert len(running.servers_that_ran(attempt)) == 1
        assert ("ledger", reason) in host.telemetry.hedges_denied.values


async def test_second_run_gives_its_slot_to_a_request_that_waits():
    """Guard against a first attempt that waits behind extra work."""
    async with fleet() as (running, caller):
        for server in running.servers.values():
            server.fault = ServerFault.NO_ANSWER
        asks = [
            asyncio.create_task(
                caller.send("GET", "/look/x", deadline=DEADLINE, attempt="hedged")
            )
        ]
        await until(lambda: len(running.servers_that_ran("hedged")) == 2)
        # The request that finds no slot is not known beforehand: urgent work has a few
        # of its own. Unsafe requests get no second run.
        for number in range(8):
            attempt = f"pay-{number}"
            ask = caller.send("POST", "/pay/x", attempt=attempt, data=b"1")
            asks.append(asyncio.create_task(ask))
            await until(lambda name=attempt: running.servers_that_ran(name) != [])
            if second_runs(running):
                break
        assert second_runs(running) == {("first", "made_room"): 1}
        for ask in asks:
            ask.cancel()
        await asyncio.gather(*asks, return_exceptions=True)
