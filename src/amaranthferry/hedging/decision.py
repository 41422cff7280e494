"""Decide whether a running request gets a second run, from forecasts alone."""

from enum import StrEnum

import msgspec

from ..types import PoolId, Seconds, ServerId
from .latency import Estimate, LatencyModel

#: Least time between two decisions about one run.
MIN_CHECK_INTERVAL: Seconds = 0.01

#: With twice the calm time, runs wait on average as long as they work: no slot is idle.
BUSY_STRETCH = 2.0


class Reason(StrEnum):
    """Define why a run gets a second one, or none."""

    SLOW = "slow"
    NOT_SLOWER = "not_slower"
    UNKNOWN_TIMES = "unknown_times"
    DEADLINE = "deadline"
    BUSY = "busy"
    LIMIT = "limit"
    STORE_LOST = "store_lost"
    STOPPING = "stopping"
    NO_SERVER = "no_server"
    RETRY_BUDGET = "retry_budget"


class Decision(msgspec.Struct, frozen=True):
    """Represent one decision, with the forecasts behind it.

    `avoid` are the servers where a fresh run is not expected to be sooner.
    """

    reason: Reason
    remaining: Estimate = Estimate(0.0, 0.0)
    fresh: Estimate = Estimate(0.0, 0.0)
    avoid: tuple[ServerId, ...] = ()

    @property
    def wants_hedge(self) -> bool:
        """Return whether a second run is worth its work."""
        return self.reason is Reason.SLOW


class RunningRun(msgspec.Struct, frozen=True):
    """Describe the only run of a request so far."""

    service: PoolId
    route: str
    server: ServerId
    age: Seconds
    #: Time until the caller's deadline.
    left: Seconds


def first_check(
    model: LatencyModel, service: PoolId, route: str, server: ServerId, now: Seconds
) -> Seconds | None:
    """Return the age at which a run is worth a decision, or None while nothing is known.

    At a server that has been slow lately, that may be at once.
    """
    times = model.route(service, route, now)
    if times.distribution(now) is None:
        return None
    usual = times.usual
    slow = usual.low * model.factor(server, now) > usual.high
    return 0.0 if slow else times.worth_age


def decide(
    model: LatencyModel,
    run: RunningRun,
    others: tuple[ServerId, ...],
    *,
    now: Seconds,
) -> Decision:
    """Compare what is left of a run with a fresh one at other servers.

    The remaining time counts at its low end and the fresh one at its high end, so that
    runs whose times are not known well get no second run.
    """
    stretch = model.stretch(run.service)
    if stretch > BUSY_STRETCH:
        return Decision(Reason.BUSY)
    times = model.route(run.service, run.route, now)
    distribution = times.distribution(now)
    if distribution is None:
        return Decision(Reason.UNKNOWN_TIMES)
    factor = max(1.0, model.factor(run.server, now))
    remaining = distribution.remaining(run.age / factor).scaled(factor)
    usual = times.usual
    bound = min(remaining.low, run.left)
    fresh = {name: usual.scaled(max(1.0, model.factor(name, now))) for name in others}
    # What a second run takes, others wait for: by queueing theory the part of its time
    # by which runs are longer than in calm times.
    sooner = {n: time for n, time in fresh.items() if time.high * stretch < bound}
    if not sooner:
        late = usual.high >= run.left
        reason = Reason.DEADLINE if late else Reason.NOT_SLOWER
        return Decision(reason, remaining, usual)
    avoid = tuple(name for name in others if name not in sooner)
    best = min(sooner.values(), key=lambda time: time.mean)
    return Decision(Reason.SLOW, remaining, best, avoid)


def next_check(decision: Decision, run: RunningRun) -> Seconds:
    """Return after which time a run that got no second one is decided on again.

    Without a forecast the decision was about the host or the service, which changes
    more slowly.
    """
    return max(MIN_CHECK_INTERVAL, decision.fresh.mean / 4 or run.age)
