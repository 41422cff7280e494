"""Simulate an engine that batches, has a short queue and rejects what exceeds it."""

from collections import deque
from collections.abc import Callable

import msgspec

from .catalog import Instance
from .control_fleet import POOL, VirtualTime
from .types import RequestId, Seconds, ServerId, ServerState, Tokens, ZoneId

#: Time until the first token of an empty prompt.
FIRST_TOKEN_DELAY: Seconds = 0.016
PREFILL_RATE = 56_600.0
STEP_TIME: Seconds = 0.0038
STEP_TIME_PER_REQUEST: Seconds = 0.00009


class EngineJob(msgspec.Struct, eq=False, kw_only=True):
    """Represent one request at an engine, and whom to tell of its progress."""

    request_id: RequestId
    prompt_tokens: Tokens
    output_tokens: Tokens
    on_first_token: Callable[[], None]
    on_finish: Callable[[], None]
    first_token_at: Seconds | None = None
    token_interval: Seconds = 0.0
    ended: bool = False

    def tokens_at(self, now: Seconds) -> Tokens:
        """Return how many output tokens exist."""
        if self.first_token_at is None or now < self.first_token_at:
            return 0
        count = 1 + int((now - self.first_token_at) / self.token_interval)
        return min(self.output_tokens, count)


class SimulatedEngine:
    """Run a bounded batch of requests; prompts are read one after the other."""

    def __init__(
        self,
        name: ServerId,
        time: VirtualTime,
        *,
        zone: ZoneId,
        slots: int,
        queue: int,
        speed: float,
    ) -> None:
        self.name = name
        self.zone = zone
        self.slots = slots
        self.speed = speed
        self.alive = True
        self.incarnation = 1
        self._time = time
        self._queue_limit = queue
        self._running: dict[RequestId, EngineJob] = {}
        self._waiting: deque[EngineJob] = deque()
        self._prefill_free_at: Seconds = 0.0

    def instance(self) -> Instance:
        """Return the engine's entry in the host list."""
        return Instance(
            server=self.name,
            service=POOL,
            address=f"{self.name}:1",
            zone=self.zone,
            slots=self.slots,
            state=ServerState.LIVE,
            incarnation=self.incarnation,
        )

    @property
    def size(self) -> int:
        """Return the number of running and waiting requests."""
        return len(self._running) + len(self._waiting)

    def accept(self, job: EngineJob) -> bool:
        """Accept a request, unless the engine is full."""
        if self.size >= self.slots + self._queue_limit:
            return False
        self._waiting.append(job)
        self._start_next()
        return True

    def remove(self, job: EngineJob) -> None:
        """Remove a request that has ended or was cancelled."""
        if job.ended:
            return
        job.ended = True
        if self._running.pop(job.request_id, None) is None:
            self._waiting.remove(job)
        self._start_next()

    def stop(self) -> list[EngineJob]:
        """End the engine's process and return what it ran."""
        jobs = [*self._running.values(), *self._waiting]
        for job in jobs:
            job.ended = True
        self._running.clear()
        self._waiting.clear()
        self.alive = False
        return jobs

    def start(self) -> None:
        """Start another process of the engine."""
        self.alive = True
        self.incarnation += 1
        self._prefill_free_at = self._time.now

    def _start_next(self) -> None:
        while self._waiting and len(self._running) < self.slots:
            job = self._waiting.popleft()
            self._running[job.request_id] = job
            step = STEP_TIME + STEP_TIME_PER_REQUEST * len(self._running)
            job.token_interval = step / self.speed
            prefill = job.prompt_tokens / PREFILL_RATE / self.speed
            start = max(self._time.now, self._prefill_free_at)
            self._prefill_free_at = start + prefill
            job.first_token_at = start + prefill + FIRST_TOKEN_DELAY
            self._time.at(job.first_token_at, lambda job=job: self._answer(job))  # type: ignore[misc]

    def _answer(self, job: EngineJob) -> None:
        if job.ended:
            return
        job.on_first_token()
        decode = (job.output_tokens - 1) * job.token_interval
        self._time.at(self._time.now + decode, lambda: self._finish(job))

    def _finish(self, job: EngineJob) -> None:
        if not job.ended:
            self.remove(job)
            job.on_finish()


def service_time(
    prompt: Tokens, output: Tokens, *, slots: int, speed: float
) -> Seconds:
    """Return how long a request occupies a slot of a full engine."""
    step = STEP_TIME + STEP_TIME_PER_REQUEST * slots
    read = prompt / PREFILL_RATE
    return (read + output * step) / speed + FIRST_TOKEN_DELAY
