import pytest

from amaranthferry.fairness import PRUNE_THRESHOLD, FairShare
from amaranthferry.policy import Policy
from tests.scheduling import Session, permit_request, server


def granted_order(policy=None, **weights):
    session = Session(server("e1", slots=1, decode_interval=0.05), policy=policy)
    session.request("running")
    for number in range(6):
        session.request(f"a{number}", workspace="a", weight=weights.get("a", 1.0))
    for number in range(2):
        session.request(f"b{number}", workspace="b", weight=weights.get("b", 1.0))
    for _ in range(8):
        session.release(list(session.granted())[-1])
    return [request_id[0] for request_id in list(session.granted())[1:]]


def test_a_burst_does_not_starve_another_workspace():
    assert granted_order()[:4].count("b") == 2


def test_without_fairness_the_burst_goes_first():
    assert granted_order(Policy(fairness=False)) == ["a"] * 6 + ["b"] * 2


def test_weights_set_the_proportions():
    assert granted_order(a=6.0)[:5].count("a") >= 4


def test_within_a_workspace_the_earliest_deadline_goes_first():
    session = Session(server("e1", slots=1, decode_interval=0.05))
    session.request("running")
    for number in range(5):
        session.request(f"r{number}", remaining=100.0 - 10 * number)
    session.release("running")
    assert list(session.granted())[-1] == "r4"


@pytest.mark.parametrize("cost", [0.1, 5.0])
def test_refund_restores_the_virtual_start(cost):
    fair_share = FairShare()
    fair_share.charge(permit_request("r1"), cost)
    fair_share.refund(permit_request("r1"), cost)
    assert fair_share.charge(permit_request("r2"), cost) == 0


def test_idle_workspaces_are_pruned():
    fair_share = FairShare()
    for number in range(4 * PRUNE_THRESHOLD):
        request = permit_request("r", workspace=f"w{number}")
        fair_share.record_grant(request, fair_share.charge(request, 1.0) + number)
    assert len(fair_share._finish) <= 2 * PRUNE_THRESHOLD
