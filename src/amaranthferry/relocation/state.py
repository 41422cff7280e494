"""Track a coordinator's moves and the slots that they hold at their targets."""

from collections.abc import Iterator

import msgspec

from ..servers import Permit, ServerRecord
from ..types import RequestId, Seconds, ServerId
from .decision import Move

#: Time constant of a server's usual pace. A spell in which an engine is slow is shorter,
#: and the baselines that stragglers are compared with take minutes to learn a pace.
USUAL_TIME: Seconds = 10.0


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
        #: Runs that might complete only elsewhere.
        self.doubtful: list[RequestId] = []
        self.reviewed_at: Seconds = 0.0
        #: The usual time between tokens of each server, and the time it is taken over.
        self._usual: dict[ServerId, tuple[Seconds, Seconds]] = {}

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

    def usual_interval(self, server: ServerId, recent: Seconds) -> Seconds:
        """Return a server's usual time between tokens; by default the recent one."""
        return self._usual.get(server, (recent, 0.0))[0]

    def record_interval(
        self, server: ServerId, recent: Seconds, elapsed: Seconds
    ) -> None:
        """Average a server's time between tokens while it works."""
        usual, known_for = self._usual.get(server, (recent, 0.0))
        known_for = min(USUAL_TIME, known_for + elapsed)
        usual += (recent - usual) * min(1.0, elapsed / known_for)
        self._usual[server] = usual, known_for

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
