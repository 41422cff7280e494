"""Play servers that answer before they have read the request, and answers of no status."""

import asyncio
import contextlib

import pytest

from ..early_server import PART, UPLOAD, End, early_server
from .fleet import entry, fleet


@contextlib.asynccontextmanager
async def early_fleet(end, service="ledger", **answer):
    """Run a host whose only server of a service answers early."""
    async with (
        early_server(end, **answer) as address,
        fleet(engines=0, ledgers=0) as (system, caller),
    ):
        await system.store.put("servers", "early", entry(service, address))
        while "early" not in system.hosts[0].state.deployment.servers:
            await asyncio.sleep(0.01)
        yield caller


@pytest.mark.parametrize("end", [End.RESET, End.CLOSED, End.HALF_CLOSED, End.LEFT_OPEN])
async def test_early_answer_without_length_is_not_complete_before_its_request(end):
    async with early_fleet(end) as caller:
        _, status, headers, body = await caller.send("POST", "/pay/x", data=UPLOAD)
    # The last one is given up at the deadline or just before.
    assert status in ((502, 504) if end is End.LEFT_OPEN else (502,))
    assert "Retry-After" not in headers
    assert PART not in body


@pytest.mark.parametrize("end", [End.READ_ON, End.READ])
async def test_answer_without_length_is_complete_once_its_request_is_read(end):
    async with early_fleet(end) as caller:
        _, status, _, body = await caller.send("POST", "/pay/x", data=UPLOAD)
    assert (status, body) == (200, PART)


@pytest.mark.parametrize("framing", [b"", b"Content-Length: 14\r\n"])
@pytest.mark.parametrize("status", [b"000 None", b"099 None", b"600 None", b"999 None"])
async def test_answer_with_an_impossible_status_reaches_no_caller(status, framing):
    async with early_fleet(End.READ, status=status, framing=framing) as caller:
        _, found, headers, body = await caller.send("POST", "/pay/x", data=b"1")
    assert found == 502
    assert "X-Amaranthferry-Server-Signature" not in headers
    assert PART not in body


async def test_body_of_an_impossible_status_is_no_part_of_the_next_answer():
    final = b"HTTP/1.1 200 OK\r\nX-Amaranthferry-Server-Signature: s\r\n"
    framing = b"Content-Length: 4\r\n\r\nnone" + final + b"Content-Length: 14\r\n"
    async with early_fleet(End.READ, status=b"000 None", framing=framing) as caller:
        _, status, _, _ = await caller.send("POST", "/pay/x", data=b"1")
    assert status == 502
