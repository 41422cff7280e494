import pytest

from amaranthferry.fan_out import FAN_OUT, children

HOSTS = [f"host-{number}" for number in range(195)]


@pytest.mark.parametrize("origin", ["host-0", "host-77"])
@pytest.mark.parametrize("count", [1, 2, 5, 195])
def test_tree_reaches_every_host_once(origin, count):
    hosts = sorted({origin, *HOSTS[:count]})
    reached, level = [origin], [origin]
    while level:
        level = [
            child
            for host in level
            for child in children(host, origin, [h for h in hosts if h != host])
        ]
        reached += level
    assert sorted(reached) == hosts


def test_no_host_forwards_to_more_than_the_fan_out():
    assert max(len(children(host, "host-3", HOSTS)) for host in HOSTS) == FAN_OUT


def test_host_that_the_others_do_not_know_is_in_the_tree():
    assert children("new", "new", HOSTS[:3]) == ["host-0", "host-1", "host-2"]
