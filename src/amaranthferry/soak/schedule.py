"""Plan the faults of a soak run from its seed."""

import random
from enum import StrEnum

import msgspec

from ..types import Seconds

#: Bounds of the time between the starts of two faults; they overlap.
MIN_GAP: Seconds = 0.5
MAX_GAP: Seconds = 4.0
MIN_DURATION: Seconds = 0.3
MAX_DURATION: Seconds = 5.0
MAX_COPY_AGE: Seconds = 6.0
#: Time before the first fault, and without faults at the end.
QUIET_START: Seconds = 2.0
QUIET_END: Seconds = 12.0


class SoakFault(StrEnum):
    """Define the faults that a soak run injects."""

    HOST_KILLED = "host killed"
    HOST_SUSPENDED = "host suspended"
    HOST_STOPPED = "host stopped as planned"
    ALL_HOSTS_KILLED = "all hosts killed"
    STORE_BUSY = "store busy"
    STORE_RESET = "store resets connections"
    STORE_SILENT = "store silent"
    STORE_SLOW = "store slow"
    STORE_SILENT_FOR_SOME = "store silent for some hosts"
    WATCHES_MUTE = "watches hear nothing and lose their history"
    ODD_OBJECTS = "objects that can't be read"
    STORE_RESTORED = "store restored from a copy"
    STORE_COMPACTED = "store's history compacted"
    SERVER_CUTS_STREAMS = "server cuts streams"
    SERVER_LOSES_ANSWERS = "server loses answers"
    SERVER_FAILS = "server fails"
    SERVER_FULL = "server full"
    SERVER_SILENT = "server silent"
    SERVER_CROSSES_ANSWERS = "server sends answers of other requests"
    SERVER_RESETS_STREAMS = "server resets streams"
    SERVER_ENDS_STREAMS_EARLY = "server ends streams inside an event"
    SERVER_ENDLESS = "server sends failures without end"
    SERVER_UNFRAMED = "server sends answers without a length"
    SERVER_SAYS_LEAVING = "server says in its answers that it leaves"
    SERVICE_HOLDS_OFF = "servers of a service want nothing for a time"
    SERVER_LIMITED = "server names a limit that falls and ends"
    HARMFUL_PROMPTS = "prompts end servers"
    HARMFUL_REQUEST = "a request ends servers"
    SERVER_REPLACED = "server replaced"
    KEY_REVOKED = "key revoked"
    CONFIG_CHANGED = "configuration changed"


class PlannedFault(msgspec.Struct, frozen=True):
    """Plan one fault; `index` chooses a host or server, `age` is that of a copy."""

    fault: SoakFault
    at: Seconds
    duration: Seconds
    index: int
    age: Seconds


def plan_faults(
    seed: int, *, seconds: Seconds, only: tuple[SoakFault, ...] = ()
) -> list[PlannedFault]:
    """Return the faults of a run in the order of their starts."""
    rng = random.Random(seed)
    choices = only or tuple(SoakFault)
    #: Every fault is drawn once before one is drawn again.
    left: list[SoakFault] = []
    planned = []
    at = QUIET_START
    while at < seconds - QUIET_END:
        left = left or rng.sample(choices, len(choices))
        planned.append(
            PlannedFault(
                left.pop(),
                round(at, 3),
                round(rng.uniform(MIN_DURATION, MAX_DURATION), 3),
                rng.randrange(1_000),
                round(rng.uniform(0.0, MAX_COPY_AGE), 3),
            )
        )
        at += rng.uniform(MIN_GAP, MAX_GAP)
    return planned
