"""Measure the cost of one decision of a coordinator with a long queue."""

import sys
import time
from collections.abc import Callable
from itertools import islice
from types import FrameType

import msgspec

from .arrivals import Arrival
from .bench import bench_servers, trace
from .bench_coordinated import HOST, POOL, SHARD, bench_deployment
from .coordinator import Coordinator
from .coordinator_reducer import reduce
from .effects import Effect, SendToHost
from .events import PeerReceived
from .messages import Message, PermitGrant, PermitRelease, PermitRequest, Registration
from .types import Seconds
from .workloads import find_workload

TRACE_LOAD = 3.0
TRACE_DURATION: Seconds = 400.0
MESSAGE_INTERVAL: Seconds = 0.001
# Exceeds the duration of a measurement, so that no waiting request expires.
LONG_DEADLINE: Seconds = 100_000.0
NANOSECONDS_PER_MICROSECOND = 1_000


class CostRow(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the cost of a decision at one queue length.

    A decision is one permit request or one release, with all grants that result.
    `calls` is the mean number of function calls, which is the same in every run.
    """

    waiting: int
    decisions: int
    median_us: float
    p99_us: float
    calls: float


def measure_cost(
    waiting: int, *, decisions: int = 500, workload: str = "kyklos", seed: int = 1
) -> CostRow:
    """Time decisions at a queue length, then count the function calls of as many more."""
    coordinator = _LoadedCoordinator(workload, waiting, seed)
    times = sorted(coordinator.cycle(_time_call) for _ in range(decisions // 2))
    cycles = len(times)
    calls = sum(coordinator.cycle(_count_calls) for _ in range(cycles))
    return CostRow(
        waiting=waiting,
        decisions=2 * cycles,
        median_us=times[cycles // 2] / 2,
        p99_us=times[int(0.99 * cycles)] / 2,
        calls=calls / (2 * cycles),
    )


class _LoadedCoordinator:
    """Represent a coordinator whose queue length stays constant."""

    def __init__(self, workload: str, waiting: int, seed: int) -> None:
        found = find_workload(workload)
        deployment = bench_deployment(found, bench_servers())
        pool = msgspec.structs.replace(deployment.pools[POOL], queue_limit=2 * waiting)
        deployment = msgspec.structs.replace(deployment, pools={POOL: pool})
        self._now = 0.0
        self._running: list[PermitGrant] = []
        self._arrivals = iter(trace(found, TRACE_LOAD, seed, TRACE_DURATION))
        self._coordinator = Coordinator.from_config(
            deployment, SHARD, now=0.0, hosts=(HOST,)
        )
        self._send(Registration(SHARD, waiting=(), running=()))
        while len(self._coordinator.queue) < waiting:
            self._send(self._next_request())

    def cycle(self, meter: Callable[[Callable[[], object]], float]) -> float:
        """Release one permit, request another and return the sum of both readings."""
        grant = self._running.pop(0)
        release = PermitRelease(grant.request_id, SHARD, grant.server, dispatched=True)
        request = self._next_request()
        return meter(lambda: self._send(release)) + meter(lambda: self._send(request))

    def _next_request(self) -> PermitRequest:
        return _permit_request(*islice(self._arrivals, 1))

    def _send(self, message: Message) -> None:
        self._now += MESSAGE_INTERVAL
        event = PeerReceived(now=self._now, sender=HOST, message=message)
        self._record_grants(reduce(self._coordinator, event))

    def _record_grants(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToHost):
                message = effect.message
                if isinstance(message, PermitGrant):
                    self._running.append(message)


def _permit_request(arrival: Arrival) -> PermitRequest:
    return PermitRequest(
        request_id=arrival.request_id,
        shard=SHARD,
        workspace=arrival.workspace,
        tier_rank=arrival.tier_rank,
        class_rank=arrival.class_rank,
        remaining=LONG_DEADLINE + arrival.deadline,
        prompt_tokens=arrival.prompt_tokens,
        output_tokens=arrival.expected_output_tokens,
        prefixes=arrival.prefix_hashes(),
        bulk=arrival.bulk,
    )


def _time_call(call: Callable[[], object]) -> float:
    started = time.perf_counter_ns()
    call()
    return (time.perf_counter_ns() - started) / NANOSECONDS_PER_MICROSECOND


def _count_calls(call: Callable[[], object]) -> float:
    count = 0

    def count_call(frame: FrameType, event: str, arg: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(count_call)
    try:
        call()
    finally:
        sys.setprofile(None)
    return count
