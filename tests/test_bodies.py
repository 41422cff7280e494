import asyncio

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
