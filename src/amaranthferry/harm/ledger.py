"""Decide which prompt parts end the servers that begin an answer on them.

This answers requests that end one server after the other, at any host and no two of
them alike but for one part of their prompts. Each end accuses the parts of the requests
that may have caused it, and a sound answer acquits all parts that it was made on. Each
end has one cause, so the ends under a held part no longer accuse other parts.

Every host has the same record of each part. Records only grow, and merging them gives
the same result in any order and any number of times.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable
from enum import StrEnum

import msgspec

from ..messages import AccusingEnd, ServerIncarnation, SubjectId, SubjectRecord
from ..types import HostId, ModelId, PoolId, RequestId, Seconds

#: Time for which an answer has flowed when its prompt counts as sound.
SETTLED_TIME: Seconds = 1.0
#: Ends closer together than this count once, since they may have a common cause.
COMMON_CAUSE_TIME: Seconds = 0.1
#: Ends after which a part is held, if one of them was under a request that ran alone.
HOLD_AFTER_ENDS = 3
#: Ends after which a part is held though no request with it ran alone.
HOLD_AFTER_ANY_ENDS = 5
#: Ends after which a familiar part runs alone, and requests that end a server then,
#: after which it is held.
FAMILIAR_ENDS = 4
FAMILIAR_ALONE_ENDS = 3
#: Requests of which a held part must have been part.
MIN_REQUESTS = 2
#: Age of a sound answer up to which its parts are familiar.
FAMILIAR_AGE: Seconds = 5.0
#: Times after which a held part is tried again, each counted from the previous trial.
TRIAL_DELAYS: tuple[Seconds, ...] = (60.0, 300.0, 1_500.0)
#: Time after which an end without consequence is forgotten.
END_RETENTION: Seconds = 600.0
MAX_PARTS = 512
MAX_ENDS = 16
#: Parts with a recent sound answer that a host remembers.
MAX_SOUND_PARTS = 4_096
#: Parts of one prompt that are looked at.
MAX_PROMPT_PARTS = 64
MAX_COMPANIONS = 16


class SubjectState(StrEnum):
    """Represent what is believed of a prompt part."""

    CLEAR = "clear"
    SUSPECTED = "suspected"
    HELD = "held"


CLEAR, SUSPECTED, HELD = SubjectState


class Prompt(msgspec.Struct, frozen=True):
    """Describe the parts of a prompt that others may share, and where it runs."""

    pool: PoolId
    model: ModelId
    parts: tuple[int, ...]

    def ids(self, version: str) -> list[SubjectId]:
        """Return the ids of the parts at servers of one version."""
        return [SubjectId(self.pool, self.model, version, part) for part in self.parts]


def shared_parts(
    prefixes: tuple[int, ...], lengths: tuple[int, ...]
) -> tuple[int, ...]:
    """Return the parts of a prompt that other prompts may share.

    Where the lengths of the parts are known, the last part is the request's own.
    """
    shared = prefixes[:-1] if lengths else prefixes
    return shared[:MAX_PROMPT_PARTS]


class _End(msgspec.Struct):
    """Represent the end of one server as evidence about one part.

    `alone` tells whether the part was suspected and ran once at a time, `familiar`
    whether it had a sound answer shortly before, and `companions` are the other parts
    of all requests with it at that server.
    """

    request_id: RequestId
    at: Seconds
    alone: bool
    familiar: bool
    companions: frozenset[int]
    acquitted: bool = False


class _Part(msgspec.Struct):
    """Represent the evidence about one part, and what follows from it."""

    ends: dict[ServerIncarnation, _End] = {}
    trials: int = 0
    tried_at: Seconds = 0.0
    state: SubjectState = CLEAR
    #: When the state began.
    since: Seconds = 0.0
    #: Parts that are held only together with this one.
    group: frozenset[int] = frozenset()

    def accusing(
        self, explained: Collection[ServerIncarnation] = ()
    ) -> dict[ServerIncarnation, _End]:
        """Return the ends that no sound answer or other cause accounts for."""
        return {
            incarnation: end
            for incarnation, end in self.ends.items()
            if not end.acquitted and incarnation not in explained
        }

    def next_trial_at(self) -> Seconds | None:
        """Return when the part, if it is held, is tried again."""
        if self.trials >= len(TRIAL_DELAYS):
            return None
        began = self.tried_at if self.trials else self.since
        return began + TRIAL_DELAYS[self.trials]

    def is_familiar(self) -> bool:
        """Return whether the part had sound answers shortly before an end."""
        return any(end.familiar for end in self.accusing().values())

    def companions(self) -> frozenset[int]:
        """Return the other parts that stood in every accusing request."""
        ends = self.accusing().values()
        if not ends:
            return frozenset()
        return frozenset.intersection(*(end.companions for end in ends))

    def judge(self, explained: Collection[ServerIncarnation]) -> SubjectState:
        """Return the state that the unexplained ends lead to."""
        ends = self.accusing(explained).values()
        if not ends:
            return CLEAR
        if len({end.request_id for end in ends}) < MIN_REQUESTS:
            return SUSPECTED
        alone = {end.request_id: end.at for end in ends if end.alone}
        if self.is_familiar():
            # A second run of one request says little about what many others share.
            count = _count_moments(alone.values())
            return HELD if count >= FAMILIAR_ALONE_ENDS else SUSPECTED
        needed = HOLD_AFTER_ENDS if alone else HOLD_AFTER_ANY_ENDS
        count = _count_moments(end.at for end in ends)
        return HELD if count >= needed else SUSPECTED


def _count_moments(times: Iterable[Seconds]) -> int:
    """Return the number of times that are too far apart for a common cause."""
    count, previous = 0, -math.inf
    for time in sorted(times):
        if time - previous > COMMON_CAUSE_TIME:
            count, previous = count + 1, time
    return count


class SubjectChange(msgspec.Struct, frozen=True):
    """Describe a change of what is believed of a part.

    `lasted` is the time for which the state before lasted, and `source` is the host
    that the deciding evidence came from.
    """

    part: SubjectId
    state: SubjectState
    before: SubjectState
    ends: int
    requests: int
    lasted: Seconds
    source: HostId


class Hold(msgspec.Struct, frozen=True):
    """Describe why a prompt is held."""

    part: SubjectId
    ends: int
    age: Seconds
    trials: int


class HeldSubject(msgspec.Struct, frozen=True):
    """Describe a held part to operators; times are in seconds.

    `together_with` are parts without which it isn't held, and `next_trial` is None if
    it is not tried again.
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


class HarmLedger:
    """Track the parts that servers ended under, as one host knows them."""

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._parts: dict[SubjectId, _Part] = {}
        self._held = 0
        #: How many records accuse a part, by its hash.
        self._accused: Counter[int] = Counter()
        self._sound_at: OrderedDict[SubjectId, Seconds] = OrderedDict()
        self._changes: list[SubjectChange] = []
        self._unsent: dict[SubjectId, None] = {}
        #: Whether this host knows what the others knew when it started.
        self.informed = True

    def __len__(self) -> int:
        return len(self._parts)

    def count(self, state: SubjectState) -> int:
        """Return the number of parts in a state."""
        if state is HELD:
            return self._held
        return sum(record.state is state for record in self._parts.values())

    # Evidence.

    def accuse(
        self,
        prompt: Prompt,
        incarnation: ServerIncarnation,
        version: str,
        *,
        request_id: RequestId,
        alone: Collection[int],
        familiar: Collection[int],
        now: Seconds,
    ) -> None:
        """Record that a server ended under a request whose answer had just begun.

        Some parts of the request were already suspected and ran alone, and some were
        familiar to the coordinator that placed it.
        """
        parts = frozenset(prompt.parts)
        for part in prompt.ids(version):
            record = self._parts.setdefault(part, _Part())
            end = _End(
                request_id=request_id,
                at=now,
                alone=part.hash in alone,
                familiar=part.hash in familiar or self._is_familiar(part, now),
                companions=_bounded(parts - {part.hash}),
            )
            if _add_end(record, incarnation, end):
                self._unsent[part] = None
        self._judge(now, self._host)

    def record_sound(self, prompt: Prompt, version: str, now: Seconds) -> None:
        """Remember the parts of a sound answer as familiar."""
        for part in prompt.ids(version):
            self._sound_at[part] = now
            self._sound_at.move_to_end(part)
        while len(self._sound_at) > MAX_SOUND_PARTS:
            self._sound_at.popitem(last=False)

    def acquit(self, prompt: Prompt, version: str, now: Seconds) -> None:
        """Record that an answer on a prompt was sound."""
        self.record_sound(prompt, version, now)
        acquitted = sum(self._acquit(part) for part in prompt.ids(version))
        if acquitted:
            self._judge(now, self._host)

    def lift(self, part_hash: int, now: Seconds) -> int:
        """Acquit a part everywhere; return how many of its records accused it."""
        parts = [part for part in self._parts if part.hash == part_hash]
        count = sum(self._acquit(part) for part in parts)
        self._judge(now, self._host)
        return count

    def _acquit(self, part: SubjectId) -> bool:
        record = self._parts.get(part)
        accusing = {} if record is None else record.accusing()
        for end in accusing.values():
            end.acquitted = True
        if accusing:
            self._unsent[part] = None
        return bool(accusing)

    def _is_familiar(self, part: SubjectId, now: Seconds) -> bool:
        return now - self._sound_at.get(part, -math.inf) <= FAMILIAR_AGE

    def familiar_parts(
        self, prompt: Prompt, version: str, now: Seconds
    ) -> tuple[int, ...]:
        """Return the parts of a prompt that had a sound answer shortly before."""
        return tuple(
            part.hash for part in prompt.ids(version) if self._is_familiar(part, now)
        )

    def _judge(self, now: Seconds, source: HostId) -> None:
        """Judge all parts again, and note the changes.

        Parts that aren't familiar and have the most ends are the first to explain them.
        """
        accused = {
            part: record for part, record in self._parts.items() if record.accusing()
        }
        order = sorted(
            accused.items(),
            key=lambda item: (item[1].is_familiar(), -len(item[1].accusing())),
        )
        explained: set[ServerIncarnation] = set()
        groups: dict[SubjectId, frozenset[int]] = {}
        for part, record in order:
            if part not in groups and record.judge(explained) is HELD:
                group = self._inseparable(part, record)
                groups |= {_replace_hash(part, other): group for other in group}
                explained.update(record.accusing())
        for part, record in self._parts.items():
            record.group = groups.get(part, frozenset())
            if part in groups:
                state = HELD
            else:
                state = SUSPECTED if record.accusing(explained) else CLEAR
            self._set_state(part, record, state, now, source)

    def _inseparable(self, part: SubjectId, record: _Part) -> frozenset[int]:
        """Return a part and those that always ended servers in the same requests."""
        ends, familiar = record.accusing().keys(), record.is_familiar()
        group = {part.hash}
        for other in record.companions():
            known = self._parts.get(_replace_hash(part, other))
            if known is None or known.is_familiar() > familiar:
                continue
            if known.accusing().keys() >= ends:
                group.add(other)
        return frozenset(group)

    def _set_state(
        self,
        part: SubjectId,
        record: _Part,
        state: SubjectState,
        now: Seconds,
        source: HostId,
    ) -> None:
        before = record.state
        if state is before:
            return
        ends = record.accusing().values()
        change = SubjectChange(
            part=part,
            state=state,
            before=before,
            ends=len(ends),
            requests=len({end.request_id for end in ends}),
            lasted=now - record.since if record.since else 0.0,
            source=source,
        )
        self._changes.append(change)
        self._held += (state is HELD) - (before is HELD)
        self._accused[part.hash] += (state is not CLEAR) - (before is not CLEAR)
        if not self._accused[part.hash]:
            del self._accused[part.hash]
        if before is HELD:
            record.trials = 0
        record.state, record.since = state, now

    def take_changes(self) -> list[SubjectChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def take_unsent(self) -> list[SubjectId]:
        """Return the parts about which this host has evidence for the others."""
        if not self._unsent:
            return []
        unsent, self._unsent = list(self._unsent), {}
        return unsent

    # Decisions.

    def hold(
        self, prompt: Prompt, versions: Iterable[str], now: Seconds
    ) -> Hold | None:
        """Return why a prompt is held at all of some versions, or None."""
        hold = None
        for version in versions if self._held else ():
            hold = self.hold_at(prompt, version, now)
            if hold is None:
                return None
        return hold

    def hold_at(self, prompt: Prompt, version: str, now: Seconds) -> Hold | None:
        """Return why a prompt is held at servers of a version, or None.

        Parts that have always ended servers together are held only together.
        """
        if not self._held:
            return None
        for part in prompt.ids(version):
            record = self._parts.get(part)
            if record is None or record.state is not HELD:
                continue
            if record.group.issubset(prompt.parts):
                return Hold(
                    part=part,
                    ends=len(record.accusing()),
                    age=now - record.since,
                    trials=record.trials,
                )
        return None

    def concerns(self, prompt: Prompt) -> bool:
        """Return whether any part of a prompt is suspected or held."""
        return any(part in self._accused for part in prompt.parts)

    def suspects(self, prompt: Prompt, versions: Iterable[str]) -> frozenset[int]:
        """Return the parts of a prompt that may run only once at a time.

        Familiar parts are among them only after several ends, since many sound
        requests share them.
        """
        return frozenset(
            part.hash
            for version in versions
            for part in prompt.ids(version)
            if self._is_suspect(part)
        )

    def _is_suspect(self, part: SubjectId) -> bool:
        record = self._parts.get(part)
        if record is None or record.state is CLEAR:
            return False
        if not record.is_familiar():
            return True
        ends = record.accusing().values()
        return _count_moments(end.at for end in ends) >= FAMILIAR_ENDS

    def is_trial_due(self, part: SubjectId, now: Seconds) -> bool:
        """Return whether a held part may be tried again."""
        record = self._parts.get(part)
        if record is None or record.state is not HELD:
            return False
        trial_at = record.next_trial_at()
        return trial_at is not None and now >= trial_at

    def held_parts(self, now: Seconds) -> list[HeldSubject]:
        """Return the held parts for operators, the latest first."""
        held = [
            _describe(part, record, now)
            for part, record in self._parts.items()
            if record.state is HELD
        ]
        return sorted(held, key=lambda item: item.held_for)

    def start_trial(self, part: SubjectId, now: Seconds) -> None:
        """Record that a held part is tried again."""
        record = self._parts[part]
        record.trials += 1
        record.tried_at = now
        self._unsent[part] = None

    # Exchange with other hosts.

    def records(
        self, parts: Iterable[SubjectId], now: Seconds
    ) -> tuple[SubjectRecord, ...]:
        """Return the records of some parts for other hosts."""
        return tuple(
            _to_message(part, self._parts[part], now)
            for part in parts
            if part in self._parts
        )

    def accused(self, limit: int) -> list[SubjectId]:
        """Return the parts that aren't clear, held ones first."""
        parts = [
            part for part, record in self._parts.items() if record.state is not CLEAR
        ]
        parts.sort(key=lambda part: self._parts[part].state is not HELD)
        return parts[:limit]

    def merge(self, message: SubjectRecord, sender: HostId, now: Seconds) -> bool:
        """Merge another host's record and return whether it was news."""
        record = self._parts.setdefault(message.part, _Part())
        news = False
        for sent in message.ends:
            end = _End(
                request_id=sent.request_id,
                at=now - sent.age,
                alone=sent.alone,
                familiar=sent.familiar,
                companions=frozenset(sent.companions),
                acquitted=sent.acquitted,
            )
            news = _add_end(record, sent.incarnation, end) or news
        if news:
            self._judge(now, sender)
        if message.trials > record.trials and record.state is HELD:
            record.trials = message.trials
            record.tried_at = now - message.trial_age
            news = True
        return news

    def lacks(self, message: SubjectRecord) -> bool:
        """Return whether another host's record lacks something that is known here."""
        record = self._parts.get(message.part)
        if record is None:
            return False
        sent = {end.incarnation: end for end in message.ends}
        return message.trials < record.trials or any(
            incarnation not in sent or end.acquitted > sent[incarnation].acquitted
            for incarnation, end in record.ends.items()
        )

    # Bounds.

    def expire(self, now: Seconds) -> None:
        """Forget old evidence, but for held parts, and the least beyond the limit."""
        for record in self._parts.values():
            if record.state is not HELD:
                for incarnation, end in list(record.ends.items()):
                    if now - end.at > END_RETENTION:
                        del record.ends[incarnation]
        excess = max(0, len(self._parts) - MAX_PARTS)
        for part in sorted(self._parts, key=self._evidence)[:excess]:
            self._parts[part].ends.clear()
        self._judge(now, self._host)
        self._parts = {
            part: record for part, record in self._parts.items() if record.ends
        }

    def _evidence(self, part: SubjectId) -> tuple[bool, int, Seconds]:
        record = self._parts[part]
        newest = max((end.at for end in record.ends.values()), default=0.0)
        held = record.state is HELD
        return held, len(record.accusing()), newest


def _replace_hash(part: SubjectId, other: int) -> SubjectId:
    """Return the id of another part at the same servers."""
    return msgspec.structs.replace(part, hash=other)


def _bounded(companions: frozenset[int]) -> frozenset[int]:
    """Return a bounded part of a set, the same one on every host."""
    return frozenset(sorted(companions)[:MAX_COMPANIONS])


def _add_end(record: _Part, incarnation: ServerIncarnation, end: _End) -> bool:
    """Merge an end into a record; return whether this changed the record."""
    known = record.ends.get(incarnation)
    if known is None:
        record.ends[incarnation] = end
        while len(record.ends) > MAX_ENDS:
            del record.ends[_least_useful(record)]
        return incarnation in record.ends
    merged = _End(
        request_id=min(known.request_id, end.request_id),
        at=min(known.at, end.at),
        alone=known.alone or end.alone,
        familiar=known.familiar or end.familiar,
        companions=known.companions & end.companions,
        acquitted=known.acquitted or end.acquitted,
    )
    record.ends[incarnation] = merged
    # Times differ between hosts by the age of their messages.
    return merged != msgspec.structs.replace(known, at=merged.at)


def _least_useful(record: _Part) -> ServerIncarnation:
    """Return the end to forget: an acquitted one, or else the newest."""

    def usefulness(item: tuple[ServerIncarnation, _End]) -> tuple[bool, Seconds]:
        _, end = item
        return (not end.acquitted, end.at if end.acquitted else -end.at)

    return min(record.ends.items(), key=usefulness)[0]


def _describe(part: SubjectId, record: _Part, now: Seconds) -> HeldSubject:
    ends, trial_at = record.accusing().values(), record.next_trial_at()
    others = sorted(record.group - {part.hash})
    return HeldSubject(
        part=f"{part.hash:x}",
        pool=part.pool,
        model=part.model,
        version=part.version,
        together_with=tuple(f"{other:x}" for other in others),
        held_for=round(now - record.since, 3),
        ends=len(ends),
        requests=len({end.request_id for end in ends}),
        trials=record.trials,
        next_trial=None if trial_at is None else round(max(0.0, trial_at - now), 3),
    )


def _to_message(part: SubjectId, record: _Part, now: Seconds) -> SubjectRecord:
    ends = tuple(
        AccusingEnd(
            incarnation=incarnation,
            request_id=end.request_id,
            age=max(0.0, now - end.at),
            alone=end.alone,
            familiar=end.familiar,
            acquitted=end.acquitted,
            companions=tuple(sorted(end.companions)),
        )
        for incarnation, end in record.ends.items()
    )
    trial_age = now - record.tried_at if record.trials else 0.0
    return SubjectRecord(part, ends, record.trials, trial_age)
