"""Divide the memory of a host among what it holds for others.

This answers servers whose answers are large, many at the same time, or never end: a
host breaks off an answer rather than end with all its requests.
"""

from collections.abc import Callable
from typing import Self

import msgspec

from .config import KIBIBYTE, MEBIBYTE

#: Limit that is assumed where the settings name none.
DEFAULT_LIMIT = 256 * MEBIBYTE
#: Part of the limit for the answers that are read as a whole.
ANSWER_SHARE = 0.25
#: Part of the limit for the changes of one kind that are retained for other hosts.
KEPT_CHANGE_SHARE = 0.01
#: Size up to which an answer never gives way. The servers' slots bound the number of
#: such answers.
SMALL_ANSWER_BYTES = 64 * KIBIBYTE


class MemoryBudget(msgspec.Struct, frozen=True):
    """Define how many bytes each part of a host may hold."""

    limit: int

    @classmethod
    def from_limit(cls, limit: int) -> Self:
        """Build the budget of a host; 0 stands for an unknown limit."""
        return cls(limit or DEFAULT_LIMIT)

    @property
    def answers(self) -> int:
        """Return the bytes of all answers that are read as a whole."""
        return int(self.limit * ANSWER_SHARE)

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
