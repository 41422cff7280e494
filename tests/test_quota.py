import pytest

from amaranthferry.config import Quota
from amaranthferry.quota import QuotaLedger

FIELD = "field"


def ledger(started=0.0, **quota):
    found = QuotaLedger(started)
    found.apply({FIELD: Quota(**{"rate": 100.0, "burst": 200.0, **quota})})
    return found


def test_new_ledger_starts_from_the_burst_and_earns_the_rate():
    quotas = ledger()
    assert quotas.take(FIELD, 200, 0.0) == 0
    assert quotas.take(FIELD, 50, 0.0) == pytest.approx(0.5)
    assert quotas.take(FIELD, 50, 0.5) == 0


def test_known_window_allows_rate_burst_and_leeway():
    quotas = ledger(leeway=100.0)
    taken = sum(100 for _ in range(20) if quotas.take(FIELD, 100, 20.0) == 0)
    assert taken == 8 * 100 + 200 + 100


def test_use_is_free_again_after_the_window():
    quotas = ledger()
    assert quotas.take(FIELD, 1_000, 20.0) == 0
    assert quotas.take(FIELD, 10, 22.0) == pytest.approx(6.0)
    assert quotas.take(FIELD, 10, 28.0) == 0


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
    assert quotas.take(FIELD, 900, 20.0) == 0
    quotas.apply({FIELD: Quota(rate=10.0, burst=20.0)})
    assert quotas.take(FIELD, 10, 21.0) > 0
