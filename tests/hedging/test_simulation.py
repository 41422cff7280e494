"""Play slow servers, overload and a failed zone in virtual time, on small worlds."""

import msgspec
import pytest

from amaranthferry.catalog import RouteKind

from .simulation import World, percentile, simulate

WORLD = World(hosts=4, servers=4, seconds=40.0, warm_up=15.0, slow_factor=5.0)


def both(**changes):
    world = msgspec.structs.replace(WORLD, **changes)
    limit = changes.get("limit", 0.1)
    off = simulate(msgspec.structs.replace(world, limit=None))
    return off, simulate(msgspec.structs.replace(world, limit=limit))


def p99(simulation, kind=RouteKind.SAFE):
    return percentile(simulation.times[kind], 0.99)


def overshoot(simulation):
    """Return the work by which one run at each host may exceed its reservation."""
    return 1.0 * len(simulation.hosts)


def test_hosts_that_may_do_no_extra_work_behave_as_without_hedging():
    """Guard against a cost or a change of order from only measuring."""
    off, on = both(limit=1e-9, seconds=25.0)
    assert on.times == off.times
    assert on.arrivals == off.arrivals


def test_slow_servers_delay_repeatable_requests_less_with_second_runs():
    off, on = both(load=0.3, slow_share=0.1)
    assert p99(on) < p99(off)
    assert percentile(on.times[RouteKind.SAFE], 0.5) <= (
        1.1 * percentile(off.times[RouteKind.SAFE], 0.5)
    )


@pytest.mark.parametrize("load", [0.3, 0.9, 1.5])
@pytest.mark.parametrize("limit", [0.02, 0.1])
def test_extra_work_stays_within_the_limit(load, limit):
    _, on = both(load=load, limit=limit, seconds=25.0)
    assert on.extra_work() <= limit * on.first_work() + overshoot(on)


def test_overload_gets_no_second_runs_once_servers_reject():
    """Guard against extra work that makes an overload worse."""
    off, on = both(load=1.5, slow_share=0.0, seconds=25.0, hosts=12)
    assert off.rejections > 0
    assert sum(on.hedges().values()) <= 0.001 * on.arrivals
    assert on.rejections <= 1.05 * off.rejections + 10


def test_zone_that_fails_costs_no_more_with_second_runs():
    off, on = both(load=0.3, slow_share=0.0, failed_zone=True)
    assert on.met[RouteKind.SAFE] >= 0.99 * off.met[RouteKind.SAFE]
    assert on.met[RouteKind.UNSAFE] >= 0.99 * off.met[RouteKind.UNSAFE]


def test_unsafe_requests_reach_one_server_each():
    """Guard against a second run of what must run at most once, with slow servers."""
    world = msgspec.structs.replace(WORLD, limit=0.5, slow_share=0.3, seconds=25.0)
    simulation = simulate(world)
    assert sum(simulation.hedges().values()) > 0
    sent = simulation.sent[RouteKind.UNSAFE]
    assert sent and all(len(servers) <= 1 for servers in sent)
    assert all(len(servers) <= 2 for servers in simulation.sent[RouteKind.SAFE])


@pytest.mark.parametrize("failed_zone", [False, True])
def test_no_permit_is_left_at_the_end(failed_zone):
    """Guard against slots that stay taken by runs that were swapped or cancelled."""
    world = msgspec.structs.replace(
        WORLD, limit=0.5, slow_share=0.3, failed_zone=failed_zone, load=0.4
    )
    simulation = simulate(world)
    assert sum(simulation.hedges().values()) > 0
    for host in simulation.hosts.values():
        assert not host.hedger.open
        assert not host.state.requests
        for coordinator in host.state.coordinators.values():
            assert len(coordinator.permits) == 0
