import pytest

from amaranthferry.events import MembersChanged, SettingsApplied
from amaranthferry.messages import (
    PermitGrant,
    PermitWithdraw,
    Registration,
    RunningWork,
)
from amaranthferry.permits import ORPHAN_TIMEOUT
from amaranthferry.servers import LIST_HOLD, MIN_HOLD
from amaranthferry.types import ServerState, ServerStateSource
from tests.scheduling import HOST, SHARD, Session, ask, deployment, server


def busy(**options):
    session = Session(server("e1", slots=1), **options)
    session.ask("running")
    assert session.granted() == {"running": "e1"}
    return session


def test_waiters_are_granted_by_tier_then_class():
    session = busy()
    session.ask("bulk", tier_rank=1)
    session.ask("slow", class_rank=1)
    session.ask("urgent")
    for request_id in ["running", "urgent", "slow"]:
        session.release(request_id)
    assert list(session.granted()) == ["running", "urgent", "slow", "bulk"]


def test_full_queue_evicts_the_lowest_ranked():
    session = busy(queue_limit=2)
    session.ask("bulk", tier_rank=2)
    session.ask("clerk", tier_rank=1)
    session.ask("urgent")
    session.ask("more bulk", tier_rank=2)
    assert session.refused() == {"bulk": "evicted", "more bulk": "queue_full"}


@pytest.mark.parametrize(
    ("remaining", "reason"), [(0.5, "deadline"), (-1.0, "deadline")]
)
def test_what_cannot_finish_in_time_is_refused_at_once(remaining, reason):
    session = Session(server("e1"))
    session.ask("late", remaining=remaining)
    assert session.refused() == {"late": reason}


def test_waiter_is_refused_once_no_server_could_finish_it():
    session = busy()
    session.ask("waiting", remaining=5.0)
    session.tick(3.0)
    assert session.refused() == {}
    session.tick(1.0)
    assert session.refused() == {"waiting": "deadline"}
    session.release("running")
    assert "waiting" not in session.granted()


def test_a_long_queue_alone_refuses_nothing():
    session = busy()
    for number in range(200):
        session.ask(f"r{number}", remaining=900.0)
    session.ask("new", remaining=10.0, tier_rank=1)
    assert session.refused() == {}


def test_unknown_model_is_refused():
    session = Session(server("e1", models=("m1",)))
    session.ask("other", model="m2")
    session.ask("known", model="m1")
    assert session.refused() == {"other": "no_server"}
    assert session.granted() == {"known": "e1"}


def test_repeated_messages_change_nothing():
    session = busy()
    session.ask("next")
    session.ask("next")
    session.release("running")
    session.release("running")
    session.ask("running")
    assert list(session.granted()) == ["running", "next"]
    assert session.coordinator.servers["e1"].tokens == 850
    assert len(session.coordinator.queue) == 0


def test_undispatched_request_may_ask_again_once_the_hold_has_passed():
    session = busy()
    session.release("running", dispatched=False)
    session.ask("running")
    assert len(session.coordinator.permits) == 0
    session.tick(MIN_HOLD)
    grants = [m for m in session.messages(PermitGrant) if m.request_id == "running"]
    assert len(grants) == 2
    assert len(session.coordinator.permits) == 1


def test_a_server_that_refuses_dispatches_is_left_for_longer_each_time():
    session = Session(server("e1"), server("e2", decode_interval=0.2))
    tried = []
    for number in range(8):
        session.ask(f"r{number}", remaining=60.0)
        tried.append(session.granted()[f"r{number}"])
        if tried[-1] == "e1":
            session.release(f"r{number}", dispatched=False)
        else:
            session.release(f"r{number}", output_tokens=50, elapsed=10.0)
        session.now += MIN_HOLD
    assert tried.count("e1") == 4
    assert tried[:2] == ["e1", "e1"]


def test_withdrawn_request_is_never_granted():
    session = busy()
    session.ask("gone")
    session.receive(PermitWithdraw("gone", SHARD))
    session.release("running")
    session.ask("gone")
    assert list(session.granted()) == ["running"]


def test_withdrawing_a_crossed_grant_returns_its_room_once():
    session = busy()
    session.receive(PermitWithdraw("running", SHARD))
    session.release("running", dispatched=False)
    assert session.coordinator.servers["e1"].tokens == 0


def test_other_hosts_cannot_withdraw_or_release():
    session = busy()
    session.receive(PermitWithdraw("running", SHARD), sender="h2")
    session.release("running", sender="h2")
    assert len(session.coordinator.permits) == 1


def test_new_coordinator_grants_a_safe_share_until_all_have_registered():
    session = Session(server("e1", slots=8), hosts=(HOST, "h2"), register=False)
    for index in range(8):
        session.ask(f"r{index}")
    assert len(session.granted()) == 2
    session.receive(Registration(SHARD, (), ()))
    assert len(session.granted()) == 2
    running = tuple(RunningWork(ask(f"s{n}"), "e1", 5, 1.0) for n in range(3))
    session.receive(Registration(SHARD, (ask("w"),), running), sender="h2")
    assert len(session.granted()) == 5
    assert len(session.coordinator.permits) == 8


def test_silent_hosts_are_waited_for_a_bounded_time_only():
    session = Session(server("e1", slots=8), hosts=(HOST, "h2"), register=False)
    for index in range(8):
        session.ask(f"r{index}")
    session.tick(2.1)
    assert len(session.granted()) == 8


def test_registration_returns_permits_that_its_host_lost():
    session = busy()
    session.now = 10.0
    session.receive(Registration(SHARD, (ask("new"),), ()))
    assert list(session.granted()) == ["running", "new"]


def test_lost_hosts_waiters_go_and_their_running_work_is_held():
    session = busy(hosts=(HOST, "h2"))
    session.ask("theirs", sender="h2")
    session.ask("other", remaining=90.0)
    session.apply(MembersChanged(now=0.0, hosts=("h2",)))
    assert "other" not in session.coordinator.queue
    session.ask("later", sender="h2", remaining=90.0)
    session.tick(ORPHAN_TIMEOUT - 1)
    assert list(session.granted()) == ["running"]
    session.tick(1.0)
    assert "later" in session.granted()


@pytest.mark.parametrize("source", list(ServerStateSource))
def test_leaving_server_gets_nothing_and_a_stale_list_cannot_bring_it_back(source):
    session = Session(server("e1"))
    session.see("e1", ServerState.LEAVING, source, now=0.0)
    session.see("e1", ServerState.LIVE, ServerStateSource.HOST_LIST, now=1.0)
    session.ask("r", remaining=90.0)
    assert session.granted() == {}
    for other in (source, ServerStateSource.HOST_LIST):
        session.see("e1", ServerState.LIVE, other, now=LIST_HOLD + 1)
    assert session.granted() == {"r": "e1"}


def test_drained_and_removed_servers_get_nothing():
    session = Session(server("e1"), server("e2"), drained=("e1",))
    session.ask("r1")
    session.apply(SettingsApplied(now=0.0, deployment=deployment(server("e1"))))
    session.ask("r2")
    assert session.granted() == {"r1": "e2", "r2": "e1"}


def test_bulk_leaves_room_for_others():
    session = Session(server("e1", slots=4), bulk_share=0.5)
    for index in range(4):
        session.ask(f"bulk{index}", bulk=True, tier_rank=1)
    session.ask("urgent")
    assert list(session.granted()) == ["bulk0", "bulk1", "urgent"]


def test_adverts_go_to_a_bounded_number_of_hosts_a_second():
    hosts = tuple(f"h{index:03}" for index in range(370))
    session = Session(server("e1"), hosts=hosts, register=False)
    seen = [len(session.tick(0.1)) for _ in range(100)]
    assert max(seen) <= 64
    assert sum(seen) <= 64 * 11
