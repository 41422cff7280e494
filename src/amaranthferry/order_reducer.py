"""Reduce events to effects: renew the lease, drain, send, read back, repair."""

from functools import singledispatch

from .effects import Effect
from .events import Event, SettingsApplied, Ticked
from .order_plan import (
    DRAIN_READ_INTERVAL,
    DRAIN_SETTLE,
    INITIAL_RETRY_DELAY,
    INTERRUPTING_KINDS,
    LEASE_SECONDS,
    LOADING_KINDS,
    MAX_RETRY_DELAY,
    ORDER_TIMEOUT,
    READ_INTERVAL,
    RENEW_INTERVAL,
    ElectionChanged,
    LeaseLost,
    LeaseRead,
    LeaseView,
    LeaseWritten,
    OrderEnded,
    OrderPlan,
    PlacementRead,
    ReadLease,
    ReadPlacement,
    SendOrder,
    ServerPlan,
    SetDrain,
    WriteLease,
    draining_limit,
    engines_of,
)
from .types import Seconds


@singledispatch
def reduce_orders(event: Event, plan: OrderPlan) -> list[Effect]:
    """Apply an event to the plan, and return the effects to perform."""
    return []


@reduce_orders.register
def _settings(event: SettingsApplied, plan: OrderPlan) -> list[Effect]:
    declared = engines_of(event.deployment)
    effects = []
    for name in list(plan.servers.keys() - declared.keys()):
        effects += _end_drain(plan.servers.pop(name))
    for name, server in declared.items():
        server_plan = plan.servers.setdefault(name, ServerPlan(server))
        server_plan.server = server
    return effects


@reduce_orders.register
def _election(event: ElectionChanged, plan: OrderPlan) -> list[Effect]:
    plan.elected = event.elected
    return []


@reduce_orders.register
def _lease_read(event: LeaseRead, plan: OrderPlan) -> list[Effect]:
    lease = plan.lease
    if event.version != lease.seen_version:
        lease.seen_version = event.version
        lease.seen_since = event.now
    expired = event.now - lease.seen_since >= LEASE_SECONDS
    if plan.elected and (expired or event.version == 0):
        return [WriteLease(expected=event.version)]
    return []


@reduce_orders.register
def _lease_written(event: LeaseWritten, plan: OrderPlan) -> list[Effect]:
    lease = plan.lease
    if not lease.is_held(event.now):
        # The previous holder may have sent an order right before its lease expired.
        lease.unfenced_wait_until = event.now + ORDER_TIMEOUT
        for server in plan.servers.values():
            server.next_read = event.now
            server.placement = None
    lease.version = event.version
    lease.held_until = event.started + LEASE_SECONDS
    return []


@reduce_orders.register
def _lease_lost(event: LeaseLost, plan: OrderPlan) -> list[Effect]:
    plan.lease = LeaseView()
    _clear_drains(plan)
    return []


@reduce_orders.register
def _placement(event: PlacementRead, plan: OrderPlan) -> list[Effect]:
    server = plan.servers.get(event.server)
    if server is None:
        return []
    server.placement = event.placement
    reported_at = event.now - event.placement.age
    idle = not event.placement.running and not event.placement.waiting
    since = server.draining_since
    server.drained = since is not None and idle and reported_at >= since + DRAIN_SETTLE
    if server.next_order() is None:
        server.failures = 0
        server.in_doubt = False
        return _end_drain(server)
    return []


@reduce_orders.register
def _order_ended(event: OrderEnded, plan: OrderPlan) -> list[Effect]:
    server = plan.servers.get(event.server)
    if server is None:
        return []
    server.order_in_flight = False
    server.in_doubt = event.in_doubt
    server.placement = None
    server.next_read = event.now
    if event.applied:
        return []
    delay = min(MAX_RETRY_DELAY, INITIAL_RETRY_DELAY * 2**server.failures)
    server.failures += 1
    server.retry_at = event.now + delay
    # An order in doubt may still interrupt work, so the server stays drained.
    return [] if event.in_doubt else _end_drain(server)


@reduce_orders.register
def _ticked(event: Ticked, plan: OrderPlan) -> list[Effect]:
    now = event.now
    effects = _maintain_lease(plan, now)
    if not plan.lease.is_held(now):
        _clear_drains(plan)
        return effects
    effects += _read_servers(plan, now)
    for server in sorted(plan.servers.values(), key=_by_last_order):
        effects += _advance(plan, server, now)
    return effects


def _by_last_order(server: ServerPlan) -> tuple[Seconds, str]:
    return server.last_order_at, server.server.name


def _maintain_lease(plan: OrderPlan, now: Seconds) -> list[Effect]:
    lease = plan.lease
    if not plan.elected or now < lease.next_call:
        return []
    lease.next_call = now + RENEW_INTERVAL
    if lease.is_held(now):
        return [WriteLease(expected=lease.version)]
    return [ReadLease()]


def _read_servers(plan: OrderPlan, now: Seconds) -> list[Effect]:
    effects: list[Effect] = []
    for name, server in plan.servers.items():
        if now < server.next_read:
            continue
        draining = server.draining_since is not None
        server.next_read = now + (DRAIN_READ_INTERVAL if draining else READ_INTERVAL)
        effects.append(ReadPlacement(server=name))
        if draining:
            effects.append(SetDrain(server=name, draining=True))
    return effects


def _advance(plan: OrderPlan, server: ServerPlan, now: Seconds) -> list[Effect]:
    order = server.next_order()
    if order is None or server.order_in_flight or now < server.retry_at:
        return []
    if not server.server.fences_orders and now < plan.lease.unfenced_wait_until:
        return []
    if order.kind in INTERRUPTING_KINDS and not server.drained:
        return _begin_drain(plan, server, now)
    if order.kind in LOADING_KINDS and not plan.loads.try_acquire(now):
        return []
    server.order_in_flight = True
    server.last_order_at = now
    return [
        SendOrder(server=server.server.name, order=order, fencing=plan.lease.version)
    ]


def _begin_drain(plan: OrderPlan, server: ServerPlan, now: Seconds) -> list[Effect]:
    pool = server.server.pool
    below_limit = draining_limit(plan.pool_size(pool)) > plan.draining_count(pool, now)
    if server.draining_since is not None or not below_limit:
        return []
    server.draining_since = now
    server.next_read = now + DRAIN_READ_INTERVAL
    return [SetDrain(server=server.server.name, draining=True)]


def _end_drain(server: ServerPlan) -> list[Effect]:
    if server.draining_since is None:
        return []
    server.draining_since = None
    server.drained = False
    return [SetDrain(server=server.server.name, draining=False)]


def _clear_drains(plan: OrderPlan) -> None:
    # The next holder drains the servers it needs; drains not repeated expire.
    for server in plan.servers.values():
        server.draining_since = None
        server.drained = False
