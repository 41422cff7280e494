import asyncio

from amaranthferry.exceptions import StoreUnavailable
from amaranthferry.gateway.freshness import Freshness, boot_time
from amaranthferry.gateway.store_sync import StoreSync, choose_readers
from amaranthferry.gateway.watching import KindReader, SyncState
from amaranthferry.messages import ObjectChange
from amaranthferry.platform.store import (
    Change,
    Changes,
    Listing,
    Metadata,
    StoredObject,
)

KIND = "servers"


class FakeStore:
    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 1
        self.unavailable = False
        self.calls = 0

    def put(self, name, spec):
        self.revision += 1
        item = StoredObject(Metadata(name, self.revision), spec)
        self.objects[name] = item
        self.history.append(Change(item))

    async def list(self, kind):
        self._call()
        return Listing(list(self.objects.values()), self.revision)

    async def watch(self, kind, revision, *, wait):
        self._call()
        deadline = boot_time() + wait
        while boot_time() < deadline and not self._since(revision):
            await asyncio.sleep(0.005)
        return Changes(self._since(revision), self.revision)

    def _since(self, revision):
        return [c for c in self.history if c.object.revision > revision]

    def _call(self):
        self.calls += 1
        if self.unavailable:
            raise StoreUnavailable("Unavailable.", remedy="Wait.")


class FakeCache:
    def __init__(self):
        self.objects = {}
        self.unavailable = 0

    def replace(self, objects):
        self.objects = {item.name: item.spec for item in objects}

    def apply(self, changes):
        self.objects.update({change.name: change.spec for change in changes})

    def mark_store_unavailable(self):
        self.unavailable += 1

    def mark_store_available(self):
        self.unavailable = 0


class FakeNetwork:
    """Connect StoreSync instances by function calls; hosts can be disconnected."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.stores = {host: FakeStore() for host in hosts}
        self.caches = {host: FakeCache() for host in hosts}
        self.syncs = {}
        self.states = {}
        self.disconnected = set()
        for host in hosts:
            state = SyncState(KIND, self.caches[host], Freshness(5.0))
            self.states[host] = state
            reader = KindReader(self.stores[host], state)
            sync = StoreSync(host, state, reader, self._link(host), wait=0.05)
            sync.set_hosts(hosts)
            self.syncs[host] = sync

    def _link(self, sender):
        def send(host, message):
            if {sender, host} & self.disconnected:
                return False
            loop = asyncio.get_running_loop()
            loop.call_soon(self.syncs[host].receive, sender, message)
            return True

        return send

    def put(self, name, spec):
        for store in self.stores.values():
            store.put(name, spec)

    def age(self, host):
        return self.states[host].freshness.age(boot_time())

    async def run(self, seconds):
        tasks = [asyncio.ensure_future(sync.run()) for sync in self.syncs.values()]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def hosts(count):
    return tuple(f"host-{number}" for number in range(count))


def non_readers(names):
    readers = choose_readers(names)
    return [name for name in names if name not in readers]


def test_every_host_chooses_the_same_few_readers():
    names = hosts(50)
    assert len(choose_readers(names)) == 2
    assert choose_readers(names) == choose_readers(reversed(names))


async def test_only_readers_call_the_store():
    network = FakeNetwork(hosts(8))
    await network.run(0.5)
    for name in non_readers(network.hosts):
        assert network.stores[name].calls == 1
        assert network.age(name) < 1.0


async def test_change_reaches_every_host_at_once():
    network = FakeNetwork(hosts(6))
    running = asyncio.ensure_future(network.run(0.6))
    await asyncio.sleep(0.2)
    network.put("a", {"state": "draining"})
    await asyncio.sleep(0.15)
    assert all(
        cache.objects == {"a": {"state": "draining"}}
        for cache in network.caches.values()
    )
    await running


async def test_large_change_is_read_from_the_store():
    network = FakeNetwork(hosts(4))
    running = asyncio.ensure_future(network.run(0.6))
    await asyncio.sleep(0.2)
    network.put("a", {"text": "x" * 50_000})
    await asyncio.sleep(0.2)
    assert all(
        len(cache.objects["a"]["text"]) == 50_000 for cache in network.caches.values()
    )
    await running


async def test_host_reads_the_store_when_no_reader_answers():
    network = FakeNetwork(hosts(5))
    network.disconnected = set(choose_readers(network.hosts))
    await network.run(0.5)
    for name in non_readers(network.hosts):
        assert network.stores[name].calls > 2
        assert network.age(name) < 0.3


async def test_state_is_not_confirmed_while_the_store_is_unavailable():
    network = FakeNetwork(hosts(3))
    running = asyncio.ensure_future(network.run(1.0))
    await asyncio.sleep(0.2)
    for store in network.stores.values():
        store.unavailable = True
    await asyncio.sleep(0.7)
    assert all(network.age(name) > 0.5 for name in network.hosts)
    await running


async def test_host_without_the_store_is_kept_current_by_readers():
    network = FakeNetwork(hosts(5))
    running = asyncio.ensure_future(network.run(1.5))
    await asyncio.sleep(0.2)
    name = non_readers(network.hosts)[0]
    network.stores[name].unavailable = True
    await asyncio.sleep(1.2)
    assert network.age(name) < 1.2
    await running


def test_known_changes_are_not_applied_again():
    state = SyncState(KIND, FakeCache(), Freshness(5.0))
    state.apply_list(Listing([], 5), 0.0)
    state.advance([ObjectChange("a", 7, False, 1)], 7)
    assert state.changes_since(5) == (ObjectChange("a", 7, False, 1),)
    state.advance([ObjectChange("a", 6, False, 0)], 6)
    assert state.changes_since(5) == (ObjectChange("a", 7, False, 1),)
    assert state.changes_since(4) is None
