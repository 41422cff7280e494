"""Count platform calls per claim, with and without group commit.

Run from the root: `python -m benchmarks.claim_calls`. Time is virtual; each
call to the object API takes `CALL_SECONDS`.
"""

import asyncio
import random
from unittest import mock

import msgspec
from tests.virtual_loop import run

from amaranthferry.claim_slot import SlotCommitter
from amaranthferry.claims import ClaimCommitter, ClaimStatus
from amaranthferry.config import Limits
from amaranthferry.objects import CallKind, MemoryObjectStore
from amaranthferry.types import HostId, Outcome, RequestId, WorkspaceId

CALL_SECONDS = 0.005
CLAIMS_PER_CASE = 2_000
SEED = 1
REQUEST_SECONDS = 0.05


class SlowStore(MemoryObjectStore):
    """Represent an object store whose calls take a fixed time."""

    async def _admit(self, kind):
        self.calls[kind] += 1
        await asyncio.sleep(CALL_SECONDS)


class Case(msgspec.Struct, frozen=True):
    """Describe the results of one case; times in milliseconds."""

    hosts: int
    in_flight: int
    rate: float
    grouped: bool
    writes_per_claim: float
    reads_per_claim: float
    held: int
    median_ms: float
    worst_ms: float


async def measure(hosts, in_flight, rate):
    """Claim and close keys with a fixed number of claims in flight."""
    store = SlowStore()
    rng = random.Random(SEED)
    committers = [
        ClaimCommitter(store, HostId(f"h{n}"), Limits(), writes_per_second=rate)
        for n in range(hosts)
    ]
    numbers = iter(range(CLAIMS_PER_CASE))
    loop = asyncio.get_running_loop()
    times = []

    async def worker():
        for number in numbers:
            committer = rng.choice(committers)
            request = RequestId(str(number))
            started = loop.time()
            result = await committer.claim(
                request, WorkspaceId("w"), f"k{number}", "b", timeout=30
            )
            times.append(loop.time() - started)
            if result.status is ClaimStatus.HELD:
                held.append(request)
                await committer.close(request, Outcome.DONE)

    held: list[RequestId] = []
    await asyncio.gather(*(worker() for _ in range(in_flight)))
    for committer in committers:
        await committer.stop(timeout=600)
    times.sort()
    return Case(
        hosts,
        in_flight,
        rate,
        True,
        round(store.calls[CallKind.PUT] / CLAIMS_PER_CASE, 3),
        round(store.calls[CallKind.GET] / CLAIMS_PER_CASE, 3),
        len(held),
        round(times[len(times) // 2] * 1_000, 1),
        round(times[-1] * 1_000, 1),
    )


class Burst(msgspec.Struct, frozen=True):
    """Describe the times to claim the keys of a burst, in milliseconds."""

    burst: int
    hosts: int
    median_ms: float
    worst_ms: float


async def measure_burst(hosts, size):
    """Claim many keys at once and close each after `REQUEST_SECONDS`."""
    store = SlowStore()
    committers = [
        ClaimCommitter(store, HostId(f"h{n}"), Limits()) for n in range(hosts)
    ]
    loop = asyncio.get_running_loop()

    async def claim_and_close(number):
        committer = committers[number % hosts]
        request = RequestId(str(number))
        started = loop.time()
        await committer.claim(request, WorkspaceId("w"), f"k{number}", "b", timeout=60)
        elapsed = loop.time() - started
        await asyncio.sleep(REQUEST_SECONDS)
        await committer.close(request, Outcome.DONE)
        return elapsed

    times = sorted(await asyncio.gather(*(claim_and_close(n) for n in range(size))))
    median = round(times[size // 2] * 1_000, 1)
    return Burst(size, hosts, median, round(times[-1] * 1_000, 1))


def main():
    """Print one JSON line per case."""
    for hosts in (1, 19):
        for size in (20, 100, 400):
            burst = run(measure_burst(hosts, size))
            print(msgspec.json.encode(burst).decode(), flush=True)
    cases = [(1, n) for n in (1, 16, 128, 1_000)] + [
        (19, n) for n in (1, 16, 128, 1_000)
    ]
    for rate in (float("inf"), 20.0):
        for hosts, in_flight in cases:
            if rate == 20.0 and in_flight == 1:
                continue
            grouped = run(measure(hosts, in_flight, rate))
            with mock.patch.object(
                SlotCommitter, "_next_batch", lambda self: self._queue[:1]
            ):
                single = run(measure(hosts, in_flight, rate))
            single = msgspec.structs.replace(single, grouped=False)
            for case in (single, grouped):
                print(msgspec.json.encode(case).decode())


if __name__ == "__main__":
    main()
