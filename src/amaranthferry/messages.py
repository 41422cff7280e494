"""Define the permit messages that entry hosts and coordinators exchange."""

from typing import Any

import msgspec

from .types import (
    HostId,
    ModelId,
    PoolId,
    RefusalReason,
    RequestDigest,
    RequestId,
    Seconds,
    ServerId,
    ServerState,
    ServerStateSource,
    SettingsVersion,
    ShardId,
    StoreEra,
    SubjectKind,
    Tokens,
    UpdatePurpose,
    WorkspaceId,
    ZoneId,
)


class Message(msgspec.Struct, frozen=True, array_like=True, tag_field="type"):
    """Define the base of all messages between entry hosts."""


class ServerIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """Identify one start of a backend server at one address."""

    server: ServerId
    number: int
    address: str


class LimitWord(msgspec.Struct, frozen=True, array_like=True):
    """Describe the limit that a server named in an answer `age` ago, or its end.

    `rate` is in requests a second, of all hosts together. The answer's request was sent
    `sent_age` ago by `source`; the limit has been named for `lasting` seconds.
    """

    incarnation: ServerIncarnation
    rate: float | None
    age: Seconds
    sent_age: Seconds
    lasting: Seconds
    source: HostId


class PermitRequest(Message, frozen=True, tag="ask"):
    """Request a permit from a shard's coordinator to dispatch one request.

    Deadlines are sent as remaining seconds, since hosts share no clock. `patience` is the
    time that the caller still waits for the next event of its answer. A request that may
    have run on another server can't be refused, which says that it hasn't.
    """

    request_id: RequestId
    shard: ShardId
    workspace: WorkspaceId
    tier_rank: int
    class_rank: int
    remaining: Seconds
    prompt_tokens: Tokens
    output_tokens: Tokens
    model: ModelId = ModelId("")
    prefixes: tuple[int, ...] = ()
    bulk: bool = False
    may_be_refused: bool = True
    weight: float = 1.0
    zone: ZoneId = ZoneId("")
    objective: Seconds = 0.0
    prefix_lengths: tuple[Tokens, ...] = ()
    excluded: tuple[ServerId, ...] = ()
    quota_cost: float = 0.0
    patience: Seconds = 0.0
    digest: RequestDigest = RequestDigest(0)
    may_have_run: bool = False


class PermitGrant(Message, frozen=True, tag="grant"):
    """Allow one request to be dispatched to one server.

    A trial is granted though the request or a part of its prompt is held. `alone` names
    the suspected subjects that this host's other requests don't have, and `familiar` the
    parts with a recent sound answer.
    """

    request_id: RequestId
    shard: ShardId
    server: ServerId
    predicted_first_token: Seconds = 0.0
    predicted_cached_tokens: Tokens = 0
    trial: bool = False
    alone: tuple[int, ...] = ()
    familiar: tuple[int, ...] = ()


class PermitQueued(Message, frozen=True, tag="queued"):
    """Notify a host that its permit requests are queued at a shard's coordinator."""

    shard: ShardId


class PermitRefusal(Message, frozen=True, tag="refuse"):
    """Refuse one request, which has not been dispatched."""

    request_id: RequestId
    shard: ShardId
    reason: RefusalReason
    retry_after: Seconds


class PermitWithdraw(Message, frozen=True, tag="withdraw"):
    """Withdraw a permit request whose caller disconnected or whose deadline passed."""

    request_id: RequestId
    shard: ShardId


class PermitProgress(Message, frozen=True, tag="progress"):
    """Report a running request's first token or its later progress.

    `movable` tells that the host could have the run go on at another engine now.
    """

    request_id: RequestId
    shard: ShardId
    server: ServerId
    first_token: Seconds
    output_tokens: Tokens
    elapsed: Seconds
    movable: bool = False


class PermitRelease(Message, frozen=True, tag="release"):
    """Release a permit, with the measurements of its dispatch.

    `hold_off` is the time for which the server wants nothing more from the host, and
    `sound` tells whether the answer began well and went on.
    """

    request_id: RequestId
    shard: ShardId
    server: ServerId
    dispatched: bool
    failed: bool = False
    prompt_tokens: Tokens = 0
    cached_tokens: Tokens = 0
    output_tokens: Tokens = 0
    first_token: Seconds = 0.0
    elapsed: Seconds = 0.0
    hold_off: Seconds = 0.0
    sound: bool = False


class RunningWork(msgspec.Struct, frozen=True, array_like=True):
    """Describe one dispatched request to a new coordinator."""

    request: PermitRequest
    server: ServerId
    output_tokens: Tokens
    elapsed: Seconds


class Registration(Message, frozen=True, tag="register"):
    """Register a host's waiting and running requests with a shard's coordinator.

    `quota_usage` is the quota usage of each workspace by time bucket, the latest first;
    the host has recorded it for `usage_age` seconds. `limits` are those that servers
    have named, as far as the host knows. `filling` tells that servers which each host
    chooses for itself have rejected a request.
    """

    shard: ShardId
    waiting: tuple[PermitRequest, ...]
    running: tuple[RunningWork, ...]
    quota_usage: dict[WorkspaceId, tuple[float, ...]] = {}
    usage_age: Seconds = 0.0
    limits: tuple[LimitWord, ...] = ()
    filling: bool = False


class UsageElsewhere(Message, frozen=True, tag="usage"):
    """Report the recent quota usage that other hosts granted to a returning host."""

    shard: ShardId
    usage: dict[WorkspaceId, tuple[float, ...]]


class ShardAdvert(Message, frozen=True, tag="advert"):
    """Advertise the predicted wait in a shard's queue by tier rank."""

    shard: ShardId
    coordinator: HostId
    waits: tuple[Seconds, ...]


class StoreUpdateRequest(Message, frozen=True, tag="news_ask"):
    """Request the changes of a kind since a revision from a reader of the store."""

    number: int
    kind: str
    revision: int
    era: StoreEra = StoreEra(0)


class ObjectChange(msgspec.Struct, frozen=True, array_like=True):
    """Represent one change of a stored object."""

    name: str
    revision: int
    deleted: bool
    spec: Any = None


class StoreUpdate(Message, frozen=True, tag="news"):
    """Forward the changes of a kind that were read from the store.

    The changes lead from `since` to `revision`, both of one era; without them the
    receiver must read the store itself. A reply carries the number of its request and
    the age of the read that confirmed it; an unsolicited update has the number 0 and
    confirms nothing. Large changes are compressed in `packed` instead; an update with
    an origin is forwarded along that host's tree. `version` is that of the sender's
    active configuration, and `store_lost` tells that its latest read has failed.
    """

    number: int
    kind: str
    since: int
    revision: int
    age: Seconds
    changes: tuple[ObjectChange, ...] | None = ()
    era: StoreEra = StoreEra(0)
    packed: bytes = b""
    origin: HostId = HostId("")
    version: SettingsVersion = SettingsVersion(0)
    store_lost: bool = False


class CoordinatorLeaving(Message, frozen=True, tag="leaving"):
    """Notify entry hosts that a coordinator is handing over its shards."""

    host: HostId


class ServerNotice(Message, frozen=True, tag="server"):
    """Forward a report that a backend server is live, leaving or lost."""

    server: ServerId
    state: ServerState
    source: ServerStateSource


class LeavingNotice(Message, frozen=True, tag="leaving_server"):
    """Forward that a server has said in an answer that it leaves, `age` ago.

    The hosts forward it along the tree of the host that has seen the answer.
    """

    incarnation: ServerIncarnation
    origin: HostId
    age: Seconds


class LimitNotice(Message, frozen=True, tag="server_limit"):
    """Forward what a server has said of its limit.

    A notice with an origin is forwarded along that host's tree; one without corrects
    what its receiver has told.
    """

    word: LimitWord
    origin: HostId = HostId("")


class SubjectId(msgspec.Struct, frozen=True, array_like=True):
    """Identify what may be to blame, at the servers of one pool, model and version.

    It is a part of prompts, or a whole request by its digest.
    """

    pool: PoolId
    model: ModelId
    version: str
    hash: int
    kind: SubjectKind = SubjectKind.PART


class AccusingEnd(msgspec.Struct, frozen=True, array_like=True):
    """Describe the end of a server under a request with a subject, `age` ago.

    `alone` tells whether the part was suspected and ran once at a time, `familiar`
    whether it had a sound answer shortly before, and `acquitted` whether it has had one
    since. `companions` are the other parts that all such requests at that server have
    in common. The request ran for `ran_for`, and `request` is its digest, or 0 if it is
    unknown or there were several.
    """

    incarnation: ServerIncarnation
    request_id: RequestId
    age: Seconds
    alone: bool
    familiar: bool
    acquitted: bool
    companions: tuple[int, ...]
    ran_for: Seconds = 0.0
    request: RequestDigest = RequestDigest(0)


class SubjectRecord(msgspec.Struct, frozen=True, array_like=True):
    """Describe the evidence about a subject; the last trial was `trial_age` ago."""

    subject: SubjectId
    ends: tuple[AccusingEnd, ...]
    trials: int = 0
    trial_age: Seconds = 0.0


class HarmUpdate(Message, frozen=True, tag="harmful_parts"):
    """Forward evidence about what servers ended under.

    An update with an origin is forwarded along that host's tree.
    """

    records: tuple[SubjectRecord, ...]
    origin: HostId = HostId("")
    purpose: UpdatePurpose = UpdatePurpose.NEWS
