"""Time one round of a claim slot: decode, apply one claim, encode.

Run from the root: `python -m benchmarks.claim_round`. Times are medians of the
processor time over `ROUNDS` rounds, in milliseconds.
"""

import random
import time

from amaranthferry.claim_record import (
    Claim,
    Close,
    SlotRecord,
    reduce_slot,
)
from amaranthferry.types import HostId, Outcome

ROUNDS = 21
SEED = 1
NOW = 1_800_000_000.0
RETENTION_SECONDS = 86_400.0


def make_record(entries, rng):
    """Return an encoded slot of closed claims."""
    ops = []
    for _ in range(entries):
        key, nonce = rng.randbytes(16), rng.randbytes(8)
        host = HostId("entry-07")
        ops.append(Claim(key=key, nonce=nonce, digest=rng.randbytes(8), host=host))
        ops.append(Close(key=key, nonce=nonce, outcome=Outcome.DONE))
    return reduce_slot(SlotRecord(), ops, now=NOW, retention=RETENTION_SECONDS).data


def main():
    """Print one line per slot size."""
    rng = random.Random(SEED)
    for entries in (100, 1_000, 4_000, 15_000):
        data = make_record(entries, rng)
        op = Claim(
            key=rng.randbytes(16),
            nonce=rng.randbytes(8),
            digest=rng.randbytes(8),
            host=HostId("entry-07"),
        )
        times = []
        for _ in range(ROUNDS):
            started = time.process_time()
            record = SlotRecord.from_bytes(data)
            reduce_slot(record, [op], now=NOW + 1, retention=RETENTION_SECONDS)
            times.append(time.process_time() - started)
        median = sorted(times)[ROUNDS // 2] * 1_000
        print(f"{entries} entries, {len(data)} bytes: {median:.2f} ms")


if __name__ == "__main__":
    main()
