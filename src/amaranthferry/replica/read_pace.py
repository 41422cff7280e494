"""Decide when a host reads the store itself because no reader has current state.

This answers an outage of the store or of the readers, in which every host would call
the store at once: the hosts together make a bounded number of calls a second. The
first one that succeeds stands in for the readers.
"""

import random

from ..types import Seconds

#: Reads a second by all hosts that can reach each other but no current reader.
FLEET_READ_RATE = 20.0
#: Minimum period between the reads of one host.
MIN_READ_PERIOD: Seconds = 0.5


class ReadPace:
    """Spread the reads of hosts that have no current reader."""

    def __init__(self) -> None:
        self._next: Seconds | None = None
        self._random = random.Random()

    def reset(self) -> None:
        """Record that a reader has current state."""
        self._next = None

    def time_left(self, now: Seconds, *, hosts: int) -> Seconds:
        """Return the time until this host's next read, which is 0 if it is due.

        `hosts` is the number of hosts that share the rate of reads.
        """
        if self._next is None:
            self._next = now + self._random.uniform(0.0, _period(hosts))
        # The number of hosts may have fallen since.
        self._next = min(self._next, now + _period(hosts))
        return max(0.0, self._next - now)

    def record_read(self, now: Seconds, *, hosts: int) -> None:
        """Record a read that was sent at a time."""
        self._next = now + _period(hosts)


def _period(hosts: int) -> Seconds:
    return max(MIN_READ_PERIOD, hosts / FLEET_READ_RATE)
