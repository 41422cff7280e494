import pytest

from amaranthferry.catalog import Instance
from amaranthferry.gateway.roster import RETURN_GRACE, ServerRoster
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
