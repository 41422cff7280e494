"""Test what is retained of the changes of one kind for other hosts."""

import tracemalloc

import pytest
import structlog
from hypothesis import given
from hypothesis import strategies as st

from amaranthferry.messages import ObjectChange
from amaranthferry.platform.store import Listing
from amaranthferry.replica import history
from amaranthferry.replica.freshness import Freshness
from amaranthferry.replica.history import ChangeHistory
from amaranthferry.replica.watching import SyncState

LIMIT = 100_000


class Cache:
    version = 0

    def apply(self, changes):
        pass

    def replace(self, objects):
        pass


def large_spec(routes):
    return {
        "routes": [
            {"name": f"route-{number}", "pathPrefix": f"/more{number}/", "type": "safe"}
            for number in range(routes)
        ]
    }


def change(revision, name="main", spec=None, *, deleted=False):
    return ObjectChange(name, revision, deleted, spec)


def recorded(*changes, limit=LIMIT, start=0):
    found = ChangeHistory("config", limit)
    found.reset(start)
    for item in changes:
        found.record(item)
    return found


def test_changes_of_a_large_configuration_fill_no_memory():
    state = SyncState("config", Cache(), Freshness(5.0), max_kept_bytes=LIMIT)
    state.apply_list(Listing([], 1), 0.0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for revision in range(2, 42):
        state.advance([change(revision, spec=large_spec(400))], revision)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert held < 2 * LIMIT
    assert state.changes_since(40) == (change(41, spec=large_spec(400)),)


def test_different_objects_are_retained_up_to_the_limit():
    spec = {"text": "x" * 1_000}
    found = recorded(*(change(n, f"server-{n}", spec) for n in range(1, 1_000)))
    assert found.size <= LIMIT
    assert found.since(0) is None
    kept = found.since(found.oldest_revision)
    assert len(kept) > LIMIT // 2_000
    assert kept[-1].revision == 999


def test_latest_change_is_retained_though_it_is_larger_than_the_limit():
    spec = {"text": "x" * 2 * LIMIT}
    found = recorded(change(1, "other"), change(2, spec=spec))
    assert found.since(1) == (change(2, spec=spec),)
    assert found.since(0) is None
    assert recorded(change(2, spec=spec), change(3, "other")).since(2) == (
        change(3, "other"),
    )


def test_only_the_latest_change_of_an_object_is_retained():
    found = recorded(change(5, "a", 1), change(6, "b", 1), change(7, "a", 2), start=4)
    assert found.since(4) == (change(6, "b", 1), change(7, "a", 2))
    assert found.since(6) == (change(7, "a", 2),)
    assert found.since(7) == ()
    assert found.since(3) is None


@pytest.mark.parametrize("spec", [{"number": 2**70}, {"text": "\ud800"}])
def test_change_that_cannot_be_sent_is_not_retained(spec, monkeypatch):
    log = structlog.testing.CapturingLogger()
    monkeypatch.setattr(history, "_log", log)
    found = recorded(change(1, "a"), change(2, spec=spec), change(3, "b"))
    assert found.since(1) is None
    assert found.since(2) == (change(3, "b"),)
    assert [call.args for call in log.calls] == [("update.not_sendable",)]


CHANGES = st.lists(
    st.tuples(st.sampled_from("abc"), st.booleans(), st.integers(0, 400))
)


@given(CHANGES, st.integers(0, 30))
def test_host_that_is_behind_reaches_the_same_objects(items, behind):
    changes = [
        change(revision, name, "x" * size, deleted=deleted)
        for revision, (name, deleted, size) in enumerate(items, 1)
    ]
    found = recorded(*changes, limit=1_000)
    missed = found.since(behind)
    if missed is None:
        return
    known = state_after(changes[:behind])
    assert state_after(missed, known) == state_after(changes)


def state_after(changes, known=None):
    objects = dict(known or {})
    for item in changes:
        objects.pop(item.name, None)
        if not item.deleted:
            objects[item.name] = item.spec
    return objects
