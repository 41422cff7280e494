"""Run the agents of several hosts with a store and messages in virtual time."""

import asyncio
import itertools
import random

import msgspec

from amaranthferry.catalog import Instance
from amaranthferry.config import Deployment
from amaranthferry.exceptions import AnswerLost, StoreUnavailable, VersionConflict
from amaranthferry.messages import ObjectChange
from amaranthferry.platform.desired import read_order
from amaranthferry.platform.settings import HostSettings
from amaranthferry.rollout.agent import RolloutAgent
from amaranthferry.standins.deployment import settings_text
from amaranthferry.state import HostState
from amaranthferry.types import ServerState

TICK = 0.05
ADDRESSES = [f"127.0.0.1:{port}" for port in range(4)]


def bounds():
    text = settings_text("h", store=ADDRESSES[0], addresses=ADDRESSES, rollouts=True)
    return HostSettings.from_text(text).bounds


class Store:
    """Hold the orders, and tell the hosts that read them."""

    def __init__(self, agents):
        self._agents = agents
        self._revision = itertools.count(1)
        self.items = {}
        self.writes = []
        #: Refuses calls of the hosts that are named.
        self.down_for = set()
        #: Applies a write and loses its answer.
        self.loses_answers = False
        #: Hosts that hear of no change.
        self.deaf = set()

    def put(self, name, spec, status=None):
        self.items[name] = [next(self._revision), spec, status]
        self.tell(name)

    def remove(self, name):
        del self.items[name]
        change = ObjectChange(name, next(self._revision), True, None)
        for host, agent in self._agents.items():
            if host not in self.deaf:
                agent.cache.apply([change])

    def tell(self, name, only=None):
        revision, spec, status = self.items[name]
        contents = {"spec": spec, "status": status}
        change = ObjectChange(name, revision, False, contents)
        for host, agent in self._agents.items():
            if host not in self.deaf and only in (None, host):
                agent.cache.apply([change])

    def state(self, name):
        status = self.items[name][2]
        return None if status is None else status["state"]


class HostStore:
    """Call the store from one host."""

    def __init__(self, host, store):
        self._host, self._store = host, store

    def _check(self):
        if self._host in self._store.down_for:
            raise StoreUnavailable("The store is down.", remedy="Wait.")

    async def write(self, order, state):
        self._check()
        item = self._store.items.get(order.name)
        if item is None or item[0] != order.revision:
            raise VersionConflict("Another revision.", remedy="Read it.")
        status = {"state": str(state), "to": order.written_version}
        self._store.writes.append((self._host, str(state)))
        self._store.put(order.name, item[1], status)
        if self._store.loses_answers:
            raise AnswerLost("The answer was lost.", remedy="Read it.")
        return await self.read(order)

    async def read(self, order):
        self._check()
        item = self._store.items.get(order.name)
        if item is None:
            return None
        found = read_order(order.name, item[1], item[2])
        return msgspec.structs.replace(found, revision=item[0])


class Agents:
    """Run the agents of several hosts, and answer requests as the servers would."""

    def __init__(self, hosts=3, *, services=("s",), rate=60, seed=1):
        self.random = random.Random(seed)
        self.now = 100.0
        self.rate = rate
        self.services = services
        self.agents, self.states = {}, {}
        self.store = Store(self.agents)
        self.instances = {}
        self.cut = set()
        self.paused = set()
        self.failures = {}
        self.routes = ("a", "b")
        self.running_old = {}
        self.exposed = dict.fromkeys(services, 0)
        self.requests = dict.fromkeys(services, 0)
        self.old_requests = dict.fromkeys(services, 0)
        self.tasks = []
        self.sent = []
        self._inbox = []
        self._numbers = itertools.count()
        for service in services:
            for number in range(3):
                self.add_server(service, f"{service}-old-{number}", "v1", 1)
        for number in range(hosts):
            self.add_host(f"host-{number}")

    def add_server(self, service, name, version, born):
        self.instances[name] = Instance(
            server=name,
            service=service,
            address="127.0.0.1:1",
            zone="z",
            slots=4,
            state=ServerState.LIVE,
            incarnation=born,
            version=version,
        )
        for agent in self.agents.values():
            agent.drained(self.instances)

    def add_host(self, name):
        state = HostState(host=name, zone="z", deployment=Deployment(name=""))
        agent = RolloutAgent(
            state,
            bounds(),
            read=read_order,
            store=HostStore(name, self.store),
            send=lambda host, message: self._send(name, host, message),
            spawn=lambda coro: self.tasks.append(asyncio.ensure_future(coro)),
            refresh=lambda: agent.drained(self.instances),
            clock=lambda: self.now,
        )
        self.agents[name], self.states[name] = agent, state
        agent.drained(self.instances)
        self.running_old[name] = 0
        self.set_hosts()

    def set_hosts(self):
        for state in self.states.values():
            state.now = self.now
            state.replace_hosts(tuple(sorted(self.agents)), ())

    def kill(self, name, *, noticed=True):
        """End a host; the others notice at once, or never."""
        del self.agents[name], self.states[name]
        if noticed:
            self.set_hosts()

    def start(self, service="s", *, version="v2", duration=12, servers=3):
        for number in range(servers):
            self.add_server(service, f"{service}-{version}-{number}", version, 2)
        spec = {"service": service, "to": version, "durationS": duration}
        self.store.put(service, spec)

    def _send(self, sender, host, message):
        self.sent.append((sender, host, message))
        if (sender, host) not in self.cut and host in self.agents:
            self._inbox.append((sender, host, message))
        return True

    def decider(self, service="s"):
        found = [h for h, a in self.agents.items() if service in a.deciders]
        return found[0] if found else None

    def stages(self, service="s"):
        return {
            host: str(agent.participants[service].policy.stage)
            for host, agent in self.agents.items()
            if service in agent.participants
        }

    async def run(self, seconds, until=lambda: False):
        """Advance the time; return how long it took until something held."""
        began = self.now
        while self.now < began + seconds and not until():
            self.now += TICK
            for service in self.services:
                self._serve(service)
            for host, agent in list(self.agents.items()):
                if host not in self.paused:
                    agent.tick()
            inbox, self._inbox = self._inbox, []
            for sender, host, message in inbox:
                if host in self.paused:
                    self._inbox.append((sender, host, message))
                elif host in self.agents:
                    self.agents[host].receive(sender, message)
            for _ in range(5):
                await asyncio.sleep(0)
        return self.now - began

    def _serve(self, service):
        for host, agent in self.agents.items():
            if host in self.paused:
                continue
            expected = self.rate * TICK / len(self.agents)
            while self.random.random() < expected:
                expected -= 1
                self._request(service, host, agent)

    def _request(self, service, host, agent):
        number = f"r{next(self._numbers)}"
        self.requests[service] += 1
        policy = agent.gate.policies.get(service)
        use_new = False
        if policy is not None:
            use_new, use_old = policy.choose(number, is_first=True)
            use_new = use_new and bool(policy.new)
            if use_new:
                policy.exposed += 1
        if use_new:
            self.exposed[service] += 1
        if policy is not None and not use_new:
            targets = policy.old - policy.forbidden
            self.old_requests[service] += any("-old-" in name for name in targets)
        participant = agent.participants.get(service)
        if participant is None:
            return
        route = self.random.choice(self.routes)
        bad = self.failures.get((service, route), self.failures.get(service, 0.0))
        share = bad if use_new else 0.003
        failed = self.random.random() < share
        took = 0.05 * self.random.uniform(0.7, 1.4)
        participant.evidence.record_first(route, use_new, took)
        participant.evidence.record_end(route, use_new, failed=failed, elapsed=took)

    async def finish(self, service="s", limit=16):
        """Run until the store says that the rollout is over."""
        return await self.run(
            limit,
            lambda: self.store.state(service) in ("completed", "rolled_back"),
        )
