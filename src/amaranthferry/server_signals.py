"""Apply what servers say of themselves in their answers."""

from .coordination import apply_deployment, deciding_hosts
from .effects import Effect, ReportSignal, SendToHost
from .events import PeerReceived, ServerLeavingSeen
from .fan_out import children
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
        hosts.update(deciding_hosts(state, incarnation.server))
    notice = LeavingNotice(incarnation, origin, age)
    effects += [SendToHost(host=host, message=notice) for host in sorted(hosts)]
    return effects + apply_deployment(state, state.deployment)
