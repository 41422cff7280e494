"""Decide when a host reads the store itself because no reader has current state.

This answers an outage of the store or of the readers, in which every host would call
the store at once: the hosts take turns, and the first one that succeeds stands in for
the readers. Nobody knows who still reaches the store, so a turn that comes too late for
the bound on changes isn't waited for: by then each host reads, and again once a bound.
"""

import random
from math import inf

from ..types import Seconds
from .budget import AgeBudget

#: Reads a second by all hosts that can reach each other but no current reader, while
#: their state is young.
FLEET_READ_RATE = 20.0
#: Minimum period between the reads of one host.
MIN_READ_PERIOD: Seconds = 0.5


class ReadPace:
    """Spread the reads of hosts that have no current reader."""

    def __init__(self, budget: AgeBudget | None = None) -> None:
        self._budget = budget or AgeBudget()
        self._random = random.Random()
        self._turn: Seconds | None = None
        self._read_at: Seconds = -inf
        self._read_age = self._draw_read_age()

    def reset(self) -> None:
        """Record that a reader has current state."""
        self._turn = None
        self._read_age = self._draw_read_age()

    def time_left(self, now: Seconds, *, hosts: int, age: Seconds | None) -> Seconds:
        """Return the time until this host's next read, which is 0 if it is due.

        `hosts` is the number of hosts that share the rate of reads, and `age` that of
        this host's state, or None if that is known to be outdated.
        """
        if self._turn is None:
            self._turn = now + self._random.uniform(0.0, _period(hosts))
        # The number of hosts may have fallen since.
        self._turn = min(self._turn, now + _period(hosts))
        too_old = now if age is None else now + self._read_age - age
        latest = max(too_old, self._read_at + self._budget.bound)
        return max(0.0, min(self._turn, latest) - now)

    def record_read(self, now: Seconds, *, hosts: int) -> None:
        """Record a read that was sent at a time."""
        self._read_at = now
        self._turn = now + _period(hosts)

    def _draw_read_age(self) -> Seconds:
        """Return an age in the part of the bound in which hosts read out of turn."""
        youngest, oldest = self._budget.unheard_ages
        return self._random.uniform(youngest, oldest)


def _period(hosts: int) -> Seconds:
    return max(MIN_READ_PERIOD, hosts / FLEET_READ_RATE)
