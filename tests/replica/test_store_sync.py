import asyncio
import random

import pytest

from amaranthferry.exceptions import StoreUnavailable
from amaranthferry.gateway.application import WATCH_WAIT
from amaranthferry.messages import ObjectChange, StoreUpdate
from amaranthferry.platform.store import (
    WATCH_TIMEOUT,
    Change,
    Changes,
    HistoryGone,
    Listing,
    Metadata,
    StoredObject,
)
from amaranthferry.replica import caches, store_sync, watching
from amaranthferry.replica.freshness import Freshness
from amaranthferry.replica.read_pace import FLEET_READ_RATE, MIN_READ_PERIOD
from amaranthferry.replica.roster import RETURN_GRACE
from amaranthferry.replica.store_sync import (
    BROADCAST_TIME,
    MIN_READ_PAUSE,
    StoreSync,
    choose_readers,
)
from amaranthferry.replica.watching import KindReader, SyncState

from ..virtual_loop import VirtualLoopPolicy
from .replica_fleet import use_virtual_time

KIND = "servers"
#: Bound on applying a change, on the deployments where it is smallest.
SMALLEST_APPLY_BOUND = 2.0


@pytest.fixture
def event_loop_policy():
    return VirtualLoopPolicy()


@pytest.fixture(autouse=True, params=range(3))
def virtual_time(request, monkeypatch):
    random.seed(request.param)
    use_virtual_time(monkeypatch)


def boot_time():
    return store_sync.boot_time()


class FakeStore:
    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 1
        self.unavailable = False
        self.silent_watches = False
        #: Whether no call is answered, not even a watch that waits already.
        self.silent = False
        self.calls = 0
        self._cuts = 0

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
        silent = self.silent_watches and wait
        cuts = self._cuts
        while self.silent or (
            boot_time() < deadline and (silent or not self._since(revision))
        ):
            if self.silent and boot_time() >= deadline + WATCH_TIMEOUT:
                raise StoreUnavailable("No answer.", remedy="Wait.")
            await asyncio.sleep(0.005)
            if self._cuts != cuts:
                raise StoreUnavailable("The watch was cut.", remedy="Wait.")
        if silent:
            raise StoreUnavailable("No answer.", remedy="Wait.")
        return Changes(self._since(revision), self.revision)

    def cut_watches(self):
        self._cuts += 1

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
        self.version = 0

    def replace(self, objects):
        self.objects = {item.name: item.spec for item in objects}

    def restore(self, objects):
        self.replace(objects)

    def apply(self, changes):
        self.objects.update({change.name: change.spec for change in changes})

    def mark_store_unavailable(self):
        self.unavailable += 1

    def mark_store_available(self, since):
        self.unavailable = 0


class FakeNetwork:
    """Connect StoreSync instances by function calls; hosts can be disconnected."""

    def __init__(self, hosts, *, wait=0.05, stores=None, order=0):
        self.hosts = hosts
        self.stores = stores or {host: FakeStore() for host in hosts}
        self.readers = {}
        self.caches = {host: FakeCache() for host in hosts}
        self.syncs = {}
        self.states = {}
        self.disconnected = set()
        for host in hosts:
            state = SyncState(KIND, self.caches[host], Freshness(5.0))
            self.states[host] = state
            reader = self.readers[host] = KindReader(self.stores[host], state)
            link = self._link(host)
            sync = StoreSync(host, state, reader, link, wait=wait, order=order)
            sync.set_hosts(hosts)
            self.syncs[host] = sync

    def _link(self, sender):
        def send(host, message):
            if {sender, host} & self.disconnected or host not in self.syncs:
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

    def calls(self):
        return sum(store.calls for store in self.stores.values())

    async def run(self, seconds):
        tasks = [asyncio.ensure_future(sync.run()) for sync in self.syncs.values()]
        await asyncio.sleep(seconds)
        ended = [task for task in tasks if task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for task in ended:
            task.result()


def hosts(count):
    return tuple(f"host-{number}" for number in range(count))


def non_readers(names):
    readers = choose_readers(names)
    return [name for name in names if name not in readers]


def test_every_host_chooses_the_same_few_readers():
    names = hosts(50)
    assert len(choose_readers(names)) == 2
    assert choose_readers(names) == choose_readers(reversed(names))


def test_small_hosts_read_for_all_only_without_capable_ones():
    names = [f"host-{number}" for number in range(137)]
    assert set(choose_readers(names, {"host-7", "host-90"})) == {"host-7", "host-90"}
    assert "host-7" in choose_readers(names, {"host-7"})
    assert choose_readers(names, set(names)) == choose_readers(names)


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


async def test_hosts_stand_in_for_silent_readers():
    network = FakeNetwork(hosts(5))
    network.disconnected = set(choose_readers(network.hosts))
    running = asyncio.ensure_future(network.run(3.0))
    while not running.done():
        await asyncio.sleep(0.1)
        ages = [network.age(name) for name in non_readers(network.hosts)]
        assert all(age is None or age < SMALLEST_APPLY_BOUND for age in ages)
    network.put("a", {"state": "draining"})


async def test_host_that_reaches_no_other_reads_the_store():
    network = FakeNetwork(hosts(5))
    name = non_readers(network.hosts)[0]
    network.disconnected = {name}
    await network.run(2.0)
    assert network.stores[name].calls > 2
    assert network.age(name) < 2 * MIN_READ_PERIOD


async def test_change_reaches_all_hosts_through_a_stand_in():
    network = FakeNetwork(hosts(6))
    network.disconnected = set(choose_readers(network.hosts))
    running = asyncio.ensure_future(network.run(3.0))
    await asyncio.sleep(2.0)
    network.put("a", {"state": "draining"})
    await asyncio.sleep(0.5)
    for name in non_readers(network.hosts):
        assert network.caches[name].objects == {"a": {"state": "draining"}}
    await running


async def test_hosts_that_hear_nothing_get_at_once_what_a_stand_in_has_read():
    network = FakeNetwork(hosts(15), wait=WATCH_WAIT)
    running = asyncio.ensure_future(network.run(6.0))
    await asyncio.sleep(1.0)
    hearing = non_readers(network.hosts)[0]
    for name, store in network.stores.items():
        store.silent = name != hearing
    network.put("a", {"state": "draining"})
    async with asyncio.timeout(4.0):
        while not network.caches[hearing].objects:
            await asyncio.sleep(0.01)
    await asyncio.sleep(BROADCAST_TIME)
    late = [name for name in network.hosts if not network.caches[name].objects]
    await running
    assert late == []


async def test_outage_of_the_store_costs_a_bounded_number_of_calls():
    network = FakeNetwork(hosts(60))
    running = asyncio.ensure_future(network.run(4.0))
    await asyncio.sleep(0.5)
    calls = network.calls()
    for store in network.stores.values():
        store.unavailable = True
    await asyncio.sleep(3.0)
    readers = 2 * 3.0 / MIN_READ_PAUSE
    assert network.calls() - calls < 3.0 * FLEET_READ_RATE + readers
    await running


async def test_change_is_applied_in_time_though_the_readers_have_just_been_refused():
    network = FakeNetwork(hosts(15), wait=6.0)
    running = asyncio.ensure_future(network.run(6.0))
    readers = choose_readers(network.hosts)
    await asyncio.sleep(1.0)
    while network.age(readers[0]) > 0.05:
        await asyncio.sleep(0.01)
    for name in readers:
        network.stores[name].unavailable = True
        network.stores[name].cut_watches()
    network.put("a", {"state": "draining"})
    await asyncio.sleep(SMALLEST_APPLY_BOUND)
    late = [name for name in network.hosts if not network.caches[name].objects]
    await running
    assert late == []


async def test_reader_whose_watch_was_cut_learns_at_once_that_the_store_answers():
    network = FakeNetwork(hosts(8), wait=6.0)
    running = asyncio.ensure_future(network.run(3.0))
    await asyncio.sleep(1.0)
    second = choose_readers(network.hosts)[1]
    network.stores[second].cut_watches()
    await asyncio.sleep(0.05)
    assert network.states[second].store_lost
    await asyncio.sleep(0.5)
    lost = network.states[second].store_lost
    await running
    assert not lost


def test_removal_long_after_an_outage_is_not_deferred(monkeypatch):
    clock = [100.0]
    for module in (watching, caches):
        monkeypatch.setattr(module, "boot_time", lambda: clock[0])
    cache = caches.ServerCache(lambda: None)
    state = SyncState(KIND, cache, Freshness(5.0))
    entry = {"service": "a", "address": "b:1", "zone": "z", "slots": 1, "born": 1}
    item = StoredObject(Metadata("s", 1), {**entry, "state": "ready", "sequence": 1})
    state.apply_list(Listing([item], 1), clock[0])
    assert cache.roster.instances
    state.mark_unavailable("Refused.")
    clock[0] += 1.0
    # The readers have state that is confirmed again, and pass it on.
    state.confirm(clock[0])
    clock[0] += RETURN_GRACE
    gone = Change(StoredObject(Metadata("s", 2)), deleted=True)
    state.apply_changes(Changes([gone], 2), clock[0])
    assert not cache.roster.instances


async def test_readers_that_the_store_refuses_are_replaced():
    network = FakeNetwork(hosts(40))
    refused = [*choose_readers(network.hosts), *non_readers(network.hosts)[::2]]
    running = asyncio.ensure_future(network.run(6.0))
    await asyncio.sleep(0.5)
    for name in refused:
        network.stores[name].unavailable = True
    while not running.done():
        await asyncio.sleep(0.1)
        assert max(network.age(name) for name in network.hosts) < 3.5
    stood_in = [n for n in non_readers(network.hosts) if network.stores[n].calls > 3]
    assert 1 <= len(stood_in) <= 10


@pytest.mark.parametrize("spread", [0.0, 0.1])
async def test_large_change_reaches_all_hosts_without_reads(spread):
    network = FakeNetwork(hosts(50))
    running = asyncio.ensure_future(network.run(2.5))
    await asyncio.sleep(1.0 + spread)
    calls = {name: network.stores[name].calls for name in network.hosts}
    routes = {"routes": [{"name": f"route-{n}", "n": n * 7919} for n in range(800)]}
    network.put("main", routes)
    await asyncio.sleep(0.3)
    for name in network.hosts:
        assert network.caches[name].objects == {"main": routes}
    await asyncio.sleep(0.9)
    for name in non_readers(network.hosts):
        assert network.stores[name].calls == calls[name]
    await running


def test_removal_after_a_late_answer_is_not_deferred(monkeypatch):
    clock = [100.0]
    for module in (watching, caches):
        monkeypatch.setattr(module, "boot_time", lambda: clock[0])
    cache = caches.ServerCache(lambda: None)
    state = SyncState(KIND, cache, Freshness(5.0))
    entry = {"service": "a", "address": "b:1", "zone": "z", "slots": 1, "born": 1}
    item = StoredObject(Metadata("s", 1), {**entry, "state": "ready", "sequence": 1})
    state.apply_list(Listing([item], 1), clock[0])
    state.mark_late("No answer for 0.5 s.")
    assert state.store_lost
    gone = Change(StoredObject(Metadata("s", 2)), deleted=True)
    state.apply_changes(Changes([gone], 2), clock[0])
    assert not state.store_lost
    assert not cache.roster.instances


async def test_host_asks_again_if_nobody_stands_in_for_a_reader_that_was_lost():
    network = FakeNetwork(hosts(4), wait=WATCH_WAIT)
    name = non_readers(network.hosts)[0]
    sync = network.syncs[name]
    running = asyncio.ensure_future(network.run(4.0))
    await asyncio.sleep(1.0)
    # Among so many hosts its own turn to read comes only after 20 s.
    sync._others = tuple(f"other-{number}" for number in range(400))
    lost = StoreUpdate(0, KIND, 1, 1, 0.0, (), store_lost=True)
    sync.receive(choose_readers(network.hosts)[0], lost)
    await asyncio.sleep(SMALLEST_APPLY_BOUND)
    assert network.age(name) < SMALLEST_APPLY_BOUND
    await running


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


def listing(revision, era=0, *names):
    return Listing(
        [StoredObject(Metadata(name, revision), {}) for name in names], revision, era
    )


def test_list_of_a_newer_era_replaces_a_higher_revision():
    cache = FakeCache()
    state = SyncState(KIND, cache, Freshness(5.0))
    state.apply_list(listing(100, 1, "a"), 0.0)
    state.apply_list(listing(85, 2, "b"), 1.0)
    assert (state.position, set(cache.objects)) == ((2, 85), {"b"})
    assert state.changes_since(85) == ()
    assert state.changes_since(84) is None


def test_answers_of_an_older_era_change_and_confirm_nothing():
    cache = FakeCache()
    state = SyncState(KIND, cache, Freshness(5.0))
    state.apply_list(listing(85, 2, "b"), 1.0)
    state.apply_list(listing(100, 1, "a"), 5.0)
    state.apply_changes(Changes([], 100, 1), 5.0)
    assert (state.position, set(cache.objects)) == ((2, 85), {"b"})
    assert state.freshness.age(5.0) == 4.0


class ScriptedStore:
    """Answer each call by functions of the call's number."""

    def __init__(self, *, watch, listing):
        self._watch, self._listing = watch, listing
        self.calls = 0

    async def list(self, kind):
        self.calls += 1
        return self._listing(self.calls)

    async def watch(self, kind, revision, *, wait):
        self.calls += 1
        return self._watch(self.calls)


def history_gone(call):
    raise HistoryGone("Gone.", remedy="List.")


async def test_list_that_went_back_without_a_new_era_confirms_nothing():
    store = ScriptedStore(watch=history_gone, listing=lambda call: listing(85, 1))
    state = SyncState(KIND, FakeCache(), Freshness(5.0))
    state.apply_list(listing(100, 1, "a"), boot_time())
    await asyncio.sleep(0.05)
    assert not await KindReader(store, state).read()
    assert state.position == (1, 100)
    assert state.freshness.age(boot_time()) >= 0.05


async def test_changes_of_a_newer_era_are_not_applied_to_the_older():
    cache = FakeCache()
    store = ScriptedStore(
        watch=lambda call: Changes([], 120, 2),
        listing=lambda call: listing(120, 2, "b"),
    )
    state = SyncState(KIND, cache, Freshness(5.0))
    state.apply_list(listing(100, 1, "a"), boot_time())
    assert await KindReader(store, state).read()
    assert (state.position, set(cache.objects)) == ((2, 120), {"b"})


@pytest.mark.parametrize(
    "watch",
    [
        history_gone,
        lambda call: Changes([], 100, 1),
        lambda call: Changes([], 100 + call, 1),
        lambda call: Changes([], 10, call),
    ],
    ids=["always-410", "empty", "empty-and-moving", "a-new-era-each-time"],
)
async def test_no_answer_makes_a_reader_call_without_a_pause(watch):
    store = ScriptedStore(
        watch=watch, listing=lambda call: listing(100 + call, call if call > 1 else 1)
    )
    state = SyncState(KIND, FakeCache(), Freshness(5.0))
    reader = KindReader(store, state)
    sync = StoreSync("host-0", state, reader, lambda host, message: True, wait=0.8)
    sync.set_hosts(["host-0"])
    running = asyncio.ensure_future(sync.run())
    await asyncio.sleep(1.0)
    running.cancel()
    # A pause of 0.05 s or more follows each read, which takes up to two calls.
    assert store.calls <= 2 * (1 + 1.0 / 0.05)


@pytest.mark.parametrize("at", [0.05, 0.2], ids=["pausing", "waiting"])
async def test_update_of_another_era_is_not_applied_and_makes_the_host_read(at):
    network = FakeNetwork(hosts(3))
    running = asyncio.ensure_future(network.run(at + 0.8))
    await asyncio.sleep(at)
    name = non_readers(network.hosts)[0]
    sync, state = network.syncs[name], network.states[name]
    change = ObjectChange("b", 90, False, {})
    before = network.stores[name].calls
    sync.receive("peer", StoreUpdate(0, KIND, 0, 90, 0.0, (change,), 0))
    assert "b" in network.caches[name].objects
    sync.receive("peer", StoreUpdate(0, KIND, 0, 95, 0.0, (change,), 1))
    assert state.era == 0
    await asyncio.sleep(0.7)
    assert network.stores[name].calls > before
    await running


async def test_calm_fleet_reads_seldom_and_stays_current():
    network = FakeNetwork(hosts(8), wait=WATCH_WAIT)
    other = FakeNetwork(hosts(8), wait=WATCH_WAIT, stores=network.stores, order=1)
    for name in network.hosts:
        network.readers[name].on_read = other.states[name].confirm_unchanged
        other.readers[name].on_read = network.states[name].confirm_unchanged
    running = asyncio.gather(network.run(6.5), other.run(6.5))
    await asyncio.sleep(0.5)
    calls = network.calls()
    while not running.done():
        await asyncio.sleep(0.1)
        for kind in (network, other):
            assert max(kind.age(name) for name in kind.hosts) < 0.6 * 5.0
    # Two kinds, each with two watches that may end, and five confirming reads.
    assert network.calls() - calls <= 2 * (2 + 5)


async def test_change_is_known_in_time_though_the_watches_are_silent():
    network = FakeNetwork(hosts(6), wait=WATCH_WAIT)
    for store in network.stores.values():
        store.silent_watches = True
    running = asyncio.ensure_future(network.run(4.0))
    await asyncio.sleep(1.0)
    network.put("a", {"state": "draining"})
    await asyncio.sleep(2.0)
    for name in network.hosts:
        assert network.caches[name].objects == {"a": {"state": "draining"}}
    await running


@pytest.mark.parametrize("spec", [{"n": 10**30}, {"text": "x" * 5_000, "n": 10**30}])
async def test_change_that_cannot_be_sent_does_not_end_the_updates(spec):
    network = FakeNetwork(hosts(4))
    running = asyncio.ensure_future(network.run(1.5))
    await asyncio.sleep(0.2)
    network.put("odd", spec)
    await asyncio.sleep(0.3)
    network.put("a", {"state": "ready"})
    await asyncio.sleep(0.7)
    for name in network.hosts:
        assert network.caches[name].objects == {"odd": spec, "a": {"state": "ready"}}
    await running


async def test_host_that_finds_the_others_requests_updates_at_once():
    network = FakeNetwork(hosts(4), wait=WATCH_WAIT)
    name = non_readers(network.hosts)[0]
    network.syncs[name].set_hosts([name])
    network.caches[choose_readers(network.hosts)[0]].version = 2
    running = asyncio.ensure_future(network.run(1.0))
    await asyncio.sleep(0.3)
    assert network.age(name) is not None
    network.syncs[name].set_hosts(network.hosts)
    await asyncio.sleep(0.3)
    assert network.age(name) is None
    await running


async def hear(update_of, *, method):
    """Let a host with version 1 hear one reply, and return its state."""
    cache = FakeCache()
    cache.version = 1
    state = SyncState(KIND, cache, Freshness(5.0))
    state.apply_list(listing(5, 2), boot_time())

    def send(host, message):
        loop = asyncio.get_running_loop()
        loop.call_soon(sync.receive, host, update_of(message))
        return True

    sync = StoreSync("host-0", state, None, send, wait=0.05)
    sync.set_hosts(["host-0", "host-1"])
    await method(sync)
    return state


def reply(message, *, era=2, changes=None):
    return StoreUpdate(message.number, KIND, 5, 7, 0.0, changes, era, version=2)


def ask(sync):
    return sync._request_update("host-1")


async def test_reply_without_its_changes_does_not_stop_the_host_until_it_has_read():
    state = await hear(reply, method=ask)
    assert state.freshness.age(boot_time()) is not None


async def test_newer_version_of_a_host_in_an_older_era_stops_the_older_state():
    state = await hear(lambda message: reply(message, era=1), method=ask)
    assert state.freshness.age(boot_time()) is None


@pytest.mark.parametrize("era", [1, 2])
async def test_starting_host_does_not_serve_an_older_version_than_it_hears_of(era):
    state = await hear(
        lambda message: reply(message, era=era), method=StoreSync.hear_version
    )
    assert state.freshness.age(boot_time()) is None
