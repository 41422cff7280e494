"""Play many hosts under overlapping faults, and judge each confirmed version."""

import random

import pytest

from ..virtual_loop import run
from .replica_fleet import play, use_virtual_time


@pytest.mark.parametrize("hosts", [3, 8, 16, 40])
@pytest.mark.parametrize("seed", range(8))
def test_confirmed_version_is_in_force_in_time_at_hosts_in_touch(
    hosts, seed, monkeypatch
):
    use_virtual_time(monkeypatch)
    random.seed(seed)
    assert run(play(seed, hosts=hosts)) == []
