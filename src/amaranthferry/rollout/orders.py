"""Cache the operator's orders of rollouts, and their states, from the store."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Self

import msgspec
import structlog

from ..gateway.log_events import LogEvent
from ..messages import ObjectChange
from ..types import PoolId, Seconds, SettingsVersion

_log = structlog.get_logger(__name__)


class RolloutState(StrEnum):
    """Represent the state of a rollout as the store names it."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


FINAL_STATES = frozenset({RolloutState.COMPLETED, RolloutState.ROLLED_BACK})


class RolloutStatus(msgspec.Struct, frozen=True):
    """Represent the status of an order in the store, with the version it is about."""

    state: RolloutState
    to: str | int


class RolloutOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an order and its state; `written_version` is the version as written."""

    name: str
    service: PoolId
    version: str
    duration: Seconds
    revision: int = 0
    written_version: str | int = ""
    state: RolloutState | None = None

    @classmethod
    def from_parts(
        cls,
        name: str,
        service: PoolId,
        version: str | int,
        duration: Seconds,
        status: RolloutStatus | None,
    ) -> Self:
        """Build an order; the status of an order for another version says nothing."""
        told = status is not None and status.to == version
        return cls(
            name=name,
            service=service,
            version=str(version),
            duration=duration,
            written_version=version,
            state=status.state if told and status is not None else None,
        )

    def status(self, state: RolloutState) -> RolloutStatus:
        """Return the status that says that the order is in a state."""
        return RolloutStatus(state, self.written_version)

    @property
    def is_final(self) -> bool:
        """Return whether the rollout is over."""
        return self.state in FINAL_STATES


Reader = Callable[[str, Any, Any], RolloutOrder | None]


class OrderCache:
    """Cache the orders by service."""

    def __init__(self, read: Reader, on_orders: Callable[[], None]) -> None:
        self._read = read
        self._on_orders = on_orders
        self._orders: dict[str, RolloutOrder] = {}

    @property
    def version(self) -> SettingsVersion:
        """Return 0, since orders have no common version."""
        return SettingsVersion(0)

    @property
    def orders(self) -> dict[PoolId, RolloutOrder]:
        """Return the orders by service, the latest one of each."""
        ordered = sorted(self._orders.values(), key=lambda order: order.revision)
        return {order.service: order for order in ordered}

    def replace(self, objects: list[ObjectChange]) -> None:
        """Replace all orders by listed ones."""
        known = dict(self._orders)
        self._orders.clear()
        for change in objects:
            self._put(change)
        for name, order in self._orders.items():
            # This host may have written to the store after it was listed.
            if name in known and known[name].revision > order.revision:
                self._orders[name] = known[name]
        self._on_orders()

    def restore(self, objects: list[ObjectChange]) -> None:
        """Replace all orders by those of a copy, which may not know that one is over."""
        known = dict(self._orders)
        self._orders.clear()
        for change in objects:
            self._put(change)
        for name, order in self._orders.items():
            before = known.get(name)
            same = before is not None and before.version == order.version
            if same and before is not None and before.is_final:
                restored = msgspec.structs.replace(order, state=before.state)
                self._orders[name] = restored
        self._on_orders()

    def apply(self, changes: list[ObjectChange]) -> None:
        """Apply changed orders."""
        for change in changes:
            self._put(change)
        self._on_orders()

    def observe(self, order: RolloutOrder) -> None:
        """Apply an order as this host has written or read it, before it is told."""
        known = self._orders.get(order.name)
        if known is not None and known.revision < order.revision:
            self._orders[order.name] = order
            self._on_orders()

    def _put(self, change: ObjectChange) -> None:
        known = self._orders.get(change.name)
        if known is not None and known.revision > change.revision:
            return
        contents = change.spec if isinstance(change.spec, dict) else {}
        order = None
        if not change.deleted:
            spec, status = contents.get("spec"), contents.get("status")
            order = self._read(change.name, spec, status)
        if order is not None:
            found = msgspec.structs.replace(order, revision=change.revision)
            self._orders[change.name] = found
            return
        self._orders.pop(change.name, None)
        if not change.deleted:
            _log.warning(
                LogEvent.ROLLOUT_UNREADABLE, name=change.name, revision=change.revision
            )

    def mark_store_unavailable(self) -> None:
        """Ignore a store outage; an order that is known stays in force."""

    def mark_store_available(self, since: Seconds) -> None:
        """Ignore the end of a store outage."""
