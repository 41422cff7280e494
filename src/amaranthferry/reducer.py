"""Dispatch events to the handler registered for their type."""

from functools import singledispatch

from .effects import Effect
from .events import Event, PeerReceived
from .messages import Message
from .state import HostState


def reduce(state: HostState, event: Event) -> list[Effect]:
    """Apply one event to the state and return the resulting effects."""
    state.now = max(state.now, event.now)
    if state.started_at is None:
        state.started_at = state.now
    return apply_event(event, state)


@singledispatch
def apply_event(event: Event, state: HostState) -> list[Effect]:
    """Apply one event with the handler registered for its type."""
    raise TypeError(f"No handler is registered for the event {type(event).__name__}.")


@apply_event.register
def _(event: PeerReceived, state: HostState) -> list[Effect]:
    state.last_received[event.sender] = state.now
    return receive_message(event.message, event, state)


@singledispatch
def receive_message(
    message: Message, event: PeerReceived, state: HostState
) -> list[Effect]:
    """Apply a peer's message with the handler registered for its type."""
    return []
