import random

import msgspec
import pytest

from amaranthferry import publish
from amaranthferry.events import PeerReceived
from amaranthferry.follower_events import RootRead
from amaranthferry.follower_reducer import reduce
from amaranthferry.follower_state import (
    MAX_BACKOFF,
    PARTNER_COUNT,
    TEMPORARY_WATCH_DURATION,
    WATCH_TIMEOUT,
    WATCHER_COUNT,
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

APPLY_TIMEOUT_SECONDS = 10.0
FIRST = deployment_of()
CONTROL_BYTES_PER_SECOND = 19 * 1024


async def apply_change(store, number, deployment=FIRST):
    wanted = with_weight(deployment, "workspace-00001", float(number))
    return (await publish.apply(store, wanted, author(f"op{number}"))).unwrap()


async def start_fleet(hosts, deployment=FIRST):
    store = MemoryObjectStore()
    (await publish.apply(store, deployment, author("ana"))).unwrap()
    fleet = Fleet(store, hosts)
    fleet.run(APPLY_TIMEOUT_SECONDS)
    assert fleet.versions() == {1}
    assert fleet.current_hosts() == set(fleet.followers)
    return fleet


def versions_only_increase(fleet):
    for applied in fleet.applied.values():
        versions = [version for _, version in applied]
        assert versions == sorted(set(versions))
    return True


@pytest.mark.parametrize("hosts", [1, 2, 8, 19, 32, 128, 370])
async def test_change_is_applied_on_every_host_within_the_bound(hosts):
    fleet = await start_fleet(hosts)
    await apply_change(fleet.store, 2)
    changed_at = fleet.now
    fleet.notify_root_changed()
    fleet.run(APPLY_TIMEOUT_SECONDS)
    assert fleet.versions() == {2}
    last = max(applied[-1][0] for applied in fleet.applied.values())
    assert last - changed_at < APPLY_TIMEOUT_SECONDS
    assert versions_only_increase(fleet)


async def test_platform_calls_do_not_grow_with_hosts():
    calls = {}
    for hosts in (8, 32, 128):
        fleet = await start_fleet(hosts)
        fleet.calls.clear()
        fleet.run(40.0)
        idle = fleet.calls.total()
        fleet.calls.clear()
        await apply_change(fleet.store, 2)
        fleet.notify_root_changed()
        fleet.run(40.0)
        calls[hosts] = (idle, fleet.calls.total() - idle)
    assert calls[8] == calls[32] == calls[128]
    idle, per_change = calls[8]
    assert idle <= WATCHER_COUNT * (40.0 / WATCH_TIMEOUT + 1)
    assert per_change <= 2 * WATCHER_COUNT


@pytest.mark.parametrize("hosts", [8, 32, 128])
async def test_idle_bytes_stay_within_the_control_budget(hosts):
    fleet = await start_fleet(hosts)
    fleet.bytes.clear()
    fleet.messages.clear()
    fleet.partners.clear()
    fleet.run(60.0)
    partner_lists = [f.partners for f in fleet.followers.values()]
    requester_counts = [
        sum(n in partners for partners in partner_lists) for n in fleet.followers
    ]
    assert max(map(len, fleet.partners.values())) <= PARTNER_COUNT + max(
        requester_counts
    )
    assert max(requester_counts) <= 4 * PARTNER_COUNT
    assert max(fleet.bytes.values()) / 60.0 < CONTROL_BYTES_PER_SECOND / 100
    assert fleet.messages.total() <= hosts * 60.0


async def test_new_host_fetches_the_newest_version_from_peers_in_an_outage():
    fleet = await start_fleet(19)
    await apply_change(fleet.store, 2)
    fleet.notify_root_changed()
    fleet.run(APPLY_TIMEOUT_SECONDS)
    fleet.outage = True
    fleet.start("new")
    fleet.run(APPLY_TIMEOUT_SECONDS)
    assert fleet.followers["new"].version == 2
    assert fleet.followers["new"].is_current(fleet.now)


async def test_restarted_host_with_a_stale_platform_read_waits_for_its_peers():
    """The first read returns version 1 while version 2 is active on its peers."""
    fleet = await start_fleet(19)
    stale = fleet.store.objects[ROOT_KEY]
    await apply_change(fleet.store, 2)
    fleet.notify_root_changed()
    fleet.run(APPLY_TIMEOUT_SECONDS)
    newest, fleet.store.objects[ROOT_KEY] = fleet.store.objects[ROOT_KEY], stale
    fleet.start("h005")
    follower = fleet.followers["h005"]
    for _ in range(400):
        fleet.run(0.01)
        assert not follower.is_current(fleet.now) or follower.version == 2
    assert follower.is_current(fleet.now)
    fleet.store.objects[ROOT_KEY] = newest


async def test_stale_read_never_lowers_a_version():
    fleet = await start_fleet(3)
    stale = fleet.store.objects[ROOT_KEY]
    await apply_change(fleet.store, 2)
    fleet.notify_root_changed()
    fleet.run(APPLY_TIMEOUT_SECONDS)
    for name in fleet.followers:
        event = RootRead(
            now=fleet.now, requested_at=fleet.now, value=stale.value, revision=99
        )
        fleet.handle(name, event)
        root = SettingsRoot(stale.value)
        fleet.handle(name, PeerReceived(now=fleet.now, sender="h000", message=root))
    fleet.run(APPLY_TIMEOUT_SECONDS)
    assert fleet.versions() == {2}
    assert versions_only_increase(fleet)


async def test_host_is_stale_after_a_long_pause_until_confirmed():
    fleet = await start_fleet(19)
    fleet.run(1.0)
    fleet.paused["h007"] = fleet.now + 300.0
    await apply_change(fleet.store, 2)
    fleet.notify_root_changed()
    fleet.run(299.9)
    follower = fleet.followers["h007"]
    assert not follower.is_current(fleet.now)
    for _ in range(1_000):
        fleet.run(0.01)
        assert not follower.is_current(fleet.now) or follower.version == 2
    assert follower.is_current(fleet.now)
    assert versions_only_increase(fleet)


async def test_isolated_host_becomes_stale_after_the_freshness_limit():
    fleet = await start_fleet(19)
    freshness = FIRST.limits.freshness
    fleet.isolated.add("h003")
    fleet.run(freshness / 2)
    assert "h003" in fleet.current_hosts()
    fleet.run(freshness / 2 + WATCH_TIMEOUT)
    assert fleet.current_hosts() == set(fleet.followers) - {"h003"}
    fleet.isolated.clear()
    fleet.run(APPLY_TIMEOUT_SECONDS)
    assert "h003" in fleet.current_hosts()


async def test_platform_outage_alone_makes_no_host_stale():
    fleet = await start_fleet(32)
    fleet.outage = True
    fleet.run(600.0)
    assert fleet.current_hosts() == set(fleet.followers)
    fleet.calls.clear()
    fleet.run(40.0)
    temporary_watchers = WATCHER_COUNT * TEMPORARY_WATCH_DURATION / MAX_BACKOFF
    max_calls = (WATCHER_COUNT + temporary_watchers) * (40.0 / MAX_BACKOFF + 1)
    assert 0 < fleet.calls.total() <= max_calls
    fleet.outage = False
    await apply_change(fleet.store, 2)
    fleet.run(APPLY_TIMEOUT_SECONDS)
    assert fleet.versions() == {2}


async def test_other_hosts_watch_when_watchers_cannot_reach_the_platform():
    fleet = await start_fleet(19)
    watchers = {n for n, f in fleet.followers.items() if f.is_watcher(fleet.now)}
    assert len(watchers) == WATCHER_COUNT
    reachable = fleet._is_reachable
    fleet._is_reachable = lambda name: name not in watchers and reachable(name)
    await apply_change(fleet.store, 2)
    fleet.notify_root_changed()
    fleet.run(APPLY_TIMEOUT_SECONDS)
    assert fleet.versions() == {2}


async def test_lost_watchers_are_replaced():
    fleet = await start_fleet(19)
    for name in [n for n, f in fleet.followers.items() if f.is_watcher(fleet.now)]:
        del fleet.followers[name]
    for name in fleet.followers:
        fleet._update_peers(name)
    await apply_change(fleet.store, 2)
    fleet.run(APPLY_TIMEOUT_SECONDS)
    assert fleet.versions() == {2}


async def test_damaged_chunk_from_a_peer_is_fetched_from_another_host():
    fleet = await start_fleet(8)
    await apply_change(fleet.store, 2)
    send = fleet._send

    def damage(name, host, message):
        if isinstance(message, SettingsChunk) and name != "h000":
            message = SettingsChunk(message.digest, b"x" + message.value)
        send(name, host, message)

    fleet._send = damage
    fleet.notify_root_changed()
    fleet.run(APPLY_TIMEOUT_SECONDS)
    assert fleet.versions() == {2}


async def test_lost_messages_delay_a_change_but_do_not_prevent_it():
    fleet = await start_fleet(19)
    send, rng = fleet._send, random.Random(7)
    fleet._send = lambda *args: rng.random() < 0.1 or send(*args)
    await apply_change(fleet.store, 2)
    fleet.notify_root_changed()
    fleet.run(2 * APPLY_TIMEOUT_SECONDS)
    assert fleet.versions() == {2}


async def test_undecodable_settings_keep_the_previous_version_and_become_stale():
    fleet = await start_fleet(3)
    stored = fleet.store.objects[ROOT_KEY]
    root = decode_root(stored.value)
    entry = msgspec.structs.replace(root.latest, version=2)
    bad = msgspec.structs.replace(
        root, version=2, base=root.servers[0], recent=(entry,)
    )
    await fleet.store.put(ROOT_KEY, encode_root(bad), expected=stored.version)
    fleet.notify_root_changed()
    fleet.run(APPLY_TIMEOUT_SECONDS)
    assert fleet.versions() == {1}
    assert {name for name, _ in fleet.rejected} == set(fleet.followers)
    fleet.run(FIRST.limits.freshness)
    assert fleet.current_hosts() == set()


async def test_notice_of_a_nonexistent_version_does_not_block_the_next():
    fleet = await start_fleet(3)
    notice = PeerReceived(
        now=fleet.now, sender="h001", message=SettingsVersionNotice(9)
    )
    fleet.handle("h000", notice)
    await apply_change(fleet.store, 2)
    fleet.notify_root_changed()
    fleet.run(APPLY_TIMEOUT_SECONDS)
    assert fleet.versions() == {2}
    fleet.run(2 * FIRST.limits.freshness)
    assert fleet.current_hosts() == set(fleet.followers)


async def test_change_of_a_large_deployment_decodes_one_chunk_per_host(monkeypatch):
    monkeypatch.setattr(publish, "WRITES_PER_SECOND", 100_000)
    deployment = deployment_of(27_000, servers=910)
    fleet = await start_fleet(3, deployment)
    fleet.bytes.clear()
    decoded = {n: f.assembler.decoded_chunks for n, f in fleet.followers.items()}
    await apply_change(fleet.store, 2, deployment)
    fleet.notify_root_changed()
    fleet.run(APPLY_TIMEOUT_SECONDS)
    assert fleet.versions() == {2}
    for name, follower in fleet.followers.items():
        assert follower.assembler.decoded_chunks - decoded[name] == 1


def count_root_requests(fleet, version):
    notice = PeerReceived(
        now=fleet.now, sender="h001", message=SettingsVersionNotice(version)
    )
    effects = reduce(fleet.followers["h000"], notice)
    requests = [
        e for e in effects if isinstance(getattr(e, "message", 0), SettingsRootRequest)
    ]
    return len(requests)


async def test_notice_during_a_pending_root_request_is_not_ignored():
    fleet = await start_fleet(3)
    assert [count_root_requests(fleet, version) for version in (2, 2, 3)] == [1, 0, 1]
