import pytest

from amaranthferry.events import CacheEventSeen
from amaranthferry.placement import MAX_PREFIX_WAIT
from amaranthferry.policy import Policy
from amaranthferry.prefixes import EVENT_LAG, HALF_LIFE, MAX_PREFIXES, PrefixTracker
from tests.scheduling import Session, server

PROMPT = (11, 12, 13)


@pytest.mark.parametrize(
    ("prefixes", "tokens"),
    [((), 0), ((9,), 0), ((11,), 64), ((11, 12, 99), 128), (PROMPT, 256)],
)
def test_longest_known_prefix_counts(prefixes, tokens):
    tracker = PrefixTracker()
    tracker.record_sent(PROMPT, 0.0)
    assert tracker.cached_tokens(prefixes, 0.0) == tokens


def test_expected_tokens_fall_with_age_and_misses():
    tracker = PrefixTracker()
    tracker.record_sent(PROMPT, 0.0)
    assert tracker.cached_tokens(PROMPT, HALF_LIFE) == 128
    tracker.observe(256, 0)
    assert 0 < tracker.cached_tokens(PROMPT, 0.0) < 256


@pytest.mark.parametrize(("later", "tokens"), [(0.0, 256), (EVENT_LAG, 64)])
def test_delayed_drop_event_does_not_remove_newer_send(later, tokens):
    tracker = PrefixTracker()
    tracker.record_sent(PROMPT, 0.0)
    tracker.record_dropped((12, 13), later)
    assert tracker.cached_tokens(PROMPT, 0.0) == tokens


def test_tracked_prefixes_are_bounded():
    tracker = PrefixTracker()
    for prefix in range(MAX_PREFIXES + 10):
        tracker.record_sent((prefix,), 0.0)
    assert tracker.cached_tokens((0,), 0.0) == 0
    assert tracker.cached_tokens((MAX_PREFIXES,), 0.0) == 64


@pytest.mark.parametrize(("affinity", "expected"), [(True, "e1"), (False, "e2")])
def test_cached_prefix_is_weighed_against_queueing(affinity, expected):
    prefixes = tuple(range(6))
    session = Session(
        server("e1", slots=8, kv_tokens=9_999),
        server("e2", slots=8, prefill_rate=9_000.0),
        policy=Policy(affinity=affinity),
    )
    session.coordinator.servers["e1"].prefixes.record_sent(prefixes, 0.0)
    options = {"prefixes": prefixes, "prompt_tokens": 2_100}
    session.request("near", **options)
    assert session.granted()["near"] == expected
    session.coordinator.servers["e1"].prefill_free_at = 5.0
    session.request("far", **options)
    assert session.granted()["far"] == "e2"


def test_dropped_prefixes_are_not_expected():
    session = Session(server("e1"))
    tracker = session.coordinator.servers["e1"].prefixes
    tracker.record_sent(PROMPT, 0.0)
    session.apply(CacheEventSeen(now=10.0, server="e1", dropped=PROMPT))
    assert tracker.cached_tokens(PROMPT, 10.0) == 0


PROPOSAL = {
    "tier_rank": 1,
    "remaining": 300.0,
    "prompt_tokens": 6_000,
    "prefixes": tuple(range(7)),
}


def session_with_prefix_on_a_busy_server(**options):
    servers = [server(f"e{n}", slots=8, prefill_rate=1_000.0) for n in range(4)]
    session = Session(*servers, **options)
    session.coordinator.servers["e3"].prefixes.record_sent(PROPOSAL["prefixes"], 0.0)
    session.coordinator.servers["e3"].prefill_free_at = 60.0
    return session


def test_lower_tier_work_waits_for_server_with_its_prefix():
    session = session_with_prefix_on_a_busy_server()
    session.request("near", **PROPOSAL)
    session.request("other", tier_rank=1, prompt_tokens=6_000, remaining=300.0)
    assert session.granted() == {"other": "e0"}


def test_wait_for_prefix_is_bounded():
    session = session_with_prefix_on_a_busy_server()
    session.request("near", **PROPOSAL)
    session.tick(MAX_PREFIX_WAIT - 1)
    assert session.granted() == {}
    session.tick(1.0)
    assert session.granted() == {"near": "e0"}


@pytest.mark.parametrize(
    "options", [{"tier_rank": 0}, {"remaining": 8.0}, {"prefixes": ()}]
)
def test_urgent_or_tight_deadline_work_does_not_wait_for_prefix(options):
    session = session_with_prefix_on_a_busy_server()
    session.request("near", **{**PROPOSAL, **options})
    assert session.granted() == {"near": "e0"}


def test_without_affinity_no_request_waits_for_prefix():
    session = session_with_prefix_on_a_busy_server(policy=Policy(affinity=False))
    session.request("near", **PROPOSAL)
    assert session.granted() == {"near": "e0"}
