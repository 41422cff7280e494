from amaranthferry.limits.returns import ReturnTimes

URGENT, LOWER = (0, 0), (1, 0)


def test_refused_callers_return_at_the_pace_of_the_servers():
    times = ReturnTimes()
    booked = [
        times.book(URGENT, 10.0, wait=1.0, rate=2.0, latest=20.0) for _ in range(6)
    ]
    assert booked == [1.0, 1.5, 2.0, 2.5, 3.0, 3.5]


def test_caller_with_little_time_is_told_the_truth_and_takes_no_place_from_others():
    times = ReturnTimes()
    times.book(URGENT, 0.0, wait=3.0, rate=1.0, latest=10.0)
    assert times.book(URGENT, 0.0, wait=3.0, rate=1.0, latest=2.0) == 4.0
    assert times.book(URGENT, 0.0, wait=3.0, rate=1.0, latest=10.0) == 4.0


def test_no_caller_returns_before_a_slot_can_be_free():
    assert ReturnTimes().book(URGENT, 0.0, wait=0.0, rate=100.0, latest=0.1) == 0.01


def test_booked_times_pass_while_nobody_is_refused():
    times = ReturnTimes()
    for _ in range(4):
        times.book(URGENT, 0.0, wait=1.0, rate=1.0, latest=10.0)
    assert times.book(URGENT, 30.0, wait=1.0, rate=1.0, latest=10.0) == 1.0


def test_lower_callers_do_not_delay_more_urgent_ones():
    times = ReturnTimes()
    for _ in range(4):
        times.book(LOWER, 0.0, wait=1.0, rate=1.0, latest=10.0)
    assert times.book(URGENT, 0.0, wait=1.0, rate=1.0, latest=10.0) == 1.0
    assert times.book(LOWER, 0.0, wait=1.0, rate=1.0, latest=10.0) == 5.0
