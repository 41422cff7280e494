"""A small deployment: its desired state, its servers and its clients."""

import asyncio
import itertools
import random
import time

from wire import Broken, Client, HttpServer

ENGINES = "goxa49a"
LEDGER = "yeny51b"
HOSTNAME = "ficu95.example"
#: The kinds of request of the sheet, by the first part of their paths.
PATHS = {
    "full-proposal": "/prop/",
    "cost-line": "/line/",
    "figure-check": "/figure/",
    "submit-budget": "/submit/",
    "fetch-budget": "/fetch/",
}
TENANTS = ("hule930", "mile953", "lohu930")
KEYS = {name: f"key-of-{name}" for name in TENANTS}

_numbers = itertools.count(1)


def new_id():
    return f"{next(_numbers):04x}{random.randrange(1 << 48):012x}"


def routes():
    """Return the routes of the sheet, as a desired state has them."""
    rows = [
        ("full-proposal", "streaming", ENGINES, 12000, 1200, 0, 1),
        ("cost-line", "streaming", ENGINES, 10000, 600, 1, 2),
        ("figure-check", "streaming", ENGINES, 3000, 800, 2, 1),
        ("submit-budget", "unsafe", LEDGER, 2500, 150, 2, 1),
        ("fetch-budget", "safe", LEDGER, 2500, 150, 2, 2),
    ]
    found = []
    for name, kind, service, timeout, goal, priority, attempts in rows:
        route = {
            "name": f"r-{name}",
            "host": HOSTNAME,
            "pathPrefix": PATHS[name],
            "type": kind,
            "timeoutMs": timeout,
            "goalMs": goal,
            "priority": priority,
            "service": service,
            "maxAttempts": attempts,
            "public": False,
            "sticky": kind == "streaming",
            "resumable": name == "cost-line",
        }
        if kind == "streaming":
            route["gapGoalMs"] = 800
        found.append(route)
    return found


def desired(version, *, keys=None, more=(), changes=None):
    """Return a desired state in full."""
    keys = KEYS if keys is None else keys
    found = [*routes(), *more]
    for route in found:
        route.update((changes or {}).get(route["name"], {}))
    return {
        "version": version,
        "routes": found,
        "services": [
            {
                "name": ENGINES,
                "healthPath": "/healthz",
                "maxConnections": 781,
                "engine": {
                    "slots": 6,
                    "kvCapacity": 372943,
                    "models": [{"name": "m"}],
                    "stride": 7,
                },
            },
            {"name": LEDGER, "healthPath": "/healthz", "maxConnections": 232},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": name,
                "apiKeys": [keys[name]] if keys.get(name) else [],
                "unit": "tokens",
                "uncachedTokens": 200,
                "ratePerS": 0,
                "burst": 0,
            }
            for name in TENANTS
        ],
    }


class Server:
    """One incarnation of a server: it runs what is meant for it, and counts it."""

    def __init__(self, name, service, record, *, slots=6, work=0.045, events=8):
        self.name, self.service, self.slots = name, service, slots
        self.work, self.events = work, events
        self.record = record
        self.born = int(time.time() * 1_000)
        self.active = 0
        #: When each request began to run, by the id of its attempt.
        self.runs = {}
        self.run_count = {}
        #: What it does in place of an answer, or None.
        self.trouble = lambda request: None
        #: What its answers bear beside the usual headers.
        self.more_fields = []
        self.had_trouble = False
        self._http = HttpServer(self._answer)

    @property
    def address(self):
        return self._http.address

    async def start(self, ip, port=0):
        await self._http.start(ip, port)

    async def stop(self):
        await self._http.stop()

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zg-a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": 0,
            "born": self.born,
        }

    async def _answer(self, request):
        channel, fields = request.channel, request.fields
        if request.target.startswith("/healthz"):
            await channel.answer(200, [("X-Amaranthferry-Instance-Id", self.name)])
            return True
        if fields.get("x-amaranthferry-expect-instance", self.name) != self.name:
            await channel.answer(421, [("X-Amaranthferry-Instance-Id", self.name)])
            return True
        attempt = fields.get("x-amaranthferry-attempt-id", "")
        if self.active >= self.slots:
            await channel.answer(503, [("X-Amaranthferry-Not-Executed", "1")])
            return True
        self.active += 1
        try:
            self.runs.setdefault(attempt, time.monotonic())
            self.run_count[attempt] = self.run_count.get(attempt, 0) + 1
            self.record(
                f"run       {attempt} at {self.name} {request.method} {request.target}"
                f" tenant={fields.get('x-amaranthferry-tenant')}"
            )
            trouble = self.trouble(request)
            if trouble is not None:
                return await trouble
            if "x-amaranthferry-model" in fields:
                return await self._stream(request, attempt)
            await asyncio.sleep(self.work)
            await channel.answer(200, self.head(attempt), b"x" * 800)
            return True
        finally:
            self.active -= 1

    def head(self, attempt):
        return [
            ("X-Amaranthferry-Attempt-Id", attempt),
            ("X-Amaranthferry-Server-Signature", f"{self.name}.{attempt}"),
            *self.more_fields,
        ]

    async def _stream(self, request, attempt):
        channel = request.channel
        fields = [*self.head(attempt), ("Content-Type", "text/event-stream")]
        first = int(request.fields.get("last-event-id", "0")) + 1
        await asyncio.sleep(self.work)
        await channel.start_chunks(200, fields)
        for number in range(first, self.events + 1):
            await channel.chunk(b"id: %d\ndata: %d\n\n" % (number, number))
            await asyncio.sleep(self.work)
        await channel.end_chunks()
        return True


class Sent:
    """One client attempt, with what came of it."""

    def __init__(self, attempt, route, host, key):
        self.attempt, self.route, self.host, self.key = attempt, route, host, key
        self.at = time.monotonic()
        self.ended_at = None
        self.answer = None
        self.problem = ""
        self.was_kept = False

    @property
    def status(self):
        return None if self.answer is None else self.answer.status


_LIMITS = {
    "full-proposal": 12.0,
    "cost-line": 10.0,
    "figure-check": 3.0,
    "submit-budget": 2.5,
    "fetch-budget": 2.5,
}
_TOKENS = {
    "full-proposal": (6610, 380),
    "cost-line": (628, 290),
    "figure-check": (1800, 20),
}


async def send(client, host, route, record, *, tenant=TENANTS[0], key=None):
    """Send one request of a route over a client's channel."""
    key = KEYS[tenant] if key is None else key
    sent = Sent(new_id(), route, host, key)
    limit = _LIMITS[route]
    fields = [
        ("Host", HOSTNAME),
        ("X-Amaranthferry-Attempt-Id", sent.attempt),
        ("X-Amaranthferry-Deadline-Ms", int(limit * 1_000)),
        ("X-Amaranthferry-Key", key),
    ]
    method, body = "POST", b"{}" * 300
    if route in _TOKENS:
        tokens_in, tokens_out = _TOKENS[route]
        fields += [
            ("X-Amaranthferry-Model", "m"),
            ("X-Amaranthferry-Token-Usage", f"{tokens_in},{tokens_out}"),
            (
                "X-Amaranthferry-Prefix-Hash",
                f"5c1e07a2:60,{random.randrange(1 << 60):x}:{tokens_in - 60}",
            ),
        ]
    elif route == "fetch-budget":
        method, body = "GET", b""
    record(f"sent      {sent.attempt} {route} to {host.name} key={key}")
    try:
        sent.answer = await client.send(
            method, f"{PATHS[route]}x", fields, body, timeout=limit + 1.0
        )
    except Broken as exc:
        sent.problem = str(exc)
    sent.was_kept = client.was_kept
    sent.ended_at = time.monotonic()
    if sent.answer is None:
        record(f"unanswered {sent.attempt} {sent.problem}")
    else:
        whole = "" if sent.answer.complete else " cut"
        record(f"answered  {sent.attempt} {sent.status}{whole}")
    return sent


class Load:
    """Clients that send requests of one route to one machine, at a steady rate."""

    def __init__(self, host, route, rate, record, *, tenant=TENANTS[0], clients=32):
        self.host, self.route, self.rate = host, route, rate
        self.record, self.tenant = record, tenant
        self.sent = []
        self._stopped = False
        self._idle = [Client(host.frontend) for _ in range(clients)]
        self._tasks = set()

    def stop(self):
        """Send nothing more."""
        self._stopped = True

    async def run(self, seconds):
        until = time.monotonic() + seconds
        due = time.monotonic() + random.random() / self.rate
        while due < until and not self._stopped:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due += 1.0 / self.rate
            if self._idle:
                task = asyncio.create_task(self._send(self._idle.pop(0)))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=20.0)
        for client in self._idle:
            client.close()

    async def _send(self, client):
        found = await send(
            client, self.host, self.route, self.record, tenant=self.tenant
        )
        self.sent.append(found)
        self._idle.append(client)
