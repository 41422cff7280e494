"""Forecast how long work waits for a slot, and how sure that is.

This is for overload, when a caller is better off with an early refusal than with a wait
that ends in one. Costs are seconds of work on an idle server; a slot completes less than
one second of it a second, as measured.
"""

from math import inf

import msgspec

from .decay import DecayingSum
from .types import Seconds

#: Time constant over which arrivals and refusals are averaged.
ARRIVAL_TIME: Seconds = 2.0
#: Time constant over which completions and the errors of forecasts are averaged.
COMPLETION_TIME: Seconds = 15.0
#: Mean deviations within which about 95 in 100 waits are not shorter than forecast.
MARGIN_DEVIATIONS = 2.0
#: Weight of earlier samples, as a fraction of a new one, below which they are forgotten.
MIN_WEIGHT = 0.01
#: Decayed completions below which their speed counts as unknown; far smaller sums lose
#: their precision.
MIN_COMPLETIONS = 1e-100


#: Tier rank and class rank; the lowest level goes first.
Level = tuple[int, int]


class Wait(msgspec.Struct, frozen=True):
    """Describe one forecast: the expected wait, and one that few waits are below.

    `fluid` is the wait before it was corrected by the errors of earlier forecasts, and
    `late` tells whether work of the same level that arrives later goes first, and
    `deferred` whether only that of workspaces within their share does.
    """

    expected: Seconds = 0.0
    least: Seconds = 0.0
    fluid: Seconds = 0.0
    late: bool = False
    deferred: bool = False


class _Accuracy:
    """Compare forecasts with the waits that followed, weighted by their length."""

    def __init__(self) -> None:
        self._forecast = DecayingSum(COMPLETION_TIME)
        self._waited = DecayingSum(COMPLETION_TIME)
        self._deviation = DecayingSum(COMPLETION_TIME)

    def record(self, forecast: Seconds, waited: Seconds, now: Seconds) -> None:
        """Record a forecast and the wait that followed."""
        first = self._forecast.value(now) < forecast * MIN_WEIGHT
        self._forecast.add(forecast, now)
        self._waited.add(waited, now)
        # As RFC 6298 does for round trips: a single sample may be off by half.
        deviation = forecast / 2 if first else abs(waited - forecast * self.ratio(now))
        self._deviation.add(deviation, now)

    def ratio(self, now: Seconds) -> float:
        """Return the waits as a fraction of the forecasts; 1 while nothing is known.

        Longer waits, as in a stall, don't lengthen the forecasts that follow.
        """
        forecast = self._forecast.value(now)
        return min(1.0, self._waited.value(now) / forecast) if forecast > 0 else 1.0

    def least_ratio(self, now: Seconds) -> float:
        """Return a fraction that few waits are below; 0 while nothing is known."""
        forecast = self._forecast.value(now)
        if forecast <= 0:
            return 0.0
        deviation = self._deviation.value(now) / forecast
        return max(0.0, self.ratio(now) - MARGIN_DEVIATIONS * deviation)


class Forecast:
    """Forecast waits from what completes, what waits ahead and what arrives."""

    def __init__(self, minimum_share: float) -> None:
        #: The fraction of each level's work that is served at least.
        self.minimum_share = minimum_share
        #: By level, and whether the work was deferred.
        self._arrivals: dict[tuple[Level, bool], DecayingSum] = {}
        self._refusals: dict[tuple[Level, bool], DecayingSum] = {}
        self._cost = DecayingSum(COMPLETION_TIME)
        self._elapsed = DecayingSum(COMPLETION_TIME)
        self._completions = DecayingSum(COMPLETION_TIME)
        self._accuracies: dict[tuple[Level, bool, bool], _Accuracy] = {}

    def record_arrival(
        self, level: Level, cost: Seconds, now: Seconds, *, deferred: bool = False
    ) -> None:
        """Record work that is asked for."""
        key = (level, deferred)
        self._arrivals.setdefault(key, DecayingSum(ARRIVAL_TIME)).add(cost, now)

    def record_refusal(
        self, level: Level, cost: Seconds, now: Seconds, *, deferred: bool = False
    ) -> None:
        """Record work that was asked for and is refused."""
        key = (level, deferred)
        self._refusals.setdefault(key, DecayingSum(ARRIVAL_TIME)).add(cost, now)

    def record_completion(self, cost: Seconds, elapsed: Seconds, now: Seconds) -> None:
        """Record work that occupied a slot for some time."""
        if cost > 0 and elapsed > 0:
            self._cost.add(cost, now)
            self._elapsed.add(elapsed, now)
            self._completions.add(1.0, now)

    def record_wait(
        self,
        level: Level,
        forecast: Wait,
        waited: Seconds,
        now: Seconds,
        *,
        limit: Seconds,
    ) -> None:
        """Record the wait that followed a forecast, of work that could wait `limit`."""
        expected = min(forecast.fluid, limit)
        if expected > 0:
            accuracy = self._accuracy(level, forecast.late, forecast.deferred)
            accuracy.record(expected, waited, now)

    def record_unserved(
        self, level: Level, forecast: Wait, waited: Seconds, now: Seconds
    ) -> None:
        """Record that work didn't get a slot; a longer forecast was right so far."""
        self.record_wait(level, forecast, waited, now, limit=waited)

    def run_time(self, cost: Seconds, now: Seconds) -> Seconds:
        """Return how long work is expected to occupy a slot beside other work."""
        return cost / self._efficiency(now)

    def turn_time(self, cost: Seconds, slots: float, now: Seconds) -> Seconds:
        """Return the mean time until the next of the busy slots becomes free."""
        completions = self._completions.value(now)
        known = completions >= MIN_COMPLETIONS
        run = self._elapsed.value(now) / completions if known else cost
        return run / max(1.0, slots)

    def drain(
        self,
        level: Level,
        slots: float,
        now: Seconds,
        *,
        late: bool = False,
        deferred: bool = False,
    ) -> float:
        """Return the cost that is completed a second beyond what goes first anyway.

        More urgent work keeps arriving, and before late work also that of its own level;
        before deferred work, that of the workspaces within their share. What is refused
        takes no slot.
        """
        ahead = sum(
            self._admitted(other, now)
            for other in self._arrivals
            if other[0] < level
            or (other[0] == level and (late or (deferred and not other[1])))
        )
        return self._capacity(slots, now) - ahead

    def wait(
        self,
        level: Level,
        ahead: "Ahead",
        now: Seconds,
        *,
        slots: float,
        turn: Seconds = 0.0,
        late: bool = False,
        deferred: bool = False,
    ) -> Wait:
        """Return the wait behind other work, once a slot is free after a turn.

        A level gets what more urgent work leaves, or its share if that is more.
        """
        in_order = _time(
            ahead.above + ahead.own,
            self.drain(level, slots, now, late=late, deferred=deferred),
        )
        share = self._share(level, slots, now)
        by_share = _time(max(0.0, ahead.own - ahead.credit), share)
        fluid = turn + min(in_order, by_share)
        accuracy = self._accuracy(level, late, deferred)
        least_ratio = accuracy.least_ratio(now)
        least = fluid * least_ratio if least_ratio > 0 else 0.0
        return Wait(fluid * accuracy.ratio(now), least, fluid, late, deferred)

    def _accuracy(self, level: Level, late: bool, deferred: bool) -> _Accuracy:
        return self._accuracies.setdefault((level, late, deferred), _Accuracy())

    def rate(self, level: Level, cost: Seconds, slots: float, now: Seconds) -> float:
        """Return how many requests of a level get a slot a second, one after another."""
        drain = self.drain(level, slots, now)
        return max(drain, self._share(level, slots, now)) / cost if cost > 0 else inf

    def _share(self, level: Level, slots: float, now: Seconds) -> float:
        """Return the cost a second that a level gets however much goes before it."""
        asked = sum(
            self._arrivals[key].rate(now)
            for key in ((level, False), (level, True))
            if key in self._arrivals
        )
        return self.minimum_share * min(asked, self._capacity(slots, now))

    def _admitted(self, key: tuple[Level, bool], now: Seconds) -> float:
        refusals = self._refusals.get(key)
        refused = 0.0 if refusals is None else refusals.rate(now)
        return max(0.0, self._arrivals[key].rate(now) - refused)

    def _capacity(self, slots: float, now: Seconds) -> float:
        """Return the cost that all slots complete a second."""
        return max(1.0, slots) * self._efficiency(now)

    def _efficiency(self, now: Seconds) -> float:
        if self._completions.value(now) < MIN_COMPLETIONS:
            return 1.0
        return self._cost.value(now) / self._elapsed.value(now)


class Ahead(msgspec.Struct, frozen=True):
    """Describe what waits before some work: costs of the levels above, and of its own.

    `credit` is the cost that the level may get before its turn.
    """

    above: Seconds
    own: Seconds
    credit: Seconds = 0.0


def _time(cost: Seconds, drain: float) -> Seconds:
    return cost / drain if drain > 0 else inf
