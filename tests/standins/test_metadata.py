import asyncio

import aiohttp

from amaranthferry.standins.metadata import ERA_HEADER, MetadataStore
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
