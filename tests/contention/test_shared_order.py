"""Play many hosts before three plain servers of six slots, and disturb them.

Without a shared order, hosts that each decide for themselves overrun the servers: at 129
hosts and a load of 1.5 these reject a third of what arrives.
"""

import pytest

from tests.plain_fleet import LOWER, SHARD, URGENT, PlainFleet

HOSTS = 129
#: Largest part of what arrives at servers that these may reject.
MAX_REJECTED = 0.01
#: Time after which a fleet that is overloaded from the start has its order.
SETTLING = 4.0


def overloaded_fleet(load=1.5, **options):
    fleet = PlainFleet(hosts=HOSTS, load=load, **options)
    fleet.run(SETTLING)
    assert fleet.ordered_hosts == set(fleet.names) - fleet.older
    fleet.counts.clear()
    return fleet


def rejected(fleet):
    return fleet.counts["rejected"] / max(1, fleet.counts["arrivals"])


def answered(fleet):
    return fleet.counts["urgent answered"] + fleet.counts["lower answered"]


def others(fleet):
    return [name for name in fleet.live if name != fleet.coordinator]


@pytest.mark.parametrize("hosts", [3, 19, 30, 64, 129])
@pytest.mark.parametrize("load", [0.7, 1.0, 1.5, 3.0])
def test_servers_reject_hardly_any_of_what_arrives(hosts, load):
    fleet = PlainFleet(hosts=hosts, load=load)
    fleet.run(10)
    assert rejected(fleet) < MAX_REJECTED
    assert fleet.counts["refused without time"] == 0
    assert fleet.counts["urgent unknown"] + fleet.counts["lower unknown"] <= 2
    if hosts > 18:
        assert fleet.counts["refused beside a free slot"] == 0


def test_fleet_whose_hosts_decide_for_themselves_is_overrun():
    fleet = PlainFleet(hosts=HOSTS, load=1.5, shared=False)
    fleet.run(10)
    assert rejected(fleet) > 10 * MAX_REJECTED
    assert fleet.counts["messages"] == 0


@pytest.mark.parametrize("hosts", [19, 30, 129])
def test_calm_load_sends_no_message_and_waits_for_nothing(hosts):
    fleet = PlainFleet(hosts=hosts, load=0.7)
    fleet.run(20)
    assert fleet.counts["messages"] == fleet.counts["refused"] == 0
    assert rejected(fleet) == 0
    assert all(
        fleet.dispatched_at[request] == sent
        for request, (_, _, _, sent) in fleet.requests.items()
    )


@pytest.mark.parametrize("load", [1.5, 2.0])
def test_urgent_work_goes_first(load):
    fleet = overloaded_fleet(load)
    fleet.run(6)
    counts = fleet.counts
    assert counts["urgent in time"] > 0.97 * counts["urgent answered"]
    assert counts["urgent answered"] > 50 * sum(
        count
        for name, count in counts.items()
        if name in ("urgent deadline", "urgent evicted", "urgent queue_full")
    )
    assert counts["lower deadline"] > 0


def test_lower_work_gets_what_urgent_work_leaves():
    fleet = overloaded_fleet()
    fleet.run(6)
    capacity = fleet.slots / 0.09 * 6
    assert answered(fleet) > 0.9 * capacity


def test_order_ends_after_the_overload_and_begins_again():
    fleet = overloaded_fleet()
    fleet.load = 0.5
    fleet.run(10)
    assert fleet.ordered_hosts == set()
    fleet.counts.clear()
    fleet.run(5)
    assert fleet.counts["messages"] == 0
    fleet.load = 2.0
    fleet.run(3)
    assert fleet.ordered_hosts == set(fleet.names)
    assert rejected(fleet) < MAX_REJECTED


def test_order_isnt_given_up_while_the_servers_stay_full():
    fleet = overloaded_fleet(load=1.0)
    for _ in range(10):
        fleet.run(1)
        assert fleet.ordered_hosts == set(fleet.names)


def test_messages_of_one_request_stay_few():
    fleet = overloaded_fleet()
    fleet.run(10)
    requests = fleet.counts["requests"]
    renewals = 10 * HOSTS
    # A permit request, a grant or refusal, progress and release, and notices meanwhile.
    assert fleet.counts["messages"] < 8 * requests + 2 * renewals


def test_killed_coordinator_is_succeeded():
    fleet = overloaded_fleet()
    killed = fleet.coordinator
    fleet.kill(killed)
    fleet.run(1)
    fleet.set_members()
    fleet.run(4)
    assert fleet.coordinator != killed
    assert fleet.ordered_hosts == set(fleet.live)
    assert rejected(fleet) < MAX_REJECTED
    fleet.counts.clear()
    fleet.run(3)
    assert answered(fleet) > 0.85 * fleet.slots / 0.09 * 3


@pytest.mark.parametrize("pause", [1.0, 3.0])
def test_stand_in_decides_while_the_coordinator_is_paused(pause):
    fleet = overloaded_fleet()
    coordinator = fleet.coordinator
    fleet.stalled.add(coordinator)
    fleet.run(pause)
    assert any(
        SHARD in fleet.hosts[name].stand_ins or SHARD in fleet.hosts[name].fallbacks
        for name in others(fleet)
    )
    fleet.resume(coordinator)
    fleet.run(4)
    assert rejected(fleet) < MAX_REJECTED
    assert fleet.ordered_hosts == set(fleet.names)
    fleet.counts.clear()
    fleet.run(3)
    assert answered(fleet) > 0.85 * fleet.slots / 0.09 * 3


@pytest.mark.parametrize("direction", ["hears nothing", "is not heard"])
def test_host_cut_off_in_one_direction_costs_only_its_share(direction):
    fleet = overloaded_fleet()
    coordinator, host = fleet.coordinator, others(fleet)[0]
    cut = (coordinator, host) if direction == "hears nothing" else (host, coordinator)
    fleet.is_lost = lambda sender, receiver: (sender, receiver) == cut
    fleet.run(6)
    assert rejected(fleet) < MAX_REJECTED
    assert answered(fleet) > 0.9 * fleet.slots / 0.09 * 6


@pytest.mark.parametrize("direction", ["hears nothing", "is not heard"])
def test_coordinator_cut_off_in_one_direction_leads_to_no_rejections(direction):
    fleet = overloaded_fleet()
    coordinator = fleet.coordinator
    if direction == "hears nothing":
        fleet.is_lost = lambda sender, receiver: receiver == coordinator
    else:
        fleet.is_lost = lambda sender, receiver: sender == coordinator
    fleet.run(3)
    assert rejected(fleet) < MAX_REJECTED
    fleet.counts.clear()
    fleet.run(3)
    assert rejected(fleet) < MAX_REJECTED
    assert answered(fleet) > 0.8 * fleet.slots / 0.09 * 3
    fleet.is_lost = lambda sender, receiver: False
    fleet.run(6)
    fleet.counts.clear()
    fleet.run(3)
    assert answered(fleet) > 0.85 * fleet.slots / 0.09 * 3


def test_restart_of_half_of_the_hosts():
    fleet = overloaded_fleet()
    half = fleet.names[::2]
    fleet.kill(*half)
    fleet.set_members()
    fleet.run(1)
    fleet.start(*half)
    fleet.set_members()
    fleet.run(5)
    assert fleet.ordered_hosts == set(fleet.names)
    assert rejected(fleet) < MAX_REJECTED


def test_host_that_joins_learns_of_the_order():
    fleet = overloaded_fleet()
    fleet.kill("host-5")
    fleet.set_members()
    fleet.run(1)
    fleet.start("host-5")
    fleet.set_members()
    fleet.run(0.2)
    assert "host-5" in fleet.ordered_hosts
    fleet.run(2)
    assert rejected(fleet) < MAX_REJECTED


def test_older_hosts_that_decide_for_themselves_keep_their_share():
    older = tuple(f"host-{number}" for number in range(0, HOSTS, 2))
    fleet = PlainFleet(hosts=HOSTS, load=1.5, older=older)
    fleet.run(10)
    alone = PlainFleet(hosts=HOSTS, load=1.5, shared=False)
    alone.run(10)
    assert rejected(fleet) < rejected(alone) / 10
    assert set(older).isdisjoint(fleet.ordered_hosts)
    by_older = sum(
        fleet.requests[request][1] in fleet.older for request in fleet.answered
    )
    assert by_older >= 0.45 * len(fleet.answered)


def test_order_with_a_coordinator_of_an_older_release():
    # It tells nobody of the order, so each host begins with a rejection of its own.
    coordinator = PlainFleet(hosts=HOSTS).coordinator
    fleet = PlainFleet(hosts=HOSTS, load=1.5, older=(coordinator,))
    fleet.run(10)
    alone = PlainFleet(hosts=HOSTS, load=1.5, shared=False)
    alone.run(10)
    assert rejected(fleet) < rejected(alone) / 5


def test_server_that_leaves_in_a_burst():
    fleet = overloaded_fleet()
    fleet.end_server("s-0")
    fleet.run(0.5)
    fleet.list_servers()
    fleet.run(4)
    assert rejected(fleet) < MAX_REJECTED
    assert fleet.counts["refused beside a free slot"] == 0
    assert answered(fleet) > 0.85 * fleet.slots / 0.09 * 4


def test_nothing_that_may_not_be_repeated_runs_twice():
    fleet = overloaded_fleet()
    fleet.kill(fleet.coordinator)
    fleet.run(1)
    fleet.set_members()
    fleet.stalled.add(fleet.coordinator)
    fleet.run(1)
    fleet.resume(fleet.coordinator)
    fleet.load = 0.4
    fleet.run(14)
    assert fleet.ordered_hosts == set()
    lower = {request for request, (kind, *_) in fleet.requests.items() if kind is LOWER}
    taken = [request for request in fleet.taken if request in lower]
    assert len(taken) == len(set(taken))


def test_every_request_is_settled_once_the_load_ends():
    fleet = overloaded_fleet(load=3.0)
    fleet.load = 0
    fleet.run(URGENT.timeout + LOWER.timeout)
    unsettled = fleet.requests.keys() - fleet.answered.keys() - fleet.settled.keys()
    assert unsettled == set()
    assert not any(state.requests for state in fleet.hosts.values())
