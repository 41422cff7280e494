"""Tell which servers of a service may get work, by their versions."""

from collections.abc import Iterable

import msgspec

from ..catalog import Instance
from ..types import PoolId, ServerId, ServerState
from .orders import RolloutOrder, RolloutState


class Sides(msgspec.Struct, frozen=True, kw_only=True):
    """Divide the live servers of a service by what a rollout means to them."""

    old: tuple[ServerId, ...] = ()
    #: Those of the ordered version, while the rollout is in progress.
    new: tuple[ServerId, ...] = ()
    #: Those that get nothing, whatever the decider says.
    withheld: tuple[ServerId, ...] = ()


class KnownVersions:
    """Remember the version that each service is known to run."""

    def __init__(self) -> None:
        self._versions: dict[PoolId, str] = {}

    def __getitem__(self, service: PoolId) -> str:
        return self._versions[service]

    def divide(
        self, instances: Iterable[Instance], orders: dict[PoolId, RolloutOrder]
    ) -> dict[PoolId, Sides]:
        """Return the sides of all services with several versions or with an order."""
        services: dict[PoolId, list[Instance]] = {}
        for instance in instances:
            if instance.state is ServerState.LIVE:
                services.setdefault(instance.service, []).append(instance)
        return {
            service: self._divide(service, found, orders.get(service))
            for service, found in services.items()
        }

    def _divide(
        self, service: PoolId, found: list[Instance], order: RolloutOrder | None
    ) -> Sides:
        known = self._learn(service, found, order)
        ordered = None if order is None or order.is_final else order.version
        if ordered == known:
            # The version is in use already, and servers of others are the old ones.
            old = [item for item in found if item.version != ordered]
        else:
            old = [item for item in found if item.version == known]
        new = [item for item in found if item.version == ordered]
        rest = [item for item in found if item.version not in (known, ordered)]
        if ordered == known:
            rest = []
        if not (old or (new and ordered is not None)):
            # Nothing else serves.
            return Sides(old=_names(found))
        return Sides(old=_names(old), new=_names(new), withheld=_names(rest))

    def _learn(
        self, service: PoolId, found: list[Instance], order: RolloutOrder | None
    ) -> str:
        """Return the known version: that of a completed rollout, or of the first server.

        It changes without a rollout only where no server of it serves any more.
        """
        if order is not None and order.state is RolloutState.COMPLETED:
            self._versions[service] = order.version
            return order.version
        known = self._versions.get(service)
        if known is None or all(item.version != known for item in found):
            unproven = None if order is None else order.version
            others = [item for item in found if item.version != unproven]
            if known is not None and not others:
                return known
            first = min(
                others or found, key=lambda item: (item.incarnation, item.server)
            )
            known = self._versions[service] = first.version
        return known


def _names(instances: Iterable[Instance]) -> tuple[ServerId, ...]:
    return tuple(sorted(item.server for item in instances))
