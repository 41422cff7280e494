import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthferry.standins.batch import Batch, CacheChange, PrefixCache, Sequence
from amaranthferry.standins.reports import CacheEventLog, LoadLog
from amaranthferry.tokens import prefix_tokens


def make_batch(**options):
    defaults = {"slots": 2, "kv_tokens": 1_000, "cache_tokens": 1_000}
    speed = {"prefill_rate": 1_000.0, "decode_interval": 0.1}
    return Batch(**(defaults | speed | options))


def sequence(name, prompt=10, output=2, prefixes=()):
    return Sequence(name, prompt, output, prefixes)


def run_until_idle(batch):
    """Step a batch until it is idle; return the order of first tokens."""
    first = []
    while not batch.idle:
        step = batch.step()
        assert len(batch.running) <= batch.slots
        first += [item.request_id for item in step.produced if item.produced == 1]
    return first


def test_requests_are_admitted_as_they_arrive():
    batch = make_batch(slots=1)
    for name in "abc":
        batch.add(sequence(name))
    assert run_until_idle(batch) == ["a", "b", "c"]


def test_full_kv_memory_delays_the_next_request():
    batch = make_batch(kv_tokens=100)
    batch.add(sequence("a", prompt=60, output=10))
    batch.add(sequence("b", prompt=60, output=10))
    batch.step()
    assert list(batch.running) == ["a"]
    assert run_until_idle(batch)[-1] == "b"


def test_long_prefill_shares_steps_with_decoding():
    batch = make_batch()
    batch.add(sequence("short", prompt=10, output=50))
    batch.step()
    batch.add(sequence("long", prompt=1_000, output=1))
    steps = [batch.step() for _ in range(5)]
    assert all(step.produced[0].request_id == "short" for step in steps)
    assert all(step.duration <= 0.1 for step in steps)


def test_cached_prefix_is_not_computed_again():
    batch = make_batch()
    for name in "ab":
        batch.add(sequence(name, prompt=100, prefixes=(1,)))
        run_until_idle(batch)
    repeat = sequence("c", prompt=100, prefixes=(1,))
    batch.add(repeat)
    run_until_idle(batch)
    assert (repeat.cached_tokens, repeat.prefilled) == (64, 36)


@given(st.lists(st.lists(st.integers(0, 20), min_size=1, max_size=4, unique=True)))
@settings(derandomize=True, deadline=None, max_examples=50)
def test_cache_stays_within_its_limit_and_reports_what_it_drops(prompts):
    cache = PrefixCache(300)
    reported = set()
    for prefixes in prompts:
        change = cache.store(tuple(prefixes))
        reported = (reported | set(change.stored)) - set(change.dropped)
        assert sum(cache._costs.values()) <= 300
        assert reported == set(cache._costs)


def test_longest_cached_prefix_is_found():
    cache = PrefixCache(10_000)
    cache.store((1, 2, 3))
    assert cache.longest((1, 2, 9)) == prefix_tokens(1)
    assert cache.longest((9,)) == 0


@pytest.mark.parametrize(
    ("drop_every_nth", "published"), [(0, [1, 2, 3, 4]), (2, [1, 3])]
)
def test_cache_events_are_delayed_and_some_are_lost(drop_every_nth, published):
    log = CacheEventLog(1.0, drop_every_nth)
    for number in range(4):
        log.record(float(number), CacheChange((number,)))
    assert log.after(0, 0.5) == []
    assert [event.seq for event in log.after(0, 9.0)] == published
    assert [event.seq for event in log.after(1, 9.0)] == published[1:]


def test_load_report_is_as_old_as_its_lag():
    log = LoadLog(1.0)
    log.record(5.0, 3, 4, 500)
    assert log.report(5.9).running == 0
    assert (log.report(6.0).running, log.report(6.0).age) == (3, 1.0)
