import asyncio
import tracemalloc

import pytest

from amaranthferry import bodies
from amaranthferry.bodies import read_body
from amaranthferry.exceptions import RequestError


async def chunks(*parts, pause=0.0):
    for part in parts:
        await asyncio.sleep(pause)
        yield part


async def test_body_up_to_the_limit_is_read_completely():
    assert await read_body(chunks(b"ab", b"", b"cd"), 4) == b"abcd"


async def test_larger_body_is_refused():
    with pytest.raises(RequestError) as caught:
        await read_body(chunks(b"ab", b"cde"), 4)
    assert (caught.value.status, caught.value.code) == (413, "body_too_large")


async def test_slow_body_is_refused(monkeypatch):
    monkeypatch.setattr(bodies, "BODY_TIMEOUT", 0.01)
    with pytest.raises(RequestError) as caught:
        await read_body(chunks(b"ab", pause=5.0), 4)
    assert (caught.value.status, caught.value.code) == (408, "body_timeout")


async def test_body_in_tiny_pieces_takes_no_more_memory_than_its_bytes():
    size, taken = 400_000, []

    async def pieces():
        tracemalloc.start()
        for _ in range(size // 2):
            yield bytes([1, 2])
        taken.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()

    assert len(await read_body(pieces(), size)) == size
    assert taken[0] < 2 * size
