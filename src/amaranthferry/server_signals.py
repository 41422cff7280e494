"""Apply what servers say of themselves in their answers."""

from .deploying import apply_deployment
from .effects import Effect, ReportSignal, SendToHost
from .events import PeerReceived, ServerHoldOffSeen, ServerLeavingSeen
from .fan_out import children
from .hold_off import spread_end
from .messages import LeavingNotice, ServerIncarnation
from .reducer import apply_event, receive_message
from .state import HostState
from .types import HostId, Seconds, ServerSignal


@apply_event.register
def _(event: ServerLeavingSeen, state: HostState) -> list[Effect]:
    return _learn_leaving(state, event.incarnation, origin=state.host, age=0.0)


@receive_message.register
def _(message: LeavingNotice, event: PeerReceived, state: HostState) -> list[Effect]:
    return _learn_leaving(
        state, message.incarnation, origin=message.origin, age=message.age
    )


@apply_event.register
def _(event: ServerHoldOffSeen, state: HostState) -> list[Effect]:
    incarnation = event.incarnation
    until = spread_end(state.host, incarnation.server, event.duration, state.now)
    if event.duration <= 0 or until <= state.hold_offs.get(incarnation, 0.0):
        return []
    state.hold_offs[incarnation] = until
    return [
        ReportSignal(
            signal=ServerSignal.HELD_OFF,
            incarnation=incarnation,
            source=state.host,
            duration=until - state.now,
        )
    ]


def end_hold_offs(state: HostState) -> list[Effect]:
    """Forget the hold-offs that have ended."""
    ended = [item for item, until in state.hold_offs.items() if until <= state.now]
    for incarnation in ended:
        del state.hold_offs[incarnation]
    return [
        ReportSignal(
            signal=ServerSignal.HOLD_OFF_ENDED,
            incarnation=incarnation,
            source=state.host,
        )
        for incarnation in ended
    ]


def _learn_leaving(
    state: HostState, incarnation: ServerIncarnation, *, origin: HostId, age: Seconds
) -> list[Effect]:
    """Stop new work for a leaving server here, and forward the news once."""
    if incarnation in state.leaving:
        return []
    forgotten = state.leaving.add(incarnation, state.now - age)
    effects: list[Effect] = [
        ReportSignal(
            signal=ServerSignal.LEAVING, incarnation=incarnation, source=origin, age=age
        )
    ]
    if forgotten is not None:
        effects.append(
            ReportSignal(
                signal=ServerSignal.LEAVING_FORGOTTEN,
                incarnation=forgotten,
                source=state.host,
            )
        )
    hosts = set(children(state.host, origin, state.hosts))
    if origin == state.host:
        hosts.update(state.deciding_hosts(incarnation.server))
    notice = LeavingNotice(incarnation, origin, age)
    effects += [SendToHost(host=host, message=notice) for host in sorted(hosts)]
    return effects + apply_deployment(state, state.deployment)
