import asyncio

from amaranthferry.exceptions import StoreUnavailable
from amaranthferry.gateway.freshness import Freshness, boot_time
from amaranthferry.gateway.news import NewsDesk, choose_readers
from amaranthferry.gateway.watching import KindBelief, KindReader
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
        self.away = False
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
        if self.away:
            raise StoreUnavailable("Away.", remedy="Wait.")


class Owner:
    def __init__(self):
        self.known = {}
        self.away = 0

    def replace(self, objects):
        self.known = {item.name: item.spec for item in objects}

    def apply(self, changes):
        self.known.update({change.name: change.spec for change in changes})

    def store_away(self):
        self.away += 1

    def store_back(self):
        self.away = 0


class Ring:
    """Join desks by function calls; links can be cut."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.stores = {host: FakeStore() for host in hosts}
        self.owners = {host: Owner() for host in hosts}
        self.desks = {}
        self.beliefs = {}
        self.cut = set()
        for host in hosts:
            belief = KindBelief(KIND, self.owners[host], Freshness(5.0))
            self.beliefs[host] = belief
            reader = KindReader(self.stores[host], belief)
            desk = NewsDesk(host, belief, reader, self._link(host), wait=0.05)
            desk.set_hosts(hosts)
            self.desks[host] = desk

    def _link(self, sender):
        def send(host, message):
            if {sender, host} & self.cut:
                return False
            loop = asyncio.get_running_loop()
            loop.call_soon(self.desks[host].receive, sender, message)
            return True

        return send

    def put(self, name, spec):
        for store in self.stores.values():
            store.put(name, spec)

    def age(self, host):
        return self.beliefs[host].freshness.age(boot_time())

    async def run(self, seconds):
        tasks = [asyncio.ensure_future(desk.run()) for desk in self.desks.values()]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def hosts(count):
    return tuple(f"host-{number}" for number in range(count))


def others(names):
    readers = choose_readers(names)
    return [name for name in names if name not in readers]


def test_readers_are_the_same_everywhere_and_few():
    names = hosts(50)
    assert len(choose_readers(names)) == 2
    assert choose_readers(names) == choose_readers(reversed(names))


async def test_only_readers_call_the_store():
    ring = Ring(hosts(8))
    await ring.run(0.5)
    for name in others(ring.hosts):
        assert ring.stores[name].calls == 1
        assert ring.age(name) < 1.0


async def test_change_reaches_every_host_at_once():
    ring = Ring(hosts(6))
    running = asyncio.ensure_future(ring.run(0.6))
    await asyncio.sleep(0.2)
    ring.put("a", {"state": "draining"})
    await asyncio.sleep(0.15)
    assert all(
        owner.known == {"a": {"state": "draining"}} for owner in ring.owners.values()
    )
    await running


async def test_large_change_is_read_from_the_store():
    ring = Ring(hosts(4))
    running = asyncio.ensure_future(ring.run(0.6))
    await asyncio.sleep(0.2)
    ring.put("a", {"text": "x" * 50_000})
    await asyncio.sleep(0.2)
    assert all(
        len(owner.known["a"]["text"]) == 50_000 for owner in ring.owners.values()
    )
    await running


async def test_host_that_no_reader_answers_reads_by_itself():
    ring = Ring(hosts(5))
    ring.cut = set(choose_readers(ring.hosts))
    await ring.run(0.5)
    for name in others(ring.hosts):
        assert ring.stores[name].calls > 2
        assert ring.age(name) < 0.3


async def test_reader_without_the_store_confirms_nothing():
    ring = Ring(hosts(3))
    running = asyncio.ensure_future(ring.run(1.0))
    await asyncio.sleep(0.2)
    for store in ring.stores.values():
        store.away = True
    await asyncio.sleep(0.7)
    assert all(ring.age(name) > 0.5 for name in ring.hosts)
    await running


async def test_host_cut_off_from_the_store_lives_on_its_readers():
    ring = Ring(hosts(5))
    running = asyncio.ensure_future(ring.run(1.5))
    await asyncio.sleep(0.2)
    name = others(ring.hosts)[0]
    ring.stores[name].away = True
    await asyncio.sleep(1.2)
    assert ring.age(name) < 1.2
    await running


def test_known_changes_are_not_applied_again():
    belief = KindBelief(KIND, Owner(), Freshness(5.0))
    belief.take_list(Listing([], 5), 0.0)
    belief.advance([ObjectChange("a", 7, False, 1)], 7)
    assert belief.changes_since(5) == (ObjectChange("a", 7, False, 1),)
    belief.advance([ObjectChange("a", 6, False, 0)], 6)
    assert belief.changes_since(5) == (ObjectChange("a", 7, False, 1),)
    assert belief.changes_since(4) is None
