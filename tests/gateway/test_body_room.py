"""Check how long a body waits for room."""

import asyncio
import time

import pytest

from amaranthferry.entry import OTHER_HOST_RETRY
from amaranthferry.exceptions import RequestError
from amaranthferry.gateway.edge import NO_ROOM, _retry_after, _Room
from amaranthferry.memory import SMALL_BODY_BYTES, BodyMemory

SIZE = SMALL_BODY_BYTES + 1


async def refused_after(left):
    memory = BodyMemory(1)
    await _Room(memory).wait(SIZE, left)
    began = time.monotonic()
    with pytest.raises(RequestError) as refusal:
        await _Room(memory).wait(SIZE, left)
    return time.monotonic() - began, refusal.value


@pytest.mark.parametrize(("left", "patience"), [(0.9, 0.3), (10.0, 1.0), (60.0, 1.0)])
async def test_caller_is_not_told_only_after_it_has_given_up(left, patience):
    waited, _ = await refused_after(left)
    assert patience - 0.2 < waited < patience


async def test_body_is_read_if_there_is_room_while_its_caller_waits():
    memory = BodyMemory(1)
    first, second = _Room(memory), _Room(memory)
    await first.wait(SIZE, 10.0)
    waiting = asyncio.ensure_future(second.wait(SIZE, 10.0))
    await asyncio.sleep(0.7)
    first.release()
    await waiting


async def test_refused_caller_is_sent_to_another_host_at_once():
    _, refusal = await refused_after(0.6)
    assert refusal.code == NO_ROOM
    assert _retry_after(refusal, stopping=False) == OTHER_HOST_RETRY
