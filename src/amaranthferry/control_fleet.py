"""Provide virtual time, links and a deployment for simulated fleets."""

import heapq
import itertools
import random
from collections.abc import Callable, Mapping

from .catalog import BudgetLimits, Catalog, Engine, Instance, RoutedService
from .catalog import deployment_of as compile_catalog
from .config import Deployment
from .types import HostId, ModelId, PoolId, Seconds, ServerId, SettingsVersion, Tokens

POOL = PoolId("engines")
MODEL = ModelId("m")
KV_TOKENS: Tokens = 400_000


class VirtualTime:
    """Perform scheduled actions in order of their time."""

    def __init__(self) -> None:
        self.now: Seconds = 0.0
        self._events: list[tuple[Seconds, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def at(self, time: Seconds, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (time, next(self._sequence), action))

    def run_until(self, end: Seconds) -> None:
        """Perform all actions up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end


class PeerLinks:
    """Delay or lose the messages between hosts, and keep the order of each link."""

    def __init__(self, rng: random.Random, *, loss: float) -> None:
        self._rng = rng
        self._loss = loss
        self._last_arrival: dict[tuple[HostId, HostId], Seconds] = {}

    def arrival(
        self, sender: HostId, target: HostId, *, now: Seconds, delay: Seconds
    ) -> Seconds | None:
        """Return when a message sent now arrives, or None if it is lost."""
        if self._rng.random() < self._loss:
            return None
        arrive = now + delay * self._rng.uniform(0.5, 1.5)
        arrive = max(arrive, self._last_arrival.get((sender, target), 0.0))
        self._last_arrival[sender, target] = arrive
        return arrive


def engine_deployment(
    instances: Mapping[ServerId, Instance],
    *,
    slots: int,
    limits: BudgetLimits,
    plain: bool = False,
) -> Deployment:
    """Return a deployment of one pool, of engines or of plain servers."""
    engine = Engine(slots=slots, kv_tokens=KV_TOKENS, models=(MODEL,))
    service = RoutedService(name=POOL, engine=None if plain else engine)
    catalog = Catalog(version=SettingsVersion(1), services={POOL: service})
    return compile_catalog(catalog, dict(instances), limits)
