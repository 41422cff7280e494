"""Check what fleets of 3 to 370 hosts serve through disruptions, in virtual time.

The bounds come from issue 35. A case that fails because of a known fault is listed in
KNOWN-RED.txt under the id given here, and must fail until its entry is removed.
"""

from functools import lru_cache

import pytest

from amaranthferry.config import Pool
from amaranthferry.control_overload import Disruption, OverloadCase, run_case

#: Time after a disruption within which as many as before are answered in time again.
MAX_RECOVERY = 3.0
#: Part of its work that a less urgent kind gets before more urgent work.
URGENT_MARGIN = Pool("engines").minimum_share
MAX_SERVERS = 82
HOSTS = (3, 16, 64, 137, 200, 370)
KNOWN_RED = {
    "few-slots-64",
    "burst-equal-200",
}
run_cached = lru_cache(run_case)


def case_of(disruption, hosts, **fields):
    servers = min(MAX_SERVERS, OverloadCase(hosts=hosts).server_count)
    fields = {"servers": servers, "calm": 3.0, "after": 8.0, **fields}
    return OverloadCase(hosts=hosts, disruption=disruption, **fields)


def params(prefix, disruption, hosts, **fields):
    for count in hosts:
        name = f"{prefix}-{count}"
        reason = f"KNOWN-RED.txt: {name}"
        marks = [pytest.mark.xfail(strict=True, reason=reason, raises=AssertionError)]
        yield pytest.param(
            case_of(disruption, count, **fields),
            id=name,
            marks=marks if name in KNOWN_RED else [],
        )


@pytest.mark.parametrize(
    "case",
    [
        *params("own", Disruption.UNREACHABLE, HOSTS),
        *params("isolated", Disruption.ISOLATED, [3, 16, 137]),
        *params("few-slots", Disruption.ISOLATED, [64, 137], servers=8),
    ],
)
def test_hosts_that_decide_for_themselves_never_exceed_the_servers_slots(case):
    result = run_cached(case)
    assert result.own_grants > 0
    assert result.own_peak <= result.slots
    # The coordinator's own grants fill as many slots again at most.
    assert result.server_peak <= 2 * result.slots


def assert_recovers(result):
    assert result.recovery is not None
    assert result.recovery <= MAX_RECOVERY


@pytest.mark.parametrize(
    "case",
    [
        *params("burst", Disruption.BURST, HOSTS),
        *params("burst-equal", Disruption.BURST, [137, 200], large_hosts=0),
    ],
)
def test_fleet_serves_its_calm_share_again_after_a_burst(case):
    assert_recovers(run_cached(case))


@pytest.mark.parametrize(
    "case",
    [
        *params("slow", Disruption.SLOW, HOSTS),
        *params("slow-equal", Disruption.SLOW, [137], large_hosts=0),
    ],
)
def test_fleet_recovers_after_its_coordinator_was_slow(case):
    assert_recovers(run_cached(case))


@pytest.mark.parametrize("case", params("cut", Disruption.UNREACHABLE, HOSTS))
def test_fleet_recovers_after_its_coordinator_was_unreachable(case):
    assert_recovers(run_cached(case))


@pytest.mark.parametrize("case", params("killed", Disruption.KILLED, [3, 137]))
def test_fleet_recovers_after_its_coordinator_was_killed(case):
    assert_recovers(run_cached(case))


@pytest.mark.parametrize("case", params("lost", Disruption.SERVERS, [3, 137]))
def test_fleet_recovers_after_a_quarter_of_its_servers_was_lost(case):
    assert_recovers(run_cached(case))


@pytest.mark.parametrize(
    "case",
    [
        *params("urgent-burst", Disruption.BURST, [3, 64, 137]),
        *params("urgent-slow", Disruption.SLOW, [3, 64, 137]),
        *params("urgent-cut", Disruption.UNREACHABLE, [3, 64, 137]),
    ],
)
def test_most_urgent_kind_is_the_last_to_fall(case):
    urgent, *others = run_cached(case).disrupted.kinds.values()
    assert urgent >= max(others) - URGENT_MARGIN


@pytest.mark.parametrize("hosts", [3, 137])
def test_hosts_of_a_calm_fleet_leave_decisions_to_the_coordinator(hosts):
    result = run_cached(case_of(Disruption.BURST, hosts, burst=1.0, after=2.0))
    assert (result.fallbacks, result.rejected) == (0, 0)
    assert result.calm.total >= 0.9


def test_every_known_failure_is_listed():
    with open("KNOWN-RED.txt", encoding="utf-8") as file:
        listed = file.read().split()
    assert set(listed) >= KNOWN_RED
