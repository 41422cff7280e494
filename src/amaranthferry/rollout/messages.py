"""Define the messages that hosts exchange while a rollout is in progress."""

import msgspec

from ..messages import Message
from ..types import HostId, PoolId, Seconds, ServerId


class RouteCounts(msgspec.Struct, frozen=True, array_like=True):
    """Count what the servers of one side of a rollout did with a route's requests.

    The counts grow from the order on, so a lost message costs nothing. `first`, `rest`
    and `pending` are histograms: the time to the start of an answer, the time of each
    further token, and the age of requests whose answer has not begun.
    """

    route: str
    is_new: bool
    answers: int = 0
    failures: int = 0
    refusals: int = 0
    first: tuple[int, ...] = ()
    rest: tuple[int, ...] = ()
    pending: tuple[int, ...] = ()


class RolloutReport(Message, frozen=True, tag="rollout_report"):
    """Report a host's evidence, and the step that it follows, to the decider.

    `running` counts what this host has running at the old servers, and `longest` is the
    longest time that one of its requests took there. `age` is the time since the order.
    A host that isn't the decider forwards the report of another `host` to it.
    """

    service: PoolId
    version: str
    step: int
    stage: str
    age: Seconds
    running: int = 0
    longest: Seconds = 0.0
    requests: int = 0
    exposed: int = 0
    counts: tuple[RouteCounts, ...] = ()
    host: HostId = HostId("")


class RolloutStep(Message, frozen=True, tag="rollout_step"):
    """Tell a host which share of a service's requests goes to the new version.

    `pace` is that share, and `canaries` are the servers that get it while the version is
    unproven.
    """

    service: PoolId
    version: str
    step: int
    stage: str
    pace: float
    canaries: tuple[ServerId, ...] = ()
    age: Seconds = 0.0
    reason: str = ""
