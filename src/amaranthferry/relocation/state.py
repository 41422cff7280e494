"""Track a coordinator's moves and the slots that they hold at their targets."""

from collections.abc import Iterator

import msgspec

from ..servers import Permit, ServerRecord
from ..types import RequestId, Seconds, ServerId
from .decision import Move


class PendingMove(msgspec.Struct, eq=False):
    """Represent a proposed move, whose copy holds a slot at the target."""

    move: Move
    permit: Permit
    reserved: Permit
    expires_at: Seconds

    @property
    def target(self) -> ServerRecord:
        """Return the server where the copy is made."""
        return self.reserved.server


class MoveBook:
    """Hold one slot at the target for each proposed move, until it ends or expires."""

    def __init__(self) -> None:
        self._pending: dict[RequestId, PendingMove] = {}
        #: Runs that probably don't complete in time where they are.
        self.doubtful: list[RequestId] = []
        self.reviewed_at: Seconds = 0.0

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._pending

    def __iter__(self) -> Iterator[PendingMove]:
        return iter(tuple(self._pending.values()))

    def __len__(self) -> int:
        return len(self._pending)

    def get(self, request_id: RequestId) -> PendingMove | None:
        """Return the pending move of a request."""
        return self._pending.get(request_id)

    def busy_servers(self) -> set[ServerId]:
        """Return the servers that take part in a pending move."""
        return {
            server
            for item in self._pending.values()
            for server in (item.move.run.server, item.move.target)
        }

    def begin(
        self, move: Move, permit: Permit, target: ServerRecord, *, expires_at: Seconds
    ) -> None:
        """Hold a slot and the memory at the target."""
        reserved = msgspec.structs.replace(
            permit, server=target, first_token_seen=True, movable=False
        )
        target.add_permit(reserved)
        request_id = permit.request.request_id
        self._pending[request_id] = PendingMove(move, permit, reserved, expires_at)

    def end(self, request_id: RequestId) -> PendingMove | None:
        """Give up the slot that is held for a move, if there is one."""
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            pending.target.remove_permit(pending.reserved)
        return pending
