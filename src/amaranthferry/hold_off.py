"""Keep work from servers that have asked hosts to send nothing for a while.

This answers overload of single servers: one that turns work away names the time for
which it wants nothing from that host. Afterwards the host's work returns in steps, so
that the server doesn't get all that has waited at once.
"""

import msgspec
import xxhash

from .types import HostId, Seconds, ServerId

#: Longest time that a server may ask for.
MAX_HOLD_OFF: Seconds = 3_600.0
#: Part of a hold-off, and its limit, over which the hosts spread their return.
SPREAD_FRACTION = 0.25
MAX_SPREAD: Seconds = 1.0
#: Running requests that a host may have at a server when its hold-off has ended.
FIRST_LIMIT = 1
#: Time after a hold-off in which the limit applies at the latest.
RETURN_TIME: Seconds = 10.0


class HoldOff(msgspec.Struct):
    """Represent one hold-off and the limit on running requests after it."""

    until: Seconds
    limit: int = FIRST_LIMIT


def spread_end(
    host: HostId, server: ServerId, duration: Seconds, now: Seconds
) -> Seconds:
    """Return the end of a hold-off, which differs between hosts."""
    digest = xxhash.xxh32_intdigest(f"{server}\0{host}".encode())
    spread = min(MAX_SPREAD, duration * SPREAD_FRACTION) * digest / 2**32
    return now + min(duration, MAX_HOLD_OFF) + spread


class HoldOffs:
    """Track the hold-offs of one server by host."""

    def __init__(self) -> None:
        self._by_host: dict[HostId, HoldOff] = {}

    def __bool__(self) -> bool:
        return bool(self._by_host)

    def start(self, host: HostId, until: Seconds) -> bool:
        """Start or extend a hold-off; return whether it ends later than before."""
        known = self._by_host.get(host)
        if known is not None and known.until >= until:
            return False
        self._by_host[host] = HoldOff(until)
        return True

    def until(self, host: HostId) -> Seconds:
        """Return the end of a hold-off, or 0 if there is none."""
        known = self._by_host.get(host)
        return 0.0 if known is None else known.until

    def limit(self, host: HostId, now: Seconds) -> int | None:
        """Return how many requests may run, or None if there is no limit."""
        known = self._by_host.get(host)
        if known is None:
            return None
        return 0 if now < known.until else known.limit

    def record_answer(self, host: HostId, now: Seconds) -> None:
        """Double the limit after an answer that followed a hold-off."""
        known = self._by_host.get(host)
        if known is not None and now >= known.until:
            known.limit *= 2

    def expire(self, now: Seconds, *, keep: Seconds = RETURN_TIME) -> list[HostId]:
        """Drop the hold-offs that ended `keep` ago, and return their hosts."""
        if not self._by_host:
            return []
        ended = [
            host for host, item in self._by_host.items() if item.until <= now - keep
        ]
        for host in ended:
            del self._by_host[host]
        return ended
