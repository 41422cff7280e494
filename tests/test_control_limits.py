import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthferry.control_limits import (
    Incident,
    LimitCase,
    LimitFleet,
    Trouble,
    format_limits,
    run_case,
)

SIZES = [1, 3, 16, 64]


@pytest.mark.parametrize("limits", [(1.0, 2.2), (0.3,), (20.0, 5.0)])
@pytest.mark.parametrize("hosts", SIZES)
@pytest.mark.parametrize("plain", [False, True])
def test_limits_are_kept_in_sum_at_any_number_of_hosts(plain, hosts, limits):
    rate = max(40.0, 2.0 * hosts)
    case = LimitCase(
        hosts=hosts,
        servers=max(6, hosts // 4),
        rate=rate,
        plain=plain,
        limits=limits,
        duration=14,
    )
    result = run_case(case)
    assert result.worst_of_all.excess <= 0
    assert result.served >= 0.9


@pytest.mark.parametrize("hosts", SIZES)
@pytest.mark.parametrize("plain", [False, True])
def test_limited_servers_get_most_of_what_they_take_under_demand(plain, hosts):
    rate = max(40.0, 2.0 * hosts)
    limits = (3.0,) * 6
    case = LimitCase(hosts=hosts, rate=rate, plain=plain, limits=limits, duration=18)
    result = run_case(case)
    assert result.worst_of_all.excess <= 0
    assert result.used >= 0.7


@pytest.mark.parametrize("trouble", Trouble)
@pytest.mark.parametrize("plain", [False, True])
def test_limits_are_kept_beside_each_trouble(plain, trouble):
    incidents = tuple(
        Incident(at, trouble, target=number, lasting=1.5)
        for number, at in enumerate((5.0, 8.0, 8.5))
    )
    case = LimitCase(hosts=8, plain=plain, incidents=incidents, duration=18)
    assert run_case(case).worst.excess <= 0


incidents = st.builds(
    Incident,
    at=st.floats(2.0, 16.0),
    trouble=st.sampled_from(Trouble),
    target=st.integers(0, 40),
    lasting=st.sampled_from([0.3, 0.8, 1.5, 4.0]),
)
cases = st.builds(
    LimitCase,
    hosts=st.sampled_from([3, 6, 16]),
    plain=st.booleans(),
    rate=st.sampled_from([20.0, 60.0]),
    limits=st.sampled_from([(1.0, 2.2), (0.3, 0.3), (8.0, 4.0), (3.0,) * 6]),
    delay=st.sampled_from([0.002, 0.05]),
    loss=st.sampled_from([0.0, 0.01]),
    incidents=st.lists(incidents, max_size=6).map(tuple),
    seed=st.integers(0, 1_000),
)


@settings(max_examples=30, deadline=None, derandomize=True)
@given(cases)
def test_limits_are_kept_beside_any_troubles(case):
    assert run_case(case).worst.excess <= 0


@pytest.mark.parametrize("plain", [False, True])
def test_end_of_a_limit_is_known_to_all_hosts_within_two_seconds(plain):
    ended = Incident(8.0, Trouble.END_LIMIT, target=0)
    fleet = LimitFleet(LimitCase(plain=plain, incidents=(ended,)))
    fleet.run_until(7.9)
    assert limited_hosts(fleet) == len(fleet.hosts)
    fleet.run_until(10.0)
    assert limited_hosts(fleet) == 0


@pytest.mark.parametrize("plain", [False, True])
def test_all_is_served_again_two_seconds_after_all_limits_end(plain):
    ended = tuple(Incident(10.0, Trouble.END_LIMIT, target=n) for n in range(6))
    limits = (2.0,) * 6
    case = LimitCase(hosts=8, plain=plain, rate=60.0, limits=limits, incidents=ended)
    fleet = LimitFleet(case)
    fleet.run_until(18.0)
    assert 0.7 * 12 / 60 <= fleet.served(5.0, 9.0) <= 1.5 * 12 / 60
    assert fleet.served(12.0, 16.0) == 1.0


def limited_hosts(fleet):
    """Return the hosts that know of a limit of the first server."""
    return sum(
        any(item.server == "s-0" for item, _ in state.server_rates.in_force())
        for state in fleet.hosts.values()
    )


def test_each_host_tells_others_at_most_once_a_second_of_a_limit_that_changes():
    changes = tuple(
        Incident(2.0 + number * 0.1, trouble, target=0)
        for number, trouble in enumerate([Trouble.LOWER, Trouble.RAISE] * 40)
    )
    case = LimitCase(limits=(8.0,), incidents=changes, duration=10.0)
    assert run_case(case).notices <= case.hosts * 8 * 6


def test_table_lists_each_case():
    lines = format_limits([LimitCase(hosts=3, duration=6), LimitCase(plain=True)])
    assert len(lines.splitlines()) == 4
