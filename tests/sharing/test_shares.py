"""Play competing workspaces, and check that none takes the room of the others."""

import heapq
import random
from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthferry.config import Quota
from amaranthferry.coordinator import Coordinator
from amaranthferry.messages import PermitGrant, PermitProgress
from amaranthferry.sharing.shares import (
    BURST_REQUESTS,
    MAX_EXCESS,
    WorkspaceShares,
)

from ..test_objectives import (
    HOST,
    SHARD,
    deployment,
    granted,
    permit_request,
    release,
    send,
)
from ..test_objectives import tick as tick_at

SERVICE_TIME = 0.5
SLOTS = 8


def request_of(workspace, name="r", **options):
    return msgspec.structs.replace(permit_request(name, **options), workspace=workspace)


def test_workspace_alone_is_never_behind_itself_while_its_work_is_granted():
    shares = WorkspaceShares()
    for _ in range(100):
        assert shares.charge(request_of("only"), 1.0) == 0
        shares.record_grant(request_of("only"), 1.0)


def test_small_burst_is_not_deferred():
    shares = WorkspaceShares()
    excesses = [shares.charge(request_of("one"), 1.0) for _ in range(BURST_REQUESTS)]
    assert excesses == [0] * BURST_REQUESTS
    assert shares.charge(request_of("one"), 1.0) == 1


def test_workspace_that_asks_for_more_is_deferred_and_the_others_are_not():
    shares = WorkspaceShares()
    for _ in range(200):
        excesses = [shares.charge(request_of("many"), 1.0) for _ in range(6)]
        assert shares.charge(request_of("few"), 1.0) == 0
        shares.record_grant(request_of("few"), 1.0)
        shares.record_grant(request_of("many"), 1.0)
    assert min(excesses) > 0


def test_allowances_are_the_weights():
    shares = WorkspaceShares()
    shares.apply({"large": 30.0, "small": 10.0})
    counts = {
        workspace: sum(
            shares.charge(request_of(workspace), 1.0) < MAX_EXCESS for _ in range(400)
        )
        for workspace in ("large", "small")
    }
    assert counts["large"] == pytest.approx(3 * counts["small"], rel=0.05)


def test_refused_requests_are_not_held_against_their_workspace():
    shares = WorkspaceShares()
    for _ in range(100):
        assert shares.charge(request_of("refused"), 1.0) == 0
        shares.refund(request_of("refused"), 1.0)


def test_idle_time_saves_up_nothing():
    shares = WorkspaceShares()
    for _ in range(100):
        shares.charge(request_of("busy"), 1.0)
        shares.record_grant(request_of("busy"), 1.0)
    excesses = [shares.charge(request_of("idle"), 1.0) for _ in range(20)]
    assert excesses[BURST_REQUESTS] == 1


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.floats(0.01, 10.0), st.booleans()),
        max_size=60,
    ),
    st.sampled_from([0.25, 4.0]),
)
def test_shorter_or_longer_work_alike_is_ordered_alike(steps, factor):
    def play(scale):
        shares = WorkspaceShares()
        shares.apply({"a": 1.0, "b": 2.0})
        order = []
        for workspace, cost, is_granted in steps:
            order.append(shares.charge(request_of(workspace), cost * scale))
            if is_granted:
                shares.record_grant(request_of(workspace), cost * scale)
            else:
                shares.refund(request_of(workspace), cost * scale)
        return order

    assert play(1.0) == play(factor)


class Competition:
    """Play workspaces that ask for parts of what eight slots take, in bursts."""

    def __init__(self, asked, *, shared, seconds=60.0, objective=2.0, seed=1):
        cfg = deployment(servers=4, slots=2, shared_by_allowance=shared)
        quotas = {name: Quota(rate=1_000.0, burst=1_000.0) for name in asked}
        cfg = msgspec.structs.replace(cfg, quotas=quotas)
        self._coordinator = Coordinator.from_config(cfg, SHARD, now=0.0, hosts=(HOST,))
        self._running = []
        self._workspaces = {}
        self._due = {}
        self.granted, self.timely, sent = Counter(), Counter(), Counter()
        self.idle_beside_waiters = 0
        rng = random.Random(seed)
        for step in range(int(seconds * 20)):
            now = step / 20
            while self._running and self._running[0][0] <= now:
                _, name, server = heapq.heappop(self._running)
                done = release(name, server, SERVICE_TIME)
                self._handle(send(self._coordinator, done, now), now)
            # What is sent last could not be served by the end of the play.
            asking = asked if now < seconds - objective else {}
            for workspace, load in asking.items():
                while sent[workspace] < now * load * SLOTS / SERVICE_TIME:
                    for _ in range(rng.choice((1, 1, 4))):
                        sent[workspace] += 1
                        name = f"{workspace}-{sent[workspace]}"
                        self._workspaces[name] = workspace
                        self._due[name] = now + objective
                        request = request_of(
                            workspace, name, objective=objective, remaining=8.0, out=49
                        )
                        self._handle(send(self._coordinator, request, now), now)
            self._handle(tick_at(self._coordinator, now), now)
            if len(self._running) < SLOTS and len(self._coordinator.queue):
                self.idle_beside_waiters += 1
        self.served = {name: self.granted[name] / sent[name] for name in asked}
        self.in_time = {name: self.timely[name] / sent[name] for name in asked}
        self.total = self.granted.total()

    def _handle(self, messages, now):
        for message in messages:
            if isinstance(message, PermitGrant):
                workspace = self._workspaces[message.request_id]
                self.granted[workspace] += 1
                self.timely[workspace] += now <= self._due[message.request_id]
                end = (now + SERVICE_TIME, message.request_id, message.server)
                heapq.heappush(self._running, end)
                progress = PermitProgress(
                    message.request_id, SHARD, message.server, 0.01, 1, 0.01
                )
                self._handle(send(self._coordinator, progress, now), now)


CALM = {"a": 0.2, "b": 0.2, "c": 0.2, "d": 0.2}


@pytest.mark.parametrize("surge", [0.6, 0.9, 1.4, 2.4])
def test_surge_of_one_workspace_leaves_the_others_what_they_get_without_it(surge):
    calm = Competition(CALM, shared=True).in_time
    beside = Competition({**CALM, "a": surge}, shared=True).in_time
    for workspace in ("b", "c", "d"):
        assert beside[workspace] >= calm[workspace] - 0.05


def test_without_shares_the_same_surge_takes_the_room_of_the_others():
    beside = Competition({**CALM, "a": 2.4}, shared=False).in_time
    assert min(beside[name] for name in "bcd") < 0.6


@pytest.mark.parametrize("surge", [0.6, 2.4])
def test_shares_leave_no_slot_idle_and_serve_no_less(surge):
    plain = Competition({**CALM, "a": surge}, shared=False)
    shared = Competition({**CALM, "a": surge}, shared=True)
    assert shared.total >= 0.98 * plain.total
    assert shared.idle_beside_waiters <= plain.idle_beside_waiters + 1


def test_workspace_that_asks_for_more_still_gets_what_the_others_leave():
    served = Competition({**CALM, "a": 2.4}, shared=True).served
    assert served["a"] * 2.4 >= 0.9 * (1.0 - 0.6)


def test_new_coordinator_shares_from_its_first_requests():
    calm = Competition(CALM, shared=True, seconds=10.0).in_time
    beside = Competition({**CALM, "a": 2.4}, shared=True, seconds=10.0).in_time
    for workspace in ("b", "c", "d"):
        assert beside[workspace] >= calm[workspace] - 0.05


def test_deployment_without_the_rule_orders_as_before():
    cfg = deployment(servers=1, slots=1)
    coordinator = Coordinator.from_config(cfg, SHARD, now=0.0, hosts=(HOST,))
    send(coordinator, request_of("many", "first", objective=5.0), 0.0)
    for number in range(20):
        send(coordinator, request_of("many", f"m{number}", objective=5.0), 0.0)
    send(coordinator, request_of("few", "few", objective=5.1), 0.0)
    server = next(iter(coordinator.servers))
    send(coordinator, PermitProgress("first", SHARD, server, 0.01, 1, 0.01), 0.01)
    assert granted(send(coordinator, release("first", server), 0.3)) == ["m0"]
