"""Divide a rate among the hosts that decide, in turns that add up to the rate.

This answers limits that a server sets for all hosts together: any number of hosts may
decide on its permits at the same time, and the server sees the sum. Time is divided into
turns of one request each, or of a few at high rates. Every turn belongs to one host, so
shares below one request need no rounding, and whoever decides uses only the turns of the
hosts that rely on it. A decider that begins goes on with the current turn.
"""

import math
from collections import deque
from collections.abc import Collection
from enum import Enum

import msgspec
import xxhash

from ..types import HostId, Seconds

#: Lowest rate that is kept, in requests a second; a server that takes less is still
#: asked whether it takes more again.
MIN_RATE = 0.1
#: Length of a turn at rates that allow several requests in it.
MIN_TURN: Seconds = 0.1
#: Time for which a host may use its turn, and the turns for which it may do so beyond.
HOLD_TIME: Seconds = 1.0
HOLD_TURNS = 2
#: Unused requests that a decider of all turns may keep, as time at the rate.
MAX_SAVED_TIME: Seconds = 0.25
#: Deciders without the role use one of so many turns, since the holder of the role may
#: go on with all of them.
TURNS_PER_SECONDARY = 3


class Part(Enum):
    """Represent which turns a decider may use."""

    ALL = "all"
    #: Those of the hosts that rely on it, where each host decides for itself.
    SHARE = "share"
    #: Some of these, while another host may use all.
    SECONDARY = "secondary"


class TurnOwners(msgspec.Struct, frozen=True):
    """Describe whose turns a decider may use, of all hosts that have turns."""

    part: Part
    hosts: Collection[HostId] = frozenset()
    owners: Collection[HostId] = frozenset()

    def owns(self, name: str, turn: int) -> bool:
        """Return whether a turn of the limit with a name may be used."""
        if self.part is Part.ALL:
            return True
        if self.part is Part.SECONDARY and turn % TURNS_PER_SECONDARY:
            return False
        if not self.hosts:
            return False
        return owner_of(name, turn, self.hosts) in self.owners

    @property
    def fraction(self) -> float:
        """Return the fraction of the turns that may be used, on average."""
        if self.part is Part.ALL:
            return 1.0
        fraction = len(self.owners) / max(1, len(self.hosts))
        if self.part is Part.SECONDARY:
            fraction /= TURNS_PER_SECONDARY
        return fraction


ALL_TURNS = TurnOwners(Part.ALL)


def owner_of(name: str, turn: int, hosts: Collection[HostId]) -> HostId:
    """Return the host that a turn belongs to.

    A host that comes or goes changes only the owner of its own turns.
    """
    seed = xxhash.xxh32_intdigest(f"{name}\0{turn}".encode())
    return max(
        hosts, key=lambda host: (xxhash.xxh32_intdigest(host.encode(), seed), host)
    )


class Allowance:
    """Track the requests that a decider may still send under a limited rate."""

    def __init__(self, name: str, rate: float, since: Seconds, now: Seconds) -> None:
        self.rate = max(MIN_RATE, rate)
        self._limit = (rate, since)
        self._name = name
        self._since = since
        self._interval = max(MIN_TURN, 1.0 / self.rate)
        self._hold = HOLD_TIME + HOLD_TURNS / self.rate
        self._turn = self._turn_at(now)
        #: Requests that were sent since the limit was named.
        self.used = 0
        #: The unused requests of each turn: its start and their number.
        self._unused: deque[tuple[Seconds, int]] = deque()
        self._available = 0

    def follows(self, rate: float, since: Seconds) -> bool:
        """Return whether this is the allowance of a limit that was named at a time."""
        return self._limit == (rate, since)

    @property
    def available(self) -> int:
        """Return the requests that may be sent now, as of the last refresh."""
        return self._available

    def refresh(self, owners: TurnOwners, now: Seconds) -> None:
        """Add the requests of turns that have begun, and drop what has expired."""
        current = self._turn_at(now)
        first = max(self._turn + 1, self._turn_at(now - self._hold))
        for turn in range(first, current + 1):
            if owners.owns(self._name, turn):
                began = self._since + turn * self._interval
                self._add(began, self._requests_in(turn))
        self._turn = max(self._turn, current)
        while self._unused and self._unused[0][0] < now - self._hold:
            self._drop(self._unused[0][1])
        if owners.part is Part.ALL:
            most = max(1, math.floor(self.rate * MAX_SAVED_TIME))
            self._drop(self._available - most)

    def take(self) -> None:
        """Use one request."""
        self.used += 1
        self._drop(1)

    def give_back(self, now: Seconds) -> None:
        """Return a request that was not sent; it may be used for a short while."""
        self.used -= 1
        self._add(now, 1)

    def _add(self, began: Seconds, count: int) -> None:
        if count:
            self._unused.append((began, count))
            self._available += count

    def _drop(self, count: int) -> None:
        """Drop the oldest unused requests, as far as there are any."""
        while count > 0 and self._unused:
            began, size = self._unused.popleft()
            if size > count:
                self._unused.appendleft((began, size - count))
            dropped = min(size, count)
            self._available -= dropped
            count -= dropped

    def _turn_at(self, now: Seconds) -> int:
        return math.floor((now - self._since) / self._interval)

    def _requests_in(self, turn: int) -> int:
        """Return the requests of a turn, which are whole numbers that add up."""
        per_turn = self.rate * self._interval
        return math.floor((turn + 1) * per_turn) - math.floor(turn * per_turn)
