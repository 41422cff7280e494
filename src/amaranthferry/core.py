"""Reduce every event of an entry host to effects.

The reducer and the code it calls use no I/O, clock or randomness. The modules imported
here register the handlers of their own events.
"""

from . import coordination, entry, fallback, running, server_signals
from .reducer import reduce
from .state import HostState

__all__ = [
    "HostState",
    "coordination",
    "entry",
    "fallback",
    "reduce",
    "running",
    "server_signals",
]
