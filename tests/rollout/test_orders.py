import pytest

from amaranthferry.exceptions import AnswerLost, VersionConflict
from amaranthferry.messages import ObjectChange
from amaranthferry.platform.desired import read_order
from amaranthferry.platform.store import StoreClient
from amaranthferry.rollout.orders import OrderCache, RolloutState
from amaranthferry.rollout.store import RolloutStore
from amaranthferry.standins.metadata import MetadataStore, StoreFault
from amaranthferry.standins.serving import serve

SPEC = {"service": "s", "to": "v2", "durationS": 12}


def change(revision, state=None, *, version="v2", name="s", deleted=False):
    status = None if state is None else {"state": state, "to": version}
    contents = {"spec": {**SPEC, "to": version}, "status": status}
    return ObjectChange(name, revision, deleted, contents)


@pytest.fixture
def cache():
    return OrderCache(read_order, lambda: None)


def test_state_that_this_host_wrote_is_not_replaced_by_an_older_one(cache):
    """Guards against a list that was read before the write."""
    cache.apply([change(5)])
    order = read_order("s", SPEC, {"state": "completed", "to": "v2"})
    cache.observe(type(order)(**{**_fields(order), "revision": 9}))
    cache.apply([change(7, "in_progress")])
    cache.replace([change(7, "in_progress")])
    assert cache.orders["s"].state is RolloutState.COMPLETED
    cache.apply([change(12, version="v3")])
    assert cache.orders["s"].state is None


def _fields(order):
    return {name: getattr(order, name) for name in order.__struct_fields__}


def test_restored_store_does_not_take_back_the_end_of_a_rollout(cache):
    """Guards against a completed version being unproven again."""
    cache.apply([change(9, "completed")])
    cache.restore([change(3, "in_progress")])
    assert cache.orders["s"].state is RolloutState.COMPLETED
    cache.restore([change(4, version="v3")])
    assert cache.orders["s"].version == "v3"
    assert cache.orders["s"].state is None


def test_removed_and_unreadable_orders_are_none(cache):
    cache.apply([change(3)])
    cache.apply([ObjectChange("s", 4, False, {"spec": 7, "status": None})])
    assert cache.orders == {}
    cache.apply([change(5), change(6, deleted=True)])
    assert cache.orders == {}
    cache.apply([ObjectChange("s", 7, False, None)])
    assert cache.orders == {}


async def test_state_is_written_for_the_known_revision_alone():
    store = MetadataStore()
    await store.put("rollouts", "s", SPEC)
    async with serve(store.app) as url:
        client = StoreClient(url.removeprefix("http://"))
        states = RolloutStore(client)
        item = await client.get("rollouts", "s")
        order = read_order("s", item.spec, item.status)
        known = type(order)(**{**_fields(order), "revision": item.revision})
        written = await states.write(known, RolloutState.IN_PROGRESS)
        assert written.revision > known.revision
        with pytest.raises(VersionConflict):
            await states.write(known, RolloutState.ROLLED_BACK)
        found = await states.read(known)
        assert found == written
        store.fault = StoreFault.LOSE_ANSWERS
        with pytest.raises(AnswerLost):
            await states.write(written, RolloutState.COMPLETED)
        store.fault = StoreFault.NONE
        assert (await states.read(known)).state is RolloutState.COMPLETED
        await store.remove("rollouts", "s")
        assert await states.read(known) is None
        await client.stop()
    assert [status["state"] for _, _, status in store.statuses] == [
        "in_progress",
        "completed",
    ]
