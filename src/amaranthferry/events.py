"""Define the events that the reducer handles; each carries its own time."""

import msgspec

from .config import Deployment
from .messages import Message, ServerIncarnation
from .relocation.messages import MoveOutcome
from .types import (
    ClassId,
    HostId,
    ModelId,
    Outcome,
    PoolId,
    RequestDigest,
    RequestId,
    Seconds,
    ServerId,
    ServerState,
    ServerStateSource,
    TierId,
    Tokens,
    WorkspaceId,
)


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event", tag=True):
    """Define the base of all events; `now` is the host's monotonic time in seconds."""

    now: Seconds


class Ticked(Event, frozen=True):
    """Advance the time."""


class SettingsApplied(Event, frozen=True):
    """Apply a newer deployment."""

    deployment: Deployment


class MembersChanged(Event, frozen=True):
    """Replace the set of live entry hosts; draining ones keep their requests.

    Without `capacities` the known ones stay.
    """

    hosts: tuple[HostId, ...]
    draining: tuple[HostId, ...] = ()
    capacities: dict[HostId, float] | None = None


class FreshnessChanged(Event, frozen=True):
    """Report whether this host's settings are still known to be current."""

    current: bool


class PeerLost(Event, frozen=True):
    """Report that an entry host can't be reached from this one."""

    host: HostId


class PeerReceived(Event, frozen=True):
    """Deliver a message from another entry host, or from this one."""

    sender: HostId
    message: Message


class ServerStateSeen(Event, frozen=True):
    """Report that a backend server is live, leaving or lost."""

    server: ServerId
    state: ServerState
    source: ServerStateSource


class ServerLeavingSeen(Event, frozen=True):
    """Report that a server has said in an answer to this host that it leaves."""

    incarnation: ServerIncarnation


class ServerHoldOffSeen(Event, frozen=True):
    """Report that a server wants nothing from this host for a while."""

    incarnation: ServerIncarnation
    duration: Seconds


class ServerLimitSeen(Event, frozen=True):
    """Report the limit that a server has named in an answer to this host, or its end.

    The answer's request was sent at `sent_at`; a limit is in requests a second.
    """

    incarnation: ServerIncarnation
    rate: float | None
    sent_at: Seconds


class OrderDrainSeen(Event, frozen=True):
    """Stop or resume new work for a server that is about to receive an order.

    A stop expires unless it is renewed, so that it does not outlive its sender.
    """

    server: ServerId
    state: ServerState


class LoadReported(Event, frozen=True):
    """Deliver an engine's own load report; `age` is its age on arrival."""

    server: ServerId
    running: int
    waiting: int
    kv_tokens: Tokens
    age: Seconds = 0.0


class CacheEventSeen(Event, frozen=True):
    """Deliver an engine's delayed report of prefixes that it stored or dropped."""

    server: ServerId
    stored: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()


class RequestArrived(Event, frozen=True):
    """Accept one valid request from a caller."""

    request_id: RequestId
    workspace: WorkspaceId
    tier: TierId
    work_class: ClassId
    pool: PoolId
    timeout: Seconds
    prompt_tokens: Tokens
    output_tokens: Tokens
    model: ModelId = ModelId("")
    prefixes: tuple[int, ...] = ()
    idempotency_key: str = ""
    body_digest: str = ""
    objective: Seconds = 0.0
    event_timeout: Seconds = 0.0
    prefix_lengths: tuple[Tokens, ...] = ()
    quota_cost: float = 0.0
    max_attempts: int = 1
    repeatable: bool = False
    digest: RequestDigest = RequestDigest(0)


class ClaimSettled(Event, frozen=True):
    """Report the result of a durable claim: held by this request, or not."""

    request_id: RequestId
    held: bool
    outcome: Outcome = Outcome.NOT_RUN
    answer_stored: bool = False
    conflict: bool = False
    retry_after: Seconds = 0.0


class DispatchRefused(Event, frozen=True):
    """Report an unexecuted dispatch: refused by the server, or never sent to it.

    Or the host gave it up before it was sent, at the deadline of the request or since the
    host stops. A misdirected one was refused by another server at the same address.
    """

    request_id: RequestId
    by_server: bool = False
    misdirected: bool = False
    timed_out: bool = False
    host_stops: bool = False


class FirstTokenSeen(Event, frozen=True):
    """Report the first byte of an answer."""

    request_id: RequestId


class TokensSeen(Event, frozen=True):
    """Report how many output tokens a running answer contains so far."""

    request_id: RequestId
    output_tokens: Tokens
    movable: bool = False


class DispatchFinished(Event, frozen=True):
    """Report a complete answer, which may be the server's error response.

    An error response that isn't `from_server` may come from in front of it.
    """

    request_id: RequestId
    failed: bool = False
    from_server: bool = True
    prompt_tokens: Tokens = 0
    cached_tokens: Tokens = 0
    output_tokens: Tokens = 0


class DispatchFailed(Event, frozen=True):
    """Report that bytes were written but no complete answer was received.

    `server_ended` tells that the process of the server is known to have ended. Or the
    answer was complete, `from_server`, but a failure that another server may avoid. Or
    this host ends the dispatch since it stops, `host_stops`, which no server is to blame
    for.
    """

    request_id: RequestId
    timed_out: bool = False
    output_tokens: Tokens = 0
    server_ended: bool = False
    from_server: bool = False
    host_stops: bool = False


class HedgeWanted(Event, frozen=True):
    """Ask for a second run of a running request, at none of the servers to avoid."""

    request_id: RequestId
    avoid: tuple[ServerId, ...] = ()


class RunsSwapped(Event, frozen=True):
    """Have the second run of a request count as its run, and that one as the second."""

    request_id: RequestId


class HedgeEnded(Event, frozen=True):
    """Report the end of a request's second run, while the other one counts.

    `reached` tells whether its server may have received it, and `refused` that it said
    so without running it. How long a run that was `cancelled` would have taken isn't known.
    """

    request_id: RequestId
    reached: bool = True
    refused: bool = False
    failed: bool = False
    server_ended: bool = False
    from_server: bool = False
    cancelled: bool = False


class PartLifted(Event, frozen=True):
    """Report that an operator has lifted the hold on a prompt part or a request."""

    part: int


class CallerGone(Event, frozen=True):
    """Report that the caller disconnected."""

    request_id: RequestId


class DeadlinePassed(Event, frozen=True):
    """Report that a request's deadline has passed while it wasn't running."""

    request_id: RequestId


class DrainStarted(Event, frozen=True):
    """Begin a planned stop of this host; it may still accept requests for a while."""

    refuse_new: bool = True


class GraceEnding(Event, frozen=True):
    """Refuse what waits and may not end before this host does, at `ends_at`."""

    ends_at: Seconds


class RunMoved(Event, frozen=True):
    """Report that a running request goes on at another engine."""

    request_id: RequestId
    server: ServerId


class MoveEnded(Event, frozen=True):
    """Report a move after which the request isn't at the proposed engine."""

    request_id: RequestId
    outcome: MoveOutcome
