from amaranthferry.limits.returns import MIN_RETURN_TIME, ReturnTimes


def test_refused_callers_return_at_the_pace_of_the_servers():
    times = ReturnTimes()
    booked = [times.book(10.0, wait=1.0, rate=2.0, latest=20.0) for _ in range(6)]
    assert booked == [1.0, 1.5, 2.0, 2.5, 3.0, 3.5]


def test_caller_with_little_time_takes_no_place_from_others():
    times = ReturnTimes()
    times.book(0.0, wait=3.0, rate=1.0, latest=10.0)
    assert times.book(0.0, wait=3.0, rate=1.0, latest=2.0) == 2.0
    assert times.book(0.0, wait=3.0, rate=1.0, latest=10.0) == 4.0


def test_no_caller_returns_at_once():
    times = ReturnTimes()
    assert times.book(0.0, wait=0.0, rate=100.0, latest=0.1) == MIN_RETURN_TIME


def test_booked_times_pass_while_nobody_is_refused():
    times = ReturnTimes()
    for _ in range(4):
        times.book(0.0, wait=1.0, rate=1.0, latest=10.0)
    assert times.book(30.0, wait=1.0, rate=1.0, latest=10.0) == 1.0
