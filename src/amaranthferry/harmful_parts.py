"""Decide which prompt parts end the servers that begin an answer on them.

This answers requests that end one server after the other, at any host and no two of
them alike but for one part of their prompts. Each end accuses the parts of the requests
that may have caused it, and a sound answer acquits all parts that it was made on. A
part is suspected from its first end, and then runs once at a time; it is held when ends
that have no other common cause outnumber chance.

Every host has the same record of each part. Records only grow, and merging them gives
the same result in any order and any number of times.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from enum import StrEnum

import msgspec

from .messages import AccusingEnd, PartId, PartRecord, ServerIncarnation
from .types import HostId, ModelId, PoolId, RequestId, Seconds

#: Time for which an answer has flowed when its prompt counts as sound.
SETTLED_TIME: Seconds = 1.0
#: Ends closer together than this count once, since they may have a common cause.
COMMON_CAUSE_TIME: Seconds = 0.1
#: Ends after which a part is held, if it was already suspected at one of them.
HOLD_AFTER_ENDS = 3
#: Ends after which a part is held in any case.
HOLD_AFTER_ANY_ENDS = 5
#: Requests of which a held part must have been part.
MIN_REQUESTS = 2
#: Time for which a sound answer before an end keeps a part from running once at a time.
RECENTLY_SOUND: Seconds = 5.0
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


class PartState(StrEnum):
    """Represent what is believed of a prompt part."""

    CLEAR = "clear"
    SUSPECTED = "suspected"
    HELD = "held"


CLEAR, SUSPECTED, HELD = PartState


class Prompt(msgspec.Struct, frozen=True):
    """Describe the parts of a prompt that others may share, and where it runs."""

    pool: PoolId
    model: ModelId
    parts: tuple[int, ...]

    def ids(self, version: str) -> list[PartId]:
        """Return the ids of the parts at servers of one version."""
        return [PartId(self.pool, self.model, version, part) for part in self.parts]


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

    `suspected` tells whether the request was sent when the part was already suspected,
    and `companions` are the other parts of all requests with it at that server.
    """

    request_id: RequestId
    at: Seconds
    suspected: bool
    companions: frozenset[int]
    acquitted: bool = False


class _Part(msgspec.Struct):
    """Represent the evidence about one part."""

    ends: dict[ServerIncarnation, _End] = {}
    trials: int = 0
    tried_at: Seconds = 0.0
    state: PartState = CLEAR
    #: When the state began.
    since: Seconds = 0.0

    def accusing(self) -> list[_End]:
        """Return the ends that no sound answer has acquitted the part of, by time."""
        ends = (end for end in self.ends.values() if not end.acquitted)
        return sorted(ends, key=lambda end: end.at)

    def companions(self) -> frozenset[int]:
        """Return the other parts that stood in every accusing request."""
        ends = self.accusing()
        if not ends:
            return frozenset()
        return frozenset.intersection(*(end.companions for end in ends))

    def judge(self) -> PartState:
        """Return the state that the evidence leads to."""
        ends = self.accusing()
        if not ends:
            return CLEAR
        moments, previous = 0, None
        for end in ends:
            if previous is None or end.at - previous > COMMON_CAUSE_TIME:
                moments += 1
                previous = end.at
        confirmed = any(end.suspected for end in ends)
        needed = HOLD_AFTER_ENDS if confirmed else HOLD_AFTER_ANY_ENDS
        requests = len({end.request_id for end in ends})
        if moments >= needed and requests >= MIN_REQUESTS:
            return HELD
        return SUSPECTED


class Change(msgspec.Struct, frozen=True):
    """Describe a change of what is believed of a part.

    `lasted` is the time for which the state before lasted, and `source` is the host
    that the deciding evidence came from.
    """

    part: PartId
    state: PartState
    before: PartState
    ends: int
    requests: int
    lasted: Seconds
    source: HostId


class Hold(msgspec.Struct, frozen=True):
    """Describe why a prompt is held."""

    part: PartId
    ends: int
    age: Seconds
    trials: int


class HarmfulParts:
    """Track the parts that servers ended under, as one host knows them."""

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._parts: dict[PartId, _Part] = {}
        self._held = 0
        #: How many records accuse a part, by its hash.
        self._accused: Counter[int] = Counter()
        self._sound_at: OrderedDict[PartId, Seconds] = OrderedDict()
        self._changes: list[Change] = []
        self._unsent: dict[PartId, None] = {}

    def __len__(self) -> int:
        return len(self._parts)

    def count(self, state: PartState) -> int:
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
        sent_at: Seconds,
        now: Seconds,
    ) -> None:
        """Record that a server ended under a request whose answer had just begun."""
        parts = frozenset(prompt.parts)
        for part in prompt.ids(version):
            record = self._parts.setdefault(part, _Part())
            accusing = record.accusing()
            end = _End(
                request_id=request_id,
                at=now,
                suspected=bool(accusing) and accusing[0].at < sent_at,
                companions=_bounded(parts - {part.hash}),
            )
            if _add_end(record, incarnation, end):
                self._unsent[part] = None
            self._update(part, record, now, self._host)

    def acquit(self, prompt: Prompt, version: str, now: Seconds) -> None:
        """Record that an answer on a prompt was sound."""
        for part in prompt.ids(version):
            self._sound_at[part] = now
            self._sound_at.move_to_end(part)
            self._acquit(part, now)
        while len(self._sound_at) > MAX_SOUND_PARTS:
            self._sound_at.popitem(last=False)

    def lift(self, part_hash: int, now: Seconds) -> int:
        """Acquit a part everywhere; return how many of its records accused it."""
        parts = [part for part in self._parts if part.hash == part_hash]
        return sum(self._acquit(part, now) for part in parts)

    def _acquit(self, part: PartId, now: Seconds) -> bool:
        record = self._parts.get(part)
        accusing = [] if record is None else record.accusing()
        if record is None or not accusing:
            return False
        for end in accusing:
            end.acquitted = True
        self._unsent[part] = None
        self._update(part, record, now, self._host)
        return True

    def _update(
        self, part: PartId, record: _Part, now: Seconds, source: HostId
    ) -> None:
        """Judge a part again, and note the change if its state differs."""
        before, state = record.state, record.judge()
        if state is CLEAR:
            record.trials = 0
        if state is before:
            return
        accusing = record.accusing()
        change = Change(
            part=part,
            state=state,
            before=before,
            ends=len(accusing),
            requests=len({end.request_id for end in accusing}),
            lasted=now - record.since if record.since else 0.0,
            source=source,
        )
        self._changes.append(change)
        self._held += (state is HELD) - (before is HELD)
        self._accused[part.hash] += (state is not CLEAR) - (before is not CLEAR)
        if not self._accused[part.hash]:
            del self._accused[part.hash]
        record.state, record.since = state, now

    def take_changes(self) -> list[Change]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def take_unsent(self) -> list[PartId]:
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
        parts = frozenset(prompt.parts)
        for part in prompt.ids(version):
            record = self._parts.get(part)
            if record is None or record.state is not HELD:
                continue
            if self._inseparable(part, record) <= parts:
                return Hold(
                    part=part,
                    ends=len(record.accusing()),
                    age=now - record.since,
                    trials=record.trials,
                )
        return None

    def _inseparable(self, part: PartId, record: _Part) -> frozenset[int]:
        return frozenset(
            other
            for other in record.companions()
            if self._state(PartId(part.pool, part.model, part.version, other)) is HELD
        )

    def _state(self, part: PartId) -> PartState:
        record = self._parts.get(part)
        return CLEAR if record is None else record.state

    def concerns(self, prompt: Prompt) -> bool:
        """Return whether any part of a prompt is suspected or held."""
        return any(part in self._accused for part in prompt.parts)

    def suspects(self, prompt: Prompt, versions: Iterable[str]) -> frozenset[int]:
        """Return the parts of a prompt that may run only once at a time.

        A part that had sound answers until shortly before its only end isn't among
        them: it is one that many sound requests share.
        """
        return frozenset(
            part.hash
            for version in versions
            for part in prompt.ids(version)
            if self._is_suspect(part)
        )

    def _is_suspect(self, part: PartId) -> bool:
        if self._state(part) is CLEAR:
            return False
        accusing = self._parts[part].accusing()
        sound_at = self._sound_at.get(part)
        if len(accusing) > 1 or sound_at is None:
            return True
        return accusing[0].at - sound_at > RECENTLY_SOUND

    def is_trial_due(self, part: PartId, now: Seconds) -> bool:
        """Return whether a held part may be tried again."""
        record = self._parts.get(part)
        if record is None or record.trials >= len(TRIAL_DELAYS):
            return False
        began = record.tried_at if record.trials else record.since
        return now - began >= TRIAL_DELAYS[record.trials]

    def start_trial(self, part: PartId, now: Seconds) -> None:
        """Record that a held part is tried again."""
        record = self._parts[part]
        record.trials += 1
        record.tried_at = now
        self._unsent[part] = None

    # Exchange with other hosts.

    def records(self, parts: Iterable[PartId], now: Seconds) -> tuple[PartRecord, ...]:
        """Return the records of some parts for other hosts."""
        return tuple(
            _to_message(part, self._parts[part], now)
            for part in parts
            if part in self._parts
        )

    def accused(self, limit: int) -> list[PartId]:
        """Return the parts that aren't clear, held ones first."""
        parts = [
            part for part, record in self._parts.items() if record.state is not CLEAR
        ]
        parts.sort(key=lambda part: self._parts[part].state is not HELD)
        return parts[:limit]

    def merge(self, message: PartRecord, sender: HostId, now: Seconds) -> bool:
        """Merge another host's record and return whether it was news."""
        record = self._parts.setdefault(message.part, _Part())
        news = False
        for sent in message.ends:
            end = _End(
                request_id=sent.request_id,
                at=now - sent.age,
                suspected=sent.suspected,
                companions=frozenset(sent.companions),
                acquitted=sent.acquitted,
            )
            news = _add_end(record, sent.incarnation, end) or news
        if message.trials > record.trials and record.judge() is not CLEAR:
            record.trials = message.trials
            record.tried_at = now - message.trial_age
            news = True
        self._update(message.part, record, now, sender)
        return news

    def lacks(self, message: PartRecord) -> bool:
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
        for part, record in list(self._parts.items()):
            if record.state is not HELD:
                for incarnation, end in list(record.ends.items()):
                    if now - end.at > END_RETENTION:
                        del record.ends[incarnation]
                self._update(part, record, now, self._host)
                if not record.ends:
                    del self._parts[part]
        excess = max(0, len(self._parts) - MAX_PARTS)
        for part in sorted(self._parts, key=self._evidence)[:excess]:
            record = self._parts.pop(part)
            record.ends.clear()
            self._update(part, record, now, self._host)

    def _evidence(self, part: PartId) -> tuple[bool, int, Seconds]:
        record = self._parts[part]
        newest = max((end.at for end in record.ends.values()), default=0.0)
        held = record.state is HELD
        return held, len(record.accusing()), newest


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
        suspected=known.suspected or end.suspected,
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


def _to_message(part: PartId, record: _Part, now: Seconds) -> PartRecord:
    ends = tuple(
        AccusingEnd(
            incarnation=incarnation,
            request_id=end.request_id,
            age=max(0.0, now - end.at),
            suspected=end.suspected,
            acquitted=end.acquitted,
            companions=tuple(sorted(end.companions)),
        )
        for incarnation, end in record.ends.items()
    )
    trial_age = now - record.tried_at if record.trials else 0.0
    return PartRecord(part, ends, record.trials, trial_age)
