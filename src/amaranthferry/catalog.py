"""Describe what is routed where: routes, services, workspaces and live servers."""

import hashlib
from enum import StrEnum

import msgspec

from .config import (
    KIBIBYTE,
    MEBIBYTE,
    BackendServer,
    Deployment,
    Pool,
    PoolRules,
    Quota,
    Tier,
    WorkClass,
    Workspace,
)
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

#: Ranks that a route or a workspace may have; larger ones count as the last.
PRIORITY_LEVELS = 16
#: The workspace of requests that carry no key.
ANONYMOUS = WorkspaceId("")
#: How often a coordinator tells a host that its asks are held.
NOTICE_INTERVAL: Seconds = 0.1
#: Time in which hosts hand their running work to a new coordinator.
REBUILD_TIMEOUT: Seconds = 0.5
#: Servers drop a request when its connection ends, so a dead host's work ends soon.
ORPHAN_TIMEOUT: Seconds = 2.0
#: Speeds to begin predictions with, until an engine has shown its own.
PRIOR_PREFILL_RATE = 30_000.0
PRIOR_DECODE_INTERVAL: Seconds = 0.008
#: Part of the slack of a quota that is used; the rest covers accounts that begin anew.
LEEWAY_FRACTION = 0.25
#: Part of the burst that an account which knows nothing of before doesn't start from.
WITHHELD_FRACTION = 0.5
_SPLIT_STEPS = 10_000


class RouteKind(StrEnum):
    """Say what may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class RouteTarget(msgspec.Struct, frozen=True):
    """Name a service and its share of a route's requests."""

    service: PoolId
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """State how the requests of one host and path prefix are handled."""

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
        """Tell whether a request may run more than once."""
        streaming = self.kind is RouteKind.STREAMING and self.resumable
        return streaming or self.kind is RouteKind.SAFE

    def service_for(self, attempt: str) -> PoolId:
        """Choose the service of one attempt, by weight and the same on every host."""
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


class RoutedService(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a service; one without an engine is a plain service."""

    name: PoolId
    max_connections: int = 0
    engine: Engine | None = None


class Subscriber(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a workspace's keys, rank and quota; a rate of 0 means no limit."""

    workspace: WorkspaceId
    keys: tuple[str, ...] = ()
    priority: int | None = None
    counts_tokens: bool = False
    plain_cost: float = 1.0
    rate: float = 0.0
    burst: float = 0.0

    def cost(self, tokens: Tokens) -> float:
        """Return what one request takes from the quota."""
        return float(tokens) if self.counts_tokens and tokens else self.plain_cost


class CatalogLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bound what a caller may send; sizes in bytes, times in seconds."""

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


class Catalog(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one version of the configuration of routed requests."""

    version: SettingsVersion
    routes: tuple[Route, ...] = ()
    services: dict[PoolId, RoutedService] = {}
    subscribers: tuple[Subscriber, ...] | None = None
    limits: CatalogLimits = CatalogLimits()


class RouteTable:
    """Find the route of a path and the workspace of a key in one catalog."""

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self._routes: dict[str, dict[str, Route]] = {}
        for route in catalog.routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        subscribers = catalog.subscribers or ()
        self._keys = {key: item for item in subscribers for key in item.keys}
        self.needs_key = catalog.subscribers is not None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        name = host.partition(":")[0].lower()
        routes = self._routes.get(name)
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def subscriber(self, key: str) -> Subscriber | None:
        """Return the workspace that holds a key."""
        return self._keys.get(key)


def priority_of(route: Route, subscriber: Subscriber | None) -> int:
    """Return the rank of a request; a workspace's own rank goes first."""
    override = None if subscriber is None else subscriber.priority
    rank = route.priority if override is None else override
    return _rank(rank)


def tier_id(rank: int) -> TierId:
    """Name the tier of a rank."""
    return TierId(str(rank))


def work_class_id(route: Route) -> ClassId:
    """Name the kind of work of a route."""
    return _class_id(route.kind is RouteKind.UNSAFE, _rank(route.priority))


def _class_id(runs_to_completion: bool, rank: int) -> ClassId:
    # Work that may not be repeated goes on when its caller leaves.
    return ClassId(f"{'finished' if runs_to_completion else 'cancelled'}-{rank}")


def _rank(priority: int) -> int:
    return min(max(priority, 0), PRIORITY_LEVELS - 1)


class BudgetLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one host's part of what all hosts may use together.

    The numbers for second runs are this host's. Those for quotas are a workspace's:
    what it uses in a window may exceed rate and burst by a part, and by a slack.
    """

    repeat_ratio: float = 0.1
    repeat_burst: float = 2.0
    repeat_refill: float = 0.1
    quota_window: Seconds = 8.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0


def deployment_of(
    catalog: Catalog, instances: dict[ServerId, Instance], budget_limits: BudgetLimits
) -> Deployment:
    """Compile a catalog and the live servers into what the reducers decide from."""
    pools = {name: _pool(service) for name, service in catalog.services.items()}
    servers = {
        server: _server(instance, catalog.services[instance.service])
        for server, instance in instances.items()
        if instance.service in catalog.services and instance.state is ServerState.LIVE
    }
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
            name: _rules(service, budget_limits)
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
        return Pool(service.name, kind=PoolKind.SERVICE)
    return Pool(service.name, models=service.engine.models)


def _quota(subscriber: Subscriber, budget_limits: BudgetLimits) -> Quota:
    """Bound a workspace so that an account that begins anew keeps the bound too."""
    rate, burst, window = subscriber.rate, subscriber.burst, budget_limits.quota_window
    overage = budget_limits.quota_overage * (rate * window + burst)
    slack = budget_limits.quota_slack if subscriber.counts_tokens else 0.0
    leeway = slack * LEEWAY_FRACTION
    withheld = min(overage + slack - leeway, burst * WITHHELD_FRACTION)
    return Quota(rate, burst, leeway, window, withheld)


def _rules(service: RoutedService, budget_limits: BudgetLimits) -> PoolRules:
    plain = service.engine is None
    return PoolRules(
        repeat_ratio=budget_limits.repeat_ratio,
        repeat_burst=budget_limits.repeat_burst,
        repeat_refill=budget_limits.repeat_refill,
        decided_locally=plain,
        by_objective=not plain,
        notice_interval=0.0 if plain else NOTICE_INTERVAL,
        rebuild_timeout=REBUILD_TIMEOUT,
        orphan_timeout=ORPHAN_TIMEOUT,
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
        prefill_rate=PRIOR_PREFILL_RATE,
        decode_interval=PRIOR_DECODE_INTERVAL,
    )


_TIERS = {tier_id(rank): Tier(tier_id(rank), rank) for rank in range(PRIORITY_LEVELS)}
_CLASSES = _classes()
