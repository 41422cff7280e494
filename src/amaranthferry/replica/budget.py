"""Divide the bound on a change among the steps that it takes to the last host.

This answers readers that hear nothing more from the store while it is changed: each step
until another host reads for all has its share, and the shares add up to the bound.
"""

from typing import Self

import msgspec

from ..types import Seconds

#: Shares of the bound on a change, in the order of the steps after the last answer that
#: the readers have got: the next read of the first reader, its answer, the notice to the
#: others, the first host's turn to read, its read and the distribution of what it brings.
CONFIRM_SHARE = 0.3
ANSWER_SHARE = 0.25
NOTICE_SHARE = 0.05
TURN_SHARE = 0.25
SPREAD_SHARE = 0.1
#: What a kind of the next order waits longer for a read of its own.
ORDER_SHARE = 0.05
#: Largest part of the time until an answer counts as late, where a store answers slowly.
MAX_ANSWER_SHARE = 0.6
#: Age up to which a host believes a reader: it covers a read, its answer, and the time
#: until the next read, also of a reader that is confirmed through the first.
UPDATE_SHARE = 0.8
REQUEST_SHARE = 0.4
#: The rest covers a store that answers from slightly before the call.
DENIAL_SHARE = 0.875
#: The bound on a change is at most this part of that on a revoked key, which is
#: counted from the same reads.
MAX_REVOCATION_SHARE = 0.4


class AgeBudget(msgspec.Struct, frozen=True):
    """Define how old a host's state may be at each step, in seconds."""

    bound: Seconds = 2.0

    @classmethod
    def from_bounds(cls, *, apply: Seconds, revoke: Seconds) -> Self:
        """Build the budget for the bounds on changes and on revoked keys."""
        return cls(min(apply, revoke * MAX_REVOCATION_SHARE))

    def confirm_after(self, order: int = 0) -> Seconds:
        """Return the age at which the first reader confirms its state by a read.

        A read of one kind confirms the others too, if nothing has changed; a kind of a
        later order is due only where that hasn't happened.
        """
        return self.bound * (CONFIRM_SHARE + order * ORDER_SHARE)

    def late_after(self, latency: Seconds) -> Seconds:
        """Return the time after which an answer is late, given an earlier one's."""
        longest = self.bound * MAX_ANSWER_SHARE
        return min(max(self.bound * ANSWER_SHARE, 2 * latency), longest)

    @property
    def request_period(self) -> Seconds:
        """Return the time between two requests of a host to a reader."""
        return self.bound * REQUEST_SHARE

    @property
    def update_age(self) -> Seconds:
        """Return the age above which a reader's state isn't taken as current."""
        return self.bound * UPDATE_SHARE

    @property
    def unheard_ages(self) -> tuple[Seconds, Seconds]:
        """Return the ages between which a host that hears no reader reads itself."""
        return self.update_age, self.denial_age

    @property
    def denial_age(self) -> Seconds:
        """Return the age above which nothing is denied for what the state lacks."""
        return self.bound * DENIAL_SHARE
