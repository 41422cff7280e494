import pytest

from amaranthferry.fault_calls import CallKind, CallRecord, PlannedCall
from amaranthferry.fault_checks import Observation, Promise, check_promises
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
async def test_promises_hold_under(faults):
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


class Recorded:
    """Hold the records that the stand-ins of a system would hold."""

    def __init__(self, *, seen=(), effects=(), late=()):
        self.admitted = {name: seen.count(name) for name in seen}
        self.effects = [LedgerEffect("", "", body) for body in effects]
        self.admitted_while_leaving = list(late)
        self.name = "engine-1"

    @property
    def engines(self):
        return [self]

    @property
    def ledger(self):
        return Recorded() if not self.effects else _Ledger(self.effects)


class _Ledger:
    def __init__(self, effects):
        self.effects = effects
        self.admitted = {}


DONE, NOT_RUN = Outcome.DONE, Outcome.NOT_RUN
ENTRY = CallKind.ENTRY


@pytest.mark.parametrize(
    ("promise", "system", "records", "seen"),
    [
        (Promise.DISPATCHED_ONCE, Recorded(seen=("r1", "r1")), [], {}),
        (
            Promise.NOT_RUN_IS_TRUE,
            Recorded(seen=("r1",)),
            [record(outcome=NOT_RUN, request_id="r1")],
            {},
        ),
        (
            Promise.NOT_RUN_IS_TRUE,
            Recorded(effects=("call",)),
            [record(kind=ENTRY, outcome=NOT_RUN)],
            {},
        ),
        (Promise.WHOLE_ANSWER, Recorded(), [record(broken="cut")], {}),
        (
            Promise.RUNS_ONCE,
            Recorded(effects=("call", "call")),
            [record(kind=ENTRY, outcome=DONE)],
            {},
        ),
        (Promise.RUNS_ONCE, Recorded(), [record(kind=ENTRY, outcome=DONE)], {}),
        (
            Promise.URGENT_FIRST,
            Recorded(),
            [
                record(outcome=NOT_RUN, reason="evicted"),
                record(urgent=False, outcome=DONE, sent_at=3.0),
            ],
            {},
        ),
        (Promise.LEAVING_GETS_NONE, Recorded(late=(3.5,)), [], {}),
        (
            Promise.STOP_CUTS_NOTHING,
            Recorded(),
            [record()],
            {"stopped_host": 0, "stopped_at": 1.5, "drained": True},
        ),
        (Promise.STOP_CUTS_NOTHING, Recorded(), [], {"stopped_host": 0}),
        (Promise.SETTINGS_HOLD, Recorded(), [], {"versions": {"host-1": [2, 1]}}),
        (
            Promise.SETTINGS_HOLD,
            Recorded(),
            [],
            {
                "versions": {"host-1": [1]},
                "accepted_version": SettingsVersion(2),
            },
        ),
    ],
)
def test_a_broken_promise_is_found(promise, system, records, seen):
    found = check_promises(system, records, Observation(**seen))
    assert [violation.promise for violation in found] == [promise]
