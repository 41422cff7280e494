from amaranthferry.replica.budget import AgeBudget
from amaranthferry.replica.read_pace import (
    FLEET_READ_RATE,
    MIN_READ_PERIOD,
    ReadPace,
)


def reads(hosts, seconds, *, aging=False):
    """Return the number of reads of all hosts, each at its pace; none brings news."""
    paces = [ReadPace() for _ in range(hosts)]
    count = 0
    for step in range(int(seconds * 100)):
        now = step / 100
        for pace in paces:
            if pace.time_left(now, hosts=hosts, age=now * aging) == 0.0:
                pace.record_read(now, hosts=hosts)
                count += 1
    return count


def test_many_hosts_share_one_rate():
    for hosts in (40, 195, 370):
        assert reads(hosts, 10.0) <= 1.3 * 10.0 * FLEET_READ_RATE


def test_some_host_reads_soon_in_a_large_fleet():
    paces = [ReadPace() for _ in range(370)]
    assert min(pace.time_left(0.0, hosts=370, age=0.0) for pace in paces) < 0.5


def test_host_on_its_own_reads_at_the_shortest_period():
    pace = ReadPace()
    pace.time_left(0.0, hosts=370, age=0.0)
    assert pace.time_left(0.0, hosts=1, age=0.0) <= MIN_READ_PERIOD
    pace.record_read(1.0, hosts=1)
    assert pace.time_left(1.0 + MIN_READ_PERIOD, hosts=1, age=0.0) == 0.0


def test_turn_starts_anew_after_a_reader_was_current():
    pace = ReadPace()
    pace.record_read(0.0, hosts=200)
    pace.reset()
    assert pace.time_left(0.0, hosts=2, age=0.0) <= MIN_READ_PERIOD


def test_no_host_waits_for_a_turn_that_comes_after_the_bound_on_changes():
    budget = AgeBudget()
    for _ in range(100):
        pace = ReadPace(budget)
        age = budget.update_age
        assert pace.time_left(0.0, hosts=370, age=age) <= budget.denial_age - age
        assert pace.time_left(0.0, hosts=370, age=budget.denial_age) == 0.0
        assert pace.time_left(0.0, hosts=370, age=None) == 0.0


def test_hosts_that_all_fail_to_read_make_one_read_each_in_a_bound():
    budget = AgeBudget()
    for hosts in (137, 370):
        assert reads(hosts, 10.0, aging=True) <= hosts * 10.0 / budget.bound
