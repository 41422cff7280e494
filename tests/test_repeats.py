"""Check that repeats of refused requests keep the objective of the first attempt."""

import msgspec
import pytest

from amaranthferry.bench import run_row
from amaranthferry.objectives import ObjectiveQueue
from amaranthferry.repeats import MAX_REMEMBERED, RefusedRequests
from amaranthferry.wait_queue import Rank, Waiter

from .test_objectives import (
    fill,
    granted,
    make_coordinator,
    permit_request,
    refused,
    release,
    send,
    tick,
)

PROMPT = (11, 12, 13)


def prompt_request(name, *, prefixes=PROMPT, **options):
    return msgspec.structs.replace(permit_request(name, **options), prefixes=prefixes)


def waiter_of(request, now):
    rank = Rank(0, 0, 0, 0.0, 1)
    return Waiter(request, "host-1", now, now + request.remaining, rank, rank)


def refused_at(now, request):
    ledger = RefusedRequests()
    ledger.record(waiter_of(request, now))
    return ledger


def objective_of(ledger, request, now):
    return ledger.with_first_objective(request, now).objective


def test_repeat_has_the_time_left_of_the_first_attempt():
    ledger = refused_at(0.0, prompt_request("first", objective=1.0, remaining=10.0))
    repeat = prompt_request("again", objective=1.0, remaining=6.1)
    assert objective_of(ledger, repeat, 4.0) == pytest.approx(-3.0)


@pytest.mark.parametrize(
    ("other", "at"),
    [
        (prompt_request("deadline", remaining=6.5), 4.0),
        (prompt_request("prompt", prefixes=(11, 12, 14), remaining=6.0), 4.0),
        (prompt_request("length", prompt=101, remaining=6.0), 4.0),
        (prompt_request("class", rank=1, remaining=6.0), 4.0),
        (prompt_request("expired", remaining=0.0), 11.0),
    ],
    ids=lambda value: getattr(value, "request_id", ""),
)
def test_other_requests_keep_their_own_objective(other, at):
    ledger = refused_at(0.0, prompt_request("first", objective=1.0, remaining=10.0))
    assert objective_of(ledger, other, at) == 1.0


def test_request_without_a_known_prompt_is_not_taken_for_a_repeat():
    ledger = refused_at(0.0, prompt_request("first", prefixes=(), remaining=10.0))
    other = prompt_request("other", prefixes=(), remaining=6.0)
    assert objective_of(ledger, other, 4.0) == 1.0


def test_one_refusal_accounts_for_one_repeat():
    ledger = refused_at(0.0, prompt_request("first", remaining=10.0))
    repeat = prompt_request("again", remaining=6.0)
    assert objective_of(ledger, repeat, 4.0) < 0
    assert objective_of(ledger, repeat, 4.0) == 1.0


def test_expired_refusals_are_forgotten():
    ledger = refused_at(0.0, prompt_request("first", remaining=10.0))
    objective_of(ledger, prompt_request("other", prefixes=(1,)), 10.1)
    assert not ledger._by_key and not ledger._order


def test_number_of_remembered_refusals_is_bounded():
    ledger = refused_at(0.0, prompt_request("first", remaining=10.0))
    for number in range(MAX_REMEMBERED):
        request = prompt_request(f"n-{number}", prefixes=(number,), remaining=10.0)
        ledger.record(waiter_of(request, 0.0))
    assert len(ledger._order) == len(ledger._by_key) == MAX_REMEMBERED
    assert objective_of(ledger, prompt_request("again", remaining=6.0), 4.0) == 1.0


def test_repeat_of_a_refused_request_does_not_displace_a_first_attempt():
    coordinator = make_coordinator(servers=1, slots=1)
    ((name, server),) = fill(coordinator, 1).items()
    first = prompt_request("first", objective=1.0, remaining=10.0, max_wait=2.0)
    send(coordinator, first, 0.1)
    assert refused(tick(coordinator, 2.2)) == ["first"]
    repeat = prompt_request("again", objective=1.0, remaining=6.1, max_wait=2.0)
    assert granted(send(coordinator, repeat, 4.0)) == []
    assert isinstance(coordinator.queue, ObjectiveQueue)
    other = prompt_request("other", prefixes=(1, 2), objective=1.0, max_wait=2.0)
    assert granted(send(coordinator, other, 4.1)) == []
    assert granted(send(coordinator, release(name, server), 4.2)) == ["other"]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_earns_more_for_first_attempts(seed):
    with_repeats, without = (
        run_row("routed", 1.5, policy, seed, duration=120.0).kinds
        for policy in ("ours", "ours-without-recognize-repeats")
    )
    assert with_repeats["answer"].in_time > 1.2 * without["answer"].in_time
    assert with_repeats["answer"].earned > without["answer"].earned
    assert with_repeats["review"].earned > without["review"].earned - 0.02
