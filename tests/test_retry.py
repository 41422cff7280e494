import pytest

from amaranthferry.retry import MAX_TOKENS, RetryBudget


def count_retries(budget, now):
    count = 0
    while budget.take(now):
        count += 1
    return count


def test_budget_is_bounded_without_first_attempts():
    assert count_retries(RetryBudget(), 0.0) == MAX_TOKENS


@pytest.mark.parametrize(("attempts", "retries"), [(5, 0), (10, 1), (40, 4)])
def test_retries_are_proportional_to_first_attempts(attempts, retries):
    budget = RetryBudget(ratio=0.1, tokens=0.001)
    for _ in range(attempts):
        budget.deposit()
    assert count_retries(budget, 0.0) == retries


def test_budget_refills_slowly_with_time():
    budget = RetryBudget(tokens=0.0)
    assert count_retries(budget, 4.0) == 2
