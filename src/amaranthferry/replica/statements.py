"""Decide what a host may say from a state of some age.

A denial says something of the newest state, so it needs one that is younger than the
bound on changes. An admission of what the state has needs one that is younger than the
bound on revoked keys, so that an outage of the store costs no sound request.
"""

from enum import Enum

from ..types import Seconds
from .budget import AgeBudget

#: Allowance for a store that answers from a state slightly older than the call.
STALENESS_SLACK: Seconds = 0.6


class Statement(Enum):
    """Name what a host says of a request or of itself."""

    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    BODY_TOO_LARGE = "body_too_large"
    KEY_IN_FORCE = "key_in_force"
    READY = "ready"


DENIALS = (
    Statement.UNKNOWN_ROUTE,
    Statement.UNKNOWN_KEY,
    Statement.BODY_TOO_LARGE,
)


def may_say(
    statement: Statement, age: Seconds | None, *, budget: AgeBudget, revoke: Seconds
) -> bool:
    """Return whether a statement may rest on a state of an age; None is no state."""
    return age is not None and age < _age_limit(statement, budget, revoke)


def _age_limit(statement: Statement, budget: AgeBudget, revoke: Seconds) -> Seconds:
    if statement in DENIALS:
        return budget.denial_age
    admission = revoke - STALENESS_SLACK
    return min(budget.bound, admission) if statement is Statement.READY else admission
