"""Run the synchronization of many hosts in virtual time, under a random plan of faults."""

import asyncio
import random
from collections import defaultdict
from enum import Enum

import msgspec

from amaranthferry.exceptions import StoreUnavailable
from amaranthferry.gateway.application import WATCH_WAIT
from amaranthferry.platform.store import (
    CALL_TIMEOUT,
    WATCH_TIMEOUT,
    Change,
    Changes,
    HistoryGone,
    Listing,
    Metadata,
    StoredObject,
)
from amaranthferry.replica import read_pace, store_sync, watching
from amaranthferry.replica.budget import AgeBudget
from amaranthferry.replica.freshness import Freshness
from amaranthferry.replica.store_sync import StoreSync
from amaranthferry.replica.watching import KindReader, SyncState

KINDS = ("config", "servers")
APPLY_BOUND = 2.0
REVOKE_BOUND = 5.0
BUDGET = AgeBudget.from_bounds(apply=APPLY_BOUND, revoke=REVOKE_BOUND)
CONTACT_TIME = 3.0
#: What a disruption of the store itself adds to the bound on a change.
PARTITION_TIME = 5.0
#: Longest of the one-way delays of messages and of the store's usual answers.
MESSAGE_DELAY = 0.01
ANSWER_DELAY = 0.004
SLOW_ANSWER_DELAY = 0.24
MUTED_TIME = 1.0


class Fault(Enum):
    """Define what may happen to a host."""

    STORE_SILENT = "store silent"
    STORE_REFUSES = "store refuses"
    STORE_SLOW = "store slow"
    CUT_OFF = "cut off from the other hosts"
    DEAF = "hears no other host"
    UNHEARD = "is heard by no other host"
    DELAYED = "messages take up to a second more"
    SUSPENDED = "suspended"
    KILLED = "killed"


#: Faults between hosts, which excuse no host that reaches the store.
PEER_FAULTS = frozenset({Fault.CUT_OFF, Fault.DEAF, Fault.UNHEARD})
#: Time after which the other hosts drop one that is killed, or add one that starts.
DETECTION_TIME = 1.5
JOIN_TIME = 0.3
MAX_EXTRA_DELAY = 1.0


class Store:
    """Hold the objects of two kinds with one counter of revisions."""

    def __init__(self):
        self.revision = 1
        self.objects = {kind: {} for kind in KINDS}
        self.history = []
        self.compacted = 0
        self.muted = False
        self.disrupted_at = float("-inf")
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        self.revision += 1
        item = StoredObject(Metadata(name, self.revision), spec)
        self.objects[kind][name] = item
        self.history.append((kind, Change(item)))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def mute(self):
        """Let watches hear nothing for a second, then drop the history."""
        self.muted = True
        self.disrupted_at = asyncio.get_running_loop().time() + MUTED_TIME
        asyncio.get_running_loop().call_later(MUTED_TIME, self._compact)

    def _compact(self):
        self.compacted = self.revision
        self.muted = False
        self.wake()

    def since(self, kind, revision):
        return [
            change
            for item_kind, change in self.history
            if item_kind == kind and change.object.revision > revision
        ]


class StoreLink:
    """Call the store as one host, with the faults that this host has."""

    def __init__(self, store, faults):
        self._store = store
        self._faults = faults

    async def list(self, kind):
        await self._answer(CALL_TIMEOUT)
        store = self._store
        return Listing(list(store.objects[kind].values()), store.revision)

    async def watch(self, kind, revision, *, wait):
        store = self._store
        try:
            async with asyncio.timeout(wait + WATCH_TIMEOUT):
                await self._answer(None)
                async with asyncio.timeout(wait) as waiting:
                    while revision >= store.compacted and (
                        store.muted or not store.since(kind, revision)
                    ):
                        if not wait:
                            break
                        await store.changed.wait()
                    waiting.reschedule(None)
                    await self._answer(None)
        except TimeoutError as exc:
            if Fault.STORE_SILENT in self._faults:
                raise StoreUnavailable("No answer.", remedy="Wait.") from exc
        if revision < store.compacted:
            raise HistoryGone("Gone.", remedy="List.")
        return Changes(store.since(kind, revision), store.revision)

    async def _answer(self, timeout):
        slow = Fault.STORE_SLOW in self._faults
        await asyncio.sleep(SLOW_ANSWER_DELAY if slow else ANSWER_DELAY)
        while Fault.SUSPENDED in self._faults:
            await asyncio.sleep(0.01)
        if Fault.STORE_REFUSES in self._faults:
            raise StoreUnavailable("Refused.", remedy="Wait.")
        if Fault.STORE_SILENT in self._faults:
            if timeout is None:
                await asyncio.sleep(3_600)
            await asyncio.sleep(timeout)
            raise StoreUnavailable("No answer.", remedy="Wait.")


class Cache:
    """Keep the newest version of the configuration, as hosts do."""

    def __init__(self, on_version):
        self.version = 0
        self._on_version = on_version

    def replace(self, objects):
        self.apply(objects)

    def restore(self, objects):
        self.apply(objects)

    def apply(self, objects):
        for item in objects:
            if item.name == "main" and item.spec > self.version:
                self.version = item.spec
                self._on_version(item.spec)

    def mark_store_unavailable(self):
        pass

    def mark_store_available(self, since):
        pass


class Finding(msgspec.Struct, frozen=True):
    """Report a version that a host has not had in time or lost again, or an old state."""

    host: str
    version: int
    confirmed: float
    problem: str


class ReplicaFleet:
    """Run hosts, and record when each has which version."""

    def __init__(self, hosts, rng):
        self.hosts = [f"host-{number}" for number in range(hosts)]
        self.rng = rng
        self.store = Store()
        self.faults = defaultdict(set)
        #: Times of each host's faults, for the verdict; ends are open while they last.
        self.spans = defaultdict(list)
        self.syncs = {}
        self.tasks = {}
        self.versions = defaultdict(list)
        self.confirmed = {}
        self.findings = []
        self.live = set(self.hosts)

    def now(self):
        return asyncio.get_running_loop().time()

    def start(self, host):
        caches = [Cache(lambda v: self._record(host, v)), Cache(lambda v: None)]
        states = [
            SyncState(kind, cache, Freshness(REVOKE_BOUND))
            for kind, cache in zip(KINDS, caches, strict=True)
        ]
        link = StoreLink(self.store, self.faults[host])
        readers = [KindReader(link, state) for state in states]
        readers[0].on_read = states[1].confirm_unchanged
        readers[1].on_read = states[0].confirm_unchanged
        for order, (kind, state, reader) in enumerate(
            zip(KINDS, states, readers, strict=True)
        ):
            sync = StoreSync(
                host,
                state,
                reader,
                self._sender(host),
                wait=WATCH_WAIT,
                budget=BUDGET,
                order=order,
            )
            sync.set_hosts(sorted(self.live | {host}))
            self.syncs[host, kind] = sync
            self.tasks[host, kind] = asyncio.ensure_future(sync.run())

    def stop(self, host):
        self.versions[host].clear()
        for kind in KINDS:
            self.tasks[host, kind].cancel()

    def _record(self, host, version):
        seen = self.versions[host]
        if seen and version < seen[-1][0]:
            self.findings.append(Finding(host, version, 0.0, "older again"))
        seen.append((version, self.now()))

    def _set_live(self, host, alive):
        """Have the hosts that run learn that another one has started or is gone."""
        if (Fault.KILLED in self.faults[host]) is alive:
            return
        (self.live.add if alive else self.live.discard)(host)
        for (other, _), sync in self.syncs.items():
            if Fault.KILLED not in self.faults[other]:
                sync.set_hosts(sorted(self.live | {other}))

    def _sender(self, sender):
        def send(host, message):
            apart = {Fault.CUT_OFF, Fault.UNHEARD} & self.faults[sender]
            if apart or {Fault.CUT_OFF, Fault.KILLED} & self.faults[host]:
                return Fault.KILLED not in self.faults[host]
            if Fault.DELAYED in self.faults[sender] | self.faults[host]:
                delay = self.rng.uniform(0.0, MAX_EXTRA_DELAY)
            else:
                delay = self.rng.uniform(0.0, MESSAGE_DELAY)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._deliver, sender, host, message)
            return True

        return send

    def _deliver(self, sender, host, message):
        if Fault.SUSPENDED in self.faults[sender] | self.faults[host]:
            loop = asyncio.get_running_loop()
            loop.call_later(MESSAGE_DELAY, self._deliver, sender, host, message)
        elif not {Fault.CUT_OFF, Fault.DEAF, Fault.KILLED} & self.faults[host]:
            self.syncs[host, message.kind].receive(sender, message)

    async def inject(self, host, fault, duration):
        if self.faults[host]:
            return
        began = self.now()
        self.faults[host].add(fault)
        span = [began, float("inf")]
        if fault not in PEER_FAULTS:
            self.spans[host].append(span)
        loop = asyncio.get_running_loop()
        if fault is Fault.KILLED:
            self.stop(host)
            loop.call_later(DETECTION_TIME, self._set_live, host, False)
        self.store.wake()
        await asyncio.sleep(duration)
        self.faults[host].discard(fault)
        if fault is Fault.KILLED:
            self.start(host)
            loop.call_later(JOIN_TIME, self._set_live, host, True)
        span[1] = self.now()

    async def put_version(self):
        version = len(self.confirmed) + 1
        self.store.put("config", "main", version)
        self.confirmed[version] = self.now()
        await asyncio.sleep(APPLY_BOUND)
        if self.now() - self.store.disrupted_at < CONTACT_TIME:
            await asyncio.sleep(PARTITION_TIME)
        at = self.confirmed[version]
        for host in self.hosts:
            if self._in_touch(host) and not self._has(host, version):
                problem = f"not in force after {self.now() - at:.1f} s"
                self.findings.append(Finding(host, version, at, problem))

    async def judge_ages(self, lost_at):
        """Find hosts whose state is too old though another one reads for them.

        Until one does, a bound may pass from when the store was lost, and a period of
        requests until all others have asked it.
        """
        if self.now() < lost_at + APPLY_BOUND + BUDGET.request_period:
            return
        for host in self.hosts:
            age = self.syncs[host, "config"].state.freshness.age(self.now())
            if age >= APPLY_BOUND:
                problem = f"state is {age:.1f} s old"
                self.findings.append(Finding(host, 0, self.now(), problem))

    def _in_touch(self, host):
        """Return whether a host has reached the store for the time of contact."""
        since = self.now() - CONTACT_TIME
        return not any(end > since for _, end in self.spans[host])

    def _has(self, host, version):
        return any(seen >= version for seen, _ in self.versions[host])


async def play(seed, *, hosts, seconds=20.0):
    """Play a random plan of faults and changes; return what was found."""
    rng = random.Random(seed)
    fleet = ReplicaFleet(hosts, rng)
    fleet.store.put("config", "main", 0)
    for host in fleet.hosts:
        fleet.start(host)
    await asyncio.sleep(CONTACT_TIME)
    tasks = []
    end = fleet.now() + seconds
    readers = fleet.syncs[fleet.hosts[0], "config"].readers
    while fleet.now() < end:
        await asyncio.sleep(rng.uniform(0.05, 1.0))
        if rng.random() < 0.15:
            share = rng.choice((0.1, 0.5, 0.97))
            chosen = [host for host in fleet.hosts if rng.random() < share]
            chosen += readers if rng.random() < 0.6 else []
            fault, duration = rng.choice(list(Fault)), rng.uniform(0.3, 6.0)
            tasks += [
                asyncio.ensure_future(fleet.inject(host, fault, duration))
                for host in dict.fromkeys(chosen)
            ]
        if rng.random() < 0.05:
            fleet.store.mute()
        if rng.random() < 0.2:
            fleet.store.put("servers", f"s-{rng.randrange(5)}", rng.random())
        tasks.append(asyncio.ensure_future(fleet.put_version()))
    await asyncio.gather(*tasks)
    for host in fleet.hosts:
        fleet.stop(host)
    return fleet.findings


async def play_with_few_hosts_at_the_store(seed, *, hosts, reaching, fault):
    """Have all hosts but a few lose the store while versions change."""
    rng = random.Random(seed)
    fleet = ReplicaFleet(hosts, rng)
    fleet.store.put("config", "main", 0)
    for host in fleet.hosts:
        fleet.start(host)
    await asyncio.sleep(2 * CONTACT_TIME)
    readers = fleet.syncs[fleet.hosts[0], "config"].readers
    others = [host for host in fleet.hosts if host not in readers]
    began = fleet.now()
    kept = rng.sample(others, reaching)
    tasks = [
        asyncio.ensure_future(fleet.inject(host, fault, 8.0))
        for host in fleet.hosts
        if host not in kept
    ]
    for _ in range(12):
        await asyncio.sleep(rng.uniform(0.3, 0.7))
        tasks.append(asyncio.ensure_future(fleet.put_version()))
        tasks.append(asyncio.ensure_future(fleet.judge_ages(began)))
    await asyncio.gather(*tasks)
    for host in fleet.hosts:
        fleet.stop(host)
    return fleet.findings


def use_virtual_time(monkeypatch):
    """Have the synchronization read the clock of the running loop."""
    for module in (store_sync, watching):
        monkeypatch.setattr(
            module, "boot_time", lambda: asyncio.get_running_loop().time()
        )
    monkeypatch.setattr(read_pace, "random", SeededRandom)


class SeededRandom:
    """Make generators whose numbers follow from the global seed."""

    @staticmethod
    def Random():  # noqa: N802
        return random.Random(random.random())
