"""Claim idempotency keys durably, so that keyed work is dispatched at most once."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from enum import StrEnum

import msgspec
import structlog

from .claim_record import (
    NONCE_BYTES,
    Claim,
    Close,
    Release,
    SlotOp,
    StoredAnswer,
    Verdict,
    body_digest,
    key_digest,
    slot_of,
)
from .claim_slot import SlotCommitter, StoreBackoff
from .config import Limits
from .exceptions import AnswerLost, StoreUnavailable, VersionConflict
from .objects import ObjectStore
from .rate_limiter import RateLimiter
from .types import HostId, Outcome, RequestId, Seconds, StoreOutageRule, WorkspaceId

__all__ = ["ClaimCommitter", "ClaimResult", "ClaimStatus", "StoredAnswer"]

LAYOUT_KEY = "claims/layout"
DEFAULT_WRITES_PER_SECOND = 20.0
FLEET_WRITES_PER_SECOND = 380.0
MAX_PENDING_ANSWER_BYTES = 8 * 1024 * 1024

log = structlog.get_logger()


class ClaimStatus(StrEnum):
    """Describe whether a request may be dispatched under its key."""

    HELD = "held"
    ALREADY_DONE = "already_done"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    STORE_UNAVAILABLE = "store_unavailable"


class ClaimResult(msgspec.Struct, frozen=True):
    """Represent the result of a claim; `retry_after` in seconds."""

    status: ClaimStatus
    message: str = ""
    remedy: str = ""
    answer: StoredAnswer | None = None
    retry_after: Seconds = 0.0


class _HeldClaim(msgspec.Struct, frozen=True):
    """Store what identifies a held claim in a later close or release."""

    slot: int
    key: bytes
    nonce: bytes
    claimed_at: Seconds


class _Layout(msgspec.Struct, frozen=True):
    """Define the number of slots, fixed for as long as any claim is retained."""

    slots: int


_RESULTS = {
    Verdict.HELD: ClaimResult(ClaimStatus.HELD),
    Verdict.ALREADY_DONE: ClaimResult(ClaimStatus.ALREADY_DONE),
    Verdict.ANSWER_NOT_KEPT: ClaimResult(
        ClaimStatus.UNKNOWN,
        "Work with this idempotency key was done, but its answer was not kept.",
        "Look the result up; don't send the work again under another key.",
    ),
    Verdict.RUNNING_OR_LOST: ClaimResult(
        ClaimStatus.UNKNOWN,
        "Work with this idempotency key was claimed and has not ended.",
        "Repeat with the same key later, or look the result up before using a new key.",
        retry_after=5.0,
    ),
    Verdict.OUTCOME_UNKNOWN: ClaimResult(
        ClaimStatus.UNKNOWN,
        "Work with this idempotency key was sent and its answer was lost.",
        "Look the result up before sending it again under a new key.",
    ),
    Verdict.CONFLICT: ClaimResult(
        ClaimStatus.CONFLICT,
        "This idempotency key was used with another body.",
        "Send the first body again, or use a new key for new work.",
    ),
    Verdict.SLOT_FULL: ClaimResult(
        ClaimStatus.STORE_UNAVAILABLE,
        "The claim record for this idempotency key is full.",
        "Shorten limits.claim_retention, or add slots as docs/operate/claims.md says.",
        retry_after=60.0,
    ),
}


class ClaimCommitter:
    """Commit this host's claims, in groups by slot.

    `writes_per_second` limits this host's write rate; operations that wait for
    it share the next write of their slot.
    """

    def __init__(
        self,
        store: ObjectStore,
        host: HostId,
        cfg: Limits,
        *,
        writes_per_second: float = DEFAULT_WRITES_PER_SECOND,
        clock: Callable[[], Seconds] = time.time,
        nonces: Callable[[], bytes] = lambda: secrets.token_bytes(NONCE_BYTES),
    ) -> None:
        self.cfg = cfg
        self.rate_limiter = RateLimiter(writes_per_second)
        self._store = store
        self._host = host
        self._clock = clock
        self._nonces = nonces
        # Seeded by host, so that hosts don't retry in step.
        self._random = random.Random(host)
        self._backoff = StoreBackoff(self._random)
        self._slots: dict[int, SlotCommitter] = {}
        self._held: dict[RequestId, _HeldClaim] = {}
        self._layout: _Layout | None = None
        self._pending_answer_bytes = 0

    async def claim(
        self,
        request_id: RequestId,
        workspace: WorkspaceId,
        key: str,
        body: str,
        *,
        timeout: Seconds,
        rule: StoreOutageRule = StoreOutageRule.WAIT,
    ) -> ClaimResult:
        """Claim a key for a request within `timeout` seconds.

        `body` is the digest of the request's body. Any result but `HELD` means
        that this request must not be dispatched; with `STORE_UNAVAILABLE` it
        was not run, and a claim that may still take effect is released later.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        try:
            layout = await self._await_layout(deadline, rule)
        except (StoreUnavailable, AnswerLost, TimeoutError):
            return self._unavailable()
        op = Claim(
            key=key_digest(workspace, key),
            nonce=self._nonces(),
            digest=body_digest(body),
            host=self._host,
        )
        number = slot_of(op.key, layout.slots)
        slot = self._slot(number)
        decision = await slot.submit_claim(op, deadline=deadline, rule=rule)
        if decision is None:
            return self._unavailable()
        if decision.verdict is Verdict.HELD:
            held = _HeldClaim(number, op.key, op.nonce, self._clock())
            self._held[request_id] = held
        return msgspec.structs.replace(
            _RESULTS[decision.verdict], answer=decision.answer
        )

    def set_host_count(self, count: int) -> None:
        """Limit this host's writes to its share of the fleet's rate."""
        share = FLEET_WRITES_PER_SECOND / max(1, count)
        self.rate_limiter.rate = min(DEFAULT_WRITES_PER_SECOND, share)

    def may_dispatch(self, request_id: RequestId) -> bool:
        """Return whether a held claim is still far from its expiry.

        Call it right before dispatch: the host may have been paused since the claim.
        """
        held = self._held.get(request_id)
        if held is None:
            return False
        age = self._clock() - held.claimed_at
        return abs(age) < self.cfg.claim_retention / 2

    async def close(
        self,
        request_id: RequestId,
        outcome: Outcome,
        answer: StoredAnswer | None = None,
    ) -> None:
        """Queue a held claim's outcome, or its release after `NOT_RUN`.

        Return at once; the write follows when the store is available.
        """
        held = self._held.pop(request_id, None)
        if held is None:
            return
        op: SlotOp
        if outcome is Outcome.NOT_RUN:
            op = Release(key=held.key, nonce=held.nonce)
        else:
            stored = self._reserve_answer(answer)
            op = Close(key=held.key, nonce=held.nonce, outcome=outcome, answer=stored)
        self._slot(held.slot).submit(op, on_end=lambda: self._release_answer(op))

    @property
    def pending(self) -> int:
        """Return how many operations are not yet recorded."""
        return sum(slot.pending for slot in self._slots.values())

    async def stop(self, *, timeout: Seconds) -> int:
        """Wait for queued operations to be recorded; return how many are not."""
        tasks = [slot.task for slot in self._slots.values() if slot.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout)
        unrecorded = self.pending
        self.abort()
        return unrecorded

    def abort(self) -> None:
        """Stop all work at once, as a crash would."""
        for slot in self._slots.values():
            if slot.task is not None:
                slot.task.cancel()

    def _slot(self, number: int) -> SlotCommitter:
        slot = self._slots.get(number)
        if slot is None:
            slot = SlotCommitter(
                self._store,
                f"claims/{number:05}",
                backoff=self._backoff,
                rate_limiter=self.rate_limiter,
                clock=self._clock,
                retention=lambda: self.cfg.claim_retention,
                rng=self._random,
            )
            self._slots[number] = slot
        return slot

    def _reserve_answer(self, answer: StoredAnswer | None) -> StoredAnswer | None:
        if answer is None or len(answer.body) > self.cfg.max_answer_record:
            return None
        size = len(answer.body)
        if self._pending_answer_bytes + size > MAX_PENDING_ANSWER_BYTES:
            log.warning("claim answer dropped", bytes=size)
            return None
        self._pending_answer_bytes += size
        return answer

    def _release_answer(self, op: SlotOp) -> None:
        if isinstance(op, Close) and op.answer is not None:
            self._pending_answer_bytes -= len(op.answer.body)

    def _unavailable(self) -> ClaimResult:
        return ClaimResult(
            ClaimStatus.STORE_UNAVAILABLE,
            "The idempotency key could not be claimed, so the work was not run.",
            "Repeat the request with the same key.",
            retry_after=self._backoff.retry_after(),
        )

    async def _await_layout(self, deadline: Seconds, rule: StoreOutageRule) -> _Layout:
        if self._layout is not None:
            return self._layout
        async with asyncio.timeout_at(deadline):
            while self._layout is None:
                try:
                    self._layout = await self._read_layout()
                    self._backoff.record_success()
                except (StoreUnavailable, AnswerLost):
                    self._backoff.record_failure()
                    if rule is StoreOutageRule.REFUSE:
                        raise
                    await self._backoff.wait()
        return self._layout

    async def _read_layout(self) -> _Layout | None:
        stored = await self._store.get(LAYOUT_KEY)
        if stored is not None:
            return msgspec.msgpack.decode(stored.value, type=_Layout)
        layout = _Layout(self.cfg.claim_slots)
        try:
            value = msgspec.msgpack.encode(layout)
            await self._store.put(LAYOUT_KEY, value, expected=0)
        except (VersionConflict, AnswerLost):
            # The next read returns the layout, whichever host wrote it.
            return None
        return layout
