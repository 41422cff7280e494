import pytest

from amaranthferry.platform.store import WATCH_TIMEOUT
from amaranthferry.replica.budget import (
    ANSWER_SHARE,
    CONFIRM_SHARE,
    NOTICE_SHARE,
    ORDER_SHARE,
    SPREAD_SHARE,
    TURN_SHARE,
    AgeBudget,
)
from amaranthferry.replica.read_pace import FLEET_READ_RATE, MIN_READ_PERIOD
from amaranthferry.replica.statements import STALENESS_SLACK
from amaranthferry.replica.store_sync import ANSWER_TIMEOUT, READER_COUNT

#: Bounds on a change and on a revoked key of every site, and others.
BOUNDS = [(2.0, 5.0), (1.0, 5.0), (4.0, 5.0), (10.0, 30.0)]


@pytest.mark.parametrize(("apply", "revoke"), BOUNDS)
def test_steps_of_a_change_past_silent_readers_add_up_to_its_bound(apply, revoke):
    budget = AgeBudget.from_bounds(apply=apply, revoke=revoke)
    steps = (
        CONFIRM_SHARE + ORDER_SHARE,
        ANSWER_SHARE,
        NOTICE_SHARE,
        TURN_SHARE,
        SPREAD_SHARE,
    )
    assert sum(steps) <= 1.0
    assert budget.confirm_after(1) + budget.late_after(0.0) < budget.update_age


@pytest.mark.parametrize("hosts", [3, 16, 64, 137, 200, 370])
def test_some_host_reads_within_the_share_for_its_turn(hosts):
    # Half of the hosts are cut off too; the others' turns are spread evenly.
    period = max(MIN_READ_PERIOD, hosts / FLEET_READ_RATE)
    assert period / max(1, (hosts - READER_COUNT) // 2) <= TURN_SHARE * 2.0 * 1.001


@pytest.mark.parametrize(("apply", "revoke"), BOUNDS)
def test_state_of_a_host_in_touch_is_young_enough_for_every_statement(apply, revoke):
    budget = AgeBudget.from_bounds(apply=apply, revoke=revoke)
    answered = 0.1 * budget.bound
    oldest = budget.confirm_after(1) + answered + budget.request_period
    assert oldest < budget.denial_age < budget.bound
    assert oldest + 2 * ANSWER_TIMEOUT < revoke - STALENESS_SLACK or revoke < 2.0


def test_answer_of_a_slow_store_is_late_later_but_before_it_is_given_up():
    budget = AgeBudget(2.0)
    assert budget.late_after(0.004) == 0.5
    assert 1.0 < budget.late_after(1.0) < WATCH_TIMEOUT
