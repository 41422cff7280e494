import pytest

from amaranthferry.gateway.stopping import BALANCER_LAG, STOP_SLACK, StopPlan

BEGAN = 100.0


@pytest.mark.parametrize("grace", [0.0, 0.3, 1.0, 3.0, 5.0, 8.0, 60.0])
def test_moments_of_a_stop_are_in_order_and_within_the_grace_period(grace):
    plan = StopPlan.from_grace(BEGAN, grace)
    assert BEGAN <= plan.refuses_at <= plan.hands_back_at <= plan.ends_at
    assert plan.ends_at <= BEGAN + max(0.0, grace - STOP_SLACK)


def test_requests_are_taken_until_the_balancer_sends_no_more():
    plan = StopPlan.from_grace(BEGAN, 8.0)
    assert plan.admits(BEGAN + BALANCER_LAG - 0.1, deadline=BEGAN + 60.0)
    assert not plan.admits(BEGAN + BALANCER_LAG + 0.1, deadline=BEGAN + 60.0)


def test_late_request_is_taken_only_if_it_ends_within_the_grace_period():
    plan = StopPlan.from_grace(BEGAN, 8.0)
    assert plan.admits(BEGAN + 5.0, deadline=plan.ends_at)
    assert not plan.admits(BEGAN + 5.0, deadline=plan.ends_at + 0.01)


def test_load_that_arrives_all_through_a_stop_is_refused_or_ends_in_time():
    plan = StopPlan.from_grace(BEGAN, 8.0)
    arrivals = [BEGAN + 0.05 * number for number in range(160)]
    taken = [
        (arrived, arrived + timeout)
        for arrived in arrivals
        for timeout in (0.6, 2.5, 12.0)
        if plan.admits(arrived, deadline=arrived + timeout)
    ]
    late = [deadline for arrived, deadline in taken if arrived >= plan.refuses_at]
    assert late
    assert max(late) <= plan.ends_at
