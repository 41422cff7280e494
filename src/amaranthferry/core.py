"""Reduce every event of an entry host to effects.

The reducer and the code it calls use no I/O, clock or randomness. The modules imported
here register the handlers of their own events.
"""

from . import (
    coordination,
    entry,
    fallback,
    reducer,
    running,
    server_signals,
)
from .effects import Effect
from .events import Event
from .harm import updates
from .hedging import accounting
from .relocation import hosting
from .state import HostState

__all__ = [
    "HostState",
    "accounting",
    "coordination",
    "entry",
    "fallback",
    "hosting",
    "updates",
    "reduce",
    "running",
    "server_signals",
]


def reduce(state: HostState, event: Event) -> list[Effect]:
    """Apply one event to the state and return the resulting effects."""
    coordination.reset_after_pause(state, event.now)
    effects = reducer.reduce(state, event)
    return effects + updates.announce(state)
