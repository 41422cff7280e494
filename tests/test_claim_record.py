import pytest

from amaranthferry.claim_record import (
    Claim,
    ClaimState,
    Close,
    Release,
    SlotRecord,
    StoredAnswer,
    Verdict,
    key_digest,
    reduce_slot,
)
from amaranthferry.types import HostId, Outcome, WorkspaceId

KEY = key_digest(WorkspaceId("w"), "k")
ANSWER = StoredAnswer(201, (("content-type", "text/plain"),), b"entry 7")
DAY = 86_400


def claim(nonce=b"n1", *, key=KEY, digest=b"d1"):
    return Claim(key=key, nonce=nonce, digest=digest, host=HostId("h"))


def close(nonce=b"n1", *, key=KEY, outcome=Outcome.DONE, answer=ANSWER):
    return Close(key=key, nonce=nonce, outcome=outcome, answer=answer)


def release(nonce=b"n1"):
    return Release(key=KEY, nonce=nonce)


def apply(*ops, record=None, now=1_000.0, max_bytes=900_000):
    record = record or SlotRecord()
    return reduce_slot(record, ops, now=now, retention=DAY, max_bytes=max_bytes)


@pytest.mark.parametrize(
    ("ops", "verdict"),
    [
        ([claim()], Verdict.HELD),
        ([claim(), claim()], Verdict.HELD),
        ([claim(), claim(b"n2")], Verdict.RUNNING_OR_LOST),
        ([claim(), claim(b"n2", digest=b"d2")], Verdict.CONFLICT),
        ([claim(), close(), claim(b"n2")], Verdict.ALREADY_DONE),
        ([claim(), close(), claim(b"n2", digest=b"d2")], Verdict.CONFLICT),
        ([claim(), close(answer=None), claim(b"n2")], Verdict.ANSWER_NOT_KEPT),
        (
            [claim(), close(outcome=Outcome.UNKNOWN), claim(b"n2")],
            Verdict.OUTCOME_UNKNOWN,
        ),
        ([claim(), release(), claim(b"n2")], Verdict.HELD),
        ([claim(), release(b"n2"), claim(b"n3")], Verdict.RUNNING_OR_LOST),
        ([claim(), close(b"n2"), claim(b"n3")], Verdict.RUNNING_OR_LOST),
        ([claim(), close(), release(), claim(b"n2")], Verdict.ALREADY_DONE),
    ],
)
def test_verdict_follows_from_the_recorded_claim(ops, verdict):
    assert apply(*ops).verdicts[-1] is verdict


def test_applying_again_changes_nothing():
    ops = [claim(), close()]
    first = apply(*ops)
    again = apply(*ops, record=SlotRecord.from_bytes(first.data))
    assert not again.changed
    assert again.data == first.data


def test_key_digest_separates_workspace_and_key():
    assert key_digest(WorkspaceId("a"), "bc") != key_digest(WorkspaceId("ab"), "c")


def test_claim_expires_after_its_retention():
    record = apply(claim(), now=0).record
    assert apply(claim(b"n2"), record=record, now=DAY - 1).verdicts == (
        Verdict.RUNNING_OR_LOST,
    )
    assert apply(claim(b"n2"), record=record, now=DAY).verdicts == (Verdict.HELD,)


def test_expired_claims_are_removed():
    record = SlotRecord()
    for hour in range(60):
        op = claim(key=bytes([hour]) * 16)
        record = apply(op, record=record, now=hour * 3_600 + 1).record
    assert len(record.raw) <= 26


def test_full_record_is_not_compacted_at_every_write():
    record, compacted = SlotRecord(), 0
    for number in range(100):
        key = bytes([number]) * 16
        answer = StoredAnswer(200, (), bytes(100))
        ops = [claim(key=key), close(key=key, answer=answer)]
        before = len(record.to_bytes())
        record = apply(*ops, record=record, max_bytes=10_000).record
        compacted += len(record.to_bytes()) < before
    assert 0 < compacted < 15


def test_oldest_answers_are_dropped_first_from_a_large_record():
    record = SlotRecord()
    for number in range(5):
        key = bytes([number]) * 16
        big = StoredAnswer(200, (), bytes(1_000))
        ops = [claim(key=key), close(key=key, answer=big)]
        record = apply(*ops, record=record, now=number, max_bytes=3_000).record
    kept = [entry.answer is not None for entry in record.entries().values()]
    assert kept == [False, False, False, True, True]
    assert all(entry.state is ClaimState.DONE for entry in record.entries().values())
    assert len(record.to_bytes()) <= 3_000


def test_full_record_refuses_new_claims_and_keeps_old_ones():
    old = [claim(key=bytes([number]) * 16) for number in range(10)]
    record = apply(*old).record
    limit = len(record.to_bytes()) + 10
    change = apply(claim(), close(key=bytes(16)), record=record, max_bytes=limit)
    assert change.verdicts[0] is Verdict.SLOT_FULL
    assert set(change.record.raw) == set(record.raw)
