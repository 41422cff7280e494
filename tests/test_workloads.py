from collections import Counter

import pytest

from amaranthferry.arrivals import generate, mean_cost, reference_cost
from amaranthferry.exceptions import AmaranthferryError
from amaranthferry.workloads import WORKLOADS, find_workload

DURATION = 600.0

#: The workloads whose lengths and tiers the users' brief states; `routed` has others.
BRIEF_WORKLOADS = [name for name in WORKLOADS if name != "routed"]


def trace(name, seed=1, rate=10.0):
    return generate(WORKLOADS[name], rate=rate, duration=DURATION, seed=seed)


@pytest.mark.parametrize("name", WORKLOADS)
def test_the_same_seed_gives_the_same_trace(name):
    assert trace(name, 3) == trace(name, 3)
    assert trace(name, 3) != trace(name, 4)


@pytest.mark.parametrize("name", BRIEF_WORKLOADS)
def test_prompt_lengths_span_a_factor_of_eighty(name):
    lengths = [arrival.prompt_tokens for arrival in trace(name)]
    assert max(lengths) / min(lengths) >= 80


@pytest.mark.parametrize("name", BRIEF_WORKLOADS)
def test_urgent_work_at_triple_load_needs_at_most_seventy_percent_of_capacity(name):
    urgent = sum(k.share for k in WORKLOADS[name].kinds if k.tier_rank == 0)
    assert 3 * urgent <= 0.7


@pytest.mark.parametrize("name", WORKLOADS)
def test_costs_split_by_share(name):
    cost = Counter()
    for seed in range(6):
        for arrival in trace(name, seed, rate=30.0):
            cost[arrival.work_class] += reference_cost(
                arrival.prompt_tokens, arrival.output_tokens
            )
    for kind in WORKLOADS[name].kinds:
        share = cost[kind.work_class] / cost.total()
        assert share == pytest.approx(kind.share, abs=0.08)


@pytest.mark.parametrize("name", WORKLOADS)
def test_rate_and_mean_cost_match_the_trace(name):
    arrivals = [a for seed in range(4) for a in trace(name, seed)]
    assert len(arrivals) == pytest.approx(4 * 10 * DURATION, rel=0.1)
    total = sum(reference_cost(a.prompt_tokens, a.output_tokens) for a in arrivals)
    assert total / len(arrivals) == pytest.approx(mean_cost(WORKLOADS[name]), rel=0.25)


def test_prompts_share_hashes_up_to_their_prefix():
    questions = [a for a in trace("kyklos") if a.work_class == "question"]
    first = questions[0]
    other = next(a for a in questions[1:] if a.prefix == first.prefix)
    shared = set(first.prefix_hashes()) & set(other.prefix_hashes())
    assert len(shared) == 4
    assert first.prefix_hashes()[:4] == other.prefix_hashes()[:4]


def test_an_unknown_workload_names_the_known_ones():
    with pytest.raises(AmaranthferryError, match="dalmavest, kyklos"):
        find_workload("orchard")
