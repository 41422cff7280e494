"""Divide the memory of a host among what it holds for others.

This answers servers whose answers are large, many at the same time, or never end, and
callers that send many long bodies at once: a host breaks off an answer, or has a body
wait unread, rather than end with all its requests.
"""

from collections import deque
from collections.abc import Callable
from typing import Self

import msgspec

from .config import KIBIBYTE, MEBIBYTE

#: Limit that is assumed where the settings name none.
DEFAULT_LIMIT = 256 * MEBIBYTE
#: Part of the limit for the answers that are read as a whole.
ANSWER_SHARE = 0.2
#: Part of the limit for the bodies of requests.
BODY_SHARE = 0.2
#: What a body takes for each of its bytes: it is held once more while it is sent.
BODY_COST = 2
#: Size up to which a body needs no room of its own.
SMALL_BODY_BYTES = 64 * KIBIBYTE
#: Part of the limit for the changes of one kind that are retained for other hosts.
KEPT_CHANGE_SHARE = 0.01
#: Part of the limit for what is held for the connections of callers.
CONNECTION_SHARE = 0.1
#: Room of all connections at least, so that one head of the documented size has some:
#: it takes 2.4 MB where its fields are as short as can be.
MIN_CONNECTION_BYTES = 4 * MEBIBYTE
#: Size up to which an answer never gives way. The servers' slots bound the number of
#: such answers.
SMALL_ANSWER_BYTES = 64 * KIBIBYTE


class MemoryBudget(msgspec.Struct, frozen=True):
    """Define how many bytes each part of a host may hold."""

    limit: int
    connection_share: float = CONNECTION_SHARE

    @classmethod
    def from_limit(cls, limit: int, connection_share: float = CONNECTION_SHARE) -> Self:
        """Build the budget of a host; 0 stands for an unknown limit."""
        return cls(limit or DEFAULT_LIMIT, connection_share)

    @property
    def connections(self) -> int:
        """Return the bytes that are held for all connections."""
        return max(MIN_CONNECTION_BYTES, int(self.limit * self.connection_share))

    @property
    def answers(self) -> int:
        """Return the bytes of all answers that are read as a whole."""
        return int(self.limit * ANSWER_SHARE)

    @property
    def bodies(self) -> int:
        """Return the bytes of all requests' bodies."""
        return int(self.limit * BODY_SHARE)

    @property
    def kept_changes(self) -> int:
        """Return the bytes of the changes of one kind that are retained."""
        return int(self.limit * KEPT_CHANGE_SHARE)


class HeldAnswer:
    """Count the bytes of one answer that is read as a whole."""

    def __init__(self, memory: "AnswerMemory", on_dropped: Callable[[], None]) -> None:
        self.size = 0
        self.dropped = False
        self.on_dropped = on_dropped
        self._memory = memory

    def grow(self, size: int) -> bool:
        """Add bytes; return False if the answer has had to give way."""
        if not self.dropped:
            self._memory.grow(self, size)
        return not self.dropped

    def complete(self) -> None:
        """Keep the bytes, which no longer give way, until they are released."""
        self._memory.complete(self)

    def release(self) -> None:
        """Count the bytes as no longer held."""
        self._memory.release(self)


class AnswerMemory:
    """Decide which answer gives way when all together hold too much.

    The largest one that is still arriving gives way, so that an answer without end
    takes no room from sound ones. A complete answer never does.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self._arriving: set[HeldAnswer] = set()

    def hold(self, on_dropped: Callable[[], None]) -> HeldAnswer:
        """Begin to count an answer; `on_dropped` is called if it has to give way."""
        answer = HeldAnswer(self, on_dropped)
        self._arriving.add(answer)
        return answer

    def grow(self, answer: HeldAnswer, size: int) -> None:
        """Add bytes to an answer, and have others give way while there is no room."""
        answer.size += size
        self.held += size
        while self.held > self.limit:
            largest = max(self._arriving, key=lambda item: item.size, default=None)
            if largest is None or largest.size <= SMALL_ANSWER_BYTES:
                return
            self.release(largest)
            largest.dropped = True
            largest.on_dropped()

    def complete(self, answer: HeldAnswer) -> None:
        """Keep an answer that has been read as a whole."""
        self._arriving.discard(answer)

    def release(self, answer: HeldAnswer) -> None:
        """Count an answer as no longer held."""
        self._arriving.discard(answer)
        self.held -= answer.size
        answer.size = 0


class BodyMemory:
    """Decide which request's body may be read, in the order in which they arrive.

    A body counts with what it is announced to have, or may have at most, from before it
    is read until its request has ended. One that is larger than all the room is read
    alone.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self._waiting: deque[BodyRoom] = deque()

    def reserve(self, size: int, on_room: Callable[[], None]) -> "BodyRoom":
        """Ask for the room of a body; `on_room` is called once there is some."""
        room = BodyRoom(self, size * BODY_COST, on_room)
        self._waiting.append(room)
        self._grant()
        return room

    def release(self, room: "BodyRoom") -> None:
        """Return the room of a body, or stop waiting for it."""
        if room.granted:
            self.held -= room.size
        elif room in self._waiting:
            self._waiting.remove(room)
        room.size = 0
        self._grant()

    def _grant(self) -> None:
        while self._waiting:
            room = self._waiting[0]
            if self.held and self.held + room.size > self.limit:
                return
            self._waiting.popleft()
            self.held += room.size
            room.granted = True
            room.on_room()


class BodyRoom:
    """Represent the room of one request's body, or the wait for it."""

    def __init__(
        self, memory: BodyMemory, size: int, on_room: Callable[[], None]
    ) -> None:
        self.size = size
        self.granted = False
        self.on_room = on_room
        self._memory = memory

    def release(self) -> None:
        """Return the room."""
        self._memory.release(self)
