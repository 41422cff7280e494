"""Learn how long runs take by route and server, and forecast what is left of a run.

Each route has a histogram of all its runs, and each server a factor by which its runs
have lately been longer than those of their routes. A run that was cancelled shows only
that it would have taken longer; its weight goes to the longer times, as in Efron's form
of the Kaplan-Meier estimate.
"""

import math
from collections.abc import Container

import msgspec

from ..types import PoolId, Seconds, ServerId

#: Time constant after which a route's runs are forgotten; rare long ones need more of
#: it than a server's speed.
ROUTE_MEMORY: Seconds = 120.0
#: Time constant of a server's factor. Servers are slow for a second or several.
SERVER_MEMORY: Seconds = 3.0
#: Time constant of the recent times that show whether a whole service is busy.
LOAD_MEMORY: Seconds = 5.0
#: Time constant with which the calm time of a route rises to that of now.
CALM_MEMORY: Seconds = 300.0
#: Recent runs below which the load counts as unknown.
MIN_RECENT = 3.0
#: Buckets are a fourth of an octave wide, from a millisecond to half a minute.
SHORTEST: Seconds = 0.001
PER_OCTAVE = 4
BUCKETS = 60
#: Deviation of the time of a run that is longer than all known ones, as a fraction; as
#: RFC 6298 takes that of a single sample.
UNSEEN_DEVIATION = 0.5
#: Least time between two evaluations of a route's histogram.
EVALUATION_PERIOD: Seconds = 1.0
#: Routes of services whose times are kept; the oldest entry gives way to a new one.
MAX_ROUTES = 256
#: Exponent of the weights at which they are scaled down again.
MAX_EXPONENT = 50.0

#: Half a bucket's width: by so much of a run's age may the times in its bucket differ.
RESOLUTION = 2 ** (0.5 / PER_OCTAVE) - 1
_LOG_SHORTEST = math.log(SHORTEST)
_PER_LOG = PER_OCTAVE / math.log(2)
_MIDDLES = tuple(SHORTEST * 2 ** ((i + 0.5) / PER_OCTAVE) for i in range(BUCKETS))


def _bucket(seconds: Seconds) -> int:
    log = math.log(max(SHORTEST, seconds)) - _LOG_SHORTEST
    return min(BUCKETS - 1, int(log * _PER_LOG))


class Estimate(msgspec.Struct, frozen=True):
    """Represent a mean time and its standard error."""

    mean: Seconds
    error: Seconds

    @property
    def low(self) -> Seconds:
        """Return the mean less its error."""
        return self.mean - self.error

    @property
    def high(self) -> Seconds:
        """Return the mean and its error."""
        return self.mean + self.error

    def scaled(self, factor: float) -> "Estimate":
        """Return the estimate of times that are longer by a factor."""
        return Estimate(self.mean * factor, self.error * factor)


class Distribution(msgspec.Struct, frozen=True):
    """Represent the times of a route's runs at one moment, shortest first.

    What may come though it has not been seen counts as one run more, by Laplace's rule
    of succession. It takes twice the median, and once it is older its age again.
    """

    times: tuple[Seconds, ...]
    weights: tuple[float, ...]
    median: Seconds

    def fresh(self) -> Estimate:
        """Return the time of a run that begins now."""
        return self.remaining(0.0)

    def remaining(self, age: Seconds) -> Estimate:
        """Return what is left of a run of an age."""
        rest = max(age, 2 * self.median - age)
        total = min(1.0, self.median / max(age, SHORTEST))
        first = total * rest
        second = first * rest * (1.0 + UNSEEN_DEVIATION**2)
        for time, weight in zip(self.times, self.weights, strict=True):
            if time > age:
                rest = time - age
                total += weight
                first += weight * rest
                second += weight * rest * rest
        mean = first / total
        deviation = math.sqrt(max(0.0, second / total - mean * mean))
        error = deviation / math.sqrt(max(1.0, total)) + RESOLUTION * age
        return Estimate(mean, error)

    def worth_age(self) -> Seconds:
        """Return the first age at which a fresh run is sooner, both with their errors."""
        fresh = self.fresh().high
        for time in self.times:
            if self.remaining(time).low > fresh:
                return time
        # Beyond the known times, what is left of a run grows with its age.
        return max(self.times[-1], fresh / (1.0 - UNSEEN_DEVIATION))


class RouteTimes:
    """Estimate the distribution of the times of one route's runs."""

    def __init__(self, now: Seconds) -> None:
        self._weights = [0.0] * BUCKETS
        self._origin = now
        self._evaluated_at = -math.inf
        self._distribution: Distribution | None = None
        self.usual = Estimate(0.0, 0.0)
        #: The age from which a fresh run is sooner, at servers as fast as usual.
        self.worth_age: Seconds = math.inf
        self._recent = self._recent_log = self._recent_square = 0.0
        self._recent_at = now
        self._calm: Seconds = math.inf
        self.mean: Seconds = 0.0

    def observe(self, seconds: Seconds, now: Seconds) -> None:
        """Record a run that was completed."""
        log = math.log(max(SHORTEST, seconds))
        bucket = int((log - _LOG_SHORTEST) * _PER_LOG)
        self._weights[min(BUCKETS - 1, bucket)] += self._weight(now)
        fade = math.exp((self._recent_at - now) / LOAD_MEMORY)
        self._recent = self._recent * fade + 1.0
        self._recent_log = self._recent_log * fade + log
        self._recent_square = self._recent_square * fade + log * log
        self._recent_at = now

    def observe_longer(self, seconds: Seconds, now: Seconds) -> None:
        """Record a run that was cancelled after a time."""
        first = _bucket(seconds)
        longer = self._weights[first + 1 :]
        total, weight = sum(longer), self._weight(now)
        if total <= 0.0:
            self._weights[_bucket(2 * seconds)] += weight
            return
        for offset, known in enumerate(longer, first + 1):
            self._weights[offset] += weight * known / total

    def _weight(self, now: Seconds) -> float:
        """Return the weight of a run of now; it grows rather than all others decay."""
        exponent = (now - self._origin) / ROUTE_MEMORY
        if exponent > MAX_EXPONENT:
            scale = math.exp(-exponent)
            self._weights = [weight * scale for weight in self._weights]
            self._origin, exponent = now, 0.0
        return math.exp(exponent)

    def stretch(self) -> float:
        """Return by which factor typical runs are longer than in calm times.

        It follows from waits behind other work, so it tells what a run more costs them.
        """
        if self._recent < MIN_RECENT:
            return 1.0
        return max(1.0, self._level(-1.0) / self._calm)

    def _level(self, errors: float) -> Seconds:
        """Return the recent time of a typical run, moved by some standard errors.

        The geometric mean follows the typical run, not a few slow ones.
        """
        mean = self._recent_log / self._recent
        square = self._recent_square / self._recent - mean * mean
        error = math.sqrt(max(0.0, square) / self._recent)
        return math.exp(mean + errors * error)

    def distribution(self, now: Seconds) -> Distribution | None:
        """Return the distribution of now, or None while there is none."""
        if now - self._evaluated_at >= EVALUATION_PERIOD:
            self._evaluated_at = now
            self._distribution = self._evaluate(now)
            if self._distribution is not None:
                self.usual = self._distribution.fresh()
                self.worth_age = self._distribution.worth_age()
            self._update_calm()
        return self._distribution

    def _update_calm(self) -> None:
        """Lower the calm time to that of now, or let it rise slowly."""
        if self._recent < MIN_RECENT:
            return
        # The lowest of many levels is one that was low by chance.
        level, calm = self._level(1.0), self._calm
        rise = EVALUATION_PERIOD / CALM_MEMORY
        self._calm = level if level < calm else calm + (level - calm) * rise

    def _evaluate(self, now: Seconds) -> Distribution | None:
        scale = 1.0 / self._weight(now)
        known = [
            (middle, weight * scale)
            for middle, weight in zip(_MIDDLES, self._weights, strict=True)
            if weight * scale > 1e-6
        ]
        total = sum(weight for _, weight in known)
        if total < 1.0:
            return None
        median, below = known[-1][0], 0.0
        for middle, weight in known:
            below += weight
            if below >= total / 2:
                median = middle
                break
        self.mean = sum(time * weight for time, weight in known) / total
        return Distribution(
            tuple(time for time, _ in known),
            tuple(weight for _, weight in known),
            median,
        )


class ServerTimes:
    """Estimate by which factor a server's runs are longer than those of their routes."""

    def __init__(self, now: Seconds) -> None:
        self._runs = 0.0
        self._ratios = 0.0
        self._seen_at = now

    def observe(self, ratio: float, now: Seconds) -> None:
        """Record how a run's time compares with the mean of its route."""
        fade = self._fade(now)
        self._runs = self._runs * fade + 1.0
        self._ratios = self._ratios * fade + ratio
        self._seen_at = now

    def factor(self, now: Seconds) -> float:
        """Return the factor; without recent runs a server counts as usual."""
        fade = self._fade(now)
        return (1.0 + self._ratios * fade) / (1.0 + self._runs * fade)

    def _fade(self, now: Seconds) -> float:
        return math.exp((self._seen_at - now) / SERVER_MEMORY)


class LatencyModel:
    """Learn the times of all routes and servers that one host sends runs to."""

    def __init__(self) -> None:
        self._routes: dict[tuple[PoolId, str], RouteTimes] = {}
        self._servers: dict[ServerId, ServerTimes] = {}

    def route(self, service: PoolId, route: str, now: Seconds) -> RouteTimes:
        """Return the times of a route's runs at a service."""
        times = self._routes.get((service, route))
        if times is None:
            if len(self._routes) >= MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            times = self._routes[service, route] = RouteTimes(now)
        return times

    def factor(self, server: ServerId, now: Seconds) -> float:
        """Return by which factor a server's runs are longer than usual now."""
        times = self._servers.get(server)
        return 1.0 if times is None else times.factor(now)

    def observe(
        self,
        service: PoolId,
        route: str,
        server: ServerId,
        seconds: Seconds,
        now: Seconds,
    ) -> None:
        """Record a run that was completed."""
        times = self._routes.get((service, route)) or self.route(service, route, now)
        times.observe(seconds, now)
        if times.distribution(now) is not None:
            self._server(server, now).observe(seconds / times.mean, now)

    def observe_longer(
        self,
        service: PoolId,
        route: str,
        server: ServerId,
        seconds: Seconds,
        now: Seconds,
    ) -> None:
        """Record a run that was cancelled after a time."""
        times = self.route(service, route, now)
        times.observe_longer(seconds, now)
        if times.distribution(now) is not None:
            self.suspect(server, seconds / times.mean, now)

    def suspect(self, server: ServerId, ratio: float, now: Seconds) -> None:
        """Record that a run at a server is at least that much longer than usual."""
        known = self._server(server, now)
        if ratio > known.factor(now):
            known.observe(ratio, now)

    def _server(self, server: ServerId, now: Seconds) -> ServerTimes:
        times = self._servers.get(server)
        if times is None:
            times = self._servers[server] = ServerTimes(now)
        return times

    @property
    def server_count(self) -> int:
        """Return how many servers have times of their own."""
        return len(self._servers)

    def retain(self, servers: Container[ServerId]) -> None:
        """Forget the servers that are not listed any more."""
        for server in [name for name in self._servers if name not in servers]:
            del self._servers[server]

    def stretch(self, service: PoolId) -> float:
        """Return by which factor the typical runs of a service are longer now."""
        return max(
            (
                times.stretch()
                for (name, _), times in self._routes.items()
                if name == service
            ),
            default=1.0,
        )
