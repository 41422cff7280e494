import pytest

from amaranthferry.bench_cost import measure_cost

MAX_GROWTH = 2.0


@pytest.mark.parametrize("workload", ["kyklos", "dalmavest"])
def test_decision_cost_grows_little_with_the_queue_length(workload):
    short = measure_cost(150, decisions=60, workload=workload)
    long = measure_cost(1_200, decisions=60, workload=workload)
    assert 0 < long.calls < MAX_GROWTH * short.calls


def test_call_counts_are_deterministic():
    counts = {measure_cost(100, decisions=20).calls for _ in range(2)}
    assert len(counts) == 1
