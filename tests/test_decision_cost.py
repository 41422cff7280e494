"""Bound the function calls of one decision by the number of waiting requests."""

import sys
from functools import partial

import pytest

from tests.scheduling import Session, server

CALLS_PER_DOUBLING = 8


def waiting_session(count):
    servers = [server(f"e{number}", slots=4) for number in range(5)]
    session = Session(*servers, queue_limit=20_000)
    for number in range(count + 20):
        session.request(
            f"r{number}",
            remaining=1e5,
            workspace=f"w{number % 7}",
            tier_rank=number % 3,
        )
    return session


def count_calls(call):
    count = 0

    def hook(frame, event, argument):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(hook)
    try:
        call()
    finally:
        sys.setprofile(None)
    return count


def request_one(session):
    session.request("new", remaining=1e5)


def release_one(session):
    session.release("r0", output_tokens=50, first_token=0.1, elapsed=1.1)


@pytest.mark.parametrize("action", [request_one, release_one])
def test_calls_grow_no_faster_than_the_logarithm(action):
    calls = []
    for count in (125, 1_000, 8_000):
        session = waiting_session(count)
        calls.append(count_calls(partial(action, session)))
    assert calls[1] - calls[0] <= 3 * CALLS_PER_DOUBLING
    assert calls[2] - calls[1] <= 3 * CALLS_PER_DOUBLING
