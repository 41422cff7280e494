"""Apply orders to the state of an engine stand-in: models, adapters and role."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from ..types import ModelId, Seconds

_DISRUPTIVE_KINDS = frozenset({"load_model", "set_version", "set_role"})


class EngineOrder(msgspec.Struct, frozen=True):
    """Represent an order as received over the wire."""

    fencing: int
    kind: str
    target: str


class OrderResult(msgspec.Struct, frozen=True):
    """Represent the answer to an order."""

    status: int
    text: str


class PlacementState(msgspec.Struct, frozen=True):
    """Represent the placement fields of the load report."""

    models: tuple[ModelId, ...]
    adapters: tuple[str, ...]
    model_version: str
    role: str
    fencing: int


class AppliedOrder(msgspec.Struct, frozen=True):
    """Record an applied order and how many requests ran when it arrived."""

    order: EngineOrder
    running: int


class Placement:
    """Apply orders; reject old fencing numbers if `enforce_fencing` is set.

    `fetch` loads a model's weights; without it an order takes `duration`
    seconds. Every kind but `load_adapter` aborts the running requests.
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
        """Return the current state for the load report."""
        return PlacementState(
            self.models,
            self.adapters,
            self.model_version,
            self.role,
            self.highest_fencing,
        )

    def decode(self, body: bytes) -> EngineOrder:
        """Decode an order."""
        return msgspec.json.decode(body, type=EngineOrder)

    async def apply(
        self, order: EngineOrder, *, running: int, abort_running: Callable[[], None]
    ) -> OrderResult:
        """Apply an order, and abort the running requests if its kind requires that."""
        if self.enforce_fencing and order.fencing < self.highest_fencing:
            self.rejected.append(order)
            return OrderResult(
                409,
                f"fencing number {order.fencing} is lower than {self.highest_fencing}",
            )
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        try:
            await self._prepare(order)
        except OSError as exc:
            return OrderResult(502, f"weights of {order.target} not loaded: {exc}")
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
