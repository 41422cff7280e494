"""Play many hosts under overlapping faults, and judge each confirmed version."""

import random

import pytest

from ..virtual_loop import run
from .replica_fleet import (
    Fault,
    play,
    play_with_few_hosts_at_the_store,
    use_virtual_time,
)


@pytest.mark.parametrize("hosts", [3, 8, 16, 40])
@pytest.mark.parametrize("seed", range(8))
def test_confirmed_version_is_in_force_in_time_at_hosts_in_touch(
    hosts, seed, monkeypatch
):
    use_virtual_time(monkeypatch)
    random.seed(seed)
    assert run(play(seed, hosts=hosts)) == []


@pytest.mark.parametrize("fault", [Fault.STORE_SILENT, Fault.STORE_REFUSES])
@pytest.mark.parametrize(("hosts", "reaching"), [(40, 1), (137, 1), (137, 3)])
@pytest.mark.parametrize("seed", range(2))
def test_version_is_not_late_at_the_few_of_many_hosts_that_reach_the_store(
    seed, hosts, reaching, fault, monkeypatch
):
    use_virtual_time(monkeypatch)
    random.seed(seed)
    findings = run(
        play_with_few_hosts_at_the_store(
            seed, hosts=hosts, reaching=reaching, fault=fault
        )
    )
    assert findings == []
