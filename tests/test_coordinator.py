import msgspec
import pytest

from amaranthferry.config import PoolRules
from amaranthferry.effects import CountMetric, ReportBackoff, ReportUnlistedPermit
from amaranthferry.events import MembersChanged, SettingsApplied
from amaranthferry.messages import (
    PermitGrant,
    PermitWithdraw,
    Registration,
    RunningWork,
)
from amaranthferry.permits import ORPHAN_TIMEOUT
from amaranthferry.servers import LIST_REJOIN_DELAY, MIN_BACKOFF
from amaranthferry.types import ServerState, ServerStateSource
from tests.scheduling import HOST, SHARD, Session, deployment, permit_request, server


def session_with_busy_server(**options):
    session = Session(server("e1", slots=1), **options)
    session.request("running")
    assert session.granted() == {"running": "e1"}
    return session


def test_waiters_are_granted_by_tier_then_class():
    session = session_with_busy_server()
    session.request("bulk", tier_rank=1)
    session.request("slow", class_rank=1)
    session.request("urgent")
    for request_id in ["running", "urgent", "slow"]:
        session.release(request_id)
    assert list(session.granted()) == ["running", "urgent", "slow", "bulk"]


def test_full_queue_evicts_the_lowest_ranked():
    session = session_with_busy_server(queue_limit=2)
    session.request("bulk", tier_rank=2)
    session.request("clerk", tier_rank=1)
    session.request("urgent")
    session.request("more bulk", tier_rank=2)
    assert session.refused() == {"bulk": "evicted", "more bulk": "queue_full"}


@pytest.mark.parametrize(
    ("remaining", "reason"), [(0.5, "deadline"), (-1.0, "deadline")]
)
def test_request_that_cannot_finish_in_time_is_refused_on_arrival(remaining, reason):
    session = Session(server("e1"))
    session.request("late", remaining=remaining)
    assert session.refused() == {"late": reason}


def test_waiter_is_refused_once_no_server_could_finish_it():
    session = session_with_busy_server()
    session.request("waiting", remaining=5.0)
    session.tick(3.0)
    assert session.refused() == {}
    session.tick(1.0)
    assert session.refused() == {"waiting": "deadline"}
    session.release("running")
    assert "waiting" not in session.granted()


def test_long_queue_alone_causes_no_refusal():
    session = session_with_busy_server()
    for number in range(200):
        session.request(f"r{number}", remaining=900.0)
    session.request("new", remaining=10.0, tier_rank=1)
    assert session.refused() == {}


def test_unknown_model_is_refused():
    session = Session(server("e1", models=("m1",)))
    session.request("other", model="m2")
    session.request("known", model="m1")
    assert session.refused() == {"other": "no_server"}
    assert session.granted() == {"known": "e1"}


def test_duplicate_messages_are_idempotent():
    session = session_with_busy_server()
    session.request("next")
    session.request("next")
    session.release("running")
    session.release("running")
    session.request("running")
    assert list(session.granted()) == ["running", "next"]
    assert session.coordinator.servers["e1"].tokens == 850
    assert len(session.coordinator.queue) == 0


def test_undispatched_request_is_granted_again_after_backoff():
    session = session_with_busy_server()
    session.release("running", dispatched=False, failed=True)
    session.request("running")
    assert len(session.coordinator.permits) == 0
    session.tick(MIN_BACKOFF)
    grants = [m for m in session.messages(PermitGrant) if m.request_id == "running"]
    assert len(grants) == 2
    assert len(session.coordinator.permits) == 1


def test_grant_returned_for_its_requests_sake_does_not_block_a_sound_server():
    session = session_with_busy_server()
    session.request("next")
    session.release("running", dispatched=False)
    assert list(session.granted()) == ["running", "next"]


def test_backoff_of_server_grows_with_failed_dispatches():
    session = Session(server("e1"), server("e2", decode_interval=0.2))
    attempted = []
    for number in range(8):
        session.request(f"r{number}", remaining=60.0)
        attempted.append(session.granted()[f"r{number}"])
        if attempted[-1] == "e1":
            session.release(f"r{number}", dispatched=False, failed=True)
        else:
            session.release(f"r{number}", output_tokens=50, elapsed=10.0)
        session.now += MIN_BACKOFF
    assert attempted.count("e1") == 4
    assert attempted[:2] == ["e1", "e1"]


def test_withdrawn_request_is_never_granted():
    session = session_with_busy_server()
    session.request("withdrawn")
    session.receive(PermitWithdraw("withdrawn", SHARD))
    session.release("running")
    session.request("withdrawn")
    assert list(session.granted()) == ["running"]


def test_withdrawal_that_crosses_the_grant_frees_capacity_once():
    session = session_with_busy_server()
    session.receive(PermitWithdraw("running", SHARD))
    session.release("running", dispatched=False)
    assert session.coordinator.servers["e1"].tokens == 0


def test_other_hosts_cannot_withdraw_or_release():
    session = session_with_busy_server()
    session.receive(PermitWithdraw("running", SHARD), sender="h2")
    session.release("running", sender="h2")
    assert len(session.coordinator.permits) == 1


def test_new_coordinator_grants_reduced_share_until_all_hosts_register():
    session = Session(server("e1", slots=8), hosts=(HOST, "h2"), register=False)
    for index in range(8):
        session.request(f"r{index}")
    assert len(session.granted()) == 2
    session.receive(Registration(SHARD, (), ()))
    assert len(session.granted()) == 2
    running = tuple(
        RunningWork(permit_request(f"s{n}"), "e1", 5, 1.0) for n in range(3)
    )
    session.receive(Registration(SHARD, (permit_request("w"),), running), sender="h2")
    assert len(session.granted()) == 5
    assert len(session.coordinator.permits) == 8


def test_wait_for_unregistered_hosts_is_bounded():
    session = Session(server("e1", slots=8), hosts=(HOST, "h2"), register=False)
    for index in range(8):
        session.request(f"r{index}")
    session.tick(2.1)
    assert len(session.granted()) == 8


def test_registration_releases_permits_that_it_does_not_list():
    session = session_with_busy_server()
    session.now = 10.0
    session.receive(Registration(SHARD, (permit_request("new"),), ()))
    assert list(session.granted()) == ["running", "new"]


def test_permit_that_its_host_does_not_list_is_reported_and_counted():
    session = session_with_busy_server()
    session.now = 10.0
    effects = session.receive(Registration(SHARD, (), ()))
    (report,) = [item for item in effects if isinstance(item, ReportUnlistedPermit)]
    assert (report.request_id, report.host, report.server) == ("running", HOST, "e1")
    assert (report.age, report.first_token_seen) == (10.0, False)
    assert CountMetric(name="permits.unlisted", value=1) in effects


def test_registration_that_was_sent_before_a_grant_arrived_keeps_its_permit():
    session = session_with_busy_server()
    session.now = 1.9
    session.receive(Registration(SHARD, (), ()))
    assert len(session.coordinator.permits) == 1


def test_lost_hosts_waiters_are_removed_and_permits_kept_until_orphan_timeout():
    session = session_with_busy_server(hosts=(HOST, "h2"))
    session.request("theirs", sender="h2")
    session.request("other", remaining=90.0)
    session.apply(MembersChanged(now=0.0, hosts=("h2",)))
    assert "other" not in session.coordinator.queue
    session.request("later", sender="h2", remaining=90.0)
    session.tick(ORPHAN_TIMEOUT - 1)
    assert list(session.granted()) == ["running"]
    session.tick(1.0)
    assert "later" in session.granted()


@pytest.mark.parametrize("source", list(ServerStateSource))
def test_leaving_server_gets_no_work_and_stale_list_cannot_reopen_it(source):
    session = Session(server("e1"))
    session.report_server_state("e1", ServerState.LEAVING, source, now=0.0)
    session.report_server_state(
        "e1", ServerState.LIVE, ServerStateSource.HOST_LIST, now=1.0
    )
    session.request("r", remaining=90.0)
    assert session.granted() == {}
    for other in (source, ServerStateSource.HOST_LIST):
        session.report_server_state(
            "e1", ServerState.LIVE, other, now=LIST_REJOIN_DELAY + 1
        )
    assert session.granted() == {"r": "e1"}


def test_drained_and_removed_servers_get_no_work():
    session = Session(server("e1"), server("e2"), drained=("e1",))
    session.request("r1")
    session.apply(SettingsApplied(now=0.0, deployment=deployment(server("e1"))))
    session.request("r2")
    assert session.granted() == {"r1": "e2", "r2": "e1"}


def test_bulk_share_leaves_slots_for_other_work():
    session = Session(server("e1", slots=4), bulk_share=0.5)
    for index in range(4):
        session.request(f"bulk{index}", bulk=True, tier_rank=1)
    session.request("urgent")
    assert list(session.granted()) == ["bulk0", "bulk1", "urgent"]


def test_coordinator_of_a_pool_decided_locally_sends_no_adverts():
    hosts = tuple(f"h{index:03}" for index in range(137))
    session = Session(server("e1"), hosts=hosts, register=False)
    rules = {"models": PoolRules(decided_locally=True)}
    changed = msgspec.structs.replace(session.deployment, rules=rules)
    session.apply(SettingsApplied(now=0.0, deployment=changed))
    assert [session.tick(0.1) for _ in range(30)] == [[]] * 30


def test_adverts_go_to_a_bounded_number_of_hosts_per_second():
    hosts = tuple(f"h{index:03}" for index in range(370))
    session = Session(server("e1"), hosts=hosts, register=False)
    sent = [len(session.tick(0.1)) for _ in range(100)]
    assert max(sent) <= 64
    assert sum(sent) <= 64 * 11


def test_backoff_reports_its_host_and_duration():
    session = session_with_busy_server()
    effects = session.release("running", dispatched=False, failed=True)
    (report,) = [effect for effect in effects if isinstance(effect, ReportBackoff)]
    assert report.duration == MIN_BACKOFF
    assert (report.server, report.host) == ("e1", HOST)
