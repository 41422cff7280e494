"""Change the configuration without pause, and judge what callers get at each host."""

import asyncio
import contextlib
from collections import Counter

import aiohttp
import msgspec
from yarl import URL

from amaranthferry.embedded import free_address
from amaranthferry.gateway.application import Gateway
from amaranthferry.platform.settings import HostSettings
from amaranthferry.standins.deployment import (
    APPLY_BOUND,
    REVOCATION_BOUND,
    settings_text,
)
from amaranthferry.standins.serving import serve

from .fleet import HOST, ROUTES, Fleet, config

#: Bounds of the stand-in deployment's settings.
REVOKE_BOUND = REVOCATION_BOUND
CHANGE_PERIOD = 0.9
ASK_PERIOD = 0.15
#: Versions whose key and route are in force at the same time.
KEPT_VERSIONS = 4
DENIALS = frozenset({401, 403, 404})


class Verdict(msgspec.Struct):
    """Count what callers got for what was due, or taken away, at the time of asking."""

    asked: int = 0
    served: int = 0
    late_denials: Counter = msgspec.field(default_factory=Counter)
    late_runs: Counter = msgspec.field(default_factory=Counter)
    reverted: int = 0
    answers: Counter = msgspec.field(default_factory=Counter)

    @property
    def served_share(self):
        return self.served / max(1, self.asked)


class ChangingFleet(Fleet):
    """Run hosts that each read the store at an address of their own."""

    def __init__(self, stack):
        super().__init__(stack)
        self.views = []
        self.confirmed = {}
        self.version = 0
        self.verdicts = []
        self.extra_routes = []
        self.change_spec = lambda spec: spec
        self._seen = []

    async def add_host(self, name, **bounds):
        view = self.store.view()
        url = await self._stack.enter_async_context(serve(view.app))
        addresses = [free_address() for _ in range(4)]
        text = settings_text(
            name, store=url.removeprefix("http://"), addresses=addresses, **bounds
        )
        app = Gateway.from_config(HostSettings.from_text(text))
        await app.start()
        self._stack.push_async_callback(app.stop)
        self.views.append(view)
        self.hosts.append(app)
        self.urls.append(f"http://{addresses[0]}")
        self.verdicts.append(Verdict())
        self._seen.append(0)
        return app

    async def put_version(self):
        """Write a version that adds a key and a route, and drops the oldest."""
        self.version += 1
        numbers = range(max(1, self.version - KEPT_VERSIONS + 1), self.version + 1)
        routes = [*ROUTES, *self.extra_routes, *(_route(n) for n in numbers)]
        spec = config(self.version, routes=routes, keys=[_key(n) for n in numbers])
        await self.store.put("config", "main", self.change_spec(spec))
        self.confirmed[self.version] = asyncio.get_running_loop().time()

    async def change(self, *, period=CHANGE_PERIOD):
        """Write versions until cancelled."""
        while True:
            await self.put_version()
            await asyncio.sleep(period)

    async def ask(self, number):
        """Ask one host for what is due and for what was taken away, until cancelled."""
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            asyncio.TaskGroup() as asks,
        ):
            while True:
                asks.create_task(self._ask_due(number, session))
                asks.create_task(self._ask_dropped(number, session))
                await asyncio.sleep(ASK_PERIOD)

    def _now(self):
        return asyncio.get_running_loop().time()

    async def _send(self, number, session, version):
        url = URL(f"{self.urls[number]}/r{version}/x", encoded=True)
        headers = {
            "Host": HOST,
            "X-Amaranthferry-Attempt-Id": f"{number}-{version}-{self._now():.4f}",
            "X-Amaranthferry-Deadline-Ms": "1500",
            "X-Amaranthferry-Key": _key(version),
        }
        try:
            async with session.get(url, headers=headers) as answer:
                await answer.read()
                return answer.status
        except aiohttp.ClientError:
            return 0

    async def _ask_due(self, number, session):
        sent, verdict = self._now(), self.verdicts[number]
        due = [n for n, at in self.confirmed.items() if sent - at >= APPLY_BOUND]
        if not due:
            return
        # The newest due version stays in force for longer than this request lasts.
        status = await self._send(number, session, due[-1])
        verdict.asked += 1
        verdict.served += status == 200
        verdict.answers[status] += 1
        if status in DENIALS:
            verdict.late_denials[status] += 1
            verdict.reverted += due[-1] <= self._seen[number]
        elif status == 200:
            self._seen[number] = max(self._seen[number], due[-1])

    async def _ask_dropped(self, number, session):
        sent, verdict = self._now(), self.verdicts[number]
        for bound in (REVOKE_BOUND, APPLY_BOUND):
            newest = max(
                (n for n, at in self.confirmed.items() if sent - at >= bound), default=0
            )
            dropped = newest - KEPT_VERSIONS
            if dropped < 1:
                continue
            if await self._send(number, session, dropped) == 200:
                verdict.late_runs[bound] += 1

    @contextlib.asynccontextmanager
    async def judged(self, *, hosts=None, period=CHANGE_PERIOD):
        """Change and judge while the block runs."""
        async with asyncio.TaskGroup() as work:
            tasks = [work.create_task(self.change(period=period))]
            tasks += [
                work.create_task(self.ask(number))
                for number in (range(len(self.hosts)) if hosts is None else hosts)
            ]
            yield self.verdicts
            for task in tasks:
                task.cancel()

    @property
    def late_denials(self):
        """Return the late denials at all hosts."""
        return sum(sum(v.late_denials.values()) for v in self.verdicts)

    @property
    def served_share(self):
        """Return the share of what was due that all hosts served."""
        asked = sum(v.asked for v in self.verdicts)
        return sum(v.served for v in self.verdicts) / max(1, asked)

    def late_runs(self, bound):
        """Return the requests that ran later than a bound after they were dropped."""
        return sum(v.late_runs[bound] for v in self.verdicts)


def _key(version):
    return f"key-of-version-{version}"


def _route(version):
    return {
        "name": f"r{version}",
        "host": HOST,
        "pathPrefix": f"/r{version}/",
        "type": "safe",
        "timeoutMs": 1500,
        "goalMs": 200,
        "service": "ledger",
        "maxAttempts": 2,
    }


@contextlib.asynccontextmanager
async def changing_fleet(*, hosts=5, **options):
    async with contextlib.AsyncExitStack() as stack:
        system = ChangingFleet(stack)
        await system.open(hosts=hosts, engines=0, ledgers=2, **options)
        async with asyncio.timeout(10):
            while not all(len(h.state.hosts) == hosts for h in system.hosts):
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        yield system
