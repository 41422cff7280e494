"""Run the reducers of several hosts together, in virtual time and without a network."""

from collections import deque

import msgspec

from amaranthferry import events
from amaranthferry.catalog import BudgetLimits, Catalog, Engine, Instance, RoutedService
from amaranthferry.catalog import deployment_of as compile_catalog
from amaranthferry.core import HostState, reduce
from amaranthferry.effects import Dispatch, ReportSignal, SendToHost, SettleRequest
from amaranthferry.types import PoolId, ServerState

ENGINES, LEDGER = PoolId("engines"), PoolId("ledger")
TICK = 0.05


def instance(name, service=ENGINES, **fields):
    fields = {"zone": "z", "slots": 4, "state": ServerState.LIVE, **fields}
    fields = {"incarnation": 1, "address": f"{name}:1", **fields}
    return Instance(server=name, service=service, **fields)


def deployment(instances, *, version=1):
    services = {
        ENGINES: RoutedService(
            name=ENGINES, engine=Engine(slots=4, kv_tokens=100_000, models=("m",))
        ),
        LEDGER: RoutedService(name=LEDGER),
    }
    catalog = Catalog(version=version, services=services)
    return compile_catalog(
        catalog, {item.server: item for item in instances}, BudgetLimits()
    )


class ReducerFleet:
    """Deliver messages at once; tests decide how each dispatch ends."""

    def __init__(self, instances, *, hosts=3):
        self.now = 0.0
        self.instances = instances
        names = tuple(f"host-{number}" for number in range(hosts))
        self.hosts = {
            name: HostState(
                host=name, zone="z", deployment=deployment(instances), hosts=names
            )
            for name in names
        }
        self.dispatched = []
        self.settled = {}
        self.signals = []
        self.lost_messages = ()
        #: Time that each dispatch takes; None means that it does not end by itself.
        self.service_time = None
        self._running = []
        #: Called with the host and the dispatch; returns the events that follow it.
        self.on_dispatch = lambda host, effect: []
        self._queue = deque()
        self._count = 0

    def apply(self, host, event):
        self._queue.append((host, event))
        while self._queue:
            name, due = self._queue.popleft()
            state = self.hosts[name]
            for effect in reduce(state, due):
                self._perform(name, effect)

    def _perform(self, host, effect):
        if isinstance(effect, SendToHost):
            if isinstance(effect.message, self.lost_messages) and effect.host != host:
                return
            received = events.PeerReceived(
                now=self.now, sender=host, message=effect.message
            )
            self._queue.append((effect.host, received))
        elif isinstance(effect, Dispatch):
            self.dispatched.append((host, effect.server, self.now))
            for event in self.on_dispatch(host, effect):
                self._queue.append((host, event))
            if self.service_time is not None:
                self._running.append((self.now + self.service_time, host, effect))
        elif isinstance(effect, SettleRequest):
            self.settled[effect.request_id] = effect
        elif isinstance(effect, ReportSignal):
            self.signals.append((host, effect))

    def send(self, host, *, pool=ENGINES, rank=0, **fields):
        """Let a caller's request arrive, and return its id."""
        self._count += 1
        fields = {
            "workspace": "",
            "tier": str(rank),
            "work_class": f"cancelled-{rank}",
            "timeout": 10.0,
            "prompt_tokens": 100,
            "output_tokens": 10,
            "objective": 1.0,
            "max_attempts": 2,
            "repeatable": True,
            **fields,
        }
        request_id = f"r{self._count}"
        event = events.RequestArrived(
            now=self.now, request_id=request_id, pool=pool, **fields
        )
        self.apply(host, event)
        return request_id

    def advance(self, seconds, *, between=lambda: None):
        """Tick every host until the time has passed."""
        end = self.now + seconds
        while self.now < end - TICK / 2:
            self.now += TICK
            self._finish_due()
            for name in self.hosts:
                self.apply(name, events.Ticked(now=self.now))
            between()

    def _finish_due(self):
        due = [item for item in self._running if item[0] <= self.now]
        self._running = [item for item in self._running if item[0] > self.now]
        for _, host, effect in due:
            done = {"now": self.now, "request_id": effect.request_id}
            self.apply(host, events.FirstTokenSeen(**done))
            self.apply(host, events.DispatchFinished(**done))

    def list_servers(self, instances, *, hosts=None):
        """Let hosts learn another list of servers from the store."""
        self.instances = instances
        for name in hosts or tuple(self.hosts):
            applied = events.SettingsApplied(
                now=self.now, deployment=deployment(instances)
            )
            self.apply(name, applied)

    def restart(self, host):
        """Replace a host's state by that of a new process."""
        old = self.hosts[host]
        self.hosts[host] = HostState(
            host=host,
            zone="z",
            deployment=deployment(self.instances),
            hosts=old.hosts,
            now=self.now,
        )

    def servers_used(self, *, since=0.0, host=None):
        return {
            server
            for name, server, at in self.dispatched
            if at >= since and host in (None, name)
        }


def replaced(item, **fields):
    return msgspec.structs.replace(item, **fields)
