import asyncio

import pytest

from amaranthferry.config import HostConfig
from amaranthferry.exceptions import StoreUnavailable
from amaranthferry.memory_objects import MemoryObjectStore
from amaranthferry.object_store import CallKind
from amaranthferry.presence import EXPIRY_SECONDS, PAGE_LENGTH, HostPresence
from amaranthferry.types import HostId, ZoneId


class Clock:
    now = 1_000_000.0

    def __call__(self):
        return self.now


@pytest.fixture
def store():
    return MemoryObjectStore()


@pytest.fixture
def clock():
    return Clock()


def make_presence(store, clock, name, seen=None):
    cfg = HostConfig(
        HostId(name), ZoneId("volos"), "", f"{name}:7000", "", peer_key="secret"
    )
    seen = [] if seen is None else seen
    return HostPresence(store, cfg, on_addresses=seen.append, clock=clock)


async def test_hosts_find_each_others_addresses(store, clock):
    seen = []
    await make_presence(store, clock, "h1").refresh()
    await make_presence(store, clock, "h2", seen).refresh()
    assert seen == [("h1:7000",)]


async def test_refresh_overwrites_the_entry_of_an_earlier_process(store, clock):
    for _ in range(2):
        await make_presence(store, clock, "h1").refresh()
    assert list(store.objects) == ["hosts/h1"]


async def test_expired_entry_is_neither_reported_nor_kept(store, clock):
    seen = []
    await make_presence(store, clock, "h1").refresh()
    clock.now += EXPIRY_SECONDS + 1
    await make_presence(store, clock, "h2", seen).refresh()
    assert seen == [()]
    assert list(store.objects) == ["hosts/h2"]


async def test_stop_removes_the_entry_and_tolerates_an_outage(store, clock):
    first, second = make_presence(store, clock, "h1"), make_presence(store, clock, "h2")
    await first.refresh()
    await second.refresh()
    await first.stop()
    assert list(store.objects) == ["hosts/h2"]
    store.outage = True
    await second.stop()


async def test_outage_reports_nothing_and_keeps_earlier_addresses(store, clock):
    seen = []
    store.outage = True
    with pytest.raises(StoreUnavailable):
        await make_presence(store, clock, "h1", seen).refresh()
    assert seen == []


async def test_start_does_not_wait_for_the_object_api(store, clock):
    store.gate = asyncio.Event()
    seen = []
    host = make_presence(store, clock, "h1", seen)
    await host.start()
    store.gate.set()
    async with asyncio.timeout(10):
        while not seen:
            await asyncio.sleep(0)
    await host.stop()


async def test_damaged_entry_is_skipped_and_every_page_is_read(store, clock):
    await store.put("hosts/bad", b"\xc1", expected=0)
    for index in range(PAGE_LENGTH):
        await make_presence(store, clock, f"n{index:04d}")._write()
    seen = []
    await make_presence(store, clock, "zz", seen).refresh()
    assert len(seen[0]) == PAGE_LENGTH


async def test_refresh_takes_three_calls(store, clock):
    await make_presence(store, clock, "h1").refresh()
    calls = {kind: count for kind, count in store.calls.items() if count}
    assert calls == {CallKind.GET: 1, CallKind.PUT: 1, CallKind.LIST: 1}
