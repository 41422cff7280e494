import asyncio
import contextlib
import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from amaranthferry.claim_record import SlotRecord, StoredAnswer, key_digest
from amaranthferry.claims import (
    FLEET_WRITES_PER_SECOND,
    LAYOUT_KEY,
    ClaimCommitter,
    ClaimStatus,
)
from amaranthferry.config import Limits
from amaranthferry.exceptions import VersionConflict
from amaranthferry.objects import (
    CallKind,
    HttpObjectStore,
    MemoryObjectStore,
    answer_lost,
)
from amaranthferry.standins.objects import ObjectStandIn
from amaranthferry.standins.serving import serve
from amaranthferry.types import (
    HostId,
    Outcome,
    RequestId,
    StoreOutageRule,
    WorkspaceId,
)

from .virtual_loop import VirtualLoop, run

WS = WorkspaceId("w")
ANSWER = StoredAnswer(200, (), b"whole answer")
LIMITS = Limits(claim_slots=2)


def committer(store, name="h1", **options):
    options = {"writes_per_second": float("inf")} | options
    return ClaimCommitter(store, HostId(name), LIMITS, **options)


async def claim(target, request, key="k", body="b", timeout=5.0, **options):
    return await target.claim(
        RequestId(request), WS, key, body, timeout=timeout, **options
    )


def held_keys(store):
    records = [
        SlotRecord.from_bytes(stored.value)
        for name, stored in store.objects.items()
        if name != LAYOUT_KEY
    ]
    return [key for record in records for key in record.raw]


def in_virtual_time(test):
    """Run an async test on the virtual loop."""

    def sync_test():
        run(test())

    sync_test.__name__ = test.__name__
    return sync_test


@in_virtual_time
async def test_repeat_on_another_host_gets_the_same_answer():
    store = MemoryObjectStore()
    first, second = committer(store), committer(store, "h2")
    assert (await claim(first, "r1")).status is ClaimStatus.HELD
    running = await claim(second, "r2")
    assert running.status is ClaimStatus.UNKNOWN
    assert running.remedy
    await first.close(RequestId("r1"), Outcome.DONE, ANSWER)
    await first.stop(timeout=1)
    done = await claim(second, "r3")
    assert (done.status, done.answer) == (ClaimStatus.ALREADY_DONE, ANSWER)
    assert (await claim(second, "r4", body="x")).status is ClaimStatus.CONFLICT


@in_virtual_time
async def test_answer_over_the_limit_is_not_kept():
    store = MemoryObjectStore()
    target = committer(store)
    await claim(target, "r1")
    big = StoredAnswer(200, (), bytes(LIMITS.max_answer_record + 1))
    await target.close(RequestId("r1"), Outcome.DONE, big)
    repeat = await claim(target, "r2")
    assert (repeat.status, repeat.answer) == (ClaimStatus.UNKNOWN, None)


@in_virtual_time
async def test_lost_answer_is_read_back_by_nonce():
    store = MemoryObjectStore()
    target = committer(store)
    await claim(target, "r0", key="warm-up")
    store.lose_answers = 1
    before = store.calls[CallKind.PUT]
    assert (await claim(target, "r1")).status is ClaimStatus.HELD
    assert store.calls[CallKind.PUT] == before + 1


@in_virtual_time
async def test_claims_of_one_slot_share_a_write():
    store = MemoryObjectStore()
    target = committer(store)
    await claim(target, "r0", key="warm-up")
    before = store.calls[CallKind.PUT]
    results = await asyncio.gather(
        *(claim(target, f"r{n}", key=f"k{n}") for n in range(100))
    )
    assert {result.status for result in results} == {ClaimStatus.HELD}
    assert store.calls[CallKind.PUT] - before <= LIMITS.claim_slots


@in_virtual_time
async def test_writes_stay_within_their_rate():
    store = MemoryObjectStore()
    target = committer(store, writes_per_second=10.0)
    loop = asyncio.get_running_loop()
    for n in range(200):
        asyncio.create_task(claim(target, f"r{n}", key=f"k{n}", timeout=60))
        await asyncio.sleep(0.05)
    assert store.calls[CallKind.PUT] <= 10 * loop.time() + 10 + 1
    assert target.pending < 10


@pytest.mark.parametrize("hosts", [1, 19, 370])
def test_hosts_together_stay_under_the_fleet_rate(hosts):
    target = committer(MemoryObjectStore())
    target.set_host_count(hosts)
    assert 0 < target.rate_limiter.rate * hosts <= FLEET_WRITES_PER_SECOND


@in_virtual_time
async def test_claims_do_not_wait_for_outcomes():
    rate, later = 10.0, 8
    target = ClaimCommitter(
        MemoryObjectStore(),
        HostId("h1"),
        Limits(claim_slots=32),
        writes_per_second=rate,
    )
    early = [f"r{number}" for number in range(100)]
    await asyncio.gather(*(claim(target, name, key=name, timeout=60) for name in early))
    for name in early:
        await target.close(RequestId(name), Outcome.DONE)
    await asyncio.sleep(0)
    started = asyncio.get_running_loop().time()
    names = [f"late{number}" for number in range(later)]
    await asyncio.gather(*(claim(target, name, key=name, timeout=60) for name in names))
    took = asyncio.get_running_loop().time() - started
    assert took <= (later + 1) / rate
    assert await target.stop(timeout=60) == 0


class LateStore(MemoryObjectStore):
    """Report the next writes as lost, and apply them when `land` is called."""

    def __init__(self):
        super().__init__()
        self.hold_back = 0
        self.late = []
        self.held_back = asyncio.Event()

    async def put(self, key, value, *, expected):
        if self.outage or not self.hold_back or key == LAYOUT_KEY:
            return await super().put(key, value, expected=expected)
        self.hold_back -= 1
        self.late.append((key, value, expected))
        self.held_back.set()
        raise answer_lost("held back")

    async def land(self):
        """Apply the late writes; return how many took effect."""
        landed = 0
        for key, value, expected in self.late:
            with contextlib.suppress(VersionConflict):
                await super().put(key, value, expected=expected)
                landed += 1
        self.late.clear()
        return landed


@in_virtual_time
async def test_late_write_is_fenced_by_the_next_write():
    store = LateStore()
    target = committer(store)
    store.hold_back = 1
    assert (await claim(target, "r1")).status is ClaimStatus.HELD
    assert await store.land() == 0
    assert (await claim(committer(store, "h2"), "r2")).status is ClaimStatus.UNKNOWN


@pytest.mark.parametrize("lands_first", [False, True])
def test_timed_out_claim_in_doubt_is_released(lands_first):
    async def check():
        store = LateStore()
        target = committer(store)
        await claim(target, "r0", key="warm-up")
        store.hold_back = 1
        task = asyncio.create_task(claim(target, "r1", timeout=1.0))
        await store.held_back.wait()
        store.outage = True
        assert (await task).status is ClaimStatus.STORE_UNAVAILABLE
        store.outage = False
        if lands_first:
            assert await store.land() == 1
        assert await target.stop(timeout=10) == 0
        assert await store.land() == 0
        assert key_digest(WS, "k") not in held_keys(store)
        assert (await claim(committer(store, "h2"), "r2")).status is ClaimStatus.HELD

    run(check())


@in_virtual_time
async def test_timed_out_claim_that_was_not_sent_is_dropped():
    store = MemoryObjectStore()
    store.gate = asyncio.Event()
    target = committer(store)
    result = await claim(target, "r1", timeout=1.0)
    assert result.status is ClaimStatus.STORE_UNAVAILABLE
    store.gate.set()
    assert await target.stop(timeout=10) == 0
    assert held_keys(store) == []


@in_virtual_time
async def test_cancelled_claim_leaves_no_entry():
    store = MemoryObjectStore()
    target = committer(store)
    for turns in range(12):
        task = asyncio.create_task(claim(target, f"r{turns}", key=f"k{turns}"))
        for _ in range(turns):
            await asyncio.sleep(0)
        if task.cancel():
            await asyncio.wait({task})
            assert task.cancelled()
        else:
            await target.close(RequestId(f"r{turns}"), Outcome.NOT_RUN)
    assert await target.stop(timeout=10) == 0
    assert held_keys(store) == []


@in_virtual_time
async def test_outage_rule_decides_between_refusing_and_waiting():
    store = MemoryObjectStore()
    target = committer(store)
    await claim(target, "r0", key="warm-up")
    store.outage = True
    waiting = asyncio.create_task(claim(target, "r1", timeout=60.0))
    loop = asyncio.get_running_loop()
    refused = await claim(target, "r2", key="k2", rule=StoreOutageRule.REFUSE)
    assert refused.status is ClaimStatus.STORE_UNAVAILABLE
    assert refused.retry_after > 0
    assert loop.time() < 1.0
    await asyncio.sleep(30)
    store.outage = False
    assert (await waiting).status is ClaimStatus.HELD
    assert loop.time() < 40.0


@in_virtual_time
async def test_paused_host_may_not_dispatch_on_an_old_claim():
    now = [0.0]
    target = committer(MemoryObjectStore(), clock=lambda: now[0])
    await claim(target, "r1")
    assert target.may_dispatch(RequestId("r1"))
    now[0] = LIMITS.claim_retention / 2
    assert not target.may_dispatch(RequestId("r1"))
    assert not target.may_dispatch(RequestId("never claimed"))


@in_virtual_time
async def test_first_claim_is_held_despite_lost_answers():
    store = MemoryObjectStore()
    store.lose_answers = 2
    target = committer(store)
    result = await claim(target, "r1", rule=StoreOutageRule.REFUSE)
    assert result.status is ClaimStatus.HELD


@in_virtual_time
async def test_number_of_slots_stays_what_the_first_host_wrote():
    store = MemoryObjectStore()
    assert (await claim(committer(store), "r1")).status is ClaimStatus.HELD
    wider = ClaimCommitter(store, HostId("h2"), Limits(claim_slots=77))
    assert (await claim(wider, "r2")).status is ClaimStatus.UNKNOWN


async def test_faults_over_http_never_dispatch_a_key_twice():
    stand_in = ObjectStandIn()
    async with serve(stand_in.app) as url, HttpObjectStore(url) as store:
        hosts = [committer(store, f"h{n}") for n in range(3)]
        stand_in.lose_answers = 3
        first = await asyncio.gather(
            *(claim(host, f"r{n}") for n, host in enumerate(hosts))
        )
        stand_in.outage = True
        out = await claim(hosts[0], "r9", key="k2", rule=StoreOutageRule.REFUSE)
        stand_in.outage = False
        left = [await host.stop(timeout=5) for host in hosts]
    statuses = sorted(result.status for result in first)
    assert statuses == [ClaimStatus.HELD, ClaimStatus.UNKNOWN, ClaimStatus.UNKNOWN]
    assert out.status is ClaimStatus.STORE_UNAVAILABLE
    assert left == [0, 0, 0]


class ClaimRaces(RuleBasedStateMachine):
    """Race committers on few keys, through faults of the store and crashes."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.store = LateStore()
        self.numbers = itertools.count()
        self.hosts = [committer(self.store, f"h{n}") for n in range(3)]
        self.claims = {}
        self.crashes = False
        self.crashed = set()
        self.runs = []

    def teardown(self):
        self.heal()
        for host in self.hosts:
            left = self.loop.run_until_complete(host.stop(timeout=60))
            assert left == 0
        self.collect()
        self.loop.run_until_complete(self.store.land())
        self.check_nothing_leaked()
        self.loop.close()

    @rule(
        host=st.integers(0, 2),
        key=st.sampled_from("abcd"),
        body=st.sampled_from("xy"),
        timeout=st.sampled_from([0.01, 1.0, 20.0]),
        outage_rule=st.sampled_from(StoreOutageRule),
        pause=st.sampled_from([0.0, 0.0, 0.06]),
    )
    def ask(self, host, key, body, timeout, outage_rule, pause):
        request = RequestId(f"r{next(self.numbers)}")
        call = claim(
            self.hosts[host], request, key, body, timeout=timeout, rule=outage_rule
        )
        self.claims[request] = (host, key, self.loop.create_task(call))
        self.loop.run_until_complete(asyncio.sleep(pause))

    @rule(outcome=st.sampled_from(Outcome), count=st.integers(1, 2))
    def finish(self, outcome, count):
        self.collect()
        running = [run for run in self.runs if run["open"]]
        for item in running[:count]:
            item["open"] = False
            item["ran"] = outcome is not Outcome.NOT_RUN
            host = self.hosts[item["host"]]
            self.loop.run_until_complete(host.close(item["request"], outcome, ANSWER))

    @initialize(crashes=st.booleans())
    def choose_crashes(self, crashes):
        self.crashes = crashes

    @precondition(lambda self: self.crashes)
    @rule(host=st.integers(0, 2))
    def crash(self, host):
        self.collect()
        self.hosts[host].abort()
        for request, (owner, _, task) in list(self.claims.items()):
            if owner == host:
                task.cancel()
                self.crashed.add(request)
        for item in self.runs:
            if item["host"] == host:
                item["open"] = False
        self.hosts[host] = committer(self.store, f"h{host}")

    @rule(lost=st.integers(0, 3), late=st.integers(0, 2))
    def break_writes(self, lost, late):
        self.store.lose_answers = lost
        self.store.hold_back = late

    @rule()
    def land(self):
        self.loop.run_until_complete(self.store.land())

    @rule(on=st.booleans())
    def outage(self, on):
        self.store.outage = on

    @rule(on=st.booleans())
    def slow(self, on):
        if self.store.gate is not None:
            self.store.gate.set()
        self.store.gate = asyncio.Event() if on else None

    @rule(seconds=st.sampled_from([0.0, 0.06, 3.0]))
    def wait(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @invariant()
    def no_key_runs_twice(self):
        self.collect()
        for key in "abcd":
            ran = [item for item in self.runs if item["key"] == key and item["ran"]]
            assert len(ran) <= 1

    def collect(self):
        """Take finished claims; a held one counts as run until it is released."""
        for request, (host, key, task) in list(self.claims.items()):
            if not task.done():
                continue
            del self.claims[request]
            if task.cancelled() or request in self.crashed:
                continue
            if task.result().status is ClaimStatus.HELD:
                item = {"request": request, "host": host, "key": key}
                self.runs.append(item | {"open": True, "ran": True})

    def heal(self):
        self.store.outage = False
        self.store.lose_answers = 0
        self.store.hold_back = 0
        self.slow(on=False)
        self.loop.run_until_complete(asyncio.sleep(30))

    def check_nothing_leaked(self):
        """Find no entry in the store but of runs and of crashed hosts."""
        if self.crashes:
            return
        ran = {key_digest(WS, item["key"]) for item in self.runs if item["ran"]}
        assert set(held_keys(self.store)) == ran


ClaimRaces.TestCase.settings = settings(
    max_examples=80, stateful_step_count=30, derandomize=True, deadline=None
)
TestClaimRaces = ClaimRaces.TestCase
