import pytest

from amaranthferry.hold_off import (
    MAX_HOLD_OFF,
    MAX_SPREAD,
    RETURN_TIME,
    HoldOffs,
    spread_end,
)

HOSTS = [f"host-{number}" for number in range(195)]


@pytest.mark.parametrize("duration", [0.5, 3.0, 30.0])
def test_hosts_return_at_different_times_and_none_before_the_end(duration):
    ends = [spread_end(host, "s-0", duration, 100.0) for host in HOSTS]
    assert all(100.0 + duration <= end <= 100.0 + duration + MAX_SPREAD for end in ends)
    # At most a fifth of the hosts return within a tenth of the spread.
    spread = max(ends) - min(ends)
    for start in ends:
        near = [end for end in ends if start <= end < start + spread / 10]
        assert len(near) <= len(HOSTS) / 5


def test_longest_hold_off_is_bounded():
    end = spread_end("host-0", "s-0", 1e12, 0.0)
    assert MAX_HOLD_OFF <= end <= MAX_HOLD_OFF + MAX_SPREAD


def test_work_returns_in_steps_after_a_hold_off():
    hold_offs = HoldOffs()
    assert hold_offs.limit("host-0", 0.0) is None
    assert hold_offs.start("host-0", 5.0)
    assert hold_offs.limit("host-0", 4.9) == 0
    hold_offs.record_answer("host-0", 4.9)
    limits = []
    for _ in range(3):
        limits.append(hold_offs.limit("host-0", 5.0))
        hold_offs.record_answer("host-0", 5.0)
    assert limits == [1, 2, 4]
    assert hold_offs.limit("host-1", 0.0) is None
    assert hold_offs.expire(5.0 + RETURN_TIME - 0.1) == []
    assert hold_offs.expire(5.0 + RETURN_TIME) == ["host-0"]
    assert hold_offs.limit("host-0", 20.0) is None


def test_shorter_hold_off_does_not_end_a_longer_one():
    hold_offs = HoldOffs()
    hold_offs.start("host-0", 5.0)
    assert not hold_offs.start("host-0", 3.0)
    assert hold_offs.until("host-0") == 5.0
    assert hold_offs.start("host-0", 9.0)
    assert hold_offs.until("host-0") == 9.0
