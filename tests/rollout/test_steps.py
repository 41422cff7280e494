import msgspec
import pytest

from amaranthferry.rollout.messages import RolloutReport, RouteCounts
from amaranthferry.rollout.orders import RolloutState
from amaranthferry.rollout.steps import (
    FULL_TIME,
    Limits,
    RolloutDecision,
    Stage,
    View,
)

from .simulation import Simulation, Version

#: Time after which a stage with all requests may be completed.
SETTLED = FULL_TIME + 0.1
LIMITS = Limits(share=0.1, slack=50, duration=12)
GOOD = tuple(
    RouteCounts("a", is_new, answers, 0, 0, (0,) * 13 + (answers,))
    for is_new, answers in ((False, 400), (True, 60))
)


def report(host, stage, **fields):
    fields = {"step": 0, "age": 0.0, "counts": GOOD, **fields}
    return RolloutReport(
        service="s", version="v2", stage=str(stage), host=host, **fields
    )


def view(now, reports, *, ages=None, hosts=("h1", "h2", "h3")):
    found = {item.host: item for item in reports}
    return View(
        now=now,
        age=now,
        old=("old",),
        new=("new",),
        hosts=frozenset(hosts),
        reports=found,
        report_ages=ages or dict.fromkeys(found, 0.1),
    )


def reach_full(hosts=("h1", "h2", "h3")):
    """Return a decision that has all requests sent to the new version."""
    decision = RolloutDecision(LIMITS)
    for number in range(400):
        now = 0.05 * number
        reports = [report(host, decision.stage, step=1) for host in hosts]
        if decision.stage is Stage.FULL:
            return decision, now
        decision.advance(view(now, reports), 1)
    raise AssertionError("The version has not been proven.")


def drained(decision, now, reports, **options):
    found = decision.advance(view(now, reports, **options), 5)
    return found.state is RolloutState.COMPLETED


def full(**changes):
    return [
        report(host, Stage.FULL, **{"step": 5, **changes.get(host, {})})
        for host in ("h1", "h2", "h3")
    ]


def test_rollout_is_completed_once_all_hosts_say_that_nothing_runs():
    decision, now = reach_full()
    assert not drained(decision, now + 0.1, full())
    assert drained(decision, now + SETTLED, full())


@pytest.mark.parametrize(
    "changes",
    [
        {"h2": {"running": 1}},
        {"h2": {"step": 4}},
    ],
)
def test_rollout_is_not_completed_while_a_host_may_use_old_servers(changes):
    """Guards against requests that are cut off when the old servers stop."""
    decision, now = reach_full()
    assert not drained(decision, now + SETTLED, full(**changes))


def test_rollout_is_not_completed_on_reports_that_are_old_or_missing():
    decision, now = reach_full()
    ages = {"h1": 0.1, "h2": 2.0, "h3": 0.1}
    assert not drained(decision, now + SETTLED, full(), ages=ages)
    assert not drained(
        decision, now + SETTLED, full(), hosts=("h1", "h2", "h3", "lost")
    )
    stayed = [*full()[:2], report("h3", Stage.HOLD, step=5)]
    assert not drained(decision, now + SETTLED, stayed)


def test_write_of_a_completion_that_may_have_taken_effect_is_not_rolled_back():
    decision, now = reach_full()
    decision.freeze()
    bad = tuple(
        RouteCounts("a", is_new, 900, 900 * is_new, 0) for is_new in (False, True)
    )
    reports = [report(host, Stage.FULL, step=5, counts=bad) for host in ("h1", "h2")]
    assert decision.advance(view(now + 0.5, reports), 5).stage is Stage.FULL
    decision.unfreeze()
    found = decision.advance(view(now + 0.6, reports), 5)
    assert (found.stage, found.state) == (
        Stage.ROLLED_BACK,
        RolloutState.ROLLED_BACK,
    )
    assert found.reason.startswith("failures on a")


def test_lonely_decider_decides_nothing_but_that_a_version_is_bad():
    """Guards against a host that is cut off and rolls back a good version."""
    decision = RolloutDecision(LIMITS)
    for number in range(200):
        now = 0.05 * number
        found = decision.advance(view(now, [report("h1", Stage.HOLD)]), 0)
        assert found.stage is Stage.HOLD
    assert decision.is_lonely


def test_canaries_are_as_many_as_the_share_of_the_old_servers():
    decision = RolloutDecision(LIMITS)
    found = View(
        now=1.0,
        age=1.0,
        old=tuple(f"old-{n}" for n in range(40)),
        new=tuple(f"new-{n}" for n in range(40)),
        hosts=frozenset({"h1"}),
        reports={"h1": report("h1", Stage.HOLD, counts=())},
        report_ages={"h1": 0.0},
    )
    step = decision.advance(found, 0)
    assert (step.stage, len(step.canaries)) == (Stage.CANARY, 4)
    assert step.pace == pytest.approx(0.1)


def test_rollout_is_not_completed_without_servers_of_the_version():
    """Guards against a service without any server."""
    decision, now = reach_full()
    found = msgspec.structs.replace(view(now + SETTLED, full()), new=())
    assert decision.advance(found, 5).state is RolloutState.IN_PROGRESS


@pytest.mark.parametrize(
    ("new", "reason"),
    [(4, "proven"), (2, "proven"), (1, "too few servers of the version")],
)
def test_all_requests_go_to_servers_that_are_enough(new, reason):
    found = Simulation(Version(), hosts=3, rate=30, old=4, new=new).run()
    assert found.reason == reason


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "version",
    [
        Version(failures=1.0),
        Version(failures=0.3),
        Version(slow=1.0, factor=3.0),
        Version(failures=0.3, route="b"),
        Version(failures=0.5, since=3.0),
        Version(failures=0.5, load=0.5),
    ],
)
def test_bad_versions_are_rolled_back_within_the_exposure(version, seed):
    found = Simulation(version, hosts=30, rate=150, seed=seed).run()
    assert found.state is RolloutState.ROLLED_BACK
    assert found.ended <= 12
    # The bound counts the requests until the time limit.
    assert found.exposed <= 0.1 * 150 * 12 * 0.9 + 50
    if len(found.bad) >= 50:
        assert found.last_sent <= found.bad[49] + 5.0


@pytest.mark.parametrize(
    ("hosts", "rate", "servers"), [(3, 50, 4), (129, 120, 3), (129, 200, 40)]
)
def test_good_versions_are_completed_with_nothing_at_the_old_servers(
    hosts, rate, servers
):
    found = Simulation(
        Version(), hosts=hosts, rate=rate, old=servers, new=servers, seed=1
    ).run()
    assert (found.state, found.reason) == (RolloutState.COMPLETED, "proven")
    assert found.ended <= 12
    assert found.running_at_completion == 0
    assert found.exposed_at_proof <= 0.1 * found.requests + 50
