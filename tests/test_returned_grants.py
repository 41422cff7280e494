"""Check that servers keep getting work after grants that came back unused."""

import pytest

from amaranthferry import events
from amaranthferry.messages import PermitWithdraw

from .reducer_fleet import TICK, ReducerFleet, instance

SHARD = "engines/0"
#: Time after which a new coordinator counts on every host having registered.
REBUILT_AFTER = 10.0


def system_with_a_full_server():
    """Return hosts with one server, whose four slots are in use."""
    system = ReducerFleet([instance("s-0")])
    coordinator = system.hosts["host-0"].coordinator_of(SHARD)
    host = next(name for name in system.hosts if name != coordinator)
    system.service_time = TICK
    system.send(host)
    system.advance(REBUILT_AFTER)
    system.service_time = None
    system.dispatched.clear()
    running = []
    for _ in range(4):
        running.append(system.send(host))
        system.advance(TICK)
        system.apply(
            host, events.FirstTokenSeen(now=system.now, request_id=running[-1])
        )
    assert len(system.dispatched) == 4
    return system, host, running


def leave_in_queue(system, host):
    """Let a request end whose withdrawal doesn't reach the coordinator in time."""
    ended = system.send(host)
    system.lost_messages = PermitWithdraw
    system.apply(host, events.CallerGone(now=system.now, request_id=ended))
    system.lost_messages = ()


def finish(system, host, request_id):
    done = events.DispatchFinished(now=system.now, request_id=request_id)
    system.apply(host, done)


@pytest.mark.parametrize("ended", [0, 1, 3])
def test_grants_for_ended_requests_do_not_take_their_server_away(ended):
    system, host, running = system_with_a_full_server()
    for _ in range(ended):
        leave_in_queue(system, host)
    for request_id in running:
        finish(system, host, request_id)
    system.send(host)
    system.advance(0.2)
    assert len(system.dispatched) == 5
