from itertools import combinations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from typer.testing import CliRunner

from amaranthferry.arrivals import generate
from amaranthferry.bench import Row, bench_servers, run_row, trace
from amaranthferry.bench_inversions import count_inversions
from amaranthferry.bench_oracle import _most_on_time, _Task, oracle_count
from amaranthferry.bench_policies import BASELINES
from amaranthferry.bench_simulation import Fault, Record
from amaranthferry.cli_bench import app
from amaranthferry.workloads import KYKLOS, find_workload

ARRIVALS = generate(KYKLOS, rate=5, duration=20, seed=1)


def record(at, *, rank, admitted=None, dropped=None, timeout=10.0):
    arrival = msgspec.structs.replace(
        ARRIVALS[0], at=at, timeout=timeout, tier_rank=rank
    )
    return Record(arrival=arrival, hashes=(), admitted=admitted, dropped=dropped)


SHED_AT_5 = {"at": 4.0, "rank": 0, "dropped": 5.0}


@pytest.mark.parametrize(
    ("lower", "expected"),
    [
        ({"at": 1.0, "admitted": 2.0}, 0),
        ({"at": 1.0, "admitted": 4.5}, 1),
        ({"at": 6.0, "admitted": 13.0}, 1),
        ({"at": 6.0, "admitted": 15.0}, 0),
        ({"at": 1.0, "dropped": 6.0}, 1),
        ({"at": 1.0, "dropped": 4.9}, 0),
        ({"at": 5.5, "dropped": 6.0}, 0),
        ({"at": 1.0, "admitted": 20.0}, 1),
    ],
)
def test_an_inversion_is_urgent_work_shed_for_a_lower_tier(lower, expected):
    records = (record(**SHED_AT_5), record(rank=1, **lower))
    assert count_inversions(records) == expected


@pytest.mark.parametrize("change", [{"rank": 1}, {"admitted": 4.2, "dropped": None}])
def test_only_urgent_work_that_was_shed_counts(change):
    records = (record(**SHED_AT_5 | change), record(3.0, rank=2, dropped=9.0))
    assert count_inversions(records) == 0


def test_inversions_of_the_standard_tier_count_only_lower_tiers():
    records = (record(4.0, rank=1, dropped=5.0), record(1.0, rank=2, admitted=6.0))
    assert count_inversions(records, rank=1) == 1
    assert count_inversions(records) == 0


@given(
    st.lists(st.tuples(st.integers(1, 9), st.integers(1, 30)), min_size=1, max_size=8)
)
@settings(derandomize=True, deadline=None)
def test_the_oracle_finds_the_largest_feasible_set(pairs):
    tasks = [_Task(cost, due) for cost, due in pairs]

    def on_time(chosen):
        total = 0
        for task in sorted(chosen, key=lambda task: task.due):
            total += task.cost
            if total > task.due:
                return False
        return True

    sizes = range(len(tasks) + 1)
    best = max(n for n in sizes if any(map(on_time, combinations(tasks, n))))
    assert _most_on_time(tasks) == best


@pytest.mark.parametrize("policy", [*BASELINES, "ours"])
def test_no_policy_beats_the_oracle(policy):
    row = run_row("kyklos", 1.5, policy, seed=2, duration=60.0)
    assert 0 < row.total_goodput <= row.oracle_goodput <= 1


def test_the_oracle_cannot_finish_every_request_under_overload():
    arrivals = trace(KYKLOS, 3.0, 1)
    assert oracle_count(arrivals, bench_servers()) < len(arrivals)


@pytest.mark.parametrize("policy", ["round-robin", "ours"])
def test_a_run_is_deterministic_for_a_seed(policy):
    rows = [run_row("dalmavest", 0.9, policy, seed=3, duration=60.0) for _ in range(2)]
    assert rows[0] == rows[1]


@pytest.mark.parametrize("fault", list(Fault))
def test_requests_and_tokens_are_all_accounted_for_under_each_fault(fault):
    row = run_row("dalmavest", 0.9, "ours", seed=1, fault=fault, duration=60.0)
    assert sum(row.sent.values()) == len(trace_of(row))
    assert 0 <= sum(row.wasted_prefill_tokens.values()) <= row.prefill_tokens
    sent = sum(row.sent.values())
    done = sum(row.goodput[tier] * row.sent[tier] for tier in row.sent)
    assert done == pytest.approx(row.total_goodput * sent)


def trace_of(row):
    return trace(find_workload(row.workload), row.load, row.seed, 60.0)


@pytest.mark.parametrize("policy", BASELINES)
def test_a_lost_engine_fails_work_in_progress(policy):
    row = run_row("kyklos", 0.9, policy, seed=1, fault=Fault.ENGINE_LOST)
    assert row.wasted_prefill_tokens["failed"] > 0


def test_the_command_prints_rows_as_json():
    args = "decisions --workload kyklos --load 0.5 --policy least-requests --json"
    result = CliRunner().invoke(app, args.split())
    assert result.exit_code == 0
    rows = msgspec.json.decode(result.stdout, type=list[Row])
    assert [(row.workload, row.load, row.policy) for row in rows] == [
        ("kyklos", 0.5, "least-requests")
    ]


def test_an_unknown_policy_error_lists_the_available_ones():
    result = CliRunner().invoke(app, ["decisions", "--policy", "fastest"])
    assert result.exit_code == 1
    assert "round-robin" in result.stderr
