import pytest

from amaranthferry.catalog import BudgetLimits, Catalog, Subscriber, deployment_of
from amaranthferry.config import Quota
from amaranthferry.quota import QuotaLedger, UsageRecord

FIELD = "field"


def make_ledger(**quota):
    quotas = QuotaLedger()
    quotas.apply({FIELD: Quota(**{"rate": 100.0, "burst": 200.0, **quota})})
    return quotas


def test_new_ledger_starts_with_the_burst_and_refills_at_the_rate():
    quotas = make_ledger(leeway=500.0)
    assert quotas.charge(FIELD, 200, 0.0) == 0
    assert quotas.charge(FIELD, 50, 0.0) == pytest.approx(0.5)
    assert quotas.charge(FIELD, 50, 0.5) == 0


def test_new_ledger_allows_the_full_limit_after_a_window():
    quotas = make_ledger(leeway=100.0)
    assert quotas.charge(FIELD, 1, 0.0) == 0
    charged = sum(10 for _ in range(200) if quotas.charge(FIELD, 10, 60.0) == 0)
    assert charged == 8 * 100 + 200 + 100


def test_wait_ends_when_the_window_has_capacity():
    quotas = make_ledger()
    assert quotas.charge(FIELD, 900, 20.0) == 0
    assert quotas.charge(FIELD, 100, 23.0) == 0
    wait = quotas.charge(FIELD, 500, 24.0)
    assert 0 < wait <= 8.0
    assert quotas.charge(FIELD, 500, 24.0 + wait) == 0


def test_no_window_exceeds_its_bound():
    quotas = make_ledger(leeway=70.0)
    used = []
    for step in range(1_200):
        now = step * 0.05
        if quotas.charge(FIELD, 13, now) == 0:
            used.append(now)
    for begin in used:
        inside = sum(13 for at in used if begin <= at < begin + 8.0)
        assert inside <= 8 * 100 + 200 + 70


RATES = [(65_749.0, 70_320.0), (52_072.0, 70_380.0), (423_597.0, 423_597.0)]


def stated_bound(rate, burst, *, window=8.0, slack=140_000.0):
    return (rate * window + burst) * 1.1 + slack


def quota_from_catalog(rate, burst):
    catalog = Catalog(
        version=1,
        subscribers=(
            Subscriber(workspace=FIELD, counts_tokens=True, rate=rate, burst=burst),
        ),
    )
    limits = BudgetLimits(quota_window=8.0, quota_overage=0.1, quota_slack=140_000.0)
    return deployment_of(catalog, {}, limits).quotas[FIELD]


def test_usage_never_runs_ahead_of_the_rate_by_more_than_the_surge():
    quotas = make_ledger(surge=300.0)
    assert quotas.charge(FIELD, 200, 20.0) == 0
    assert quotas.charge(FIELD, 200, 20.0) == pytest.approx(1.0)
    assert quotas.charge(FIELD, 100, 20.5) == 0
    assert quotas.charge(FIELD, 100, 20.5) > 0
    assert quotas.charge(FIELD, 100, 22.0) == 0


def charge_until_refused(quotas, begin, end, *, cost=2_000):
    """Charge as much as a ledger allows over a time; return the time of each charge."""
    charged_at = []
    for step in range(round((end - begin) * 50)):
        now = begin + step / 50
        while quotas.charge(FIELD, cost, now) == 0:
            charged_at.append(now)
    return charged_at


@pytest.mark.parametrize(("rate", "burst"), RATES)
def test_restarted_ledger_keeps_the_stated_bound(rate, burst):
    """Both ledgers together keep the bound after a coordinator and records are lost."""
    quota = quota_from_catalog(rate, burst)
    for lost_at in range(0, 80, 5):
        charged_at = []
        for begin, end in ((0.0, lost_at / 10), (lost_at / 10, 8.0)):
            quotas = QuotaLedger(begin or -60.0)
            quotas.apply({FIELD: quota})
            charged_at += charge_until_refused(quotas, begin, end)
        assert len(charged_at) * 2_000 <= stated_bound(rate, burst)


@pytest.mark.parametrize(("rate", "burst"), RATES)
def test_repeated_failover_keeps_the_stated_bound(rate, burst):
    """Coordinators fail one after another, while the hosts keep their usage records."""
    quota = quota_from_catalog(rate, burst)
    record, charged_at = UsageRecord(), []
    for number in range(12):
        begin = 100.0 + 1.3 * number
        quotas = QuotaLedger(begin)
        quotas.apply({FIELD: quota})
        quotas.add_usage(record.usage(begin), 60.0)
        quotas.apply_reported_usage(1)
        for at in charge_until_refused(quotas, begin, begin + 1.3):
            record.record(FIELD, 2_000, at)
            charged_at.append(at)
    for first in charged_at[::50]:
        inside = sum(2_000 for at in charged_at if first <= at < first + 8.0)
        assert inside <= stated_bound(rate, burst)


def test_ledger_with_little_reported_usage_allows_the_full_limit():
    quota = quota_from_catalog(65_749.0, 70_320.0)
    record = UsageRecord()
    record.record(FIELD, 6_600, 96.0)
    quotas = QuotaLedger(100.0)
    quotas.apply({FIELD: quota})
    quotas.add_usage(record.usage(100.0), 60.0)
    quotas.apply_reported_usage(1)
    assert (
        len(charge_until_refused(quotas, 100.3, 100.3 + quota.window)) * 2_000
        > 0.95 * quota.window_limit
    )


def test_ledger_stays_at_initial_allowance_without_enough_reports():
    """Six of ten hosts are lost with their usage records."""
    quota = quota_from_catalog(65_749.0, 70_320.0)
    quotas = QuotaLedger(100.0)
    quotas.apply({FIELD: quota})
    for _ in range(4):
        quotas.add_usage({}, 60.0)
    quotas.apply_reported_usage(10)
    assert (
        len(charge_until_refused(quotas, 100.0, 100.02)) * 2_000
        <= quota.initial_allowance
    )


def test_usage_of_lost_host_is_extrapolated_from_other_reports():
    quota = Quota(rate=1_000.0, burst=10_000.0)
    quotas = QuotaLedger(100.0)
    quotas.apply({FIELD: quota})
    for _ in range(9):
        quotas.add_usage({FIELD: (900.0,)}, 60.0)
    quotas.apply_reported_usage(10)
    assert quotas.charge(FIELD, quota.window_limit - 8_900.0, 100.0) > 0
    assert quotas.charge(FIELD, quota.window_limit - 9_010.0, 100.0) == 0


def test_usage_record_counts_by_bucket_and_prunes():
    record = UsageRecord()
    record.record(FIELD, 5, 100.1)
    record.record(FIELD, 5, 100.4)
    record.record(FIELD, 7, 101.0)
    assert record.usage(101.6)[FIELD] == (0.0, 7.0, 0.0, 10.0)
    assert record.usage(140.0) == {}


def test_request_larger_than_the_limit_passes_an_empty_window():
    quotas = make_ledger()
    assert quotas.charge(FIELD, 50_000, 20.0) == 0
    assert quotas.charge(FIELD, 1, 21.0) > 0


def test_refund_restores_the_cost_of_a_request_that_did_not_run():
    quotas = make_ledger()
    assert quotas.charge(FIELD, 200, 0.0) == 0
    quotas.refund(FIELD, 200, 0.0)
    assert quotas.charge(FIELD, 200, 0.0) == 0


@pytest.mark.parametrize("workspace", [FIELD, "unknown"])
def test_no_rate_means_no_limit(workspace):
    quotas = make_ledger(rate=0.0)
    assert all(quotas.charge(workspace, 10_000, 0.0) == 0 for _ in range(5))


def test_lower_quota_applies_at_once_and_keeps_recorded_usage():
    quotas = make_ledger()
    assert quotas.charge(FIELD, 190, 20.0) == 0
    quotas.apply({FIELD: Quota(rate=10.0, burst=20.0)})
    assert quotas.charge(FIELD, 20, 20.5) > 0
