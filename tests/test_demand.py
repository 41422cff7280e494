import pytest

from amaranthferry.demand import Demand
from amaranthferry.granting import MIN_RETRY_AFTER
from amaranthferry.messages import PermitRefusal
from tests.scheduling import Session, server


def test_wait_follows_completion_rate():
    demand = Demand()
    for second in range(1, 400):
        demand.record_completion(2.0, float(second), busy=True, slots=8)
    assert demand.estimate_wait(1, 20.0, 400.0, 8) == pytest.approx(10.0, rel=0.05)


def test_idle_time_does_not_change_completion_rate():
    demand = Demand()
    for second in range(1, 400):
        demand.record_completion(0.1, float(second), busy=False, slots=8)
    assert demand.estimate_wait(0, 8.0, 400.0, 8) == pytest.approx(1.0)


def test_higher_tier_arrivals_lengthen_lower_tier_wait():
    demand = Demand()
    for second in range(100):
        demand.record_arrival(0, 4.0, float(second))
    assert demand.estimate_wait(1, 8.0, 100.0, 8) > 1.5 * demand.estimate_wait(
        0, 8.0, 100.0, 8
    )


def refusal(session, request_id):
    messages = [effect.message for effect in session.sent]
    return next(
        m
        for m in messages
        if isinstance(m, PermitRefusal) and m.request_id == request_id
    )


def test_retry_after_grows_with_the_work_ahead():
    session = Session(server("e1", slots=1), queue_limit=50)
    session.request("running", remaining=900.0)
    for number in range(51):
        session.request(f"r{number}", remaining=900.0)
    long_wait = refusal(session, "r50").retry_after
    assert 20.0 < long_wait < 100.0
    short = Session(server("e1", slots=1), queue_limit=0)
    short.request("running")
    short.request("r")
    assert refusal(short, "r").retry_after == MIN_RETRY_AFTER
