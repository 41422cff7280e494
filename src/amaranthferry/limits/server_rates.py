"""Remember the rates that servers have named for all hosts together."""

from collections.abc import Iterator

import msgspec

from ..messages import LimitWord, ServerIncarnation
from ..types import HostId, Seconds

#: Incarnations that are remembered; the oldest ones are forgotten first.
MAX_INCARNATIONS = 1_024
#: Difference in time from which on a host tells another one since when a rate is named.
MAX_EPOCH_ERROR: Seconds = 0.25


class ServerRate(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the limit that a server named last; without a rate it ended one.

    The rate has been named since `since`. The last answer with it came at `seen_at` to a
    request sent at `sent_at`, which `source` dispatched.
    """

    rate: float | None
    since: Seconds
    seen_at: Seconds
    sent_at: Seconds
    source: HostId

    def word(self, incarnation: ServerIncarnation, now: Seconds) -> LimitWord:
        """Return what other hosts are told, with ages in place of times."""
        return LimitWord(
            incarnation,
            self.rate,
            age=now - self.seen_at,
            sent_age=now - self.sent_at,
            lasting=now - self.since,
            source=self.source,
        )

    @classmethod
    def from_word(cls, word: LimitWord, now: Seconds) -> "ServerRate":
        """Return what a word from another host says, in this host's time."""
        return cls(
            rate=word.rate,
            since=now - word.lasting,
            seen_at=now - word.age,
            sent_at=now - word.sent_age,
            source=word.source,
        )


class ServerRates:
    """Remember what each incarnation named last, whoever has heard it.

    A lower limit counts at once. A higher one or the end of one counts if its request
    was sent after the last answer with the limit in force, and a limit after the end of
    one if its request was sent after the one whose answer ended it: answers that began
    before say what no longer holds.
    """

    def __init__(self) -> None:
        self._by_incarnation: dict[ServerIncarnation, ServerRate] = {}
        #: Rises with each change of a limit in force.
        self.version = 0

    def __bool__(self) -> bool:
        return bool(self._by_incarnation)

    def get(self, incarnation: ServerIncarnation) -> ServerRate | None:
        """Return what an incarnation named last, also if that ended its limit."""
        return self._by_incarnation.get(incarnation)

    def in_force(self) -> Iterator[tuple[ServerIncarnation, ServerRate]]:
        """Yield the limits in force."""
        for incarnation, known in self._by_incarnation.items():
            if known.rate is not None:
                yield incarnation, known

    def is_limited(self, incarnation: ServerIncarnation) -> bool:
        """Return whether a limit of an incarnation is in force."""
        known = self._by_incarnation.get(incarnation)
        return known is not None and known.rate is not None

    def learn(self, incarnation: ServerIncarnation, news: ServerRate) -> bool:
        """Apply what an answer says, and return whether it changes a limit."""
        known = self._by_incarnation.get(incarnation)
        if known is None:
            if news.rate is None:
                return False
        elif known.rate == news.rate:
            self._by_incarnation[incarnation] = _renewed(known, news)
            self.version += known.since > news.since + MAX_EPOCH_ERROR
            return False
        elif not _counts(known, news):
            return False
        self._by_incarnation.pop(incarnation, None)
        self._by_incarnation[incarnation] = news
        self.version += 1
        if len(self._by_incarnation) > MAX_INCARNATIONS:
            del self._by_incarnation[next(iter(self._by_incarnation))]
        return True

    def knows_better(self, incarnation: ServerIncarnation, news: ServerRate) -> bool:
        """Return whether news that this host has applied are behind what it knows."""
        known = self._by_incarnation.get(incarnation)
        if known is None:
            return False
        if known.rate != news.rate:
            return True
        return known.since < news.since - MAX_EPOCH_ERROR


def _counts(known: ServerRate, news: ServerRate) -> bool:
    """Return whether news count that differ from what is known."""
    if known.rate is None:
        return news.sent_at >= known.sent_at
    if news.rate is None or news.rate > known.rate:
        return news.sent_at >= known.seen_at
    return news.seen_at >= known.sent_at


def _renewed(known: ServerRate, news: ServerRate) -> ServerRate:
    """Return a limit that is named again; all hosts count turns from its first time."""
    latest = news if news.seen_at >= known.seen_at else known
    since = known.since
    if news.since < known.since - MAX_EPOCH_ERROR:
        since = news.since
    return msgspec.structs.replace(
        latest, since=since, sent_at=max(known.sent_at, news.sent_at)
    )
