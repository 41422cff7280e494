"""Check the handling of failed dispatches and of lost or paused coordinators."""

import msgspec
import pytest

from amaranthferry import events
from amaranthferry.config import PoolRules
from amaranthferry.coordination import PAUSE_THRESHOLD
from amaranthferry.core import HostState, reduce
from amaranthferry.effects import Dispatch, SendToHost, SettleRequest
from amaranthferry.messages import PermitGrant, PermitRelease, PermitRequest
from amaranthferry.types import Outcome

from .test_core import DEPLOYMENT, ENGINES, HOST, OTHER, SHARD, arrival, receive

REPEAT_RULES = PoolRules(repeat_ratio=0.0, repeat_burst=2.0, repeat_refill=0.0)


def new_state(*, hosts=(OTHER,), rules=REPEAT_RULES):
    deployment = msgspec.structs.replace(DEPLOYMENT, rules={ENGINES: rules})
    return HostState(host=HOST, zone="zone-a", deployment=deployment, hosts=hosts)


def start_dispatch(state, name="r1", *, server="engine-1", **changes):
    event = msgspec.structs.replace(arrival(name), **changes)
    reduce(state, event)
    effects = receive(state, PermitGrant(name, SHARD, server))
    assert any(isinstance(effect, Dispatch) for effect in effects)


def sent(effects, kind):
    return [
        effect
        for effect in effects
        if isinstance(effect, SendToHost) and isinstance(effect.message, kind)
    ]


def settled(effects):
    return [e.outcome for e in effects if isinstance(e, SettleRequest)]


def fail_dispatch(state, name="r1", now=0.5):
    return reduce(state, events.DispatchFailed(now=now, request_id=name))


def test_repeatable_request_is_redispatched_to_another_server():
    state = new_state()
    start_dispatch(state, repeatable=True, max_attempts=2)
    effects = fail_dispatch(state)
    (request,) = sent(effects, PermitRequest)
    assert request.message.excluded == ("engine-1",)
    assert settled(effects) == []
    redispatched = receive(state, PermitGrant("r1", SHARD, "engine-2"), now=0.6)
    assert [e.server for e in redispatched if isinstance(e, Dispatch)] == ["engine-2"]


def test_attempts_stop_at_max_attempts():
    state = new_state()
    start_dispatch(state, repeatable=True, max_attempts=2)
    fail_dispatch(state)
    receive(state, PermitGrant("r1", SHARD, "engine-2"), now=0.6)
    assert settled(fail_dispatch(state, now=0.7)) == [Outcome.UNKNOWN]


@pytest.mark.parametrize("changes", [{"max_attempts": 3}, {"repeatable": True}])
def test_request_without_reruns_is_unknown(changes):
    state = new_state()
    start_dispatch(state, **changes)
    assert settled(fail_dispatch(state)) == [Outcome.UNKNOWN]


def test_disconnected_caller_gets_no_rerun():
    state = new_state()
    start_dispatch(state, repeatable=True, max_attempts=3)
    reduce(state, events.CallerGone(now=0.3, request_id="r1"))
    assert settled(fail_dispatch(state)) == [Outcome.UNKNOWN]


def test_timed_out_request_gets_no_rerun():
    state = new_state()
    start_dispatch(state, repeatable=True, max_attempts=3)
    timeout = events.DispatchFailed(now=0.5, request_id="r1", timed_out=True)
    assert settled(reduce(state, timeout)) == [Outcome.UNKNOWN]


def test_shared_budget_limits_reruns():
    state = new_state()
    outcomes = []
    for number in range(4):
        name = f"r{number}"
        start_dispatch(state, name, repeatable=True, max_attempts=2)
        outcomes += settled(fail_dispatch(state, name))
    assert outcomes == [Outcome.UNKNOWN] * 2


def test_request_refused_by_a_server_goes_to_another():
    state = new_state()
    start_dispatch(state, max_attempts=2)
    refused = events.DispatchRefused(now=0.5, request_id="r1", by_server=True)
    effects = reduce(state, refused)
    assert sent(effects, PermitRequest)
    assert settled(effects) == []


def test_permit_is_released_to_the_granting_and_the_current_coordinator():
    state = new_state(hosts=(OTHER, "host-3"))
    reduce(state, arrival())
    receive(state, PermitGrant("r1", SHARD, "engine-1"), sender=OTHER)
    remaining = tuple(host for host in ("host-3",))
    reduce(state, events.MembersChanged(now=0.2, hosts=remaining))
    done = events.DispatchFinished(now=0.5, request_id="r1", output_tokens=5)
    hosts = {effect.host for effect in sent(reduce(state, done), PermitRelease)}
    assert hosts == {OTHER, "host-3"}


def test_coordinator_state_is_dropped_after_a_pause():
    state = new_state(hosts=(HOST,))
    request = reduce(state, arrival())[1].message
    receive(state, request, sender=HOST)
    for now in (0.1, 0.2):
        reduce(state, events.Ticked(now=now))
    assert state.coordinators
    reduce(state, events.Ticked(now=0.2 + PAUSE_THRESHOLD + 0.1))
    assert state.coordinators == {}


def test_permits_of_a_lost_host_expire_after_the_orphan_timeout():
    rules = PoolRules(orphan_timeout=2.0, rebuild_timeout=0.0)
    state = new_state(hosts=(HOST, OTHER), rules=rules)
    request = msgspec.structs.replace(reduce(new_state(), arrival())[1].message)
    receive(state, request, sender=OTHER)
    (coordinator,) = state.coordinators.values()
    reduce(state, events.MembersChanged(now=1.0, hosts=(HOST,)))
    running = sum(len(r.permits) for r in coordinator.servers.values())
    assert running == 1
    reduce(state, events.Ticked(now=1.5))
    reduce(state, events.Ticked(now=2.5))
    reduce(state, events.Ticked(now=3.2))
    assert sum(len(r.permits) for r in coordinator.servers.values()) == 0
