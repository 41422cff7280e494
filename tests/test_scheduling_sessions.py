"""Compare the decisions of complete sessions with snapshots."""

from amaranthferry.events import MembersChanged
from amaranthferry.messages import PermitGrant, PermitRefusal
from amaranthferry.types import ServerState, ServerStateSource
from tests.scheduling import HOST, Session, server

FAST = server("fast", slots=4, prefill_rate=16_000.0, decode_interval=0.01)
SLOW = server("slow", slots=4, prefill_rate=4_000.0, decode_interval=0.04)
REVIEW = {"tier_rank": 2, "bulk": True, "prompt_tokens": 24_000, "output_tokens": 1_200}
WEIGHING = {"class_rank": 1, "prompt_tokens": 400, "output_tokens": 30}
PROPOSAL = {"tier_rank": 1, "prompt_tokens": 30_000, "output_tokens": 800}


def lines(session):
    shown = []
    for effect in session.sent:
        message = effect.message
        if isinstance(message, PermitGrant):
            shown.append(f"grant {message.request_id} to {message.server}")
        elif isinstance(message, PermitRefusal):
            reason, wait = message.reason.value, message.retry_after
            shown.append(f"refuse {message.request_id}: {reason}, in {wait:.1f} s")
    return shown


def finish(session, request_id, *, elapsed):
    session.release(
        request_id, output_tokens=30, first_token=elapsed / 4, elapsed=elapsed
    )


def test_weighing_queue_meets_overnight_reviews(snapshot):
    session = Session(FAST, SLOW, queue_limit=8)
    for number in range(6):
        session.request(f"review{number}", remaining=3_600.0, **REVIEW)
    session.now = 2.0
    for number in range(12):
        session.request(f"weighing{number}", remaining=15.0, **WEIGHING)
    for second in range(1, 6):
        session.now = 2.0 + second
        for request_id in [r for r in session.granted() if "weighing" in r]:
            finish(session, request_id, elapsed=0.6)
    assert lines(session) == snapshot


def test_proposals_crowd_a_call_deadline(snapshot):
    session = Session(FAST, SLOW)
    for number in range(8):
        session.request(f"proposal{number}", remaining=40.0 - 2 * number, **PROPOSAL)
    session.request("question", remaining=12.0, prompt_tokens=300)
    for second in range(1, 8):
        session.tick(5.0)
        for request_id in list(session.granted()):
            if int(second) % 2:
                finish(session, request_id, elapsed=5.0)
    assert lines(session) == snapshot


def test_server_leaves_and_a_host_is_lost(snapshot):
    session = Session(FAST, SLOW, hosts=(HOST, "h2"))
    session.request("theirs", sender="h2", remaining=100.0)
    session.report_server_state(
        "fast", ServerState.LEAVING, ServerStateSource.SELF, now=0.0
    )
    for number in range(6):
        session.request(f"question{number}", remaining=60.0)
    session.apply(MembersChanged(now=0.0, hosts=(HOST,)))
    session.tick(1.0)
    finish(session, "question0", elapsed=1.0)
    session.report_server_state(
        "fast", ServerState.LIVE, ServerStateSource.SELF, now=2.0
    )
    session.tick(1.0)
    assert lines(session) == snapshot
