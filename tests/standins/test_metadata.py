import asyncio

import aiohttp
import msgspec

from amaranthferry.standins.metadata import ERA_HEADER, MetadataStore, StoreFault
from amaranthferry.standins.serving import serve


async def get(session, url):
    async with session.get(url) as answer:
        return answer.status, int(answer.headers[ERA_HEADER]), await answer.json()


async def test_restored_store_has_lost_what_came_after_its_copy():
    store = MetadataStore()
    await store.put("servers", "a", {"state": "ready"})
    await store.put("servers", "b", {"state": "ready"})
    await asyncio.sleep(0.1)
    await store.put("servers", "a", {"state": "draining"})
    await store.remove("servers", "b")
    async with serve(store.app) as base, aiohttp.ClientSession() as session:
        url = f"{base}/objects/servers"
        _, era, before = await get(session, url)
        await store.restore(age=0.05)
        _, next_era, after = await get(session, url)
        assert next_era == era + 1
        assert after["at"] < before["at"]
        assert store.objects("servers") == {
            "a": {"state": "ready"},
            "b": {"state": "ready"},
        }
        status, _, _ = await get(session, f"{url}?watch={before['at']}&waitMs=10")
        assert status == 410
        await store.put("servers", "c", {"state": "ready"})
        _, _, changes = await get(session, f"{url}?watch={after['at']}&waitMs=10")
        assert [event["object"]["metadata"]["name"] for event in changes["events"]] == [
            "c"
        ]


async def test_waiting_watch_ends_when_the_store_is_restored():
    store = MetadataStore()
    await store.put("servers", "a", {})
    async with serve(store.app) as base, aiohttp.ClientSession() as session:
        url = f"{base}/objects/servers?watch=2&waitMs=20000"
        watch = asyncio.ensure_future(get(session, url))
        await asyncio.sleep(0.1)
        await store.restore(age=60)
        status, era, _ = await asyncio.wait_for(watch, 5)
        assert (status, era) == (410, 2)


async def test_view_fails_without_the_store_and_its_other_views():
    store = MetadataStore()
    await store.put("servers", "a", {})
    views = [store.view(), store.view()]
    async with (
        serve(views[0].app) as first,
        serve(views[1].app) as second,
        aiohttp.ClientSession() as session,
    ):
        views[0].fault = StoreFault.LIMITED
        assert (await get(session, f"{first}/objects/servers"))[0] == 429
        assert (await get(session, f"{second}/objects/servers"))[0] == 200


async def test_waiting_watch_of_a_silent_store_hears_nothing():
    store = MetadataStore()
    await store.put("servers", "a", {})
    view = store.view()
    async with serve(view.app) as base, aiohttp.ClientSession() as session:
        url = f"{base}/objects/servers?watch=2&waitMs=20000"
        watch = asyncio.ensure_future(get(session, url))
        await asyncio.sleep(0.1)
        view.fault = StoreFault.SILENT
        await store.put("servers", "b", {})
        assert not (await asyncio.wait({watch}, timeout=0.3))[0]
        watch.cancel()


async def test_muted_watch_hears_no_change_before_its_wait_is_over():
    store = MetadataStore()
    await store.put("servers", "a", {})
    async with serve(store.app) as base, aiohttp.ClientSession() as session:
        url = f"{base}/objects/servers?watch=2&waitMs=400"
        store.fault = StoreFault.MUTE_WATCHES
        watch = asyncio.ensure_future(get(session, url))
        await asyncio.sleep(0.1)
        await store.put("servers", "b", {})
        assert not (await asyncio.wait({watch}, timeout=0.2))[0]
        assert len((await watch)[2]["events"]) == 1


async def test_spec_that_cannot_be_read_is_served_as_it_is():
    store = MetadataStore()
    await store.put("servers", "a", msgspec.Raw(b"1e999"))
    async with (
        serve(store.app) as base,
        aiohttp.ClientSession() as session,
        session.get(f"{base}/objects/servers") as answer,
    ):
        assert b'"spec":1e999' in await answer.read()
