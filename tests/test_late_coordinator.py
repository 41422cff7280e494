"""Let the coordinator of many hosts stand still, and check what callers get later."""

import pytest

from .delayed_fleet import BUCKET, DelayedFleet

#: Load as a fraction of what the servers take.
LOAD = 0.7
SERVERS = 28
SLOTS = 7
SERVICE_TIME = 0.7
STALLED_AT = 4.0
#: Time after the stall in which callers have to be served as before.
RECOVERY_TIME = 5.0
WINDOW = 3.0


def share_in_time(system, since, until):
    counts = [c for at, c in system.counts.items() if since <= at <= until - BUCKET]
    return sum(c["in time"] for c in counts) / sum(c["asked"] for c in counts)


@pytest.mark.parametrize("stall", [0.0, 0.3, 1.0, 1.4])
def test_fleet_recovers_after_its_coordinator_was_late(stall):
    system = DelayedFleet(
        hosts=64, servers=SERVERS, slots=SLOTS, event_cost=0.0004, send_cost=0.0004
    )
    system.rate = LOAD * SERVERS * SLOTS / SERVICE_TIME
    system.run(STALLED_AT)
    system.stall(system.coordinator, stall)
    since = STALLED_AT + stall + RECOVERY_TIME
    system.run(since + WINDOW)
    calm = share_in_time(system, 2.0, STALLED_AT)
    assert calm > 0.95
    assert share_in_time(system, since, since + WINDOW) > 0.95 * calm
