import itertools
import math
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthferry.limits.turns import (
    ALL_TURNS,
    HOLD_TIME,
    HOLD_TURNS,
    MAX_SAVED_TIME,
    MIN_RATE,
    MIN_TURN,
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


@pytest.mark.parametrize("rate", [10_000.0, 999_999_999.9])
@pytest.mark.parametrize("part", [Part.ALL, Part.SHARE, Part.SECONDARY])
def test_high_rate_takes_no_more_memory_than_a_low_one(rate, part):
    names = hosts(3)
    owners = TurnOwners(part, names, names)
    tracemalloc.start()
    allowance = Allowance("s", rate, 0.0, 0.0)
    for tick in range(1, 40):
        allowance.refresh(owners, tick * STEP)
    held = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert allowance.available > 1
    assert held < 50_000


class CountedAllowance:
    """Model an allowance with one item for each unused request."""

    def __init__(self, rate, owners):
        self._model = Allowance("s", rate, 0.0, 0.0)
        self.rate, self.owners = self._model.rate, owners
        self._interval = max(MIN_TURN, 1.0 / self.rate)
        self._hold = HOLD_TIME + HOLD_TURNS / self.rate
        self._turn = 0
        self.unused = []

    def refresh(self, now):
        current = math.floor(now / self._interval)
        first = max(self._turn + 1, math.floor((now - self._hold) / self._interval))
        per_turn = self.rate * self._interval
        for turn in range(first, current + 1):
            if self.owners.owns("s", turn):
                count = math.floor((turn + 1) * per_turn) - math.floor(turn * per_turn)
                self.unused += [turn * self._interval] * count
        self._turn = max(self._turn, current)
        while self.unused and self.unused[0] < now - self._hold:
            self.unused.pop(0)
        if self.owners.part is Part.ALL:
            most = max(1, math.floor(self.rate * MAX_SAVED_TIME))
            self.unused = self.unused[max(0, len(self.unused) - most) :]


STEPS = st.lists(st.tuples(st.sampled_from("rtg"), st.floats(0.0, 0.6)), max_size=60)


@given(
    st.sampled_from([0.05, 0.7, 3.3, 40.0]),
    st.sampled_from(list(Part)),
    STEPS,
)
def test_counted_requests_are_those_of_single_items(rate, part, steps):
    names = hosts(3)
    owners = TurnOwners(part, names, frozenset(("host-0", "host-1")))
    allowance, model, now = Allowance("s", rate, 0.0, 0.0), None, 0.0
    model = CountedAllowance(rate, owners)
    for step, pause in steps:
        now += pause
        if step == "r":
            allowance.refresh(owners, now)
            model.refresh(now)
        elif step == "t":
            allowance.take()
            model.unused = model.unused[1:]
        else:
            allowance.give_back(now)
            model.unused.append(now)
        assert allowance.available == len(model.unused)
