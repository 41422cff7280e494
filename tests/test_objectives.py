"""Simulate loads on queues by objective, and check what callers get."""

import random
import sys
from functools import partial

import msgspec
import pytest

from amaranthferry.config import (
    BackendServer,
    Deployment,
    Pool,
    PoolRules,
    Tier,
)
from amaranthferry.coordinator import Coordinator
from amaranthferry.coordinator_reducer import reduce
from amaranthferry.events import PeerReceived, SettingsApplied, Ticked
from amaranthferry.messages import (
    PermitGrant,
    PermitProgress,
    PermitQueued,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
)

HOST = "host-1"
SHARD = "engines/0"


def deployment(servers=2, slots=2, **rules):
    servers_by_name = {
        f"engine-{n}": BackendServer(
            f"engine-{n}",
            "engines",
            "zone-a",
            f"10.0.0.{n}:1",
            slots=slots,
            kv_tokens=100_000,
            prefill_rate=10_000.0,
            decode_interval=0.01,
        )
        for n in range(servers)
    }
    return Deployment(
        name="test",
        tiers={"0": Tier("0", 0)},
        pools={"engines": Pool("engines", queue_limit=20_000)},
        servers=servers_by_name,
        rules={
            "engines": PoolRules(
                by_objective=True, notice_interval=0.1, rebuild_timeout=0.0, **rules
            )
        },
    )


def make_coordinator(**options):
    return Coordinator.from_config(deployment(**options), SHARD, now=0.0, hosts=(HOST,))


def permit_request(
    name, *, rank=0, objective=1.0, remaining=10.0, patience=4.0, prompt=100, out=50
):
    return PermitRequest(
        request_id=name,
        shard=SHARD,
        workspace="field",
        tier_rank=0,
        class_rank=rank,
        remaining=remaining,
        prompt_tokens=prompt,
        output_tokens=out,
        objective=objective,
        patience=patience,
    )


def send(coordinator, message, now):
    effects = reduce(coordinator, PeerReceived(now=now, sender=HOST, message=message))
    return [effect.message for effect in effects if hasattr(effect, "message")]


def tick(coordinator, now):
    effects = reduce(coordinator, Ticked(now=now))
    return [effect.message for effect in effects if hasattr(effect, "message")]


def granted(messages):
    return [m.request_id for m in messages if isinstance(m, PermitGrant)]


def refused(messages):
    return [m.request_id for m in messages if isinstance(m, PermitRefusal)]


def release(name, server, seconds=0.5):
    return PermitRelease(
        request_id=name,
        shard=SHARD,
        server=server,
        dispatched=True,
        output_tokens=int(seconds * 100),
        elapsed=seconds,
    )


def fill(coordinator, count, now=0.0):
    """Fill slots, and report each first token at once to leave no prefill backlog."""
    servers = {}
    for number in range(count):
        name = f"running-{number}"
        for message in send(coordinator, permit_request(name), now):
            if isinstance(message, PermitGrant):
                servers[name] = message.server
                progress = PermitProgress(name, SHARD, message.server, 0.01, 1, 0.01)
                send(coordinator, progress, now + 0.01)
    return servers


def test_every_slot_is_used():
    coordinator = make_coordinator(servers=2, slots=2)
    assert len(fill(coordinator, 5)) == 4
    assert len(coordinator.queue) == 1


def test_host_is_notified_of_its_waiting_requests():
    coordinator = make_coordinator()
    fill(coordinator, 4)
    messages = send(coordinator, permit_request("late"), 0.5)
    assert [type(m) for m in messages] == [PermitQueued]
    assert PermitQueued not in {type(m) for m in tick(coordinator, 0.55)}
    assert PermitQueued in {type(m) for m in tick(coordinator, 0.65)}


def test_higher_rank_goes_first_and_timely_work_first_within_a_rank():
    coordinator = make_coordinator()
    servers = fill(coordinator, 4)
    # The lower rank already has its minimum share, so only the order of ranks counts.
    coordinator.minimum_shares.record_grant((0, 1), 10.0)
    send(coordinator, permit_request("lower", rank=1, objective=5.0), 0.1)
    send(coordinator, permit_request("late", objective=-0.1), 0.1)
    send(coordinator, permit_request("timely", objective=3.0), 0.1)
    order = []
    for step, (name, server) in enumerate(servers.items()):
        now = 0.2 + step / 10
        for message in send(coordinator, release(name, server), now):
            if isinstance(message, PermitGrant):
                order.append(message.request_id)
                name, server = message.request_id, message.server
                send(
                    coordinator, PermitProgress(name, SHARD, server, 0.01, 1, 0.01), now
                )
    assert order == ["timely", "late", "lower"]


def test_waiter_is_refused_when_its_caller_gives_up():
    coordinator = make_coordinator()
    fill(coordinator, 4)
    send(coordinator, permit_request("waits", patience=2.0, remaining=10.0), 0.1)
    assert refused(tick(coordinator, 2.0)) == []
    assert refused(tick(coordinator, 2.2)) == ["waits"]


def test_prefill_backlog_delays_grants():
    coordinator = make_coordinator(servers=1, slots=4)
    assert granted(send(coordinator, permit_request("long", prompt=5_000), 0.0)) == [
        "long"
    ]
    assert granted(send(coordinator, permit_request("next", objective=3.0), 0.01)) == []
    assert granted(tick(coordinator, 0.5)) == ["next"]


def test_second_attempt_goes_to_another_server():
    coordinator = make_coordinator()
    (first,) = [
        m
        for m in send(coordinator, permit_request("again"), 0.0)
        if isinstance(m, PermitGrant)
    ]
    send(coordinator, release("again", first.server), 0.1)
    repeat = permit_request("again")
    assert send(coordinator, repeat, 0.2) == []
    repeat = msgspec.structs.replace(repeat, excluded=(first.server,))
    (second,) = [
        m for m in send(coordinator, repeat, 0.3) if isinstance(m, PermitGrant)
    ]
    assert second.server != first.server


class _LoadSimulation:
    """Random arrivals of several kinds, on engines with a fixed time per request."""

    KINDS = (
        # rank, arrivals per second, objective, patience, prompt, seconds of service
        (0, 4.0, 1.0, 2.2, 600, 1.2),
        (1, 4.0, 0.5, 2.2, 100, 1.0),
        (2, 6.0, 0.6, 1.3, 100, 0.1),
    )

    def __init__(self, coordinator, seed, load):
        self._coordinator = coordinator
        self._random = random.Random(seed)
        self._load = load
        self.in_time = dict.fromkeys(range(3), 0)
        self.sent = dict.fromkeys(range(3), 0)
        self.granted = dict.fromkeys(range(3), 0)
        self.refusal_delays = []
        self._running = []
        self._sent_at = {}

    def run(self, until):
        now, step, number = 0.0, 0.02, 0
        while now < until:
            for rank, rate, objective, patience, prompt, seconds in self.KINDS:
                if self._random.random() < rate * self._load * step:
                    number += 1
                    name = f"{rank}-{number}"
                    self.sent[rank] += 1
                    self._sent_at[name] = (now, objective)
                    request = permit_request(
                        name,
                        rank=rank,
                        objective=objective,
                        patience=patience,
                        prompt=prompt,
                        out=int(seconds * 100),
                    )
                    self._handle(send(self._coordinator, request, now), now)
            for end, name, server in [e for e in self._running if e[0] <= now]:
                self._running.remove((end, name, server))
                done = release(name, server, self.KINDS[int(name[0])][5])
                self._handle(send(self._coordinator, done, now), now)
            self._handle(tick(self._coordinator, now), now)
            now += step
        return self

    def _handle(self, messages, now):
        for message in messages:
            if isinstance(message, PermitRefusal):
                self.refusal_delays.append(now - self._sent_at[message.request_id][0])
            if isinstance(message, PermitGrant):
                name = message.request_id
                rank = int(name[0])
                since, objective = self._sent_at[name]
                self.granted[rank] += 1
                self.in_time[rank] += now + 0.1 - since <= objective
                seconds = self.KINDS[rank][5]
                self._running.append((now + seconds, name, message.server))
                progress = PermitProgress(name, SHARD, message.server, 0.05, 1, 0.05)
                self._handle(send(self._coordinator, progress, now), now)

    def share(self, rank):
        return self.in_time[rank] / max(1, self.sent[rank])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_serves_urgent_work_in_time_and_refuses_the_rest(seed):
    sim = _LoadSimulation(make_coordinator(servers=3, slots=2), seed, 1.0).run(30)
    # Demand is 1.6 times the capacity of the engines.
    assert sim.share(0) > 0.75
    # Lower work gets its minimum share of 0.1, and never more than urgent work.
    assert sim.granted[2] >= 0.1 * sim.sent[2]
    assert sim.share(1) >= sim.share(2)
    assert sim.refusal_delays
    assert max(sim.refusal_delays) < 2.3


@pytest.mark.parametrize("seed", [1, 2])
def test_moderate_load_is_served_in_time(seed):
    sim = _LoadSimulation(make_coordinator(servers=6, slots=4), seed, 0.7).run(20)
    assert min(sim.share(rank) for rank in range(3)) > 0.97
    assert sim.refusal_delays == []


def count_opcodes(call):
    """Count the opcodes of a call, which unlike its time don't vary between runs."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(None)
    return count


def coordinator_with_waiters(count):
    coordinator = make_coordinator(servers=4, slots=4)
    servers = fill(coordinator, 16)
    for number in range(count):
        send(
            coordinator,
            permit_request(f"waits-{number}", rank=number % 3, patience=30.0),
            0.02,
        )
    return coordinator, servers["running-0"]


@pytest.mark.parametrize("action", ["request", "tick", "release", "refuse"])
def test_opcodes_do_not_grow_with_the_queue(action):
    opcodes = []
    for count in (100, 6_400):
        coordinator, server = coordinator_with_waiters(count)
        call = {
            "request": partial(send, coordinator, permit_request("new"), 0.03),
            "tick": partial(tick, coordinator, 0.03),
            "release": partial(send, coordinator, release("running-0", server), 0.5),
            "refuse": partial(
                send, coordinator, permit_request("new", patience=0.0), 0.03
            ),
        }[action]
        opcodes.append(count_opcodes(call))
    # A queue of 64 times the length is six doublings of a sorted list.
    assert opcodes[1] <= 1.6 * opcodes[0] + 600


def test_pool_removed_from_the_configuration_gets_no_grant():
    coordinator = make_coordinator()
    without = msgspec.structs.replace(deployment(), pools={}, servers={})
    reduce(coordinator, SettingsApplied(now=1.0, deployment=without))
    assert granted(send(coordinator, permit_request("late"), 1.0)) == []


@pytest.mark.parametrize("count", [15, 137, 370])
def test_queue_notices_do_not_grow_with_the_number_of_hosts(count):
    hosts = [f"h{number}" for number in range(count)]
    coordinator = Coordinator.from_config(deployment(), SHARD, now=0.0, hosts=hosts)
    for host in hosts:
        request = permit_request(f"r-{host}", objective=60.0, patience=60.0)
        asked = PeerReceived(now=0.0, sender=host, message=request)
        reduce(coordinator, asked)
    assert len(coordinator.queue) >= count - 10
    ticks = [tick(coordinator, 0.05 * number) for number in range(1, 61)]
    notices = sum(isinstance(m, PermitQueued) for messages in ticks for m in messages)
    assert count * 3.0 / 3.5 <= notices <= 600 * 3.0 + count


def test_waiter_is_not_held_for_a_server_that_takes_no_work():
    coordinator = make_coordinator(servers=2, slots=1)
    fast, slow = coordinator.servers.values()
    fast.set_enabled(False)
    slow.speed.observe_prefill(2_000_000, 20_000.0)
    request = permit_request("waits", prompt=1_000, objective=1.0)
    assert granted(send(coordinator, request, 0.02)) == ["waits"]


def test_waiter_is_held_for_a_busy_server_that_can_meet_its_objective():
    coordinator = make_coordinator(servers=2, slots=1)
    ((name, server),) = fill(coordinator, 1).items()
    (slow,) = [r for r in coordinator.servers.values() if r.cfg.name != server]
    slow.speed.observe_prefill(2_000_000, 20_000.0)
    request = permit_request("waits", prompt=1_000, objective=1.0)
    assert granted(send(coordinator, request, 0.02)) == []
    assert granted(send(coordinator, release(name, server), 0.3)) == ["waits"]


def test_waiter_is_not_held_beyond_the_moment_at_which_a_busy_server_could_be_in_time():
    coordinator = make_coordinator(servers=2, slots=1)
    ((_, server),) = fill(coordinator, 1).items()
    (slow,) = [r for r in coordinator.servers.values() if r.cfg.name != server]
    slow.speed.observe_prefill(2_000_000, 20_000.0)
    send(coordinator, permit_request("waits", prompt=1_000, objective=1.0), 0.02)
    assert granted(tick(coordinator, 0.85)) == []
    assert granted(tick(coordinator, 0.95)) == ["waits"]


def slow_and_busy(*, decode_interval, holds=True):
    """Return a coordinator with a free slow server, and what runs at the busy one."""
    coordinator = make_coordinator(servers=2, slots=1, holds_long_answers=holds)
    ((name, server),) = fill(coordinator, 1).items()
    (slow,) = [r for r in coordinator.servers.values() if r.cfg.name != server]
    slow.speed.observe_decode(100_000, 100_000 * decode_interval, 1)
    return coordinator, name, server


def test_long_answer_is_not_cut_at_its_deadline_on_a_server_that_is_too_slow_for_it():
    coordinator, name, server = slow_and_busy(decode_interval=0.05)
    request = permit_request("long", out=300, objective=0.0, remaining=10.0)
    assert granted(send(coordinator, request, 0.02)) == []
    assert granted(send(coordinator, release(name, server), 0.3)) == ["long"]


def test_short_answer_goes_to_the_slow_server_that_a_long_one_waits_beside():
    coordinator, _, _ = slow_and_busy(decode_interval=0.05)
    request = permit_request("long", out=300, objective=0.0, remaining=10.0)
    send(coordinator, request, 0.02)
    request = permit_request("short", out=50, objective=0.0, remaining=10.0)
    assert granted(send(coordinator, request, 0.03)) == ["short"]


def test_long_answer_gets_the_slow_server_if_no_other_could_end_it_either():
    coordinator, _, _ = slow_and_busy(decode_interval=0.05)
    for record in coordinator.servers.values():
        record.speed.observe_decode(100_000, 5_000.0, 1)
    request = permit_request("long", out=195, objective=0.0, remaining=10.0)
    assert granted(send(coordinator, request, 0.02)) == ["long"]


def test_objective_is_not_missed_for_the_sake_of_an_unusually_long_answer():
    coordinator, _, _ = slow_and_busy(decode_interval=0.05)
    busy = [r for r in coordinator.servers.values() if r.permits]
    busy[0].set_enabled(False)
    request = permit_request("may-be-long", out=150, objective=1.0, remaining=10.0)
    assert granted(send(coordinator, request, 0.02)) == ["may-be-long"]


def test_deployment_without_the_rule_places_long_answers_as_before():
    coordinator, _, _ = slow_and_busy(decode_interval=0.05, holds=False)
    request = permit_request("long", out=300, objective=0.0, remaining=10.0)
    assert granted(send(coordinator, request, 0.02)) == ["long"]
