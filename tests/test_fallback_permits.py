"""Check what hosts grant without their coordinator, and what is known of it later."""

import pytest

from amaranthferry import events
from amaranthferry.fallback import MAX_ABSENCE
from amaranthferry.messages import PermitQueued, PermitRequest

from .reducer_fleet import TICK, ReducerFleet, instance

SHARD = "engines/0"
#: Slots of one engine in `reducer_fleet`.
SLOTS = 4
LONGEST_ABSENCE_TICKS = int(2 * MAX_ABSENCE / TICK) + 1


class FallingBack:
    """Let one host fall back from its coordinator and return to it."""

    def __init__(self):
        self.system = ReducerFleet([instance("s-0"), instance("s-1")])
        self.coordinator = self.system.hosts["host-0"].coordinator_of(SHARD)
        names = self.system.hosts
        self.host = next(name for name in names if name != self.coordinator)
        self.system.advance(1.0)

    def fall_back(self):
        """Let a request be granted by the host itself, and return its id."""
        self.system.lost_messages = PermitRequest
        request_id = self.system.send(self.host)
        self.system.lost_messages = ()
        lost = events.PeerLost(now=self.system.now, host=self.coordinator)
        self.system.apply(self.host, lost)
        self.system.advance(TICK)
        return request_id

    def return_to_coordinator(self):
        state = self.system.hosts[self.host]
        for _ in range(LONGEST_ABSENCE_TICKS):
            heard = events.PeerReceived(
                now=self.system.now,
                sender=self.coordinator,
                message=PermitQueued(SHARD),
            )
            self.system.apply(self.host, heard)
            self.system.advance(TICK)
            if state.permit_host(SHARD) == self.coordinator:
                return
        raise AssertionError("The host has not returned.")

    def finish(self, request_id):
        done = events.DispatchFinished(now=self.system.now, request_id=request_id)
        self.system.apply(self.host, done)

    def has_permit(self, request_id):
        coordinators = self.system.hosts[self.coordinator].coordinators
        return request_id in coordinators[SHARD].permits


def test_request_of_a_fallback_frees_its_slot_after_it():
    hosts = FallingBack()
    request_id = hosts.fall_back()
    hosts.return_to_coordinator()
    assert hosts.has_permit(request_id)
    hosts.finish(request_id)
    assert not hosts.has_permit(request_id)


def test_request_that_ends_in_the_next_fallback_frees_its_slot():
    hosts = FallingBack()
    request_id = hosts.fall_back()
    hosts.return_to_coordinator()
    assert hosts.has_permit(request_id)
    hosts.fall_back()
    hosts.finish(request_id)
    hosts.return_to_coordinator()
    assert not hosts.has_permit(request_id)


@pytest.mark.parametrize("hosts", [3, 16])
def test_hosts_that_fall_back_stay_within_the_slots_in_sum(hosts):
    system = ReducerFleet([instance("s-0")], hosts=hosts)
    coordinator = system.hosts["host-0"].coordinator_of(SHARD)
    system.advance(1.0)
    system.lost_messages = PermitRequest
    for host in system.hosts:
        if host != coordinator:
            system.send(host)
            system.apply(host, events.PeerLost(now=system.now, host=coordinator))
    system.advance(TICK)
    assert len(system.dispatched) <= SLOTS
