import pytest

from amaranthferry.replica.budget import AgeBudget
from amaranthferry.replica.statements import DENIALS, Statement, may_say

BUDGET = AgeBudget.from_bounds(apply=2.0, revoke=5.0)


def says(statement, age):
    return may_say(statement, age, budget=BUDGET, revoke=5.0)


@pytest.mark.parametrize("statement", Statement)
def test_nothing_is_said_without_a_state(statement):
    assert not says(statement, None)


@pytest.mark.parametrize("statement", DENIALS)
def test_denial_needs_a_state_younger_than_the_bound_on_changes(statement):
    assert says(statement, 1.5)
    assert not says(statement, 1.99)


def test_what_the_state_has_is_admitted_up_to_the_bound_on_revoked_keys():
    assert says(Statement.KEY_IN_FORCE, 4.3)
    assert not says(Statement.KEY_IN_FORCE, 4.4)


@pytest.mark.parametrize(
    ("apply", "revoke", "limit"), [(2.0, 5.0, 2.0), (10.0, 3.0, 1.2)]
)
def test_host_is_ready_up_to_the_shorter_bound(apply, revoke, limit):
    budget = AgeBudget.from_bounds(apply=apply, revoke=revoke)
    below = may_say(Statement.READY, limit - 0.01, budget=budget, revoke=revoke)
    above = may_say(Statement.READY, limit + 0.01, budget=budget, revoke=revoke)
    assert (below, above) == (True, False)
