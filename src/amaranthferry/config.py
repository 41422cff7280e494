"""Define the compiled settings of a deployment as typed, immutable values."""

from typing import Any, Self

import msgspec

from .types import (
    ClassId,
    HostId,
    ModelId,
    PoolId,
    PoolKind,
    Seconds,
    ServerId,
    ServiceId,
    SettingsVersion,
    StoreOutageRule,
    TierId,
    Tokens,
    WorkspaceId,
    ZoneId,
)

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
BYTES_PER_MEGABIT = 125_000


class Tier(msgspec.Struct, frozen=True):
    """Represent a group of callers; rank 0 is the most urgent."""

    name: TierId
    rank: int


class WorkClass(msgspec.Struct, frozen=True):
    """Define the rules of one class of work; rank 0 is served first within a tier."""

    name: ClassId
    rank: int = 0
    default_timeout: Seconds = 30.0
    max_timeout: Seconds = 43_200.0
    bulk: bool = False
    may_be_refused: bool = True
    never_repeated: bool = False
    require_key: bool = False
    cancel_when_caller_gone: bool = True
    store_outage: StoreOutageRule = StoreOutageRule.REFUSE
    expected_output_tokens: Tokens = 256


class Workspace(msgspec.Struct, frozen=True):
    """Describe one workspace; key hashes are SHA-256 hex digests."""

    name: WorkspaceId
    tier: TierId
    classes: tuple[ClassId, ...]
    default_class: ClassId
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0


class BackendServer(msgspec.Struct, frozen=True):
    """Describe one backend server and its initial speeds for predictions."""

    name: ServerId
    pool: PoolId
    zone: ZoneId
    address: str
    kind: str = "standard"
    slots: int = 16
    kv_tokens: Tokens = 200_000
    prefill_rate: float = 8_000.0
    decode_interval: Seconds = 0.02
    models: tuple[ModelId, ...] = ()
    fences_orders: bool = True
    adapters: tuple[str, ...] = ()
    model_version: str = ""
    role: str = ""


class Pool(msgspec.Struct, frozen=True):
    """Represent a group of backend servers that can serve the same requests.

    `minimum_share` is the fraction of the work of each tier and class that is served at
    least, however much more urgent work there is.
    """

    name: PoolId
    kind: PoolKind = PoolKind.ENGINE
    models: tuple[ModelId, ...] = ()
    queue_limit: int = 1_000
    bulk_share: float = 0.5
    servers_per_shard: int = 64
    retry_ratio: float = 0.1
    minimum_share: float = 0.1


class MoveRules(msgspec.Struct, frozen=True):
    """Define how engines copy the memory of a run to each other; sizes in bytes."""

    token_bytes: float
    link_rate: float
    handle_lifetime: Seconds = 5.0

    @classmethod
    def from_config(
        cls, moves: Any, token_bytes: Any, link_mbps: Any, handle_lifetime: Any
    ) -> Self | None:
        """Return the rules; no run moves where a part of them is off or unreadable."""
        sizes = (token_bytes, link_mbps, handle_lifetime)
        numbers = [item for item in sizes if type(item) in (int, float) and item > 0]
        if moves is not True or len(numbers) < len(sizes):
            return None
        return cls(numbers[0], numbers[1] * BYTES_PER_MEGABIT, numbers[2])

    def copy_time(self, tokens: float, *, same_zone: bool) -> Seconds:
        """Return the time of a copy on idle links, which is doubled between zones."""
        seconds = tokens * self.token_bytes / self.link_rate
        return seconds if same_zone else 2 * seconds


class PoolRules(msgspec.Struct, frozen=True):
    """Define how the hosts coordinate the requests of one pool.

    The repeat budget is per host: the ratio of repeats to first dispatches, the burst
    of repeats, and the repeats refilled per second. A notice interval of 0 disables
    queue notices. A pool that is decided locally may be `shared_when_full`: the shard's
    coordinator decides while its servers are full. Each host keeps at most
    `kept_connections` to its servers, those in use among them.
    Runs move between engines only where there are `moves`.
    """

    repeat_ratio: float = 0.0
    repeat_burst: float = 0.0
    repeat_refill: float = 0.0
    decided_locally: bool = False
    shared_when_full: bool = False
    kept_connections: int = 0
    by_objective: bool = False
    #: Whether workspaces of a level share it by what they are allowed.
    shared_by_allowance: bool = False
    #: Whether long answers wait for servers that end them by their deadlines.
    holds_long_answers: bool = False
    notice_interval: Seconds = 0.0
    rebuild_timeout: Seconds = 2.0
    orphan_timeout: Seconds = 30.0
    moves: MoveRules | None = None


DEFAULT_RULES = PoolRules()


class Quota(msgspec.Struct, frozen=True):
    """Limit the usage of a workspace; the rate is per second, 0 means no limit.

    Usage in any window is at most the rate times the window, plus the burst and the
    leeway. A ledger without earlier usage data starts with the burst less the withheld
    amount, and accrues the rate. A surge is the most that may be used beyond the rate
    at any time; 0 means no such limit.
    """

    rate: float = 0.0
    burst: float = 0.0
    leeway: float = 0.0
    window: Seconds = 8.0
    withheld: float = 0.0
    surge: float = 0.0

    @property
    def window_limit(self) -> float:
        """Return the maximum usage in one window."""
        return self.rate * self.window + self.burst + self.leeway

    @property
    def initial_allowance(self) -> float:
        """Return the allowance to start from where earlier usage is unknown."""
        return self.burst - self.withheld

    def part(self, fraction: float) -> "Quota":
        """Return the quota of a fraction of the whole."""
        return msgspec.structs.replace(
            self,
            rate=self.rate * fraction,
            burst=self.burst * fraction,
            leeway=self.leeway * fraction,
            withheld=self.withheld * fraction,
            surge=self.surge * fraction,
        )


class Service(msgspec.Struct, frozen=True):
    """Map a plain service name to its pool."""

    name: ServiceId
    pool: PoolId
    work_class: ClassId
    write_class: ClassId


class Limits(msgspec.Struct, frozen=True):
    """Define the limits of one entry host; sizes in bytes, times in seconds."""

    max_body: int = 8 * MEBIBYTE
    max_answer_record: int = 64 * KIBIBYTE
    idle_timeout: Seconds = 10.0
    freshness: Seconds = 60.0
    target_inter_token: Seconds = 0.027
    target_first_token: Seconds = 1.1
    claim_slots: int = 64
    claim_retention: Seconds = 86_400.0


class Deployment(msgspec.Struct, frozen=True):
    """Define everything an entry host needs to serve one deployment."""

    name: str
    version: SettingsVersion = SettingsVersion(0)
    tiers: dict[TierId, Tier] = {}
    classes: dict[ClassId, WorkClass] = {}
    workspaces: dict[WorkspaceId, Workspace] = {}
    pools: dict[PoolId, Pool] = {}
    servers: dict[ServerId, BackendServer] = {}
    services: dict[ServiceId, Service] = {}
    operator_key_hashes: tuple[str, ...] = ()
    drained: tuple[ServerId, ...] = ()
    quotas: dict[WorkspaceId, Quota] = {}
    rules: dict[PoolId, PoolRules] = {}
    incarnations: dict[ServerId, int] = {}
    limits: Limits = Limits()

    def rules_of(self, pool: PoolId) -> PoolRules:
        """Return the coordination rules of a pool."""
        return self.rules.get(pool, DEFAULT_RULES)


class HostConfig(msgspec.Struct, frozen=True):
    """Define the settings of one entry host, read from its own INI file."""

    host: HostId
    zone: ZoneId
    http_address: str
    peer_address: str
    platform_url: str
    peer_key: str
    seeds: tuple[str, ...] = ()
    statsd_address: str = ""
    capacity: float = 0.0
    log_level: str = "info"
