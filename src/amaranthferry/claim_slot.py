"""Commit the operations of one slot in groups, by conditional update."""

import asyncio
import random
from collections.abc import Callable

import msgspec
import structlog

from .claim_record import (
    Claim,
    Release,
    SlotChange,
    SlotOp,
    SlotRecord,
    StoredAnswer,
    Verdict,
    reduce_slot,
)
from .exceptions import DECODE_ERRORS, AnswerLost, StoreUnavailable, VersionConflict
from .objects import ObjectStore, unavailable
from .rate_limiter import RateLimiter
from .types import Seconds, StoreOutageRule

INITIAL_BACKOFF: Seconds = 0.05
MAX_BACKOFF: Seconds = 2.0
INITIAL_CONFLICT_PAUSE: Seconds = 0.01
MAX_CONFLICT_PAUSE: Seconds = 0.32
MAX_OUTCOME_DELAY: Seconds = 2.0

log = structlog.get_logger()


class ClaimDecision(msgspec.Struct, frozen=True):
    """Represent the verdict on a claim, with the recorded answer if any."""

    verdict: Verdict
    answer: StoredAnswer | None = None


class StoreBackoff:
    """Delay attempts while the object API fails, for all slots together."""

    def __init__(self, rng: random.Random) -> None:
        self._delay: Seconds = 0.0
        self._retry_at: Seconds = 0.0
        self._random = rng

    def record_failure(self) -> None:
        """Record a failed call, and double the backoff if the last one has elapsed."""
        now = asyncio.get_running_loop().time()
        if now < self._retry_at:
            return
        doubled = max(INITIAL_BACKOFF, self._delay * 2)
        self._delay = min(MAX_BACKOFF, doubled)
        self._retry_at = now + self._delay * self._random.uniform(0.5, 1.0)

    def record_success(self) -> None:
        """Record an answered call, and reset the backoff."""
        self._delay = 0.0
        self._retry_at = 0.0

    def is_active(self) -> bool:
        """Return whether the last call failed and the next is not due yet."""
        return self._retry_at > asyncio.get_running_loop().time()

    def retry_after(self) -> Seconds:
        """Return the delay before a caller may retry, in seconds."""
        return max(1.0, 2 * self._delay)

    async def wait(self) -> None:
        """Wait until the next attempt is due."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, self._retry_at - loop.time()))


class _QueuedOp:
    """Represent a queued operation, with the future of its waiter if any."""

    def __init__(
        self,
        op: SlotOp,
        *,
        fut: asyncio.Future[ClaimDecision | None] | None = None,
        rule: StoreOutageRule = StoreOutageRule.WAIT,
        on_end: Callable[[], None] | None = None,
    ) -> None:
        self.op = op
        self.fut = fut
        self.rule = rule
        self.on_end = on_end
        self.queued_at = asyncio.get_running_loop().time()
        self.sent = False
        self.abandoned = False

    @property
    def is_active_claim(self) -> bool:
        return isinstance(self.op, Claim) and not self.abandoned

    def end(self, result: ClaimDecision | None) -> None:
        if self.fut is not None and not self.fut.done():
            self.fut.set_result(result)
        if self.on_end is not None:
            self.on_end()


class SlotCommitter:
    """Run one slot's operations: read, reduce, write if unchanged, repeat.

    One write is under way at a time; operations that arrive meanwhile share
    the next one. The object's version is the fencing token: once any write
    succeeds, an earlier one whose answer was lost can't take effect any more.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        *,
        backoff: StoreBackoff,
        rate_limiter: RateLimiter,
        clock: Callable[[], Seconds],
        retention: Callable[[], Seconds],
        rng: random.Random,
    ) -> None:
        self.task: asyncio.Task[None] | None = None
        self._store = store
        self._name = name
        self._backoff = backoff
        self._rate_limiter = rate_limiter
        self._clock = clock
        self._retention = retention
        self._queue: list[_QueuedOp] = []
        self._record: SlotRecord | None = None
        self._version = 0
        self._in_doubt_version: int | None = None
        self._conflicts = 0
        self._random = rng

    @property
    def pending(self) -> int:
        """Return how many operations are queued or being written."""
        return len(self._queue)

    async def submit_claim(
        self, op: Claim, *, deadline: Seconds, rule: StoreOutageRule
    ) -> ClaimDecision | None:
        """Submit a claim; return None if it did not end by the deadline.

        A claim abandoned after it was sent is released in the background.
        """
        if rule is StoreOutageRule.REFUSE and self._backoff.is_active():
            return None
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[ClaimDecision | None] = loop.create_future()
        queued = _QueuedOp(op, fut=fut, rule=rule)
        self._enqueue(queued)
        try:
            await asyncio.wait({fut}, timeout=max(0.0, deadline - loop.time()))
        except asyncio.CancelledError:
            self._abandon(queued)
            raise
        if not fut.done():
            self._abandon(queued)
            return None
        return fut.result()

    def submit(self, op: SlotOp, *, on_end: Callable[[], None] | None = None) -> None:
        """Queue an operation without waiting for its result."""
        self._enqueue(_QueuedOp(op, on_end=on_end))

    def _enqueue(self, queued: _QueuedOp) -> None:
        self._queue.append(queued)
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._run())

    def _abandon(self, queued: _QueuedOp) -> None:
        if queued.fut is not None and queued.fut.done():
            decision = queued.fut.result()
            if decision is not None and decision.verdict is Verdict.HELD:
                self.submit(Release(key=queued.op.key, nonce=queued.op.nonce))
            return
        queued.abandoned = True
        if not queued.sent:
            self._queue.remove(queued)
            queued.end(None)

    async def _run(self) -> None:
        await asyncio.sleep(0)
        while self._queue:
            await self._backoff.wait()
            try:
                await self._commit_batch()
                self._backoff.record_success()
                self._conflicts = 0
            except VersionConflict:
                self._record = None
                self._backoff.record_success()
                await self._pause_after_conflict()
            except AnswerLost:
                self._record = None
                self._record_lost_answer()
            except StoreUnavailable:
                self._record = None
                self._backoff.record_failure()
                self._refuse_on_outage()
        self._record = None

    async def _pause_after_conflict(self) -> None:
        longest = min(MAX_CONFLICT_PAUSE, INITIAL_CONFLICT_PAUSE * 2**self._conflicts)
        self._conflicts += 1
        await asyncio.sleep(self._random.uniform(0, longest))

    def _record_lost_answer(self) -> None:
        # Read back at once after the first lost answer, with backoff after others.
        if self._in_doubt():
            self._backoff.record_failure()
        self._in_doubt_version = self._version

    async def _commit_batch(self) -> None:
        await self._rate_limiter.acquire(self._is_urgent)
        if self._record is None:
            await self._read()
        batch = self._next_batch()
        if not batch:
            return
        change = self._reduce(batch)
        if change.changed or self._in_doubt():
            for queued in batch:
                queued.sent = True
            self._version = await self._store.put(
                self._name, change.data, expected=self._version
            )
            self._in_doubt_version = None
        self._record = change.record
        del self._queue[: len(batch)]
        for queued, verdict in zip(batch, change.verdicts, strict=True):
            self._settle(queued, verdict, change.record)

    def _is_urgent(self) -> bool:
        # Callers wait for claims; other operations may be delayed to share a write.
        oldest = asyncio.get_running_loop().time() - MAX_OUTCOME_DELAY
        return any(
            item.is_active_claim or item.queued_at < oldest for item in self._queue
        )

    def _next_batch(self) -> list[_QueuedOp]:
        return list(self._queue)

    async def _read(self) -> None:
        stored = await self._store.get(self._name)
        self._version = stored.version if stored else 0
        try:
            data = stored.value if stored else SlotRecord().to_bytes()
            self._record = SlotRecord.from_bytes(data)
        except DECODE_ERRORS as exc:
            log.error("claim record unreadable", object=self._name, error=str(exc))
            raise unavailable("the claim record is unreadable") from exc

    def _in_doubt(self) -> bool:
        # An earlier write on this version may still take effect. Only a later
        # successful write rules that out, even if it changes no entry.
        return self._in_doubt_version == self._version

    def _reduce(self, batch: list[_QueuedOp]) -> SlotChange:
        assert self._record is not None
        ops = [_effective_op(queued) for queued in batch]
        return reduce_slot(
            self._record, ops, now=self._clock(), retention=self._retention()
        )

    def _settle(self, queued: _QueuedOp, verdict: Verdict, record: SlotRecord) -> None:
        if queued.abandoned and verdict is Verdict.HELD:
            self._queue.append(
                _QueuedOp(Release(key=queued.op.key, nonce=queued.op.nonce))
            )
        answer = None
        if verdict is Verdict.ALREADY_DONE:
            entry = record.get(queued.op.key)
            answer = entry.answer if entry else None
        queued.end(ClaimDecision(verdict, answer))

    def _refuse_on_outage(self) -> None:
        for queued in list(self._queue):
            if queued.is_active_claim and queued.rule is StoreOutageRule.REFUSE:
                self._refuse(queued)

    def _refuse(self, queued: _QueuedOp) -> None:
        if queued.fut is None or queued.fut.done():
            return
        queued.abandoned = True
        if not queued.sent:
            self._queue.remove(queued)
        queued.fut.set_result(None)


def _effective_op(queued: _QueuedOp) -> SlotOp:
    if queued.abandoned:
        return Release(key=queued.op.key, nonce=queued.op.nonce)
    return queued.op
