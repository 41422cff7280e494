import pytest

from amaranthferry.concurrency import MIN_LIMIT_FRACTION, ConcurrencyLimit

TARGET = 0.027


def converged_limit(interval_of, slots=16, rounds=500):
    limit = ConcurrencyLimit(slots)
    for _ in range(rounds):
        running = max(1, int(limit.value))
        limit.observe(interval_of(running), running, TARGET)
    return int(limit.value)


@pytest.mark.parametrize(
    ("interval_of", "low", "high"),
    [
        (lambda running: 0.010, 16, 16),
        (lambda running: 0.0025 * running, 9, 12),
        (lambda running: 0.5, 16 * MIN_LIMIT_FRACTION, 16 * MIN_LIMIT_FRACTION),
    ],
    ids=["fast", "grows with the batch", "always too slow"],
)
def test_limit_converges_near_the_target(interval_of, low, high):
    assert low <= converged_limit(interval_of) <= high


def test_unused_limit_does_not_grow():
    limit = ConcurrencyLimit(16)
    limit.observe(1.0, 10, TARGET)
    before = limit.value
    for _ in range(50):
        limit.observe(0.001, 2, TARGET)
    assert limit.value == before


def test_resize_restarts_from_configured_slots():
    limit = ConcurrencyLimit(16)
    limit.observe(1.0, 16, TARGET)
    limit.resize(16)
    assert limit.value < 16
    limit.resize(32)
    assert limit.value == 32
