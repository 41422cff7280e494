"""Count requests that a shard shed while it served work of lower tiers."""

from bisect import bisect_left
from collections.abc import Iterable

from .bench_simulation import Record
from .types import Seconds


def count_inversions(records: Iterable[Record], *, rank: int = 0) -> int:
    """Count requests of a tier shed while lower tiers waited or were admitted.

    A request is shed when it leaves the shard without having been admitted. It
    counts if, at that time, work of a lower tier was waiting, or if such work was
    admitted between the arrival and the deadline of the request.
    """
    all_records = tuple(records)
    lower = tuple(r for r in all_records if r.arrival.tier_rank > rank)
    admissions = sorted(r.admitted for r in lower if r.admitted is not None)
    same_tier = (r for r in all_records if r.arrival.tier_rank == rank)
    shed = (r for r in same_tier if r.admitted is None)
    return sum(1 for r in shed if _inverted(r, lower, admissions))


def _inverted(
    higher: Record, lower: tuple[Record, ...], admissions: list[Seconds]
) -> bool:
    if higher.dropped is None:
        return False
    position = bisect_left(admissions, higher.arrival.at)
    if position < len(admissions) and admissions[position] <= higher.arrival.deadline:
        return True
    return any(_is_waiting(record, higher.dropped) for record in lower)


def _is_waiting(record: Record, at: Seconds) -> bool:
    ends = [end for end in (record.admitted, record.dropped) if end is not None]
    return record.arrival.at <= at < min(ends, default=float("inf"))
