"""Check the promises from the stand-ins' own records and the callers' answers."""

from collections import Counter
from collections.abc import Iterator
from enum import StrEnum

import msgspec

from .embedded import EmbeddedSystem
from .fault_calls import CallKind, CallRecord
from .types import Outcome, RefusalReason, Seconds, SettingsVersion

LEAVING_LIMIT: Seconds = 3.0
SHED_REASONS = frozenset({RefusalReason.EVICTED, RefusalReason.QUEUE_FULL})


class Promise(StrEnum):
    """Name what must hold under every fault."""

    DISPATCHED_ONCE = "dispatched at most once"
    NOT_RUN_IS_TRUE = "not run is true"
    WHOLE_ANSWER = "the whole answer to its own caller"
    RUNS_ONCE = "non-idempotent work runs at most once"
    URGENT_FIRST = "urgent work is not shed before lower work"
    LEAVING_GETS_NONE = "a leaving server gets nothing new"
    STOP_CUTS_NOTHING = "a planned stop cuts nothing"
    SETTINGS_HOLD = "accepted settings are in force and never revert"


class Violation(msgspec.Struct, frozen=True):
    """Report one broken promise."""

    promise: Promise
    detail: str


class Observation(msgspec.Struct, kw_only=True):
    """Collect what a case saw beside the calls and the stand-ins."""

    accepted_version: SettingsVersion = SettingsVersion(0)
    versions: dict[str, list[SettingsVersion]] = {}
    stopped_host: int | None = None
    stopped_at: Seconds = 0.0
    drained: bool = False


def check_promises(
    system: EmbeddedSystem, records: list[CallRecord], seen: Observation
) -> list[Violation]:
    """Return every violation that a case left behind."""
    return [
        *_check_dispatches(system),
        *_check_not_run(system, records),
        *_check_answers(records),
        *_check_entries(system, records),
        *_check_order(records),
        *_check_leaving(system),
        *_check_stop(records, seen),
        *_check_settings(seen),
    ]


def _dispatches(system: EmbeddedSystem) -> Counter[str]:
    counts = Counter(system.ledger.admitted)
    for engine in system.engines:
        counts.update(engine.admitted)
    return counts


def _check_dispatches(system: EmbeddedSystem) -> Iterator[Violation]:
    for name, count in _dispatches(system).items():
        if count > 1:
            yield Violation(Promise.DISPATCHED_ONCE, f"{name} came {count} times")


def _check_not_run(
    system: EmbeddedSystem, records: list[CallRecord]
) -> Iterator[Violation]:
    dispatched = _dispatches(system)
    for record in records:
        if record.outcome is Outcome.NOT_RUN and record.request_id in dispatched:
            yield Violation(Promise.NOT_RUN_IS_TRUE, _describe(record))


def _check_answers(records: list[CallRecord]) -> Iterator[Violation]:
    for record in records:
        if record.broken:
            detail = f"{_describe(record)}: {record.broken}"
            yield Violation(Promise.WHOLE_ANSWER, detail)


def _check_entries(
    system: EmbeddedSystem, records: list[CallRecord]
) -> Iterator[Violation]:
    effects = Counter(effect.body for effect in system.ledger.effects)
    tries: dict[str, list[CallRecord]] = {}
    for record in records:
        if record.call.kind is CallKind.ENTRY:
            tries.setdefault(record.call.name, []).append(record)
    for name, made in tries.items():
        count = effects[name]
        outcomes = {record.outcome for record in made}
        if count > 1:
            yield Violation(Promise.RUNS_ONCE, f"{name} took effect {count} times")
        if Outcome.DONE in outcomes and count == 0:
            yield Violation(Promise.RUNS_ONCE, f"{name} was told done without effect")
        if outcomes == {Outcome.NOT_RUN} and count:
            yield Violation(Promise.NOT_RUN_IS_TRUE, f"{name} took effect")


def _check_order(records: list[CallRecord]) -> Iterator[Violation]:
    lower = [
        record.sent_at
        for record in records
        if not record.call.urgent and record.outcome is Outcome.DONE
    ]
    for record in records:
        shed = record.call.urgent and record.reason in SHED_REASONS
        if shed and any(sent > record.ended_at for sent in lower):
            yield Violation(Promise.URGENT_FIRST, _describe(record))


def _check_leaving(system: EmbeddedSystem) -> Iterator[Violation]:
    for engine in system.engines:
        late = [at for at in engine.admitted_while_leaving if at > LEAVING_LIMIT]
        if late:
            detail = f"{engine.name} got work {max(late):.1f} s after its sign"
            yield Violation(Promise.LEAVING_GETS_NONE, detail)


def _check_stop(records: list[CallRecord], seen: Observation) -> Iterator[Violation]:
    if seen.stopped_host is None:
        return
    if not seen.drained:
        yield Violation(Promise.STOP_CUTS_NOTHING, "the drain did not end")
    for record in records:
        before = record.host == seen.stopped_host and record.sent_at < seen.stopped_at
        if before and record.status == 0:
            yield Violation(Promise.STOP_CUTS_NOTHING, _describe(record))


def _check_settings(seen: Observation) -> Iterator[Violation]:
    for host, versions in seen.versions.items():
        if versions != sorted(versions):
            yield Violation(Promise.SETTINGS_HOLD, f"{host} went {versions}")
        if versions and versions[-1] < seen.accepted_version:
            detail = f"{host} has {versions[-1]}, accepted is {seen.accepted_version}"
            yield Violation(Promise.SETTINGS_HOLD, detail)


def _describe(record: CallRecord) -> str:
    return (
        f"{record.call.name} on host {record.host + 1} at {record.sent_at:.2f} s: "
        f"status {record.status}, {record.outcome}, {record.reason}"
    )
