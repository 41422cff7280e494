"""Define what is known of each connection, and the limits for all of them."""

from collections.abc import Callable
from enum import Enum, IntEnum
from typing import Self

import msgspec

from ..memory import MemoryBudget

#: Descriptors of the readiness and metrics ports: a part of the total, within bounds.
#: Their clients are a balancer and a scraper, which use a connection or two.
INTERNAL_SHARE = 0.1
MIN_CONNECTIONS = 4
MAX_INTERNAL_CONNECTIONS = 64


class Port(Enum):
    """Name the listening ports that are no ports between hosts."""

    CALLERS = "callers"
    READINESS = "readiness"
    METRICS = "metrics"


class Cause(Enum):
    """Name why a connection is ended."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    UNREAD = "unread"
    LATE_BODY = "late_body"


class Stage(IntEnum):
    """Order connections by how little is lost if they end."""

    NEW = 0
    #: A request has been answered, and none is in progress.
    SERVED = 1
    RUNNING = 2


class Holding:
    """Record one connection: the bytes held for it, its stage, and its last use."""

    __slots__ = ("ended", "give_way", "port", "size", "stage", "used")

    def __init__(self, port: Port, used: int, give_way: Callable[[], None]) -> None:
        self.port = port
        self.size = 0
        self.stage = Stage.NEW
        #: Number of the use: a greater one is later.
        self.used = used
        self.ended = False
        self.give_way = give_way


class IntakeLimits(msgspec.Struct, frozen=True):
    """Limit the bytes of all connections, and the connections of each port."""

    memory: int
    connections: dict[Port, int]

    @classmethod
    def from_budget(
        cls, budget: MemoryBudget, *, descriptors: int, descriptor_share: float
    ) -> Self:
        """Divide a host's memory and descriptors; 0 descriptors mean no limit."""
        internal = min(
            MAX_INTERNAL_CONNECTIONS,
            max(MIN_CONNECTIONS, int(descriptors * INTERNAL_SHARE)),
        )
        connections = {Port.READINESS: internal, Port.METRICS: internal}
        if not descriptors:
            return cls(budget.connections, {})
        callers = max(MIN_CONNECTIONS, int(descriptors * descriptor_share))
        return cls(budget.connections, {Port.CALLERS: callers, **connections})
