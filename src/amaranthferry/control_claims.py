"""Count the platform calls that durable claims take."""

import asyncio

from .claims import ClaimCommitter
from .config import Limits
from .memory_objects import MemoryObjectStore
from .object_store import CallKind
from .slopes import Series
from .types import HostId, Outcome, RequestId, WorkspaceId

CLAIM_COUNTS = (16, 64, 256, 512)
HOST_COUNTS = (1, 4, 16, 64)
TOTAL_CLAIMS = 256
#: Far above a host's default write rate, so that only grouping limits the writes.
UNPACED_WRITES_PER_SECOND = 10_000.0
TIMEOUT_SECONDS = 60.0
WORKSPACE = WorkspaceId("workspace")


async def measure_claims() -> list[Series]:
    """Count writes by the number of concurrent claims and by the number of hosts."""
    by_claims = [await count_writes(count, 1) for count in CLAIM_COUNTS]
    by_hosts = [await count_writes(TOTAL_CLAIMS, hosts) for hosts in HOST_COUNTS]
    role = "claim committer"
    return [
        Series(
            role,
            "writes to claim and close all, one host",
            "calls",
            "claim",
            CLAIM_COUNTS,
            tuple(float(value) for value in by_claims),
        ),
        Series(
            role,
            f"writes to claim and close {TOTAL_CLAIMS} in all",
            "calls",
            "host",
            HOST_COUNTS,
            tuple(float(value) for value in by_hosts),
        ),
    ]


async def count_writes(claims: int, hosts: int) -> int:
    """Return the number of writes for concurrent claims distributed over hosts."""
    store = MemoryObjectStore()
    committers = [
        ClaimCommitter(
            store,
            HostId(f"entry-{index}"),
            Limits(),
            writes_per_second=UNPACED_WRITES_PER_SECOND,
        )
        for index in range(hosts)
    ]
    work = [
        _claim_and_close(committers[index % hosts], index) for index in range(claims)
    ]
    await asyncio.gather(*work)
    for committer in committers:
        await committer.stop(timeout=TIMEOUT_SECONDS)
    return store.calls[CallKind.PUT]


async def _claim_and_close(committer: ClaimCommitter, index: int) -> None:
    request_id = RequestId(f"{index:032x}")
    result = await committer.claim(
        request_id, WORKSPACE, f"key-{index}", "", timeout=TIMEOUT_SECONDS
    )
    assert result.status == "held", result
    await committer.close(request_id, Outcome.DONE)
