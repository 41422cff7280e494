import heapq
from itertools import count

import pytest

from amaranthferry.arrivals import generate
from amaranthferry.bench_engine import FakeEngine, Job, PrefixCache
from amaranthferry.config import BackendServer
from amaranthferry.types import PoolId, RequestId, ServerId, ZoneId
from amaranthferry.workloads import KYKLOS

SAMPLE = generate(KYKLOS, rate=5, duration=20, seed=1)[0]


class Harness:
    """Run one engine in virtual time and record its events."""

    def __init__(self, **options):
        options = {"slots": 2, "prefill_rate": 512.0, "decode_interval": 1.0} | options
        cfg = BackendServer(ServerId("s"), PoolId("p"), ZoneId("z"), "", **options)
        self.log = []
        self.heap = []
        self.numbers = count()
        self.engine = FakeEngine(cfg, listener=self, schedule=self.schedule)

    def schedule(self, at, call):
        heapq.heappush(self.heap, (at, next(self.numbers), call))

    def run(self, until=float("inf")):
        while self.heap and self.heap[0][0] <= until:
            at, _, call = heapq.heappop(self.heap)
            call(at)

    def admitted(self, job, now):
        self.log.append(("admitted", job.arrival.request_id, now))

    def first_token(self, job, now):
        self.log.append(("first", job.arrival.request_id, now))

    def finished(self, job, now):
        self.log.append(("finished", job.arrival.request_id, now))

    def submit(self, name, prompt, output, now=0.0, hashes=()):
        arrival = type(SAMPLE)(
            **{f: getattr(SAMPLE, f) for f in SAMPLE.__struct_fields__}
            | {
                "request_id": RequestId(name),
                "prompt_tokens": prompt,
                "output_tokens": output,
            }
        )
        job = Job(arrival=arrival, hashes=hashes, dispatched=now)
        self.engine.submit(job, now)
        return job

    def times(self, kind):
        return {name: at for event, name, at in self.log if event == kind}


def test_prefill_then_decode_take_the_modelled_time():
    harness = Harness()
    harness.submit("a", prompt=1_024, output=5)
    harness.run()
    assert harness.times("first") == {"a": pytest.approx(2 * (1.0 + 0.4))}
    assert harness.times("finished") == {"a": pytest.approx(2.8 + 4 * 0.7)}


def test_the_decode_interval_grows_with_the_batch():
    alone, paired = Harness(), Harness()
    alone.submit("a", 1, 50)
    for name in "ab":
        paired.submit(name, 1, 50)
    alone.run()
    paired.run()
    assert paired.times("finished")["a"] > 1.3 * alone.times("finished")["a"]


def test_prefill_of_another_job_slows_decoding():
    harness = Harness()
    harness.submit("a", 1, 10)
    harness.run(until=1.0)
    alone = Harness()
    alone.submit("a", 1, 10)
    harness.submit("b", 512 * 5, 1, now=1.0)
    harness.run()
    alone.run()
    assert harness.times("finished")["a"] > alone.times("finished")["a"] + 3


def test_admission_is_first_in_first_out_within_slots():
    harness = Harness()
    for name in "abc":
        harness.submit(name, 1, 10)
    harness.run()
    admitted = harness.times("admitted")
    assert admitted["a"] == 0.0
    assert admitted["b"] == harness.times("first")["a"]
    assert admitted["c"] == harness.times("finished")["a"]


def test_admission_waits_for_kv_capacity():
    harness = Harness(kv_tokens=1_000)
    harness.submit("a", 800, 10)
    harness.submit("b", 800, 10)
    harness.run()
    assert harness.times("admitted")["b"] == harness.times("finished")["a"]
    assert harness.engine.kv_used == 0


def test_a_cancelled_job_frees_its_kv_capacity():
    harness = Harness()
    job = harness.submit("a", 512 * 100, 10)
    harness.submit("b", 512, 1)
    harness.run(until=3.0)
    harness.engine.cancel(job, 3.0)
    harness.run()
    assert "a" not in harness.times("first")
    assert job.prefilled < 512 * 10
    assert harness.engine.kv_used == 0


def test_a_cached_prefix_is_not_prefilled_again():
    harness = Harness()
    first = harness.submit("a", 1_024, 1, hashes=(1, 2, 3, 4))
    harness.run()
    second = harness.submit("b", 1_024, 1, now=10.0, hashes=(1, 2, 3, 9))
    harness.run()
    assert (first.prefilled, second.prefilled) == (1_024, 1_024 - 256)


def test_the_cache_evicts_the_least_recently_used_prefix():
    cache = PrefixCache(capacity=256)
    cache.store((1, 2))
    cache.store((3, 4))
    assert cache.longest_match((1, 2)) == 128
    cache.store((5,))
    assert cache.longest_match((1, 2)) < 128
    assert cache.longest_match((5,)) == 64


def test_a_straggler_takes_ten_times_as_long():
    slow, fast = Harness(), Harness()
    slow.engine.set_speed(0.1, 0.0)
    for harness in (slow, fast):
        harness.submit("a", 512, 20)
        harness.run()
    assert slow.times("finished")["a"] == pytest.approx(
        10 * fast.times("finished")["a"]
    )


def test_produced_tokens_are_counted_within_a_step_group():
    harness = Harness()
    job = harness.submit("a", 512, 101)
    harness.run(until=2.0)
    assert harness.engine.produced(job, 1.4 + 0.7 * 50 + 0.1) == 51
