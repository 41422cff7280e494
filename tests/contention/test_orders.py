"""Check single decisions of a shared order, and how hosts begin and leave it."""

import pytest

from amaranthferry.catalog import BudgetLimits, Catalog, Engine, RoutedService
from amaranthferry.catalog import deployment_of as compile_catalog
from amaranthferry.contention.orders import (
    CALM_TIME,
    LEASE,
    RENEWAL_INTERVAL,
    SharedOrder,
    needs_shared_order,
    reserved_limit,
)
from amaranthferry.core import reduce
from amaranthferry.effects import SendToHost
from amaranthferry.events import DispatchRefused, PeerReceived, Ticked
from amaranthferry.leaving import incarnation_of
from amaranthferry.messages import PermitRequest, Registration, ShardAdvert
from amaranthferry.types import ServerState
from tests.plain_fleet import SHARD, URGENT, PlainFleet
from tests.reducer_fleet import ENGINES, LEDGER, instance


@pytest.mark.parametrize(
    ("hosts", "slots", "expected"),
    [(0, 18, False), (18, 18, False), (19, 18, True), (30, 0, False)],
)
def test_order_needs_more_hosts_than_slots(hosts, slots, expected):
    assert needs_shared_order(hosts, slots) is expected


def rules(hosts, *, engine=None, states=(ServerState.LIVE,) * 3):
    servers = {
        f"s-{n}": instance(f"s-{n}", LEDGER, slots=6, state=state)
        for n, state in enumerate(states)
    }
    services = {
        LEDGER: RoutedService(name=LEDGER, engine=engine),
        ENGINES: RoutedService(name=ENGINES),
    }
    catalog = Catalog(version=1, services=services)
    deployment = compile_catalog(catalog, servers, BudgetLimits(hosts=hosts))
    return deployment.rules_of(LEDGER), deployment.rules_of(ENGINES)


def test_only_plain_services_with_fewer_slots_than_hosts_are_shared():
    plain, without_servers = rules(19)
    assert plain.shared_when_full
    assert plain.decided_locally
    # A service without servers has nothing to order.
    assert not without_servers.shared_when_full
    assert not rules(18)[0].shared_when_full
    engine = Engine(slots=1, kv_tokens=1_000)
    assert not rules(19, engine=engine)[0].shared_when_full


def test_rules_of_all_other_plain_services_are_those_of_before():
    before = rules(0)[0]
    assert rules(18)[0] == before
    assert before.notice_interval == 0
    assert not before.by_objective


def test_slots_of_servers_that_leave_dont_count():
    states = (ServerState.LIVE, ServerState.LIVE, ServerState.LEAVING)
    assert rules(13, states=states)[0].shared_when_full
    assert not rules(12, states=states)[0].shared_when_full


def test_order_is_over_once_slots_were_free_for_a_while():
    order = SharedOrder(until=0.0)
    order.measure(18, 18, 1.0)
    now = 1.0
    while not order.is_over(now):
        now += 0.05
        order.measure(9, 18, now)
    assert CALM_TIME < now - 1.0 < CALM_TIME + 2.0


@pytest.mark.parametrize("demand", [14, 18, 400])
def test_order_lasts_while_the_servers_are_full(demand):
    order = SharedOrder(until=0.0)
    for tick in range(1, 2_000):
        order.measure(demand, 18, tick * 0.05)
        assert not order.is_over(tick * 0.05)


def test_moment_of_more_work_than_slots_prolongs_the_order():
    order = SharedOrder(until=0.0)
    for tick in range(1, 100):
        order.measure(0, 18, tick * 0.05)
    order.measure(30, 18, 5.0)
    assert not order.is_over(5.0 + CALM_TIME - 0.1)


def test_all_hosts_are_told_at_once_only_of_news():
    order = SharedOrder(until=0.0)
    assert order.takes_renewal(1.0)
    assert not order.takes_renewal(1.0 + 2 * RENEWAL_INTERVAL)
    order.renew_soon()
    assert order.takes_renewal(1.0 + 2 * RENEWAL_INTERVAL)
    order.is_news = True
    assert not order.takes_renewal(1.0 + 2.5 * RENEWAL_INTERVAL)


@pytest.mark.parametrize(
    ("unregistered", "expected"), [(0, None), (1, 6), (64, 4), (129, 1)]
)
def test_hosts_that_take_no_part_keep_their_slots(unregistered, expected):
    assert reserved_limit(6, unregistered=unregistered, hosts=129) == expected


class Hosts:
    """Apply events to hosts of a quiet fleet, and collect what they send."""

    def __init__(self, **options):
        self.fleet = PlainFleet(hosts=30, load=0, **options)
        self.coordinator = self.fleet.coordinator
        self.host = next(n for n in self.fleet.names if n != self.coordinator)

    def reduce(self, event, host=None):
        effects = reduce(self.fleet.hosts[host or self.host], event)
        return [effect for effect in effects if isinstance(effect, SendToHost)]

    def receive(self, message, sender, *, now=1.0, host=None):
        return self.reduce(PeerReceived(now=now, sender=sender, message=message), host)

    def advert(self, waits=(0.0,), sender=None, now=1.0):
        sender = sender or self.coordinator
        return self.receive(ShardAdvert(SHARD, sender, waits), sender, now=now)

    def follows(self, host=None):
        return SHARD in self.fleet.hosts[host or self.host].shared_orders


def reject(hosts, **fields):
    """Let a server reject a request of a host."""
    fleet = hosts.fleet
    request = fleet.send(hosts.host, URGENT)
    fleet.run(0)
    fleet.jobs.clear()
    refused = DispatchRefused(now=0.01, request_id=request, by_server=True, **fields)
    return request, hosts.reduce(refused)


def test_rejected_request_is_passed_to_the_coordinator():
    hosts = Hosts()
    request, sent = reject(hosts)
    others = [effect for effect in sent if effect.host != hosts.host]
    assert {effect.host for effect in others} == {hosts.coordinator}
    registration, asked = (effect.message for effect in others)
    assert isinstance(registration, Registration)
    assert registration.filling
    assert [item.request_id for item in registration.waiting] == [request]
    assert registration.running == ()
    assert isinstance(asked, PermitRequest)


def test_answer_of_another_server_begins_no_order():
    hosts = Hosts()
    _, sent = reject(hosts, misdirected=True)
    assert {effect.host for effect in sent} == {hosts.host}
    assert not hosts.follows()


def test_rejection_by_a_server_that_leaves_begins_no_order():
    hosts = Hosts()
    fleet = hosts.fleet
    request = fleet.send(hosts.host, URGENT)
    fleet.run(0)
    fleet.jobs.clear()
    state = fleet.hosts[hosts.host]
    for server in fleet.servers:
        state.leaving.add(incarnation_of(state.deployment, server), 0.0)
    assert state.requests[request].is_running
    refused = DispatchRefused(now=0.01, request_id=request, by_server=True)
    hosts.reduce(refused)
    assert not hosts.follows()


def test_rejection_elsewhere_sends_no_message():
    hosts = Hosts(shared=False)
    _, sent = reject(hosts)
    assert {effect.host for effect in sent} == {hosts.host}
    assert not hosts.follows()


def test_coordinator_tells_all_hosts_of_a_rejection():
    hosts = Hosts()
    filling = Registration(shard=SHARD, waiting=(), running=(), filling=True)
    sent = hosts.receive(filling, hosts.host, host=hosts.coordinator)
    told = {effect.host for effect in sent if isinstance(effect.message, ShardAdvert)}
    assert told == set(hosts.fleet.names) - {hosts.coordinator}
    assert hosts.follows(hosts.coordinator)


def test_registration_alone_begins_no_order():
    hosts = Hosts()
    plain = Registration(shard=SHARD, waiting=(), running=())
    hosts.receive(plain, hosts.host, host=hosts.coordinator)
    assert not hosts.follows(hosts.coordinator)


def test_host_without_the_role_begins_no_order():
    hosts = Hosts()
    filling = Registration(shard=SHARD, waiting=(), running=(), filling=True)
    hosts.receive(filling, hosts.coordinator)
    assert not hosts.follows()


def test_host_that_hears_of_an_order_registers_what_runs():
    hosts = Hosts()
    fleet = hosts.fleet
    request = fleet.send(hosts.host, URGENT)
    fleet.run(0)
    (sent,) = hosts.advert()
    assert sent.host == hosts.coordinator
    assert [work.request.request_id for work in sent.message.running] == [request]
    assert not sent.message.filling
    assert hosts.advert(now=2.0) == []


def test_order_ends_by_the_word_of_its_coordinator_only():
    hosts = Hosts()
    hosts.advert()
    stranger = next(
        name
        for name in hosts.fleet.names
        if name not in (hosts.host, hosts.coordinator)
    )
    hosts.advert((), sender=stranger)
    assert hosts.follows()
    hosts.advert(())
    assert not hosts.follows()


def test_host_that_hears_no_more_decides_for_itself_again():
    hosts = Hosts()
    hosts.advert(now=1.0)
    now = 1.0
    while now < 1.0 + LEASE - 0.1:
        now += 0.05
        hosts.reduce(Ticked(now=now))
    assert hosts.follows()
    hosts.reduce(Ticked(now=now + 0.2))
    assert not hosts.follows()


def test_suspended_host_follows_the_order_until_it_could_hear_of_it():
    hosts = Hosts()
    hosts.reduce(Ticked(now=1.0))
    hosts.advert(now=1.0)
    hosts.reduce(Ticked(now=1.0 + 2 * LEASE))
    assert hosts.follows()


def test_coordinator_tells_others_of_its_own_rejection():
    hosts = Hosts()
    hosts.host = hosts.coordinator
    _, sent = reject(hosts)
    registration = next(
        item.message for item in sent if isinstance(item.message, Registration)
    )
    told = hosts.receive(registration, hosts.coordinator)
    assert {item.host for item in told if isinstance(item.message, ShardAdvert)} == set(
        hosts.fleet.names
    ) - {hosts.coordinator}


def test_coordinator_that_hears_nobody_renews_no_lease():
    hosts = Hosts()
    filling = Registration(shard=SHARD, waiting=(), running=(), filling=True)
    hosts.receive(filling, hosts.host, host=hosts.coordinator)

    def adverts(now):
        sent = hosts.reduce(Ticked(now=now), hosts.coordinator)
        return [item for item in sent if isinstance(item.message, ShardAdvert)]

    # It was told at 1.0 and has heard nothing since.
    assert not any(adverts(1.0 + tick * 0.05) for tick in range(25, 50))


def test_waiters_are_kept_when_a_pool_begins_to_be_shared():
    fleet = PlainFleet(hosts=19, load=0, shared=False)
    host = fleet.names[0]
    waiting = [fleet.send(host, URGENT) for _ in range(30)]
    fleet.run(0)
    decider = fleet.hosts[host].coordinators[SHARD]
    queued = {waiter.request.request_id for waiter in decider.queue}
    assert queued
    fleet.shared = True
    fleet.list_servers()
    assert fleet.hosts[host].deployment.rules_of(LEDGER).shared_when_full
    # All slots may be used now, so some are granted at once.
    waits = {waiter.request.request_id for waiter in decider.queue}
    fleet.run(0)
    assert waits
    assert queued - waits <= fleet.dispatched_at.keys()
    fleet.run(1)
    assert set(waiting) == set(fleet.answered)


def test_order_ends_where_its_rule_no_longer_holds():
    fleet = PlainFleet(hosts=19, load=1.5)
    fleet.run(4)
    assert fleet.ordered_hosts
    fleet.shared = False
    fleet.list_servers()
    fleet.run(0.2)
    assert fleet.ordered_hosts == set()
    fleet.load = 0
    fleet.run(5)
    assert not any(state.requests for state in fleet.hosts.values())
