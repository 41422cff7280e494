import pytest

from amaranthferry.soak.checks import (
    LEAVING_BOUND,
    Execution,
    Guarantee,
    NamedLimit,
    Refusal,
    SoakRecord,
    Span,
    check_guarantees,
    count_coverage,
)
from amaranthferry.soak.run import Soak
from amaranthferry.soak.schedule import QUIET_END, SoakFault, plan_faults
from amaranthferry.standins.deployment import (
    REVOCATION_BOUND,
    CallKind,
    CallRecord,
)

STREAM = "".join(f"id: {n}\ndata: {n}\n\n" for n in range(3))


def call(kind=CallKind.REVIEW, **fields):
    fields = {
        "attempt": "a",
        "host": "host-0",
        "key": "key-1",
        "sent": 10.0,
        "ended": 11.0,
        "status": 200,
        "signature": "signed-engine-1",
        "answered_attempt": "a",
        "complete": True,
        "body": STREAM,
        **fields,
    }
    return CallRecord(kind=kind, **fields)


def run_at(at, server="engine-1"):
    return Execution("a", server, at)


def found(**fields):
    return [item.guarantee for item in check_guarantees(SoakRecord(**fields))]


def test_schedule_follows_from_its_seed():
    assert plan_faults(1, seconds=60) == plan_faults(1, seconds=60)
    assert plan_faults(1, seconds=60) != plan_faults(2, seconds=60)


def test_schedule_leaves_time_to_recover():
    planned = plan_faults(3, seconds=120)
    assert all(fault.at < 120 - QUIET_END for fault in planned)
    assert [fault.at for fault in planned] == sorted(fault.at for fault in planned)


def test_schedule_has_every_fault_in_some_run():
    planned = {f.fault for seed in range(20) for f in plan_faults(seed, seconds=60)}
    assert planned == set(SoakFault)


def test_schedule_may_be_limited_to_some_faults():
    only = (SoakFault.STORE_RESTORED,)
    assert {f.fault for f in plan_faults(1, seconds=60, only=only)} == set(only)


def test_sound_run_has_no_violation():
    record = {
        "calls": [call()],
        "executions": [run_at(10.1)],
        "versions": {"host-0#1": [1, 3]},
        "planned_stops": [Span("host-0", 10.5, 12.0)],
        "revoked": {"key-0": 1.0},
        "leaving": {"engine-1": 9.0},
    }
    assert found(**record) == []


@pytest.mark.parametrize("kind", CallKind)
def test_second_run_of_non_idempotent_work(kind):
    body = "engine-1" if kind is CallKind.LOOK else STREAM
    calls = [call(kind, body=body)]
    runs = [run_at(10.1), run_at(10.2, "engine-2")]
    expected = [] if kind.repeatable else [Guarantee.RUNS_ONCE]
    assert found(calls=calls, executions=runs) == expected


@pytest.mark.parametrize(
    ("status", "signature", "violated"),
    [(503, "", True), (429, "", True), (502, "", False), (503, "signed-x", False)],
)
def test_refusal_of_what_has_run(status, signature, violated):
    calls = [call(status=status, signature=signature)]
    expected = [Guarantee.NOT_RUN_IS_ACCURATE] if violated else []
    assert found(calls=calls, executions=[run_at(10.1)]) == expected


@pytest.mark.parametrize(
    "fields",
    [
        {"signature": ""},
        {"answered_attempt": "b"},
        {"body": STREAM[:-14]},
        {"body": STREAM + STREAM},
        {"kind": CallKind.LOOK, "body": "engine-2"},
    ],
)
def test_answer_that_is_not_the_whole_one_of_its_caller(fields):
    assert found(calls=[call(**fields)]) == [Guarantee.COMPLETE_ANSWER]


def test_answer_that_was_cut_is_no_violation():
    assert found(calls=[call(body=STREAM[:-14], complete=False)]) == []


@pytest.mark.parametrize(
    ("at", "faults", "violated"),
    [
        (LEAVING_BOUND + 1.1, [], True),
        (LEAVING_BOUND + 0.9, [], False),
        (LEAVING_BOUND + 1.1, [Span("store silent: store", 0.5, 1.5)], False),
    ],
)
def test_work_at_a_leaving_server(at, faults, violated):
    record = {"leaving": {"engine-1": 1.0}, "executions": [run_at(at)]}
    expected = [Guarantee.NO_WORK_TO_LEAVING] if violated else []
    assert found(faults=faults, **record) == expected


@pytest.mark.parametrize(
    ("sent", "ran", "violated"),
    [(0.1, True, True), (-0.1, True, False), (0.1, False, False)],
)
def test_use_of_a_revoked_key(sent, ran, violated):
    at = 10.0 + REVOCATION_BOUND + sent
    runs = [run_at(at)] if ran else []
    expected = [Guarantee.REVOCATION] if violated else []
    calls = [call(sent=at, ended=at + 1.0)]
    assert found(calls=calls, executions=runs, revoked={"key-1": 10.0}) == expected


@pytest.mark.parametrize(
    ("host", "faults", "violated"),
    [
        ("host-0", [], True),
        ("host-1", [], False),
        ("host-0", [Span("server cuts streams: engine-1", 9.0, 10.2)], False),
    ],
)
def test_cut_in_a_planned_stop(host, faults, violated):
    expected = [Guarantee.STOP_ABORTS_NOTHING] if violated else []
    stops = [Span(host, 10.5, 12.0)]
    calls = [call(complete=False)]
    assert found(calls=calls, planned_stops=stops, faults=faults) == expected


def test_configuration_that_reverts():
    assert found(versions={"host-0#1": [1, 3, 2]}) == [Guarantee.CONFIG_PERSISTS]


def test_fleet_that_does_not_recover():
    assert found(unrecovered=["host-0"]) == [Guarantee.RECOVERY]


async def test_short_run_of_real_hosts(tmp_path):
    soak = Soak(7, seconds=20.0, hosts=3, folder=tmp_path)
    record = await soak.run()
    assert check_guarantees(record) == []
    assert sum(item.status == 200 for item in record.calls) > len(record.calls) / 3


def said_leaving(**fields):
    return call(server_leaving=True, **fields)


def later(sent, **fields):
    return call(attempt="b", answered_attempt="b", sent=sent, ended=sent + 1, **fields)


@pytest.mark.parametrize(
    ("sent", "host", "faults", "violated"),
    [
        (11.0 + LEAVING_BOUND + 0.1, "host-0", [], True),
        (11.0 + LEAVING_BOUND - 0.1, "host-0", [], False),
        (11.0 + LEAVING_BOUND + 0.1, "host-1", [], False),
        (11.0 + LEAVING_BOUND + 0.1, "host-0", ["host killed: host-0"], False),
        (11.0 + LEAVING_BOUND + 0.1, "host-0", ["all hosts killed: hosts"], False),
        (11.0 + LEAVING_BOUND + 0.1, "host-0", ["host killed: host-1"], True),
        (11.0 + LEAVING_BOUND + 0.1, "host-0", ["store silent: store"], True),
    ],
)
def test_work_after_a_server_has_said_that_it_leaves(sent, host, faults, violated):
    record = {
        "calls": [said_leaving(), later(sent, host=host)],
        "arrivals": [run_at(10.5), Execution("b", "engine-1", sent + 0.1)],
        "faults": [Span(name, 12.0, 12.5) for name in faults],
    }
    expected = [Guarantee.NO_WORK_TO_LEAVING] if violated else []
    assert found(**record) == expected


@pytest.mark.parametrize(
    ("count", "host", "at", "violated"),
    [
        (3, "host-0", 11.0, True),
        (2, "host-0", 11.0, False),
        (3, "host-1", 11.0, False),
        (3, "host-0", 10.4, False),
        (3, "host-0", 13.1, False),
    ],
)
def test_work_during_a_hold_off(count, host, at, violated):
    names = [f"n{number}" for number in range(count)]
    calls = [call(status=503, signature="", complete=False)]
    calls += [
        call(attempt=name, answered_attempt=name, host=host, sent=at) for name in names
    ]
    record = {
        "calls": calls,
        "arrivals": [Execution(name, "engine-1", at) for name in names],
        "refusals": [Refusal("a", "engine-1", 10.0, 3.0)],
    }
    assert found(**record) == ([Guarantee.HOLD_OFF] if violated else [])


@pytest.mark.parametrize(("memory", "violated"), [(80, False), (83, True)])
def test_memory_of_a_process(memory, violated):
    record = {"memory": {"host-0#1": memory * 1_000_000}}
    assert found(**record) == ([Guarantee.MEMORY] if violated else [])


def test_schedule_draws_every_fault_before_one_is_repeated():
    planned = [fault.fault for fault in plan_faults(5, seconds=300)]
    count = len(SoakFault)
    assert len(planned) > count
    assert set(planned[:count]) == set(SoakFault)


def test_coverage_counts_the_calls_that_met_a_fault_at_its_server():
    record = SoakRecord(
        calls=[call(), later(10.2)],
        executions=[run_at(10.5), Execution("b", "engine-2", 10.6)],
        faults=[Span("server full: engine-1", 10.0, 12.0)],
        servers=["engine-1", "engine-2"],
    )
    assert count_coverage(record) == {"server full": {CallKind.REVIEW: 1}}


@pytest.mark.parametrize(
    ("at", "count", "faults", "violated"),
    [
        (8.1, 4, [], True),
        (8.1, 3, [], False),
        (7.9, 4, [], False),
        (8.1, 4, ["host killed: host-0"], False),
        (8.1, 4, ["host killed: host-1"], True),
        (8.1, 4, ["all hosts killed: hosts"], False),
    ],
)
@pytest.mark.parametrize(
    ("kind", "ends", "guarantee"),
    [
        (
            CallKind.ASK,
            {"harmful_ends": [1.0, 2.0, 3.0, 4.0, 5.0]},
            Guarantee.HARMFUL_HELD,
        ),
        (
            CallKind.LOOK,
            {"harmful_request_ends": [3.0, 4.0, 5.0]},
            Guarantee.HARMFUL_REQUEST_HELD,
        ),
    ],
)
def test_harmful_requests_after_the_last_end_that_it_takes(
    at, count, faults, violated, kind, ends, guarantee
):
    names = [f"n{number}" for number in range(count)]
    record = {
        "calls": [
            call(attempt=name, kind=kind, harmful=True, complete=False, sent=at)
            for name in names
        ],
        "arrivals": [Execution(name, "engine-1", at) for name in names],
        **ends,
        "faults": [Span(name, 6.0, 6.5) for name in faults],
    }
    assert found(**record) == ([guarantee] if violated else [])


@pytest.mark.parametrize(("harmful", "violated"), [(False, True), (True, False)])
def test_prompt_that_is_refused_as_harmful(harmful, violated):
    calls = [call(status=400, signature="", harmful=harmful)]
    assert found(calls=calls) == ([Guarantee.SOUND_NOT_HELD] if violated else [])


@pytest.mark.parametrize(
    ("count", "told", "interrupted", "violated"),
    [
        (14, True, False, True),
        (6, True, False, False),
        (14, False, False, False),
        (14, True, True, False),
    ],
)
def test_limited_server_that_gets_too_much(count, told, interrupted, violated):
    calls = [call(attempt="first", sent=1.0, ended=1.5, server_limited=told)]
    calls += [call(attempt=f"a{n}", answered_attempt=f"a{n}") for n in range(count)]
    arrivals = [Execution(f"a{n}", "engine-1", 20.0 + n * 0.1) for n in range(count)]
    faults = [Span("host suspended: host-0", 19.0, 20.0)] if interrupted else []
    record = SoakRecord(
        calls=calls,
        arrivals=arrivals,
        limits=[NamedLimit("engine-1", 1.0, 1.0)],
        faults=faults,
    )
    guarantees = [item.guarantee for item in check_guarantees(record)]
    assert (Guarantee.LIMIT in guarantees) is violated


@pytest.mark.parametrize(
    ("fields", "found_it"),
    [
        ({"confirmed": {"key-1": 8.0}}, True),
        ({"confirmed": {"key-1": 8.1}}, False),
        ({"confirmed": {"key-1": 1.0}, "first_revoked": {"key-1": 10.5}}, False),
        ({"confirmed": {"key-1": 1.0}, "first_revoked": {"key-1": 11.5}}, True),
        # The store was restored, and the revocation written again.
        (
            {
                "confirmed": {"key-1": 1.0},
                "first_revoked": {"key-1": 9.0},
                "revoked": {"key-1": 11.5},
            },
            False,
        ),
        ({}, False),
    ],
)
def test_key_that_is_denied_later_than_its_bound_is_found(fields, found_it):
    denied = call(status=401, signature="", complete=True)
    guarantees = found(calls=[denied], **fields)
    assert (Guarantee.CHANGE_IN_FORCE in guarantees) == found_it
