"""Model one engine with continuous batching, in virtual time.

Prefill is done in chunks that share a step with decoding. Consecutive steps of the
same composition are simulated as one group, so that the cost of a simulation depends
on the number of batch changes and not on the number of tokens.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Protocol

import msgspec

from .arrivals import SHORTEST_PREFIX_TOKENS, Arrival
from .config import BackendServer
from .types import Seconds, Tokens

CHUNK_TOKENS: Tokens = 512
# Decode interval of an empty batch, as a fraction of that of a full one.
IDLE_INTERVAL_FRACTION = 0.4
CACHE_TOKENS: Tokens = 120_000


class Job(msgspec.Struct, eq=False, kw_only=True):
    """Track one dispatched request on its engine."""

    arrival: Arrival
    hashes: tuple[int, ...]
    dispatched: Seconds
    best_cached: Tokens = 0
    cached: Tokens = 0
    prefilled: Tokens = 0
    produced: Tokens = 0
    admitted: Seconds | None = None
    first_token: Seconds | None = None
    finished: Seconds | None = None
    cancelled: bool = False

    @property
    def to_prefill(self) -> Tokens:
        """Return the prompt tokens that are neither cached nor prefilled."""
        return self.arrival.prompt_tokens - self.cached - self.prefilled

    @property
    def kv_tokens(self) -> Tokens:
        """Return the KV memory that the request occupies once admitted, in tokens."""
        return self.arrival.prompt_tokens + self.arrival.output_tokens


class CacheUpdate(msgspec.Struct, frozen=True):
    """Describe prefixes that an engine stored, and those it evicted for them."""

    stored: tuple[int, ...]
    dropped: tuple[int, ...]


class JobListener(Protocol):
    """Receive the events of an engine's jobs."""

    def admitted(self, job: Job, now: Seconds) -> None:
        """Handle the admission of a job to the batch."""

    def first_token(self, job: Job, now: Seconds) -> None:
        """Handle the first token of a job."""

    def finished(self, job: Job, now: Seconds) -> None:
        """Handle the last token of a job."""


class PrefixCache:
    """Represent a bounded LRU cache of prompt prefixes, by hash."""

    def __init__(self, capacity: Tokens) -> None:
        self._capacity = capacity
        self._entries: OrderedDict[int, Tokens] = OrderedDict()
        self._tokens: Tokens = 0

    def longest_match(self, hashes: tuple[int, ...]) -> Tokens:
        """Return the length of the longest cached prefix."""
        length = 0
        for level, prefix in enumerate(hashes):
            if prefix not in self._entries:
                break
            length = SHORTEST_PREFIX_TOKENS << level
        return length

    def store(self, hashes: tuple[int, ...]) -> tuple[int, ...]:
        """Store a prompt's prefixes and return those evicted for them."""
        for level in reversed(range(len(hashes))):
            prefix = hashes[level]
            if prefix in self._entries:
                self._entries.move_to_end(prefix)
                continue
            length = SHORTEST_PREFIX_TOKENS << level
            self._entries[prefix] = length if level == 0 else length // 2
            self._tokens += self._entries[prefix]
        return self._evict()

    def _evict(self) -> tuple[int, ...]:
        dropped = []
        while self._tokens > self._capacity:
            prefix, tokens = self._entries.popitem(last=False)
            self._tokens -= tokens
            dropped.append(prefix)
        return tuple(dropped)


class _StepGroup(msgspec.Struct, eq=False):
    """Represent consecutive steps of the same composition."""

    start: Seconds
    step_time: Seconds
    steps: int
    chunks: list[tuple[Job, Tokens]]
    decoding: list[Job]

    @property
    def end(self) -> Seconds:
        """Return the end of the last step."""
        return self.start + self.step_time * self.steps


class FakeEngine:
    """Simulate an engine that admits jobs first in, first out."""

    def __init__(
        self,
        cfg: BackendServer,
        *,
        listener: JobListener,
        schedule: Callable[[Seconds, Callable[[Seconds], None]], None],
    ) -> None:
        self.cfg = cfg
        self.speed = 1.0
        self.lost = False
        self.cache = PrefixCache(CACHE_TOKENS)
        self.cache_updates: list[CacheUpdate] = []
        self.waiting: deque[Job] = deque()
        self.prefilling: list[Job] = []
        self.decoding: list[Job] = []
        self.kv_used: Tokens = 0
        self._listener = listener
        self._schedule = schedule
        self._group: _StepGroup | None = None

    @property
    def jobs(self) -> tuple[Job, ...]:
        """Return all waiting and running jobs."""
        return (*self.waiting, *self.prefilling, *self.decoding)

    @property
    def running(self) -> int:
        """Return the number of jobs in the batch."""
        return len(self.prefilling) + len(self.decoding)

    def submit(self, job: Job, now: Seconds) -> None:
        """Enqueue a job; it joins the batch once a slot and KV memory are free."""
        self.waiting.append(job)
        if self._group is None:
            self._start_group(now)
        elif self._fits(self.waiting[0]):
            self._truncate_group(now)

    def cancel(self, job: Job, now: Seconds) -> None:
        """Cancel a job; a running one is removed at the end of the current step."""
        job.cancelled = True
        if job in self.waiting:
            self.waiting.remove(job)
        else:
            self._truncate_group(now)

    def set_speed(self, speed: float, now: Seconds) -> None:
        """Set the speed factor, which applies from the next step on."""
        self.speed = speed
        self._truncate_group(now)

    def fail(self) -> tuple[Job, ...]:
        """Mark the engine as lost and return the jobs lost with it."""
        jobs = self.jobs
        self.lost = True
        self._group = None
        self.waiting.clear()
        self.prefilling.clear()
        self.decoding.clear()
        self.kv_used = 0
        return jobs

    def recover(self) -> None:
        """Mark the engine as available again, with an empty cache."""
        self.lost = False
        self.cache = PrefixCache(CACHE_TOKENS)

    def produced(self, job: Job, now: Seconds) -> Tokens:
        """Return a job's output tokens at a time within the current step group."""
        group = self._group
        if group is None or job not in group.decoding:
            return job.produced
        steps = min(group.steps, int((now - group.start) / group.step_time))
        return job.produced + steps

    def outstanding_tokens(self) -> Tokens:
        """Return the KV memory that all jobs will occupy, in tokens."""
        return sum(job.kv_tokens for job in self.jobs)

    def _fits(self, job: Job) -> bool:
        if self.running >= self.cfg.slots:
            return False
        return not self.running or self.kv_used + job.kv_tokens <= self.cfg.kv_tokens

    def _admit(self, now: Seconds) -> None:
        while self.waiting and self._fits(self.waiting[0]):
            job = self.waiting.popleft()
            job.admitted = now
            cached = self.cache.longest_match(job.hashes)
            job.cached = min(cached, job.arrival.prompt_tokens - 1)
            self.kv_used += job.kv_tokens
            self.prefilling.append(job)
            self._listener.admitted(job, now)

    def _start_group(self, now: Seconds) -> None:
        self._admit(now)
        if not self.running:
            self._group = None
            return
        chunks, steps = self._plan_prefill()
        decoding = list(self.decoding)
        remaining = [job.arrival.output_tokens - job.produced for job in decoding]
        if remaining:
            steps = min(steps, *remaining) if steps else min(remaining)
        tokens = sum(count for _, count in chunks)
        step_time = self._step_time(len(decoding), tokens)
        group = _StepGroup(now, step_time, steps, chunks, decoding)
        self._group = group
        self._schedule(group.end, lambda at: self._end_group(group, at))

    def _plan_prefill(self) -> tuple[list[tuple[Job, Tokens]], int]:
        """Divide the chunk budget of one step among prompts in order of admission."""
        if not self.prefilling:
            return [], 0
        head = self.prefilling[0]
        if head.to_prefill >= CHUNK_TOKENS:
            return [(head, CHUNK_TOKENS)], head.to_prefill // CHUNK_TOKENS
        chunks = []
        budget = CHUNK_TOKENS
        for job in self.prefilling:
            count = min(budget, job.to_prefill)
            chunks.append((job, count))
            budget -= count
            if not budget:
                break
        return chunks, 1

    def _step_time(self, batch: int, chunk: Tokens) -> Seconds:
        fraction = (
            IDLE_INTERVAL_FRACTION
            + (1 - IDLE_INTERVAL_FRACTION) * batch / self.cfg.slots
        )
        interval = self.cfg.decode_interval * fraction
        return (interval + chunk / self.cfg.prefill_rate) / self.speed

    def _truncate_group(self, now: Seconds) -> None:
        """End the current group after its current step."""
        group = self._group
        if group is None:
            return
        steps = max(1, math.ceil((now - group.start) / group.step_time - 1e-9))
        if steps < group.steps:
            group.steps = steps
            self._schedule(group.end, lambda at: self._end_group(group, at))

    def _end_group(self, group: _StepGroup, now: Seconds) -> None:
        if group is not self._group or now < group.end:
            return
        for job, count in group.chunks:
            job.prefilled += count * group.steps
        for job in group.decoding:
            job.produced += group.steps
        self._complete_prefills(now)
        self._complete_decodes(now)
        self._start_group(now)

    def _complete_prefills(self, now: Seconds) -> None:
        ready = [job for job in self.prefilling if job.cancelled or job.to_prefill <= 0]
        for job in ready:
            self.prefilling.remove(job)
            if job.cancelled:
                self.kv_used -= job.kv_tokens
                continue
            job.produced = 1
            job.first_token = now
            update = CacheUpdate(job.hashes, self.cache.store(job.hashes))
            self.cache_updates.append(update)
            self.decoding.append(job)
            self._listener.first_token(job, now)

    def _complete_decodes(self, now: Seconds) -> None:
        ended = [
            job
            for job in self.decoding
            if job.cancelled or job.produced >= job.arrival.output_tokens
        ]
        for job in ended:
            self.decoding.remove(job)
            self.kv_used -= job.kv_tokens
            if not job.cancelled:
                job.finished = now
                self._listener.finished(job, now)
