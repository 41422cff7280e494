import pytest

from amaranthferry.catalog import BudgetLimits, Catalog, Subscriber, deployment_of
from amaranthferry.config import Quota
from amaranthferry.quota import QuotaLedger, UsageRecord

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


def test_new_ledger_gives_the_whole_room_after_a_window():
    quotas = ledger(leeway=100.0)
    assert quotas.take(FIELD, 1, 0.0) == 0
    taken = sum(10 for _ in range(200) if quotas.take(FIELD, 10, 60.0) == 0)
    assert taken == 8 * 100 + 200 + 100


def test_the_wait_ends_when_the_window_has_room():
    quotas = ledger()
    assert quotas.take(FIELD, 900, 20.0) == 0
    assert quotas.take(FIELD, 100, 23.0) == 0
    wait = quotas.take(FIELD, 500, 24.0)
    assert 0 < wait <= 8.0
    assert quotas.take(FIELD, 500, 24.0 + wait) == 0


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


RATES = [(65_749.0, 70_320.0), (52_072.0, 70_380.0), (423_597.0, 423_597.0)]


def bound(rate, burst, *, window=8.0, slack=140_000.0):
    return (rate * window + burst) * 1.1 + slack


def routed(rate, burst):
    catalog = Catalog(
        version=1,
        subscribers=(
            Subscriber(workspace=FIELD, counts_tokens=True, rate=rate, burst=burst),
        ),
    )
    budget_limits = BudgetLimits(
        quota_window=8.0, quota_overage=0.1, quota_slack=140_000.0
    )
    return deployment_of(catalog, {}, budget_limits).quotas[FIELD]


def spend(quotas, begin, end, *, cost=2_000):
    """Take all that a ledger gives over a time; return when each was taken."""
    taken = []
    for step in range(round((end - begin) * 50)):
        now = begin + step / 50
        while quotas.take(FIELD, cost, now) == 0:
            taken.append(now)
    return taken


@pytest.mark.parametrize(("rate", "burst"), RATES)
def test_ledger_that_begins_anew_keeps_the_stated_bound(rate, burst):
    """A coordinator and all records die: both ledgers together keep the bound."""
    quota = routed(rate, burst)
    for lost_at in range(0, 80, 5):
        taken = []
        for begin, end in ((0.0, lost_at / 10), (lost_at / 10, 8.0)):
            quotas = QuotaLedger(begin)
            quotas.apply({FIELD: quota})
            if not begin:
                quotas.take(FIELD, 1, -60.0)
            taken += spend(quotas, begin, end)
        assert len(taken) * 2_000 <= bound(rate, burst)


@pytest.mark.parametrize(("rate", "burst"), RATES)
def test_ledger_that_takes_over_again_and_again_keeps_the_stated_bound(rate, burst):
    """Coordinators die one after another, while the hosts know what they used."""
    quota = routed(rate, burst)
    record, taken = UsageRecord(), []
    for number in range(12):
        begin = 100.0 + 1.3 * number
        quotas = QuotaLedger(begin)
        quotas.apply({FIELD: quota})
        quotas.learn(record.usage(begin), 60.0)
        quotas.settle(1)
        for at in spend(quotas, begin, begin + 1.3):
            record.record(FIELD, 2_000, at)
            taken.append(at)
    for first in taken[::50]:
        inside = sum(2_000 for at in taken if first <= at < first + 8.0)
        assert inside <= bound(rate, burst)


def test_ledger_that_was_told_of_little_use_gives_the_whole_room():
    quota = routed(65_749.0, 70_320.0)
    record = UsageRecord()
    record.record(FIELD, 6_600, 96.0)
    quotas = QuotaLedger(100.0)
    quotas.apply({FIELD: quota})
    quotas.learn(record.usage(100.0), 60.0)
    quotas.settle(1)
    assert len(spend(quotas, 100.3, 100.32)) * 2_000 > 0.95 * quota.window_limit


def test_hosts_that_told_nothing_keep_a_ledger_low():
    """Of ten hosts six have died with their records."""
    quota = routed(65_749.0, 70_320.0)
    quotas = QuotaLedger(100.0)
    quotas.apply({FIELD: quota})
    for _ in range(4):
        quotas.learn({}, 60.0)
    quotas.settle(10)
    assert len(spend(quotas, 100.0, 100.02)) * 2_000 <= quota.initial_allowance


def test_what_one_lost_host_used_is_taken_from_what_the_others_tell():
    quota = Quota(rate=1_000.0, burst=10_000.0)
    quotas = QuotaLedger(100.0)
    quotas.apply({FIELD: quota})
    for _ in range(9):
        quotas.learn({FIELD: (900.0,)}, 60.0)
    quotas.settle(10)
    assert quotas.take(FIELD, quota.window_limit - 8_900.0, 100.0) > 0
    assert quotas.take(FIELD, quota.window_limit - 9_010.0, 100.0) == 0


def test_record_counts_by_slot_and_forgets():
    record = UsageRecord()
    record.record(FIELD, 5, 100.1)
    record.record(FIELD, 5, 100.4)
    record.record(FIELD, 7, 101.0)
    assert record.usage(101.6)[FIELD] == (0.0, 7.0, 0.0, 10.0)
    assert record.usage(140.0) == {}


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
