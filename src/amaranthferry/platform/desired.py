"""Decode the configuration and the server entries that the store holds."""

from typing import Annotated, Any, TypeVar

import msgspec

from ..catalog import (
    Catalog,
    CatalogLimits,
    CatalogPart,
    Engine,
    Instance,
    LeftOut,
    Route,
    RoutedService,
    RouteKind,
    RouteTarget,
    Subscriber,
)
from ..config import MoveRules
from ..exceptions import SettingsError
from ..replica.items import convert_items
from ..rollout.orders import RolloutOrder, RolloutStatus
from ..types import (
    ModelId,
    PoolId,
    Seconds,
    ServerId,
    ServerState,
    SettingsVersion,
    WorkspaceId,
    ZoneId,
)

CONFIG_KIND = "config"
CONFIG_NAME = "main"
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
ROLLOUT_KIND = "rollouts"
SERVER_KIND = "servers"
_Part = TypeVar("_Part", bound=msgspec.Struct)
_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAMING,
}
_STATES = {"ready": ServerState.LIVE, "draining": ServerState.LEAVING}
_MILLISECOND = 0.001
#: Numbers above these name no server: one with more slots would get all work, and a
#: later start can't be sent to other hosts.
MAX_SLOTS = 2**20
MAX_TIMESTAMP = 2**63 - 1
#: Time that callers wait for the next event: the longest of a minimum, a multiple of
#: the objective and a multiple of the gap objective.
MIN_EVENT_TIMEOUT: Seconds = 2.0
EVENT_TIMEOUT_OBJECTIVES = 4.0
EVENT_TIMEOUT_GAPS = 8.0


class _Target(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    type: str
    service: str = ""
    backends: list[_Target] = []
    timeout_ms: float = 0
    goal_ms: float = 0
    gap_goal_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct, rename="camel"):
    slots: int
    kv_capacity: int = 0
    models: list[_Model] = []
    stride: int = 1
    moves: Any = None
    kv_bytes: Any = None
    link_mbps: Any = None
    handle_ttl_s: Any = 5


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[Any] = []
    priority: int | None = None
    unit: str = ""
    uncached_tokens: int = 0
    rate_per_s: float = 0
    burst: float = 0


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Desired(msgspec.Struct):
    version: int
    routes: list[Any]
    services: list[Any]
    limits: Any = None
    tenants: Any = None


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)] = 1
    warmup_left_ms: float = 0
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIMESTAMP)] = 0
    version: Any = ""


class _Rollout(msgspec.Struct, rename="camel"):
    service: str
    to: str | int
    duration_s: Annotated[float, msgspec.Meta(gt=0)]


def read_catalog(spec: Any) -> Catalog:
    """Build the catalog from a stored configuration; raise SettingsError."""
    try:
        desired = msgspec.convert(spec, _Desired)
    except msgspec.ValidationError as exc:
        raise SettingsError(
            f"The stored configuration can't be read: {exc}.",
            remedy="Write a configuration of the documented form.",
        ) from exc
    left_out: list[LeftOut] = []
    routes = _read_parts(desired.routes, _Route, CatalogPart.ROUTE, left_out)
    services = _read_parts(desired.services, _Service, CatalogPart.SERVICE, left_out)
    return Catalog(
        version=SettingsVersion(desired.version),
        routes=tuple(_route(item) for item in routes),
        services={PoolId(item.name): _service(item) for item in services},
        subscribers=_read_subscribers(desired.tenants, left_out),
        limits=_read_limits(desired.limits, left_out),
        left_out=tuple(left_out),
    )


def _read_parts(
    items: list[Any], kind: type[_Part], part: CatalogPart, left_out: list[LeftOut]
) -> list[_Part]:
    """Return the parts that can be read, and add the others to those left out."""
    found, unreadable = convert_items(items, kind)
    left_out += (
        LeftOut(
            part=part,
            name=_text(item, "name"),
            problem=problem,
            host=_text(item, "host").lower(),
            prefix=_text(item, "pathPrefix"),
        )
        for item, problem in unreadable
    )
    return found


def _text(item: Any, field: str) -> str:
    value = item.get(field) if isinstance(item, dict) else None
    return value if isinstance(value, str) else ""


def _read_subscribers(
    tenants: Any, left_out: list[LeftOut]
) -> tuple[Subscriber, ...] | None:
    """Return the workspaces; without a list that can be read no key is known."""
    if tenants is None:
        return None
    if not isinstance(tenants, list):
        problem = f"Expected a list, not {type(tenants).__name__}."
        left_out.append(LeftOut(part=CatalogPart.WORKSPACE, name="", problem=problem))
        return ()
    found = _read_parts(tenants, _Tenant, CatalogPart.WORKSPACE, left_out)
    return tuple(_subscriber(item, left_out) for item in found)


def _read_limits(item: Any, left_out: list[LeftOut]) -> CatalogLimits:
    try:
        limits = _Limits() if item is None else msgspec.convert(item, _Limits)
    except msgspec.ValidationError as exc:
        left_out.append(LeftOut(part=CatalogPart.LIMITS, name="", problem=str(exc)))
        limits = _Limits()
    return CatalogLimits(
        max_header=limits.max_header_bytes,
        max_body=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms * _MILLISECOND,
        idle_timeout=limits.idle_timeout_ms * _MILLISECOND,
    )


def _route(item: _Route) -> Route:
    """Return a route; one of a kind that isn't known runs at most once."""
    targets = item.backends or [_Target(item.service)]
    return Route(
        name=item.name,
        host=item.host.lower(),
        prefix=item.path_prefix,
        kind=_KINDS.get(item.type, RouteKind.UNSAFE),
        targets=tuple(RouteTarget(PoolId(t.service), t.weight) for t in targets),
        timeout=item.timeout_ms * _MILLISECOND,
        objective=item.goal_ms * _MILLISECOND,
        gap_objective=item.gap_goal_ms * _MILLISECOND,
        event_timeout=_event_timeout(item),
        priority=item.priority,
        max_attempts=max(1, item.max_attempts) if item.type in _KINDS else 1,
        public=item.public,
        resumable=item.resumable and item.type in _KINDS,
    )


def _event_timeout(item: _Route) -> Seconds:
    """Return the timeout for the next event; 0 means the timeout of the request."""
    if item.type != "streaming":
        return 0.0
    objectives = EVENT_TIMEOUT_OBJECTIVES * item.goal_ms
    gaps = EVENT_TIMEOUT_GAPS * item.gap_goal_ms
    return max(MIN_EVENT_TIMEOUT, max(objectives, gaps) * _MILLISECOND)


def _service(item: _Service) -> RoutedService:
    engine = item.engine
    return RoutedService(
        name=PoolId(item.name),
        max_connections=item.max_connections,
        engine=None
        if engine is None
        else Engine(
            slots=engine.slots,
            kv_tokens=engine.kv_capacity,
            models=tuple(ModelId(model.name) for model in engine.models),
            event_tokens=max(1, engine.stride),
            moves=MoveRules.from_config(
                engine.moves, engine.kv_bytes, engine.link_mbps, engine.handle_ttl_s
            ),
        ),
    )


def _subscriber(item: _Tenant, left_out: list[LeftOut]) -> Subscriber:
    keys = tuple(key for key in item.api_keys if isinstance(key, str))
    if len(keys) != len(item.api_keys):
        problem = f"{len(item.api_keys) - len(keys)} keys are no text."
        left_out.append(LeftOut(part=CatalogPart.KEY, name=item.name, problem=problem))
    return Subscriber(
        workspace=WorkspaceId(item.name),
        keys=keys,
        priority=item.priority,
        counts_tokens=item.unit == "tokens",
        default_cost=float(item.uncached_tokens) if item.unit == "tokens" else 1.0,
        rate=item.rate_per_s,
        burst=item.burst,
    )


def read_instance(name: str, spec: Any) -> Instance | None:
    """Build an instance from a server's entry; return None for an invalid entry."""
    try:
        entry = msgspec.convert(spec, _Entry)
        state = _STATES[entry.state]
        ip, _, port = entry.address.rpartition(":")
        readable = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
        if not (ip and readable and 0 < int(port) <= MAX_PORT):
            return None
        version = str(entry.version) if isinstance(entry.version, str | int) else ""
    except (msgspec.ValidationError, KeyError, ValueError):
        return None
    return Instance(
        server=ServerId(name),
        service=PoolId(entry.service),
        address=entry.address,
        zone=ZoneId(entry.zone),
        slots=max(1, entry.slots),
        state=state,
        incarnation=entry.born,
        version=version,
    )


def read_order(name: str, spec: Any, status: Any) -> RolloutOrder | None:
    """Build an order from a stored rollout; return None for one that can't be read."""
    try:
        item = msgspec.convert(spec, _Rollout)
        told = msgspec.convert(status, RolloutStatus | None)
    except msgspec.ValidationError:
        return None
    service = PoolId(item.service)
    return RolloutOrder.from_parts(name, service, item.to, item.duration_s, told)
