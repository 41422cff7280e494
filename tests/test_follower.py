import random

import msgspec
import pytest

from amaranthferry import publish
from amaranthferry.events import PeerReceived
from amaranthferry.follower_events import RootRead
from amaranthferry.follower_reducer import reduce
from amaranthferry.follower_state import (
    MAX_BACKOFF,
    NEAR_HOSTS,
    RELIEF_SPAN,
    WATCH_TIMEOUT,
    WATCHERS,
)
from amaranthferry.objects import MemoryObjectStore
from amaranthferry.root import ROOT_KEY, decode_root, encode_root
from amaranthferry.settings_messages import (
    SettingsChunk,
    SettingsRoot,
    SettingsRootRequest,
    SettingsVersionNotice,
)

from .follower_fleet import Fleet
from .settings_fakes import author, deployment_of, with_weight

IN_FORCE_SECONDS = 10.0
FIRST = deployment_of()
CONTROL_BYTES_PER_SECOND = 19 * 1024


async def change(store, number, deployment=FIRST):
    wanted = with_weight(deployment, "workspace-00001", float(number))
    return (await publish.apply(store, wanted, author(f"op{number}"))).unwrap()


async def fleet_of(hosts, deployment=FIRST):
    store = MemoryObjectStore()
    (await publish.apply(store, deployment, author("ana"))).unwrap()
    fleet = Fleet(store, hosts)
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.versions() == {1}
    assert fleet.current() == set(fleet.followers)
    return fleet


def never_went_back(fleet):
    for applied in fleet.applied.values():
        versions = [version for _, version in applied]
        assert versions == sorted(set(versions))
    return True


@pytest.mark.parametrize("hosts", [1, 2, 8, 19, 32, 128, 370])
async def test_change_is_in_force_everywhere_in_time(hosts):
    fleet = await fleet_of(hosts)
    await change(fleet.store, 2)
    moved_at = fleet.now
    fleet.root_moved()
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.versions() == {2}
    last = max(applied[-1][0] for applied in fleet.applied.values())
    assert last - moved_at < IN_FORCE_SECONDS
    assert never_went_back(fleet)


async def test_platform_calls_do_not_grow_with_hosts():
    calls = {}
    for hosts in (8, 32, 128):
        fleet = await fleet_of(hosts)
        fleet.calls.clear()
        fleet.run(40.0)
        idle = fleet.calls.total()
        fleet.calls.clear()
        await change(fleet.store, 2)
        fleet.root_moved()
        fleet.run(40.0)
        calls[hosts] = (idle, fleet.calls.total() - idle)
    assert calls[8] == calls[32] == calls[128]
    idle, per_change = calls[8]
    assert idle <= WATCHERS * (40.0 / WATCH_TIMEOUT + 1)
    assert per_change <= 2 * WATCHERS


@pytest.mark.parametrize("hosts", [8, 32, 128])
async def test_idle_bytes_stay_in_the_control_budget(hosts):
    fleet = await fleet_of(hosts)
    fleet.bytes.clear()
    fleet.messages.clear()
    fleet.partners.clear()
    fleet.run(60.0)
    asked = [f.near for f in fleet.followers.values()]
    answered = [sum(n in near for near in asked) for n in fleet.followers]
    assert max(map(len, fleet.partners.values())) <= NEAR_HOSTS + max(answered)
    assert max(answered) <= 4 * NEAR_HOSTS
    assert max(fleet.bytes.values()) / 60.0 < CONTROL_BYTES_PER_SECOND / 100
    assert fleet.messages.total() <= hosts * 60.0


async def test_new_host_in_an_outage_takes_the_newest_from_its_peers():
    fleet = await fleet_of(19)
    await change(fleet.store, 2)
    fleet.root_moved()
    fleet.run(IN_FORCE_SECONDS)
    fleet.outage = True
    fleet.start("new")
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.followers["new"].version == 2
    assert fleet.followers["new"].is_current(fleet.now)


async def test_restarted_host_with_a_stale_platform_read_waits_for_its_peers():
    """Its first read shows version 1 while its peers have version 2 in force."""
    fleet = await fleet_of(19)
    stale = fleet.store.objects[ROOT_KEY]
    await change(fleet.store, 2)
    fleet.root_moved()
    fleet.run(IN_FORCE_SECONDS)
    newest, fleet.store.objects[ROOT_KEY] = fleet.store.objects[ROOT_KEY], stale
    fleet.start("h005")
    follower = fleet.followers["h005"]
    for _ in range(400):
        fleet.run(0.01)
        assert not follower.is_current(fleet.now) or follower.version == 2
    assert follower.is_current(fleet.now)
    fleet.store.objects[ROOT_KEY] = newest


async def test_stale_read_never_lowers_a_version():
    fleet = await fleet_of(3)
    stale = fleet.store.objects[ROOT_KEY]
    await change(fleet.store, 2)
    fleet.root_moved()
    fleet.run(IN_FORCE_SECONDS)
    for name in fleet.followers:
        event = RootRead(
            now=fleet.now, asked_at=fleet.now, value=stale.value, revision=99
        )
        fleet.take(name, event)
        root = SettingsRoot(stale.value)
        fleet.take(name, PeerReceived(now=fleet.now, sender="h000", message=root))
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.versions() == {2}
    assert never_went_back(fleet)


async def test_host_back_from_a_long_pause_is_stale_until_it_hears():
    fleet = await fleet_of(19)
    fleet.run(1.0)
    fleet.paused["h007"] = fleet.now + 300.0
    await change(fleet.store, 2)
    fleet.root_moved()
    fleet.run(299.9)
    follower = fleet.followers["h007"]
    assert not follower.is_current(fleet.now)
    for _ in range(1_000):
        fleet.run(0.01)
        assert not follower.is_current(fleet.now) or follower.version == 2
    assert follower.is_current(fleet.now)
    assert never_went_back(fleet)


async def test_cut_off_host_stops_after_the_freshness_bound():
    fleet = await fleet_of(19)
    freshness = FIRST.limits.freshness
    fleet.cut.add("h003")
    fleet.run(freshness / 2)
    assert "h003" in fleet.current()
    fleet.run(freshness / 2 + WATCH_TIMEOUT)
    assert fleet.current() == set(fleet.followers) - {"h003"}
    fleet.cut.clear()
    fleet.run(IN_FORCE_SECONDS)
    assert "h003" in fleet.current()


async def test_outage_of_the_platform_alone_stops_nobody():
    fleet = await fleet_of(32)
    fleet.outage = True
    fleet.run(600.0)
    assert fleet.current() == set(fleet.followers)
    fleet.calls.clear()
    fleet.run(40.0)
    relieving = WATCHERS * RELIEF_SPAN / MAX_BACKOFF
    most = (WATCHERS + relieving) * (40.0 / MAX_BACKOFF + 1)
    assert 0 < fleet.calls.total() <= most
    fleet.outage = False
    await change(fleet.store, 2)
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.versions() == {2}


async def test_watchers_cut_from_the_platform_are_relieved():
    fleet = await fleet_of(19)
    watchers = {n for n, f in fleet.followers.items() if f.is_watcher(fleet.now)}
    assert len(watchers) == WATCHERS
    reachable = fleet._is_reachable
    fleet._is_reachable = lambda name: name not in watchers and reachable(name)
    await change(fleet.store, 2)
    fleet.root_moved()
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.versions() == {2}


async def test_lost_watchers_are_replaced():
    fleet = await fleet_of(19)
    for name in [n for n, f in fleet.followers.items() if f.is_watcher(fleet.now)]:
        del fleet.followers[name]
    for name in fleet.followers:
        fleet._show_peers(name)
    await change(fleet.store, 2)
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.versions() == {2}


async def test_damaged_chunk_from_a_peer_is_fetched_elsewhere():
    fleet = await fleet_of(8)
    await change(fleet.store, 2)
    send = fleet._send

    def damage(name, host, message):
        if isinstance(message, SettingsChunk) and name != "h000":
            message = SettingsChunk(message.digest, b"x" + message.value)
        send(name, host, message)

    fleet._send = damage
    fleet.root_moved()
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.versions() == {2}


async def test_lost_messages_delay_but_do_not_stop():
    fleet = await fleet_of(19)
    send, chance = fleet._send, random.Random(7)
    fleet._send = lambda *args: chance.random() < 0.1 or send(*args)
    await change(fleet.store, 2)
    fleet.root_moved()
    fleet.run(2 * IN_FORCE_SECONDS)
    assert fleet.versions() == {2}


async def test_settings_that_cannot_be_read_leave_the_older_in_force_and_stop_work():
    fleet = await fleet_of(3)
    stored = fleet.store.objects[ROOT_KEY]
    root = decode_root(stored.value)
    entry = msgspec.structs.replace(root.latest, version=2)
    bad = msgspec.structs.replace(
        root, version=2, base=root.servers[0], recent=(entry,)
    )
    await fleet.store.put(ROOT_KEY, encode_root(bad), expected=stored.version)
    fleet.root_moved()
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.versions() == {1}
    assert {name for name, _ in fleet.rejected} == set(fleet.followers)
    fleet.run(FIRST.limits.freshness)
    assert fleet.current() == set()


async def test_false_news_of_a_version_does_not_block_the_next():
    fleet = await fleet_of(3)
    news = PeerReceived(now=fleet.now, sender="h001", message=SettingsVersionNotice(9))
    fleet.take("h000", news)
    await change(fleet.store, 2)
    fleet.root_moved()
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.versions() == {2}
    fleet.run(2 * FIRST.limits.freshness)
    assert fleet.current() == set(fleet.followers)


async def test_change_at_size_moves_one_chunk_to_each_host(monkeypatch):
    monkeypatch.setattr(publish, "WRITES_PER_SECOND", 100_000)
    deployment = deployment_of(27_000, servers=910)
    fleet = await fleet_of(3, deployment)
    fleet.bytes.clear()
    decoded = {n: f.assembler.decoded_chunks for n, f in fleet.followers.items()}
    await change(fleet.store, 2, deployment)
    fleet.root_moved()
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.versions() == {2}
    for name, follower in fleet.followers.items():
        assert follower.assembler.decoded_chunks - decoded[name] == 1


def root_asks(fleet, version):
    news = PeerReceived(
        now=fleet.now, sender="h001", message=SettingsVersionNotice(version)
    )
    effects = reduce(fleet.followers["h000"], news)
    asks = [
        e for e in effects if isinstance(getattr(e, "message", 0), SettingsRootRequest)
    ]
    return len(asks)


async def test_news_right_after_other_news_is_not_passed_over():
    fleet = await fleet_of(3)
    assert [root_asks(fleet, version) for version in (2, 2, 3)] == [1, 0, 1]
