import pytest

from amaranthferry import events
from amaranthferry.leaving import MAX_LEAVING, LeavingServers, incarnation_of
from amaranthferry.messages import LeavingNotice, ServerIncarnation
from amaranthferry.types import ServerSignal, ServerState

from .reducer_fleet import ENGINES, LEDGER, ReducerFleet, instance, replaced

POOLS = [ENGINES, LEDGER]


def two_servers(pool=ENGINES):
    return [instance("s-0", pool), instance("s-1", pool)]


def fleet(pool=ENGINES, **options):
    """Return a fleet whose servers answer each request after 50 ms."""
    system = ReducerFleet(two_servers(pool), **options)
    system.service_time = 0.05
    return system


def say_leaving(system, server="s-0", host="host-0"):
    incarnation = incarnation_of(system.hosts[host].deployment, server)
    seen = events.ServerLeavingSeen(now=system.now, incarnation=incarnation)
    system.apply(host, seen)


def send_everywhere(system, pool, count=4):
    system.now += 1.0
    before = len(system.dispatched)
    for host in system.hosts:
        for _ in range(count):
            system.send(host, pool=pool)
    system.advance(1.0)
    return {server for _, server, _ in system.dispatched[before:]}


@pytest.mark.parametrize("pool", POOLS)
def test_leaving_server_gets_nothing_new_from_any_host(pool):
    system = fleet(pool)
    assert send_everywhere(system, pool) == {"s-0", "s-1"}
    say_leaving(system)
    assert send_everywhere(system, pool) == {"s-1"}


@pytest.mark.parametrize("pool", POOLS)
@pytest.mark.parametrize("hosts", [1, 3, 40])
def test_each_host_learns_that_a_server_leaves_once(pool, hosts):
    system = fleet(pool, hosts=hosts)
    for _ in range(2):
        say_leaving(system)
        say_leaving(system, host=f"host-{hosts - 1}")
    learned = [host for host, signal in system.signals]
    assert sorted(learned) == sorted(system.hosts)


@pytest.mark.parametrize("pool", POOLS)
def test_list_that_shows_a_leaving_server_as_live_does_not_overrule_it(pool):
    system = fleet(pool)
    say_leaving(system)
    system.list_servers(two_servers(pool))
    system.list_servers([instance("s-1", pool)])
    system.list_servers(two_servers(pool))
    assert send_everywhere(system, pool) == {"s-1"}


@pytest.mark.parametrize("pool", POOLS)
@pytest.mark.parametrize("change", [{"incarnation": 2}, {"address": "elsewhere:1"}])
def test_server_that_starts_again_starts_afresh(pool, change):
    system = fleet(pool)
    say_leaving(system)
    first, second = two_servers(pool)
    system.list_servers([replaced(first, **change), second])
    assert send_everywhere(system, pool) == {"s-0", "s-1"}
    # A restored store may list the earlier incarnation again.
    system.list_servers([first, second])
    assert send_everywhere(system, pool) == {"s-1"}


def test_notice_of_an_earlier_incarnation_does_not_stop_the_new_one():
    system = fleet()
    old = incarnation_of(system.hosts["host-0"].deployment, "s-0")
    first, second = two_servers()
    system.list_servers([replaced(first, incarnation=2), second])
    seen = events.ServerLeavingSeen(now=system.now, incarnation=old)
    system.apply("host-0", seen)
    assert send_everywhere(system, ENGINES) == {"s-0", "s-1"}


def test_host_that_has_not_listed_an_incarnation_remembers_that_it_leaves():
    system = fleet()
    first, second = two_servers()
    new = replaced(first, incarnation=2)
    system.list_servers([new, second], hosts=["host-0"])
    say_leaving(system)
    system.list_servers([new, second])
    assert send_everywhere(system, ENGINES) == {"s-1"}


def test_grant_of_a_coordinator_that_does_not_know_is_declined():
    system = fleet()
    system.lost_messages = LeavingNotice
    say_leaving(system)
    system.lost_messages = ()
    before = len(system.dispatched)
    for _ in range(4):
        system.send("host-0")
    system.advance(1.0)
    used = {server for _, server, _ in system.dispatched[before:]}
    assert used == {"s-1"}
    assert send_everywhere(system, ENGINES) == {"s-1"}


def test_work_that_runs_at_a_leaving_server_is_not_cancelled():
    system = ReducerFleet(two_servers())
    for _ in range(4):
        system.send("host-0")
    dispatched = len(system.dispatched)
    for server in ("s-0", "s-1"):
        say_leaving(system, server)
    system.advance(1.0)
    state = system.hosts["host-0"]
    running = [req for req in state.requests.values() if req.is_running]
    assert len(running) == dispatched > 0


def test_repeated_run_avoids_a_leaving_server():
    system = ReducerFleet([*two_servers(), instance("s-2")])
    system.send("host-0")
    ((_, server, _),) = system.dispatched
    others = sorted({"s-0", "s-1", "s-2"} - {server})
    say_leaving(system, others[0])
    failed = events.DispatchFailed(now=system.now, request_id="r1")
    system.apply("host-0", failed)
    system.advance(0.2)
    assert [used for _, used, _ in system.dispatched[1:]] == [others[1]]


def test_requests_wait_while_all_servers_leave_and_are_refused_as_not_run():
    system = fleet()
    for server in ("s-0", "s-1"):
        say_leaving(system, server)
    request = system.send("host-0", timeout=2.0)
    system.advance(2.0)
    assert system.dispatched == []
    assert system.settled[request].outcome == "not_run"


def test_requests_that_wait_go_to_a_replacement():
    system = fleet()
    for server in ("s-0", "s-1"):
        say_leaving(system, server)
    system.send("host-0")
    system.advance(0.2)
    system.list_servers([*two_servers(), instance("s-2")])
    system.advance(0.2)
    assert system.servers_used() == {"s-2"}


def test_shards_do_not_depend_on_which_hosts_know_that_servers_leave():
    names = [instance(f"s-{number:03}") for number in range(65)]
    system = ReducerFleet(names)
    system.lost_messages = LeavingNotice
    say_leaving(system, "s-000")
    shards = {state.shards_of(ENGINES) for state in system.hosts.values()}
    assert len(shards) == 1


def test_memory_of_leaving_servers_is_bounded_and_forgetting_is_reported():
    leaving = LeavingServers()
    names = [ServerIncarnation(f"s-{n}", 1, "a:1") for n in range(MAX_LEAVING + 1)]
    forgotten = [leaving.add(name, 0.0) for name in names]
    assert forgotten == [None] * MAX_LEAVING + [names[0]]
    assert len(leaving) == MAX_LEAVING
    system = fleet(hosts=1)
    for name in names:
        seen = events.ServerLeavingSeen(now=system.now, incarnation=name)
        system.apply("host-0", seen)
    kinds = [signal.signal for _, signal in system.signals]
    assert kinds.count(ServerSignal.LEAVING_FORGOTTEN) == 1


def test_draining_entry_still_stops_new_work():
    system = fleet()
    first, second = two_servers()
    system.list_servers([replaced(first, state=ServerState.LEAVING), second])
    assert send_everywhere(system, ENGINES) == {"s-1"}
