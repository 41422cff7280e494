"""Compute an upper bound on the requests that any scheduler could finish in time.

The problem is relaxed to one machine with the combined speed of all engines, which
divides and preempts work freely, always decodes in full batches and prefills each
shared prefix once. All lengths are known in advance. Two problems are solved exactly,
one with the deadlines only and one with the arrival times only; the lower result is
the bound.
"""

import heapq
from collections.abc import Iterable

import msgspec

from .arrivals import Arrival
from .config import BackendServer
from .types import Seconds


class _Task(msgspec.Struct, frozen=True):
    cost: Seconds
    due: Seconds


def oracle_count(arrivals: Iterable[Arrival], servers: Iterable[BackendServer]) -> int:
    """Return an upper bound on the requests finished by their deadlines."""
    all_arrivals = tuple(arrivals)
    costs = _relaxed_costs(all_arrivals, tuple(servers))
    end = max((arrival.deadline for arrival in all_arrivals), default=0.0)
    by_deadline = [
        _Task(cost, arrival.deadline)
        for cost, arrival in zip(costs, all_arrivals, strict=True)
    ]
    by_arrival = [
        _Task(cost, end - arrival.at)
        for cost, arrival in zip(costs, all_arrivals, strict=True)
    ]
    return min(_most_on_time(by_deadline), _most_on_time(by_arrival))


def _most_on_time(tasks: list[_Task]) -> int:
    """Return the most tasks on time if all are ready at 0 (Moore-Hodgson)."""
    chosen: list[Seconds] = []
    total = 0.0
    for task in sorted(tasks, key=lambda task: task.due):
        heapq.heappush(chosen, -task.cost)
        total += task.cost
        if total > task.due:
            total += heapq.heappop(chosen)
    return len(chosen)


def _relaxed_costs(
    arrivals: tuple[Arrival, ...], servers: tuple[BackendServer, ...]
) -> list[Seconds]:
    """Return the seconds that each request takes on all engines combined.

    Every prompt that shares a prefix is assumed to find it cached, so that the bound
    is valid whichever of them prefills it.
    """
    prefill = sum(server.prefill_rate for server in servers)
    decode = sum(server.slots / server.decode_interval for server in servers)
    return [
        (arrival.prompt_tokens - arrival.prefix_tokens) / prefill
        + arrival.output_tokens / decode
        for arrival in arrivals
    ]
