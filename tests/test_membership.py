import asyncio
import hmac

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthferry.config import HostConfig
from amaranthferry.exceptions import FrameError
from amaranthferry.gossip import (
    MAX_PACKET_BYTES,
    TAG_BYTES,
    Gossip,
    Member,
    MemberUpdate,
    Ping,
    Status,
    decode_packet,
    encode_packet,
)
from amaranthferry.membership import MembershipAgent
from amaranthferry.membership_bench import Fleet
from amaranthferry.roster import Roster
from amaranthferry.swim import Departed, DrainBegun, VersionApplied
from amaranthferry.types import HostId, ZoneId

KEY = b"secret"
MAX_CONTROL_BYTES_PER_SECOND = 19_000


def member(name, incarnation=1, **fields):
    return Member(HostId(name), "127.0.0.1:1", ZoneId("volos"), incarnation, **fields)


def joined_fleet(size, *, seed=1, loss=0.0):
    fleet = Fleet(size, seed=seed, loss=loss)
    fleet.run_until(fleet.has_converged, limit=60)
    assert fleet.has_converged()
    return fleet


def test_packet_round_trips_through_its_datagram():
    packet = Ping(member("h1"), (MemberUpdate(Status.SUSPECT, member("h2")),), 7)
    assert decode_packet(encode_packet(packet, KEY), KEY) == packet


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200), st.integers(0, 60), st.integers(1, 255))
def test_foreign_and_damaged_datagrams_are_frame_errors(garbage, position, flip):
    datagram = bytearray(encode_packet(Gossip(member("h1"), ()), KEY))
    datagram[position % len(datagram)] ^= flip
    for data in (
        garbage,
        bytes(datagram),
        encode_packet(Gossip(member("h1"), ()), b"other"),
    ):
        with pytest.raises(FrameError):
            decode_packet(data, KEY)


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=100))
def test_authenticated_garbage_is_a_frame_error(body):
    tag = hmac.digest(KEY, body, "sha256")[:TAG_BYTES]
    with pytest.raises(FrameError, match="can't be read"):
        decode_packet(tag + body, KEY)


@pytest.mark.parametrize(
    ("known", "update", "accepted"),
    [
        ((Status.ALIVE, 1), (Status.SUSPECT, 1), True),
        ((Status.SUSPECT, 1), (Status.ALIVE, 1), False),
        ((Status.SUSPECT, 1), (Status.ALIVE, 2), True),
        ((Status.LEFT, 1), (Status.ALIVE, 1), False),
        ((Status.LEFT, 1), (Status.ALIVE, 2), True),
        ((Status.ALIVE, 2), (Status.SUSPECT, 1), False),
        ((Status.ALIVE, 2), (Status.LEFT, 1), False),
    ],
)
def test_updates_are_ranked_by_incarnation_then_status(known, update, accepted):
    roster = Roster(member("h0"))
    for status, incarnation in (known, update):
        merged = roster.merge(MemberUpdate(status, member("h1", incarnation)), 0.0)
    assert merged is accepted
    state = roster.state(HostId("h1"))
    assert (state.status, state.member.incarnation) == (update if accepted else known)


def test_reported_death_is_only_a_suspicion():
    roster = Roster(member("h0"))
    roster.merge(MemberUpdate(Status.ALIVE, member("h1")), 0.0)
    roster.merge(MemberUpdate(Status.DEAD, member("h1")), 0.0)
    assert roster.state(HostId("h1")).status is Status.SUSPECT


def test_dead_members_are_retained_for_longer_than_an_hour():
    roster = Roster(member("h0"))
    roster.merge(MemberUpdate(Status.SUSPECT, member("h1")), 0.0)
    roster.expire(10.0)
    roster.expire(10.0 + 3_600.0)
    assert [dead.host for dead in roster.dead()] == ["h1"]
    roster.expire(10.0 + 3 * 3_600.0)
    assert roster.dead() == ()


def test_lossless_fleet_reports_neither_deaths_nor_changes():
    fleet = joined_fleet(32)
    fleet.run(20)
    reports = fleet.reports
    fleet.run(30)
    assert (fleet.deaths, fleet.reports - reports) == (0, 0)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_five_percent_loss_causes_no_false_death(seed):
    fleet = joined_fleet(32, seed=seed, loss=0.05)
    fleet.run(60)
    assert fleet.deaths == 0


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_dead_host_is_removed_everywhere(seed):
    fleet = joined_fleet(32, seed=seed)
    fleet.hosts[9].running = False
    assert fleet.run_until(fleet.has_converged, limit=30) < 15
    assert fleet.deaths <= len(fleet.running)


def test_loss_of_a_zone_is_reported_in_few_steps():
    fleet = joined_fleet(28)
    fleet.run(5)
    for host in fleet.hosts[::4]:
        host.running = False
    before = fleet.reports
    took = fleet.run_until(fleet.has_converged, limit=60)
    reports = (fleet.reports - before) / len(fleet.running)
    assert 1 <= reports <= 1 + took / 0.5


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_planned_leave_needs_no_suspicion(seed):
    fleet = joined_fleet(32, seed=seed)
    leaver = fleet.hosts[9]
    fleet.apply(leaver, Departed(now=fleet.now, seed=1))
    leaver.running = False
    assert fleet.run_until(fleet.has_converged, limit=30) < 3
    assert fleet.deaths == 0


def test_paused_host_refutes_its_death_when_it_resumes():
    fleet = joined_fleet(16)
    paused = fleet.hosts[5]
    paused.running = False
    fleet.run(20)
    assert not any(host.lists_as_live(paused) for host in fleet.running)
    incarnation = paused.membership.roster.own.incarnation
    deaths = fleet.deaths
    paused.running = True
    fleet.run_until(fleet.has_converged, limit=30)
    assert fleet.has_converged()
    assert paused.membership.roster.own.incarnation > incarnation
    assert fleet.deaths == deaths


def test_lost_zone_rejoins_with_new_processes():
    fleet = joined_fleet(28)
    lost = [host for host in fleet.hosts if host.zone == "zone-2"]
    for host in lost:
        host.running = False
    fleet.run_until(fleet.has_converged, limit=60)
    assert fleet.has_converged()
    for host in lost:
        fleet.add(host.index, incarnation=2)
    assert fleet.run_until(fleet.has_converged, limit=60) < 30


@pytest.mark.parametrize("seed", [1, 2])
def test_larger_zone_is_removed_and_rejoins_completely(seed):
    fleet = joined_fleet(63, seed=seed)
    fleet.run(20)
    lost = [host for host in fleet.hosts if host.zone == "zone-3"]
    for host in lost:
        host.running = False
    assert fleet.run_until(fleet.has_converged, limit=60) < 20
    for host in lost:
        fleet.add(host.index, incarnation=10)
    assert fleet.run_until(fleet.has_converged, limit=60) < 15


def test_both_sides_find_each_other_after_a_partition():
    fleet = joined_fleet(14)
    fleet.blocked = lambda a, b: (a.index % 7 < 4) != (b.index % 7 < 4)
    fleet.run(300)
    assert {len(h.membership.roster.live()) for h in fleet.hosts} == {6, 8}
    fleet.blocked = lambda a, b: False
    deaths = fleet.deaths
    assert fleet.run_until(fleet.has_converged, limit=120) < 60
    assert fleet.deaths == deaths


def test_restarted_host_with_a_clock_set_back_is_accepted():
    fleet = Fleet(0, seed=1)
    for index in range(8):
        fleet.add(index, incarnation=1_000)
    fleet.run_until(fleet.has_converged, limit=60)
    restarted = fleet.add(6, incarnation=3)
    fleet.run_until(fleet.has_converged, limit=60)
    fleet.run(20)
    assert fleet.has_converged()
    assert restarted.membership.roster.own.incarnation > 1_000


def test_settings_version_and_draining_reach_every_host():
    fleet = joined_fleet(32)
    first = fleet.hosts[0]
    fleet.apply(first, DrainBegun(now=fleet.now))
    fleet.run(5)
    fleet.apply(first, VersionApplied(now=fleet.now, version=4))
    fleet.run(30)
    views = [host.membership.roster.live()[0] for host in fleet.hosts]
    assert all(view.draining for view in views)
    assert sum(view.settings_version == 4 for view in views) > len(views) // 2


def no_updates_pending(fleet):
    return not any(host.membership.roster.has_updates for host in fleet.hosts)


def worst_second(fleet, seconds):
    return max(fleet.measure(1).max_bytes_per_second for _ in range(seconds))


@pytest.mark.parametrize("size", [8, 32, 128])
def test_cost_of_a_host_does_not_grow_with_the_fleet(size):
    fleet = Fleet(size, seed=2)
    cold_start = worst_second(fleet, 8)
    fleet.run_until(lambda: no_updates_pending(fleet), limit=30)
    idle = fleet.measure(5)
    for host in fleet.hosts[::7]:
        host.running = False
    zone_loss = worst_second(fleet, 5)
    # Two pings and two acks a second, and a page request and its page every 10 s.
    assert idle.messages_per_second <= 4 + 0.2 + 0.3
    assert idle.bytes_per_second <= 4.5 * 200
    assert max(cold_start, zone_loss) < MAX_CONTROL_BYTES_PER_SECOND
    assert max(host.max_datagram for host in fleet.hosts) <= MAX_PACKET_BYTES


def agent_config(name, seeds=()):
    return HostConfig(
        host=HostId(name),
        zone=ZoneId("volos"),
        http_address="",
        peer_address="127.0.0.1:0",
        platform_url="",
        peer_key="secret",
        seeds=seeds,
    )


async def test_agents_find_each_other_over_udp_and_leave():
    views = {}
    agents = []
    changed = asyncio.Event()

    def reporter(name):
        def report(members):
            views[name] = [member.host for member in members]
            changed.set()

        return report

    async def expect(name, hosts):
        async with asyncio.timeout(20):
            while views.get(name) != hosts:
                changed.clear()
                await changed.wait()

    seeds = ()
    for name in ("h1", "h2", "h3"):
        agent = MembershipAgent(agent_config(name, seeds), on_members=reporter(name))
        await agent.start()
        agents.append(agent)
        seeds = (agents[0].address,)
    for name in ("h1", "h2", "h3"):
        await expect(name, ["h1", "h2", "h3"])
    await agents[2].leave()
    await expect("h1", ["h1", "h2"])
    await agents[0].stop()
    await agents[1].stop()
