"""Define the routing configuration: routes, services, workspaces and live servers."""

import hashlib
from collections import Counter
from enum import StrEnum

import msgspec

from .config import (
    KIBIBYTE,
    MEBIBYTE,
    BackendServer,
    Deployment,
    MoveRules,
    Pool,
    PoolRules,
    Quota,
    Tier,
    WorkClass,
    Workspace,
)
from .contention.connections import connections_per_host
from .contention.orders import needs_shared_order
from .types import (
    ClassId,
    ModelId,
    PoolId,
    PoolKind,
    Seconds,
    ServerId,
    ServerState,
    SettingsVersion,
    TierId,
    Tokens,
    WorkspaceId,
    ZoneId,
)

#: Number of priority levels; larger priorities are clamped to the last level.
PRIORITY_LEVELS = 16
#: The workspace of requests without a key.
ANONYMOUS = WorkspaceId("")
#: How often a coordinator notifies a host that its permit requests are queued.
NOTICE_INTERVAL: Seconds = 0.1
#: Time in which hosts register their running work with a new coordinator.
REBUILD_TIMEOUT: Seconds = 0.5
#: Servers abort a request when its connection closes, so a lost host's work ends soon.
ORPHAN_TIMEOUT: Seconds = 2.0
#: Initial speeds for predictions, in use until an engine's own speeds are measured.
PRIOR_PREFILL_RATE = 30_000.0
PRIOR_DECODE_INTERVAL: Seconds = 0.008
#: Twice what one coordinator is meant for, since a release may double a service's
#: servers for a while, and each change of the number of shards moves all requests.
SERVERS_PER_SHARD = 128
#: Fraction of a quota's slack granted as leeway; the rest covers new ledgers.
LEEWAY_FRACTION = 0.5
#: Largest fraction of the burst withheld from a ledger without earlier usage data.
WITHHELD_FRACTION = 0.5
_SPLIT_STEPS = 10_000


class RouteKind(StrEnum):
    """Represent which of a route's requests may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class RouteTarget(msgspec.Struct, frozen=True):
    """Define a service and its relative share of a route's requests."""

    service: PoolId
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Define how the requests of one host and path prefix are handled."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
    timeout: Seconds = 0.0
    objective: Seconds = 0.0
    gap_objective: Seconds = 0.0
    event_timeout: Seconds = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be dispatched more than once."""
        streaming = self.kind is RouteKind.STREAMING and self.resumable
        return streaming or self.kind is RouteKind.SAFE

    def service_for(self, attempt: str) -> PoolId:
        """Choose an attempt's service by weight; all hosts make the same choice."""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        digest = hashlib.blake2b(attempt.encode(), digest_size=8).digest()
        point = int.from_bytes(digest) % _SPLIT_STEPS / _SPLIT_STEPS * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the engines of a service."""

    slots: int
    kv_tokens: Tokens
    models: tuple[ModelId, ...] = ()
    event_tokens: Tokens = 1
    moves: MoveRules | None = None


class RoutedService(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a service; one without an engine is a plain service."""

    name: PoolId
    max_connections: int = 0
    engine: Engine | None = None


class Subscriber(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a workspace's keys, priority and quota; a rate of 0 means no limit."""

    workspace: WorkspaceId
    keys: tuple[str, ...] = ()
    priority: int | None = None
    counts_tokens: bool = False
    default_cost: float = 1.0
    rate: float = 0.0
    burst: float = 0.0

    def cost(self, tokens: Tokens) -> float:
        """Return the quota cost of one request."""
        return float(tokens) if self.counts_tokens and tokens else self.default_cost


class CatalogLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Define the limits on callers' requests; sizes in bytes, times in seconds."""

    max_header: int = 16 * KIBIBYTE
    max_body: int = 4 * MEBIBYTE
    header_timeout: Seconds = 3.0
    idle_timeout: Seconds = 15.0


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one incarnation of a backend server as the store lists it."""

    server: ServerId
    service: PoolId
    address: str
    zone: ZoneId
    slots: int
    state: ServerState
    incarnation: int = 0
    version: str = ""


class CatalogPart(StrEnum):
    """Define what a configuration consists of."""

    ROUTE = "route"
    SERVICE = "service"
    WORKSPACE = "workspace"
    KEY = "key"
    LIMITS = "limits"


class LeftOut(msgspec.Struct, frozen=True, kw_only=True):
    """Name a part of a configuration that can't be read, and the reason.

    A route has the host and prefix that it is for, as far as they can be read.
    """

    part: CatalogPart
    name: str
    problem: str
    host: str = ""
    prefix: str = ""


class Catalog(msgspec.Struct, frozen=True, kw_only=True):
    """Represent one version of the routing configuration."""

    version: SettingsVersion
    routes: tuple[Route, ...] = ()
    services: dict[PoolId, RoutedService] = {}
    subscribers: tuple[Subscriber, ...] | None = None
    limits: CatalogLimits = CatalogLimits()
    left_out: tuple[LeftOut, ...] = ()


class RouteTable:
    """Look up the routes and workspace keys of one catalog.

    What can't be read is told apart from what isn't there.
    """

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self._routes: dict[str, dict[str, Route | None]] = {}
        for route in catalog.routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        parts = {item.part for item in catalog.left_out}
        for item in catalog.left_out:
            if item.part is CatalogPart.ROUTE and item.prefix:
                self._routes.setdefault(item.host, {})[item.prefix] = None
        #: Whether a route or key that isn't there may be one that can't be read.
        self.may_lack_routes = CatalogPart.ROUTE in parts
        self.may_lack_keys = bool(parts & {CatalogPart.WORKSPACE, CatalogPart.KEY})
        subscribers = catalog.subscribers or ()
        self._keys = {key: item for item in subscribers for key in item.keys}
        self.needs_key = catalog.subscribers is not None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match for a path.

        A route that can't be read isn't replaced by one with a shorter prefix.
        """
        name = host.partition(":")[0].lower()
        routes = self._routes.get(name)
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            prefix = path[: end + 1]
            if prefix in routes:
                return routes[prefix]
        return None

    def subscriber(self, key: str) -> Subscriber | None:
        """Return the workspace that a key belongs to."""
        return self._keys.get(key)


def priority_of(route: Route, subscriber: Subscriber | None) -> int:
    """Return the rank of a request; a workspace's priority overrides the route's."""
    override = None if subscriber is None else subscriber.priority
    rank = route.priority if override is None else override
    return _rank(rank)


def tier_id(rank: int) -> TierId:
    """Return the tier id of a rank."""
    return TierId(str(rank))


def work_class_id(route: Route) -> ClassId:
    """Return the work class id of a route."""
    return _class_id(route.kind is RouteKind.UNSAFE, _rank(route.priority))


def _class_id(runs_to_completion: bool, rank: int) -> ClassId:
    # Requests that must not be repeated keep running when their caller disconnects.
    return ClassId(f"{'finished' if runs_to_completion else 'cancelled'}-{rank}")


def _rank(priority: int) -> int:
    return min(max(priority, 0), PRIORITY_LEVELS - 1)


class BudgetLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Define one host's share of the budgets that all hosts have in common.

    The repeat limits are per host. The quota limits are per workspace: its usage in a
    window may exceed rate and burst by the overage, a fraction, and by the slack.
    """

    #: The number of hosts, or 0 if it is unknown.
    hosts: int = 0
    repeat_ratio: float = 0.1
    repeat_burst: float = 2.0
    repeat_refill: float = 0.1
    quota_window: Seconds = 8.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0


class PoolFeatures(msgspec.Struct, frozen=True, kw_only=True):
    """Define which optional decisions the pools of a deployment make."""

    shared_by_allowance: bool = False
    holds_long_answers: bool = False
    moves_runs: bool = False


NO_FEATURES = PoolFeatures()


def deployment_of(
    catalog: Catalog,
    instances: dict[ServerId, Instance],
    budget_limits: BudgetLimits,
    *,
    features: PoolFeatures = NO_FEATURES,
) -> Deployment:
    """Compile a catalog and the live servers into a deployment."""
    pools = {name: _pool(service) for name, service in catalog.services.items()}
    servers = {
        server: _server(instance, catalog.services[instance.service])
        for server, instance in instances.items()
        if instance.service in catalog.services and instance.state is ServerState.LIVE
    }
    slots = Counter[PoolId]()
    for server in servers.values():
        slots[server.pool] += server.slots
    names = [item.workspace for item in catalog.subscribers or ()]
    return Deployment(
        name="catalog",
        version=catalog.version,
        tiers=_TIERS,
        classes=_CLASSES,
        workspaces={name: _workspace(name) for name in (ANONYMOUS, *names)},
        pools=pools,
        servers=servers,
        quotas={
            item.workspace: _quota(item, budget_limits)
            for item in catalog.subscribers or ()
        },
        rules={
            name: _rules(service, budget_limits, features, slots[name])
            for name, service in catalog.services.items()
        },
        incarnations={name: instances[name].incarnation for name in servers},
    )


def _classes() -> dict[ClassId, WorkClass]:
    classes = (
        WorkClass(
            _class_id(runs_to_completion, rank),
            rank=rank,
            never_repeated=runs_to_completion,
        )
        for runs_to_completion in (False, True)
        for rank in range(PRIORITY_LEVELS)
    )
    return {work_class.name: work_class for work_class in classes}


def _workspace(name: WorkspaceId) -> Workspace:
    default = _class_id(runs_to_completion=True, rank=0)
    return Workspace(name, tier_id(0), (default,), default)


def _pool(service: RoutedService) -> Pool:
    if service.engine is None:
        return Pool(service.name, kind=PoolKind.SERVICE, minimum_share=0.0)
    return Pool(
        service.name,
        models=service.engine.models,
        servers_per_shard=SERVERS_PER_SHARD,
    )


def _quota(subscriber: Subscriber, budget_limits: BudgetLimits) -> Quota:
    """Limit a workspace so that a ledger without earlier usage keeps the bound, too."""
    rate, burst, window = subscriber.rate, subscriber.burst, budget_limits.quota_window
    overage = budget_limits.quota_overage * (rate * window + burst)
    slack = budget_limits.quota_slack if subscriber.counts_tokens else 0.0
    leeway = slack * LEEWAY_FRACTION
    margin = overage + slack - leeway
    withheld = min(margin, burst * WITHHELD_FRACTION)
    # The usage before a loss of all hosts and the allowance after it add up in a window.
    surge = leeway + margin + withheld
    return Quota(rate, burst, leeway, window, withheld, surge)


def _rules(
    service: RoutedService,
    budget_limits: BudgetLimits,
    features: PoolFeatures,
    slots: int,
) -> PoolRules:
    engine = service.engine
    plain = engine is None
    shared = plain and needs_shared_order(budget_limits.hosts, slots)
    return PoolRules(
        repeat_ratio=budget_limits.repeat_ratio,
        repeat_burst=budget_limits.repeat_burst,
        repeat_refill=budget_limits.repeat_refill,
        decided_locally=plain,
        shared_when_full=shared,
        kept_connections=(
            connections_per_host(service.max_connections, budget_limits.hosts)
            if shared
            else 0
        ),
        by_objective=shared or not plain,
        shared_by_allowance=features.shared_by_allowance and (shared or not plain),
        holds_long_answers=features.holds_long_answers and not plain,
        notice_interval=NOTICE_INTERVAL if shared or not plain else 0.0,
        rebuild_timeout=REBUILD_TIMEOUT,
        orphan_timeout=ORPHAN_TIMEOUT,
        moves=engine.moves if engine and features.moves_runs else None,
    )


def _server(instance: Instance, service: RoutedService) -> BackendServer:
    engine = service.engine
    return BackendServer(
        name=instance.server,
        pool=instance.service,
        zone=instance.zone,
        address=instance.address,
        slots=engine.slots if engine else instance.slots,
        kv_tokens=engine.kv_tokens if engine else 0,
        models=engine.models if engine else (),
        model_version=instance.version,
        prefill_rate=PRIOR_PREFILL_RATE,
        decode_interval=PRIOR_DECODE_INTERVAL,
    )


_TIERS = {tier_id(rank): Tier(tier_id(rank), rank) for rank in range(PRIORITY_LEVELS)}
_CLASSES = _classes()
