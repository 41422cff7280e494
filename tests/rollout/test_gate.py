import pytest

from amaranthferry.catalog import Instance
from amaranthferry.rollout.gate import (
    ServicePolicy,
    initial_credit,
    initial_fraction,
)
from amaranthferry.rollout.orders import RolloutOrder, RolloutState
from amaranthferry.rollout.sides import KnownVersions, Sides
from amaranthferry.rollout.steps import Stage, slack_credit
from amaranthferry.types import ServerState


def policy(**fields):
    return ServicePolicy(
        version="v2",
        old=frozenset({"old"}),
        new=frozenset({"new-0", "new-1"}),
        **fields,
    )


@pytest.mark.parametrize("hosts", [1, 3, 30, 129, 370])
def test_credit_at_the_order_stays_within_the_slack(hosts):
    """Guards against an exposure that grows with the number of hosts."""
    names = [f"host-{number}" for number in range(hosts)]
    credits = [initial_credit(name, names, "s", 50) for name in names]
    whole = sum(int(credit) for credit in credits)
    assert whole <= slack_credit(50, hosts) <= 0.85 * 50
    # The expected excess of the fractions is 0, since each begins with a uniform one.
    fractions = [initial_fraction(name, "s") for name in names]
    assert all(0 <= fraction < 1 for fraction in fractions)
    assert initial_credit("other", names, "s", 50) == 0


def test_unproven_version_gets_no_more_than_its_credit():
    found = policy(
        stage=Stage.CANARY, pace=1.0, share=0.1, canaries=frozenset({"new-0"})
    )
    chosen = [found.choose(f"r{n}", is_first=True)[0] for n in range(1_000)]
    assert 95 <= sum(chosen) <= 100
    assert found.credit < 1


def test_repeated_attempts_go_to_the_old_version():
    found = policy(
        stage=Stage.CANARY, pace=1.0, credit=9.0, canaries=frozenset({"new-0"})
    )
    assert found.choose("r", is_first=False) == (False, True)
    assert found.choose("r", is_first=True) == (True, False)


@pytest.mark.parametrize(
    ("stage", "forbidden"),
    [
        (Stage.HOLD, {"new-0", "new-1"}),
        (Stage.CANARY, {"new-1"}),
        (Stage.SHIFT, set()),
        (Stage.FULL, {"old"}),
        (Stage.ROLLED_BACK, {"new-0", "new-1"}),
    ],
)
def test_servers_that_no_request_may_get(stage, forbidden):
    found = policy(stage=stage, canaries=frozenset({"new-0"}))
    assert found.forbidden == forbidden
    found.withheld = frozenset({"other"})
    assert found.forbidden == forbidden | {"other"}


def test_old_servers_that_are_gone_leave_all_work_to_the_others():
    found = policy(stage=Stage.HOLD)
    found.old = frozenset()
    assert found.forbidden == set()
    assert found.choose("r", is_first=True) == (True, False)


def instance(name, version, born=1, state=ServerState.LIVE):
    return Instance(
        server=name,
        service="s",
        address="a:1",
        zone="z",
        slots=1,
        state=state,
        incarnation=born,
        version=version,
    )


def order(version="v2", state=None):
    return RolloutOrder(
        name="s", service="s", version=version, duration=12, state=state
    )


OLD, NEW, OTHER = (
    instance("old", "v1", 1),
    instance("new", "v2", 2),
    instance("other", "v3", 3),
)


@pytest.mark.parametrize(
    ("found", "ordered", "sides"),
    [
        ([OLD], None, Sides(old=("old",))),
        ([OLD, NEW], None, Sides(old=("old",), withheld=("new",))),
        ([OLD, NEW], order(), Sides(old=("old",), new=("new",))),
        (
            [OLD, NEW, OTHER],
            order(),
            Sides(old=("old",), new=("new",), withheld=("other",)),
        ),
        (
            [OLD, NEW],
            order(state=RolloutState.ROLLED_BACK),
            Sides(old=("old",), withheld=("new",)),
        ),
        (
            [OLD, NEW],
            order(state=RolloutState.COMPLETED),
            Sides(old=("new",), withheld=("old",)),
        ),
        ([NEW], order(state=RolloutState.ROLLED_BACK), Sides(old=("new",))),
    ],
)
def test_sides_of_a_host_that_has_just_started(found, ordered, sides):
    orders = {} if ordered is None else {"s": ordered}
    assert KnownVersions().divide(found, orders) == {"s": sides}


def test_known_version_is_remembered_when_an_order_is_removed():
    """Guards against an older start of a new server that makes its version known."""
    known = KnownVersions()
    known.divide([OLD], {})
    early = instance("new", "v2", 0)
    assert known.divide([OLD, early], {})["s"].withheld == ("new",)
    assert known.divide([OLD, early], {"s": order()})["s"].new == ("new",)
    assert known.divide([OLD, early], {})["s"].withheld == ("new",)
    leaving = instance("old", "v1", state=ServerState.LEAVING)
    assert known.divide([leaving, early], {})["s"] == Sides(old=("new",))
