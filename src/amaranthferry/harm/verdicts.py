"""Judge subjects by the ends of servers under them.

This answers requests that end one server after the other, at any host: requests that
come again as they were, and unlike ones that have a part of their prompts in common.
Each end has one cause, so the ends under a held subject no longer accuse others.
"""

from collections import defaultdict
from collections.abc import Mapping
from functools import singledispatch
from typing import Self

import msgspec

from ..messages import ServerIncarnation, SubjectId
from ..types import PoolId, RequestDigest, Seconds, SubjectKind
from .evidence import (
    Ends,
    PartEvidence,
    Record,
    RequestEvidence,
    count_moments,
    count_runs,
)
from .subjects import CLEAR, HELD, SUSPECTED, SubjectState

#: Ends after which a subject is held, if a part ran alone at one of them.
HOLD_AFTER_ENDS = 3
#: Ends after which a request is held if no other one is suspected of any of them.
HOLD_AFTER_SOLE_ENDS = 2
#: Longest run for this; a longer one is likelier to meet an end by chance.
SHORT_RUN: Seconds = 0.5
#: Ends under other requests only, up to which that is enough.
MAX_UNRELATED_ENDS = 1
#: Ends after which a part is held though no request with it ran alone.
HOLD_AFTER_ANY_ENDS = 5
#: Ends after which a familiar part runs alone, and requests that end a server then,
#: after which it is held.
FAMILIAR_ENDS = 4
FAMILIAR_ALONE_ENDS = 3
#: Requests of which a held part must have been part.
MIN_REQUESTS = 2


class _Case(msgspec.Struct):
    """Collect what is known of the ends while one subject after the other is judged."""

    #: The requests that each end accuses.
    suspects: dict[ServerIncarnation, set[SubjectId]]
    #: All ends under known requests of a service, also of those that were acquitted.
    ends: dict[PoolId, set[ServerIncarnation]]
    #: The ends that held subjects account for.
    explained: set[ServerIncarnation] = set()
    #: Those of them that held parts account for.
    by_parts: set[ServerIncarnation] = set()
    #: The held requests that account for ends.
    by_requests: dict[ServerIncarnation, RequestDigest] = {}

    @classmethod
    def from_records(cls, records: Mapping[SubjectId, Record]) -> Self:
        suspects: dict[ServerIncarnation, set[SubjectId]] = defaultdict(set)
        ends: dict[PoolId, set[ServerIncarnation]] = defaultdict(set)
        for subject, record in records.items():
            if subject.kind is SubjectKind.REQUEST:
                ends[subject.pool].update(record.ends)
                for incarnation in record.accusing():
                    suspects[incarnation].add(subject)
        return cls(suspects, ends)

    def close(self, subject: SubjectId, ends: Ends) -> None:
        """Explain ends by a held subject."""
        self.explained.update(ends)
        if subject.kind is SubjectKind.REQUEST:
            self.by_requests |= dict.fromkeys(ends, RequestDigest(subject.hash))
        else:
            self.by_parts.update(ends)

    def unrelated(self, record: Record, pool: PoolId) -> int:
        """Return how many servers ended under other requests only, for no known cause."""
        return len(self.ends[pool] - record.ends.keys() - self.explained)


class Verdicts(msgspec.Struct):
    """Represent what is believed of all accused subjects."""

    #: The hashes that are held only together, by held subject.
    groups: dict[SubjectId, frozenset[int]]
    states: dict[SubjectId, SubjectState]


def judge_all(records: Mapping[SubjectId, Record]) -> Verdicts:
    """Judge all subjects.

    Those that aren't familiar and have the most ends are the first to explain them, and
    a whole request before its parts.
    """
    accused = {
        subject: record for subject, record in records.items() if record.accusing()
    }
    case = _Case.from_records(records)
    groups: dict[SubjectId, frozenset[int]] = {}
    for subject in sorted(accused, key=lambda item: _order(item, accused[item])):
        record = accused[subject]
        if subject in groups:
            continue
        if _judge(record, case, subject.pool) is HELD:
            group = _inseparable(subject, record, records)
            groups |= {replace_hash(subject, other): group for other in group}
            case.close(subject, record.accusing())
    states = {
        subject: HELD
        if subject in groups
        else SUSPECTED
        if record.accusing(_explained_for(record, case))
        else CLEAR
        for subject, record in accused.items()
    }
    return Verdicts(groups, states)


def _order(subject: SubjectId, record: Record) -> tuple[bool, int, bool, int]:
    is_part = subject.kind is SubjectKind.PART
    # All hosts have to choose the same one of requests with equal evidence.
    rank = 0 if is_part else subject.hash
    return record.is_familiar(), -len(record.accusing()), is_part, rank


@singledispatch
def _explained_for(record: Record, case: _Case) -> set[ServerIncarnation]:
    """Return the ends that don't accuse a subject, since another one is the cause."""
    raise TypeError(f"Unsupported record: {type(record).__name__}.")


@_explained_for.register
def _(record: RequestEvidence, case: _Case) -> set[ServerIncarnation]:
    return case.explained


@_explained_for.register
def _(record: PartEvidence, case: _Case) -> set[ServerIncarnation]:
    """Return the ends that don't accuse a part.

    A part of several requests that ended servers may be the cause in each of them.
    """
    if len(record.sources()) < MIN_REQUESTS:
        return case.explained
    explained = set(case.by_parts)
    for incarnation, digest in case.by_requests.items():
        end = record.ends.get(incarnation)
        if end is not None and end.request != digest:
            explained.add(incarnation)
    return explained


@singledispatch
def _judge(record: Record, case: _Case, pool: PoolId) -> SubjectState:
    """Return the state that the unexplained ends lead to."""
    raise TypeError(f"Unsupported record: {type(record).__name__}.")


@_judge.register
def _(record: PartEvidence, case: _Case, pool: PoolId) -> SubjectState:
    """Judge a part by ends under several requests that have it."""
    ends = record.accusing(_explained_for(record, case)).values()
    if not ends:
        return CLEAR
    if len({end.source for end in ends}) < MIN_REQUESTS:
        return SUSPECTED
    alone = {end.request_id: end.at for end in ends if end.alone}
    if record.is_familiar():
        # A second run of one request says little about what many others share.
        count = count_moments(alone.values())
        return HELD if count >= FAMILIAR_ALONE_ENDS else SUSPECTED
    needed = HOLD_AFTER_ENDS if alone else HOLD_AFTER_ANY_ENDS
    count = count_moments(end.at for end in ends)
    return HELD if count >= needed else SUSPECTED


@_judge.register
def _(record: RequestEvidence, case: _Case, pool: PoolId) -> SubjectState:
    """Judge a request by its runs, and by what else is suspected of their ends."""
    accusing = record.accusing(_explained_for(record, case))
    if not accusing:
        return CLEAR
    # A request that was answered shortly before doesn't end each server.
    ends = {
        incarnation: end for incarnation, end in accusing.items() if not end.familiar
    }
    if count_runs(ends.values()) >= HOLD_AFTER_ENDS:
        return HELD
    sole = [
        end
        for incarnation, end in ends.items()
        if len(case.suspects[incarnation]) == 1 and end.ran_for <= SHORT_RUN
    ]
    if count_runs(sole) < HOLD_AFTER_SOLE_ENDS:
        return SUSPECTED
    # Where servers end for other reasons too, two ends may be a coincidence.
    return HELD if case.unrelated(record, pool) <= MAX_UNRELATED_ENDS else SUSPECTED


def _inseparable(
    subject: SubjectId, record: Record, records: Mapping[SubjectId, Record]
) -> frozenset[int]:
    """Return a subject and those that always ended servers in the same requests."""
    ends, familiar = record.accusing().keys(), record.is_familiar()
    group = {subject.hash}
    for other in record.companions():
        known = records.get(replace_hash(subject, other))
        if known is None or known.is_familiar() > familiar:
            continue
        if known.accusing().keys() >= ends:
            group.add(other)
    return frozenset(group)


def replace_hash(subject: SubjectId, other: int) -> SubjectId:
    """Return the id of another subject of the same kind at the same servers."""
    return msgspec.structs.replace(subject, hash=other)
