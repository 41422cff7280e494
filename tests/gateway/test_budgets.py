import pytest

from amaranthferry.gateway.application import budget_limits_of
from amaranthferry.platform.settings import Bounds
from amaranthferry.retry import RepeatBudget


def bounds(extra):
    return Bounds(
        drain=3.0,
        grace=8.0,
        apply=3.0,
        revoke=5.0,
        strict_revoke=True,
        contact=4.0,
        retry_ratio=0.2,
        retry_window=10.0,
        retry_extra=extra,
        quota_window=8.0,
        quota_overage=0.1,
        quota_slack=0.0,
    )


def repeats_of(extra, hosts, *, seconds):
    """Return how many repeats one host makes that wants one at all times."""
    limits = budget_limits_of(bounds(extra), hosts)
    budget = RepeatBudget(
        tokens=limits.repeat_burst,
        burst=limits.repeat_burst,
        refill=limits.repeat_refill,
    )
    return sum(budget.take(tick * 0.1) for tick in range(int(seconds * 10)))


@pytest.mark.parametrize(("extra", "hosts"), [(338, 137), (338, 163), (430, 232)])
def test_many_hosts_with_a_small_part_of_the_budget_still_repeat_a_request(
    extra, hosts
):
    assert repeats_of(extra, hosts, seconds=60.0) > 1


@pytest.mark.parametrize("hosts", [1, 3, 15, 103, 137, 195, 202, 203, 370])
def test_all_hosts_together_stay_within_the_extra_repeats(hosts):
    assert hosts * repeats_of(338, hosts, seconds=10.0) <= 338
