"""Define the effects that the reducer returns and the shell performs."""

import msgspec

from .harm.ledger import Hold, SubjectChange
from .messages import Message, ServerIncarnation
from .types import (
    FallbackCause,
    HostId,
    Outcome,
    RefusalReason,
    RequestId,
    ReturnReason,
    Seconds,
    ServerId,
    ServerSignal,
    ShardId,
    StoreOutageRule,
    WorkspaceId,
)


class Effect(msgspec.Struct, frozen=True, kw_only=True, tag_field="effect", tag=True):
    """Define the base of all effects."""


class SendToHost(Effect, frozen=True):
    """Send a message to an entry host, which may be this one."""

    host: HostId
    message: Message


class Dispatch(Effect, frozen=True):
    """Dispatch a request to a server; returned once per attempt."""

    request_id: RequestId
    server: ServerId


class HedgeDispatch(Effect, frozen=True):
    """Dispatch a second run of a running request to another server."""

    request_id: RequestId
    server: ServerId


class CancelDispatch(Effect, frozen=True):
    """Cancel a running request at its engine."""

    request_id: RequestId


class SettleRequest(Effect, frozen=True):
    """Send the caller the final outcome of a request without an answer."""

    request_id: RequestId
    outcome: Outcome
    reason: RefusalReason | None = None
    retry_after: Seconds = 0.0


class MakeClaim(Effect, frozen=True):
    """Claim an idempotency key durably before dispatch."""

    request_id: RequestId
    workspace: WorkspaceId
    key: str
    body_digest: str
    timeout: Seconds
    rule: StoreOutageRule


class CloseClaim(Effect, frozen=True):
    """Record a claim's outcome, or release it when the request was not run."""

    request_id: RequestId
    outcome: Outcome


class ReplayAnswer(Effect, frozen=True):
    """Send the caller the answer recorded for its idempotency key."""

    request_id: RequestId


class ReportSignal(Effect, frozen=True):
    """Report a change of what is known from a server's own answers.

    `age` is that of the answer, and `source` is the host that received it.
    """

    signal: ServerSignal
    incarnation: ServerIncarnation
    source: HostId
    age: Seconds = 0.0
    duration: Seconds = 0.0
    #: The limit that a server names, and the one before.
    rate: float | None = None
    before: float | None = None


class ReportSubject(Effect, frozen=True):
    """Report a change of what is believed of a subject."""

    change: SubjectChange


class ReportTrial(Effect, frozen=True):
    """Report that a held subject is tried again with a request."""

    request_id: RequestId
    server: ServerId
    hold: Hold


class ReportHold(Effect, frozen=True):
    """Report why a request is held, and so refused."""

    request_id: RequestId
    hold: Hold


class ReportReturn(Effect, frozen=True):
    """Report that a grant was returned unused; `age` is that of the permit request."""

    request_id: RequestId
    shard: ShardId
    coordinator: HostId
    server: ServerId
    reason: ReturnReason
    age: Seconds | None = None


class ReportBackoff(Effect, frozen=True):
    """Report that a coordinator gives a server no work for a while."""

    shard: ShardId
    server: ServerId
    host: HostId
    request_id: RequestId
    duration: Seconds


class ReportUnlistedPermit(Effect, frozen=True):
    """Report that a coordinator gave up a permit that its host doesn't list.

    `age` is that of the grant.
    """

    shard: ShardId
    server: ServerId
    host: HostId
    request_id: RequestId
    age: Seconds
    first_token_seen: bool


class ReportForecast(Effect, frozen=True):
    """Report the forecast on which a coordinator refuses a request.

    `expected` is the wait by the forecast, `least` one that few waits are below, and
    `left` the time until the request can't be served any more; `age` is the time since
    it was queued, and `late` tells whether it could still meet its objective.
    """

    shard: ShardId
    request_id: RequestId
    expected: Seconds
    least: Seconds
    left: Seconds
    age: Seconds
    late: bool


class ReportFallbackStart(Effect, frozen=True):
    """Report that another decider than before decides on this host's permits.

    `silent` is the time without a message from the one that decided, or None if it sent
    none.
    """

    shard: ShardId
    coordinator: HostId
    decider: HostId
    cause: FallbackCause
    silent: Seconds | None
    waiting: int


class ReportFallbackEnd(Effect, frozen=True):
    """Report that a shard's coordinator decides this host's permits again."""

    shard: ShardId
    coordinator: HostId
    lasted: Seconds
    waiting: int


class CountMetric(Effect, frozen=True):
    """Add to a counter."""

    name: str
    value: float = 1.0


class ObserveMetric(Effect, frozen=True):
    """Record one sample, in the unit that the name ends with."""

    name: str
    value: float


class MoveRun(Effect, frozen=True):
    """Have a running request go on at another engine.

    `patience` is the time in which the first copy of its memory should be complete.
    """

    request_id: RequestId
    server: ServerId
    patience: Seconds
