"""Measure what each kind of work earns and how evenly it is served.

An answer earns the worth of its size if its first token is within the objective,
counted from the caller's first attempt, and a fraction of it if it is later.
"""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from .bench_simulation import Record, RequestStatus
from .forecast import Level
from .types import ClassId, WorkspaceId

#: What a late answer earns of its worth.
LATE_SHARE = 0.3
#: Part of an answer's worth that doesn't depend on its size.
FIXED_WORTH = 0.3
MAX_RELATIVE_WORTH = 4.0
OUTPUT_TOKEN_SIZE = 10
LARGE_FRACTION = 0.1


class KindResult(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the fractions of one kind's requests and of their worth.

    `large_served` is the fraction of the largest tenth that was served.
    """

    level: Level
    sent: int
    in_time: float
    late: float
    earned: float
    large_served: float

    @property
    def served(self) -> float:
        """Return the fraction of the requests that were served."""
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
    mean = sum(map(_size, records)) / sent
    worth = [
        min(MAX_RELATIVE_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * _size(r) / mean)
        for r in records
    ]
    shares = [earned_share(record) for record in records]
    large = sorted(records, key=_size)[-max(1, int(sent * LARGE_FRACTION)) :]
    return KindResult(
        level=(arrival.tier_rank, arrival.class_rank),
        sent=sent,
        in_time=sum(share == 1.0 for share in shares) / sent,
        late=sum(share == LATE_SHARE for share in shares) / sent,
        earned=sum(w * s for w, s in zip(worth, shares, strict=True)) / sum(worth),
        large_served=sum(map(_is_served, large)) / len(large),
    )


def measure_workspaces(records: Iterable[Record]) -> dict[WorkspaceId, float]:
    """Return the fraction served of each workspace's requests that have an objective."""
    served: defaultdict[WorkspaceId, list[bool]] = defaultdict(list)
    for record in records:
        if record.arrival.objective:
            served[record.arrival.workspace].append(_is_served(record))
    return {name: sum(served[name]) / len(served[name]) for name in sorted(served)}


def earned_share(record: Record) -> float:
    """Return what a request earned, as a fraction of its worth."""
    if not _is_served(record):
        return 0.0
    assert record.job is not None and record.job.first_token is not None
    due = record.arrival.at + record.arrival.objective
    return 1.0 if record.job.first_token <= due else LATE_SHARE


def _is_served(record: Record) -> bool:
    return record.status is RequestStatus.DONE


def _size(record: Record) -> int:
    arrival = record.arrival
    return arrival.prompt_tokens + OUTPUT_TOKEN_SIZE * arrival.output_tokens
