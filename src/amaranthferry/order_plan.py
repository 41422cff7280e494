"""Plan orders to engines from declared and observed placement."""

from enum import StrEnum

import msgspec

from .config import BackendServer, Deployment
from .effects import Effect
from .events import Event
from .types import ModelId, PoolId, PoolKind, Seconds, ServerId, Tokens

LEASE_SECONDS: Seconds = 10.0
RENEW_INTERVAL: Seconds = 3.0
READ_INTERVAL: Seconds = 10.0
DRAIN_READ_INTERVAL: Seconds = 1.0
# Permits granted before hosts received the drain have become requests by then.
DRAIN_SETTLE: Seconds = 3.0
ORDER_TIMEOUT: Seconds = 60.0
STUCK_AFTER: Seconds = 15.0
INITIAL_RETRY_DELAY: Seconds = 10.0
MAX_RETRY_DELAY: Seconds = 300.0
LOAD_BURST = 2.0
MAX_DRAINING_FRACTION = 0.1
_DISTANT_PAST: Seconds = float("-inf")


class OrderKind(StrEnum):
    """Define the kinds of orders that engines accept."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"


INTERRUPTING_KINDS = frozenset(OrderKind) - {OrderKind.LOAD_ADAPTER}
LOADING_KINDS = frozenset(OrderKind) - {OrderKind.SET_ROLE}


class EngineOrder(msgspec.Struct, frozen=True):
    """Represent one change of an engine's placement."""

    kind: OrderKind
    target: str


class Placement(msgspec.Struct, frozen=True):
    """Represent the placement that an engine reports; `age` in seconds."""

    models: tuple[ModelId, ...] = ()
    adapters: tuple[str, ...] = ()
    model_version: str = ""
    role: str = ""
    running: int = 0
    waiting: int = 0
    kv_tokens: Tokens = 0
    age: Seconds = 0.0


class LeaseRead(Event, frozen=True):
    """Report the stored lease's version, 0 for none."""

    version: int


class LeaseWritten(Event, frozen=True):
    """Report a lease acquired or renewed by a write begun at `started`."""

    version: int
    started: Seconds


class LeaseLost(Event, frozen=True):
    """Report that another host has written the lease."""


class PlacementRead(Event, frozen=True):
    """Report what an engine has loaded."""

    server: ServerId
    placement: Placement


class OrderEnded(Event, frozen=True):
    """Report the end of an order.

    `applied` only if the engine confirmed it; `in_doubt` if it may still take effect.
    """

    server: ServerId
    applied: bool
    in_doubt: bool = False


class ElectionChanged(Event, frozen=True):
    """Report whether this host is elected to hold the lease."""

    elected: bool


class ReadLease(Effect, frozen=True):
    """Read the lease object."""


class WriteLease(Effect, frozen=True):
    """Acquire or renew the lease if its version is the expected one."""

    expected: int


class ReadPlacement(Effect, frozen=True):
    """Read what an engine has loaded."""

    server: ServerId


class SetDrain(Effect, frozen=True):
    """Stop or restart new work for a server; a stop is repeated while it lasts."""

    server: ServerId
    draining: bool


class SendOrder(Effect, frozen=True):
    """Send an order, after checking the lease once more."""

    server: ServerId
    order: EngineOrder
    fencing: int


class LeaseView(msgspec.Struct):
    """Represent the last known lease; times are this host's monotonic ones.

    Orders to engines that don't fence them wait until `unfenced_wait_until`.
    """

    version: int = 0
    held_until: Seconds = _DISTANT_PAST
    seen_version: int = -1
    seen_since: Seconds = 0.0
    next_call: Seconds = _DISTANT_PAST
    unfenced_wait_until: Seconds = _DISTANT_PAST

    def is_held(self, now: Seconds) -> bool:
        """Return whether no other host can have acquired the lease by now."""
        return now < self.held_until


class ServerPlan(msgspec.Struct):
    """Represent the progress of one server towards its declared placement."""

    server: BackendServer
    placement: Placement | None = None
    next_read: Seconds = _DISTANT_PAST
    draining_since: Seconds | None = None
    drained: bool = False
    order_in_flight: bool = False
    in_doubt: bool = False
    last_order_at: Seconds = _DISTANT_PAST
    retry_at: Seconds = _DISTANT_PAST
    failures: int = 0

    def is_stuck(self, now: Seconds) -> bool:
        """Return whether an order is overdue, or its end is in doubt."""
        late = self.order_in_flight and now - self.last_order_at > STUCK_AFTER
        return late or self.in_doubt

    def next_order(self) -> EngineOrder | None:
        """Return the first order that the declaration still requires."""
        if self.placement is None:
            return None
        orders = missing_orders(self.server, self.placement)
        return orders[0] if orders else None


class LoadBudget(msgspec.Struct):
    """Limit loads from the weight store to `rate` a second."""

    rate: float
    tokens: float = LOAD_BURST
    updated: Seconds = _DISTANT_PAST

    def try_acquire(self, now: Seconds) -> bool:
        """Reserve one load; return whether one was available."""
        if self.updated != _DISTANT_PAST:
            gained = (now - self.updated) * self.rate
            self.tokens = min(LOAD_BURST, self.tokens + gained)
        self.updated = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def missing_orders(
    server: BackendServer, placement: Placement
) -> tuple[EngineOrder, ...]:
    """Return the orders that change a placement to the declared one.

    A declaration that is left empty requires nothing.
    """
    orders = []
    if server.role and server.role != placement.role:
        orders.append(EngineOrder(OrderKind.SET_ROLE, server.role))
    if server.model_version and server.model_version != placement.model_version:
        orders.append(EngineOrder(OrderKind.SET_VERSION, server.model_version))
    for model in server.models:
        if model not in placement.models:
            orders.append(EngineOrder(OrderKind.LOAD_MODEL, model))
    for adapter in server.adapters:
        if adapter not in placement.adapters:
            orders.append(EngineOrder(OrderKind.LOAD_ADAPTER, adapter))
    return tuple(orders)


def engines_of(deployment: Deployment) -> dict[ServerId, BackendServer]:
    """Return the servers that accept orders, which are those of engine pools."""
    engines = {
        pool.name for pool in deployment.pools.values() if pool.kind is PoolKind.ENGINE
    }
    servers = deployment.servers.values()
    return {server.name: server for server in servers if server.pool in engines}


def draining_limit(size: int) -> int:
    """Return how many servers of a pool may drain for orders at once."""
    return max(1, int(size * MAX_DRAINING_FRACTION))


class OrderPlan(msgspec.Struct):
    """Represent the state that the planning of orders depends on."""

    loads: LoadBudget
    elected: bool = False
    lease: LeaseView = msgspec.field(default_factory=LeaseView)
    servers: dict[ServerId, ServerPlan] = {}

    def draining_count(self, pool: PoolId, now: Seconds) -> int:
        """Return how many servers of a pool are drained for orders.

        Stuck ones don't count, so that they don't block the others.
        """
        return sum(
            plan.draining_since is not None and not plan.is_stuck(now)
            for plan in self.servers.values()
            if plan.server.pool == pool
        )

    def pool_size(self, pool: PoolId) -> int:
        """Return how many servers a pool has."""
        return sum(plan.server.pool == pool for plan in self.servers.values())
