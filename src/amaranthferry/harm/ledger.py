"""Track what servers end under, and decide which requests that keeps from them.

Every host has the same record of each subject.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable

import msgspec

from ..messages import ServerIncarnation, SubjectId, SubjectRecord
from ..types import (
    HostId,
    ModelId,
    PoolId,
    RequestDigest,
    RequestId,
    Seconds,
    SubjectKind,
)
from .evidence import End, Record, bounded, count_moments, end_of, new_record
from .subjects import CLEAR, HELD, Subjects, SubjectState
from .verdicts import FAMILIAR_ENDS, judge_all

#: Time for which an answer has flowed when its prompt counts as sound.
SETTLED_TIME: Seconds = 1.0
#: Age of a sound answer up to which its parts are familiar.
FAMILIAR_AGE: Seconds = 5.0
#: Time after which an end without consequence is forgotten. Most requests don't come
#: again, so those that ended one server are forgotten sooner.
END_RETENTION: Seconds = 600.0
SINGLE_END_RETENTION: Seconds = 120.0
MAX_SUBJECTS = 512
#: Subjects with a recent sound answer that a host remembers.
MAX_SOUND_SUBJECTS = 4_096


class SubjectChange(msgspec.Struct, frozen=True):
    """Describe a change of what is believed of a subject.

    `lasted` is the time for which the state before lasted, and `source` is the host
    that the deciding evidence came from.
    """

    subject: SubjectId
    state: SubjectState
    before: SubjectState
    ends: int
    requests: int
    lasted: Seconds
    source: HostId


class Hold(msgspec.Struct, frozen=True):
    """Describe why a request is held."""

    subject: SubjectId
    ends: int
    age: Seconds
    trials: int


class HeldSubject(msgspec.Struct, frozen=True):
    """Describe a held subject to operators; times are in seconds.

    `part` is its hash, whatever its kind. `together_with` are parts without which it
    isn't held, and `next_trial` is None if it is not tried again.
    """

    part: str
    pool: PoolId
    model: ModelId
    version: str
    together_with: tuple[str, ...]
    held_for: Seconds
    ends: int
    requests: int
    trials: int
    next_trial: Seconds | None
    kind: SubjectKind = SubjectKind.PART


class HarmLedger:
    """Track the subjects that servers ended under, as one host knows them."""

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._records: dict[SubjectId, Record] = {}
        #: How many subjects are held, by their kind.
        self._held: Counter[SubjectKind] = Counter()
        #: How many records accuse a subject, by its hash.
        self._accused: Counter[int] = Counter()
        self._sound_at: OrderedDict[SubjectId, Seconds] = OrderedDict()
        #: When a server last answered a request to the end, by the request's digest.
        self._answered_at: OrderedDict[int, Seconds] = OrderedDict()
        self._changes: list[SubjectChange] = []
        self._unsent: dict[SubjectId, None] = {}
        #: When and from which host the evidence came that has yet to be judged.
        self._unjudged: tuple[Seconds, HostId] | None = None
        #: Whether this host knows what the others knew when it started.
        self.informed = True

    def __len__(self) -> int:
        return len(self._records)

    def count(self, state: SubjectState, kind: SubjectKind = SubjectKind.PART) -> int:
        """Return the number of subjects of a kind in a state."""
        self._judge()
        if state is HELD:
            return self._held[kind]
        return sum(
            record.state is state and subject.kind is kind
            for subject, record in self._records.items()
        )

    @property
    def holds_any(self) -> bool:
        """Return whether any subject is held."""
        self._judge()
        return self._held.total() > 0

    # Evidence.

    def accuse(
        self,
        subjects: Subjects,
        incarnation: ServerIncarnation,
        version: str,
        *,
        request_id: RequestId,
        alone: Collection[int],
        familiar: Collection[int],
        now: Seconds,
        ran_for: Seconds = 0.0,
    ) -> None:
        """Record that a server ended under a request whose answer had just begun.

        Some parts of the request were already suspected and ran alone, and some were
        familiar to the coordinator that placed it.
        """
        parts = frozenset(subjects.parts)
        for subject in subjects.ids(version):
            record = self._records.setdefault(subject, new_record(subject))
            is_part = subject.kind is SubjectKind.PART
            end = End(
                request_id=request_id,
                at=now,
                alone=subject.hash in alone,
                familiar=subject.hash in familiar or self._is_familiar(subject, now),
                companions=bounded(parts - {subject.hash} if is_part else frozenset()),
                ran_for=ran_for,
                request=subjects.request,
            )
            if record.add(incarnation, end):
                self._unsent[subject] = None
        self._unjudged = (now, self._host)

    def record_sound(self, subjects: Subjects, version: str, now: Seconds) -> None:
        """Remember the parts of a sound answer as familiar."""
        for part in subjects.part_ids(version):
            self._sound_at[part] = now
            self._sound_at.move_to_end(part)
        while len(self._sound_at) > MAX_SOUND_SUBJECTS:
            self._sound_at.popitem(last=False)

    def record_answered(self, request: RequestDigest, now: Seconds) -> None:
        """Remember a request that a server has outlived, whatever it answered."""
        self._answered_at[request] = now
        self._answered_at.move_to_end(request)
        if len(self._answered_at) > MAX_SOUND_SUBJECTS:
            self._answered_at.popitem(last=False)

    def acquit(self, subjects: Subjects, version: str, now: Seconds) -> None:
        """Record that an answer was sound, to its prompt and to the whole request."""
        self.record_sound(subjects, version, now)
        if subjects.request:
            self.record_answered(subjects.request, now)
        if not self._records:
            return
        if sum(self._acquit(subject) for subject in subjects.ids(version)):
            self._unjudged = (now, self._host)

    def acquit_request(self, subjects: Subjects, version: str, now: Seconds) -> None:
        """Record that a server has outlived a request, whatever it answered."""
        if not subjects.request:
            return
        if self._records:
            self.acquit(msgspec.structs.replace(subjects, parts=()), version, now)
        else:
            self.record_answered(subjects.request, now)

    def lift(self, subject_hash: int, now: Seconds) -> int:
        """Acquit a subject everywhere; return how many of its records accused it."""
        found = [subject for subject in self._records if subject.hash == subject_hash]
        count = sum(self._acquit(subject) for subject in found)
        self._unjudged = (now, self._host)
        return count

    def _acquit(self, subject: SubjectId) -> bool:
        record = self._records.get(subject)
        accusing = {} if record is None else record.accusing()
        for end in accusing.values():
            end.acquitted = True
        if accusing:
            self._unsent[subject] = None
        return bool(accusing)

    def _is_familiar(self, subject: SubjectId, at: Seconds) -> bool:
        if subject.kind is SubjectKind.REQUEST:
            known = self._answered_at.get(subject.hash, -math.inf)
        else:
            known = self._sound_at.get(subject, -math.inf)
        return at - known <= FAMILIAR_AGE

    def familiar_parts(
        self, subjects: Subjects, version: str, now: Seconds
    ) -> tuple[int, ...]:
        """Return the parts of a prompt that had a sound answer shortly before."""
        return tuple(
            part.hash
            for part in subjects.part_ids(version)
            if self._is_familiar(part, now)
        )

    def _judge(self) -> None:
        """Judge all subjects again if there is new evidence, and note the changes."""
        if self._unjudged is None:
            return
        now, source = self._unjudged
        self._unjudged = None
        verdicts = judge_all(self._records)
        for subject, record in self._records.items():
            record.group = verdicts.groups.get(subject, frozenset())
            state = verdicts.states.get(subject, CLEAR)
            self._set_state(subject, record, state, now, source)

    def _set_state(
        self,
        subject: SubjectId,
        record: Record,
        state: SubjectState,
        now: Seconds,
        source: HostId,
    ) -> None:
        before = record.state
        if state is before:
            return
        ends = record.accusing().values()
        change = SubjectChange(
            subject=subject,
            state=state,
            before=before,
            ends=len(ends),
            requests=len({end.request_id for end in ends}),
            lasted=now - record.since if record.since else 0.0,
            source=source,
        )
        self._changes.append(change)
        self._held[subject.kind] += (state is HELD) - (before is HELD)
        self._accused[subject.hash] += (state is not CLEAR) - (before is not CLEAR)
        if not self._accused[subject.hash]:
            del self._accused[subject.hash]
        if before is HELD:
            record.trials = 0
        record.state, record.since = state, now

    def take_changes(self) -> list[SubjectChange]:
        """Return the changes since the last call."""
        self._judge()
        changes, self._changes = self._changes, []
        return changes

    def take_unsent(self) -> list[SubjectId]:
        """Return the subjects about which this host has evidence for the others."""
        if not self._unsent:
            return []
        unsent, self._unsent = list(self._unsent), {}
        return unsent

    # Decisions.

    def hold(
        self, subjects: Subjects, versions: Iterable[str], now: Seconds
    ) -> Hold | None:
        """Return why a request is held at all of some versions, or None."""
        hold = None
        for version in versions if self.holds_any else ():
            hold = self.hold_at(subjects, version, now)
            if hold is None:
                return None
        return hold

    def hold_at(self, subjects: Subjects, version: str, now: Seconds) -> Hold | None:
        """Return why a request is held at servers of a version, or None.

        Parts that have always ended servers together are held only together.
        """
        if not self.holds_any:
            return None
        for subject in subjects.ids(version):
            record = self._records.get(subject)
            if record is None or record.state is not HELD:
                continue
            if record.group.issubset(subjects.hashes):
                return Hold(
                    subject=subject,
                    ends=len(record.accusing()),
                    age=now - record.since,
                    trials=record.trials,
                )
        return None

    def concerns(self, subjects: Subjects) -> bool:
        """Return whether any subject of a request is suspected or held."""
        self._judge()
        return bool(self._accused) and any(
            item in self._accused for item in subjects.hashes
        )

    def suspects(self, subjects: Subjects, versions: Iterable[str]) -> frozenset[int]:
        """Return the subjects of a request that may run only once at a time.

        Familiar parts are among them only after several ends, since many sound
        requests share them.
        """
        self._judge()
        return frozenset(
            subject.hash
            for version in versions
            for subject in subjects.ids(version)
            if self._is_suspect(subject)
        )

    def _is_suspect(self, subject: SubjectId) -> bool:
        record = self._records.get(subject)
        if record is None or record.state is CLEAR:
            return False
        if not record.is_familiar():
            return True
        ends = record.accusing().values()
        return count_moments(end.at for end in ends) >= FAMILIAR_ENDS

    def ends_under(self, subjects: Subjects, version: str) -> int:
        """Return how many ends accuse a whole request."""
        for subject in subjects.ids(version):
            record = self._records.get(subject)
            if record is not None and subject.kind is SubjectKind.REQUEST:
                return len(record.accusing())
        return 0

    def is_trial_due(self, subject: SubjectId, now: Seconds) -> bool:
        """Return whether a held subject may be tried again."""
        self._judge()
        record = self._records.get(subject)
        if record is None or record.state is not HELD:
            return False
        trial_at = record.next_trial_at()
        return trial_at is not None and now >= trial_at

    def held_subjects(self, now: Seconds) -> list[HeldSubject]:
        """Return the held subjects for operators, the latest first."""
        self._judge()
        held = [
            _describe(subject, record, now)
            for subject, record in self._records.items()
            if record.state is HELD
        ]
        return sorted(held, key=lambda item: item.held_for)

    def start_trial(self, subject: SubjectId, now: Seconds) -> None:
        """Record that a held subject is tried again."""
        record = self._records[subject]
        record.trials += 1
        record.tried_at = now
        self._unsent[subject] = None

    # Exchange with other hosts.

    def records(
        self, subjects: Iterable[SubjectId], now: Seconds
    ) -> tuple[SubjectRecord, ...]:
        """Return the records of some subjects for other hosts."""
        return tuple(
            self._records[subject].to_message(subject, now)
            for subject in subjects
            if subject in self._records
        )

    def accused(self, limit: int) -> list[SubjectId]:
        """Return the subjects that aren't clear, held ones and most ends first."""
        self._judge()
        found = [
            subject
            for subject, record in self._records.items()
            if record.state is not CLEAR
        ]
        found.sort(key=lambda subject: self._evidence(subject)[:2], reverse=True)
        return found[:limit]

    def merge(self, message: SubjectRecord, sender: HostId, now: Seconds) -> bool:
        """Merge another host's record and return whether it was news."""
        subject = message.subject
        record = self._records.setdefault(subject, new_record(subject))
        news = False
        for sent in message.ends:
            end = end_of(sent, now)
            if subject.kind is SubjectKind.REQUEST and not end.familiar:
                # A popular request has been answered at hosts that saw no server end.
                end.familiar = self._is_familiar(subject, end.at)
            added = record.add(sent.incarnation, end)
            if added and end.familiar > sent.familiar:
                self._unsent[subject] = None
            news = added or news
        if news:
            self._unjudged = (now, sender)
        if message.trials > record.trials:
            self._judge()
            if record.state is HELD:
                record.trials = message.trials
                record.tried_at = now - message.trial_age
                news = True
        return news

    def lacks(self, message: SubjectRecord) -> bool:
        """Return whether another host's record lacks something that is known here."""
        record = self._records.get(message.subject)
        if record is None:
            return False
        sent = {end.incarnation: end for end in message.ends}
        return message.trials < record.trials or any(
            incarnation not in sent or end.acquitted > sent[incarnation].acquitted
            for incarnation, end in record.ends.items()
        )

    # Bounds.

    def expire(self, now: Seconds, services: Collection[PoolId]) -> None:
        """Forget old evidence but of what is held, and the least beyond the limit.

        What is held of a service that is no longer configured is forgotten, too.
        """
        self._judge()
        for subject, record in self._records.items():
            if record.state is not HELD or subject.pool not in services:
                _forget_old_ends(subject, record, now)
        excess = max(0, len(self._records) - MAX_SUBJECTS)
        for subject in sorted(self._records, key=self._evidence)[:excess]:
            self._records[subject].ends.clear()
        self._unjudged = (now, self._host)
        self._judge()
        self._records = {
            subject: record for subject, record in self._records.items() if record.ends
        }

    def _evidence(self, subject: SubjectId) -> tuple[bool, int, Seconds]:
        record = self._records[subject]
        newest = max((end.at for end in record.ends.values()), default=0.0)
        held = record.state is HELD
        return held, len(record.accusing()), newest


def _forget_old_ends(subject: SubjectId, record: Record, now: Seconds) -> None:
    single = subject.kind is SubjectKind.REQUEST and len(record.accusing()) < 2
    retention = SINGLE_END_RETENTION if single else END_RETENTION
    for incarnation, end in list(record.ends.items()):
        if now - end.at > retention:
            del record.ends[incarnation]


def _describe(subject: SubjectId, record: Record, now: Seconds) -> HeldSubject:
    ends, trial_at = record.accusing().values(), record.next_trial_at()
    others = sorted(record.group - {subject.hash})
    return HeldSubject(
        part=f"{subject.hash:x}",
        pool=subject.pool,
        model=subject.model,
        version=subject.version,
        together_with=tuple(f"{other:x}" for other in others),
        held_for=round(now - record.since, 3),
        ends=len(ends),
        requests=len({end.request_id for end in ends}),
        trials=record.trials,
        next_trial=None if trial_at is None else round(max(0.0, trial_at - now), 3),
        kind=subject.kind,
    )
