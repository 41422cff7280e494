"""Check guarantees against what callers, servers and the operator have seen."""

from collections import Counter
from collections.abc import Iterator
from enum import StrEnum

import msgspec

from ..limit_check import WINDOW, LimitedServer
from ..standins.deployment import (
    APPLY_BOUND,
    MEMORY_LIMIT_MB,
    REVOCATION_BOUND,
    CallKind,
    CallRecord,
)
from ..types import HostId, Seconds

#: Statuses that promise that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Time after a server's report, read without a fault, in which it may get requests.
LEAVING_BOUND: Seconds = 3.0
#: Requests that may reach a server after this time of a hold-off.
HOLD_OFF_SLACK: Seconds = 0.5
HOLD_OFF_ARRIVALS = 2
#: Ends of servers under a prompt part after which, and a time, few more are sent.
HARMFUL_ENDS = 5
HARMFUL_REQUEST_ENDS = 3
HARMFUL_ARRIVALS = 3
CONTACT_BOUND: Seconds = 3.0
DENIALS = frozenset({401, 403, 404})
#: Status of requests that are refused for a part of their prompt.
HELD_STATUS = 400
ALL_HOSTS_KILLED = "all hosts killed: hosts"
#: Events of a complete stream.
EVENT_COUNT = 3
MEGABYTE = 1_000_000


#: Memory of a calm host, and the bound that lies halfway to the limit.
CALM_MEMORY = 27 * MEGABYTE
MEMORY_BOUND = CALM_MEMORY + (MEMORY_LIMIT_MB * MEGABYTE - CALM_MEMORY) // 2


class Guarantee(StrEnum):
    """Define what the system guarantees under every fault."""

    RUNS_ONCE = "non-idempotent work runs at most once"
    NOT_RUN_IS_ACCURATE = "not run is true"
    COMPLETE_ANSWER = "the whole answer to its own caller"
    NO_WORK_TO_LEAVING = "a leaving server gets nothing new"
    HOLD_OFF = "a server is left alone for the time that it asks for"
    LIMIT = "a server gets no more than the limit that it names"
    HARMFUL_HELD = "prompts that end servers are held"
    HARMFUL_REQUEST_HELD = "a request that ends servers is held"
    SOUND_NOT_HELD = "sound prompts are not held"
    REVOCATION = "a revoked key is refused within its bound"
    STOP_ABORTS_NOTHING = "a planned stop cuts nothing"
    CHANGE_IN_FORCE = "what has been confirmed is not denied after its bound"
    CONFIG_PERSISTS = "a configuration in force never reverts"
    MEMORY = "a process stays within half of the memory that a calm one leaves free"
    RECOVERY = "one fleet serves again after the last fault"


class Violation(msgspec.Struct, frozen=True):
    """Report one violated guarantee."""

    guarantee: Guarantee
    detail: str


class Execution(msgspec.Struct, frozen=True):
    """Record that a server began to run a request."""

    attempt: str
    server: str
    at: Seconds


class Refusal(msgspec.Struct, frozen=True):
    """Record that a server has refused a request and wants nothing for a while."""

    attempt: str
    server: str
    at: Seconds
    duration: Seconds


class NamedLimit(msgspec.Struct, frozen=True):
    """Record that a server names a limit from a time on, or none."""

    server: str
    rate: float | None
    at: Seconds


class Span(msgspec.Struct, frozen=True):
    """Represent the time of one fault."""

    name: str
    start: Seconds
    end: Seconds

    def overlaps(self, start: Seconds, end: Seconds) -> bool:
        """Return whether the fault was present at some time of an interval."""
        return self.start <= end and self.end >= start


class SoakRecord(msgspec.Struct, kw_only=True):
    """Collect what a run has shown; times are of the run's clock."""

    calls: list[CallRecord] = []
    executions: list[Execution] = []
    #: All requests that have reached their server, refused ones too.
    arrivals: list[Execution] = []
    refusals: list[Refusal] = []
    limits: list[NamedLimit] = []
    #: Times at which the operator's last write that revoked a key was acknowledged.
    revoked: dict[str, Seconds] = {}
    #: The same for the first such write, from which on the key may be denied.
    first_revoked: dict[str, Seconds] = {}
    #: Times at which the operator's first write with a key was acknowledged.
    confirmed: dict[str, Seconds] = {}
    leaving: dict[str, Seconds] = {}
    faults: list[Span] = []
    #: Configuration versions in force on each process, in order.
    versions: dict[str, list[int]] = {}
    #: Most memory of each process, in bytes.
    memory: dict[str, int] = {}
    planned_stops: list[Span] = []
    unrecovered: list[str] = []
    #: Times at which servers ended under a prompt with the harmful part.
    harmful_ends: list[Seconds] = []
    #: Times at which servers ended under the harmful request.
    harmful_request_ends: list[Seconds] = []
    servers: list[str] = []


def check_guarantees(record: SoakRecord) -> list[Violation]:
    """Return every violation that a run has shown."""
    return [
        *_check_runs(record),
        *_check_not_run(record),
        *_check_answers(record),
        *_check_leaving(record),
        *_check_said_leaving(record),
        *_check_hold_offs(record),
        *_check_limits(record),
        *_check_harmful(record),
        *_check_sound(record),
        *_check_revocation(record),
        *_check_confirmed(record),
        *_check_stops(record),
        *_check_versions(record),
        *_check_memory(record),
        *(Violation(Guarantee.RECOVERY, detail) for detail in record.unrecovered),
    ]


def count_coverage(record: SoakRecord) -> dict[str, Counter[CallKind]]:
    """Count the calls of each kind that met each fault."""
    coverage: dict[str, Counter[CallKind]] = {}
    runs = _runs_by_attempt(record)
    for fault in record.faults:
        name, _, target = fault.name.partition(": ")
        met = coverage.setdefault(name, Counter())
        met.update(
            call.kind
            for call in record.calls
            if fault.overlaps(call.sent, call.ended)
            and (
                target not in record.servers
                or any(run.server == target for run in runs.get(call.attempt, []))
            )
        )
    return coverage


def _runs_by_attempt(record: SoakRecord) -> dict[str, list[Execution]]:
    runs: dict[str, list[Execution]] = {}
    for execution in record.executions:
        runs.setdefault(execution.attempt, []).append(execution)
    return runs


def _check_runs(record: SoakRecord) -> Iterator[Violation]:
    runs = _runs_by_attempt(record)
    for call in record.calls:
        servers = [run.server for run in runs.get(call.attempt, [])]
        if len(servers) > 1 and not call.kind.repeatable:
            yield Violation(
                Guarantee.RUNS_ONCE, f"{call.kind} {call.attempt} ran on {servers}"
            )


def _check_not_run(record: SoakRecord) -> Iterator[Violation]:
    runs = _runs_by_attempt(record)
    for call in record.calls:
        refused = call.status in NOT_RUN_STATUSES and not call.signature
        if refused and call.attempt in runs and not call.kind.repeatable:
            yield Violation(
                Guarantee.NOT_RUN_IS_ACCURATE,
                f"{call.kind} {call.attempt} got {call.status} and has run",
            )


def _check_answers(record: SoakRecord) -> Iterator[Violation]:
    for call in record.calls:
        if call.status != 200 or not call.complete:
            continue
        problem = _problem(call)
        if problem:
            yield Violation(
                Guarantee.COMPLETE_ANSWER, f"{call.kind} {call.attempt}: {problem}"
            )


def _problem(call: CallRecord) -> str:
    if not call.signature:
        return "no signature"
    if call.answered_attempt != call.attempt:
        return f"answer of {call.answered_attempt}"
    if call.kind is CallKind.LOOK:
        expected = call.signature.removeprefix("signed-")
    else:
        events = range(EVENT_COUNT)
        expected = "".join(f"id: {number}\ndata: {number}\n\n" for number in events)
    return "" if call.body == expected else f"body {call.body!r}"


def _check_leaving(record: SoakRecord) -> Iterator[Violation]:
    for run in record.executions:
        left = record.leaving.get(run.server)
        if left is None or run.at <= left + LEAVING_BOUND:
            continue
        # Without the store or with a suspended host, the report may not be known yet.
        start = left - LEAVING_BOUND
        if not any(fault.overlaps(start, run.at) for fault in record.faults):
            yield Violation(
                Guarantee.NO_WORK_TO_LEAVING,
                f"{run.server} got {run.attempt} {run.at - left:.2f} s after its report",
            )


def _check_said_leaving(record: SoakRecord) -> Iterator[Violation]:
    """Check that a host which has relayed a server's word sends it nothing new."""
    calls = {call.attempt: call for call in record.calls}
    told: dict[tuple[str, str], Seconds] = {}
    for call in record.calls:
        if call.server_leaving:
            key = call.host, call.signature.removeprefix("signed-")
            told[key] = min(call.ended, told.get(key, call.ended))
    for run in record.arrivals:
        call_of_run = calls[run.attempt]
        at = told.get((call_of_run.host, run.server))
        if at is None or call_of_run.sent <= at + LEAVING_BOUND:
            continue
        if not _was_interrupted(record, call_of_run.host, at, run.at):
            yield Violation(
                Guarantee.NO_WORK_TO_LEAVING,
                f"{run.server} got {run.attempt} from {call_of_run.host} "
                f"{call_of_run.sent - at:.2f} s after it said there that it leaves",
            )


def _check_hold_offs(record: SoakRecord) -> Iterator[Violation]:
    hosts = {call.attempt: call.host for call in record.calls}
    for refusal in record.refusals:
        host = hosts[refusal.attempt]
        start, end = refusal.at + HOLD_OFF_SLACK, refusal.at + refusal.duration
        late = [
            item.attempt
            for item in record.arrivals
            if item.server == refusal.server
            and hosts[item.attempt] == host
            and start < item.at < end
        ]
        interrupted = _was_interrupted(record, host, refusal.at, end)
        if len(late) > HOLD_OFF_ARRIVALS and not interrupted:
            yield Violation(
                Guarantee.HOLD_OFF,
                f"{refusal.server} got {late} from {host} after {refusal.attempt}",
            )


def _check_limits(record: SoakRecord) -> Iterator[Violation]:
    """Check what limited servers get from the hosts that have passed on a limit."""
    for name in sorted({limit.server for limit in record.limits}):
        worst = _limited_server(record, name).worst(contact=CONTACT_BOUND)
        if worst.excess > 0:
            yield Violation(
                Guarantee.LIMIT,
                f"{name} got {worst.arrivals} requests in the {WINDOW:g} s "
                f"before {worst.end:.2f} s, {worst.allowed:.1f} allowed",
            )


def _limited_server(record: SoakRecord, name: str) -> LimitedServer:
    calls = {call.attempt: call for call in record.calls}
    told: dict[str, Seconds] = {}
    for call in record.calls:
        if call.server_limited and call.signature == f"signed-{name}":
            told[call.host] = min(call.ended, told.get(call.host, call.ended))
    server = LimitedServer()
    for limit in record.limits:
        if limit.server == name:
            server.name(limit.rate, limit.at)
    for host, at in told.items():
        server.tell(HostId(host), at)
    for run in record.arrivals:
        host = calls[run.attempt].host
        since = run.at - CONTACT_BOUND
        if run.server == name and not _was_interrupted(record, host, since, run.at):
            server.arrive(HostId(host), run.at)
    return server


def _was_interrupted(
    record: SoakRecord, host: str, start: Seconds, end: Seconds
) -> bool:
    """Return whether a host was restarted or suspended in an interval."""
    stops = [stop for stop in record.planned_stops if stop.name == host]
    faults = [fault for fault in record.faults if fault.name.startswith("host")]
    faults += [fault for fault in record.faults if fault.name.startswith("all hosts")]
    return any(span.overlaps(start, end) for span in stops) or any(
        span.overlaps(start, end)
        for span in faults
        if span.name.endswith((f": {host}", ": hosts"))
    )


def _check_harmful(record: SoakRecord) -> Iterator[Violation]:
    """Check that few harmful requests are sent some time after enough ends.

    Hosts that are all killed at once know nothing of earlier ends.
    """
    prompts = {c.attempt: c for c in record.calls if c.harmful and c.kind.streaming}
    requests = {
        c.attempt: c for c in record.calls if c.harmful and not c.kind.streaming
    }
    yield from _check_held(
        record, Guarantee.HARMFUL_HELD, prompts, record.harmful_ends, HARMFUL_ENDS
    )
    yield from _check_held(
        record,
        Guarantee.HARMFUL_REQUEST_HELD,
        requests,
        record.harmful_request_ends,
        HARMFUL_REQUEST_ENDS,
    )


def _check_held(
    record: SoakRecord,
    guarantee: Guarantee,
    calls: dict[str, CallRecord],
    harmful_ends: list[Seconds],
    needed: int,
) -> Iterator[Violation]:
    forgotten = max(
        (fault.end for fault in record.faults if fault.name == ALL_HOSTS_KILLED),
        default=0.0,
    )
    ends = sorted(at for at in harmful_ends if at >= forgotten)
    if len(ends) < needed:
        return
    start = ends[needed - 1] + CONTACT_BOUND
    late = [
        run.attempt
        for run in record.arrivals
        if run.attempt in calls
        and run.at > start
        and not _was_interrupted(
            record, calls[run.attempt].host, run.at - CONTACT_BOUND, run.at
        )
    ]
    if len(late) > HARMFUL_ARRIVALS:
        yield Violation(guarantee, f"{late} were sent after {start:.2f} s")


def _check_sound(record: SoakRecord) -> Iterator[Violation]:
    for call in record.calls:
        if call.status == HELD_STATUS and not call.signature and not call.harmful:
            yield Violation(
                Guarantee.SOUND_NOT_HELD, f"{call.attempt} was refused at {call.host}"
            )


def _check_confirmed(record: SoakRecord) -> Iterator[Violation]:
    """Check that no host denies a key or route later than its bound, whatever fails.

    A restored store has lost what was confirmed, until the operator writes it again.
    """
    for call in record.calls:
        confirmed = record.confirmed.get(call.key)
        revoked = record.first_revoked.get(call.key)
        if call.status not in DENIALS or call.signature or confirmed is None:
            continue
        if revoked is not None and call.ended >= revoked:
            continue
        age = call.sent - confirmed
        if age >= APPLY_BOUND:
            yield Violation(
                Guarantee.CHANGE_IN_FORCE,
                f"{call.attempt} at {call.host} got {call.status} "
                f"{age:.2f} s after its key had been confirmed",
            )


def _check_revocation(record: SoakRecord) -> Iterator[Violation]:
    runs = _runs_by_attempt(record)
    for call in record.calls:
        revoked = record.revoked.get(call.key)
        if revoked is None or call.sent <= revoked + REVOCATION_BOUND:
            continue
        if call.attempt in runs:
            late = call.sent - revoked
            yield Violation(
                Guarantee.REVOCATION,
                f"{call.attempt} at {call.host}, sent {late:.2f} s after the revocation",
            )


def _check_stops(record: SoakRecord) -> Iterator[Violation]:
    for stop in record.planned_stops:
        for call in record.calls:
            running = call.sent < stop.start < call.ended
            cut = not call.complete and call.host == stop.name
            if not running or not cut:
                continue
            if not any(f.overlaps(call.sent, call.ended) for f in record.faults):
                yield Violation(
                    Guarantee.STOP_ABORTS_NOTHING,
                    f"{call.kind} {call.attempt} was cut at {call.host}",
                )


def _check_versions(record: SoakRecord) -> Iterator[Violation]:
    for process, versions in record.versions.items():
        if versions != sorted(versions):
            yield Violation(Guarantee.CONFIG_PERSISTS, f"{process}: {versions}")


def _check_memory(record: SoakRecord) -> Iterator[Violation]:
    for process, memory in record.memory.items():
        if memory > MEMORY_BOUND:
            detail = f"{process} took {memory / MEGABYTE:.0f} MB."
            yield Violation(Guarantee.MEMORY, detail)
