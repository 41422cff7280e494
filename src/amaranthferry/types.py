"""Define the ids and states that every module shares."""

from enum import StrEnum
from typing import NamedTuple, NewType

HostId = NewType("HostId", str)
ServerId = NewType("ServerId", str)
PoolId = NewType("PoolId", str)
ShardId = NewType("ShardId", str)
ZoneId = NewType("ZoneId", str)
ModelId = NewType("ModelId", str)
WorkspaceId = NewType("WorkspaceId", str)
TierId = NewType("TierId", str)
ClassId = NewType("ClassId", str)
ServiceId = NewType("ServiceId", str)
RequestId = NewType("RequestId", str)
#: What a request is to a server: equal for equal requests of one workspace; 0 if unknown.
RequestDigest = NewType("RequestDigest", int)
SettingsVersion = NewType("SettingsVersion", int)
StoreEra = NewType("StoreEra", int)
Seconds = float
Tokens = int


class Position(NamedTuple):
    """Identify a state of the store; revisions are given out again in a new era."""

    era: StoreEra
    revision: int


class Outcome(StrEnum):
    """Represent what is known about a request's execution."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    DONE = "done"


class RequestState(StrEnum):
    """Represent the state of a request on its entry host."""

    RECEIVED = "received"
    CLAIMING = "claiming"
    WAITING = "waiting"
    PERMITTED = "permitted"
    DISPATCHED = "dispatched"
    ANSWERING = "answering"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ServerState(StrEnum):
    """Represent whether a backend server may receive new work."""

    LIVE = "live"
    LEAVING = "leaving"
    LOST = "lost"


class ServerSignal(StrEnum):
    """Represent a change of what is known from a server's own answers."""

    LEAVING = "leaving"
    LEAVING_FORGOTTEN = "leaving_forgotten"
    HELD_OFF = "held_off"
    HOLD_OFF_ENDED = "hold_off_ended"
    LIMITED = "limited"
    LIMIT_ENDED = "limit_ended"


class ServerStateSource(StrEnum):
    """Represent the source of a backend server's reported state."""

    HOST_LIST = "host_list"
    SELF = "self"
    OPERATOR = "operator"
    ORDER = "order"


class UpdatePurpose(StrEnum):
    """Represent the purpose of an update about what ends servers.

    A host that has started asks others; one that has only just started itself answers
    as uninformed.
    """

    NEWS = "news"
    QUESTION = "question"
    ANSWER = "answer"
    UNINFORMED_ANSWER = "uninformed_answer"


class PoolKind(StrEnum):
    """Distinguish model engines from plain services."""

    ENGINE = "engine"
    SERVICE = "service"


class StoreOutageRule(StrEnum):
    """Represent how claimed work is handled while the object API is unavailable."""

    WAIT = "wait"
    REFUSE = "refuse"


class RefusalReason(StrEnum):
    """Represent the reason why a request was refused before dispatch."""

    QUEUE_FULL = "queue_full"
    EVICTED = "evicted"
    DEADLINE = "deadline"
    NO_SERVER = "no_server"
    NO_COORDINATOR = "no_coordinator"
    STORE_UNAVAILABLE = "store_unavailable"
    DRAINING = "draining"
    SETTINGS_STALE = "settings_stale"
    SERVER_REFUSED = "server_refused"
    CALLER_GONE = "caller_gone"
    RETRY_BUDGET = "retry_budget"
    QUOTA = "quota"
    KEY_CONFLICT = "key_conflict"
    KEY_UNKNOWN = "key_unknown"
    HARMFUL_PART = "harmful_part"
    HARMFUL_REQUEST = "harmful_request"
    SERVER_LIMIT = "server_limit"


class SubjectKind(StrEnum):
    """Represent what may be to blame for the end of a server."""

    PART = "part"
    REQUEST = "request"


class ReturnReason(StrEnum):
    """Represent the reason why a host returned a grant without a dispatch."""

    REQUEST_GONE = "request_gone"
    GRANTED_ELSEWHERE = "granted_elsewhere"
    EXPIRED = "expired"
    SUSPENDED = "suspended"
    SERVER_LEAVING = "server_leaving"
    HELD_OFF = "held_off"
    PART_HELD = "part_held"
    VERSION_WITHHELD = "version_withheld"


class Decider(StrEnum):
    """Represent who granted the permit of a dispatch."""

    COORDINATOR = "coordinator"
    STAND_IN = "stand_in"
    FALLBACK = "fallback"
    LOCAL = "local"


class FallbackCause(StrEnum):
    """Represent the reason why a host began to decide a shard's permits itself."""

    COORDINATOR_SILENT = "coordinator_silent"
    CONNECTION_LOST = "connection_lost"


class WasteCause(StrEnum):
    """Represent the reason why prefill work did not count as goodput."""

    LATE = "late"
    CALLER_GONE = "caller_gone"
    CACHE_MISS = "cache_miss"
    ENGINE_REFUSED = "engine_refused"
    REPEATED = "repeated"
    FAILED = "failed"
