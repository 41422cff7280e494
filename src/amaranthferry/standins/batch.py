"""Model an engine's continuous batch, its KV memory and its prefix cache."""

from collections import OrderedDict, deque

import msgspec

from ..tokens import prefix_tokens
from ..types import Seconds, Tokens


class Sequence(msgspec.Struct):
    """Represent a request in the batch by its token counts."""

    request_id: str
    prompt_tokens: Tokens
    output_tokens: Tokens
    prefixes: tuple[int, ...] = ()
    cached_tokens: Tokens = 0
    prefilled: Tokens = 0
    produced: Tokens = 0

    @property
    def kv_tokens(self) -> Tokens:
        """Return the KV memory that the sequence reserves, in tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def prefill_left(self) -> Tokens:
        """Return how many prompt tokens are still to be computed."""
        return self.prompt_tokens - self.cached_tokens - self.prefilled


class Step(msgspec.Struct, frozen=True):
    """Describe the work and the duration of one step of the batch."""

    duration: Seconds
    admitted: tuple[Sequence, ...]
    produced: tuple[Sequence, ...]


class CacheChange(msgspec.Struct, frozen=True):
    """Describe the prefixes that a prompt added to the cache and evicted."""

    stored: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()


class PrefixCache:
    """Cache the most recently used prompt prefixes up to a token limit."""

    def __init__(self, limit: Tokens) -> None:
        self.limit = limit
        self._costs: OrderedDict[int, Tokens] = OrderedDict()
        self._used = 0

    def longest(self, prefixes: tuple[int, ...]) -> Tokens:
        """Return the length of the longest cached prefix."""
        for index in range(len(prefixes) - 1, -1, -1):
            if prefixes[index] in self._costs:
                return prefix_tokens(index)
        return 0

    def store(self, prefixes: tuple[int, ...]) -> CacheChange:
        """Store a prompt's prefixes and evict the least recently used ones."""
        stored = []
        for index in range(len(prefixes) - 1, -1, -1):
            prefix = prefixes[index]
            if prefix in self._costs:
                self._costs.move_to_end(prefix)
                continue
            shorter = prefix_tokens(index - 1) if index else 0
            self._costs[prefix] = prefix_tokens(index) - shorter
            self._used += self._costs[prefix]
            stored.append(prefix)
        dropped = []
        while self._used > self.limit:
            prefix, cost = self._costs.popitem(last=False)
            self._used -= cost
            dropped.append(prefix)
        kept = tuple(prefix for prefix in stored if prefix in self._costs)
        return CacheChange(kept, tuple(dropped))


class Batch:
    """Admit sequences in order of arrival and share each step's token budget.

    A step spends one token of its budget on each decoding sequence and the rest
    on prefill.
    """

    def __init__(
        self,
        *,
        slots: int,
        kv_tokens: Tokens,
        cache_tokens: Tokens,
        prefill_rate: float,
        decode_interval: Seconds,
    ) -> None:
        self.slots = slots
        self.kv_tokens = kv_tokens
        self.cache = PrefixCache(cache_tokens)
        self.waiting: deque[Sequence] = deque()
        self.running: dict[str, Sequence] = {}
        self.changes: list[CacheChange] = []
        self._prefill_rate = prefill_rate
        self._decode_interval = decode_interval
        self._step_tokens = max(slots, int(prefill_rate * decode_interval))

    @property
    def kv_used(self) -> Tokens:
        """Return the KV memory that running sequences reserve, in tokens."""
        return sum(sequence.kv_tokens for sequence in self.running.values())

    @property
    def idle(self) -> bool:
        """Return whether no sequence is waiting or running."""
        return not self.waiting and not self.running

    def add(self, sequence: Sequence) -> None:
        """Append a sequence to the queue."""
        self.waiting.append(sequence)

    def remove(self, request_id: str) -> None:
        """Remove a waiting or running sequence."""
        self.running.pop(request_id, None)
        kept = (item for item in self.waiting if item.request_id != request_id)
        self.waiting = deque(kept)

    def clear(self) -> None:
        """Remove every sequence."""
        self.running.clear()
        self.waiting.clear()

    def step(self) -> Step:
        """Advance the batch by one step."""
        admitted = self._admit()
        decoding = [item for item in self.running.values() if not item.prefill_left]
        budget = max(0, self._step_tokens - len(decoding))
        prefilled = 0
        for sequence in self.running.values():
            chunk = min(sequence.prefill_left, budget - prefilled)
            sequence.prefilled += chunk
            prefilled += chunk
        produced = [item for item in self.running.values() if not item.prefill_left]
        for sequence in produced:
            self._produce(sequence)
        duration = max(
            self._decode_interval if decoding else 0.0,
            prefilled / self._prefill_rate,
        )
        return Step(duration, tuple(admitted), tuple(produced))

    def _admit(self) -> list[Sequence]:
        admitted = []
        free = self.kv_tokens - self.kv_used
        while self.waiting and len(self.running) < self.slots:
            if self.waiting[0].kv_tokens > free and self.running:
                break
            sequence = self.waiting.popleft()
            free -= sequence.kv_tokens
            longest = self.cache.longest(sequence.prefixes)
            sequence.cached_tokens = min(longest, sequence.prompt_tokens - 1)
            self.running[sequence.request_id] = sequence
            admitted.append(sequence)
        return admitted

    def _produce(self, sequence: Sequence) -> None:
        if not sequence.produced:
            change = self.cache.store(sequence.prefixes)
            if change.stored or change.dropped:
                self.changes.append(change)
        sequence.produced += 1
        if sequence.produced >= sequence.output_tokens:
            del self.running[sequence.request_id]
