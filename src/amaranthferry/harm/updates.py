"""Apply and exchange evidence about what servers ended under."""

from ..effects import CountMetric, Effect, ReportHold, ReportSubject, SendToHost
from ..events import PartLifted, PeerReceived, RequestArrived
from ..fan_out import children
from ..granting import grant_waiting, refuse_held
from ..leaving import incarnation_of
from ..messages import HarmUpdate, SubjectId, SubjectRecord
from ..reducer import apply_event, receive_message
from ..requests import Request
from ..state import HostState
from ..types import (
    HostId,
    PoolId,
    RequestState,
    Seconds,
    SubjectKind,
    UpdatePurpose,
)
from .ledger import SETTLED_TIME, Hold, SubjectChange
from .subjects import HOLD_REASONS, Subjects, SubjectState, shared_parts

#: Interval at which a host compares its records with another one's.
EXCHANGE_PERIOD: Seconds = 1.0
#: Records that one such exchange offers, the held parts first.
MAX_EXCHANGED = 32
#: Records in one message, so that it stays far below the size of a frame.
RECORDS_PER_MESSAGE = 8
#: The origin of updates that are not forwarded.
NO_ORIGIN = HostId("")
#: Hosts that a new host asks, and the time for which it waits for their answers.
MAX_ASKED = 8
ANSWER_TIMEOUT: Seconds = 0.3


_CHANGE_METRICS = {
    SubjectKind.PART: "prompt_parts",
    SubjectKind.REQUEST: "harmful_requests",
}


def subjects_of(arrival: RequestArrived) -> Subjects:
    """Return what of a request may be to blame for the end of a server."""
    parts = shared_parts(arrival.prefixes, arrival.prefix_lengths)
    return Subjects(arrival.pool, arrival.model, parts, arrival.digest)


def hold_arrival(state: HostState, arrival: RequestArrived) -> Hold | None:
    """Return why a new request is held, unless it may be the subject's next trial."""
    ledger, subjects = state.harm, subjects_of(arrival)
    if not ledger.concerns(subjects):
        return None
    hold = ledger.hold(subjects, state.versions_of(arrival.pool), state.now)
    if hold is None or ledger.is_trial_due(hold.subject, state.now):
        return None
    return hold


def hold_grant(state: HostState, req: Request, version: str) -> Hold | None:
    """Return why a granted request may not be sent to servers of a version."""
    return state.harm.hold_at(subjects_of(req.arrival), version, state.now)


def is_settled(state: HostState, req: Request) -> bool:
    """Return whether a running answer has flowed long enough to count as sound."""
    if req.state is not RequestState.ANSWERING:
        return False
    return state.now - req.dispatched_at - req.first_token >= SETTLED_TIME


def accuse(state: HostState, req: Request) -> list[Effect]:
    """Accuse a request, and its prompt, under which its server has just ended.

    A server that was leaving may end at any time, so this is no evidence.
    """
    assert req.server is not None
    cfg = state.deployment.servers.get(req.server)
    incarnation = incarnation_of(state.deployment, req.server)
    if cfg is None or incarnation is None or is_settled(state, req):
        return []
    if req.server in state.deployment.drained or state.is_leaving(req.server):
        return []
    state.harm.accuse(
        subjects_of(req.arrival),
        incarnation,
        cfg.model_version,
        request_id=req.arrival.request_id,
        alone=req.alone_subjects,
        familiar=req.familiar_parts,
        now=state.now,
        ran_for=state.now - req.dispatched_at,
    )
    return announce(state)


def record_sound(state: HostState, req: Request) -> None:
    """Remember the parts of a prompt with a sound answer as familiar."""
    assert req.server is not None
    version = state.version_of(req.server)
    state.harm.record_sound(subjects_of(req.arrival), version, state.now)


def acquit_request(state: HostState, req: Request) -> None:
    """Acquit a request that a server has answered to the end, with whatever answer."""
    assert req.server is not None
    version = state.version_of(req.server)
    state.harm.acquit_request(subjects_of(req.arrival), version, state.now)


def announce(state: HostState) -> list[Effect]:
    """Report what has changed, and send the other hosts new evidence of this one."""
    ledger = state.harm
    changes = ledger.take_changes()
    unsent = ledger.take_unsent()
    effects: list[Effect] = [ReportSubject(change=change) for change in changes]
    effects += [
        CountMetric(name=f"{_CHANGE_METRICS[change.subject.kind]}.{change.state}")
        for change in changes
        if change.source == state.host
    ]
    if unsent:
        hosts = set(children(state.host, state.host, state.hosts))
        for pool in {subject.pool for subject in unsent}:
            hosts.update(_deciding_hosts(state, pool))
        records = ledger.records(unsent, state.now)
        effects += _send(sorted(hosts), records, state.host)
    return effects + _refuse_waiting(state, changes)


def _refuse_waiting(state: HostState, changes: list[SubjectChange]) -> list[Effect]:
    if not any(change.state is SubjectState.HELD for change in changes):
        return []
    effects: list[Effect] = []
    for coordinator in (*state.coordinators.values(), *state.fallbacks.values()):
        effects += refuse_held(coordinator, state.now)
    return effects


def _deciding_hosts(state: HostState, pool: PoolId) -> set[HostId]:
    hosts = {
        host
        for shard in state.shards_of(pool)
        for host in (state.coordinator_of(shard), state.successor_of(shard))
        if host is not None
    }
    return hosts - {state.host}


def _send(
    hosts: list[HostId],
    records: tuple[SubjectRecord, ...],
    origin: HostId = NO_ORIGIN,
    purpose: UpdatePurpose = UpdatePurpose.NEWS,
) -> list[Effect]:
    messages = [
        HarmUpdate(records[first : first + RECORDS_PER_MESSAGE], origin, purpose)
        for first in range(0, len(records), RECORDS_PER_MESSAGE)
    ]
    return [SendToHost(host=h, message=message) for h in hosts for message in messages]


def tell(state: HostState, host: HostId, subjects: list[SubjectId]) -> list[Effect]:
    """Send a host what this one knows of some subjects."""
    return _send([host], state.harm.records(subjects, state.now))


@receive_message.register
def _(message: HarmUpdate, event: PeerReceived, state: HostState) -> list[Effect]:
    ledger, sender = state.harm, event.sender
    behind = [record.subject for record in message.records if ledger.lacks(record)]
    news = [
        record.subject
        for record in message.records
        if ledger.merge(record, sender, state.now)
    ]
    effects: list[Effect] = []
    match message.purpose:
        case UpdatePurpose.QUESTION:
            effects += _answer(state, sender)
        case UpdatePurpose.ANSWER:
            effects += _stop_waiting(state)
        case UpdatePurpose.UNINFORMED_ANSWER:
            state.hosts_asked -= {sender}
            if not state.hosts_asked:
                effects += _stop_waiting(state)
        case UpdatePurpose.NEWS:
            effects += tell(state, sender, behind) if sender != state.host else []
    if news and message.origin:
        targets = children(state.host, message.origin, state.hosts)
        effects += _send(targets, ledger.records(news, state.now), message.origin)
    return effects


def _answer(state: HostState, host: HostId) -> list[Effect]:
    """Answer a host that has started with all that is known here of accused subjects."""
    ledger = state.harm
    accused = ledger.records(ledger.accused(MAX_EXCHANGED), state.now)
    purpose = UpdatePurpose.UNINFORMED_ANSWER
    if ledger.informed:
        purpose = UpdatePurpose.ANSWER
    last = HarmUpdate((), purpose=purpose)
    return [*_send([host], accused), SendToHost(host=host, message=last)]


@apply_event.register
def _(event: PartLifted, state: HostState) -> list[Effect]:
    state.harm.lift(event.part, state.now)
    return []


def exchange_records(state: HostState) -> list[Effect]:
    """Compare the records with another host's, a different one each time.

    This repairs what messages that were lost have left different.
    """
    ledger = state.harm
    if not ledger or state.now - state.records_exchanged_at < EXCHANGE_PERIOD:
        return []
    state.records_exchanged_at = state.now
    ledger.expire(state.now, state.deployment.pools)
    others = [host for host in state.hosts if host != state.host]
    if not others:
        return []
    state.record_exchanges += 1
    # Hosts start at different positions, so that they don't all tell the same one.
    own = sum(host < state.host for host in others)
    target = others[(own + state.record_exchanges) % len(others)]
    return tell(state, target, ledger.accused(MAX_EXCHANGED))


def ask_others(state: HostState) -> list[Effect]:
    """Ask other hosts once after the start what they know of harmful requests.

    Requests that this host would place wait for an answer, but only briefly.
    """
    others = [host for host in state.hosts if host != state.host]
    if state.records_asked_at is not None or not others:
        return []
    state.records_asked_at = state.now
    # Neighbors in the order of names are of one zone, and often restarted together.
    step = max(1, len(others) // MAX_ASKED)
    asked = sorted(others)[::step][:MAX_ASKED]
    state.hosts_asked = frozenset(asked)
    state.harm.informed = False
    question = HarmUpdate((), purpose=UpdatePurpose.QUESTION)
    return [SendToHost(host=host, message=question) for host in asked]


def check_answers(state: HostState) -> list[Effect]:
    """Stop waiting for answers after a while."""
    asked_at = state.records_asked_at
    if asked_at is None or state.now - asked_at < ANSWER_TIMEOUT:
        return []
    return _stop_waiting(state)


def _stop_waiting(state: HostState) -> list[Effect]:
    """Place the requests that waited for what other hosts know."""
    if state.harm.informed:
        return []
    state.harm.informed = True
    effects: list[Effect] = []
    for coordinator in (*state.coordinators.values(), *state.fallbacks.values()):
        effects += refuse_held(coordinator, state.now)
        effects += grant_waiting(coordinator, state.now)
    return effects


def refuse_arrival(arrival: RequestArrived, hold: Hold) -> list[Effect]:
    """Report why a new request is refused."""
    reason = HOLD_REASONS[hold.subject.kind]
    return [
        ReportHold(request_id=arrival.request_id, hold=hold),
        CountMetric(name=f"requests.{arrival.tier}.not_run.{reason}"),
    ]
