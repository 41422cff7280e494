"""Play messages about the end of a request that are lost on a silent connection."""

import pytest

from amaranthferry.messages import (
    PermitGrant,
    PermitProgress,
    PermitRelease,
    Registration,
)

from .reducer_fleet import ReducerFleet, instance

SHARD = "engines/0"
#: Time from the return of the links in which a permit without a request is gone, seconds.
BOUND = 7.0


def permits(system):
    return [
        permit
        for state in system.hosts.values()
        for coordinator in state.coordinators.values()
        for permit in coordinator.permits
    ]


def coordinator_of(system):
    return next(iter(system.hosts.values())).coordinator_of(SHARD)


@pytest.mark.parametrize("hosts", [3, 16, 64])
@pytest.mark.parametrize("lost", [(PermitRelease,), (PermitRelease, PermitProgress)])
def test_permit_whose_release_is_lost_is_given_up_though_its_host_has_no_request(
    hosts, lost
):
    system = ReducerFleet([instance("e1")], hosts=hosts)
    system.service_time = 0.2
    system.advance(1.0)
    asker = next(name for name in system.hosts if name != coordinator_of(system))
    system.lost_messages = lost
    for _ in range(3):
        system.send(asker)
    system.advance(0.5)
    assert permits(system)
    system.lost_messages = ()
    system.advance(BOUND)
    assert permits(system) == []


def test_lost_release_holds_no_slot_for_longer_than_the_bound_at_any_host():
    for number in range(16):
        system = ReducerFleet([instance("e1")], hosts=16)
        system.service_time = 0.2
        system.advance(1.0)
        asker = f"host-{number}"
        if asker == coordinator_of(system):
            continue
        system.lost_messages = (PermitRelease,)
        system.send(asker)
        system.advance(0.5)
        system.lost_messages = ()
        system.advance(BOUND)
        assert permits(system) == [], asker


def test_lost_release_of_a_long_run_holds_no_slot_for_longer_than_the_bound():
    system = ReducerFleet([instance("e1")], hosts=3)
    system.service_time = 40.0
    system.advance(1.0)
    asker = next(name for name in system.hosts if name != coordinator_of(system))
    system.send(asker, timeout=60.0)
    system.advance(39.0)
    system.lost_messages = (PermitRelease, Registration)
    system.advance(2.0)
    assert len(permits(system)) == 1
    system.lost_messages = ()
    system.advance(BOUND)
    assert permits(system) == []


@pytest.mark.parametrize("hosts", [3, 16])
def test_grant_that_is_lost_holds_no_slot_for_longer_than_the_bound(hosts):
    system = ReducerFleet([instance("e1")], hosts=hosts)
    system.service_time = 0.2
    system.advance(1.0)
    asker = next(name for name in system.hosts if name != coordinator_of(system))
    system.lost_messages = (PermitGrant,)
    system.send(asker, timeout=1.0)
    system.advance(0.5)
    assert len(permits(system)) == 1
    system.lost_messages = ()
    system.advance(BOUND + 1.0)
    assert permits(system) == []
