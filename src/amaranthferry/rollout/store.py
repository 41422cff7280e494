"""Read and write the states of rollouts in the store."""

from typing import Any

import msgspec

from ..platform.desired import ROLLOUT_KIND, read_order
from ..platform.store import StoreClient, StoredObject
from .orders import RolloutOrder, RolloutState


def contents_of(item: StoredObject) -> Any:
    """Return what hosts tell each other of a stored order: its spec and its status."""
    return {"spec": item.spec, "status": item.status}


class RolloutStore:
    """Read and write rollouts through the host's client of the store."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def write(self, order: RolloutOrder, state: RolloutState) -> RolloutOrder:
        """Write a state unless the order has changed; return the order with it."""
        written = await self._store.put_status(
            ROLLOUT_KIND, order.name, order.revision, order.status(state)
        )
        return msgspec.structs.replace(order, state=state, revision=written.revision)

    async def read(self, order: RolloutOrder) -> RolloutOrder | None:
        """Return an order as the store has it."""
        item = await self._store.get(ROLLOUT_KIND, order.name)
        if item is None:
            return None
        found = read_order(item.name, item.spec, item.status)
        if found is None:
            return None
        return msgspec.structs.replace(found, revision=item.revision)
