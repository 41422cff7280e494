"""Check that refused callers are told when there will be room for them."""

import msgspec
import pytest

from amaranthferry import events
from amaranthferry.core import reduce
from amaranthferry.effects import SettleRequest
from amaranthferry.entry import OTHER_HOST_RETRY
from amaranthferry.messages import PermitRefusal, ShardAdvert
from amaranthferry.retry import RetryBudget
from amaranthferry.servers import MIN_BACKOFF

from .test_core import OTHER, SHARD, arrival, receive
from .test_objectives import (
    fill,
    make_coordinator,
    permit_request,
    release,
    send,
    tick,
)
from .test_reruns import new_state, start_dispatch


def told_by_host(effects):
    (refusal,) = [e for e in effects if isinstance(e, SettleRequest)]
    return refusal.retry_after


def refusals(messages):
    return [m for m in messages if isinstance(m, PermitRefusal)]


def told(*, waiting=0, left=(10.0,), scale=1.0, rank=0):
    """Fill two servers, queue some work, and return what refused callers are told."""
    coordinator = make_coordinator(servers=2, slots=2)
    servers = fill(coordinator, 4)
    for name, server in list(servers.items())[:2]:
        send(coordinator, release(name, server, 0.5 * scale), 0.5 * scale)
    refill = [permit_request(f"again-{n}", out=50) for n in range(2)]
    for request in refill:
        send(coordinator, request, 0.5 * scale)
    now = 0.6 * scale
    for number in range(waiting):
        request = permit_request(f"w-{number}", objective=90.0, remaining=99.0)
        request = msgspec.structs.replace(request, patience=99.0)
        send(coordinator, request, now)
    messages = []
    for number, remaining in enumerate(left):
        request = permit_request(
            f"r-{number}", rank=rank, remaining=remaining, patience=0.005
        )
        messages += send(coordinator, request, now)
    return [refusal.retry_after for refusal in refusals(messages)]


@pytest.mark.parametrize("left", [2.0, 5.0, 20.0, 300.0])
def test_told_time_is_no_part_of_the_time_left(left):
    assert told(waiting=4, left=(left,)) == told(waiting=4, left=(10.0,))


def test_longer_queue_never_gives_a_shorter_time():
    times = [told(waiting=count)[0] for count in range(0, 40, 4)]
    assert times == sorted(times)
    assert times[-1] > 2 * times[1]


def test_refused_callers_are_not_told_to_come_back_together():
    times = told(waiting=4, left=(50.0,) * 8)
    assert len(times) == 8
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    # Four slots that take half a second each free one in an eighth at best.
    assert min(gaps) >= 0.1


def test_time_beyond_what_the_caller_can_use_is_told_as_it_is():
    (time,) = told(waiting=80, left=(1.0,))
    assert time > 1.0


def test_slot_that_is_about_to_be_free_is_not_hidden_behind_a_least_time():
    coordinator = make_coordinator(servers=8, slots=8)
    fill(coordinator, 64)
    message = permit_request("r", remaining=10.0, patience=0.005)
    (refusal,) = refusals(send(coordinator, message, 0.1))
    assert 0 < refusal.retry_after < 0.1


def test_waiter_that_expires_is_told_the_same_as_one_that_is_refused_at_once():
    coordinator = make_coordinator(servers=2, slots=2)
    fill(coordinator, 4)
    send(coordinator, permit_request("waits", remaining=10.0, patience=2.0), 0.1)
    (expired,) = refusals(tick(coordinator, 2.2))
    other = make_coordinator(servers=2, slots=2)
    fill(other, 4)
    at_once = permit_request("late", remaining=10.0, patience=0.005)
    (refusal,) = refusals(send(other, at_once, 2.2))
    assert expired.retry_after == pytest.approx(refusal.retry_after, rel=0.1)


def test_caller_of_a_stopping_host_is_sent_to_another_one_at_once():
    state = new_state()
    state.draining = True
    assert told_by_host(reduce(state, arrival())) == OTHER_HOST_RETRY


@pytest.mark.parametrize("wait", [0.0, 0.3, 7.0])
def test_caller_that_waited_to_its_deadline_is_told_the_wait_of_its_shard(wait):
    state = new_state()
    receive(state, ShardAdvert(SHARD, OTHER, (wait, wait)), now=0.0)
    reduce(state, arrival(timeout=5.0))
    effects = reduce(state, events.DeadlinePassed(now=5.0, request_id="r1"))
    assert told_by_host(effects) == max(OTHER_HOST_RETRY, wait)


def test_caller_that_a_server_turned_away_is_told_when_that_gets_work_again():
    state = new_state()
    start_dispatch(state, max_attempts=1)
    refused = events.DispatchRefused(now=0.5, request_id="r1", by_server=True)
    assert told_by_host(reduce(state, refused)) == MIN_BACKOFF


@pytest.mark.parametrize("tokens", [0.0, 0.5, 0.9])
def test_caller_beyond_the_budget_is_told_when_it_allows_a_retry(tokens):
    budget = RetryBudget(tokens=tokens)
    now = budget.next_in(0.0)
    assert not budget.take(now - 0.01)
    assert budget.take(now)
