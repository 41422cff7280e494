"""Test each row of the table of failures in docs/design/rollouts.md."""

import pytest

from amaranthferry.rollout import decider as decider_module
from amaranthferry.rollout.gate import ServicePolicy
from amaranthferry.rollout.messages import RolloutStep
from amaranthferry.rollout.steps import Stage

from .agents import Agents

SHARE, SLACK, DURATION = 0.1, 50, 12


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(decider_module.asyncio, "sleep", _yield_once(monkeypatch))


def _yield_once(monkeypatch):
    original = decider_module.asyncio.sleep

    async def sleep(seconds):
        await original(0)

    return sleep


def bound(fleet, service="s"):
    return SHARE * fleet.requests[service] + SLACK


async def test_good_version_is_completed_within_the_duration():
    fleet = Agents()
    fleet.start()
    assert await fleet.finish() < DURATION
    assert fleet.store.state("s") == "completed"
    assert [state for _, state in fleet.store.writes] == ["in_progress", "completed"]


async def test_bad_version_is_rolled_back_within_the_exposure():
    fleet = Agents()
    fleet.failures["s"] = 0.3
    fleet.start()
    assert await fleet.finish() < DURATION
    assert fleet.store.state("s") == "rolled_back"
    assert fleet.exposed["s"] <= bound(fleet)
    before = fleet.exposed["s"]
    await fleet.run(5)
    assert fleet.exposed["s"] == before


async def test_bad_version_is_held_back_while_the_store_is_unavailable():
    """Guards against a rollback that waits for the store."""
    fleet = Agents()
    fleet.failures["s"] = 0.5
    fleet.start()
    fleet.store.down_for = set(fleet.agents)
    await fleet.run(6)
    assert fleet.store.state("s") is None
    assert set(fleet.stages().values()) == {"rolled_back"}
    before = fleet.exposed["s"]
    assert before <= bound(fleet)
    await fleet.run(3)
    assert fleet.exposed["s"] == before
    fleet.store.down_for = set()
    await fleet.finish(limit=2)
    assert fleet.store.state("s") == "rolled_back"


async def test_good_version_is_completed_once_the_store_answers_again():
    fleet = Agents()
    fleet.start()
    await fleet.run(3)
    fleet.store.down_for = set(fleet.agents)
    await fleet.run(8)
    fleet.store.down_for = set()
    await fleet.finish(limit=2)
    assert fleet.store.state("s") == "completed"


async def test_successor_of_a_decider_goes_on():
    fleet = Agents(4)
    fleet.start()
    await fleet.run(4)
    first = fleet.decider()
    fleet.kill(first)
    took = await fleet.finish()
    assert fleet.store.state("s") == "completed"
    assert 4 + took < DURATION
    assert fleet.decider() != first


async def test_decider_killed_between_deciding_and_writing():
    """Guards against a successor that sends requests to a version found bad."""
    fleet = Agents(4)
    fleet.failures["s"] = 0.5
    fleet.start()
    await fleet.run(0.5)
    first = fleet.decider()
    fleet.store.down_for = {first}
    await fleet.run(8, lambda: "rolled_back" in fleet.stages().values())
    await fleet.run(0.2)
    fleet.kill(first)
    # What the successor hears from now on is good; it has to keep the decision.
    fleet.failures["s"] = 0.0
    before = fleet.exposed["s"]
    await fleet.finish()
    assert fleet.store.state("s") == "rolled_back"
    assert fleet.exposed["s"] == before


async def test_decider_killed_unnoticed_is_replaced_by_those_that_miss_its_answers():
    fleet = Agents(4)
    fleet.start()
    await fleet.run(2)
    fleet.kill(fleet.decider(), noticed=False)
    await fleet.run(4)
    assert fleet.decider() is not None
    assert set(fleet.stages().values()) == {"canary"}


async def test_version_is_not_completed_while_a_live_host_says_nothing():
    """Guards against requests that are cut off at old servers at the completion."""
    fleet = Agents(4)
    fleet.start()
    await fleet.run(2)
    silent = next(host for host in fleet.agents if host != fleet.decider())
    fleet.cut = {(silent, host) for host in fleet.agents}
    await fleet.finish()
    assert fleet.store.state("s") == "rolled_back"


async def test_host_that_hears_nobody_sends_an_unproven_version_nothing():
    """Guards against growing exposure on the far side of a partition."""
    fleet = Agents(4)
    fleet.start(duration=40)
    await fleet.run(2)
    cut = next(host for host in fleet.agents if host != fleet.decider())
    others = [host for host in fleet.agents if host != cut]
    fleet.cut = {(host, cut) for host in others}
    await fleet.run(2.5)
    policy = fleet.agents[cut].participants["s"].policy
    before = policy.exposed
    # It asks each of the others in turn before it decides alone, on its credit.
    await fleet.run(3)
    assert policy.exposed - before <= policy.credit + SHARE * policy.requests + 1
    assert fleet.exposed["s"] <= bound(fleet)


async def test_host_cut_off_from_the_decider_alone_is_told_through_another():
    fleet = Agents(5)
    fleet.start()
    await fleet.run(1)
    decider = fleet.decider()
    cut = next(host for host in fleet.agents if host != decider)
    fleet.cut = {(decider, cut)}
    took = await fleet.finish()
    assert fleet.store.state("s") == "completed"
    assert 1 + took < DURATION


async def test_paused_decider_is_replaced_and_does_no_harm_when_it_returns():
    fleet = Agents(4)
    fleet.start()
    await fleet.run(3)
    first = fleet.decider()
    fleet.paused = {first}
    await fleet.run(3)
    assert fleet.decider() is not None
    fleet.paused = set()
    await fleet.finish()
    assert fleet.store.state("s") in ("completed", "rolled_back")
    final = [s for _, s in fleet.store.writes if s != "in_progress"]
    assert len(final) == 1


async def test_second_write_of_a_state_conflicts_and_is_given_up():
    """Guards against a decider that overwrites the state of another one."""
    fleet = Agents(3)
    fleet.failures["s"] = 0.5
    fleet.start()
    await fleet.run(0.3)
    first = fleet.decider()
    item = fleet.store.items["s"]
    # Another host has written that the rollout is over, and this one hasn't heard yet.
    fleet.store.deaf = set(fleet.agents)
    fleet.store.put("s", item[1], {"state": "completed", "to": "v2"})
    fleet.store.deaf = set()
    await fleet.run(6)
    assert fleet.store.state("s") == "completed"
    assert (first, "rolled_back") not in fleet.store.writes
    order = fleet.agents[first].cache.orders["s"]
    assert order.state == "completed"


async def test_completion_whose_answer_is_lost_is_read_back():
    """Guards against a rollback after a completion that has taken effect."""
    fleet = Agents(3)
    fleet.start()
    await fleet.run(1)
    fleet.store.loses_answers = True
    await fleet.finish()
    await fleet.run(1)
    assert fleet.store.state("s") == "completed"
    finals = [state for _, state in fleet.store.writes if state != "in_progress"]
    assert finals == ["completed"]


async def test_host_that_missed_the_end_is_told():
    """Guards against a host that goes on with servers that have stopped."""
    fleet = Agents(4)
    fleet.start()
    await fleet.run(2)
    deaf = next(host for host in fleet.agents if host != fleet.decider())
    fleet.store.deaf = {deaf}
    await fleet.finish()
    assert fleet.store.state("s") == "completed"
    before = fleet.old_requests["s"]
    await fleet.run(15)
    assert fleet.stages() == {deaf: "full"}
    assert fleet.old_requests["s"] == before


async def test_host_that_missed_the_order_sends_the_version_nothing():
    fleet = Agents(3)
    fleet.store.deaf = {"host-1"}
    fleet.start()
    await fleet.finish()
    agent = fleet.agents["host-1"]
    assert agent.gate.policies["s"].exposed == 0
    assert fleet.store.state("s") == "rolled_back"


async def test_removed_order_ends_the_exposure():
    fleet = Agents(3)
    fleet.start()
    await fleet.run(3)
    fleet.store.remove("s")
    before = fleet.exposed["s"]
    await fleet.run(5)
    assert fleet.exposed["s"] == before
    assert fleet.stages() == {}
    assert [state for _, state in fleet.store.writes] == ["in_progress"]


async def test_changed_order_starts_anew_with_the_other_version():
    fleet = Agents(3)
    fleet.failures["s"] = 0.0
    fleet.start()
    await fleet.run(3)
    fleet.start(version="v3")
    await fleet.finish()
    assert fleet.store.items["s"][2] == {"state": "completed", "to": "v3"}
    policy = next(iter(fleet.agents.values())).gate.policies["s"]
    assert {"s-v2-0", "s-old-0"} <= policy.withheld


async def test_two_services_are_rolled_out_at_once():
    fleet = Agents(3, services=("s", "t"))
    fleet.failures["t"] = 0.3
    fleet.start("s")
    fleet.start("t")
    await fleet.finish("t")
    await fleet.finish("s")
    assert fleet.store.state("s") == "completed"
    assert fleet.store.state("t") == "rolled_back"
    assert fleet.exposed["t"] <= bound(fleet, "t")


async def test_version_that_is_bad_on_one_route_is_rolled_back():
    fleet = Agents(3)
    fleet.failures["s", "b"] = 0.3
    fleet.start()
    await fleet.finish()
    assert fleet.store.state("s") == "rolled_back"
    assert fleet.exposed["s"] <= bound(fleet)


async def test_version_without_requests_is_rolled_back():
    """Guards against an unproven version that is left alone with all requests."""
    fleet = Agents(3, rate=0.0001)
    fleet.start()
    assert await fleet.finish() < DURATION
    assert fleet.store.state("s") == "rolled_back"


async def test_version_without_ready_servers_is_rolled_back():
    fleet = Agents(3)
    fleet.start(servers=0)
    assert await fleet.finish() < DURATION
    assert fleet.store.state("s") == "rolled_back"


async def test_half_of_the_hosts_restarted():
    """Guards against hosts that forget the rollout, and against credit given twice."""
    fleet = Agents(6)
    fleet.failures["s"] = 0.05
    fleet.start(duration=30)
    await fleet.run(3)
    for name in ("host-0", "host-2", "host-4"):
        fleet.kill(name)
        fleet.add_host(name)
        fleet.store.tell("s", only=name)
    assert fleet.agents["host-0"].participants["s"].policy.credit < 1
    await fleet.run(10)
    assert fleet.exposed["s"] <= bound(fleet)


async def test_host_of_an_earlier_release_is_asked_once_and_then_left():
    """Guards against waiting for a decider that doesn't know of rollouts."""
    fleet = Agents(4)
    fleet.start(duration=30)
    await fleet.run(0.1)
    old = fleet.decider()
    # It is alive, and neither reads orders nor answers.
    fleet.paused = {old}
    fleet.agents[old].participants.clear()
    fleet.agents[old].deciders.clear()
    await fleet.run(5)
    assert {s for h, s in fleet.stages().items() if h != old} == {"canary"}
    sent = [m for sender, host, m in fleet.sent if host == old]
    assert 0 < len(sent) < 20
    await fleet.finish(limit=40)
    assert fleet.store.state("s") == "rolled_back"


def test_policy_holds_until_a_step_is_known():
    policy = ServicePolicy(
        old=frozenset({"a"}), new=frozenset({"b"}), share=0.1, credit=5.0
    )
    assert policy.stage is Stage.HOLD
    assert policy.choose("r", is_first=True) == (False, True)
    assert policy.forbidden == {"b"}


async def test_no_messages_without_a_rollout():
    fleet = Agents(3)
    await fleet.run(3)
    assert fleet.sent == []
    fleet.start()
    await fleet.finish()
    await fleet.run(1)
    fleet.sent.clear()
    await fleet.run(5)
    assert fleet.sent == []


async def test_stage_of_a_later_release_is_ignored():
    fleet = Agents(3)
    fleet.start()
    await fleet.run(1)
    decider = fleet.decider()
    other = next(host for host in fleet.agents if host != decider)
    step = RolloutStep("s", "v2", 99, "newer", 1.0)
    fleet.agents[other].receive(decider, step)
    assert fleet.stages()[other] == "canary"
