"""Take events into the state of an entry host, by their type."""

from functools import singledispatch

from .effects import Effect
from .events import Event, PeerReceived
from .messages import Message
from .state import HostState


def reduce(state: HostState, event: Event) -> list[Effect]:
    """Take one event into the state and return what is to be done."""
    state.now = max(state.now, event.now)
    if state.started_at is None:
        state.started_at = state.now
    return apply_event(event, state)


@singledispatch
def apply_event(event: Event, state: HostState) -> list[Effect]:
    """Apply one event by the rule that is registered for its type."""
    raise TypeError(f"No rule for {type(event).__name__}.")


@apply_event.register
def _(event: PeerReceived, state: HostState) -> list[Effect]:
    state.last_received[event.sender] = state.now
    return receive_message(event.message, event, state)


@singledispatch
def receive_message(
    message: Message, event: PeerReceived, state: HostState
) -> list[Effect]:
    """Apply a peer's message by the rule that is registered for its type."""
    return []
