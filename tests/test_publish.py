import pytest

from amaranthferry import publish
from amaranthferry.exceptions import AnswerLost, StoreUnavailable, VersionConflict
from amaranthferry.objects import CallKind
from amaranthferry.root import AUDIT_PREFIX, CHUNK_PREFIX, ROOT_KEY

from .settings_fakes import HookedStore, author, deployment_of, with_weight

FIRST = deployment_of()


@pytest.fixture
def store(monkeypatch):
    monkeypatch.setattr(publish, "FIRST_BACKOFF", 0.0)
    monkeypatch.setattr(publish, "WRITES_PER_SECOND", 100_000)
    return HookedStore()


async def apply(store, deployment, who="ana", **options):
    return await publish.apply(store, deployment, author(who), **options)


def weights(number):
    return with_weight(FIRST, "workspace-00001", float(number))


async def test_applied_settings_read_back_equal(store):
    applied = (await apply(store, FIRST)).unwrap()
    read = await publish.read_deployment(store)
    assert applied.version == read.version == 1
    assert (read.workspaces, read.servers) == (FIRST.workspaces, FIRST.servers)


async def test_applying_the_same_again_changes_nothing(store):
    await apply(store, FIRST)
    assert (await apply(store, FIRST, "bo")).unwrap() == publish.ApplyResult(1)
    assert [entry.who for entry in await publish.read_history(store)] == ["ana"]


async def test_audit_entry_records_author_versions_and_change(store):
    await apply(store, FIRST)
    entry = (await apply(store, weights(7), "bo")).unwrap().entry
    (change,) = entry.changes
    assert (entry.who, entry.previous, entry.version) == ("bo", 1, 2)
    assert (change.section, change.key) == ("workspace workspace-00001", "weight")
    assert (change.before, change.after) == ("1.0", "7.0")


async def test_conflict_names_the_other_author_and_changes_nothing(store):
    await apply(store, FIRST)

    async def apply_concurrently():
        assert (await apply(store, weights(2), "bo")).unwrap().version == 2

    store.before_put[ROOT_KEY] = apply_concurrently
    exc = (await apply(store, weights(3), "ana")).failure()
    assert isinstance(exc, VersionConflict)
    assert "bo applied version 2 at " in str(exc)
    assert "settings diff" in exc.remedy
    assert [entry.who for entry in await publish.read_history(store)] == ["ana", "bo"]


async def test_expected_version_rejects_a_tree_based_on_older_settings(store):
    await apply(store, FIRST)
    await apply(store, weights(2), "bo")
    exc = (await apply(store, weights(3), expected=1)).failure()
    assert "bo applied version 2" in str(exc)
    assert (await apply(store, weights(3), expected=2)).unwrap().version == 3


async def test_lost_answer_is_read_back(store):
    await apply(store, FIRST)

    async def lose_answer():
        store.lose_answers = 1

    store.before_put[ROOT_KEY] = lose_answer
    assert (await apply(store, weights(2), "bo")).unwrap().version == 2
    assert [entry.who for entry in await publish.read_history(store)] == ["ana", "bo"]


@pytest.mark.parametrize("later_changes", [1, 20])
async def test_lost_answer_is_found_after_later_changes(store, later_changes):
    """After twenty later changes the root's recent entries no longer include it."""
    await apply(store, FIRST)
    put = store.put

    async def lose_answer_then_apply_others(key, value, *, expected):
        if key != ROOT_KEY:
            return await put(key, value, expected=expected)
        store.put = put
        await put(key, value, expected=expected)
        for number in range(later_changes):
            name = f"other-{number}"
            (await apply(store, weights(10 + number), name)).unwrap()
        raise AnswerLost("Lost.", remedy="Read back.")

    store.put = lose_answer_then_apply_others
    assert (await apply(store, weights(2), "bo")).unwrap().version == 2
    entries = await publish.read_history(store)
    assert [entry.version for entry in entries] == list(range(1, later_changes + 3))
    assert [entry.who for entry in entries].count("bo") == 1


async def test_lost_write_is_retried_and_committed_once(store):
    await apply(store, FIRST)
    put = store.put

    async def lose_before_effect(key, value, *, expected):
        if key != ROOT_KEY:
            return await put(key, value, expected=expected)
        store.put = put
        raise AnswerLost("Lost.", remedy="Read back.")

    store.put = lose_before_effect
    assert (await apply(store, weights(2), "bo")).unwrap().version == 2
    assert len(await publish.read_history(store)) == 2


async def test_stale_read_back_is_not_a_conflict(store):
    await apply(store, FIRST)
    before = store.objects[ROOT_KEY]

    async def lose_answer():
        store.lose_answers = 1
        store.stale_reads[ROOT_KEY] = before

    store.before_put[ROOT_KEY] = lose_answer
    assert (await apply(store, weights(2), "bo")).unwrap().version == 2


async def test_outage_after_a_lost_answer_is_reported_and_a_retry_is_safe(store):
    await apply(store, FIRST)
    put = store.put

    async def lose_into_outage(key, value, *, expected):
        version = await put(key, value, expected=expected)
        if key == ROOT_KEY:
            store.outage = True
            raise AnswerLost("Lost.", remedy="Read back.")
        return version

    store.put = lose_into_outage
    exc = (await apply(store, weights(2), "bo")).failure()
    assert isinstance(exc, AnswerLost)
    assert "nonce-bo" in exc.remedy
    store.put, store.outage = put, False
    assert (await apply(store, weights(2), "bo")).unwrap() == publish.ApplyResult(2)
    assert len(await publish.read_history(store)) == 2


async def test_outage_fails_and_changes_nothing(store):
    await apply(store, FIRST)
    store.outage = True
    exc = (await apply(store, weights(2))).failure()
    assert isinstance(exc, StoreUnavailable)
    store.outage = False
    assert (await publish.read_root(store)).version == 1


async def test_crash_after_replacing_the_root_loses_no_audit_entry(store):
    """The operator's process stops right after it has replaced the root."""
    for number in range(1, 40):
        put = store.put

        async def crash(key, value, *, expected, put=put):
            await put(key, value, expected=expected)
            if key == ROOT_KEY:
                raise KeyboardInterrupt

        store.put = crash
        with pytest.raises(KeyboardInterrupt):
            await apply(store, weights(number), f"operator-{number}")
        store.put = put
    entries = await publish.read_history(store)
    assert [entry.version for entry in entries] == list(range(1, 40))
    assert [entry.who for entry in entries] == [f"operator-{n}" for n in range(1, 40)]


async def test_retired_chunks_are_deleted_but_never_those_of_the_current_root(store):
    """Old retired chunks are deleted while later changes write equal content again."""
    for number in range(60):
        (await apply(store, weights(1 + number % 3))).unwrap()
        await publish.read_deployment(store)
    chunks = [key for key in store.objects if key.startswith(CHUNK_PREFIX)]
    in_root = 3
    assert len(chunks) <= in_root + publish.RETAINED_VERSIONS


async def test_drain_persists_across_later_applies(store):
    await apply(store, FIRST)
    drained = await publish.set_drained(store, ["e1"], author("bo"), drained=True)
    assert drained.unwrap().entry.changes[0].section == "server e1"
    await apply(store, weights(2))
    assert (await publish.read_deployment(store)).drained == ("e1",)
    await publish.set_drained(store, ["e1"], author("cy"), drained=False)
    assert (await publish.read_deployment(store)).drained == ()


async def test_large_change_stores_its_details(store):
    await apply(store, FIRST)
    entry = (await apply(store, deployment_of(300), "bo")).unwrap().entry
    assert len(entry.changes) + entry.omitted == 295
    assert len(await publish.read_details(store, entry)) == 295
    assert len(store.objects[ROOT_KEY].value) < 100_000


async def test_change_of_one_workspace_writes_one_chunk(store):
    deployment = deployment_of(27_000)
    (await apply(store, deployment)).unwrap()
    chunks = {key: size for key, size in store.writes if key.startswith(CHUNK_PREFIX)}
    assert max(chunks.values()) < 1_000_000
    store.writes.clear()
    store.calls = dict.fromkeys(CallKind, 0)
    (await apply(store, with_weight(deployment, "workspace-00001", 3.0))).unwrap()
    rewritten = [size for key, size in store.writes if key.startswith(CHUNK_PREFIX)]
    audits = [key for key, _ in store.writes if key.startswith(AUDIT_PREFIX)]
    assert (len(rewritten), len(audits)) == (1, 1)
    assert rewritten[0] < 2 * sum(chunks.values()) / len(chunks)
    assert sum(store.calls.values()) == 5
