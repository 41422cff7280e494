"""Check that a caller's first attempt and its repeats are treated alike."""

import msgspec
import pytest

from amaranthferry import events
from amaranthferry.core import reduce
from amaranthferry.messages import PermitRequest

from .test_forecast import LoadSimulation
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
from .test_reruns import new_state, sent, start_dispatch

PROMPT, OTHER_PROMPT = (11, 12, 13), (21, 22, 23)


def prompt_request(name, prefixes, **options):
    return msgspec.structs.replace(permit_request(name, **options), prefixes=prefixes)


def decisions_after_refusal(refused_prompt, *, left, objective=1.0):
    """Refuse one prompt, then let attempts compete for slots; return all decisions."""
    coordinator = make_coordinator(servers=1, slots=2)
    servers = fill(coordinator, 2)
    first = prompt_request("first", refused_prompt, objective=objective, patience=0.5)
    send(coordinator, first, 0.1)
    assert refused(tick(coordinator, 1.0)) == ["first"]
    decisions = []
    for number, (prompt, remaining) in enumerate(
        [(PROMPT, left), ((31,), left + 1.0), (PROMPT, left), ((32,), left - 0.5)]
    ):
        request = prompt_request(
            f"n-{number}", prompt, objective=objective, remaining=remaining
        )
        decisions.append(send(coordinator, request, 10.1 - left))
    now = 10.2 - left
    for name, server in servers.items():
        decisions.append(send(coordinator, release(name, server), now))
        now += 0.3
    decisions += [tick(coordinator, now + step / 4) for step in range(40)]
    return [msgspec.to_builtins(item) for item in decisions]


@pytest.mark.parametrize("left", [2.0, 4.0, 6.0, 8.5])
def test_repeat_is_not_placed_behind_first_attempts(left):
    repeated = decisions_after_refusal(PROMPT, left=left)
    assert repeated == decisions_after_refusal(OTHER_PROMPT, left=left)


def test_repeat_with_less_time_left_goes_before_a_first_attempt():
    coordinator = make_coordinator(servers=1, slots=1)
    ((name, server),) = fill(coordinator, 1).items()
    first = prompt_request("first", PROMPT, remaining=10.0, patience=2.0)
    send(coordinator, first, 0.1)
    assert refused(tick(coordinator, 2.2)) == ["first"]
    repeat = prompt_request("again", PROMPT, remaining=6.1)
    assert granted(send(coordinator, repeat, 4.0)) == []
    other = prompt_request("other", OTHER_PROMPT, remaining=10.0)
    assert granted(send(coordinator, other, 4.1)) == []
    assert granted(send(coordinator, release(name, server), 4.2)) == ["again"]


def second_run(name, *, may_have_run, **options):
    request = permit_request(name, **options)
    return msgspec.structs.replace(
        request, excluded=("engine-9",), may_have_run=may_have_run
    )


def overloaded_coordinator():
    return LoadSimulation(25.0, seconds=8.0).coordinator


def test_request_that_may_have_run_is_not_refused_on_a_forecast():
    coordinator = overloaded_coordinator()
    first = permit_request("first", objective=-1.0)
    assert refused(send(coordinator, first, 8.0)) == ["first"]
    resumed = second_run("resumed", objective=-1.0, may_have_run=True)
    assert refused(send(coordinator, resumed, 8.0)) == []
    assert "resumed" in coordinator.queue


def test_request_that_a_server_turned_away_unrun_is_treated_like_a_first_attempt():
    coordinator = overloaded_coordinator()
    first = permit_request("first", objective=-1.0)
    assert refused(send(coordinator, first, 8.0)) == ["first"]
    turned_away = second_run("second", objective=-1.0, may_have_run=False)
    assert refused(send(coordinator, turned_away, 8.0)) == ["second"]


@pytest.mark.parametrize(
    ("event", "may_have_run"),
    [
        (events.DispatchFailed(now=0.5, request_id="r1"), True),
        (events.DispatchRefused(now=0.5, request_id="r1", by_server=True), False),
    ],
    ids=["broken", "turned-away"],
)
def test_host_says_whether_a_request_may_have_run(event, may_have_run):
    state = new_state()
    start_dispatch(state, repeatable=True, max_attempts=2)
    (request,) = sent(reduce(state, event), PermitRequest)
    assert request.message.excluded == ("engine-1",)
    assert request.message.may_have_run is may_have_run
