"""Run entry hosts for routed requests on loopback, with stand-in servers."""

import contextlib

import aiohttp
from yarl import URL

from amaranthferry.embedded import free_address
from amaranthferry.gateway.application import Gateway
from amaranthferry.platform.settings import HostSettings
from amaranthferry.standins.deployment import settings_text
from amaranthferry.standins.metadata import MetadataStore
from amaranthferry.standins.restarting import RestartingServer
from amaranthferry.standins.routed import RoutedServer
from amaranthferry.standins.serving import serve

KEY = "key-of-field"
HOST = "desk.example"

ROUTES = [
    {
        "name": "ask",
        "host": HOST,
        "pathPrefix": "/ask/",
        "type": "streaming",
        "timeoutMs": 3000,
        "goalMs": 500,
        "priority": 1,
        "service": "engines",
        "maxAttempts": 2,
        "resumable": True,
        "gapGoalMs": 600,
    },
    {
        "name": "review",
        "host": HOST,
        "pathPrefix": "/review/",
        "type": "streaming",
        "timeoutMs": 3000,
        "goalMs": 500,
        "priority": 0,
        "service": "engines",
        "maxAttempts": 1,
        "gapGoalMs": 600,
    },
    {
        "name": "look",
        "host": HOST,
        "pathPrefix": "/look/",
        "type": "safe",
        "timeoutMs": 2000,
        "goalMs": 200,
        "service": "ledger",
        "maxAttempts": 2,
    },
    {
        "name": "pay",
        "host": HOST,
        "pathPrefix": "/pay/",
        "type": "unsafe",
        "timeoutMs": 1000,
        "goalMs": 200,
        "service": "ledger",
        "maxAttempts": 1,
    },
]
SERVICES = [
    {
        "name": "engines",
        "healthPath": "/healthz",
        "maxConnections": 100,
        "engine": {
            "slots": 4,
            "kvCapacity": 100_000,
            "stride": 5,
            "models": [{"name": "m"}],
        },
    },
    {"name": "ledger", "healthPath": "/healthz", "maxConnections": 100},
]


def config(version=1, *, routes=ROUTES, keys=(KEY,), rate=0, burst=0, **limits):
    tenant = {
        "name": "field",
        "apiKeys": list(keys),
        "priority": 1,
        "unit": "tokens",
        "uncachedTokens": 200,
        "ratePerS": rate,
        "burst": burst,
    }
    return {
        "version": version,
        "routes": routes,
        "services": SERVICES,
        "limits": limits,
        "tenants": [tenant],
    }


def entry(service, address, *, state="ready", born=1, **fields):
    return {
        "service": service,
        "address": address,
        "zone": "zone-a",
        "state": state,
        "slots": 4,
        "born": born,
        "sequence": 1,
        **fields,
    }


class Fleet:
    """Run a store, servers and entry hosts on loopback."""

    def __init__(self, stack):
        self._stack = stack
        self.store = MetadataStore()
        self.store_address = ""
        self.options = None
        self.servers = {}
        self.addresses = {}
        self.hosts = []
        self.urls = []
        self.metrics = []

    async def open(
        self, *, engines=2, ledgers=2, hosts=1, spec=None, options=None, **bounds
    ):
        self.options = options
        url = await self._stack.enter_async_context(serve(self.store.app))
        self.store_address = url.removeprefix("http://")
        await self.store.put("config", "main", spec or config())
        for number in range(engines):
            await self.add_server("engines", f"engine-{number}")
        for number in range(ledgers):
            await self.add_server("ledger", f"ledger-{number}")
        for number in range(hosts):
            await self.add_host(f"host-{number}", **bounds)
        return self

    async def add_server(self, service, name, **fields):
        server = RoutedServer(name)
        url = await self._stack.enter_async_context(serve(server))
        self.servers[name] = server
        self.addresses[name] = url.removeprefix("http://")
        listed = entry(service, self.addresses[name], **fields)
        await self.store.put("servers", name, listed)
        return server

    async def order_rollout(self, service, version, *, duration=12):
        spec = {"service": service, "to": version, "durationS": duration}
        await self.store.put("rollouts", service, spec)

    async def add_restarting_engine(self, name, **options):
        """Add an engine that is listed again under a new name after each crash."""
        return await self.add_restarting_server("engines", name, **options)

    async def add_restarting_server(self, service, name, **options):
        """Add a server that is listed again under a new name after each crash."""

        async def list_server(server):
            for past in running.incarnations[:-1]:
                await self.store.remove("servers", past.name)
            self.servers[server.name] = server
            listed = entry(service, running.address)
            await self.store.put("servers", server.name, listed)

        running = RestartingServer(name, list_server, **options)
        await running.start()
        self._stack.push_async_callback(running.stop)
        return running

    async def add_host(self, name, **bounds):
        addresses = [free_address() for _ in range(4)]
        text = settings_text(
            name, store=self.store_address, addresses=addresses, **bounds
        )
        app = Gateway.from_config(HostSettings.from_text(text), self.options)
        await app.start()
        self._stack.push_async_callback(app.stop)
        self.hosts.append(app)
        self.urls.append(f"http://{addresses[0]}")
        self.metrics.append(f"http://{addresses[3]}/metrics")
        return app

    def servers_that_ran(self, attempt):
        """Return the servers that ran an attempt, in order."""
        return [
            name
            for name, server in self.servers.items()
            for request in server.executed
            if request.attempt == attempt
        ]

    def received_requests(self, attempt):
        """Return the requests of an attempt as the servers received them."""
        return [
            request
            for server in self.servers.values()
            for request in server.executed
            if request.attempt == attempt
        ]


class Caller:
    """Send each request on a new connection, as a client of the platform."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._count = 0

    async def send(self, method, path, *, host=0, key=KEY, deadline=2.0, **options):
        self._count += 1
        attempt = options.pop("attempt", f"attempt-{self._count}")
        headers = {
            "Host": HOST,
            "X-Amaranthferry-Attempt-Id": attempt,
            "X-Amaranthferry-Deadline-Ms": str(int(deadline * 1000)),
            "X-Amaranthferry-Key": key,
            **options.pop("headers", {}),
        }
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            url = URL(self._fleet.urls[host] + path, encoded=True)
            async with session.request(
                method, url, headers=headers, **options
            ) as answer:
                body = await answer.read()
                return attempt, answer.status, answer.headers, body

    async def send_prompt(
        self, path="/ask/one", *, tokens="100,20", parts="", **options
    ):
        headers = {"X-Amaranthferry-Model": "m", "X-Amaranthferry-Token-Usage": tokens}
        if parts:
            headers["X-Amaranthferry-Prefix-Hash"] = parts
        return await self.send("POST", path, headers=headers, data=b"text", **options)


@contextlib.asynccontextmanager
async def fleet(**options):
    async with contextlib.AsyncExitStack() as stack:
        running = await Fleet(stack).open(**options)
        yield running, Caller(running)
