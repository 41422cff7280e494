"""Decide claims on idempotency keys from the record of one slot."""

import hashlib
from collections.abc import Iterable
from enum import Enum, IntEnum
from functools import singledispatch
from typing import Self

import msgspec

from .types import HostId, Outcome, Seconds, WorkspaceId

KEY_BYTES = 16
DIGEST_BYTES = 8
NONCE_BYTES = 8
# The object API accepts values up to 1 MB; the rest is left for its overhead.
MAX_RECORD_BYTES = 900_000
# A full record is compacted to this fraction of the limit, so that the next
# writes need not compact it again.
COMPACTED_FRACTION = 0.9
# Expired entries are removed once per this fraction of the retention.
SWEEP_INTERVAL_FRACTION = 1 / 24


class ClaimState(IntEnum):
    """Define the known states of the work for a key."""

    HELD = 0
    DONE = 1
    UNKNOWN = 2


class Verdict(Enum):
    """Define the results of one operation on a slot."""

    HELD = "held"
    ALREADY_DONE = "already_done"
    ANSWER_NOT_KEPT = "answer_not_kept"
    RUNNING_OR_LOST = "running_or_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CONFLICT = "conflict"
    SLOT_FULL = "slot_full"
    APPLIED = "applied"


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Represent a complete answer as it was sent to the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ClaimEntry(msgspec.Struct, frozen=True, array_like=True):
    """Represent one claim; `claimed_at` is in seconds since the epoch."""

    nonce: bytes
    digest: bytes
    state: ClaimState
    claimed_at: int
    host: HostId
    answer: StoredAnswer | None = None


class SlotRecord(msgspec.Struct, frozen=True, array_like=True):
    """Represent all claims of one slot by the digest of workspace and key.

    Entries stay encoded, since an operation needs few of them; `swept_at` is when
    expired ones were last removed, in seconds since the epoch.
    """

    raw: dict[bytes, msgspec.Raw] = {}
    swept_at: int = 0

    @classmethod
    def from_bytes(cls, data: bytes) -> Self:
        """Decode a stored record."""
        return msgspec.msgpack.decode(data, type=cls)

    def to_bytes(self) -> bytes:
        """Encode the record for storing."""
        return msgspec.msgpack.encode(self)

    def get(self, key: bytes) -> ClaimEntry | None:
        """Return the entry of a key, expired or not."""
        raw = self.raw.get(key)
        return None if raw is None else _decode_entry(raw)

    def entries(self) -> dict[bytes, ClaimEntry]:
        """Decode every entry."""
        return {key: _decode_entry(raw) for key, raw in self.raw.items()}


_decode_entry = msgspec.msgpack.Decoder(ClaimEntry).decode


class _Draft:
    """Change a copy of a record's entries; expired ones count as absent."""

    def __init__(self, record: SlotRecord, now: Seconds, retention: Seconds) -> None:
        self.now = now
        self.retention = retention
        self.raw = dict(record.raw)
        self.swept_at = record.swept_at
        if now - self.swept_at > retention * SWEEP_INTERVAL_FRACTION:
            self.sweep()

    def get(self, key: bytes) -> ClaimEntry | None:
        raw = self.raw.get(key)
        if raw is None:
            return None
        entry = _decode_entry(raw)
        return entry if self._is_retained(entry) else None

    def set(self, key: bytes, entry: ClaimEntry) -> None:
        self.raw[key] = msgspec.Raw(msgspec.msgpack.encode(entry))

    def drop(self, key: bytes) -> None:
        self.raw.pop(key, None)

    def sweep(self) -> None:
        """Remove all expired entries."""
        self.swept_at = int(self.now)
        self.raw = {
            key: raw
            for key, raw in self.raw.items()
            if self._is_retained(_decode_entry(raw))
        }

    def build(self) -> SlotRecord:
        return SlotRecord(self.raw, self.swept_at)

    def _is_retained(self, entry: ClaimEntry) -> bool:
        return entry.claimed_at + self.retention > self.now


class SlotOp(msgspec.Struct, frozen=True, kw_only=True):
    """Define the base of all operations on a slot; the nonce identifies the claim."""

    key: bytes
    nonce: bytes


class Claim(SlotOp, frozen=True, kw_only=True):
    """Claim a key, unless another claim on it is recorded."""

    digest: bytes
    host: HostId


class Close(SlotOp, frozen=True, kw_only=True):
    """Record the outcome of work that was or may have been run."""

    outcome: Outcome
    answer: StoredAnswer | None = None


class Release(SlotOp, frozen=True, kw_only=True):
    """Release a claim whose work was not and will not be run."""


class SlotChange(msgspec.Struct, frozen=True):
    """Represent a slot's next record and the verdict on each operation in order."""

    record: SlotRecord
    data: bytes
    verdicts: tuple[Verdict, ...]
    changed: bool


def key_digest(workspace: WorkspaceId, key: str) -> bytes:
    """Compute a digest of workspace and key that is distinct for each pair."""
    text = f"{len(workspace)}:{workspace}{key}"
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).digest()


def body_digest(text: str) -> bytes:
    """Shorten the digest of a request's body to the length that records store."""
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def slot_of(key: bytes, slots: int) -> int:
    """Return the number of the slot that a key's digest maps to."""
    return int.from_bytes(key[:8], "big") % slots


def reduce_slot(
    record: SlotRecord,
    ops: Iterable[SlotOp],
    *,
    now: Seconds,
    retention: Seconds,
    max_bytes: int = MAX_RECORD_BYTES,
) -> SlotChange:
    """Apply operations in order; applying them again changes nothing.

    `now` is in seconds since the epoch. A record over `max_bytes` first loses
    its oldest answers; if it is still too large, its new claims are refused.
    """
    ops = tuple(ops)
    draft = _Draft(record, now, retention)
    verdicts = [_apply(op, draft) for op in ops]
    data = draft.build().to_bytes()
    if len(data) > max_bytes:
        data = _compact(draft, int(max_bytes * COMPACTED_FRACTION))
    if len(data) > max_bytes:
        _refuse_new_claims(ops, verdicts, draft, record)
        data = draft.build().to_bytes()
    changed = any(draft.raw.get(op.key) != record.raw.get(op.key) for op in ops)
    return SlotChange(draft.build(), data, tuple(verdicts), changed)


@singledispatch
def _apply(op: SlotOp, draft: _Draft) -> Verdict:
    raise TypeError(op)


@_apply.register
def _claim(op: Claim, draft: _Draft) -> Verdict:
    entry = draft.get(op.key)
    if entry is None:
        claimed_at = int(draft.now)
        entry = ClaimEntry(op.nonce, op.digest, ClaimState.HELD, claimed_at, op.host)
        draft.set(op.key, entry)
        return Verdict.HELD
    if entry.nonce == op.nonce:
        return Verdict.HELD
    if entry.digest != op.digest:
        return Verdict.CONFLICT
    return _repeat_verdict(entry)


def _repeat_verdict(entry: ClaimEntry) -> Verdict:
    if entry.state is ClaimState.HELD:
        return Verdict.RUNNING_OR_LOST
    if entry.state is ClaimState.UNKNOWN:
        return Verdict.OUTCOME_UNKNOWN
    if entry.answer is None:
        return Verdict.ANSWER_NOT_KEPT
    return Verdict.ALREADY_DONE


@_apply.register
def _close(op: Close, draft: _Draft) -> Verdict:
    entry = draft.get(op.key)
    if entry is None or entry.nonce != op.nonce:
        return Verdict.APPLIED
    done = op.outcome is Outcome.DONE
    state = ClaimState.DONE if done else ClaimState.UNKNOWN
    answer = op.answer if done else None
    closed = msgspec.structs.replace(entry, state=state, answer=answer)
    if closed != entry:
        draft.set(op.key, closed)
    return Verdict.APPLIED


@_apply.register
def _release(op: Release, draft: _Draft) -> Verdict:
    entry = draft.get(op.key)
    if entry is None or entry.nonce != op.nonce:
        return Verdict.APPLIED
    if entry.state is ClaimState.HELD:
        draft.drop(op.key)
    return Verdict.APPLIED


def _compact(draft: _Draft, target: int) -> bytes:
    draft.sweep()
    record = draft.build()
    excess = len(record.to_bytes()) - target
    entries = record.entries()
    answered = [key for key, entry in entries.items() if entry.answer is not None]
    answered.sort(key=lambda key: entries[key].claimed_at)
    for key in answered:
        if excess <= 0:
            break
        before = len(bytes(draft.raw[key]))
        draft.set(key, msgspec.structs.replace(entries[key], answer=None))
        excess -= before - len(bytes(draft.raw[key]))
    return draft.build().to_bytes()


def _refuse_new_claims(
    ops: tuple[SlotOp, ...],
    verdicts: list[Verdict],
    draft: _Draft,
    record: SlotRecord,
) -> None:
    for op in ops:
        old = record.get(op.key)
        new = draft.get(op.key)
        is_new = new is not None and (old is None or old.nonce != new.nonce)
        if isinstance(op, Claim) and is_new:
            draft.drop(op.key)
    for index, op in enumerate(ops):
        if isinstance(op, Claim) and draft.get(op.key) is None:
            verdicts[index] = Verdict.SLOT_FULL
