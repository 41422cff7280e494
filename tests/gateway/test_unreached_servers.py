"""Check what callers are told whose request has reached no server.

Each answer other than 429 or 503 would say that the request may have run.
"""

import asyncio

import pytest

from amaranthferry.gateway import dispatching
from amaranthferry.http_connection import HttpConnection

from .fleet import fleet


async def warm_up(caller):
    """Wait until the host serves requests."""
    async with asyncio.timeout(5):
        while (await caller.send("POST", "/pay/x", data=b"1"))[1] != 200:
            await asyncio.sleep(0.05)


def stall_connections(monkeypatch):
    """Let no connection to a server be established or fail."""

    async def open_nothing(cls, address, *, timeout):
        await asyncio.sleep(3_600)

    monkeypatch.setattr(HttpConnection, "open", classmethod(open_nothing))


def assert_not_run(status, headers):
    assert status in (429, 503)
    assert float(headers["Retry-After"]) > 0


async def test_deadline_that_passes_while_connecting_is_told_as_not_run(monkeypatch):
    async with fleet() as (system, caller):
        await warm_up(caller)
        stall_connections(monkeypatch)
        _, status, headers, _ = await caller.send(
            "POST", "/pay/x", data=b"1", deadline=0.2
        )
        assert_not_run(status, headers)
        assert not system.hosts[0].state.requests


async def test_host_that_stops_while_connecting_tells_not_run(monkeypatch):
    async with fleet() as (system, caller):
        await warm_up(caller)
        stall_connections(monkeypatch)
        host = system.hosts[0]
        sending = asyncio.create_task(caller.send("POST", "/pay/x", data=b"1"))
        async with asyncio.timeout(5):
            while not host.exchanges:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        for exchange in list(host.exchanges.values()):
            host._performer.end_for_stop(exchange)
        _, status, headers, _ = await sending
        assert_not_run(status, headers)


async def test_error_before_a_request_is_sent_is_told_as_not_run(monkeypatch):
    async with fleet() as (_, caller):
        await warm_up(caller)

        def fail(*args, **kwargs):
            raise RuntimeError("unexpected")

        monkeypatch.setattr(dispatching.headers, "request_headers", fail)
        _, status, headers, _ = await caller.send("POST", "/pay/x", data=b"1")
        assert_not_run(status, headers)


@pytest.mark.parametrize("closing", ["aborted", "closing"])
async def test_connection_that_closes_before_a_request_is_sent_is_told_as_not_run(
    closing, monkeypatch
):
    open_conn = HttpConnection.open

    async def open_closed(cls, address, *, timeout):
        conn = await open_conn(address, timeout=timeout)
        conn.abort()
        if closing == "aborted":
            await asyncio.sleep(0.01)
        return conn

    async with fleet() as (system, caller):
        await warm_up(caller)
        monkeypatch.setattr(HttpConnection, "open", classmethod(open_closed))
        attempt, status, headers, _ = await caller.send("POST", "/pay/x", data=b"1")
        assert_not_run(status, headers)
        assert not system.servers_that_ran(attempt)
