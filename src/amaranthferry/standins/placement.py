"""Hold what an engine stand-in has loaded, and apply orders to it."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from ..types import ModelId, Seconds

_DISRUPTIVE_KINDS = frozenset({"load_model", "set_version", "set_role"})


class EngineOrder(msgspec.Struct, frozen=True):
    """Hold one order as it comes over the wire."""

    fencing: int
    kind: str
    target: str


class OrderResult(msgspec.Struct, frozen=True):
    """Hold the answer to an order."""

    status: int
    text: str


class PlacementState(msgspec.Struct, frozen=True):
    """Report what is loaded, as part of the load report."""

    models: tuple[ModelId, ...]
    adapters: tuple[str, ...]
    model_version: str
    role: str
    fencing: int


class AppliedOrder(msgspec.Struct, frozen=True):
    """Record an order that took effect, and how many requests ran meanwhile."""

    order: EngineOrder
    running: int


class Placement:
    """Apply orders, and refuse an old fencing number only if `enforce_fencing` is set.

    `fetch` brings a model's weights; without it an order takes `duration`
    seconds. Every kind but `load_adapter` cuts the work in progress.
    """

    def __init__(
        self,
        models: tuple[ModelId, ...],
        *,
        enforce_fencing: bool = True,
        duration: Seconds = 0.0,
        fetch: Callable[[str], Awaitable[None]] | None = None,
    ) -> None:
        self.models = models
        self.adapters: tuple[str, ...] = ()
        self.model_version = ""
        self.role = "serve"
        self.enforce_fencing = enforce_fencing
        self.highest_fencing = 0
        self.applied: list[AppliedOrder] = []
        self.rejected: list[EngineOrder] = []
        self._duration = duration
        self._fetch = fetch

    def state(self) -> PlacementState:
        """Return what is loaded now."""
        return PlacementState(
            self.models,
            self.adapters,
            self.model_version,
            self.role,
            self.highest_fencing,
        )

    def decode(self, body: bytes) -> EngineOrder:
        """Read an order from its bytes."""
        return msgspec.json.decode(body, type=EngineOrder)

    async def apply(
        self, order: EngineOrder, *, running: int, abort_running: Callable[[], None]
    ) -> OrderResult:
        """Carry an order out, cutting the work in progress where it must."""
        if self.enforce_fencing and order.fencing < self.highest_fencing:
            self.rejected.append(order)
            return OrderResult(409, "old fencing number")
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        try:
            await self._prepare(order)
        except OSError as exc:
            return OrderResult(502, f"weights not loaded: {exc}")
        if order.kind in _DISRUPTIVE_KINDS and running:
            abort_running()
        self._update_state(order)
        self.applied.append(AppliedOrder(order, running))
        return OrderResult(200, "applied")

    async def _prepare(self, order: EngineOrder) -> None:
        if self._fetch is not None and order.kind.startswith("load_"):
            await self._fetch(order.target)
        elif self._duration:
            await asyncio.sleep(self._duration)

    def _update_state(self, order: EngineOrder) -> None:
        if order.kind == "load_model" and order.target not in self.models:
            self.models = (*self.models, ModelId(order.target))
        elif order.kind == "load_adapter" and order.target not in self.adapters:
            self.adapters = (*self.adapters, order.target)
        elif order.kind == "set_version":
            self.model_version = order.target
        elif order.kind == "set_role":
            self.role = order.target
