"""Check that a caller's first attempt and its repeats are treated alike."""

import msgspec
import pytest

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
