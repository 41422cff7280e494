"""Model one engine that batches continuously, in virtual time.

Prefill comes in chunks that share a step with decoding. Steps of one composition
are taken together, so that the cost of a run follows its changes, not its tokens.
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
IDLE_INTERVAL_PART = 0.4
CACHE_TOKENS: Tokens = 120_000


class Job(msgspec.Struct, eq=False, kw_only=True):
    """Follow one dispatched request on its engine."""

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
    gone: bool = False

    @property
    def to_prefill(self) -> Tokens:
        """Return the prompt tokens that are neither cached nor prefilled."""
        return self.arrival.prompt_tokens - self.cached - self.prefilled

    @property
    def kv_tokens(self) -> Tokens:
        """Return the KV room that the request takes up once admitted."""
        return self.arrival.prompt_tokens + self.arrival.output_tokens


class CacheNews(msgspec.Struct, frozen=True):
    """Tell which prefixes an engine stored, and which it dropped for them."""

    stored: tuple[int, ...]
    dropped: tuple[int, ...]


class JobListener(Protocol):
    """Hear what happens to the jobs of an engine."""

    def admitted(self, job: Job, now: Seconds) -> None:
        """Hear that the engine took a job into its batch."""

    def first_token(self, job: Job, now: Seconds) -> None:
        """Hear that a job brought its first token."""

    def finished(self, job: Job, now: Seconds) -> None:
        """Hear that a job brought its last token."""


class PrefixCache:
    """Hold hashes of prompt prefixes in limited memory, oldest use first out."""

    def __init__(self, capacity: Tokens) -> None:
        self._capacity = capacity
        self._held: OrderedDict[int, Tokens] = OrderedDict()
        self._tokens: Tokens = 0

    def longest(self, hashes: tuple[int, ...]) -> Tokens:
        """Return the length of the longest prefix held."""
        length = 0
        for level, prefix in enumerate(hashes):
            if prefix not in self._held:
                break
            length = SHORTEST_PREFIX_TOKENS << level
        return length

    def store(self, hashes: tuple[int, ...]) -> tuple[int, ...]:
        """Hold a prompt's prefixes, and return those dropped for them."""
        for level in reversed(range(len(hashes))):
            prefix = hashes[level]
            if prefix in self._held:
                self._held.move_to_end(prefix)
                continue
            whole = SHORTEST_PREFIX_TOKENS << level
            self._held[prefix] = whole if level == 0 else whole // 2
            self._tokens += self._held[prefix]
        return self._shrink()

    def _shrink(self) -> tuple[int, ...]:
        dropped = []
        while self._tokens > self._capacity:
            prefix, tokens = self._held.popitem(last=False)
            self._tokens -= tokens
            dropped.append(prefix)
        return tuple(dropped)


class _Run(msgspec.Struct, eq=False):
    """Hold a number of steps that all have one composition."""

    start: Seconds
    step: Seconds
    steps: int
    chunks: list[tuple[Job, Tokens]]
    decoding: list[Job]

    @property
    def end(self) -> Seconds:
        """Return when the last step ends."""
        return self.start + self.step * self.steps


class FakeEngine:
    """Admit jobs as they come, and serve them by steps."""

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
        self.cache_news: list[CacheNews] = []
        self.waiting: deque[Job] = deque()
        self.prefilling: list[Job] = []
        self.decoding: list[Job] = []
        self.kv_used: Tokens = 0
        self._listener = listener
        self._schedule = schedule
        self._run: _Run | None = None

    @property
    def jobs(self) -> tuple[Job, ...]:
        """Return every job that the engine holds."""
        return (*self.waiting, *self.prefilling, *self.decoding)

    @property
    def running(self) -> int:
        """Return the number of jobs in the batch."""
        return len(self.prefilling) + len(self.decoding)

    def submit(self, job: Job, now: Seconds) -> None:
        """Take a job; it joins the batch when slots and KV room allow."""
        self.waiting.append(job)
        if self._run is None:
            self._begin(now)
        elif self._fits(self.waiting[0]):
            self._cut_run(now)

    def cancel(self, job: Job, now: Seconds) -> None:
        """Drop a job at the end of the step that is under way."""
        job.gone = True
        if job in self.waiting:
            self.waiting.remove(job)
        else:
            self._cut_run(now)

    def set_speed(self, speed: float, now: Seconds) -> None:
        """Run the steps from the next one on at a part of the engine's speed."""
        self.speed = speed
        self._cut_run(now)

    def lose(self) -> tuple[Job, ...]:
        """Stop for good, and return the jobs that are lost with the engine."""
        jobs = self.jobs
        self.lost = True
        self._run = None
        self.waiting.clear()
        self.prefilling.clear()
        self.decoding.clear()
        self.kv_used = 0
        return jobs

    def recover(self) -> None:
        """Come back with an empty cache."""
        self.lost = False
        self.cache = PrefixCache(CACHE_TOKENS)

    def produced(self, job: Job, now: Seconds) -> Tokens:
        """Return a job's output tokens at a time within the current run."""
        run = self._run
        if run is None or job not in run.decoding:
            return job.produced
        steps = min(run.steps, int((now - run.start) / run.step))
        return job.produced + steps

    def outstanding_tokens(self) -> Tokens:
        """Return the tokens that all jobs held will occupy."""
        return sum(job.kv_tokens for job in self.jobs)

    def _fits(self, job: Job) -> bool:
        if self.running >= self.cfg.slots:
            return False
        return not self.running or self.kv_used + job.kv_tokens <= self.cfg.kv_tokens

    def _admit(self, now: Seconds) -> None:
        while self.waiting and self._fits(self.waiting[0]):
            job = self.waiting.popleft()
            job.admitted = now
            cached = self.cache.longest(job.hashes)
            job.cached = min(cached, job.arrival.prompt_tokens - 1)
            self.kv_used += job.kv_tokens
            self.prefilling.append(job)
            self._listener.admitted(job, now)

    def _begin(self, now: Seconds) -> None:
        self._admit(now)
        if not self.running:
            self._run = None
            return
        chunks, steps = self._plan_prefill()
        decoding = list(self.decoding)
        left = [job.arrival.output_tokens - job.produced for job in decoding]
        if left:
            steps = min(steps, *left) if steps else min(left)
        tokens = sum(count for _, count in chunks)
        step = self._step_time(len(decoding), tokens)
        run = _Run(now, step, steps, chunks, decoding)
        self._run = run
        self._schedule(run.end, lambda at: self._end(run, at))

    def _plan_prefill(self) -> tuple[list[tuple[Job, Tokens]], int]:
        """Share one step's chunk budget over prompts in order of admission."""
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
        part = IDLE_INTERVAL_PART + (1 - IDLE_INTERVAL_PART) * batch / self.cfg.slots
        interval = self.cfg.decode_interval * part
        return (interval + chunk / self.cfg.prefill_rate) / self.speed

    def _cut_run(self, now: Seconds) -> None:
        """End the current run after the step that is under way."""
        run = self._run
        if run is None:
            return
        steps = max(1, math.ceil((now - run.start) / run.step - 1e-9))
        if steps < run.steps:
            run.steps = steps
            self._schedule(run.end, lambda at: self._end(run, at))

    def _end(self, run: _Run, now: Seconds) -> None:
        if run is not self._run or now < run.end:
            return
        for job, count in run.chunks:
            job.prefilled += count * run.steps
        for job in run.decoding:
            job.produced += run.steps
        self._settle_prefilled(now)
        self._settle_decoded(now)
        self._begin(now)

    def _settle_prefilled(self, now: Seconds) -> None:
        ready = [job for job in self.prefilling if job.gone or job.to_prefill <= 0]
        for job in ready:
            self.prefilling.remove(job)
            if job.gone:
                self.kv_used -= job.kv_tokens
                continue
            job.produced = 1
            job.first_token = now
            news = CacheNews(job.hashes, self.cache.store(job.hashes))
            self.cache_news.append(news)
            self.decoding.append(job)
            self._listener.first_token(job, now)

    def _settle_decoded(self, now: Seconds) -> None:
        ended = [
            job
            for job in self.decoding
            if job.gone or job.produced >= job.arrival.output_tokens
        ]
        for job in ended:
            self.decoding.remove(job)
            self.kv_used -= job.kv_tokens
            if not job.gone:
                job.finished = now
                self._listener.finished(job, now)
