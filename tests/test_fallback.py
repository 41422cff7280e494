"""Check who decides on permits while a shard's coordinator doesn't answer."""

from collections import Counter

import msgspec
import pytest

from amaranthferry import events
from amaranthferry.catalog import BudgetLimits, Catalog, Engine, RoutedService
from amaranthferry.catalog import deployment_of as compile_catalog
from amaranthferry.config import Quota
from amaranthferry.core import HostState, reduce
from amaranthferry.effects import Dispatch, SendToHost
from amaranthferry.fallback import MAX_ABSENCE
from amaranthferry.messages import (
    PermitGrant,
    PermitProgress,
    PermitQueued,
    PermitRelease,
    PermitRequest,
    Registration,
    RunningWork,
    ShardAdvert,
    UsageElsewhere,
)
from amaranthferry.types import HostId, ShardId

from .reducer_fleet import ENGINES, ReducerFleet, instance

SHARD = ShardId("engines/0")
SLOTS = 7
KV_TOKENS = 499_000
TICK = 0.05


def deployment(servers):
    engine = Engine(slots=SLOTS, kv_tokens=KV_TOKENS, models=("m",))
    services = {ENGINES: RoutedService(name=ENGINES, engine=engine)}
    listed = {f"e{n}": instance(f"e{n}", slots=SLOTS) for n in range(servers)}
    catalog = Catalog(version=1, services=services)
    return compile_catalog(catalog, listed, BudgetLimits())


def new_state(host, hosts, *, servers=8):
    return HostState(
        host=HostId(host),
        zone="z",
        deployment=deployment(servers),
        hosts=tuple(HostId(name) for name in hosts),
        coordinator_timeout=0.35,
    )


def arrival(name, *, now=0.0, **fields):
    fields = {
        "workspace": "",
        "tier": "0",
        "work_class": "cancelled-0",
        "timeout": 15.0,
        "prompt_tokens": 100,
        "output_tokens": 10,
        "objective": 1.0,
        "max_attempts": 2,
        "repeatable": True,
        **fields,
    }
    return events.RequestArrived(now=now, request_id=name, pool=ENGINES, **fields)


def ask(name, **fields):
    fields = {
        "workspace": "",
        "tier_rank": 0,
        "class_rank": 0,
        "remaining": 15.0,
        "prompt_tokens": 100,
        "output_tokens": 10,
        "objective": 1.0,
        "patience": 7.0,
        **fields,
    }
    return PermitRequest(request_id=name, shard=SHARD, **fields)


def stand_in_of(hosts):
    """Return the successor as a host, its coordinator, and the ordinary hosts."""
    state = new_state(hosts[0], hosts)
    coordinator, successor = state.coordinator_of(SHARD), state.successor_of(SHARD)
    others = [name for name in hosts if name not in (coordinator, successor)]
    return LoneHost(new_state(successor, hosts)), coordinator, others


class LoneHost:
    """Run one host; others only notify it of queues, and servers begin to answer."""

    def __init__(self, state):
        self.state = state
        self.sent = []
        self.dispatched = {}
        self.notifying = ()
        self._answering = []

    def apply(self, event):
        queue = [event]
        while queue:
            for effect in reduce(self.state, queue.pop(0)):
                if isinstance(effect, Dispatch):
                    self.dispatched[effect.request_id] = effect.server
                    self._answering.append(effect.request_id)
                elif isinstance(effect, SendToHost):
                    if effect.host == self.state.host:
                        queue.append(self._received(effect.host, effect.message))
                    else:
                        self.sent.append((self.state.now, effect.host, effect.message))
                        queue += self._progress(effect.host, effect.message)

    def _progress(self, host, message):
        if not isinstance(message, PermitGrant):
            return []
        progress = PermitProgress(
            message.request_id,
            message.shard,
            message.server,
            first_token=0.01,
            output_tokens=1,
            elapsed=0.01,
        )
        return [self._received(host, progress)]

    def _received(self, sender, message):
        return events.PeerReceived(now=self.state.now, sender=sender, message=message)

    def receive(self, sender, message):
        self.apply(self._received(sender, message))

    def run(self, until):
        while self.state.now < until:
            answering, self._answering = self._answering, []
            self.apply(events.Ticked(now=round(self.state.now + TICK, 3)))
            for request_id in answering:
                seen = events.FirstTokenSeen(now=self.state.now, request_id=request_id)
                self.apply(seen)
            for sender in self.notifying:
                self.receive(sender, PermitQueued(SHARD))

    def grants(self, *, since=0.0):
        return [
            message
            for at, _, message in self.sent
            if isinstance(message, PermitGrant) and at >= since
        ]

    def asked(self, kind=PermitRequest, *, since=0.0):
        return {
            host
            for at, host, message in self.sent
            if isinstance(message, kind) and at >= since
        }


def names(count):
    return [f"h{number:03}" for number in range(count)]


def ordinary_host(hosts, **fields):
    """Return a host that is neither the coordinator nor its successor."""
    state = new_state(hosts[0], hosts, **fields)
    roles = {state.coordinator_of(SHARD), state.successor_of(SHARD)}
    name = next(host for host in hosts if host not in roles)
    return LoneHost(new_state(name, hosts, **fields))


@pytest.mark.parametrize(("count", "servers"), [(3, 1), (16, 5), (64, 30), (137, 56)])
def test_hosts_that_all_decide_for_themselves_never_exceed_a_servers_slots(
    count, servers
):
    running = Counter()
    for name in names(count):
        host = LoneHost(new_state(name, names(count), servers=servers))
        for number in range(2 * SLOTS):
            host.apply(arrival(f"{name}-{number}"))
        host.run(4.0)
        if host.state.coordinator_of(SHARD) == host.state.host:
            continue
        running.update(host.dispatched.values())
    assert running
    assert max(running.values()) <= SLOTS


def test_hosts_with_fewer_slots_than_hosts_take_turns():
    hosts = names(370)
    served = Counter()
    for name in hosts[:60]:
        host = LoneHost(new_state(name, hosts, servers=8))
        host.apply(arrival(name, timeout=60.0))
        host.run(12.0)
        served[bool(host.dispatched)] += 1
    assert served[True] > 50


def test_fallback_can_place_prompts_of_any_size_that_a_server_takes():
    host = ordinary_host(names(137), servers=56)
    host.apply(arrival("large", prompt_tokens=54_000))
    host.run(5.0)
    assert list(host.dispatched) == ["large"]


def test_silent_coordinator_is_replaced_by_its_successor_for_all_hosts():
    host = ordinary_host(names(16))
    state = host.state
    host.apply(arrival("r1"))
    assert host.asked() == {state.coordinator_of(SHARD)}
    host.notifying = [state.successor_of(SHARD)]
    host.run(1.0)
    assert host.state.stand_ins == {SHARD: state.successor_of(SHARD)}
    assert state.successor_of(SHARD) in host.asked(Registration)
    assert not state.fallbacks
    assert not host.dispatched


def test_hosts_whose_deciders_are_silent_meet_at_the_next_one():
    hosts = names(16)
    first = new_state(hosts[0], hosts)
    gone = {first.coordinator_of(SHARD), first.successor_of(SHARD)}
    met = set()
    for name in hosts:
        host = LoneHost(new_state(name, hosts))
        third = host.state.decider_without(SHARD, frozenset(gone))
        if name in {*gone, third}:
            continue
        host.notifying = [third]
        host.apply(arrival("r1", timeout=30.0))
        host.run(3.0)
        met |= set(host.state.stand_ins.values())
        assert not host.state.fallbacks
    assert met == {third}


def test_host_waits_for_a_successor_as_long_as_for_the_coordinator():
    host = ordinary_host(names(16))
    host.apply(arrival("r1", timeout=30.0))
    host.run(0.6)
    assert not host.state.fallbacks
    host.notifying = [host.state.successor_of(SHARD)]
    host.run(2.0)
    assert host.state.stand_ins
    assert not host.state.fallbacks


def test_host_waits_for_a_new_coordinator_from_when_it_has_registered_with_it():
    hosts = names(16)
    host = ordinary_host(hosts)
    before = host.state.coordinator_of(SHARD)
    host.notifying = [before]
    host.apply(arrival("r1", timeout=30.0))
    host.run(1.0)
    host.notifying = ()
    rest = tuple(name for name in hosts if name != before)
    host.apply(events.MembersChanged(now=host.state.now, hosts=rest))
    host.run(1.3)
    assert not host.state.stand_ins
    assert not host.state.fallbacks


def test_successor_decides_only_on_the_slots_of_hosts_that_rely_on_it():
    hosts = names(16)
    successor = new_state(hosts[0], hosts).successor_of(SHARD)
    state = new_state(successor, hosts)
    host = LoneHost(state)
    few = [name for name in hosts if name not in (successor,)][:4]
    for sender in few:
        request = PermitRequest(
            request_id=f"r-{sender}",
            shard=SHARD,
            workspace="",
            tier_rank=0,
            class_rank=0,
            remaining=15.0,
            prompt_tokens=100,
            output_tokens=10,
            objective=1.0,
            patience=7.0,
        )
        for number in range(2 * SLOTS):
            own = msgspec.structs.replace(request, request_id=f"{sender}-{number}")
            host.receive(sender, own)
    host.run(2.0)
    granted = [m for _, _, m in host.sent if isinstance(m, PermitGrant)]
    assert len(granted) == 8 * SLOTS * len(few) / len(hosts)


def test_host_returns_to_its_coordinator_and_registers_its_requests_once():
    host = ordinary_host(names(16))
    state = host.state
    coordinator = state.coordinator_of(SHARD)
    host.notifying = [state.successor_of(SHARD)]
    host.apply(arrival("r1", timeout=30.0))
    host.run(0.4)
    assert SHARD in state.stand_ins
    host.receive(coordinator, ShardAdvert(SHARD, coordinator, ()))
    assert SHARD in state.stand_ins
    host.run(1.3)
    host.receive(coordinator, ShardAdvert(SHARD, coordinator, ()))
    host.run(1.4)
    assert not state.stand_ins
    registered = [
        (target, len(message.waiting))
        for at, target, message in host.sent
        if isinstance(message, Registration) and at > 1.3
    ]
    assert registered == [(coordinator, 1), (state.successor_of(SHARD), 0)]


def test_coordinator_that_stops_again_and_again_is_left_for_longer():
    host = ordinary_host(names(16))
    coordinator = host.state.coordinator_of(SHARD)
    turned = 0
    was_away = False
    host.notifying = [host.state.successor_of(SHARD)]
    for step in range(400):
        host.apply(arrival(f"r{step}", now=host.state.now))
        host.run(host.state.now + TICK)
        away = SHARD in host.state.stand_ins or SHARD in host.state.fallbacks
        turned += away and not was_away
        if away:
            host.receive(coordinator, ShardAdvert(SHARD, coordinator, ()))
        was_away = away
    assert turned <= 20.0 / MAX_ABSENCE + 3


def test_stand_in_becomes_the_coordinator_without_losing_its_queue():
    hosts = names(16)
    first = new_state(hosts[0], hosts)
    coordinator, successor = first.coordinator_of(SHARD), first.successor_of(SHARD)
    host = LoneHost(new_state(successor, hosts))
    host.run(0.1)
    for number in range(100):
        host.apply(arrival(f"r{number}", timeout=30.0, objective=20.0))
    host.run(0.6)
    acting = host.state.coordinators[SHARD]
    assert not acting.has_role
    rest = tuple(name for name in hosts if name != coordinator)
    host.apply(events.MembersChanged(now=host.state.now, hosts=rest))
    assert host.state.coordinators[SHARD] is acting
    assert acting.has_role
    host.run(3.0)
    assert len(host.dispatched) == 8 * SLOTS


def test_requests_are_served_while_a_coordinator_is_silent():
    fleet = ReducerFleet([instance("a"), instance("b")], hosts=5)
    state = next(iter(fleet.hosts.values()))
    coordinator, successor = state.coordinator_of(SHARD), state.successor_of(SHARD)
    fleet.service_time = 0.2
    silent = fleet.hosts.pop(coordinator)
    perform = fleet._perform

    def lose(host, effect):
        if not (isinstance(effect, SendToHost) and effect.host == coordinator):
            perform(host, effect)

    fleet._perform = lose
    sender = next(name for name in fleet.hosts if name != successor)
    request_id = fleet.send(sender)
    fleet.advance(4.0)
    assert silent.host == coordinator
    assert [host for host, _, _ in fleet.dispatched] == [sender]
    assert request_id not in fleet.settled


def test_stand_in_that_takes_the_role_does_not_use_all_slots_before_hosts_register():
    host, coordinator, others = stand_in_of(names(16))
    host.receive(others[0], ask("early"))
    host.run(2.0)
    host.receive(others[0], ask("recent"))
    rest = tuple(name for name in names(16) if name != coordinator)
    host.apply(events.MembersChanged(now=host.state.now, hosts=rest))
    for number in range(100):
        host.receive(others[0], ask(f"r{number}"))
    assert len(host.grants(since=2.0)) <= 8 * SLOTS / 3
    host.run(3.0)
    assert len(host.grants(since=2.0)) > 8 * SLOTS / 2


def test_stand_in_that_takes_the_role_counts_the_usage_that_hosts_report():
    hosts = names(16)
    limit = Quota(rate=100.0, burst=100.0, window=8.0)
    host, coordinator, others = stand_in_of(hosts)
    quotas = {"tenant": limit}
    limited = msgspec.structs.replace(host.state.deployment, version=2, quotas=quotas)
    host.apply(events.SettingsApplied(now=0.0, deployment=limited))
    spent = {"workspace": "tenant", "quota_cost": 50.0}
    host.receive(others[0], ask("early", **spent))
    host.run(9.0)
    host.receive(others[0], ask("recent", **spent))
    rest = tuple(name for name in hosts if name != coordinator)
    host.apply(events.MembersChanged(now=host.state.now, hosts=rest))
    usage = {"tenant": (limit.window_limit / len(rest),)}
    for name in others:
        report = Registration(SHARD, (), (), quota_usage=usage, usage_age=60.0)
        host.receive(name, report)
    host.run(9.6)
    for number in range(10):
        host.receive(others[0], ask(f"r{number}", **spent))
    assert not host.grants(since=9.5)


def test_stand_in_does_not_keep_slots_for_work_of_hosts_that_left_it():
    host, _, others = stand_in_of(names(16))
    running = tuple(
        RunningWork(ask(f"running-{number}"), f"e{number % 8}", 1, 0.1)
        for number in range(24)
    )
    host.receive(others[0], Registration(SHARD, (ask("waiting"),), running))
    host.run(1.0)
    host.receive(others[0], Registration(SHARD, (), running))
    host.run(10.0)
    assert not host.state.coordinators
    for number in range(2 * SLOTS):
        host.receive(others[1], ask(f"later-{number}"))
    host.run(11.0)
    assert len(host.grants(since=10.0)) >= 8 * SLOTS // 16


def test_hosts_that_start_together_do_not_all_register_in_the_same_moment():
    registered = Counter()
    for name in names(137):
        host = LoneHost(new_state(name, names(137)))
        if host.state.coordinator_of(SHARD) == name:
            continue
        host.notifying = [host.state.coordinator_of(SHARD)]
        host.apply(arrival("r1", timeout=60.0))
        host.run(10.0)
        registered.update(
            int(at / 0.5)
            for at, _, message in host.sent
            if isinstance(message, Registration) and 5.0 <= at < 9.99
        )
    assert registered.total() == 136
    assert max(registered.values()) <= 3 * 136 / 10


@pytest.mark.parametrize("pause", [0.6, 4.0])
def test_host_that_was_late_itself_does_not_take_its_coordinator_for_silent(pause):
    host = ordinary_host(names(16))
    coordinator = host.state.coordinator_of(SHARD)
    host.notifying = [coordinator]
    host.apply(arrival("r1", timeout=30.0))
    host.run(1.0)
    host.apply(events.Ticked(now=1.0 + pause))
    assert not host.state.stand_ins
    host.receive(coordinator, PermitQueued(SHARD))
    host.run(2.0 + pause)
    assert not host.state.stand_ins
    host.notifying = ()
    host.run(2.5 + pause)
    assert host.state.stand_ins


def test_host_whose_ticks_are_all_late_still_turns_from_a_silent_coordinator():
    host = ordinary_host(names(16))
    host.apply(arrival("r1", timeout=30.0))
    for number in range(1, 6):
        host.apply(events.Ticked(now=0.2 * number))
    assert host.state.stand_ins


def test_host_without_requests_returns_from_a_stand_in():
    host = ordinary_host(names(16))
    coordinator = host.state.coordinator_of(SHARD)
    host.notifying = [host.state.successor_of(SHARD)]
    host.apply(arrival("r1", timeout=1.0))
    host.run(0.6)
    assert host.state.stand_ins
    host.run(12.0)
    # Only then does a coordinator that has started again know of the host.
    assert coordinator in host.asked(Registration, since=6.0)


def host_with_work_of_a_stand_in():
    host = ordinary_host(names(16))
    successor = host.state.successor_of(SHARD)
    host.notifying = [successor]
    host.apply(arrival("r1", timeout=60.0))
    host.run(0.6)
    host.receive(successor, PermitGrant("r1", SHARD, "e0"))
    assert host.dispatched == {"r1": "e0"}
    return host, host.state.coordinator_of(SHARD), successor


def test_silent_coordinator_does_not_count_work_whose_release_goes_elsewhere():
    host, coordinator, _ = host_with_work_of_a_stand_in()
    host.run(11.0)
    registered = [
        message
        for at, target, message in host.sent
        if target == coordinator and isinstance(message, Registration) and at > 0.6
    ]
    assert registered
    assert not any(message.running for message in registered)


def test_release_reaches_every_host_that_was_told_of_the_work():
    host, coordinator, successor = host_with_work_of_a_stand_in()
    host.run(2.0)
    host.receive(coordinator, ShardAdvert(SHARD, coordinator, ()))
    host.run(2.1)
    assert not host.state.stand_ins
    host.apply(arrival("r2", now=host.state.now, timeout=60.0))
    host.run(2.6)
    assert host.state.stand_ins
    finished = events.DispatchFinished(now=host.state.now, request_id="r1")
    host.apply(finished)
    assert host.asked(PermitRelease, since=2.6) == {coordinator, successor}


def test_stand_in_decides_for_a_host_as_long_as_its_requests_wait():
    host, _, others = stand_in_of(names(16))
    host.receive(others[0], Registration(SHARD, (), ()))
    for number in range(2 * SLOTS):
        host.receive(others[0], ask(f"r{number}", objective=10.0, patience=9.0))
    host.run(1.0)
    first = host.grants()
    host.run(4.5)
    for grant in first:
        host.receive(
            others[0],
            PermitRelease(grant.request_id, SHARD, grant.server, dispatched=True),
        )
    host.run(5.0)
    assert first
    assert len(host.grants(since=4.5)) == len(first)


def test_host_that_returns_leaves_no_requests_at_the_stand_in():
    host, _, others = stand_in_of(names(16))
    for number in range(2 * SLOTS):
        host.receive(others[0], ask(f"r{number}"))
    host.run(0.5)
    assert len(host.state.coordinators[SHARD].queue)
    host.receive(others[0], Registration(SHARD, (), ()))
    assert not len(host.state.coordinators[SHARD].queue)


def test_coordinator_counts_the_usage_that_others_granted_meanwhile():
    hosts = names(4)
    state = new_state(hosts[0], hosts)
    coordinator, successor = state.coordinator_of(SHARD), state.successor_of(SHARD)
    away = next(name for name in hosts if name not in (coordinator, successor))
    host = LoneHost(new_state(away, hosts))
    host.notifying = [successor]
    for number in range(4):
        host.apply(arrival(f"r{number}", timeout=60.0, quota_cost=250.0))
    host.run(0.6)
    for number in range(4):
        host.receive(successor, PermitGrant(f"r{number}", SHARD, f"e{number}"))
    host.run(2.0)
    host.receive(coordinator, ShardAdvert(SHARD, coordinator, ()))
    host.run(2.1)
    (told,) = (
        message
        for _, target, message in host.sent
        if target == coordinator and isinstance(message, UsageElsewhere)
    )
    decider = LoneHost(new_state(coordinator, hosts))
    quotas = {"": Quota(rate=100.0, burst=200.0, window=8.0)}
    limited = msgspec.structs.replace(
        decider.state.deployment, version=2, quotas=quotas
    )
    decider.apply(events.SettingsApplied(now=0.0, deployment=limited))
    decider.receive(away, ask("early", quota_cost=1.0))
    decider.run(9.0)
    decider.receive(away, told)
    decider.receive(away, ask("later", quota_cost=1.0))
    assert [grant.request_id for grant in decider.grants()] == ["early"]
