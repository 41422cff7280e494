"""Poll the backend servers of the shards that this host coordinates."""

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import structlog

from .config import BackendServer
from .events import CacheEventSeen, LoadReported
from .exceptions import DECODE_ERRORS, AmaranthferryError
from .objects import HostListClient
from .shards import servers_of
from .types import (
    PoolKind,
    Seconds,
    ServerId,
    ServerState,
    ServerStateSource,
    ShardId,
)

if TYPE_CHECKING:
    from .application import Application

POLL_PERIOD: Seconds = 1.0
_log = structlog.get_logger()


class LoadBody(msgspec.Struct):
    """Define an engine's load report; `age` is in seconds."""

    running: int = 0
    waiting: int = 0
    kv_tokens: int = 0
    age: float = 0.0
    leaving: bool = False


class CacheEvent(msgspec.Struct):
    """Define one of an engine's cache events."""

    seq: int
    stored: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()


class CacheBody(msgspec.Struct):
    """Define an engine's list of cache events."""

    events: list[CacheEvent] = []


class Poller:
    """Poll servers and the host list, and turn their reports into events."""

    def __init__(self, app: "Application") -> None:
        self._app = app
        self._last_cache_seq: dict[ServerId, int] = {}
        self._host_list = HostListClient(app.cfg.platform_url)

    async def run(self) -> None:
        """Poll until the application stops."""
        await self._host_list.start()
        try:
            while True:
                await self._poll_safely()
                await asyncio.sleep(POLL_PERIOD)
        finally:
            await self._host_list.stop()

    async def _poll_safely(self) -> None:
        # A malformed report from one server must not stop the polling of the others.
        try:
            await self._poll()
        except Exception:
            _log.exception("poll.failed")

    async def _poll(self) -> None:
        servers = self._polled_servers()
        engines = [server for server in servers if self._is_engine(server)]
        await asyncio.gather(*(self._poll_engine(server) for server in engines))
        if servers:
            await self._poll_host_list()

    def _polled_servers(self) -> tuple[BackendServer, ...]:
        # The successor polls too, so that reports survive a loss of the coordinator.
        state = self._app.state
        shards = {*state.coordinators, *state.fallbacks, *self._successor_shards()}
        return tuple(
            server
            for shard in sorted(shards)
            for server in servers_of(state.deployment, shard)
        )

    def _successor_shards(self) -> list[ShardId]:
        state = self._app.state
        return [
            s for s in state.coordinator_hosts() if state.successor_of(s) == state.host
        ]

    def _is_engine(self, server: BackendServer) -> bool:
        pool = self._app.state.deployment.pools[server.pool]
        return pool.kind is PoolKind.ENGINE

    async def _poll_engine(self, server: BackendServer) -> None:
        try:
            load = await self._app.backend.get_json(server, "/load")
            after = self._last_cache_seq.get(server.name, 0)
            cache = await self._app.backend.get_json(
                server, f"/cache-events?after={after}"
            )
        except aiohttp.ClientPayloadError as exc:
            _log.warning("engine.report_unread", server=server.name, problem=str(exc))
            return
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        try:
            self._report_load(server, msgspec.json.decode(load, type=LoadBody))
            self._report_cache_events(
                server, msgspec.json.decode(cache, type=CacheBody)
            )
        except DECODE_ERRORS:
            _log.warning("engine.report_invalid", server=server.name)

    def _report_load(self, server: BackendServer, load: LoadBody) -> None:
        reported = LoadReported(
            now=self._app.clock(),
            server=server.name,
            running=load.running,
            waiting=load.waiting,
            kv_tokens=load.kv_tokens,
            age=load.age,
        )
        self._app.handle(reported)
        state = ServerState.LEAVING if load.leaving else ServerState.LIVE
        self._report_state(server.name, state, ServerStateSource.SELF)

    def _report_cache_events(self, server: BackendServer, cache: CacheBody) -> None:
        for event in cache.events:
            self._last_cache_seq[server.name] = event.seq
            seen = CacheEventSeen(
                now=self._app.clock(),
                server=server.name,
                stored=event.stored,
                dropped=event.dropped,
            )
            self._app.handle(seen)

    async def _poll_host_list(self) -> None:
        try:
            listed = await self._host_list.servers()
        except AmaranthferryError:
            return
        for entry in listed:
            if entry.name in self._app.state.deployment.servers:
                self._report_state(entry.name, entry.state, ServerStateSource.HOST_LIST)

    def _report_state(
        self, server: ServerId, state: ServerState, source: ServerStateSource
    ) -> None:
        previous = self._app.state.server_reports.get(server, {}).get(source)
        if previous is not state and (previous or state is not ServerState.LIVE):
            self._app.record_server_state(server, state, source)
