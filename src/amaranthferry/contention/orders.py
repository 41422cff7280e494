"""Decide when all hosts order the requests of a plain service together.

This is for services with fewer slots than there are hosts. Hosts that decide for themselves
know nothing of each other's requests, so each sends its own while all of them together
exceed what the servers run and queue. While a shared order is in force, the shard's
coordinator grants the permits of all hosts. It costs messages, so it begins with the first
rejection by a server and ends once the servers have had free slots for a while.
"""

from math import ceil, exp

import msgspec

from ..types import Seconds

#: Time for which a host that doesn't hear of a shared order any more follows it. It is
#: longer than hosts take to find out that a coordinator is gone: those that return to their
#: own decisions before that would overrun the servers.
LEASE: Seconds = 10.0
#: Least interval at which a coordinator tells all hosts at once of an order. Afterwards its
#: adverts renew the leases, in rotation so that their traffic is bounded.
RENEWAL_INTERVAL: Seconds = 1.0
#: Time without a message of any host after which a coordinator sends no adverts.
HEARING_TIME: Seconds = 1.0
#: Time constant over which the use of the slots is averaged.
USE_TIME: Seconds = 2.0
#: Mean part of the slots in use from which the servers count as full. Requests that
#: arrive at random take all slots at times from about here on.
FULL_USE = 0.75
#: Time below that after which the hosts decide for themselves again.
CALM_TIME: Seconds = 3.0
#: Multiple of the mean run time for which a run may take to end within its deadline.
RUN_TIME_MARGIN = 2.0


def needs_shared_order(hosts: int, slots: int) -> bool:
    """Return whether hosts outnumber the requests that a service's servers can run."""
    return 0 < slots < hosts


class SharedOrder(msgspec.Struct):
    """Represent one host's knowledge of the shared order of one shard."""

    #: Time until which this host follows it unless it hears of it again.
    until: Seconds
    #: What only the coordinator keeps: the mean use, and when it was last high.
    use: float = 1.0
    measured_at: Seconds | None = None
    busy_at: Seconds = 0.0
    renews_at: Seconds = 0.0
    #: Whether some hosts may not have been told.
    is_news: bool = True

    def renew(self, now: Seconds) -> None:
        """Record that the order is in force."""
        self.until = max(self.until, now + LEASE)

    def renew_soon(self) -> None:
        """Have all hosts told at the next opportunity."""
        self.renews_at, self.is_news = 0.0, True

    def restart(self, now: Seconds) -> None:
        """Count the servers as full from now on, as a rejection shows."""
        self.use, self.measured_at, self.busy_at = 1.0, now, now

    def measure(self, demand: int, slots: float, now: Seconds) -> None:
        """Record the requests that run or wait at a time."""
        if self.measured_at is None:
            self.restart(now)
            return
        use = demand / max(1.0, slots)
        weight = 1.0 - exp(-max(0.0, now - self.measured_at) / USE_TIME)
        self.use += weight * (min(use, 1.0) - self.use)
        self.measured_at = now
        if self.use >= FULL_USE or use > 1.0:
            self.busy_at = now

    def is_over(self, now: Seconds) -> bool:
        """Return whether the servers have had free slots for long enough."""
        return now - self.busy_at >= CALM_TIME

    def takes_renewal(self, now: Seconds) -> bool:
        """Return whether all hosts are to be told now, and count it as done."""
        if not self.is_news or now < self.renews_at:
            return False
        self.renews_at, self.is_news = now + RENEWAL_INTERVAL, False
        return True


def reserved_limit(slots: int, *, unregistered: int, hosts: int) -> int | None:
    """Return the slots that remain beside those of hosts that take no part.

    These decide for themselves, as hosts of earlier releases do; None means no limit.
    """
    if not unregistered or not hosts:
        return None
    return max(1, ceil(slots * (1.0 - unregistered / hosts)))
