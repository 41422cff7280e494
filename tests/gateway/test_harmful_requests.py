import asyncio
import contextlib
import itertools

import aiohttp
import pytest

from amaranthferry.harm.subjects import SubjectState
from amaranthferry.standins.routed import ServerFault
from amaranthferry.types import Seconds, SubjectKind

from .fleet import KEY, config, fleet

#: Bound on the time for which hosts may still send such a request (`contactMs`).
CONTACT: Seconds = 3.0
#: Requests that may still reach servers after that.
ALLOWED = 3
DURATION: Seconds = 9.0
#: Time in which hosts that start find each other.
PEERS_TIME: Seconds = 1.5
OTHER_KEY = "key-of-office"


class Load:
    """Send requests to all hosts in turn."""

    def __init__(self, system, caller):
        self._hosts = itertools.cycle(range(len(system.hosts)))
        self._caller = caller
        self._loop = asyncio.get_running_loop()
        self._tasks = set()
        #: Time of sending and status, or None for a broken answer.
        self.results = []

    def start(self, requests, *, rate, seconds=DURATION):
        """Send the method, path and options that an iterator yields."""
        task = self._loop.create_task(self._run(iter(requests), rate, seconds))
        self._tasks.add(task)

    async def _run(self, requests, rate, seconds):
        end = self._loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while self._loop.time() < end:
                group.create_task(self._send(*next(requests)))
                await asyncio.sleep(1 / rate)

    async def _send(self, method, path, options):
        sent_at, status = self._loop.time(), None
        with contextlib.suppress(aiohttp.ClientError):
            _, status, _, _ = await self._caller.send(
                method, path, host=next(self._hosts), **options
            )
        self.results.append((sent_at, status))

    def served(self, *, since):
        """Return the part of the requests sent since a time that were answered."""
        statuses = [status for at, status in self.results if at >= since]
        return sum(status == 200 for status in statuses) / len(statuses)

    async def finish(self):
        await asyncio.gather(*self._tasks)


def unlike_requests():
    """Yield sound requests of the two routes, no two alike."""
    for number in itertools.count():
        yield "GET", f"/look/{number}", {}
        yield "POST", f"/pay/{number}", {"data": b"%d" % number}


def same(method, path, **options):
    return itertools.repeat((method, path, options))


def two_workspaces():
    spec = config(keys=(KEY,))
    other = {**spec["tenants"][0], "name": "office", "apiKeys": [OTHER_KEY]}
    return {**spec, "tenants": [*spec["tenants"], other]}


#: What ends servers (method, path, body), and sound requests that are almost alike.
CASES = {
    "safe": (("GET", "/look/bad", b""), same("GET", "/look/good")),
    "unsafe": (("POST", "/pay/bad", b"one"), same("POST", "/pay/good", data=b"one")),
    "other bodies": (
        ("POST", "/pay/bad", b"one"),
        same("POST", "/pay/bad", data=b"two"),
    ),
    "other caller": (
        ("POST", "/pay/bad", b"one"),
        same("POST", "/pay/bad", data=b"one", key=OTHER_KEY),
    ),
    "model server": (("POST", "/ask/bad", b"one"), same("POST", "/ask/good")),
}


@pytest.mark.parametrize("case", CASES)
async def test_request_that_ends_servers_is_not_sent_on_after_three_ends(case):
    (method, path, body), alike = CASES[case]
    service = "engines" if path.startswith("/ask/") else "ledger"

    def is_harmful(request):
        found = (request.method, request.target, request.body)
        workspace = request.headers["x-amaranthferry-tenant"]
        return (found, workspace) == ((method, path, body), "field")

    loop = asyncio.get_running_loop()
    options = {"engines": 0, "ledgers": 0, "hosts": 3, "spec": two_workspaces()}
    arrivals = []
    async with fleet(**options) as (system, caller):
        servers = [
            await system.add_restarting_server(
                service, f"server-{number}", restart_after=1.5, ends_under=is_harmful
            )
            for number in range(8)
        ]
        for server in servers:
            server.on_harmful = lambda: arrivals.append(loop.time())
        sound, harmful = Load(system, caller), Load(system, caller)
        began = loop.time()
        if service == "ledger":
            sound.start(unlike_requests(), rate=30)
        sound.start(alike, rate=7)
        harmful.start(same(method, path, data=body), rate=3.7)
        await sound.finish()
        await harmful.finish()
    ends = sorted(at for server in servers for at in server.ended_at)
    assert len(ends) >= 2
    if len(ends) >= 3:
        late = [at for at in arrivals if at > ends[2] + CONTACT]
        assert len(late) <= ALLOWED
    assert sound.served(since=began + 4) >= 0.95
    assert {status for _, status in harmful.results[-10:]} == {400}


@pytest.mark.parametrize(
    "fault",
    [
        ServerFault.NO_ANSWER,
        ServerFault.ERROR,
        ServerFault.RESET_AFTER_EXECUTION,
    ],
)
async def test_request_that_harms_only_itself_at_each_server_does_not_take_others_work(
    fault,
):
    async with fleet(engines=0, ledgers=4, hosts=3) as (system, caller):
        for server in system.servers.values():
            server.processing_time = 0.03
            server.fault_under = lambda request: (
                fault if request.target.endswith("/bad") else None
            )
        sound, failing = Load(system, caller), Load(system, caller)
        sound.start(unlike_requests(), rate=30, seconds=5.0)
        failing.start(same("GET", "/look/bad"), rate=3.7, seconds=5.0)
        await sound.finish()
        await failing.finish()
    assert sound.served(since=0.0) >= 0.95
    assert 400 not in {status for _, status in failing.results}


@pytest.mark.parametrize("restart_after", [0.5, 1.5])
async def test_one_of_two_servers_goes_on_beside_a_request_that_ends_them(
    restart_after,
):
    loop = asyncio.get_running_loop()
    async with fleet(engines=0, ledgers=0, hosts=3) as (system, caller):
        servers = [
            await system.add_restarting_server(
                "ledger",
                f"server-{number}",
                restart_after=restart_after,
                ends_under=lambda request: request.target == "/look/bad",
            )
            for number in range(4)
        ]
        await asyncio.sleep(PEERS_TIME)
        assert all(len(host.state.hosts) == 3 for host in system.hosts)
        sound, harmful = Load(system, caller), Load(system, caller)
        sound.start(unlike_requests(), rate=20, seconds=6.0)
        began = loop.time()
        harmful.start(same("GET", "/look/bad"), rate=3.7, seconds=6.0)
        await sound.finish()
        await harmful.finish()
    ends = sorted(at for server in servers for at in server.ended_at)
    assert len(ends) <= 3
    assert sound.served(since=began + 2) >= 0.95


async def test_popular_request_is_not_held_though_servers_end_under_it():
    async with fleet(engines=0, ledgers=0, hosts=3) as (system, caller):
        servers = [
            await system.add_restarting_server(
                "ledger", f"server-{number}", restart_after=0.5
            )
            for number in range(4)
        ]
        popular = Load(system, caller)
        popular.start(same("GET", "/look/all"), rate=60, seconds=5.0)
        for number in range(10):
            await asyncio.sleep(0.45)
            running = servers[number % len(servers)].incarnations[-1]
            running.ends_under = lambda request: True
        await popular.finish()
    ends = sum(len(server.ended_at) for server in servers)
    assert ends >= 5
    assert 400 not in {status for _, status in popular.results}
    assert popular.served(since=0.0) >= 0.8


@pytest.mark.parametrize(
    ("fault", "acquitted"),
    [
        (ServerFault.NONE, True),
        (ServerFault.ERROR, True),
        (ServerFault.REJECTED, True),
        (ServerFault.BUSY, False),
        (ServerFault.UNSIGNED, False),
        (ServerFault.RESET_AFTER_EXECUTION, False),
    ],
)
async def test_only_a_server_that_has_outlived_a_request_acquits_it(fault, acquitted):
    async with fleet(engines=0, ledgers=1) as (system, caller):
        (server,) = system.servers.values()
        ending = await system.add_restarting_server(
            "ledger", "ending", ends_under=lambda request: True, restart_after=5.0
        )
        ledger = system.hosts[0].state.harm
        await until(lambda: len(system.hosts[0].state.deployment.servers) == 2)
        server.fault = ServerFault.FULL
        while not ending.ended_at:
            await caller.send("POST", "/pay/one", data=b"1")
        assert ledger.count(SubjectState.SUSPECTED, SubjectKind.REQUEST) == 1
        server.fault = fault
        await caller.send("POST", "/pay/one", data=b"1")
        left = ledger.count(SubjectState.SUSPECTED, SubjectKind.REQUEST)
    assert left == (0 if acquitted else 1)


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.02)
