import asyncio

import pytest

from amaranthferry.gateway.application import capacity_of
from amaranthferry.gateway.joining import (
    JOIN_TIME_PER_HOST,
    MIN_JOIN_TIME,
    JoiningHosts,
)
from amaranthferry.platform.settings import HostSettings
from amaranthferry.standins.deployment import settings_text

from .fleet import fleet


def listed(count):
    return {f"host-{n}": f"10.0.0.{n}:1" for n in range(count)}


def joining(count):
    hosts = JoiningHosts(100.0)
    hosts.set_listed(listed(count))
    return hosts


@pytest.mark.parametrize("count", [15, 195])
def test_all_listed_hosts_count_until_membership_has_had_time(count):
    hosts = joining(count)
    few = {"host-0": "10.0.0.0:1"}
    join_time = MIN_JOIN_TIME + JOIN_TIME_PER_HOST * count
    assert hosts.live(few, 100.0) == listed(count)
    assert hosts.live(few, 100.0 + join_time - 0.01) == listed(count)
    assert hosts.live(few, 100.0 + join_time) == few


def test_members_that_are_not_listed_count():
    members = {"new": "10.0.1.1:1"}
    assert joining(2).live(members, 100.0) == {**listed(2), **members}


def test_listed_host_that_is_unreachable_does_not_count():
    hosts = joining(3)
    assert hosts.record_unreachable("host-1", 100.5)
    assert not hosts.record_unreachable("host-1", 100.6)
    assert set(hosts.live({}, 101.0)) == {"host-0", "host-2"}
    assert set(hosts.live({"host-1": "10.0.0.1:1"}, 101.0)) == set(listed(3))


def test_joining_again_counts_listed_hosts_again():
    hosts = joining(3)
    hosts.record_unreachable("host-1", 100.5)
    hosts.restart(200.0)
    assert hosts.live({}, 200.0) == listed(3)


def test_hosts_that_start_together_agree_while_membership_finds_them():
    """Each host has found others; the union with the list is the same on all."""
    views = []
    for number in range(20):
        hosts = joining(195)
        found = {f"host-{n}": f"10.0.0.{n}:1" for n in range(number, 195, 20)}
        views.append(hosts.live(found, 105.0))
    assert all(view == views[0] for view in views)


def test_end_of_joining_is_reported_once():
    hosts = joining(0)
    assert not hosts.has_just_ended(100.0)
    assert hosts.has_just_ended(100.0 + MIN_JOIN_TIME)
    assert not hosts.has_just_ended(200.0)
    hosts.restart(300.0)
    assert not hosts.has_just_ended(300.0)
    assert hosts.has_just_ended(400.0)


@pytest.mark.parametrize(
    ("limits", "capacity"),
    [
        ({}, 1.0),
        ({"cpuShare": 0.361, "cpuCores": 1, "linkMbps": 10.0}, 0.361),
        ({"cpuShare": 0.717, "cpuCores": 3, "linkMbps": 200.0}, 2.151),
        ({"cpuShare": 0.717, "cpuCores": 3, "linkMbps": 5.0}, 0.5),
    ],
)
def test_capacity_is_what_processor_and_link_can_carry(limits, capacity):
    text = settings_text("a", store="127.0.0.1:1", addresses=["127.0.0.1:1"] * 4)
    text += "".join(f"limits.{key}={value}\n" for key, value in limits.items())
    assert capacity_of(HostSettings.from_text(text)) == pytest.approx(capacity)


async def test_hosts_tell_each_other_what_they_can_carry():
    capacities = {"a": 0.3, "b": 2.0, "c": 0.4}
    async with fleet(hosts=0) as (system, _):
        for name, processor in capacities.items():
            await system.add_host(name, processor=processor)
        async with asyncio.timeout(10.0):
            while not all(app.state.capacities == capacities for app in system.hosts):
                await asyncio.sleep(0.05)
        chosen = {app.state.coordinator_of("engines/0") for app in system.hosts}
    assert chosen == {"b"}
