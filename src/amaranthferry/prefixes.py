"""Remember which prompt prefixes each server is likely to hold."""

from collections import OrderedDict

from .types import Seconds, Tokens

SHORTEST_PREFIX_TOKENS: Tokens = 64
MAX_PREFIXES = 8_192
HALF_LIFE: Seconds = 600.0
EVENT_LAG: Seconds = 5.0
ACCURACY_STEP = 0.1
MIN_ACCURACY = 0.2


def prefix_tokens(level: int) -> Tokens:
    """Return the tokens that the prefix hash at a position stands for."""
    return SHORTEST_PREFIX_TOKENS << level


class PrefixTracker:
    """Remember one server's prefixes, those sent first and its own word second."""

    def __init__(self) -> None:
        self._sent_at: OrderedDict[int, Seconds] = OrderedDict()
        self._accuracy = 1.0

    def record_sent(self, prefixes: tuple[int, ...], now: Seconds) -> None:
        """Note that a prompt with these prefixes was sent to the server."""
        for prefix in prefixes:
            self._sent_at[prefix] = now
            self._sent_at.move_to_end(prefix)
        while len(self._sent_at) > MAX_PREFIXES:
            self._sent_at.popitem(last=False)

    def record_dropped(self, prefixes: tuple[int, ...], now: Seconds) -> None:
        """Forget prefixes, unless they were sent after the server's late word."""
        for prefix in prefixes:
            if self._sent_at.get(prefix, now) <= now - EVENT_LAG:
                del self._sent_at[prefix]

    def clear(self) -> None:
        """Forget everything, as when the server comes back empty."""
        self._sent_at.clear()

    def cached_tokens(
        self,
        prefixes: tuple[int, ...],
        now: Seconds,
        lengths: tuple[Tokens, ...] = (),
    ) -> Tokens:
        """Return the prompt tokens that the server is expected to hold.

        `lengths` says how many tokens each prefix stands for, where that is known.
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
        """Trust the memory less after a miss, and more after a hit."""
        if expected <= 0:
            return
        hit = min(1.0, found / expected)
        self._accuracy = max(
            MIN_ACCURACY, self._accuracy + ACCURACY_STEP * (hit - self._accuracy)
        )
