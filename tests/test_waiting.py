"""Check that requests wait as long as their callers can still be served."""

import msgspec
import pytest

from amaranthferry import events
from amaranthferry.core import reduce

from .test_core import arrival, grant, new_state, receive
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


def waiting_request(*, event_timeout=0.0, timeout=10.0):
    state = new_state()
    event = msgspec.structs.replace(
        arrival(timeout=timeout),
        event_timeout=event_timeout,
        repeatable=True,
        max_attempts=3,
    )
    reduce(state, event)
    return state, state.requests["r1"]


@pytest.mark.parametrize("timeout", [0.6, 10.0, 900.0])
def test_wait_is_not_cut_to_a_part_of_the_callers_time(timeout):
    _, req = waiting_request(timeout=timeout)
    assert req.permit_request(0.0).patience == timeout
    assert req.permit_request(timeout / 2).patience == timeout / 2


def test_wait_for_a_stream_ends_when_its_caller_gives_up():
    _, req = waiting_request(event_timeout=4.0)
    assert req.permit_request(1.0).patience == 3.0


def test_wait_for_a_second_run_does_not_start_anew():
    state, req = waiting_request(event_timeout=4.0)
    receive(state, grant(), now=0.5)
    reduce(state, events.DispatchFailed(now=1.0, request_id="r1"))
    assert req.tried_servers
    assert req.permit_request(1.0).patience == 3.0


def test_wait_for_a_resumed_stream_counts_from_its_last_event():
    state, req = waiting_request(event_timeout=4.0)
    receive(state, grant(), now=0.5)
    reduce(state, events.FirstTokenSeen(now=1.0, request_id="r1"))
    reduce(state, events.TokensSeen(now=2.0, request_id="r1", output_tokens=5))
    reduce(state, events.DispatchFailed(now=2.5, request_id="r1"))
    assert req.permit_request(3.0).patience == 3.0


def test_waiter_is_not_refused_while_it_can_be_served_in_time():
    coordinator = make_coordinator(servers=1, slots=1)
    ((name, server),) = fill(coordinator, 1).items()
    # The work takes 0.51 s on the idle server, so it has to begin within 9.49 s.
    waits = permit_request("waits", remaining=10.0, patience=10.0)
    assert refused(send(coordinator, waits, 0.0)) == []
    for step in range(1, 94):
        assert refused(tick(coordinator, step / 10)) == []
    assert granted(send(coordinator, release(name, server, 9.4), 9.4)) == ["waits"]


def test_waiter_is_refused_as_soon_as_no_server_can_answer_in_time():
    coordinator = make_coordinator(servers=1, slots=1)
    fill(coordinator, 1)
    send(coordinator, permit_request("waits", remaining=10.0, patience=10.0), 0.0)
    for step in range(1, 94):
        assert refused(tick(coordinator, step / 10)) == []
    assert refused(tick(coordinator, 9.55)) == ["waits"]


def test_request_whose_prefill_takes_longer_than_its_time_is_refused_at_once():
    coordinator = make_coordinator(servers=1, slots=1)
    fill(coordinator, 1)
    late = permit_request("late", remaining=0.4, patience=0.4, prompt=5_000)
    assert refused(send(coordinator, late, 0.0)) == ["late"]


def test_request_is_not_refused_beside_a_free_slot_for_its_expected_length():
    coordinator = make_coordinator(servers=1, slots=1)
    short_of_time = permit_request("tight", remaining=0.4, patience=0.4)
    assert granted(send(coordinator, short_of_time, 0.0)) == ["tight"]


def test_request_does_not_take_a_slot_from_others_that_can_be_answered_in_time():
    coordinator = make_coordinator(servers=1, slots=1)
    fill(coordinator, 1)
    # The answer takes 0.51 s by its expected length, and half of it if it is short.
    tight = permit_request("tight", remaining=0.4, patience=0.4)
    assert refused(send(coordinator, tight, 0.0)) == ["tight"]


@pytest.mark.parametrize("remaining", [0.2, 0.4])
def test_broken_stream_is_not_given_up_for_what_it_already_has(remaining):
    """Its whole answer takes 0.51 s, but only the rest of it is left."""
    coordinator = make_coordinator(servers=1, slots=1)
    ((name, server),) = fill(coordinator, 1).items()
    rest = permit_request("rest", remaining=remaining, patience=remaining)
    rest = msgspec.structs.replace(rest, may_have_run=True)
    assert refused(send(coordinator, rest, 0.0)) == []
    assert granted(send(coordinator, release(name, server), 0.1)) == ["rest"]
