"""Check what becomes of permits and requests when a run or a coordinator fails."""

import msgspec
import pytest

from amaranthferry import events
from amaranthferry.config import PoolRules
from amaranthferry.coordination import PAUSE
from amaranthferry.core import HostState, reduce
from amaranthferry.effects import Dispatch, SendToHost, SettleRequest
from amaranthferry.messages import PermitGrant, PermitRelease, PermitRequest
from amaranthferry.types import Outcome

from .test_core import DEPLOYMENT, ENGINES, HOST, OTHER, SHARD, arrival, receive

REPEATS = PoolRules(repeat_ratio=0.0, repeat_burst=2.0, repeat_refill=0.0)


def state(*, hosts=(OTHER,), rules=REPEATS):
    deployment = msgspec.structs.replace(DEPLOYMENT, rules={ENGINES: rules})
    return HostState(host=HOST, zone="zone-a", deployment=deployment, hosts=hosts)


def start(found, name="r1", *, server="engine-1", **changes):
    event = msgspec.structs.replace(arrival(name), **changes)
    reduce(found, event)
    effects = receive(found, PermitGrant(name, SHARD, server))
    assert any(isinstance(effect, Dispatch) for effect in effects)


def sent(effects, kind):
    return [
        effect
        for effect in effects
        if isinstance(effect, SendToHost) and isinstance(effect.message, kind)
    ]


def settled(effects):
    return [e.outcome for e in effects if isinstance(e, SettleRequest)]


def failed(found, name="r1", now=0.5):
    return reduce(found, events.DispatchFailed(now=now, request_id=name))


def test_repeatable_request_asks_again_for_another_server():
    found = state()
    start(found, repeatable=True, max_attempts=2)
    effects = failed(found)
    (ask,) = sent(effects, PermitRequest)
    assert ask.message.excluded == ("engine-1",)
    assert settled(effects) == []
    start_again = receive(found, PermitGrant("r1", SHARD, "engine-2"), now=0.6)
    assert [e.server for e in start_again if isinstance(e, Dispatch)] == ["engine-2"]


def test_servers_of_a_route_are_used_up():
    found = state()
    start(found, repeatable=True, max_attempts=2)
    failed(found)
    receive(found, PermitGrant("r1", SHARD, "engine-2"), now=0.6)
    assert settled(failed(found, now=0.7)) == [Outcome.UNKNOWN]


@pytest.mark.parametrize("changes", [{"max_attempts": 3}, {"repeatable": True}])
def test_request_that_may_not_run_twice_is_unknown(changes):
    found = state()
    start(found, **changes)
    assert settled(failed(found)) == [Outcome.UNKNOWN]


def test_caller_that_left_gets_no_second_run():
    found = state()
    start(found, repeatable=True, max_attempts=3)
    reduce(found, events.CallerGone(now=0.3, request_id="r1"))
    assert settled(failed(found)) == [Outcome.UNKNOWN]


def test_request_whose_time_is_up_gets_no_second_run():
    found = state()
    start(found, repeatable=True, max_attempts=3)
    up = events.DispatchFailed(now=0.5, request_id="r1", timed_out=True)
    assert settled(reduce(found, up)) == [Outcome.UNKNOWN]


def test_shared_budget_bounds_second_runs():
    found = state()
    outcomes = []
    for number in range(4):
        name = f"r{number}"
        start(found, name, repeatable=True, max_attempts=2)
        outcomes += settled(failed(found, name))
    assert outcomes == [Outcome.UNKNOWN] * 2


def test_server_that_refuses_leaves_the_request_to_another():
    found = state()
    start(found, max_attempts=2)
    refused = events.DispatchRefused(now=0.5, request_id="r1", by_server=True)
    effects = reduce(found, refused)
    assert sent(effects, PermitRequest)
    assert settled(effects) == []


def test_permit_goes_back_to_who_granted_it_and_to_who_decides_now():
    found = state(hosts=(OTHER, "host-3"))
    reduce(found, arrival())
    receive(found, PermitGrant("r1", SHARD, "engine-1"), sender=OTHER)
    left = tuple(host for host in ("host-3",))
    reduce(found, events.MembersChanged(now=0.2, hosts=left))
    done = events.DispatchFinished(now=0.5, request_id="r1", output_tokens=5)
    hosts = {effect.host for effect in sent(reduce(found, done), PermitRelease)}
    assert hosts == {OTHER, "host-3"}


def test_coordinator_forgets_what_it_knew_before_a_pause():
    found = state(hosts=(HOST,))
    ask = reduce(found, arrival())[1].message
    receive(found, ask, sender=HOST)
    for now in (0.1, 0.2):
        reduce(found, events.Ticked(now=now))
    assert found.coordinators
    reduce(found, events.Ticked(now=0.2 + PAUSE + 0.1))
    assert found.coordinators == {}


def test_work_of_a_lost_host_holds_its_place_only_as_long_as_the_pool_says():
    rules = PoolRules(orphan_timeout=2.0, rebuild_timeout=0.0)
    found = state(hosts=(HOST, OTHER), rules=rules)
    ask = msgspec.structs.replace(reduce(state(), arrival())[1].message)
    receive(found, ask, sender=OTHER)
    (coordinator,) = found.coordinators.values()
    reduce(found, events.MembersChanged(now=1.0, hosts=(HOST,)))
    running = sum(len(r.permits) for r in coordinator.servers.values())
    assert running == 1
    reduce(found, events.Ticked(now=1.5))
    reduce(found, events.Ticked(now=2.5))
    reduce(found, events.Ticked(now=3.2))
    assert sum(len(r.permits) for r in coordinator.servers.values()) == 0
