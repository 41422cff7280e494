"""Check the guarantees against the stand-ins' records and the callers' answers."""

from collections import Counter
from collections.abc import Iterator
from enum import StrEnum

import msgspec

from .embedded import EmbeddedSystem
from .fault_calls import CallKind, CallRecord
from .types import Outcome, RefusalReason, Seconds, SettingsVersion

LEAVING_GRACE: Seconds = 3.0
SHED_REASONS = frozenset({RefusalReason.EVICTED, RefusalReason.QUEUE_FULL})


class Guarantee(StrEnum):
    """Define what the system guarantees under every fault."""

    DISPATCHED_ONCE = "dispatched at most once"
    NOT_RUN_IS_ACCURATE = "not run is true"
    COMPLETE_ANSWER = "the whole answer to its own caller"
    RUNS_ONCE = "non-idempotent work runs at most once"
    URGENT_FIRST = "urgent work is not shed before lower work"
    NO_WORK_TO_LEAVING = "a leaving server gets nothing new"
    STOP_ABORTS_NOTHING = "a planned stop cuts nothing"
    SETTINGS_PERSIST = "accepted settings are in force and never revert"


class Violation(msgspec.Struct, frozen=True):
    """Report one violated guarantee."""

    guarantee: Guarantee
    detail: str


class Observation(msgspec.Struct, kw_only=True):
    """Record the state of the hosts and the settings during a case."""

    accepted_version: SettingsVersion = SettingsVersion(0)
    versions: dict[str, list[SettingsVersion]] = {}
    stopped_host: int | None = None
    stopped_at: Seconds = 0.0
    drained: bool = False


def check_guarantees(
    system: EmbeddedSystem, records: list[CallRecord], observation: Observation
) -> list[Violation]:
    """Return every violation found in a case."""
    return [
        *_check_dispatches(system),
        *_check_not_run(system, records),
        *_check_answers(records),
        *_check_entries(system, records),
        *_check_priority(records),
        *_check_leaving(system),
        *_check_stop(records, observation),
        *_check_settings(observation),
    ]


def _dispatches(system: EmbeddedSystem) -> Counter[str]:
    counts = Counter(system.ledger.admitted)
    for engine in system.engines:
        counts.update(engine.admitted)
    return counts


def _check_dispatches(system: EmbeddedSystem) -> Iterator[Violation]:
    for name, count in _dispatches(system).items():
        if count > 1:
            yield Violation(
                Guarantee.DISPATCHED_ONCE, f"{name} was dispatched {count} times"
            )


def _check_not_run(
    system: EmbeddedSystem, records: list[CallRecord]
) -> Iterator[Violation]:
    dispatched = _dispatches(system)
    for record in records:
        if record.outcome is Outcome.NOT_RUN and record.request_id in dispatched:
            yield Violation(Guarantee.NOT_RUN_IS_ACCURATE, _describe(record))


def _check_answers(records: list[CallRecord]) -> Iterator[Violation]:
    for record in records:
        if record.answer_error:
            detail = f"{_describe(record)}: {record.answer_error}"
            yield Violation(Guarantee.COMPLETE_ANSWER, detail)


def _check_entries(
    system: EmbeddedSystem, records: list[CallRecord]
) -> Iterator[Violation]:
    effects = Counter(effect.body for effect in system.ledger.effects)
    attempts_by_name: dict[str, list[CallRecord]] = {}
    for record in records:
        if record.call.kind is CallKind.ENTRY:
            attempts_by_name.setdefault(record.call.name, []).append(record)
    for name, attempts in attempts_by_name.items():
        count = effects[name]
        outcomes = {record.outcome for record in attempts}
        if count > 1:
            yield Violation(Guarantee.RUNS_ONCE, f"{name} took effect {count} times")
        if Outcome.DONE in outcomes and count == 0:
            yield Violation(
                Guarantee.RUNS_ONCE, f"{name} was reported done without effect"
            )
        if outcomes == {Outcome.NOT_RUN} and count:
            yield Violation(
                Guarantee.NOT_RUN_IS_ACCURATE,
                f"{name} was reported not run but took effect",
            )


def _check_priority(records: list[CallRecord]) -> Iterator[Violation]:
    lower_sent_at = [
        record.sent_at
        for record in records
        if not record.call.urgent and record.outcome is Outcome.DONE
    ]
    for record in records:
        shed = record.call.urgent and record.reason in SHED_REASONS
        if shed and any(sent > record.ended_at for sent in lower_sent_at):
            yield Violation(Guarantee.URGENT_FIRST, _describe(record))


def _check_leaving(system: EmbeddedSystem) -> Iterator[Violation]:
    for engine in system.engines:
        late = [at for at in engine.admitted_while_leaving if at > LEAVING_GRACE]
        if late:
            detail = (
                f"{engine.name} admitted work {max(late):.1f} s after it reported "
                "leaving"
            )
            yield Violation(Guarantee.NO_WORK_TO_LEAVING, detail)


def _check_stop(
    records: list[CallRecord], observation: Observation
) -> Iterator[Violation]:
    if observation.stopped_host is None:
        return
    if not observation.drained:
        yield Violation(Guarantee.STOP_ABORTS_NOTHING, "the drain did not end")
    for record in records:
        affected = (
            record.host == observation.stopped_host
            and record.sent_at < observation.stopped_at
        )
        if affected and record.status == 0:
            yield Violation(Guarantee.STOP_ABORTS_NOTHING, _describe(record))


def _check_settings(observation: Observation) -> Iterator[Violation]:
    for host, versions in observation.versions.items():
        if versions != sorted(versions):
            yield Violation(
                Guarantee.SETTINGS_PERSIST, f"{host} applied versions {versions}"
            )
        if versions and versions[-1] < observation.accepted_version:
            detail = (
                f"{host} has version {versions[-1]}, "
                f"accepted is {observation.accepted_version}"
            )
            yield Violation(Guarantee.SETTINGS_PERSIST, detail)


def _describe(record: CallRecord) -> str:
    return (
        f"{record.call.name} on host {record.host + 1} at {record.sent_at:.2f} s: "
        f"status {record.status}, {record.outcome}, {record.reason}"
    )
