"""Begin, renew and end the shared order of a shard on one host."""

from ..coordinator import Coordinator
from ..effects import CountMetric, Effect, SendToHost
from ..messages import ShardAdvert
from ..registration import LAST_REGISTRATIONS, register_requests
from ..shards import pool_of
from ..state import HostState
from ..types import HostId, Seconds, ServerId, ShardId
from .orders import HEARING_TIME, LEASE, SharedOrder, reserved_limit


def may_share(state: HostState, shard: ShardId) -> bool:
    """Return whether the requests of a shard may get a shared order."""
    return state.deployment.rules_of(pool_of(shard)).shared_when_full


def begin_by_rejection(state: HostState, shard: ShardId, server: ServerId) -> bool:
    """Follow a shared order from a rejection on; return whether others are to know.

    A server that leaves rejects requests however few it has.
    """
    if not may_share(state, shard) or state.is_leaving(server):
        return False
    return _begin(state, shard)


def announce_rejection(state: HostState, shard: ShardId) -> list[Effect]:
    """Tell the shard's coordinator that servers reject requests, and what runs there."""
    counted = CountMetric(name="shared_orders.begun")
    return [counted, *register_requests(state, shard, filling=True)]


def begin_by_registration(state: HostState, shard: ShardId) -> list[Effect]:
    """Have all hosts follow a shared order, since one of them reports a rejection."""
    if not may_share(state, shard) or not _leads(state, shard):
        return []
    begun = _begin(state, shard)
    order = state.shared_orders[shard]
    order.restart(state.now)
    coordinator = state.coordinators.get(shard)
    if coordinator is not None and not coordinator.serves_all:
        coordinator.serve_all(state.now)
    effects = register_requests(state, shard) if begun else []
    return effects + _renew(state, shard, order)


def apply_advert(
    state: HostState, message: ShardAdvert, sender: HostId
) -> list[Effect]:
    """Follow or leave a shared order as its coordinator says.

    Hosts of earlier releases, which decide for themselves, send no adverts of plain
    services, and ignore those that they get.
    """
    shard = message.shard
    if sender == state.host or not may_share(state, shard):
        return []
    if message.waits:
        return register_requests(state, shard) if _begin(state, shard) else []
    if shard in state.shared_orders and sender == state.coordinator_of(shard):
        return _end(state, shard)
    return []


def tell_joined(state: HostState) -> None:
    """Have hosts that have joined told of the shared orders."""
    for order in state.shared_orders.values():
        order.renew_soon()


def check_shared_orders(state: HostState) -> list[Effect]:
    """Renew and end the shared orders that this host follows."""
    effects: list[Effect] = []
    for shard, order in list(state.shared_orders.items()):
        if state.resumed_at > order.until - LEASE:
            # While this host was suspended, it couldn't hear of the order.
            order.until = state.resumed_at + LEASE
        known = shard in state.shards_of(pool_of(shard))
        if not known or not may_share(state, shard):
            effects += _end(state, shard)
        elif _leads(state, shard):
            effects += _lead(state, shard, order)
        elif state.now >= order.until:
            effects += _end(state, shard)
    return effects


def _leads(state: HostState, shard: ShardId) -> bool:
    return state.assigned_coordinator(shard) == state.host


def _begin(state: HostState, shard: ShardId) -> bool:
    """Follow a shared order, and return whether it is a new one."""
    order = state.shared_orders.get(shard)
    if order is not None:
        order.renew(state.now)
        return False
    state.shared_orders[shard] = SharedOrder(until=state.now + LEASE)
    state.registrations_left[shard] = LAST_REGISTRATIONS
    if not _leads(state, shard):
        # Its permits are registered with the coordinator, as its waiters are.
        state.coordinators.pop(shard, None)
    return True


def _lead(state: HostState, shard: ShardId, order: SharedOrder) -> list[Effect]:
    now = state.now
    order.renew(now)
    coordinator = state.coordinators.get(shard)
    if coordinator is None:
        # It was suspended: hosts return to it once they hear of it.
        order.restart(now)
        order.is_news = True
        return _renew(state, shard, order)
    if not coordinator.serves_all:
        coordinator.serve_all(now)
        order.restart(now)
    coordinator.hears_no_host = not _hears_others(state)
    _reserve_slots(coordinator, now)
    demand = len(coordinator.permits) + len(coordinator.queue)
    order.measure(demand, coordinator.slots(), now)
    if order.is_over(now):
        return _tell_hosts(state, shard, ()) + _end(state, shard)
    return _renew(state, shard, order)


def _reserve_slots(coordinator: Coordinator, now: Seconds) -> None:
    """Leave hosts that have not registered their part of the slots."""
    unregistered, hosts = coordinator.unregistered, len(coordinator.hosts)
    if coordinator.is_rebuilding(now):
        unregistered = 0
    for record in coordinator.servers.values():
        record.slot_limit = reserved_limit(
            record.cfg.slots, unregistered=unregistered, hosts=hosts
        )


def _renew(state: HostState, shard: ShardId, order: SharedOrder) -> list[Effect]:
    if not order.takes_renewal(state.now):
        return []
    return _tell_hosts(state, shard, (0.0,))


def _hears_others(state: HostState) -> bool:
    """Return whether this host hears any other one.

    A coordinator that is cut off in this direction must not keep hosts from turning to a
    stand-in: these wait for a coordinator that they hear of.
    """
    since = state.now - HEARING_TIME
    return any(
        at >= since for host, at in state.last_received.items() if host != state.host
    )


def _tell_hosts(
    state: HostState, shard: ShardId, waits: tuple[Seconds, ...]
) -> list[Effect]:
    message = ShardAdvert(shard, state.host, waits)
    others = (host for host in state.hosts if host != state.host)
    return [SendToHost(host=host, message=message) for host in others]


def _end(state: HostState, shard: ShardId) -> list[Effect]:
    """Have this host decide for itself again."""
    left = state.permit_host(shard)
    del state.shared_orders[shard]
    state.waits.pop(shard, None)
    absence = state.absences.pop(shard, None)
    if absence is not None:
        state.fallbacks.pop(shard, None)
        state.stand_ins.pop(shard, None)
    coordinator = state.coordinators.get(shard)
    if coordinator is not None and coordinator.serves_all:
        coordinator.serve_own()
    elif coordinator is not None and not coordinator.has_role:
        del state.coordinators[shard]
    effects: list[Effect] = [CountMetric(name="shared_orders.ended")]
    if shard not in state.shards_of(pool_of(shard)):
        return effects
    effects += register_requests(state, shard)
    if left != state.host:
        # The other decider drops the requests that it still has waiting.
        effects += register_requests(state, shard, host=left)
    return effects
