"""Publish an engine's load and cache events with a lag, as real engines do."""

from collections import deque

import msgspec

from ..types import Seconds, Tokens
from .batch import CacheChange

_MAX_REPORTS = 10_000


class LoadSample(msgspec.Struct, frozen=True):
    """Represent the load at one moment; `age` in seconds."""

    running: int = 0
    waiting: int = 0
    kv_tokens: Tokens = 0
    age: Seconds = 0.0


class LoadLog:
    """Report the load with a fixed lag."""

    def __init__(self, lag: Seconds) -> None:
        self.lag = lag
        self._samples: deque[tuple[Seconds, LoadSample]] = deque(maxlen=_MAX_REPORTS)
        self._published = LoadSample()

    def record(
        self, now: Seconds, running: int, waiting: int, kv_tokens: Tokens
    ) -> None:
        """Record the current load."""
        self._samples.append((now, LoadSample(running, waiting, kv_tokens, self.lag)))

    def report(self, now: Seconds) -> LoadSample:
        """Return the newest sample that is at least `lag` old."""
        while self._samples and self._samples[0][0] <= now - self.lag:
            self._published = self._samples.popleft()[1]
        return self._published


class CacheEvent(msgspec.Struct, frozen=True):
    """Represent a published cache event with its sequence number."""

    seq: int
    stored: tuple[int, ...]
    dropped: tuple[int, ...]


class CacheEventLog:
    """Publish cache events after a lag; drop every nth one (0 drops none)."""

    def __init__(self, lag: Seconds, drop_every_nth: int) -> None:
        self.lag = lag
        self.drop_every_nth = drop_every_nth
        self._last_seq = 0
        self._events: deque[tuple[Seconds, CacheEvent]] = deque(maxlen=_MAX_REPORTS)

    def record(self, now: Seconds, change: CacheChange) -> None:
        """Number an event, and store it unless it is to be dropped."""
        self._last_seq += 1
        if self.drop_every_nth and self._last_seq % self.drop_every_nth == 0:
            return
        event = CacheEvent(self._last_seq, change.stored, change.dropped)
        self._events.append((now, event))

    def after(self, seq: int, now: Seconds) -> list[CacheEvent]:
        """Return the published events with a greater sequence number."""
        due = now - self.lag
        return [event for at, event in self._events if event.seq > seq and at <= due]
