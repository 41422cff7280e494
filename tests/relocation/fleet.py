"""Run entry hosts on loopback, with stand-in engines that move runs."""

import asyncio
import contextlib

import aiohttp

from amaranthferry.events import PeerReceived
from amaranthferry.gateway.options import HostOptions, RelocationOptions
from amaranthferry.relocation.messages import MoveProposal
from amaranthferry.standins.moving import EngineGroup, MovableEngine
from amaranthferry.standins.serving import serve

from ..gateway.fleet import HOST, KEY, ROUTES, SERVICES, config, entry, fleet

#: Longest time for which two runs of a request may work concurrently.
MAX_OVERLAP = 0.4
MOVES = {"moves": True, "kvBytes": 1_000, "linkMbps": 1_000, "handleTtlS": 2}


def spec_with(moves, *, resumable=False, attempts=1):
    services = [dict(item) for item in SERVICES]
    services[0]["engine"] = services[0]["engine"] | moves
    routes = [dict(item) for item in ROUTES]
    routes[0] |= {"resumable": resumable, "maxAttempts": attempts, "timeoutMs": 8000}
    return config(routes=routes) | {"services": services}


class MovingFleet:
    """Have a run move between two engines, and read its stream."""

    def __init__(self, system, group, engines):
        self.system = system
        self.group = group
        self.engines = engines
        self.app = system.hosts[0]

    @property
    def counts(self):
        """Return how often each outcome of a move was counted."""
        values = self.app.telemetry.decisions.values
        return {
            name.removeprefix("moves."): int(count)
            for (name,), count in values.items()
            if name.startswith("moves.")
        }

    async def read(self, attempt, *, deadline=4.0, until=None, tokens="100,20"):
        """Return the status, the signature, the received bytes and whether it ended."""
        headers = {
            "Host": HOST,
            "X-Amaranthferry-Attempt-Id": attempt,
            "X-Amaranthferry-Deadline-Ms": str(int(deadline * 1000)),
            "X-Amaranthferry-Key": KEY,
            "X-Amaranthferry-Model": "m",
            "X-Amaranthferry-Token-Usage": tokens,
        }
        url = self.system.urls[0] + "/ask/one"
        received = b""
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=b"text") as answer,
        ):
            signature = answer.headers.get("X-Amaranthferry-Server-Signature", "")
            try:
                async for chunk in answer.content.iter_any():
                    received += chunk
                    if until is not None and until in received:
                        return answer.status, signature, received, False
            except aiohttp.ClientPayloadError:
                return answer.status, signature, received, False
        return answer.status, signature, received, True

    async def source_of(self, attempt, *, events=2):
        """Return the engine that has created some events of a run."""
        while True:
            for engine in self.engines:
                run = engine.runs.get(attempt)
                if run is not None and run.created >= events:
                    return engine
            await asyncio.sleep(0.005)

    def target_of(self, source):
        return next(engine for engine in self.engines if engine is not source)

    def propose(self, attempt, source, target, *, patience=1.0):
        app = self.app
        message = MoveProposal(
            request_id=attempt,
            shard=app.state.requests[attempt].shard,
            source=source.name,
            target=target.name,
            patience=patience,
        )
        host = app.settings.host
        app.handle(PeerReceived(now=app.clock(), sender=host, message=message))

    async def wait_until(self, holds, *, limit=3.0):
        async with asyncio.timeout(limit):
            while not holds():
                await asyncio.sleep(0.01)

    def overlap(self):
        """Return the longest time for which two engines worked concurrently."""
        spans = sorted((work.began, work.ended) for work in self.group.work)
        pairs = zip(spans, spans[1:], strict=False)
        return max((before[1] - after[0] for before, after in pairs), default=0.0)


@contextlib.asynccontextmanager
async def moving_fleet(*, moves=MOVES, resumable=False, attempts=1, events=30):
    """Run one host and two engines that write an event each 20 ms."""
    spec = spec_with(moves, resumable=resumable, attempts=attempts)
    options = HostOptions(relocation=RelocationOptions(enabled=True))
    async with (
        contextlib.AsyncExitStack() as stack,
        fleet(engines=0, ledgers=0, hosts=0, spec=spec, options=options) as (system, _),
    ):
        group = EngineGroup(handle_lifetime=moves.get("handleTtlS", 2))
        engines = []
        for number in range(2):
            engine = MovableEngine(f"engine-{number}", group)
            engine.event_count, engine.event_interval = events, 0.02
            url = await stack.enter_async_context(serve(engine))
            engine.listen_at(url.removeprefix("http://"))
            await system.store.put(
                "servers", engine.name, entry("engines", engine.address)
            )
            engines.append(engine)
        await system.add_host("host-0")
        yield MovingFleet(system, group, engines)


def numbers(received):
    """Return the run and the number of each event; fail on a partial event."""
    assert received.endswith(b"\n\n") or not received
    events = []
    for block in received.split(b"\n\n")[:-1]:
        first, second = block.split(b"\n")
        run, _, number = second.removeprefix(b"data: ").partition(b"/")
        assert first == b"id: " + number
        events.append((int(run), int(number)))
    return events
