import pytest

from amaranthferry.fault_calls import CallKind, CallRecord, PlannedCall
from amaranthferry.fault_checks import Guarantee, Observation, check_guarantees
from amaranthferry.faults import Case, Fault, single_cases
from amaranthferry.standins.ledger import LedgerEffect
from amaranthferry.types import Outcome, SettingsVersion, WorkspaceId

SEED = 1
PAIRS = [
    (Fault.STORE_ANSWERS_LOST, Fault.LEDGER_ANSWERS_LOST),
    (Fault.COORDINATOR_KILLED, Fault.STORE_OUT),
    (Fault.COORDINATOR_PAUSED, Fault.BURST),
    (Fault.PLANNED_STOP, Fault.ENGINE_LEAVING),
    (Fault.HOST_KILLED, Fault.OPERATORS_RACING),
]


@pytest.mark.parametrize("faults", single_cases() + PAIRS, ids=" + ".join)
async def test_guarantees_hold_under(faults):
    result = await Case(faults, SEED).run()
    assert result.violations == ()
    assert result.done > 0


def record(**changes):
    call = PlannedCall(
        name="call",
        kind=changes.pop("kind", CallKind.STREAM),
        at=0.0,
        workspace=WorkspaceId("w"),
        urgent=changes.pop("urgent", True),
    )
    fields = {"call": call, "host": 0, "sent_at": 1.0, "ended_at": 2.0, **changes}
    return CallRecord(**fields)


class FakeSystem:
    """Represent a system by the records of its stand-ins."""

    def __init__(self, *, admitted=(), effects=(), late=()):
        self.admitted = {name: admitted.count(name) for name in admitted}
        self.effects = [LedgerEffect("", "", body) for body in effects]
        self.admitted_while_leaving = list(late)
        self.name = "engine-1"

    @property
    def engines(self):
        return [self]

    @property
    def ledger(self):
        return FakeSystem() if not self.effects else _FakeLedger(self.effects)


class _FakeLedger:
    def __init__(self, effects):
        self.effects = effects
        self.admitted = {}


DONE, NOT_RUN = Outcome.DONE, Outcome.NOT_RUN
ENTRY = CallKind.ENTRY


@pytest.mark.parametrize(
    ("guarantee", "system", "records", "observed"),
    [
        (Guarantee.DISPATCHED_ONCE, FakeSystem(admitted=("r1", "r1")), [], {}),
        (
            Guarantee.NOT_RUN_IS_ACCURATE,
            FakeSystem(admitted=("r1",)),
            [record(outcome=NOT_RUN, request_id="r1")],
            {},
        ),
        (
            Guarantee.NOT_RUN_IS_ACCURATE,
            FakeSystem(effects=("call",)),
            [record(kind=ENTRY, outcome=NOT_RUN)],
            {},
        ),
        (Guarantee.COMPLETE_ANSWER, FakeSystem(), [record(answer_error="cut")], {}),
        (
            Guarantee.RUNS_ONCE,
            FakeSystem(effects=("call", "call")),
            [record(kind=ENTRY, outcome=DONE)],
            {},
        ),
        (Guarantee.RUNS_ONCE, FakeSystem(), [record(kind=ENTRY, outcome=DONE)], {}),
        (
            Guarantee.URGENT_FIRST,
            FakeSystem(),
            [
                record(outcome=NOT_RUN, reason="evicted"),
                record(urgent=False, outcome=DONE, sent_at=3.0),
            ],
            {},
        ),
        (Guarantee.NO_WORK_TO_LEAVING, FakeSystem(late=(3.5,)), [], {}),
        (
            Guarantee.STOP_ABORTS_NOTHING,
            FakeSystem(),
            [record()],
            {"stopped_host": 0, "stopped_at": 1.5, "drained": True},
        ),
        (Guarantee.STOP_ABORTS_NOTHING, FakeSystem(), [], {"stopped_host": 0}),
        (
            Guarantee.SETTINGS_PERSIST,
            FakeSystem(),
            [],
            {"versions": {"host-1": [2, 1]}},
        ),
        (
            Guarantee.SETTINGS_PERSIST,
            FakeSystem(),
            [],
            {
                "versions": {"host-1": [1]},
                "accepted_version": SettingsVersion(2),
            },
        ),
    ],
)
def test_violation_is_found(guarantee, system, records, observed):
    found = check_guarantees(system, records, Observation(**observed))
    assert [violation.guarantee for violation in found] == [guarantee]
