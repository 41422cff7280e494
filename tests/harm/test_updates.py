import pytest

from amaranthferry.catalog import BudgetLimits, Instance
from amaranthferry.control_fleet import MODEL, POOL, engine_deployment
from amaranthferry.core import HostState, reduce
from amaranthferry.effects import (
    CountMetric,
    Dispatch,
    MakeClaim,
    ObserveMetric,
    SendToHost,
    SettleRequest,
)
from amaranthferry.events import (
    ClaimSettled,
    DispatchFailed,
    FirstTokenSeen,
    PeerReceived,
    RequestArrived,
    ServerStateSeen,
)
from amaranthferry.harm.ledger import SETTLED_TIME
from amaranthferry.harm.subjects import Subjects, SubjectState
from amaranthferry.messages import (
    HarmUpdate,
    PermitGrant,
    PermitRequest,
    ServerIncarnation,
)
from amaranthferry.types import (
    Outcome,
    RefusalReason,
    ServerState,
    ServerStateSource,
    SubjectKind,
)

DIGEST = 0xBAD


def deployment(*, plain):
    instances = {
        f"s-{number}": Instance(
            server=f"s-{number}",
            service=POOL,
            address=f"s-{number}:1",
            zone="z",
            slots=4,
            state=ServerState.LIVE,
            incarnation=number,
        )
        for number in range(4)
    }
    return engine_deployment(
        instances,
        slots=4,
        limits=BudgetLimits(repeat_ratio=0.2, repeat_burst=20.0, repeat_refill=2.0),
        plain=plain,
    )


def host_state(*, plain=True, hosts=("host",)):
    state = HostState(
        host="host", zone="z", deployment=deployment(plain=plain), hosts=hosts, now=10.0
    )
    # Other hosts have been asked when this one started.
    state.records_asked_at = 0.0
    return state


def arrival(now, name="r", *, plain=True, repeatable=True, key=""):
    return RequestArrived(
        now=now,
        request_id=name,
        workspace="",
        tier="1",
        work_class="cancelled-1",
        pool=POOL,
        timeout=5.0,
        prompt_tokens=0,
        output_tokens=0,
        model="" if plain else MODEL,
        objective=1.0,
        max_attempts=2,
        repeatable=repeatable,
        digest=DIGEST,
        idempotency_key=key,
    )


def run(state, event):
    """Apply an event, and the messages to this host that follow; return the rest."""
    rest, queue = [], [event]
    while queue:
        for effect in reduce(state, queue.pop(0)):
            if isinstance(effect, SendToHost) and effect.host == state.host:
                message = effect.message
                received = PeerReceived(
                    now=event.now, sender=state.host, message=message
                )
                queue.append(received)
            else:
                rest.append(effect)
    return rest


def of_type(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def end_server(state, now, name="r"):
    failed = DispatchFailed(now=now, request_id=name, server_ended=True)
    return run(state, failed)


def test_second_run_that_ends_another_server_is_answered_as_unknown_not_as_not_run():
    state = host_state()
    assert of_type(run(state, arrival(10.0)), Dispatch)
    assert of_type(end_server(state, 10.1), Dispatch)
    (settled,) = of_type(end_server(state, 10.2), SettleRequest)
    assert settled.outcome is Outcome.UNKNOWN
    assert state.harm.count(SubjectState.HELD, SubjectKind.REQUEST) == 1
    effects = run(state, arrival(10.3, "again"))
    (settled,) = of_type(effects, SettleRequest)
    assert (settled.outcome, settled.reason) == (
        Outcome.NOT_RUN,
        RefusalReason.HARMFUL_REQUEST,
    )
    assert settled.retry_after == 0.0


@pytest.mark.parametrize(
    ("claim", "outcome", "reason"),
    [
        (
            {"held": False, "outcome": Outcome.UNKNOWN},
            Outcome.UNKNOWN,
            RefusalReason.KEY_UNKNOWN,
        ),
        ({"held": True}, Outcome.NOT_RUN, RefusalReason.HARMFUL_REQUEST),
    ],
)
def test_held_request_whose_key_may_have_run_is_not_called_not_run(
    claim, outcome, reason
):
    state = host_state()
    run(state, arrival(10.0))
    end_server(state, 10.1)
    end_server(state, 10.2)
    effects = run(state, arrival(10.3, "again", key="k"))
    assert [type(effect) for effect in effects if not is_metric(effect)] == [MakeClaim]
    effects = run(state, ClaimSettled(now=10.4, request_id="again", **claim))
    (settled,) = of_type(effects, SettleRequest)
    assert (settled.outcome, settled.reason) == (outcome, reason)
    assert not of_type(effects, Dispatch)


def is_metric(effect):
    return isinstance(effect, CountMetric | ObserveMetric)


def test_evidence_is_sent_to_the_other_hosts_before_the_second_run_is_dispatched():
    state = host_state(hosts=("host", "other"))
    run(state, arrival(10.0))
    effects = end_server(state, 10.1)
    told = [
        index
        for index, effect in enumerate(effects)
        if isinstance(effect, SendToHost) and isinstance(effect.message, HarmUpdate)
    ]
    dispatched = [i for i, e in enumerate(effects) if isinstance(e, Dispatch)]
    assert told
    assert dispatched
    assert told[0] < dispatched[0]


def test_grant_of_a_held_request_is_returned_and_the_request_refused_at_once():
    states = (
        host_state(plain=False, hosts=("host", f"other-{number}"))
        for number in range(20)
    )
    state = next(
        state
        for state in states
        if state.coordinator_of(state.shards_of(POOL)[0]) != state.host
    )
    run(state, arrival(10.0, plain=False))
    for number in (1, 2):
        state.harm.accuse(
            Subjects(POOL, MODEL, (), DIGEST),
            ServerIncarnation(f"gone-{number}", number, "a:1"),
            "",
            request_id=f"earlier-{number}",
            alone=(),
            familiar=(),
            now=10.0 + number,
        )
    sender = state.requests["r"].permit_host
    grant = PermitGrant("r", state.requests["r"].shard, "s-1")
    effects = run(state, PeerReceived(now=12.1, sender=sender, message=grant))
    (settled,) = of_type(effects, SettleRequest)
    assert settled.reason is RefusalReason.HARMFUL_REQUEST
    sent = [effect.message for effect in of_type(effects, SendToHost)]
    assert not any(isinstance(message, PermitRequest) for message in sent)
    assert not of_type(effects, Dispatch)


def leave(state, now):
    """Have the server of the running request say that it leaves."""
    server = state.requests["r"].server
    leaving = ServerStateSeen(
        now=now,
        server=server,
        state=ServerState.LEAVING,
        source=ServerStateSource.HOST_LIST,
    )
    run(state, leaving)


def flow(state, now):
    """Have the answer of the running request begin long before its server ends."""
    run(state, FirstTokenSeen(now=now - 2 * SETTLED_TIME, request_id="r"))


@pytest.mark.parametrize(
    ("before", "server_ended", "accused"),
    [
        (None, True, 1),
        # The connection was lost, or nothing tells.
        (None, False, 0),
        (leave, True, 0),
        (flow, True, 0),
    ],
)
def test_end_of_a_run_that_has_another_cause_accuses_no_request(
    before, server_ended, accused
):
    state = host_state()
    run(state, arrival(10.0, repeatable=False))
    if before is not None:
        before(state, 13.0)
    failed = DispatchFailed(now=13.0, request_id="r", server_ended=server_ended)
    run(state, failed)
    assert state.harm.count(SubjectState.SUSPECTED, SubjectKind.REQUEST) == accused
