"""Keep the ends of servers as evidence about subjects, and merge it between hosts.

Records only grow, and merging them gives the same result in any order and any number of
times.
"""

import math
from collections.abc import Collection, Iterable

import msgspec

from ..messages import AccusingEnd, ServerIncarnation, SubjectId, SubjectRecord
from ..types import RequestDigest, RequestId, Seconds, SubjectKind
from .subjects import CLEAR, SubjectState

#: Ends closer together than this count once, since they may have a common cause.
COMMON_CAUSE_TIME: Seconds = 0.1
#: How far a time that another host reported may be off.
TIME_ERROR: Seconds = 0.02
#: Times after which a held subject is tried again, each from the previous trial.
TRIAL_DELAYS: tuple[Seconds, ...] = (60.0, 300.0, 1_500.0)
MAX_ENDS = 16
MAX_COMPANIONS = 16

Ends = dict[ServerIncarnation, "End"]


class End(msgspec.Struct):
    """Represent the end of one server as evidence about one subject.

    The fields are those of `AccusingEnd`, with a time instead of an age.
    """

    request_id: RequestId
    at: Seconds
    alone: bool
    familiar: bool
    companions: frozenset[int]
    acquitted: bool = False
    ran_for: Seconds = 0.0
    request: RequestDigest = RequestDigest(0)

    @property
    def began_at(self) -> Seconds:
        """Return when the request was sent to the server."""
        return self.at - self.ran_for

    @property
    def source(self) -> str | int:
        """Return what tells this request from others, whether it came again or not."""
        return self.request or self.request_id


class Record(msgspec.Struct):
    """Represent the evidence about one subject, and what follows from it."""

    ends: Ends = {}
    trials: int = 0
    tried_at: Seconds = 0.0
    state: SubjectState = CLEAR
    #: When the state began.
    since: Seconds = 0.0
    #: Subjects that are held only together with this one.
    group: frozenset[int] = frozenset()

    def accusing(self, explained: Collection[ServerIncarnation] = ()) -> Ends:
        """Return the ends that no sound answer or other cause accounts for."""
        return {
            incarnation: end
            for incarnation, end in self.ends.items()
            if not end.acquitted and incarnation not in explained
        }

    def next_trial_at(self) -> Seconds | None:
        """Return when the subject, if it is held, is tried again."""
        if self.trials >= len(TRIAL_DELAYS):
            return None
        began = self.tried_at if self.trials else self.since
        return began + TRIAL_DELAYS[self.trials]

    def is_familiar(self) -> bool:
        """Return whether the subject had sound answers shortly before an end."""
        return any(end.familiar for end in self.accusing().values())

    def sources(self) -> set[str | int]:
        """Return what tells the accusing requests apart."""
        return {end.source for end in self.accusing().values()}

    def companions(self) -> frozenset[int]:
        """Return the other parts that stood in every accusing request."""
        ends = self.accusing().values()
        if not ends:
            return frozenset()
        return frozenset.intersection(*(end.companions for end in ends))

    def add(self, incarnation: ServerIncarnation, end: End) -> bool:
        """Merge an end into the record; return whether this changed it."""
        known = self.ends.get(incarnation)
        if known is None:
            self.ends[incarnation] = end
            while len(self.ends) > MAX_ENDS:
                del self.ends[self._least_useful()]
            return incarnation in self.ends
        same = known.request == end.request
        merged = End(
            request_id=min(known.request_id, end.request_id),
            at=min(known.at, end.at),
            alone=known.alone or end.alone,
            familiar=known.familiar or end.familiar,
            companions=known.companions & end.companions,
            acquitted=known.acquitted or end.acquitted,
            ran_for=max(known.ran_for, end.ran_for),
            request=known.request if same else RequestDigest(0),
        )
        self.ends[incarnation] = merged
        # Times differ between hosts by the age of their messages.
        return merged != msgspec.structs.replace(known, at=merged.at)

    def _least_useful(self) -> ServerIncarnation:
        """Return the end to forget: an acquitted one, or else the newest."""

        def usefulness(item: tuple[ServerIncarnation, End]) -> tuple[bool, Seconds]:
            _, end = item
            return (not end.acquitted, end.at if end.acquitted else -end.at)

        return min(self.ends.items(), key=usefulness)[0]

    def to_message(self, subject: SubjectId, now: Seconds) -> SubjectRecord:
        """Return the record for other hosts."""
        ends = tuple(
            AccusingEnd(
                incarnation=incarnation,
                request_id=end.request_id,
                age=max(0.0, now - end.at),
                alone=end.alone,
                familiar=end.familiar,
                acquitted=end.acquitted,
                companions=tuple(sorted(end.companions)),
                ran_for=end.ran_for,
                request=end.request,
            )
            for incarnation, end in self.ends.items()
        )
        trial_age = now - self.tried_at if self.trials else 0.0
        return SubjectRecord(subject, ends, self.trials, trial_age)


class PartEvidence(Record):
    """Represent the evidence about a part of prompts."""


class RequestEvidence(Record):
    """Represent the evidence about a whole request."""


def new_record(subject: SubjectId) -> Record:
    """Return an empty record of a subject."""
    return RequestEvidence() if subject.kind is SubjectKind.REQUEST else PartEvidence()


def end_of(message: AccusingEnd, now: Seconds) -> End:
    """Return an end as another host described it."""
    return End(
        request_id=message.request_id,
        at=now - message.age,
        alone=message.alone,
        familiar=message.familiar,
        companions=frozenset(message.companions),
        acquitted=message.acquitted,
        ran_for=message.ran_for,
        request=message.request,
    )


def bounded(companions: frozenset[int]) -> frozenset[int]:
    """Return a bounded part of a set, the same one on every host."""
    return frozenset(sorted(companions)[:MAX_COMPANIONS])


def count_moments(times: Iterable[Seconds]) -> int:
    """Return the number of times that are too far apart for a common cause."""
    count, previous = 0, -math.inf
    for time in sorted(times):
        if time - previous > COMMON_CAUSE_TIME:
            count, previous = count + 1, time
    return count


def count_runs(ends: Iterable[End]) -> int:
    """Return the number of ends that can't have a common cause.

    A run that began after the end before is another trial, however soon it ended.
    """
    count, previous = 0, -math.inf
    for end in sorted(ends, key=lambda end: end.at):
        began_later = end.began_at >= previous - TIME_ERROR
        if began_later or end.at - previous > COMMON_CAUSE_TIME:
            count, previous = count + 1, end.at
    return count
