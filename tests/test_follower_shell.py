import asyncio

import pytest

from amaranthferry import follower as shell
from amaranthferry import follower_reducer, follower_state, publish
from amaranthferry.config import HostConfig
from amaranthferry.messages import PermitWithdraw
from amaranthferry.objects import HttpObjectStore, MemoryObjectStore
from amaranthferry.standins.objects import ObjectStandIn
from amaranthferry.standins.serving import serve

from .settings_fakes import author, deployment_of, with_weight

FIRST = deployment_of()
SECOND = with_weight(FIRST, "workspace-00001", 2.0)


class Host:
    """Run one follower and wait for the versions that it applies."""

    def __init__(self, store, name, hosts, *, seeds=()):
        self.hosts = hosts
        self.changed = asyncio.Event()
        cfg = HostConfig(name, "z", "a:1", "a:2", "http://p", "key", seeds)
        self.follower = shell.SettingsFollower(
            store,
            cfg,
            on_deployment=lambda deployment: self.changed.set(),
            send=lambda host, message: asyncio.get_running_loop().call_soon(
                hosts[host].follower.receive, name, message
            ),
        )
        hosts[name] = self

    async def wait_for_version(self, version):
        async with asyncio.timeout(10.0):
            while self.follower.version < version:
                self.changed.clear()
                await self.changed.wait()


@pytest.fixture
def short_intervals(monkeypatch):
    monkeypatch.setattr(shell, "TICK_INTERVAL", 0.01)
    monkeypatch.setattr(follower_state, "MIN_READ_INTERVAL", 0.01)
    monkeypatch.setattr(follower_reducer, "MIN_READ_INTERVAL", 0.01)
    monkeypatch.setattr(follower_reducer, "JOIN_TIMEOUT", 0.1)
    monkeypatch.setattr(shell, "WATCH_MARGIN", 0.02)
    monkeypatch.setattr(follower_reducer, "WATCH_TIMEOUT", 0.02)


async def test_applies_changes_and_returns_recent_audit_entries_in_an_outage(
    short_intervals,
):
    store = MemoryObjectStore()
    host = Host(store, "h1", {})
    await host.follower.start()
    (await publish.apply(store, FIRST, author("ana"))).unwrap()
    await host.wait_for_version(1)
    (await publish.apply(store, SECOND, author("bo"))).unwrap()
    await host.wait_for_version(2)
    store.outage = True
    assert [entry.who for entry in host.follower.recent_entries] == ["ana", "bo"]
    assert host.follower.is_current()
    assert host.follower.deployment.workspaces == SECOND.workspaces
    assert not host.follower.receive("h2", PermitWithdraw("r", "s"))
    await host.follower.stop()


async def test_new_host_starts_from_a_peer_in_an_outage(short_intervals):
    store, hosts = MemoryObjectStore(), {}
    first = Host(store, "h1", hosts, seeds=("10.0.0.2:1",))
    second = Host(store, "h2", hosts, seeds=("10.0.0.1:1",))
    (await publish.apply(store, FIRST, author("ana"))).unwrap()
    await first.follower.start()
    await first.wait_for_version(1)
    store.outage = True
    await second.follower.start()
    second.follower.set_peers({"h1": 1, "h2": 0})
    await second.wait_for_version(1)
    await first.follower.stop()
    await second.follower.stop()


async def test_unanswered_watch_times_out_and_is_retried(short_intervals):
    """The first two watches never answer, as on an unresponsive connection."""
    store = MemoryObjectStore()
    (await publish.apply(store, FIRST, author("ana"))).unwrap()
    host = Host(store, "h1", {})
    watch, unanswered = store.watch, iter(range(2))

    async def leave_watch_unanswered(prefix, *, since, timeout):
        if next(unanswered, None) is not None:
            await asyncio.Event().wait()
        return await watch(prefix, since=since, timeout=timeout)

    store.watch = leave_watch_unanswered
    await host.follower.start()
    await host.wait_for_version(1)
    (await publish.apply(store, SECOND, author("bo"))).unwrap()
    await host.wait_for_version(2)
    await host.follower.stop()


async def test_unresponsive_connections_are_replaced(short_intervals, monkeypatch):
    """Open connections over loopback stop responding for good; new ones work."""
    monkeypatch.setattr(follower_reducer, "WATCH_TIMEOUT", 0.2)
    standin = ObjectStandIn()
    async with (
        serve(standin.app) as url,
        HttpObjectStore(url) as store,
    ):
        async with HttpObjectStore(url) as operator:
            (await publish.apply(operator, FIRST, author("ana"))).unwrap()
        host = Host(store, "h1", {})
        await host.follower.start()
        await host.wait_for_version(1)
        standin.stall_connections()
        async with HttpObjectStore(url) as operator:
            (await publish.apply(operator, SECOND, author("bo"))).unwrap()
        await host.wait_for_version(2)
        await host.follower.stop()


async def test_callback_error_does_not_propagate_to_the_peer_connection(
    short_intervals,
):
    """The callback fails while a chunk from a peer is handled."""
    store, hosts, unhandled = MemoryObjectStore(), {}, []
    handler = asyncio.get_running_loop().set_exception_handler
    handler(lambda loop, context: unhandled.append(context))
    first = Host(store, "h1", hosts)
    second = Host(store, "h2", hosts, seeds=("10.0.0.1:1",))
    (await publish.apply(store, FIRST, author("ana"))).unwrap()
    await first.follower.start()
    await first.wait_for_version(1)
    store.outage = True
    called = asyncio.Event()

    def fail(deployment):
        called.set()
        raise RuntimeError("callback failed")

    second.follower._on_deployment = fail
    await second.follower.start()
    second.follower.set_peers({"h1": 1, "h2": 0})
    async with asyncio.timeout(10.0):
        await called.wait()
    assert first.follower.is_current()
    assert not second.follower.is_current()
    await first.follower.stop()
    await second.follower.stop()
    handler(None)
    assert unhandled == []
