"""Check that each level of work gets its share of what it asks for."""

import heapq
from collections import Counter

import msgspec
import pytest

from amaranthferry.coordinator import Coordinator
from amaranthferry.messages import PermitGrant, PermitProgress
from amaranthferry.minimum_share import MinimumShares
from amaranthferry.objectives import ObjectiveQueue
from amaranthferry.wait_queue import Rank, Waiter

from .test_objectives import HOST, SHARD, deployment, permit_request, release, send
from .test_objectives import tick as tick_at

LOWEST = (2, 0)
SERVICE_TIME = 0.5


def test_level_below_its_share_goes_first_until_it_has_it():
    shares = MinimumShares(0.1)
    for _ in range(10):
        shares.record_arrival(LOWEST, 1.0)
    assert shares.is_below_minimum(LOWEST)
    shares.record_grant(LOWEST, 1.0)
    assert not shares.is_below_minimum(LOWEST)


def test_level_that_asks_for_nothing_has_its_share():
    assert not MinimumShares(0.1).is_below_minimum(LOWEST)


def test_level_does_not_starve_after_it_has_got_much_in_a_calm_time():
    shares = MinimumShares(0.1)
    for _ in range(1_000):
        shares.record_grant(LOWEST, 1.0)
    for _ in range(11):
        shares.record_arrival(LOWEST, 1.0)
    assert shares.is_below_minimum(LOWEST)


def test_level_that_is_refused_for_long_saves_up_no_burst():
    shares = MinimumShares(0.1)
    for _ in range(1_000):
        shares.record_arrival(LOWEST, 1.0)
    shares.record_grant(LOWEST, 1.0)
    assert not shares.is_below_minimum(LOWEST)


def test_late_waiters_of_a_level_below_its_share_do_not_starve():
    queue, shares = ObjectiveQueue(), MinimumShares(0.1)
    for sequence, (name, rank, latest_start) in enumerate(
        [("urgent", 0, 9.0), ("late", 1, -1.0), ("other", 1, -0.5)], 1
    ):
        request = permit_request(name, rank=rank)
        position = Rank(0, rank, 0, 10.0, sequence)
        waiter = Waiter(request, HOST, 0.0, 10.0, position, position)
        queue.add(waiter, expires_at=9.0, latest_start=latest_start)
    shares.record_arrival((0, 1), 1.0)
    (first, *_) = queue.in_grant_order(shares, limit=3)
    assert first.request.request_id == "late"


def coordinator_with_share(share):
    cfg = deployment(servers=2, slots=2)
    pool = msgspec.structs.replace(cfg.pools["engines"], minimum_share=share)
    cfg = msgspec.structs.replace(cfg, pools={"engines": pool})
    return Coordinator.from_config(cfg, SHARD, now=0.0, hosts=(HOST,))


class Overload:
    """Requests of several ranks, as multiples of what four slots take, for a minute."""

    def __init__(self, share, *loads, objective=600.0, objectives=(), seconds=180.0):
        self._coordinator = coordinator_with_share(share)
        self._running = []
        self.granted, sent = Counter(), Counter()
        for step in range(int(seconds * 20)):
            now = step / 20
            while self._running and self._running[0][0] <= now:
                _, name, server = heapq.heappop(self._running)
                done = release(name, server, SERVICE_TIME)
                self._handle(send(self._coordinator, done, now), now)
            for rank, load in enumerate(loads):
                while sent[rank] < now * load * 4 / SERVICE_TIME:
                    sent[rank] += 1
                    request = permit_request(
                        f"r{rank}-{sent[rank]}",
                        rank=rank,
                        objective=objectives[rank] if objectives else objective,
                        remaining=30.0,
                        patience=30.0,
                        out=49,
                    )
                    self._handle(send(self._coordinator, request, now), now)
            self._handle(tick_at(self._coordinator, now), now)
        self.served = [self.granted[rank] / sent[rank] for rank in range(len(loads))]

    def _handle(self, messages, now):
        for message in messages:
            if isinstance(message, PermitGrant):
                self.granted[int(message.request_id[1])] += 1
                end = (now + SERVICE_TIME, message.request_id, message.server)
                heapq.heappush(self._running, end)
                progress = PermitProgress(
                    message.request_id, SHARD, message.server, 0.01, 1, 0.01
                )
                self._handle(send(self._coordinator, progress, now), now)


@pytest.mark.parametrize("share", [0.05, 0.1, 0.3])
@pytest.mark.parametrize("lower_load", [0.1, 0.5, 1.5])
def test_lower_level_does_not_starve_beside_urgent_overload(share, lower_load):
    served = Overload(share, 2.0, lower_load).served
    assert served[1] >= 0.9 * share


@pytest.mark.parametrize("lower_load", [0.1, 0.5, 1.5])
def test_lower_level_takes_no_more_than_its_share_from_urgent_work(lower_load):
    served = Overload(0.1, 2.0, lower_load).served
    # Four slots are free at the start, before any urgent work waits.
    assert served[1] <= 0.1 + 0.02


def test_level_between_others_does_not_starve():
    assert min(Overload(0.1, 2.0, 0.5, 0.5).served[1:]) >= 0.9 * 0.1


def test_urgent_work_gets_everything_without_a_share():
    assert Overload(0.0, 2.0, 0.5).served[1] <= 0.02
