import itertools

import pytest

from amaranthferry.limits.turns import (
    ALL_TURNS,
    MIN_RATE,
    TURNS_PER_SECONDARY,
    Allowance,
    Part,
    TurnOwners,
    owner_of,
)

STEP = 0.05


def hosts(count):
    return frozenset(f"host-{number}" for number in range(count))


def share(host, names):
    return TurnOwners(Part.SHARE, names, frozenset((host,)))


def arrivals(allowances, *, since, until):
    """Use everything that every host may send, as soon as it may."""
    times = []
    now = since
    while now < until:
        for allowance, owners in allowances:
            allowance.refresh(owners, now)
            while allowance.available:
                allowance.take()
                times.append(now)
        now += STEP
    return times


def worst_window(times, width=4.0):
    return max(
        (sum(at <= other < at + width for other in times) for at in times), default=0
    )


@pytest.mark.parametrize("rate", [0.3, 1.0, 2.2, 25.0])
@pytest.mark.parametrize("count", [1, 3, 15, 137, 370])
def test_shares_of_all_hosts_add_up_to_the_rate(rate, count):
    names = hosts(count)
    allowances = [
        (Allowance("s", rate, 0.0, 0.0), share(host, names)) for host in names
    ]
    times = arrivals(allowances, since=0.0, until=10.0)
    assert len(times) == pytest.approx(rate * 10.0, abs=1 + 0.1 * rate)
    assert worst_window(times) <= 1.5 * rate * 4 + 5


@pytest.mark.parametrize("rate", [0.3, 1.0, 2.2, 8.0])
def test_hosts_that_wait_for_work_do_not_save_up_their_turns(rate):
    names = hosts(195)
    allowances = [
        (Allowance("s", rate, 0.0, 0.0), share(host, names)) for host in names
    ]
    for now in itertools.takewhile(lambda at: at < 30, itertools.count(0.0, 0.5)):
        for allowance, owners in allowances:
            allowance.refresh(owners, now)
    times = arrivals(allowances, since=30.0, until=36.0)
    assert worst_window(times) <= 1.5 * rate * 4 + 5


def test_coordinator_that_waits_for_work_saves_up_little():
    allowance = Allowance("s", 8.0, 0.0, 0.0)
    allowance.refresh(ALL_TURNS, 60.0)
    assert allowance.available == 2


def test_deciders_that_follow_each_other_do_not_begin_a_new_window():
    times = []
    for number in range(12):
        allowance = Allowance("s", 1.0, 0.0, number * 0.5)
        times += arrivals(
            [(allowance, ALL_TURNS)], since=number * 0.5, until=number * 0.5 + 0.5
        )
    assert len(times) <= 6


def test_deciders_without_the_role_use_a_third_beside_the_coordinator():
    names = hosts(20)
    deciders = [TurnOwners(Part.SECONDARY, names, frozenset((host,))) for host in names]
    used = [
        turn for turn in range(300) for owners in deciders if owners.owns("s", turn)
    ]
    assert len(used) == len(set(used)) == 300 / TURNS_PER_SECONDARY
    assert sum(item.fraction for item in deciders) == pytest.approx(
        1 / TURNS_PER_SECONDARY
    )


def test_host_that_leaves_changes_only_the_owner_of_its_own_turns():
    names = hosts(20)
    before = [owner_of("s", turn, names) for turn in range(500)]
    after = [owner_of("s", turn, names - {"host-7"}) for turn in range(500)]
    changed = {old for old, new in zip(before, after, strict=True) if old != new}
    assert changed == {"host-7"}


@pytest.mark.parametrize("rate", [0.0, 0.001])
def test_server_that_takes_next_to_nothing_is_still_asked(rate):
    allowance = Allowance("s", rate, 0.0, 0.0)
    times = arrivals([(allowance, ALL_TURNS)], since=0.0, until=60.0)
    assert len(times) == pytest.approx(60 * MIN_RATE, abs=1)


def test_request_that_was_not_sent_may_be_sent_again_for_a_short_while():
    allowance = Allowance("s", 1.0, 0.0, 0.0)
    allowance.refresh(ALL_TURNS, 1.0)
    allowance.take()
    allowance.give_back(1.2)
    assert allowance.available == 1
    allowance.refresh(ALL_TURNS, 1.9)
    assert allowance.available == 1
