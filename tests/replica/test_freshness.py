from amaranthferry.replica.budget import AgeBudget
from amaranthferry.replica.freshness import Freshness
from amaranthferry.replica.statements import STALENESS_SLACK


def test_age_counts_from_the_latest_confirmed_read():
    freshness = Freshness(5.0)
    assert freshness.age(1.0) is None
    assert not freshness.is_current(1.0)
    freshness.confirm(10.0)
    freshness.confirm(8.0)
    assert freshness.age(12.0) == 2.0


def test_state_is_current_up_to_its_bound():
    freshness = Freshness(5.0)
    freshness.confirm(10.0)
    assert freshness.is_current(15.0 - STALENESS_SLACK - 0.01)
    assert not freshness.is_current(15.0 - STALENESS_SLACK)


def test_readiness_ends_before_the_state_is_stale():
    freshness = Freshness(5.0, AgeBudget(4.0))
    freshness.confirm(10.0)
    assert freshness.is_ready(13.9)
    assert not freshness.is_ready(14.0)
    assert freshness.is_current(14.0)


def test_host_is_never_ready_with_a_state_that_is_too_old_for_keyed_requests():
    freshness = Freshness(5.0, AgeBudget(9.0))
    freshness.confirm(10.0)
    assert freshness.is_ready(14.3)
    assert not freshness.is_ready(14.4)
    assert not freshness.is_current(14.4)


def test_readiness_ends_before_a_change_may_be_missing_for_longer_than_its_bound():
    freshness = Freshness(5.0, AgeBudget(2.0))
    freshness.confirm(10.0)
    assert freshness.is_ready(11.9)
    assert not freshness.is_ready(12.0)
