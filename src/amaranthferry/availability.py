"""Tell who decides on servers' permits, and why servers get new work or none."""

from collections import Counter
from enum import StrEnum
from math import ceil

from .coordinator import REBUILD_SHARE, Coordinator
from .objectives import MAX_PREFILL_BACKLOG
from .servers import ServerRecord
from .state import HostState
from .types import Decider, Seconds


class Availability(StrEnum):
    """Represent the first reason why a server gets no new work, or that it gets some."""

    FREE = "free"
    FULL = "full"
    AT_LIMIT = "at_limit"
    NOT_LIVE = "not_live"
    BACKED_OFF = "backed_off"
    STRAGGLING = "straggling"
    PREFILL_BACKLOG = "prefill_backlog"
    PREFILL_OVERDUE = "prefill_overdue"


def availability_of(
    record: ServerRecord,
    now: Seconds,
    *,
    share: float = 1.0,
    restricts_stragglers: bool = True,
) -> Availability:
    """Return whether a server gets new work, filled up to a share of its slots."""
    if not record.accepts_work:
        return Availability.NOT_LIVE
    if now < record.blocked_until:
        return Availability.BACKED_OFF
    if record.is_at_limit:
        return Availability.AT_LIMIT
    if restricts_stragglers and not record.straggler.may_probe(now):
        return Availability.STRAGGLING
    if record.prefill_starts(now) > now + MAX_PREFILL_BACKLOG:
        overdue = record.prefill_free_at < now
        return Availability.PREFILL_OVERDUE if overdue else Availability.PREFILL_BACKLOG
    if restricts_stragglers:
        share *= record.straggler.share
    slots = ceil(max(1.0, record.slots * share))
    if min(record.slots, slots) <= len(record.permits):
        return Availability.FULL
    return Availability.FREE


def count_servers(coordinator: Coordinator, now: Seconds) -> dict[Availability, int]:
    """Return the number of a shard's servers by availability."""
    share = REBUILD_SHARE if coordinator.is_rebuilding(now) else 1.0
    return dict(
        Counter(
            availability_of(
                record,
                now,
                share=share,
                restricts_stragglers=coordinator.restricts_stragglers,
            )
            for record in coordinator.servers.values()
        )
    )


def idle_slots(coordinator: Coordinator) -> int:
    """Return the slots of live servers that no permit uses, whether granted or not."""
    return sum(
        max(0, record.slots - len(record.permits))
        for record in coordinator.servers.values()
        if record.accepts_work
    )


def role_of(state: HostState, coordinator: Coordinator) -> Decider:
    """Return for whom a decider on a host decides."""
    if state.fallbacks.get(coordinator.shard) is coordinator:
        return Decider.FALLBACK
    return Decider.COORDINATOR if coordinator.has_role else Decider.STAND_IN
