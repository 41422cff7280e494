"""Benchmark scheduling decisions of one shard under policies, loads and faults."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from .arrivals import (
    REFERENCE_DECODE_INTERVAL,
    REFERENCE_PREFILL_RATE,
    REFERENCE_SLOTS,
    Arrival,
    Workload,
    generate,
    mean_cost,
)
from .bench_coordinated import (
    POOL,
    CoordinatedDispatcher,
    bench_deployment,
    policy_from_name,
    policy_names,
)
from .bench_inversions import count_inversions
from .bench_kinds import KindResult, measure_kinds, measure_workspaces
from .bench_oracle import oracle_count
from .bench_policies import BASELINES
from .bench_simulation import Dispatcher, Fault, Record, RequestStatus, Simulation
from .config import BackendServer
from .exceptions import AmaranthferryError
from .types import (
    ClassId,
    Seconds,
    ServerId,
    TierId,
    Tokens,
    WasteCause,
    WorkspaceId,
    ZoneId,
)
from .workloads import find_workload

DURATION: Seconds = 240.0
SPEEDS = (1.0, 0.75, 0.5, 0.25, 0.25)
LOADS = (0.5, 0.9, 1.5, 3.0)
KV_TOKENS: Tokens = 400_000


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the results of one simulation of one policy.

    Goodput is the fraction of the requests sent that finished by their deadlines.
    `inversions` counts those of the most urgent tier, `standard_inversions` those of
    the tier below it. `kinds` and `workspaces_served` describe work with objectives.
    """

    workload: str
    load: float
    policy: str
    fault: Fault
    seed: int
    sent: dict[TierId, int]
    inversions: int
    standard_inversions: int
    goodput: dict[TierId, float]
    total_goodput: float
    oracle_goodput: float
    goodput_tokens: float
    prefill_tokens: Tokens
    wasted_prefill_tokens: dict[WasteCause, Tokens]
    bulk_admitted: int
    bulk_admitted_late: int
    urgent_first_token_p50: Seconds
    urgent_first_token_p99: Seconds
    kinds: dict[ClassId, KindResult] = {}
    workspaces_served: dict[WorkspaceId, float] = {}


def bench_servers() -> tuple[BackendServer, ...]:
    """Return the engines of one shard, whose speeds differ by a factor of four."""
    return tuple(
        BackendServer(
            ServerId(f"engine-{number}"),
            POOL,
            ZoneId("larisa"),
            "",
            kind=f"speed-{speed}",
            slots=REFERENCE_SLOTS,
            kv_tokens=KV_TOKENS,
            prefill_rate=REFERENCE_PREFILL_RATE * speed,
            decode_interval=REFERENCE_DECODE_INTERVAL / speed,
        )
        for number, speed in enumerate(SPEEDS)
    )


def capacity(workload: Workload) -> float:
    """Return the requests per second that the shard's engines can finish."""
    return sum(SPEEDS) / mean_cost(workload)


def trace(
    workload: Workload, load: float, seed: int, duration: Seconds = DURATION
) -> tuple[Arrival, ...]:
    """Generate arrivals at a rate of `load` times the shard's capacity."""
    rate = load * capacity(workload)
    return generate(workload, rate=rate, duration=duration, seed=seed)


def all_policies() -> tuple[str, ...]:
    """Return the names of the policies that the bench can run."""
    return (*policy_names(), *BASELINES)


def run_row(
    workload: str,
    load: float,
    policy: str,
    seed: int,
    fault: Fault = Fault.NONE,
    *,
    duration: Seconds = DURATION,
) -> Row:
    """Simulate one trace under one policy and return its results."""
    found = find_workload(workload)
    servers = bench_servers()
    simulation = Simulation(
        trace(found, load, seed, duration),
        servers,
        _dispatcher(policy, found, servers, seed),
        duration=duration,
        fault=fault,
    )
    records = simulation.run()
    return measure(
        records, workload=workload, load=load, policy=policy, seed=seed, fault=fault
    )


def _dispatcher(
    policy: str, workload: Workload, servers: tuple[BackendServer, ...], seed: int
) -> Dispatcher:
    if policy in BASELINES:
        return BASELINES[policy]()
    if policy not in policy_names():
        raise AmaranthferryError(
            f"No policy is named {policy!r}.",
            remedy=f"Choose one of: {', '.join(all_policies())}.",
        )
    deployment = bench_deployment(workload, servers)
    return CoordinatedDispatcher(deployment, policy_from_name(policy), seed=seed)


def measure(
    records: Iterable[Record],
    *,
    workload: str,
    load: float,
    policy: str,
    seed: int,
    fault: Fault,
) -> Row:
    """Compute the results of one simulation from its records."""
    all_records = tuple(records)
    done = [record for record in all_records if record.status is RequestStatus.DONE]
    sent = Counter(record.arrival.tier for record in all_records)
    done_by_tier = Counter(record.arrival.tier for record in done)
    oracle = oracle_count((record.arrival for record in all_records), bench_servers())
    bulk = [r for r in all_records if r.arrival.bulk and r.admitted is not None]
    first_token_times = sorted(
        _time_to_first_token(r) for r in done if r.arrival.urgent
    )
    return Row(
        workload=workload,
        load=load,
        policy=policy,
        fault=fault,
        seed=seed,
        sent=dict(sent),
        inversions=count_inversions(all_records),
        standard_inversions=count_inversions(all_records, rank=1),
        goodput={tier: done_by_tier[tier] / sent[tier] for tier in sorted(sent)},
        total_goodput=len(done) / len(all_records),
        oracle_goodput=oracle / len(all_records),
        goodput_tokens=_tokens(done) / _tokens(all_records),
        prefill_tokens=sum(r.job.prefilled for r in all_records if r.job is not None),
        wasted_prefill_tokens=_waste(all_records),
        bulk_admitted=len(bulk),
        bulk_admitted_late=sum(1 for r in bulk if r.status is RequestStatus.LATE),
        urgent_first_token_p50=_quantile(first_token_times, 0.5),
        urgent_first_token_p99=_quantile(first_token_times, 0.99),
        kinds=measure_kinds(all_records),
        workspaces_served=measure_workspaces(all_records),
    )


def _time_to_first_token(record: Record) -> Seconds:
    assert record.job is not None and record.job.first_token is not None
    return record.job.first_token - record.arrival.at


def _quantile(values: list[Seconds], fraction: float) -> Seconds:
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(fraction * len(values)))]


def _tokens(records: Iterable[Record]) -> Tokens:
    return sum(r.arrival.prompt_tokens + r.arrival.output_tokens for r in records)


def _waste(records: Iterable[Record]) -> dict[WasteCause, Tokens]:
    waste: Counter[WasteCause] = Counter()
    for record in records:
        job = record.job
        if job is None:
            continue
        match record.status:
            case RequestStatus.LATE:
                waste[WasteCause.LATE] += job.prefilled
            case RequestStatus.FAILED:
                waste[WasteCause.FAILED] += job.prefilled
            case _:
                missed = max(0, job.best_cached - job.cached)
                waste[WasteCause.CACHE_MISS] += min(missed, job.prefilled)
    return {cause: count for cause, count in waste.items() if count}
