import msgspec
import pytest

from amaranthferry.bench import Row
from amaranthferry.bench_kinds import KindResult
from amaranthferry.bench_report import format_kinds, format_summary, format_targets
from amaranthferry.bench_simulation import Fault
from amaranthferry.bench_targets import evaluate_targets

HEALTHY = Row(
    workload="kyklos",
    load=3.0,
    policy="ours",
    fault=Fault.NONE,
    seed=1,
    sent={"urgent": 10, "standard": 10, "overnight": 10},
    inversions=0,
    standard_inversions=0,
    goodput={"urgent": 1.0, "standard": 1.0, "overnight": 1.0},
    total_goodput=0.95,
    oracle_goodput=1.0,
    goodput_tokens=1.0,
    prefill_tokens=1_000,
    wasted_prefill_tokens={"late": 10},
    bulk_admitted=10,
    bulk_admitted_late=0,
    urgent_first_token_p50=0.1,
    urgent_first_token_p99=1.0,
)


def row_with(**changes):
    return msgspec.structs.replace(HEALTHY, **changes)


def kind(level, served, *, large=None):
    return KindResult(
        level=(level, 0),
        sent=100,
        in_time=served,
        late=0.0,
        large_served=served if large is None else large,
    )


def kinds_with(**changes):
    kinds = {"review": kind(0, 0.8), "answer": kind(1, 0.8), "tag": kind(2, 0.9)}
    return kinds | changes


BY_OBJECTIVE = row_with(
    workload="routed",
    kinds=kinds_with(),
    workspaces_served={"growers-1": 0.9, "growers-2": 0.7},
)
BASELINES = [
    row_with(policy=name, wasted_prefill_tokens={"late": 100})
    for name in ("round-robin", "least-requests", "least-tokens")
]
GOOD = [
    HEALTHY,
    row_with(load=0.5),
    row_with(fault=Fault.STRAGGLER),
    *BASELINES,
    BY_OBJECTIVE,
]


def by_objective(**changes):
    return msgspec.structs.replace(BY_OBJECTIVE, **changes)


def missed(rows):
    return {result.target for result in evaluate_targets(rows) if not result.met}


def test_rows_within_every_bound_miss_no_target():
    found = evaluate_targets(GOOD)
    assert len({result.target for result in found}) == 11
    assert missed(GOOD) == set()


@pytest.mark.parametrize(
    ("row", "target"),
    [
        (row_with(inversions=1), "urgent work shed for lower work (count)"),
        (
            row_with(fault=Fault.STRAGGLER, inversions=1),
            "urgent work shed for lower work (count)",
        ),
        (
            row_with(goodput={"urgent": 0.98}),
            "urgent goodput at load 3 over load 0.5",
        ),
        (row_with(total_goodput=0.89), "total goodput over the oracle's"),
        (
            row_with(load=0.5, wasted_prefill_tokens={"late": 21}),
            "wasted part of prefill",
        ),
        (
            row_with(wasted_prefill_tokens={"late": 20, "cache_miss": 6}),
            "wasted part over the best baseline's",
        ),
        (
            row_with(load=0.5, goodput={"urgent": 1.0, "overnight": 0.99}),
            "overnight goodput where capacity allows",
        ),
        (
            row_with(fault=Fault.STRAGGLER, urgent_first_token_p99=1.6),
            "urgent first-token p99 with a straggler over without",
        ),
        (
            by_objective(kinds=kinds_with(tag=kind(2, 0.91))),
            "served of a kind beyond a more urgent one (share)",
        ),
        (
            by_objective(kinds=kinds_with(answer=kind(1, 0.09))),
            "least served kind",
        ),
        (
            by_objective(kinds=kinds_with(review=kind(0, 0.8, large=0.39))),
            "largest tenth served over its kind",
        ),
        (
            by_objective(workspaces_served={"growers-1": 0.9, "growers-2": 0.2}),
            "least served workspace over its kind",
        ),
    ],
)
def test_a_row_beyond_a_bound_misses_the_target(row, target):
    assert target in missed([*GOOD, row])


def test_results_name_the_worst_seed():
    rows = [
        row_with(load=1.5, seed=seed, total_goodput=0.9 + seed / 100) for seed in (2, 1)
    ]
    (found,) = (f for f in evaluate_targets(rows) if f.target.startswith("total"))
    assert (found.worst, found.worst_seed, found.seeds) == (0.91, 1, 2)


def test_reports_show_bounds_medians_and_worst_seeds():
    assert "| 0.950 | 0.950 (1) | yes |" in format_targets(GOOD)
    assert "| 0.950 / 0.950 |" in format_summary(GOOD)
    assert "| tag | 100 | 0.900 | 0.000 | 0.900 / 0.900 | 0.900 |" in format_kinds(GOOD)
