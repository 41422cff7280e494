import asyncio

import pytest

from amaranthferry import core
from amaranthferry.events import Ticked
from amaranthferry.membership import MembershipAgent
from amaranthferry.peers import PeerNetwork
from amaranthferry.platform import headers
from amaranthferry.replica.caches import ConfigCache
from amaranthferry.replica.watching import KindReader

from .fleet import config, fleet


class FailsOnce:
    """Wrap a function so that its first call of interest raises an error."""

    def __init__(self, function, matches=lambda *args: True):
        self._function, self._matches = function, matches
        self.failed = False

    def __call__(self, *args, **kwargs):
        if not self.failed and self._matches(*args):
            self.failed = True
            raise RuntimeError("unexpected")
        return self._function(*args, **kwargs)

    def __get__(self, instance, owner):
        return lambda *args, **kwargs: self(instance, *args, **kwargs)


async def until(condition, *, seconds=5):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


async def test_host_keeps_ticking_after_an_unexpected_error(monkeypatch):
    async with fleet() as (system, caller):
        failing = FailsOnce(core.reduce, lambda state, event: isinstance(event, Ticked))
        monkeypatch.setattr(core, "reduce", failing)
        await until(lambda: failing.failed)
        failed_at = system.hosts[0].clock()
        state = system.hosts[0].state
        await until(lambda: (state.ticked_at or 0) > failed_at + 0.2)
        assert (await caller.send_prompt())[1] == 200


async def test_host_follows_changes_after_an_unexpected_error(monkeypatch):
    async with fleet() as (system, caller):
        failing = FailsOnce(ConfigCache.apply)
        monkeypatch.setattr(ConfigCache, "apply", failing)
        await system.store.put("config", "main", config(2))
        await until(lambda: failing.failed)
        await system.store.put("config", "main", config(3))
        await until(lambda: system.hosts[0].config.version == 3)


@pytest.mark.parametrize("kind", ["config", "servers"])
async def test_host_that_keeps_failing_to_follow_the_store_is_not_ready(
    kind, monkeypatch
):
    async with fleet() as (system, caller):
        host = system.hosts[0]
        await until(lambda: host.is_ready)

        def fail(reader, wait=0.0):
            if reader is host.syncs[kind]._reader:
                raise RuntimeError("unexpected")
            return read(reader, wait)

        read = KindReader.read
        monkeypatch.setattr(KindReader, "read", fail)
        await until(lambda: not host.is_ready)
        monkeypatch.setattr(KindReader, "read", read)
        await until(lambda: host.is_ready)


async def test_lost_host_is_noticed_after_an_unexpected_error(monkeypatch):
    async with fleet(hosts=2) as (system, caller):
        first, second = system.hosts
        await until(lambda: all(len(h.state.hosts) == 2 for h in system.hosts))
        failing = FailsOnce(
            MembershipAgent._send, lambda agent, *args: agent is first._members
        )
        monkeypatch.setattr(MembershipAgent, "_send", failing)
        await until(lambda: failing.failed)
        await second.stop()
        await until(lambda: len(first.state.hosts) == 1, seconds=20)


async def test_silent_connections_are_noticed_after_an_unexpected_error(monkeypatch):
    async with fleet(hosts=2) as (system, caller):
        await until(lambda: all(len(h.state.hosts) == 2 for h in system.hosts))
        failing = FailsOnce(PeerNetwork._tick)
        monkeypatch.setattr(PeerNetwork, "_tick", failing)
        await until(lambda: failing.failed)
        await asyncio.sleep(0.5)
        assert not any(host.peers._ticker.done() for host in system.hosts)


async def test_caller_is_answered_at_once_after_an_unexpected_error(monkeypatch):
    async with fleet() as (system, caller):
        failing = FailsOnce(headers.read_answer_origin)
        monkeypatch.setattr(headers, "read_answer_origin", failing)
        began = asyncio.get_running_loop().time()
        attempt, status, *_ = await caller.send("POST", "/pay/x", data=b"1")
        assert asyncio.get_running_loop().time() - began < 0.5
        assert status == 502
        assert len(system.servers_that_ran(attempt)) == 1
        assert (await caller.send("POST", "/pay/x", data=b"1"))[1] == 200
