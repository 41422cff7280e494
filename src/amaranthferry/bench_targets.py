"""Define the targets of the decision bench and evaluate results against them."""

from collections.abc import Callable, Iterable, Iterator
from itertools import combinations
from statistics import mean, median
from typing import NamedTuple

import msgspec

from .bench import Row
from .bench_coordinated import OURS
from .bench_policies import BASELINES
from .bench_simulation import Fault
from .config import Pool
from .types import PoolId
from .workloads import OVERNIGHT, URGENT

INVERSIONS = "urgent work shed for lower work (count)"
URGENT_GOODPUT_RATIO = "urgent goodput at load 3 over load 0.5"
ORACLE_FRACTION = "total goodput over the oracle's"
WASTED_FRACTION = "wasted part of prefill"
WASTE_OVER_BASELINES = "wasted part over the best baseline's"
OVERNIGHT_GOODPUT = "overnight goodput where capacity allows"
STRAGGLER_RATIO = "urgent first-token p99 with a straggler over without"
SERVED_EXCESS = "served of a kind beyond a more urgent one (share)"
KIND_SERVED = "least served kind"
LARGEST_SERVED = "largest tenth served over its kind"
WORKSPACE_SERVED = "least served workspace over its kind"
MAX_INVERSIONS = 0.0
MIN_URGENT_GOODPUT_RATIO = 0.99
MIN_ORACLE_FRACTION = 0.9
MAX_WASTED_FRACTION = 0.02
MAX_WASTE_OVER_BASELINES = 0.25
MIN_OVERNIGHT_GOODPUT = 1.0
MAX_STRAGGLER_RATIO = 1.5
#: What the default of the setting promises to each kind, also to the least urgent one.
MIN_KIND_SERVED = Pool(PoolId("")).minimum_share
#: Urgent work goes first, so a less urgent kind gets no more than that share beside it.
MAX_SERVED_EXCESS = MIN_KIND_SERVED
#: No caller is refused for the size of its request: twice the mean needs more time, but
#: not more than that.
MIN_LARGEST_SERVED = 0.5
#: Workspaces that send alike are served alike; the rest is the spread of single seeds.
MIN_WORKSPACE_SERVED = 0.5
LOW_LOAD = 0.5
HIGH_LOAD = 3.0
OVERLOADS = (1.5, 3.0)
LOADS_WITHIN_CAPACITY = (0.5, 0.9)


class Sample(msgspec.Struct, frozen=True):
    """Represent the value of a target's metric for one seed."""

    case: str
    seed: int
    value: float


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """Define a bound, and the function that computes its samples from rows."""

    name: str
    bound: float
    at_least: bool
    samples: Callable[["Rows"], Iterator[Sample]]

    def met(self, value: float) -> bool:
        """Return whether a value is within the bound."""
        return value >= self.bound if self.at_least else value <= self.bound


class TargetResult(msgspec.Struct, frozen=True, kw_only=True):
    """Compare the median and the worst seed of one case with its target."""

    target: str
    bound: float
    case: str
    seeds: int
    median: float
    worst: float
    worst_seed: int
    met: bool


class _Key(NamedTuple):
    workload: str
    load: float
    policy: str
    fault: Fault
    seed: int


class Rows:
    """Index rows by workload, load, policy, fault and seed."""

    def __init__(self, rows: Iterable[Row]) -> None:
        self._rows = {
            _Key(row.workload, row.load, row.policy, row.fault, row.seed): row
            for row in rows
        }

    def ours(self, fault: Fault | None = Fault.NONE) -> Iterator[Row]:
        """Yield the rows of the full policy by deadline, for one fault or for any."""
        for row in self._rows.values():
            if row.policy == OURS and fault in (None, row.fault) and not row.kinds:
                yield row

    def ours_by_objective(self) -> Iterator[Row]:
        """Yield the rows of the full policy for work with objectives."""
        for row in self._rows.values():
            if row.policy == OURS and row.kinds:
                yield row

    def counterpart(
        self,
        row: Row,
        *,
        load: float | None = None,
        policy: str | None = None,
        fault: Fault | None = None,
    ) -> Row | None:
        """Return the row that differs from this one only in the given values."""
        key = _Key(
            row.workload,
            row.load if load is None else load,
            policy or row.policy,
            fault or row.fault,
            row.seed,
        )
        return self._rows.get(key)


def wasted_fraction(row: Row) -> float:
    """Return the fraction of prefill tokens that were wasted."""
    return sum(row.wasted_prefill_tokens.values()) / max(1, row.prefill_tokens)


def _sample(row: Row, value: float, *, load: bool = True) -> Sample:
    parts = [row.workload, f"load {row.load:g}" if load else ""]
    if row.fault is not Fault.NONE:
        parts.append(row.fault)
    return Sample(", ".join(part for part in parts if part), row.seed, value)


def _inversions(rows: Rows) -> Iterator[Sample]:
    for row in rows.ours(fault=None):
        yield _sample(row, row.inversions)


def _urgent_goodput_ratio(rows: Rows) -> Iterator[Sample]:
    for high in rows.ours():
        low = rows.counterpart(high, load=LOW_LOAD)
        if high.load == HIGH_LOAD and low is not None:
            value = high.goodput[URGENT] / max(low.goodput[URGENT], 1e-9)
            yield _sample(high, value, load=False)


def _oracle_fraction(rows: Rows) -> Iterator[Sample]:
    for row in rows.ours():
        if row.load in OVERLOADS:
            yield _sample(row, row.total_goodput / row.oracle_goodput)


def _wasted_fraction(rows: Rows) -> Iterator[Sample]:
    for row in rows.ours():
        yield _sample(row, wasted_fraction(row))


def _waste_over_baselines(rows: Rows) -> Iterator[Sample]:
    for row in rows.ours():
        found = [rows.counterpart(row, policy=name) for name in BASELINES]
        others = [wasted_fraction(other) for other in found if other is not None]
        if len(others) == len(BASELINES):
            yield _sample(row, wasted_fraction(row) / max(min(others), 1e-9))


def _overnight_goodput(rows: Rows) -> Iterator[Sample]:
    for row in rows.ours():
        if row.load in LOADS_WITHIN_CAPACITY:
            yield _sample(row, row.goodput.get(OVERNIGHT, 1.0))


def _straggler_ratio(rows: Rows) -> Iterator[Sample]:
    for row in rows.ours(Fault.STRAGGLER):
        healthy = rows.counterpart(row, fault=Fault.NONE)
        if healthy is not None:
            ratio = row.urgent_first_token_p99 / healthy.urgent_first_token_p99
            yield _sample(row, ratio)


def _served_excess(rows: Rows) -> Iterator[Sample]:
    for row in rows.ours_by_objective():
        yield _sample(row, served_excess(row))


def served_excess(row: Row) -> float:
    """Return the most by which a kind is served more often than a more urgent one."""
    pairs = combinations(sorted(row.kinds.values(), key=lambda kind: kind.level), 2)
    return max(lower.served - higher.served for higher, lower in pairs)


def _kind_served(rows: Rows) -> Iterator[Sample]:
    for row in rows.ours_by_objective():
        yield _sample(row, min(kind.served for kind in row.kinds.values()))


def _largest_served(rows: Rows) -> Iterator[Sample]:
    for row in rows.ours_by_objective():
        kinds = row.kinds.values()
        yield _sample(row, min(k.large_served / max(k.served, 1e-9) for k in kinds))


def _workspace_served(rows: Rows) -> Iterator[Sample]:
    for row in rows.ours_by_objective():
        yield _sample(row, least_served_workspace(row))


def least_served_workspace(row: Row) -> float:
    """Return how often a workspace is served beside those that send the same kind."""
    groups: dict[str, list[float]] = {}
    for workspace, served in row.workspaces_served.items():
        groups.setdefault(workspace.rpartition("-")[0], []).append(served)
    return min(min(group) / max(mean(group), 1e-9) for group in groups.values())


TARGETS = (
    Target(
        name=INVERSIONS,
        bound=MAX_INVERSIONS,
        at_least=False,
        samples=_inversions,
    ),
    Target(
        name=URGENT_GOODPUT_RATIO,
        bound=MIN_URGENT_GOODPUT_RATIO,
        at_least=True,
        samples=_urgent_goodput_ratio,
    ),
    Target(
        name=ORACLE_FRACTION,
        bound=MIN_ORACLE_FRACTION,
        at_least=True,
        samples=_oracle_fraction,
    ),
    Target(
        name=WASTED_FRACTION,
        bound=MAX_WASTED_FRACTION,
        at_least=False,
        samples=_wasted_fraction,
    ),
    Target(
        name=WASTE_OVER_BASELINES,
        bound=MAX_WASTE_OVER_BASELINES,
        at_least=False,
        samples=_waste_over_baselines,
    ),
    Target(
        name=OVERNIGHT_GOODPUT,
        bound=MIN_OVERNIGHT_GOODPUT,
        at_least=True,
        samples=_overnight_goodput,
    ),
    Target(
        name=STRAGGLER_RATIO,
        bound=MAX_STRAGGLER_RATIO,
        at_least=False,
        samples=_straggler_ratio,
    ),
    Target(
        name=SERVED_EXCESS,
        bound=MAX_SERVED_EXCESS,
        at_least=False,
        samples=_served_excess,
    ),
    Target(
        name=KIND_SERVED,
        bound=MIN_KIND_SERVED,
        at_least=True,
        samples=_kind_served,
    ),
    Target(
        name=LARGEST_SERVED,
        bound=MIN_LARGEST_SERVED,
        at_least=True,
        samples=_largest_served,
    ),
    Target(
        name=WORKSPACE_SERVED,
        bound=MIN_WORKSPACE_SERVED,
        at_least=True,
        samples=_workspace_served,
    ),
)


def evaluate_targets(rows: Iterable[Row]) -> list[TargetResult]:
    """Evaluate every target and case for which the rows suffice."""
    indexed = Rows(rows)
    found: list[TargetResult] = []
    for target in TARGETS:
        cases: dict[str, list[Sample]] = {}
        for sample in target.samples(indexed):
            cases.setdefault(sample.case, []).append(sample)
        found += [_evaluate(target, samples) for samples in cases.values()]
    return found


def _evaluate(target: Target, samples: list[Sample]) -> TargetResult:
    pick = min if target.at_least else max
    worst = pick(samples, key=lambda sample: sample.value)
    return TargetResult(
        target=target.name,
        bound=target.bound,
        case=worst.case,
        seeds=len(samples),
        median=median(sample.value for sample in samples),
        worst=worst.value,
        worst_seed=worst.seed,
        met=target.met(worst.value),
    )
