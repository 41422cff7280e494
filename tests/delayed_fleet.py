"""Run the reducers of many hosts in virtual time, each with little processor time.

Every event takes time on its host, so a host that gets more than it can handle lags
behind. Servers prefill one prompt at a time and refuse what exceeds their slots.
"""

import heapq
import random
from collections import Counter, deque

from amaranthferry import events
from amaranthferry.catalog import BudgetLimits, Catalog, Engine, RoutedService
from amaranthferry.catalog import deployment_of as compile_catalog
from amaranthferry.core import HostState, reduce
from amaranthferry.effects import (
    Dispatch,
    ReportBackoff,
    ReportFallbackStart,
    ReportReturn,
    SendToHost,
    SettleRequest,
)

from .reducer_fleet import ENGINES, TICK, instance

SHARD = "engines/0"
#: Time that a message takes between two hosts, or a host and a server.
LATENCY = 0.002
PREFILL_TIME = 0.1
DECODE_TIME = 0.6
PROGRESS_PERIOD = 0.5
SILENCE_TIMEOUT = 0.35
OBJECTIVE = 1.0
PATIENCE = 10.0
BUCKET = 0.5


class Server:
    """Prefill prompts one after the other, decode them side by side."""

    def __init__(self, slots):
        self.slots = slots
        self.running = 0
        self.prefilled_at = 0.0


class DelayedFleet:
    """Let callers send requests at a rate, and count what they get by half second."""

    def __init__(self, *, hosts, servers, slots, event_cost, send_cost, seed=1):
        self.now = 0.0
        self.random = random.Random(seed)
        self.servers = {f"s-{n}": Server(slots) for n in range(servers)}
        names = tuple(f"host-{n}" for n in range(hosts))
        deployment = _deployment(self.servers, slots)
        self.hosts = {
            name: HostState(
                host=name,
                zone="z",
                deployment=deployment,
                hosts=names,
                coordinator_timeout=SILENCE_TIMEOUT,
            )
            for name in names
        }
        self.names = names
        self.event_cost, self.send_cost = event_cost, send_cost
        self.rate = 0.0
        self.counts = {}
        self.lateness = {}
        self._heap = []
        self._order = 0
        self._inboxes = {name: deque() for name in names}
        self._busy = dict.fromkeys(names, 0.0)
        self._callers = {}
        self._sent = 0
        for name in names:
            self._later(self.random.random() * TICK, self._deliver, name, events.Ticked)
        self._later(0.0, self._arrive)

    @property
    def coordinator(self):
        return self.hosts[self.names[0]].coordinator_of(SHARD)

    def count(self, name, value=1):
        bucket = int(self.now / BUCKET) * BUCKET
        self.counts.setdefault(bucket, Counter())[name] += value

    def run(self, until):
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.now = until

    def stall(self, host, seconds):
        """Let a host do nothing for a while."""
        self._busy[host] = max(self._busy[host], self.now) + seconds

    def _later(self, at, call, *args):
        self._order += 1
        heapq.heappush(self._heap, (at, self._order, call, args))

    def _arrive(self):
        if self.rate:
            self._sent += 1
            self._send(f"r{self._sent}", self.now)
        pause = self.random.expovariate(self.rate) if self.rate else TICK
        self._later(self.now + pause, self._arrive)

    def _send(self, request, first_sent):
        """Let a caller send a request, perhaps again."""
        if self.now == first_sent:
            self.count("asked")
        request_id = f"{request}/{self.now:.6f}"
        self._callers[request_id] = (request, first_sent)
        host = self.random.choice(self.names)

        def arrival(now):
            return events.RequestArrived(
                now=now,
                request_id=request_id,
                pool=ENGINES,
                workspace="",
                tier="0",
                work_class="cancelled-0",
                timeout=max(0.1, first_sent + PATIENCE - now),
                prompt_tokens=3_000,
                output_tokens=100,
                objective=OBJECTIVE,
                max_attempts=2,
                repeatable=True,
            )

        self._deliver(host, arrival)

    def _deliver(self, host, make_event):
        """Queue an event at a host; it is made when the host comes to it."""
        inbox = self._inboxes[host]
        inbox.append((self.now, make_event))
        if len(inbox) == 1:
            self._later(max(self.now, self._busy[host]), self._handle, host)

    def _handle(self, host):
        if self._busy[host] > self.now:
            self._later(self._busy[host], self._handle, host)
            return
        inbox = self._inboxes[host]
        delivered, make_event = inbox.popleft()
        if host == self.coordinator:
            late = self.now - delivered
            bucket = int(self.now / BUCKET) * BUCKET
            self.lateness[bucket] = max(self.lateness.get(bucket, 0.0), late)
        if make_event is events.Ticked:
            self._later(self.now + TICK, self._deliver, host, events.Ticked)
        effects = reduce(self.hosts[host], make_event(now=self.now))
        sent = sum(
            isinstance(effect, SendToHost) and effect.host != host for effect in effects
        )
        self._busy[host] = self.now + self.event_cost + self.send_cost * sent
        for effect in effects:
            self._perform(host, effect)
        if inbox:
            self._later(self._busy[host], self._handle, host)

    def _perform(self, host, effect):
        if isinstance(effect, SendToHost):
            message = effect.message

            def received(now):
                return events.PeerReceived(now=now, sender=host, message=message)

            delay = 0.0 if effect.host == host else LATENCY
            self._later(self.now + delay, self._deliver, effect.host, received)
        elif isinstance(effect, Dispatch):
            self._dispatch(host, effect)
        elif isinstance(effect, SettleRequest):
            self._settle(effect)
        elif isinstance(effect, ReportFallbackStart):
            self.count("fallbacks")
        elif isinstance(effect, ReportBackoff):
            self.count(f"backoff {effect.reason}")
        elif isinstance(effect, ReportReturn):
            self.count(f"returned {effect.reason}")

    def _dispatch(self, host, effect):
        server = self.servers[effect.server]
        request_id = effect.request_id
        self.count("dispatched")
        if server.running >= server.slots:
            self.count("rejected")

            def refused(now):
                return events.DispatchRefused(
                    now=now, request_id=request_id, by_server=True
                )

            self._later(self.now + 2 * LATENCY, self._deliver, host, refused)
            return
        server.running += 1
        server.prefilled_at = max(self.now, server.prefilled_at) + PREFILL_TIME
        first = server.prefilled_at
        self._later(first, self._first_token, host, request_id)
        self._later(first + DECODE_TIME, self._finish, host, request_id, server)

    def _first_token(self, host, request_id):
        request, first_sent = self._callers[request_id]
        on_time = self.now - first_sent <= OBJECTIVE
        self.count("in time" if on_time else "late")

        def seen(now):
            return events.FirstTokenSeen(now=now, request_id=request_id)

        def progressed(now):
            return events.TokensSeen(now=now, request_id=request_id, output_tokens=80)

        self._deliver(host, seen)
        self._later(self.now + PROGRESS_PERIOD, self._deliver, host, progressed)

    def _finish(self, host, request_id, server):
        server.running -= 1

        def finished(now):
            return events.DispatchFinished(
                now=now, request_id=request_id, output_tokens=100
            )

        self._deliver(host, finished)

    def _settle(self, effect):
        request, first_sent = self._callers[effect.request_id]
        self.count(f"refused {effect.reason}")
        again = self.now + max(0.1, effect.retry_after)
        if again < first_sent + PATIENCE:
            self._later(again, self._send, request, first_sent)


def _deployment(servers, slots):
    engine = Engine(slots=slots, kv_tokens=1_000_000, models=("m",))
    service = RoutedService(name=ENGINES, engine=engine)
    catalog = Catalog(version=1, services={ENGINES: service})
    instances = {name: instance(name, slots=slots) for name in servers}
    return compile_catalog(catalog, instances, BudgetLimits())
