"""Decide what a host that stops still takes, and until when it waits for it.

This answers requests that come late in a planned stop: on open connections, with bodies
that arrive slowly, or behind others that keep their servers busy. What can't end within
the grace period is refused before it runs, so that another host can serve it.
"""

from typing import Self

import msgspec

from ..types import Seconds

#: Time until the load balancer has seen two failed readiness checks; new requests
#: still arrive until then.
BALANCER_LAG: Seconds = 2.6
#: Time at the end of the grace period that is reserved for closing connections.
STOP_SLACK: Seconds = 0.5
#: Time before the end at which what still waits for a server is refused.
HAND_BACK_TIME: Seconds = 2.0


class StopPlan(msgspec.Struct, frozen=True):
    """Define the moments of one planned stop, on the clock of the host."""

    refuses_at: Seconds
    hands_back_at: Seconds
    ends_at: Seconds

    @classmethod
    def from_grace(cls, began: Seconds, grace: Seconds) -> Self:
        """Plan a stop that begins now; all of it lies within the grace period."""
        ends_at = began + max(0.0, grace - STOP_SLACK)
        refuses_at = min(began + BALANCER_LAG, ends_at)
        return cls(
            refuses_at=refuses_at,
            hands_back_at=max(refuses_at, ends_at - HAND_BACK_TIME),
            ends_at=ends_at,
        )

    def admits(self, now: Seconds, *, deadline: Seconds) -> bool:
        """Return whether a request that has now arrived as a whole may be taken."""
        return now < self.refuses_at or deadline <= self.ends_at
