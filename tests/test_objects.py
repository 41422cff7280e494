import asyncio

import pytest

from amaranthferry.exceptions import AnswerLost, StoreUnavailable, VersionConflict
from amaranthferry.objects import HostListClient, HttpObjectStore, MemoryObjectStore
from amaranthferry.standins.objects import ObjectStandIn
from amaranthferry.standins.serving import serve
from amaranthferry.types import ServerId, ServerState


@pytest.fixture(params=["memory", "http"])
async def client_and_faults(request):
    """Yield a client and the object that injects its faults."""
    if request.param == "memory":
        store = MemoryObjectStore()
        yield store, store
        return
    stand_in = ObjectStandIn()
    async with serve(stand_in.app) as url, HttpObjectStore(url) as client:
        yield client, stand_in


async def test_updates_are_conditional_on_increasing_versions(client_and_faults):
    client, _ = client_and_faults
    first = await client.put("a/b", b"1", expected=0)
    second = await client.put("a/b", b"2", expected=first)
    assert second > first
    with pytest.raises(VersionConflict):
        await client.put("a/b", b"3", expected=first)
    with pytest.raises(VersionConflict):
        await client.put("a/b", b"3", expected=0)
    assert (await client.get("a/b")).value == b"2"


async def test_recreated_object_never_repeats_a_version(client_and_faults):
    client, _ = client_and_faults
    first = await client.put("a", b"1", expected=0)
    await client.delete("a", expected=first)
    assert await client.get("a") is None
    assert await client.put("a", b"1", expected=0) > first


async def test_list_returns_pages(client_and_faults):
    client, _ = client_and_faults
    for name in ("p/1", "p/2", "p/3", "q/1"):
        await client.put(name, b"", expected=0)
    page = await client.list("p/", limit=2)
    rest = await client.list("p/", after=page[-1].key)
    assert [item.key for item in (*page, *rest)] == ["p/1", "p/2", "p/3"]


async def test_watch_returns_a_newer_version(client_and_faults):
    client, _ = client_and_faults
    version = await client.put("p/1", b"old", expected=0)
    watching = asyncio.create_task(client.watch("p/", since=version, timeout=5))
    await asyncio.sleep(0)
    await client.put("p/1", b"new", expected=version)
    assert [item.value for item in await watching] == [b"new"]
    assert await client.watch("z/", since=0, timeout=0.01) == ()


async def test_outage_refuses_reads_and_writes(client_and_faults):
    client, faults = client_and_faults
    faults.outage = True
    with pytest.raises(StoreUnavailable):
        await client.get("a")
    with pytest.raises(StoreUnavailable):
        await client.put("a", b"", expected=0)
    faults.outage = False
    assert await client.get("a") is None


async def test_write_with_a_lost_answer_takes_effect_once(client_and_faults):
    client, faults = client_and_faults
    # The first call opens the kept-alive connection on which a client might retry.
    version = await client.put("a", b"1", expected=0)
    faults.lose_answers = 1
    with pytest.raises(AnswerLost):
        await client.put("a", b"2", expected=version)
    assert (await client.get("a")).value == b"2"


async def test_slow_write_takes_effect_after_the_client_timed_out():
    stand_in = ObjectStandIn()
    async with serve(stand_in.app) as url, HttpObjectStore(url, timeout=0.05) as client:
        stand_in.delay = 0.1
        with pytest.raises(AnswerLost):
            await client.put("a", b"late", expected=0)
        await stand_in.store.watch("a", since=0, timeout=5)
    assert stand_in.store.objects["a"].value == b"late"


async def test_refused_connection_is_reported_as_unavailable():
    async with HttpObjectStore("http://127.0.0.1:9") as client:
        with pytest.raises(StoreUnavailable):
            await client.put("a", b"", expected=0)


async def test_calls_over_the_rate_are_refused():
    stand_in = ObjectStandIn(writes_per_second=1)
    async with serve(stand_in.app) as url, HttpObjectStore(url) as client:
        await client.put("a", b"", expected=0)
        with pytest.raises(StoreUnavailable):
            await client.put("b", b"", expected=0)
    assert stand_in.throttled == 1


async def test_host_list_returns_the_states_last_reported():
    stand_in = ObjectStandIn()
    stand_in.listed_servers[ServerId("e1")] = ServerState.LEAVING
    async with serve(stand_in.app) as url:
        client = HostListClient(url)
        await client.start()
        listed = await client.servers()
        await client.stop()
    assert [(item.name, item.state) for item in listed] == [("e1", ServerState.LEAVING)]
