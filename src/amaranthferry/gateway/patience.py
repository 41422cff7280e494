"""Decide how long a silent server is waited for while another run may follow.

This answers servers that take requests and say nothing, beside slow but sound ones. What
a caller still waits is divided evenly among this run and those that may follow; before an
answer begins, a server whose service has been slower lately gets more.
"""

import msgspec

from ..catalog import Route
from ..types import PoolId, Seconds

#: Weights of a new sample, and deviations above the mean that hardly any answer takes,
#: as RFC 6298 has them for retransmissions.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
LATE_DEVIATIONS = 4.0
#: Callers give up a request that hasn't been read after the shorter of these, as their
#: interface states: a time, and a part of the time that they have left.
MAX_UNREAD_TIME: Seconds = 1.0
MAX_UNREAD_PART = 1 / 3


class _Times(msgspec.Struct):
    mean: Seconds
    deviation: Seconds

    def add(self, seconds: Seconds) -> None:
        error = seconds - self.mean
        self.deviation += DEVIATION_WEIGHT * (abs(error) - self.deviation)
        self.mean += MEAN_WEIGHT * error


class AnswerTimes:
    """Estimate how long the servers of each service take to begin an answer."""

    def __init__(self) -> None:
        self._times: dict[PoolId, _Times] = {}

    def observe(self, service: PoolId, seconds: Seconds) -> None:
        """Record after which time an answer began."""
        times = self._times.get(service)
        if times is None:
            self._times[service] = _Times(seconds, seconds / 2)
        else:
            times.add(seconds)

    def back_off(self, service: PoolId, seconds: Seconds) -> None:
        """Record after which time a server was given up; it might have answered."""
        self.observe(service, 2 * seconds)

    def silence_limit(
        self, service: PoolId, patience: Seconds, route: Route, *, dispatches: int
    ) -> Seconds:
        """Return after which silence another server should answer instead.

        Nothing known is no ground to give a server up, and neither is a late answer
        while there is no time left for another one.
        """
        times = self._times.get(service)
        if times is None:
            return patience
        late = times.mean + LATE_DEVIATIONS * times.deviation
        limit = max(late, even_part(patience, route, dispatches=dispatches))
        return limit if limit + times.mean <= patience else patience


def even_part(patience: Seconds, route: Route, *, dispatches: int) -> Seconds:
    """Return the part of a caller's patience that one of its runs gets.

    `dispatches` counts the runs that were sent, also the current one.
    """
    runs = max(1, route.max_attempts - dispatches + 1)
    return max(0.0, patience) / runs


def unread_patience(left: Seconds) -> Seconds:
    """Return how long a caller with some time left waits until its request is read."""
    return min(MAX_UNREAD_TIME, left * MAX_UNREAD_PART)
