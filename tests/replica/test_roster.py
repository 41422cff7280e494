import pytest

from amaranthferry.catalog import Instance
from amaranthferry.replica.roster import RETURN_GRACE, ServerRoster
from amaranthferry.types import ServerState


def instance(name, *, state=ServerState.LIVE, incarnation=1):
    return Instance(
        server=name,
        service="engines",
        address="10.0.0.1:1",
        zone="zone-a",
        slots=2,
        state=state,
        incarnation=incarnation,
    )


def test_same_entry_changes_nothing():
    roster = ServerRoster()
    assert roster.put(instance("a"))
    assert not roster.put(instance("a"))
    assert roster.put(instance("a", incarnation=2))


def test_removed_server_is_dropped_at_once():
    roster = ServerRoster()
    roster.put(instance("a"))
    assert roster.remove("a", 10.0)
    assert roster.instances == {}


def test_entry_that_expired_in_an_outage_may_return():
    roster = ServerRoster()
    roster.put(instance("a"))
    roster.put(instance("b"))
    roster.mark_store_unavailable()
    roster.mark_store_available(10.0)
    assert not roster.replace([], 10.0)
    roster.put(instance("a"))
    assert not roster.expire(10.0 + RETURN_GRACE - 0.1)
    assert roster.expire(10.0 + RETURN_GRACE)
    assert set(roster.instances) == {"a"}


def test_leaving_state_after_an_outage_is_applied():
    roster = ServerRoster()
    roster.put(instance("a"))
    roster.mark_store_unavailable()
    roster.mark_store_available(10.0)
    roster.put(instance("a", state=ServerState.LEAVING))
    assert roster.instances["a"].state is ServerState.LEAVING


def test_no_grace_without_an_outage():
    roster = ServerRoster()
    roster.put(instance("a"))
    roster.mark_store_available(10.0)
    assert roster.remove("a", 10.0)


@pytest.mark.parametrize("later", [0.0, 1.0])
def test_second_removal_does_not_extend_the_grace(later):
    roster = ServerRoster()
    roster.put(instance("a"))
    roster.mark_store_unavailable()
    roster.mark_store_available(10.0)
    roster.remove("a", 10.0)
    roster.remove("a", 10.0 + later)
    assert roster.expire(10.0 + RETURN_GRACE)


def restored(known, listed, *, now=100.0):
    """Return a roster that knew some instances and gets a restored store's list."""
    roster = ServerRoster(heartbeat=1.2)
    for item in known:
        roster.put(item)
    return roster, roster.restore(listed, now)


def test_server_that_registered_after_the_copy_may_return():
    roster, _ = restored([instance("a")], [])
    assert set(roster.instances) == {"a"}
    assert roster.expire(100.0 + RETURN_GRACE)
    assert roster.instances == {}


def test_leaving_server_stays_leaving_though_the_copy_lists_it_live():
    roster, _ = restored([instance("a", state=ServerState.LEAVING)], [instance("a")])
    assert roster.instances["a"].state is ServerState.LEAVING
    roster.expire(1_000.0)
    assert roster.instances["a"].state is ServerState.LEAVING


def test_gone_server_stays_gone_though_the_copy_lists_it():
    roster = ServerRoster(heartbeat=1.2)
    roster.put(instance("a"))
    roster.remove("a", 90.0)
    roster.restore([instance("a")], 100.0)
    assert roster.instances == {}
    assert not roster.expire(105.0)
    assert roster.instances == {}


def test_entry_of_a_gone_server_that_stays_listed_is_applied():
    roster = ServerRoster(heartbeat=1.2)
    roster.put(instance("a"))
    roster.remove("a", 90.0)
    roster.restore([instance("a")], 100.0)
    assert roster.expire(100.0 + 3 * 1.2 + RETURN_GRACE)
    assert set(roster.instances) == {"a"}


@pytest.mark.parametrize("deleted", [False, True])
def test_server_decides_on_its_withheld_entry(deleted):
    roster = ServerRoster(heartbeat=1.2)
    roster.put(instance("a"))
    roster.remove("a", 90.0)
    roster.restore([instance("a")], 100.0)
    if deleted:
        roster.remove("a", 101.0)
    else:
        roster.put(instance("a"))
    roster.expire(1_000.0)
    assert set(roster.instances) == (set() if deleted else {"a"})


def test_new_incarnation_in_the_copy_is_applied():
    known = instance("a", state=ServerState.LEAVING)
    roster, changed = restored([known], [instance("a", incarnation=2)])
    assert changed
    assert roster.instances["a"].state is ServerState.LIVE
