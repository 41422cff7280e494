from amaranthferry.replica.read_pace import (
    FLEET_READ_RATE,
    MIN_READ_PERIOD,
    ReadPace,
)


def reads(hosts, seconds):
    """Return the number of reads of all hosts, each at its pace."""
    paces = [ReadPace() for _ in range(hosts)]
    count = 0
    for step in range(int(seconds * 100)):
        now = step / 100
        for pace in paces:
            if pace.time_left(now, hosts=hosts) == 0.0:
                pace.record_read(now, hosts=hosts)
                count += 1
    return count


def test_many_hosts_share_one_rate():
    for hosts in (40, 195, 370):
        assert reads(hosts, 10.0) <= 1.3 * 10.0 * FLEET_READ_RATE


def test_some_host_reads_soon_in_a_large_fleet():
    paces = [ReadPace() for _ in range(370)]
    assert min(pace.time_left(0.0, hosts=370) for pace in paces) < 0.5


def test_host_on_its_own_reads_at_the_shortest_period():
    pace = ReadPace()
    pace.time_left(0.0, hosts=370)
    assert pace.time_left(0.0, hosts=1) <= MIN_READ_PERIOD
    pace.record_read(1.0, hosts=1)
    assert pace.time_left(1.0 + MIN_READ_PERIOD, hosts=1) == 0.0


def test_turn_starts_anew_after_a_reader_was_current():
    pace = ReadPace()
    pace.record_read(0.0, hosts=200)
    pace.reset()
    assert pace.time_left(0.0, hosts=2) <= MIN_READ_PERIOD
