"""Guard against second runs beyond the operator's limit and the retry budget."""

import random

import pytest

from amaranthferry.gateway.application import budget_limits_of
from amaranthferry.hedging.accounting import may_take
from amaranthferry.hedging.budget import WorkBudget
from amaranthferry.retry import RepeatBudget

from .simulation import BOUNDS

LIMIT = 0.02


def use(budget, *, seconds, rate, seed, longest=0.1):
    """Take what the budget allows at all times; return first and extra work."""
    rng = random.Random(seed)
    now = 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        budget.record_first(rng.uniform(0.01, longest), now)
        if budget.take(0.05):
            budget.settle(0.05, rng.uniform(0.0, 2 * longest))


@pytest.mark.parametrize("hosts", [1, 30, 129])
def test_all_hosts_stay_within_the_limit_without_hearing_each_other(hosts):
    """The hosts exchange nothing for this, so a partition can't change the sum."""
    budgets = [WorkBudget(LIMIT) for _ in range(hosts)]
    for seed, budget in enumerate(budgets):
        use(budget, seconds=600.0, rate=60.0 / hosts, seed=seed)
    first = sum(budget.first_work for budget in budgets)
    extra = sum(budget.extra_work for budget in budgets)
    # One run at a time may exceed what was reserved for it; its host then owes it.
    assert extra <= LIMIT * first + hosts * 0.2


def test_host_with_little_work_saves_enough_for_a_run():
    budget = WorkBudget(LIMIT)
    for number in range(100):
        budget.record_first(0.1, number * 10.0)
    assert budget.take(0.1)


def test_work_is_owed_after_a_run_that_was_longer_than_reserved():
    budget = WorkBudget(LIMIT)
    for number in range(100):
        budget.record_first(0.1, number * 1.0)
    assert budget.take(0.05)
    budget.settle(0.05, 3.0)
    assert not budget.take(0.01)


def test_savings_are_bounded():
    """Guard against a burst of second runs after hours without slow ones."""
    budget = WorkBudget(LIMIT)
    for number in range(100_000):
        budget.record_first(0.1, number * 0.1)
    assert budget.left <= LIMIT * 60.0 * 1.01


def second_runs(hosts, *, seconds, requests, older=0):
    """Return the second runs and retries of hosts that always want one of either.

    Hosts of an older release only retry.
    """
    limits = budget_limits_of(BOUNDS, hosts)
    total = 0
    for number in range(hosts):
        hedges = number >= older
        budget = RepeatBudget(
            tokens=limits.repeat_burst,
            ratio=limits.repeat_ratio,
            burst=limits.repeat_burst,
            refill=limits.repeat_refill,
        )
        for tick in range(int(seconds * 20)):
            now = tick * 0.05
            if requests and tick % 4 == 0:
                budget.deposit()
            if (hedges and may_take(budget, now)) or tick % 7 == 0:
                total += budget.take(now)
    return total


@pytest.mark.parametrize("hosts", [1, 3, 30, 129, 200])
@pytest.mark.parametrize("requests", [False, True])
def test_second_runs_and_retries_share_one_budget(hosts, requests):
    total = second_runs(hosts, seconds=BOUNDS.retry_window, requests=requests)
    asked = hosts * BOUNDS.retry_window * 5 if requests else 0
    assert total <= BOUNDS.retry_ratio * asked + BOUNDS.retry_extra


@pytest.mark.parametrize("older", [0, 15, 29])
def test_hosts_of_an_older_release_keep_their_part(older):
    """In a mixed fleet only some hosts send second runs, each on its own part."""
    total = second_runs(30, seconds=BOUNDS.retry_window, requests=False, older=older)
    assert total <= BOUNDS.retry_extra


@pytest.mark.parametrize(("before", "after"), [(30, 15), (15, 30), (129, 60)])
def test_change_of_hosts_keeps_the_shared_budget(before, after):
    """Guard against parts that add up to more while hosts join or leave."""
    limits = budget_limits_of(BOUNDS, before)
    budgets = [
        RepeatBudget(
            tokens=limits.repeat_burst,
            burst=limits.repeat_burst,
            refill=limits.repeat_refill,
        )
        for _ in range(before)
    ]
    total = 0
    changed = budget_limits_of(BOUNDS, after)
    for tick in range(int(BOUNDS.retry_window * 20)):
        now = tick * 0.05
        if tick == 100:
            budgets = budgets[:after]
            budgets += [
                RepeatBudget(tokens=changed.repeat_burst, refilled_at=now)
                for _ in range(after - len(budgets))
            ]
            for budget in budgets:
                budget.burst = changed.repeat_burst
                budget.refill = changed.repeat_refill
        for budget in budgets:
            if may_take(budget, now):
                total += budget.take(now)
    assert total <= BOUNDS.retry_extra


def test_failed_runs_keep_a_part_of_the_retry_budget():
    budget = RepeatBudget(tokens=3.0, burst=3.0)
    taken = 0
    while may_take(budget, 0.0):
        taken += budget.take(0.0)
    assert taken == 2
    assert budget.take(0.0)


def test_host_with_one_repeat_may_use_it_for_a_second_run():
    assert may_take(RepeatBudget(tokens=1.0, burst=1.0), 0.0)
