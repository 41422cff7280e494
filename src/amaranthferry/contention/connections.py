"""Keep idle connections to servers, as few as this host may have.

A server may close a connection while a request is on its way, and whether it has run the
request then isn't known. Connections are therefore kept only for requests that may be
repeated, and only for a part of the time that the server names.
"""

from collections import Counter
from typing import Generic, Protocol, TypeVar

from ..messages import ServerIncarnation
from ..types import PoolId, Seconds

#: Part of the time that a server keeps a connection after which this host closes it. The
#: rest covers the way of the last answer and of the next request, and late timers.
KEPT_PART = 0.5


class Connection(Protocol):
    """Represent a connection whose last answer is complete."""

    @property
    def is_quiet(self) -> bool:
        """Return whether it is open and nothing has been received since."""

    def close(self) -> None:
        """Close it."""


_Conn = TypeVar("_Conn", bound=Connection)


def connections_per_host(max_connections: int, hosts: int) -> int:
    """Return the connections of one host where all together may have a maximum."""
    return max_connections // hosts if hosts > 0 else 0


class _Idle(Generic[_Conn]):
    """Represent an idle connection."""

    def __init__(self, conn: _Conn, service: PoolId, closes_at: Seconds) -> None:
        self.conn = conn
        self.service = service
        self.closes_at = closes_at


class IdleConnections(Generic[_Conn]):
    """Track the idle connections of one host, and count those in use."""

    def __init__(self) -> None:
        self._idle: dict[ServerIncarnation, list[_Idle[_Conn]]] = {}
        self._idle_count: Counter[PoolId] = Counter()
        self._in_use: Counter[PoolId] = Counter()

    def __len__(self) -> int:
        return sum(self._idle_count.values())

    def begin(self, service: PoolId, *, limit: int) -> None:
        """Count a connection that is about to be used; idle ones give way to it."""
        self._in_use[service] += 1
        while self._idle_count[service] and self._count(service) > limit:
            self._close_first(service)

    def end(self, service: PoolId) -> None:
        """Count a connection as no longer used."""
        self._in_use[service] -= 1

    def _count(self, service: PoolId) -> int:
        return self._idle_count[service] + self._in_use[service]

    def _close_first(self, service: PoolId) -> None:
        """Close the idle connection of a service that would be closed first."""
        incarnation, idle = min(
            (
                (incarnation, idle)
                for incarnation, kept in self._idle.items()
                for idle in kept
                if idle.service == service
            ),
            key=lambda item: item[1].closes_at,
        )
        self._remove(incarnation, idle)
        idle.conn.close()

    def _remove(self, incarnation: ServerIncarnation, idle: _Idle[_Conn]) -> None:
        kept = self._idle[incarnation]
        kept.remove(idle)
        if not kept:
            del self._idle[incarnation]
        self._idle_count[idle.service] -= 1

    def take(self, incarnation: ServerIncarnation, now: Seconds) -> _Conn | None:
        """Return the connection that was used last, which is then no longer kept.

        Connections of another incarnation, perhaps at the same address, don't count.
        """
        while kept := self._idle.get(incarnation):
            idle = kept[-1]
            self._remove(incarnation, idle)
            if now < idle.closes_at and idle.conn.is_quiet:
                return idle.conn
            idle.conn.close()
        return None

    def keep(
        self,
        incarnation: ServerIncarnation,
        conn: _Conn,
        now: Seconds,
        *,
        service: PoolId,
        duration: Seconds,
        limit: int,
    ) -> bool:
        """Keep a connection that is in use no longer, or return False.

        The server keeps it open for `duration` from now on.
        """
        if duration <= 0 or self._count(service) >= limit or not conn.is_quiet:
            return False
        idle = _Idle(conn, service, now + KEPT_PART * duration)
        self._idle.setdefault(incarnation, []).append(idle)
        self._idle_count[service] += 1
        return True

    def expire(self, now: Seconds) -> None:
        """Close the connections whose time has come, or that have been closed."""
        for incarnation, kept in list(self._idle.items()):
            for idle in list(kept):
                if now >= idle.closes_at or not idle.conn.is_quiet:
                    self._remove(incarnation, idle)
                    idle.conn.close()

    def close_all(self) -> None:
        """Close all idle connections."""
        for incarnation, kept in list(self._idle.items()):
            for idle in list(kept):
                self._remove(incarnation, idle)
                idle.conn.close()
