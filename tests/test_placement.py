import pytest

from amaranthferry.events import LoadReported
from amaranthferry.policy import Policy
from amaranthferry.servers import MAX_REPORT_AGE
from tests.scheduling import Session, server


def test_lower_tier_work_is_not_granted_behind_a_running_prefill():
    session = Session(server("e1", slots=8, prefill_rate=1_000.0))
    session.request("long", tier_rank=1, prompt_tokens=5_000)
    session.request("next", tier_rank=1, prompt_tokens=5_000)
    session.request("urgent")
    assert list(session.granted()) == ["long", "urgent"]
    session.now = 5.0
    session.progress("long", first_token=5.0, output_tokens=1)
    session.now = 6.0
    session.progress("urgent", first_token=6.0, output_tokens=1)
    assert list(session.granted()) == ["long", "urgent", "next"]


@pytest.mark.parametrize(("guard", "granted"), [(True, 3), (False, 4)])
def test_fraction_of_shard_stays_free_of_long_prefills(guard, granted):
    servers = [server(f"e{n}", slots=8, prefill_rate=1_000.0) for n in range(4)]
    session = Session(*servers, policy=Policy(prefill_guard=guard))
    for number in range(4):
        session.request(f"long{number}", tier_rank=1, prompt_tokens=5_000)
    assert len(session.granted()) == granted


def test_slots_are_reserved_for_urgent_work():
    session = Session(server("e1", slots=8))
    for number in range(8):
        session.request(f"low{number}", tier_rank=1, prompt_tokens=10)
    session.request("urgent")
    assert "low6" in session.granted()
    assert "low7" not in session.granted()
    assert "urgent" in session.granted()


def test_server_speed_is_weighed_against_queueing():
    fast = server("fast", slots=2, decode_interval=0.01)
    slow = server("slow", slots=2, decode_interval=0.04)
    session = Session(fast, slow)
    for number in range(3):
        session.request(f"r{number}")
    assert list(session.granted().values()) == ["fast", "fast", "slow"]


def test_server_that_would_be_late_is_not_used():
    session = Session(server("slow", decode_interval=0.5))
    session.request("late", remaining=10.0)
    assert session.refused() == {"late": "deadline"}


def report(session, running, *, age=0.0, tokens=0):
    session.apply(
        LoadReported(
            now=session.now,
            server="e1",
            running=running,
            waiting=0,
            kv_tokens=tokens,
            age=age,
        )
    )


def test_external_work_occupies_slots_until_its_report_expires():
    session = Session(server("e1"))
    report(session, 2)
    session.request("r", remaining=100.0)
    assert session.granted() == {}
    session.tick(MAX_REPORT_AGE)
    assert session.granted() == {"r": "e1"}


def test_own_work_in_an_old_report_is_not_counted_as_external():
    session = Session(server("e1"))
    session.request("r0")
    session.now = 5.0
    session.release("r0")
    session.now = 6.0
    report(session, 1, age=3.0, tokens=850)
    session.request("r1")
    session.request("r2")
    assert set(session.granted()) == {"r0", "r1", "r2"}


def test_external_tokens_occupy_kv_capacity():
    session = Session(server("e1", slots=8, kv_tokens=2_000))
    report(session, 1, tokens=1_500)
    session.request("r")
    assert session.granted() == {}
