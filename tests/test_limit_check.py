import pytest

from amaranthferry.limit_check import CONTACT_TIME, TOLD_TIME, LimitedServer


def limited(rate=1.0):
    server = LimitedServer()
    server.name(rate, 0.0)
    server.tell("host-0", 0.0)
    return server


def test_arrivals_count_by_window_of_four_seconds():
    server = limited()
    for number in range(24):
        server.arrive("host-0", 4.0 + number * 0.5)
    worst = server.worst()
    assert (worst.arrivals, worst.allowed) == (9, 11.0)


def test_burst_above_the_limit_is_found():
    server = limited()
    for _ in range(12):
        server.arrive("host-0", 8.0)
    assert server.worst().excess == pytest.approx(1.0)


def test_arrivals_before_contact_time_and_of_untold_hosts_do_not_count():
    server = limited()
    for number in range(20):
        server.arrive("host-0", CONTACT_TIME - 0.1)
        server.arrive(f"untold-{number}", 8.0)
    server.tell("host-1", 8.0)
    server.arrive("host-1", 8.0 + TOLD_TIME / 2)
    assert server.worst().arrivals == 0


def test_window_over_a_change_allows_what_both_limits_allow():
    server = limited(8.0)
    server.name(1.5, 10.0)
    server.arrive("host-0", 12.0)
    assert server._allowance(8.0, 12.0) == pytest.approx(19.0)


def test_arrivals_without_a_limit_do_not_count():
    server = limited()
    server.name(None, 10.0)
    for _ in range(40):
        server.arrive("host-0", 12.0)
    assert server.worst().excess < 0


def test_used_part_counts_only_while_a_limit_is_named():
    server = LimitedServer(counts_untold=True)
    for at in (1.0, 5.0, 6.0, 15.0, 16.0):
        server.arrive("host-0", at)
    server.name(0.5, 4.0)
    server.name(None, 8.0)
    server.name(0.25, 12.0)
    assert server.used(0.0, 20.0) == pytest.approx(4 / 4)
    assert server.used(0.0, 4.0) == 1.0
