import pytest

from amaranthferry.config import Quota
from amaranthferry.quota import QuotaLedger

FIELD = "field"


def ledger(**quota):
    found = QuotaLedger()
    found.apply({FIELD: Quota(**{"rate": 100.0, "burst": 200.0, **quota})})
    return found


def test_new_ledger_starts_from_the_burst_and_earns_the_rate():
    quotas = ledger(leeway=500.0)
    assert quotas.take(FIELD, 200, 0.0) == 0
    assert quotas.take(FIELD, 50, 0.0) == pytest.approx(0.5)
    assert quotas.take(FIELD, 50, 0.5) == 0


def test_leeway_is_earned_over_time():
    quotas = ledger(leeway=100.0)
    assert quotas.take(FIELD, 1, 0.0) == 0
    taken = sum(10 for _ in range(100) if quotas.take(FIELD, 10, 60.0) == 0)
    assert taken == 200 + 100


def test_no_window_holds_more_than_its_bound():
    quotas = ledger(leeway=70.0)
    used = []
    for step in range(1_200):
        now = step * 0.05
        if quotas.take(FIELD, 13, now) == 0:
            used.append(now)
    for begin in used:
        inside = sum(13 for at in used if begin <= at < begin + 8.0)
        assert inside <= 8 * 100 + 200 + 70


def test_ledger_that_begins_anew_keeps_the_stated_bound():
    """A coordinator dies in a window: both ledgers together stay within the bound."""
    rate, burst, slack, window = 46_000.0, 46_000.0, 140_000.0, 8.0
    allowed = (rate * window + burst) * 1.1 + slack
    for lost_at in range(0, 80):
        used = 0.0
        for begin, end in ((0.0, lost_at / 10), (lost_at / 10, window)):
            quotas = ledger(rate=rate, burst=burst, leeway=slack / 2)
            if not begin:
                quotas.take(FIELD, 1, -60.0)
            for step in range(int((end - begin) * 50)):
                while quotas.take(FIELD, 2_000, begin + step / 50) == 0:
                    used += 2_000
        assert used <= allowed


def test_request_larger_than_the_room_passes_alone():
    quotas = ledger()
    assert quotas.take(FIELD, 50_000, 20.0) == 0
    assert quotas.take(FIELD, 1, 21.0) > 0


def test_cost_of_a_request_that_did_not_run_comes_back():
    quotas = ledger()
    assert quotas.take(FIELD, 200, 0.0) == 0
    quotas.give_back(FIELD, 200, 0.0)
    assert quotas.take(FIELD, 200, 0.0) == 0


@pytest.mark.parametrize("workspace", [FIELD, "unknown"])
def test_no_rate_means_no_limit(workspace):
    quotas = ledger(rate=0.0)
    assert all(quotas.take(workspace, 10_000, 0.0) == 0 for _ in range(5))


def test_lower_quota_binds_at_once_and_use_stays_used():
    quotas = ledger()
    assert quotas.take(FIELD, 190, 20.0) == 0
    quotas.apply({FIELD: Quota(rate=10.0, burst=20.0)})
    assert quotas.take(FIELD, 20, 20.5) > 0
