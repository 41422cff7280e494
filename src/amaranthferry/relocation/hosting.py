"""Carry out the coordinator's proposals for the requests of this host."""

from .. import coordinator_reducer
from ..effects import CountMetric, Effect, MoveRun, SendToHost
from ..events import MoveEnded, PeerReceived, RunMoved
from ..leaving import incarnation_of
from ..reducer import apply_event, receive_message
from ..requests import Request
from ..state import HostState
from ..types import HostId, RequestState
from .messages import MoveOutcome, MoveProposal, MoveReport


@receive_message.register
def _(message: MoveProposal, event: PeerReceived, state: HostState) -> list[Effect]:
    req = state.requests.get(message.request_id)
    if req is not None and req.move_target == message.target:
        return []
    if req is None or not _may_begin(state, req, message):
        report = MoveReport(
            request_id=message.request_id,
            shard=message.shard,
            server=message.source,
            target=message.target,
            outcome=MoveOutcome.DECLINED,
        )
        return [SendToHost(host=event.sender, message=report)]
    req.move_target, req.move_proposer = message.target, event.sender
    return [
        MoveRun(
            request_id=message.request_id,
            server=message.target,
            patience=message.patience,
        )
    ]


def _may_begin(state: HostState, req: Request, message: MoveProposal) -> bool:
    """Return whether a proposal is about what runs now, and about a usable server."""
    return (
        req.state is RequestState.ANSWERING
        and req.server == message.source
        and req.move_target is None
        and not req.caller_gone
        and not state.draining
        and state.deployment.rules_of(req.arrival.pool).moves is not None
        and incarnation_of(state.deployment, message.target) is not None
        and message.target not in state.deployment.drained
        and not state.is_leaving(message.target)
        and state.hold_off(message.target) <= 0
    )


@apply_event.register
def _(event: RunMoved, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is None or not req.is_running or req.move_target != event.server:
        return []
    req.server = event.server
    return _report(req, MoveOutcome.MOVED)


@apply_event.register
def _(event: MoveEnded, state: HostState) -> list[Effect]:
    req = state.requests.get(event.request_id)
    if req is None or req.move_target is None:
        return []
    return _report(req, event.outcome)


def _report(req: Request, outcome: MoveOutcome) -> list[Effect]:
    """Report the end of a move to the host that proposed it."""
    assert req.move_target is not None and req.move_proposer is not None
    report = MoveReport(
        request_id=req.arrival.request_id,
        shard=req.shard,
        server=req.server or req.move_target,
        target=req.move_target,
        outcome=outcome,
    )
    proposer: HostId = req.move_proposer
    req.move_target = req.move_proposer = None
    counted = CountMetric(name=f"moves.{outcome}")
    return [SendToHost(host=proposer, message=report), counted]


@receive_message.register
def _(message: MoveReport, event: PeerReceived, state: HostState) -> list[Effect]:
    coordinator = state.coordinators.get(message.shard)
    if coordinator is None:
        return []
    return coordinator_reducer.reduce(coordinator, event)
