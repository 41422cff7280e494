"""Measure what the callers of each kind of work get, and how evenly it is served."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from .bench_simulation import Record, RequestStatus
from .forecast import Level
from .types import ClassId, WorkspaceId

OUTPUT_TOKEN_SIZE = 10
LARGE_FRACTION = 0.1


class KindResult(msgspec.Struct, frozen=True, kw_only=True):
    """Describe fractions of one kind's requests.

    Those answered by their deadlines are `in_time` if the first token came within the
    objective, counted from the caller's first attempt, and `late` otherwise.
    `large_served` is the fraction of the largest tenth that was answered.
    """

    level: Level
    sent: int
    in_time: float
    late: float
    large_served: float

    @property
    def served(self) -> float:
        """Return the fraction of the requests that were answered by their deadlines."""
        return self.in_time + self.late


def measure_kinds(records: Iterable[Record]) -> dict[ClassId, KindResult]:
    """Return the results of the kinds of work that have an objective."""
    kinds: defaultdict[ClassId, list[Record]] = defaultdict(list)
    for record in records:
        if record.arrival.objective:
            kinds[record.arrival.work_class].append(record)
    return {kind: _measure(kinds[kind]) for kind in sorted(kinds)}


def _measure(records: list[Record]) -> KindResult:
    arrival = records[0].arrival
    sent = len(records)
    served = sum(map(_is_served, records))
    in_time = sum(map(_is_in_time, records))
    large = sorted(records, key=_size)[-max(1, int(sent * LARGE_FRACTION)) :]
    return KindResult(
        level=(arrival.tier_rank, arrival.class_rank),
        sent=sent,
        in_time=in_time / sent,
        late=(served - in_time) / sent,
        large_served=sum(map(_is_served, large)) / len(large),
    )


def measure_workspaces(records: Iterable[Record]) -> dict[WorkspaceId, float]:
    """Return the fraction served of each workspace's requests that have an objective."""
    served: defaultdict[WorkspaceId, list[bool]] = defaultdict(list)
    for record in records:
        if record.arrival.objective:
            served[record.arrival.workspace].append(_is_served(record))
    return {name: sum(served[name]) / len(served[name]) for name in sorted(served)}


def _is_served(record: Record) -> bool:
    return record.status is RequestStatus.DONE


def _is_in_time(record: Record) -> bool:
    if not _is_served(record):
        return False
    assert record.job is not None and record.job.first_token is not None
    return record.job.first_token <= record.arrival.at + record.arrival.objective


def _size(record: Record) -> int:
    arrival = record.arrival
    return arrival.prompt_tokens + OUTPUT_TOKEN_SIZE * arrival.output_tokens
