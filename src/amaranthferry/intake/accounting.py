"""Count what all connections hold, and end some where it is too much."""

from collections.abc import Callable

from .shedding import largest, least_needed
from .state import Cause, Holding, IntakeLimits, Port, Stage

#: Part of a port's connections that are ended together, so that choosing them costs
#: little for each new connection.
SHED_PART = 16


class Intake:
    """Count the connections of a host, and the bytes that are held for them."""

    def __init__(
        self,
        limits: IntakeLimits,
        on_ended: Callable[[Holding, Cause], None] = lambda holding, cause: None,
        *,
        on_refused: Callable[[Port, int, str], None] = lambda *args: None,
    ) -> None:
        self.limits = limits
        self.held = 0
        self._on_ended = on_ended
        #: Called with the port, status and problem of a message that is refused.
        self.on_refused = on_refused
        self._holdings: dict[Port, set[Holding]] = {port: set() for port in Port}
        self._uses = 0

    def count(self, port: Port) -> int:
        """Return the number of a port's connections."""
        return len(self._holdings[port])

    def open(self, port: Port, give_way: Callable[[], None]) -> Holding:
        """Count a new connection; `give_way` is called if it has to end."""
        self._uses += 1
        holding = Holding(port, self._uses, give_way)
        found = self._holdings[port]
        limit = self.limits.connections.get(port, 0)
        if limit and len(found) >= limit:
            count = max(1, limit // SHED_PART)
            for item in least_needed(found, count):
                self.end(item, Cause.DESCRIPTORS)
        found.add(holding)
        if limit and len(found) > limit:
            self.end(holding, Cause.DESCRIPTORS)
        return holding

    def begin(self, holding: Holding) -> None:
        """Note that a whole request of a connection is in progress."""
        holding.stage = Stage.RUNNING

    def complete(self, holding: Holding) -> None:
        """Note that the response to a request has been written."""
        self._uses += 1
        holding.used = self._uses
        holding.stage = Stage.SERVED

    def resize(self, holding: Holding, size: int) -> None:
        """Set the bytes of a connection; the largest ones end while there is no room."""
        if holding.ended:
            return
        self.held += size - holding.size
        holding.size = size
        while self.held > self.limits.memory:
            item = largest(item for found in self._holdings.values() for item in found)
            if item is None:
                return
            self.end(item, Cause.MEMORY)

    def end(self, holding: Holding, cause: Cause) -> None:
        """End a connection."""
        if holding.ended:
            return
        self._on_ended(holding, cause)
        self.close(holding)
        holding.give_way()

    def close(self, holding: Holding) -> None:
        """Count a connection as closed."""
        holding.ended = True
        self._holdings[holding.port].discard(holding)
        self.held -= holding.size
        holding.size = 0
