"""Check that a level's minimum prevents starvation without displacing urgent work."""

import pytest

from amaranthferry.bench import run_row
from amaranthferry.bench_targets import MAX_EARNED_EXCESS, earned_excess
from amaranthferry.minimum_share import MinimumShares

URGENT, STANDARD, LOWEST = (0, 0), (1, 0), (2, 0)


def shares_after(seconds=6.0, *, by_service=True, **levels):
    """Return the shares after (arrivals, grants in time, cost) a second by level."""
    shares = MinimumShares(by_service=by_service)
    ranks = {"urgent": URGENT, "standard": STANDARD, "lowest": LOWEST}
    for second in range(int(seconds)):
        for name, (arrivals, grants, cost) in levels.items():
            for _ in range(arrivals):
                shares.record_arrival(ranks[name], second)
            for _ in range(grants):
                shares.record(ranks[name], cost, second)
    return shares, seconds


def test_level_below_its_share_goes_first_while_it_is_served_less():
    shares, now = shares_after(urgent=(10, 6, 1.0), lowest=(10, 5, 0.05))
    assert shares.is_below_minimum(LOWEST, now)


def test_cheap_level_does_not_go_first_once_it_is_served_more_often():
    levels = {"urgent": (10, 6, 1.0), "lowest": (10, 9, 0.05)}
    shares, now = shares_after(**levels)
    assert not shares.is_below_minimum(LOWEST, now)
    old, now = shares_after(by_service=False, **levels)
    assert old.is_below_minimum(LOWEST, now)


def test_level_is_compared_with_every_more_urgent_one():
    shares, now = shares_after(
        urgent=(10, 9, 1.0), standard=(10, 2, 0.5), lowest=(10, 6, 0.05)
    )
    assert not shares.is_below_minimum(LOWEST, now)


def test_level_above_its_share_goes_first_while_it_is_hardly_served():
    shares, now = shares_after(urgent=(10, 8, 0.2), standard=(30, 2, 1.0))
    assert shares.is_below_minimum(STANDARD, now)


def test_late_grants_do_not_count_as_service():
    shares, now = shares_after(urgent=(10, 9, 1.0), lowest=(10, 0, 0.05))
    for _ in range(60):
        shares.record(LOWEST, 0.01, now, late=True)
    assert shares.is_below_minimum(LOWEST, now)


@pytest.mark.parametrize("load", [1.2, 1.5])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_takes_from_the_lowest_kind_before_more_urgent_ones(load, seed):
    new, old = (
        run_row("routed", load, policy, seed, duration=120.0)
        for policy in ("ours", "ours-without-minimum-by-service")
    )
    assert new.kinds["review"].earned > old.kinds["review"].earned
    assert new.kinds["answer"].earned > old.kinds["answer"].earned
    assert earned_excess(new) <= MAX_EARNED_EXCESS < earned_excess(old)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_kind_between_others_is_not_starved_by_high_overload(seed):
    new, old = (
        run_row("routed", 3.0, policy, seed, duration=120.0)
        for policy in ("ours", "ours-without-minimum-by-service")
    )
    assert served_ratio(new) >= 0.25 > served_ratio(old)


def served_ratio(row):
    kinds = row.kinds.values()
    served = sum(k.served * k.sent for k in kinds) / sum(k.sent for k in kinds)
    return min(k.served for k in kinds) / served
