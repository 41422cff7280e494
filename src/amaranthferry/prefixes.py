"""Track which prompt prefixes a server is likely to have in its cache."""

from collections import OrderedDict

from .types import Seconds, Tokens

SHORTEST_PREFIX_TOKENS: Tokens = 64
MAX_PREFIXES = 8_192
#: Age at which the expected tokens of a prefix have halved.
HALF_LIFE: Seconds = 600.0
#: Delay that a server's cache events may have.
EVENT_LAG: Seconds = 5.0
ACCURACY_STEP = 0.1
MIN_ACCURACY = 0.2


def prefix_tokens(level: int) -> Tokens:
    """Return the number of tokens that the prefix hash at a position covers."""
    return SHORTEST_PREFIX_TOKENS << level


class PrefixTracker:
    """Track the prefixes sent to one server, corrected by its cache events."""

    def __init__(self) -> None:
        self._sent_at: OrderedDict[int, Seconds] = OrderedDict()
        self._accuracy = 1.0

    def record_sent(self, prefixes: tuple[int, ...], now: Seconds) -> None:
        """Record that a prompt with these prefixes was sent to the server."""
        for prefix in prefixes:
            self._sent_at[prefix] = now
            self._sent_at.move_to_end(prefix)
        while len(self._sent_at) > MAX_PREFIXES:
            self._sent_at.popitem(last=False)

    def record_dropped(self, prefixes: tuple[int, ...], now: Seconds) -> None:
        """Remove dropped prefixes, unless they may have been sent since the event."""
        for prefix in prefixes:
            if self._sent_at.get(prefix, now) <= now - EVENT_LAG:
                del self._sent_at[prefix]

    def clear(self) -> None:
        """Remove all prefixes, as when the server restarts with an empty cache."""
        self._sent_at.clear()

    def cached_tokens(
        self,
        prefixes: tuple[int, ...],
        now: Seconds,
        lengths: tuple[Tokens, ...] = (),
    ) -> Tokens:
        """Return the prompt tokens that the server is expected to have cached.

        `lengths` is the number of tokens that each prefix covers, where it is known.
        """
        longest = -1
        for level, prefix in enumerate(prefixes):
            if prefix not in self._sent_at:
                break
            longest = level
        if longest < 0:
            return 0
        age = max(0.0, now - self._sent_at[prefixes[longest]])
        confidence = self._accuracy * 0.5 ** (age / HALF_LIFE)
        tokens = lengths[longest] if lengths else prefix_tokens(longest)
        return int(tokens * confidence)

    def observe(self, expected: Tokens, found: Tokens) -> None:
        """Update the accuracy with the cached tokens that a server found."""
        if expected <= 0:
            return
        hit = min(1.0, found / expected)
        self._accuracy = max(
            MIN_ACCURACY, self._accuracy + ACCURACY_STEP * (hit - self._accuracy)
        )
