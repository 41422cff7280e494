"""Run the reducers of many hosts before a few plain servers, in virtual time.

Servers run some requests at once, queue more in order of arrival, and reject what exceeds
the queue. Handling an event takes no time; messages and dispatches do.
"""

import heapq
import random
from collections import Counter, deque

import msgspec

from amaranthferry import events
from amaranthferry.catalog import BudgetLimits, Catalog, RoutedService
from amaranthferry.catalog import deployment_of as compile_catalog
from amaranthferry.core import HostState, reduce
from amaranthferry.effects import Dispatch, SendToHost, SettleRequest
from amaranthferry.messages import PermitRefusal
from amaranthferry.types import Outcome

from .reducer_fleet import LEDGER, TICK, instance

SHARD = f"{LEDGER}/0"
SLOTS = 6
QUEUE = 24
RUN_TIME = 0.09
#: Run times vary by this part around their mean.
VARIATION = 0.5
#: Time that a message takes between two hosts, or a host and a server.
LATENCY = 0.001
OBJECTIVE = 0.4
CONNECT_TIMEOUT = 0.3
COORDINATOR_TIMEOUT = 0.35


class Kind(msgspec.Struct, frozen=True):
    name: str
    rank: int
    timeout: float
    max_attempts: int
    repeatable: bool
    share: float


URGENT = Kind("urgent", 0, 1.5, 2, True, 0.4)
LOWER = Kind("lower", 1, 4.0, 1, False, 0.6)


class Job(msgspec.Struct, eq=False):
    host: str
    request_id: str
    ended: bool = False


class Server:
    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.alive = True
        self.running = set()
        self.queue = deque()

    def take(self, job):
        """Run, queue or reject a request."""
        if len(self.running) < SLOTS:
            self._run(job)
        elif len(self.queue) < QUEUE:
            self.queue.append(job)
        else:
            return False
        return True

    def _run(self, job):
        self.running.add(id(job))
        low, high = 1 - VARIATION, 1 + VARIATION
        spread = self.fleet.random.uniform(low, high)
        self.fleet.later(RUN_TIME * spread, self._finish, job)

    def _finish(self, job):
        if id(job) not in self.running:
            return
        self.running.remove(id(job))
        if not job.ended:
            self.fleet.answer(job)
        self._next()

    def abort(self, job):
        """Drop a request whose connection was closed."""
        job.ended = True
        if job in self.queue:
            self.queue.remove(job)
        elif id(job) in self.running:
            self.running.remove(id(job))
            self._next()

    def _next(self):
        if self.queue and len(self.running) < SLOTS:
            self._run(self.queue.popleft())


class PlainFleet:
    """Let callers send requests at a rate, and count what becomes of them."""

    def __init__(self, *, hosts, servers=3, load=1.0, seed=1, shared=True, older=()):
        self.now = 0.0
        self.random = random.Random(seed)
        self.load = load
        self.shared = shared
        self.servers = {f"s-{n}": Server(self, f"s-{n}") for n in range(servers)}
        self.names = tuple(f"host-{n}" for n in range(hosts))
        self.older = set(older)
        self.live = list(self.names)
        self.counts = Counter()
        self.settled = {}
        #: Requests by id: kind, host and deadline.
        self.requests = {}
        self.jobs = {}
        #: When each request was first dispatched, and what servers took, in order.
        self.dispatched_at = {}
        self.taken = []
        self.answered = {}
        #: Messages from the first host to the second are lost.
        self.is_lost = lambda sender, receiver: False
        self.stalled = set()
        self._heap = []
        self._order = 0
        self._held = {}
        self.hosts = {name: self._state(name) for name in self.names}
        for name in self.names:
            self.later(self.random.random() * TICK, self._tick, name)
        self.later(0.0, self._arrive)

    @property
    def slots(self):
        return SLOTS * sum(server.alive for server in self.servers.values())

    @property
    def coordinator(self):
        return self.hosts[self.live[0]].assigned_coordinator(SHARD)

    @property
    def ordered_hosts(self):
        return {name for name in self.live if SHARD in self.hosts[name].shared_orders}

    def _state(self, name):
        return HostState(
            host=name,
            zone="z",
            deployment=self.deployment(name),
            hosts=tuple(self.live),
            now=self.now,
            coordinator_timeout=COORDINATOR_TIMEOUT,
        )

    def deployment(self, name):
        hosts = len(self.names) if self.shared and name not in self.older else 0
        listed = [server.name for server in self.servers.values() if server.alive]
        instances = {name: instance(name, LEDGER, slots=SLOTS) for name in listed}
        services = {LEDGER: RoutedService(name=LEDGER)}
        limits = BudgetLimits(
            hosts=hosts, repeat_ratio=0.05, repeat_burst=1.0, repeat_refill=0.05
        )
        return compile_catalog(Catalog(version=1, services=services), instances, limits)

    def run(self, seconds):
        until = self.now + seconds
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.now = until

    def later(self, delay, call, *args):
        self._order += 1
        heapq.heappush(self._heap, (self.now + delay, self._order, call, args))

    def _tick(self, name):
        if name not in self.live:
            return
        self.later(TICK, self._tick, name)
        self.apply(name, events.Ticked(now=self.now))

    def _arrive(self):
        capacity = self.slots / RUN_TIME
        if self.load:
            self.send(self.random.choice(self.live), self._choose_kind())
        rate = self.load * capacity
        pause = self.random.expovariate(rate) if rate else TICK
        self.later(pause, self._arrive)

    def _choose_kind(self):
        return URGENT if self.random.random() < URGENT.share else LOWER

    def send(self, host, kind):
        self.counts["requests"] += 1
        request_id = f"r{len(self.requests)}"
        self.requests[request_id] = (kind, host, self.now + kind.timeout, self.now)
        never_repeated = "finished" if not kind.repeatable else "cancelled"
        arrival = events.RequestArrived(
            now=self.now,
            request_id=request_id,
            workspace="",
            tier=str(kind.rank),
            work_class=f"{never_repeated}-{kind.rank}",
            pool=LEDGER,
            timeout=kind.timeout,
            prompt_tokens=0,
            output_tokens=0,
            objective=OBJECTIVE,
            max_attempts=kind.max_attempts,
            repeatable=kind.repeatable,
        )
        self.apply(host, arrival)
        self.later(kind.timeout, self._expire, request_id)
        return request_id

    def _expire(self, request_id):
        if request_id in self.settled or request_id in self.answered:
            return
        host = self.requests[request_id][1]
        job = self.jobs.get(request_id)
        due = {"now": self.now, "request_id": request_id}
        if job is None:
            self.apply(host, events.DeadlinePassed(**due))
            return
        server, job = job
        server.abort(job)
        self.apply(host, events.DispatchFailed(**due, timed_out=True))

    def apply(self, host, event):
        """Let a host handle an event, once it isn't suspended any more."""
        if host not in self.live:
            return
        if host in self.stalled:
            if not isinstance(event, events.Ticked):
                self._held.setdefault(host, []).append(event)
            return
        event = msgspec.structs.replace(event, now=self.now)
        for effect in reduce(self.hosts[host], event):
            self._perform(host, effect)

    def resume(self, host):
        self.stalled.discard(host)
        for event in self._held.pop(host, ()):
            self.apply(host, event)

    def _perform(self, host, effect):
        if isinstance(effect, SendToHost):
            self._send_message(host, effect)
        elif isinstance(effect, Dispatch):
            self._dispatch(host, effect)
        elif isinstance(effect, SettleRequest):
            self.settled[effect.request_id] = effect
            kind = self.requests[effect.request_id][0]
            key = effect.reason or effect.outcome
            self.counts[f"{kind.name} {key}"] += 1
            if effect.outcome is Outcome.NOT_RUN:
                self.counts["refused"] += 1
                self.counts["refused without time"] += effect.retry_after <= 0

    def _check_refusal(self, host):
        """Count refusals by a decider that has slots free."""
        state = self.hosts[host]
        decider = state.fallbacks.get(SHARD) or state.coordinators[SHARD]
        self.counts["refused beside a free slot"] += any(
            record.accepts_work
            and record.blocked_until <= state.now
            and len(record.permits) < record.slots
            for record in decider.servers.values()
        )

    def _send_message(self, host, effect):
        received = events.PeerReceived(
            now=self.now, sender=host, message=effect.message
        )
        if isinstance(effect.message, PermitRefusal):
            self._check_refusal(host)
        if effect.host == host:
            self.later(0.0, self.apply, host, received)
            return
        self.counts["messages"] += 1
        if effect.host not in self.live:
            lost = events.PeerLost(now=self.now, host=effect.host)
            self.later(0.0, self.apply, host, lost)
        elif not self.is_lost(host, effect.host):
            self.later(LATENCY, self.apply, effect.host, received)

    def _dispatch(self, host, effect):
        server = self.servers[effect.server]
        self.dispatched_at.setdefault(effect.request_id, self.now)
        if not server.alive:
            refused = events.DispatchRefused(now=self.now, request_id=effect.request_id)
            self.later(LATENCY, self.apply, host, refused)
            return
        self.later(LATENCY, self._arrive_at, server, host, effect.request_id)
        self.jobs[effect.request_id] = (server, Job(host, effect.request_id))

    def _arrive_at(self, server, host, request_id):
        if request_id not in self.jobs:
            return
        job = self.jobs[request_id][1]
        if job.ended:
            return
        self.counts["arrivals"] += 1
        if server.take(job):
            self.taken.append(request_id)
            return
        self.counts["rejected"] += 1
        self.counts["rejected of older hosts"] += host in self.older
        del self.jobs[request_id]
        refused = events.DispatchRefused(
            now=self.now, request_id=request_id, by_server=True
        )
        self.later(LATENCY, self.apply, host, refused)

    def answer(self, job):
        self.later(LATENCY, self._deliver_answer, job)

    def _deliver_answer(self, job):
        request_id = job.request_id
        if job.ended or request_id in self.settled:
            return
        self.jobs.pop(request_id, None)
        kind, _, _, sent = self.requests[request_id]
        self.answered[request_id] = self.now - sent
        self.counts[f"{kind.name} answered"] += 1
        self.counts[f"{kind.name} in time"] += self.now - sent <= OBJECTIVE
        done = {"now": self.now, "request_id": request_id}
        self.apply(job.host, events.FirstTokenSeen(**done))
        self.apply(job.host, events.DispatchFinished(**done))

    # Changes of the fleet.

    def set_members(self, *, seen_by=None):
        """Let hosts learn which hosts are live."""
        hosts = tuple(self.live)
        for name in seen_by or hosts:
            changed = events.MembersChanged(now=self.now, hosts=hosts)
            self.apply(name, changed)

    def kill(self, *names):
        """End hosts with the requests that they hold."""
        for name in names:
            self.live.remove(name)
        for request_id, (_, host, _, _) in self.requests.items():
            if host in names and request_id in self.jobs:
                server, job = self.jobs.pop(request_id)
                server.abort(job)

    def start(self, *names):
        for name in names:
            self.live.append(name)
            self.hosts[name] = self._state(name)
            self.later(self.random.random() * TICK, self._tick, name)

    def end_server(self, name):
        """Let a server stop; its connections are refused until hosts learn of it."""
        server = self.servers[name]
        server.alive = False
        for request_id, (where, job) in list(self.jobs.items()):
            if where is server:
                job.ended = True
                del self.jobs[request_id]
                broken = events.DispatchFailed(now=self.now, request_id=request_id)
                self.later(LATENCY, self.apply, job.host, broken)
        server.running.clear()
        server.queue.clear()

    def list_servers(self):
        for name in self.live:
            applied = events.SettingsApplied(
                now=self.now, deployment=self.deployment(name)
            )
            self.apply(name, applied)
