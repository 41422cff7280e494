"""Play loads against the choice by objective and check what callers would get."""

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
from amaranthferry.objectives import MinimumShares

HOST = "host-1"
SHARD = "engines/0"


def deployment(servers=2, slots=2, **rules):
    found = {
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
        servers=found,
        rules={
            "engines": PoolRules(
                by_objective=True, notice_interval=0.1, rebuild_timeout=0.0, **rules
            )
        },
    )


def coordinator(**options):
    return Coordinator.from_config(deployment(**options), SHARD, now=0.0, hosts=(HOST,))


def ask(
    name, *, rank=0, objective=1.0, remaining=10.0, max_wait=4.0, prompt=100, out=50
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
        max_wait=max_wait,
    )


def send(target, message, now):
    effects = reduce(target, PeerReceived(now=now, sender=HOST, message=message))
    return [effect.message for effect in effects if hasattr(effect, "message")]


def tick(target, now):
    effects = reduce(target, Ticked(now=now))
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


def fill(target, count, now=0.0):
    """Take places; answer each first token at once, so that no prefill stands."""
    servers = {}
    for number in range(count):
        name = f"running-{number}"
        for message in send(target, ask(name), now):
            if isinstance(message, PermitGrant):
                servers[name] = message.server
                progress = PermitProgress(name, SHARD, message.server, 0.01, 1, 0.01)
                send(target, progress, now + 0.01)
    return servers


def test_every_slot_is_used():
    found = coordinator(servers=2, slots=2)
    assert len(fill(found, 5)) == 4
    assert len(found.queue) == 1


def test_waiter_is_told_that_it_is_held():
    found = coordinator()
    fill(found, 4)
    messages = send(found, ask("late"), 0.5)
    assert [type(m) for m in messages] == [PermitQueued]
    assert PermitQueued not in {type(m) for m in tick(found, 0.55)}
    assert PermitQueued in {type(m) for m in tick(found, 0.65)}


def test_higher_rank_goes_first_and_within_it_what_can_be_in_time():
    found = coordinator()
    servers = fill(found, 4)
    # The lower rank has had its part, so that only the order of ranks counts.
    found.minimums.record((0, 1), 10.0, 0.1)
    send(found, ask("lower", rank=1, objective=5.0), 0.1)
    send(found, ask("late", objective=-0.1), 0.1)
    send(found, ask("timely", objective=3.0), 0.1)
    order = []
    for step, (name, server) in enumerate(servers.items()):
        now = 0.2 + step / 10
        for message in send(found, release(name, server), now):
            if isinstance(message, PermitGrant):
                order.append(message.request_id)
                name, server = message.request_id, message.server
                send(found, PermitProgress(name, SHARD, server, 0.01, 1, 0.01), now)
    assert order == ["timely", "late", "lower"]


def test_waiter_is_refused_after_its_hold_and_asked_back_late():
    found = coordinator()
    fill(found, 4)
    send(found, ask("waits", max_wait=2.0, remaining=10.0), 0.1)
    assert refused(tick(found, 2.0)) == []
    (refusal,) = [m for m in tick(found, 2.2) if isinstance(m, PermitRefusal)]
    assert 2.0 < refusal.retry_after <= (10.0 - 2.1) / 3


def test_lower_rank_is_never_refused_room_for_ever():
    shares = MinimumShares()
    for step in range(40):
        shares.record((0, 0), 1.0, step / 10)
    assert shares.is_short((0, 1), 4.0)
    for step in range(8):
        shares.record((0, 1), 1.0, 4.0 + step / 10)
    assert not shares.is_short((0, 1), 4.8)


def test_prefill_backlog_keeps_work_here():
    found = coordinator(servers=1, slots=4)
    assert granted(send(found, ask("long", prompt=5_000), 0.0)) == ["long"]
    assert granted(send(found, ask("next", objective=3.0), 0.01)) == []
    assert granted(tick(found, 0.5)) == ["next"]


def test_second_try_goes_to_another_server():
    found = coordinator()
    (first,) = [m for m in send(found, ask("again"), 0.0) if isinstance(m, PermitGrant)]
    send(found, release("again", first.server), 0.1)
    repeat = ask("again")
    assert send(found, repeat, 0.2) == []
    repeat = msgspec.structs.replace(repeat, excluded=(first.server,))
    (second,) = [m for m in send(found, repeat, 0.3) if isinstance(m, PermitGrant)]
    assert second.server != first.server


class _Day:
    """Play a load: arrivals by kind, engines that take a fixed time a request."""

    KINDS = (
        # rank, arrivals a second, objective, hold, prompt, seconds at an engine
        (0, 4.0, 1.0, 2.2, 600, 1.2),
        (1, 4.0, 0.5, 2.2, 100, 1.0),
        (2, 6.0, 0.6, 1.3, 100, 0.1),
    )

    def __init__(self, target, seed, load):
        self._target = target
        self._random = random.Random(seed)
        self._load = load
        self.in_time = dict.fromkeys(range(3), 0)
        self.sent = dict.fromkeys(range(3), 0)
        self.told = []
        self._ends = []
        self._since = {}

    def play(self, until):
        now, step, number = 0.0, 0.02, 0
        while now < until:
            for rank, rate, objective, max_wait, prompt, seconds in self.KINDS:
                if self._random.random() < rate * self._load * step:
                    number += 1
                    name = f"{rank}-{number}"
                    self.sent[rank] += 1
                    self._since[name] = (now, objective)
                    found = ask(
                        name,
                        rank=rank,
                        objective=objective,
                        max_wait=max_wait,
                        prompt=prompt,
                        out=int(seconds * 100),
                    )
                    self._take(send(self._target, found, now), now)
            for end, name, server in [e for e in self._ends if e[0] <= now]:
                self._ends.remove((end, name, server))
                done = release(name, server, self.KINDS[int(name[0])][5])
                self._take(send(self._target, done, now), now)
            self._take(tick(self._target, now), now)
            now += step
        return self

    def _take(self, messages, now):
        for message in messages:
            if isinstance(message, PermitRefusal):
                self.told.append(now - self._since[message.request_id][0])
            if isinstance(message, PermitGrant):
                name = message.request_id
                rank = int(name[0])
                since, objective = self._since[name]
                self.in_time[rank] += now + 0.1 - since <= objective
                seconds = self.KINDS[rank][5]
                self._ends.append((now + seconds, name, message.server))
                progress = PermitProgress(name, SHARD, message.server, 0.05, 1, 0.05)
                self._take(send(self._target, progress, now), now)

    def share(self, rank):
        return self.in_time[rank] / max(1, self.sent[rank])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_serves_the_urgent_in_time_and_tells_the_rest(seed):
    day = _Day(coordinator(servers=3, slots=2), seed, 1.0).play(30)
    # Demand is 1.6 times what the engines can do.
    assert day.share(0) > 0.75
    assert day.share(2) > 0.3
    assert day.told
    assert max(day.told) < 2.3


@pytest.mark.parametrize("seed", [1, 2])
def test_calm_load_is_all_in_time(seed):
    day = _Day(coordinator(servers=6, slots=4), seed, 0.7).play(20)
    assert min(day.share(rank) for rank in range(3)) > 0.97
    assert day.told == []


def count_steps(call):
    """Count the bytecode steps of a call, which don't vary between runs."""
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


def queue_of(count):
    found = coordinator(servers=4, slots=4)
    servers = fill(found, 16)
    for number in range(count):
        send(found, ask(f"waits-{number}", rank=number % 3, max_wait=30.0), 0.02)
    return found, servers["running-0"]


@pytest.mark.parametrize("act", ["ask", "tick", "release", "refuse"])
def test_steps_do_not_grow_with_the_queue(act):
    steps = []
    for count in (100, 6_400):
        found, server = queue_of(count)
        call = {
            "ask": partial(send, found, ask("new"), 0.03),
            "tick": partial(tick, found, 0.03),
            "release": partial(send, found, release("running-0", server), 0.5),
            "refuse": partial(send, found, ask("new", max_wait=0.0), 0.03),
        }[act]
        steps.append(count_steps(call))
    # Sixty-four times the queue: six doublings of a sorted list.
    assert steps[1] <= 1.6 * steps[0] + 600


def test_a_pool_that_leaves_the_configuration_gets_no_grant():
    found = coordinator()
    without = msgspec.structs.replace(deployment(), pools={}, servers={})
    reduce(found, SettingsApplied(now=1.0, deployment=without))
    assert granted(send(found, ask("late"), 1.0)) == []
