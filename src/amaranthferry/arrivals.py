"""Generate seeded arrivals of a workload."""

import math
import random
from enum import StrEnum

import msgspec
import xxhash

from .types import ClassId, RequestId, Seconds, TierId, Tokens, WorkspaceId

SHORTEST_PREFIX_TOKENS = 64
BURST_DURATION: Seconds = 0.5
REFERENCE_PREFILL_RATE = 16_000.0
REFERENCE_DECODE_INTERVAL: Seconds = 0.01
REFERENCE_SLOTS = 16
REFERENCE_OUTPUT_COST: Seconds = REFERENCE_DECODE_INTERVAL / REFERENCE_SLOTS


class Shape(StrEnum):
    """Define the distribution over time of the arrivals of one kind of work."""

    STEADY = "steady"
    BURSTS = "bursts"
    RAMP = "ramp"
    EVENING = "evening"


class WorkKind(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one kind of work; lengths are drawn log-uniformly between bounds.

    `share` is this kind's share of the workload's cost, not of its requests.
    `deadline_factor` sets an absolute deadline as a multiple of the trace's duration.
    The callers of work with an objective may come back after a refusal; their requests
    belong to one of `workspace_count`.
    """

    workspace: WorkspaceId
    tier: TierId
    tier_rank: int
    work_class: ClassId
    class_rank: int
    share: float
    prompt: tuple[Tokens, Tokens]
    output: tuple[Tokens, Tokens]
    timeout: Seconds
    deadline_factor: float = 0.0
    bulk: bool = False
    shape: Shape = Shape.STEADY
    burst_size: int = 1
    prefix_count: int = 0
    prefix_tokens: Tokens = 0
    objective: Seconds = 0.0
    retries: int = 0
    workspace_count: int = 1

    def workspaces(self) -> tuple[WorkspaceId, ...]:
        """Return the workspaces that send this kind of work."""
        if self.workspace_count == 1:
            return (self.workspace,)
        numbers = range(1, self.workspace_count + 1)
        return tuple(WorkspaceId(f"{self.workspace}-{number}") for number in numbers)


class Workload(msgspec.Struct, frozen=True):
    """Describe a named mixture of kinds of work."""

    name: str
    kinds: tuple[WorkKind, ...]

    @property
    def by_objective(self) -> bool:
        """Return whether the work is to be ordered by its objectives."""
        return any(kind.objective for kind in self.kinds)


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one request, `at` seconds after the start of the trace."""

    at: Seconds
    request_id: RequestId
    workspace: WorkspaceId
    tier: TierId
    tier_rank: int
    work_class: ClassId
    class_rank: int
    timeout: Seconds
    prompt_tokens: Tokens
    output_tokens: Tokens
    expected_output_tokens: Tokens
    bulk: bool = False
    prefix: str = ""
    prefix_tokens: Tokens = 0
    objective: Seconds = 0.0
    retries: int = 0

    @property
    def deadline(self) -> Seconds:
        """Return the deadline in seconds after the start of the trace."""
        return self.at + self.timeout

    @property
    def urgent(self) -> bool:
        """Return whether the request belongs to the most urgent tier."""
        return self.tier_rank == 0

    def prefix_hashes(self) -> tuple[int, ...]:
        """Return hashes of the prompt's first 64, 128, 256... tokens."""
        levels = _levels(self.prompt_tokens)
        shared = _levels(self.prefix_tokens)
        names = [self.prefix] * shared + [self.request_id] * (levels - shared)
        return tuple(
            xxhash.xxh64_intdigest(f"{name}/{level}".encode())
            for level, name in enumerate(names)
        )


def _levels(tokens: Tokens) -> int:
    if tokens < SHORTEST_PREFIX_TOKENS:
        return 0
    return int(math.log2(tokens / SHORTEST_PREFIX_TOKENS)) + 1


def reference_cost(prompt: Tokens, output: Tokens) -> Seconds:
    """Return the time that a request costs a reference engine in a full batch."""
    return prompt / REFERENCE_PREFILL_RATE + output * REFERENCE_OUTPUT_COST


def generate(
    workload: Workload,
    *,
    rate: float,
    duration: Seconds,
    seed: int,
    length_scale: float = 1.0,
) -> tuple[Arrival, ...]:
    """Generate the arrivals of one trace; `rate` is requests per second in total."""
    weights = [kind.share / _mean_cost(kind) for kind in workload.kinds]
    total = sum(weights)
    arrivals: list[Arrival] = []
    for kind, weight in zip(workload.kinds, weights, strict=True):
        rng = random.Random(f"{seed}/{workload.name}/{kind.work_class}")
        times = _times(kind, rate=rate * weight / total, duration=duration, rng=rng)
        for number, at in enumerate(times):
            request_id = RequestId(f"{seed}-{kind.work_class}-{number}")
            arrivals.append(
                _draw(
                    kind, request_id, at, duration=duration, scale=length_scale, rng=rng
                )
            )
    return tuple(sorted(arrivals, key=lambda arrival: arrival.at))


def mean_cost(workload: Workload) -> Seconds:
    """Return the reference cost of the mean request of a workload."""
    return 1 / sum(kind.share / _mean_cost(kind) for kind in workload.kinds)


def _mean_cost(kind: WorkKind) -> Seconds:
    prompt = int(_log_uniform_mean(*kind.prompt))
    output = int(_log_uniform_mean(*kind.output))
    return reference_cost(prompt, output)


def _log_uniform_mean(low: float, high: float) -> float:
    if low == high:
        return low
    return (high - low) / math.log(high / low)


def _log_uniform(low: float, high: float, rng: random.Random) -> int:
    return round(math.exp(rng.uniform(math.log(low), math.log(high))))


def _times(
    kind: WorkKind, *, rate: float, duration: Seconds, rng: random.Random
) -> list[Seconds]:
    if kind.shape is Shape.BURSTS:
        return _burst_times(kind, rate=rate, duration=duration, rng=rng)
    times: list[Seconds] = []
    at = rng.expovariate(rate)
    while at < duration:
        times.append(_reshape(kind.shape, at, duration))
        at += rng.expovariate(rate)
    return times


def _reshape(shape: Shape, at: Seconds, duration: Seconds) -> Seconds:
    match shape:
        case Shape.RAMP:
            return duration * math.sqrt(at / duration)
        case Shape.EVENING:
            return at * 0.6
        case _:
            return at


def _burst_times(
    kind: WorkKind, *, rate: float, duration: Seconds, rng: random.Random
) -> list[Seconds]:
    times: list[Seconds] = []
    at = rng.expovariate(rate / kind.burst_size)
    while at < duration:
        spread = (rng.uniform(0, BURST_DURATION) for _ in range(kind.burst_size))
        times.extend(at + offset for offset in spread)
        at += rng.expovariate(rate / kind.burst_size)
    return times


def _draw(
    kind: WorkKind,
    request_id: RequestId,
    at: Seconds,
    *,
    duration: Seconds,
    scale: float,
    rng: random.Random,
) -> Arrival:
    prompt = max(1, round(_log_uniform(*kind.prompt, rng) * scale))
    output = max(1, round(_log_uniform(*kind.output, rng) * scale))
    expected = max(1, round(_log_uniform_mean(*kind.output) * scale))
    number = rng.randrange(kind.prefix_count) if kind.prefix_count else 0
    workspaces = kind.workspaces()
    workspace = rng.choice(workspaces) if len(workspaces) > 1 else kind.workspace
    timeout = kind.timeout
    if kind.deadline_factor:
        timeout = max(timeout, duration * kind.deadline_factor - at)
    return Arrival(
        at=at,
        request_id=request_id,
        workspace=workspace,
        tier=kind.tier,
        tier_rank=kind.tier_rank,
        work_class=kind.work_class,
        class_rank=kind.class_rank,
        timeout=timeout,
        prompt_tokens=prompt,
        output_tokens=output,
        expected_output_tokens=expected,
        bulk=kind.bulk,
        prefix=f"{kind.work_class}-{number}" if kind.prefix_count else "",
        prefix_tokens=min(prompt, round(kind.prefix_tokens * scale)),
        objective=kind.objective,
        retries=kind.retries,
    )
