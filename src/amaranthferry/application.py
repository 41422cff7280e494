"""Assemble one entry host from its parts, and start and stop them."""

import asyncio
import time
import uuid
from collections.abc import Callable
from typing import Self

import structlog
import uvicorn
from returns.result import Result

from .callers import CallerDirectory
from .claims import ClaimCommitter
from .config import Deployment, HostConfig
from .core import HostState
from .edge import Edge
from .engine import BackendClient
from .events import (
    CallerGone,
    DrainStarted,
    FreshnessChanged,
    MembersChanged,
    OrderDrainSeen,
    PeerLost,
    PeerReceived,
    RequestArrived,
    ServerStateSeen,
    SettingsApplied,
    Ticked,
)
from .exceptions import AmaranthferryError
from .exchange import Call, Exchange
from .follower import SettingsFollower
from .membership import Member, MembershipAgent
from .messages import Message
from .metrics import Metrics
from .objects import ObjectStore
from .orders import OrderReconciler
from .peers import PeerNetwork
from .performer import Performer
from .poller import Poller
from .presence import HostPresence
from .publish import ApplyResult, Author, set_drained
from .shell import Shell
from .status import HostStatus
from .supervision import keep_running
from .types import (
    HostId,
    RequestId,
    Seconds,
    ServerId,
    ServerState,
    ServerStateSource,
)

TICK_PERIOD: Seconds = 0.1
CLAIM_STOP_TIMEOUT: Seconds = 30.0
_log = structlog.get_logger()


class Application(Shell):
    """Own every part of an entry host, and start and stop them in order."""

    def __init__(
        self,
        cfg: HostConfig,
        store: ObjectStore,
        *,
        clock: Callable[[], Seconds] = time.monotonic,
    ) -> None:
        # The host accepts no work before the first settings arrive.
        deployment = Deployment(name="")
        self.cfg = cfg
        self.clock = clock
        self.store = store
        super().__init__(
            HostState(
                host=cfg.host, zone=cfg.zone, deployment=deployment, hosts=(cfg.host,)
            )
        )
        self.callers = CallerDirectory(deployment)
        self.metrics = Metrics.from_address(cfg.statsd_address)
        self.exchanges: dict[RequestId, Exchange] = {}
        self.backend = BackendClient(
            idle_timeout=deployment.limits.idle_timeout, clock=clock
        )
        self.claims = ClaimCommitter(store, cfg.host, deployment.limits)
        self.peers = PeerNetwork(
            cfg, on_message=self._receive, on_lost=self._handle_peer_lost
        )
        self.members = MembershipAgent(cfg, on_members=self._set_members)
        self._presence = HostPresence(
            store, cfg, on_addresses=self.members.set_candidates
        )
        self.settings = SettingsFollower(
            store,
            cfg,
            on_deployment=self._apply_settings,
            send=self.peers.send,
            clock=clock,
        )
        self._performer = Performer(self)
        self._poller = Poller(self)
        self._server: uvicorn.Server | None = None
        self._accepting = False
        self._idle = asyncio.Event()
        self._orders: OrderReconciler | None = None
        self.base_url = ""

    @classmethod
    def from_config(cls, cfg: HostConfig, store: ObjectStore) -> Self:
        """Create an entry host from its configuration."""
        return cls(cfg, store)

    async def start(self) -> None:
        """Start every part; the host accepts requests when this returns."""
        await self.backend.start()
        await self.peers.start()
        await self.members.start()
        await self._presence.start()
        self._orders = OrderReconciler(
            self.store,
            self.cfg.host,
            self.state.deployment,
            on_drain=self._drain_for_order,
        )
        await self._orders.start()
        await self.settings.start()
        await self._serve_http()
        self.spawn(keep_running(self._tick))
        self.spawn(self._poller.run())
        self._accepting = True
        _log.info("host.started", host=self.cfg.host, url=self.base_url)

    async def _serve_http(self) -> None:
        host, _, port = self.cfg.http_address.rpartition(":")
        config = uvicorn.Config(
            Edge(self).build(),
            host=host,
            port=int(port),
            log_config=None,
            log_level="critical",
            access_log=False,
            lifespan="off",
            http="httptools",
            timeout_graceful_shutdown=None,
        )
        config.load()
        server = uvicorn.Server(config)
        server.lifespan = config.lifespan_class(config)
        await server.startup()
        self._server = server
        # Only the main loop of serve() runs: the daemon handles the signals.
        self.spawn(server.main_loop())
        bound = server.servers[0].sockets[0].getsockname()
        self.base_url = f"http://{bound[0]}:{bound[1]}"

    async def drain(self) -> None:
        """Refuse new requests, hand over the coordinator role and finish open ones."""
        self._accepting = False
        self.members.begin_drain()
        self.handle(DrainStarted(now=self.clock()))
        _log.info("host.draining", host=self.cfg.host, requests=len(self.exchanges))
        self.finish_drain_if_idle()
        await self._idle.wait()
        await self.claims.stop(timeout=CLAIM_STOP_TIMEOUT)
        await self.members.leave()
        await self._presence.stop()
        _log.info("host.drained", host=self.cfg.host)

    def finish_drain_if_idle(self) -> None:
        """Complete the drain if this host is draining and no exchange is open."""
        if not self._accepting and not self.exchanges:
            self._idle.set()

    async def stop(self) -> None:
        """Stop every part; open requests are aborted."""
        self._accepting = False
        if self._server is not None:
            self._server.force_exit = True
            await self._server.shutdown()
        await self._cancel_tasks()
        if self._orders is not None:
            await self._orders.stop()
        await self.settings.stop()
        self.claims.abort()
        await self._presence.abort()
        await self.members.stop()
        await self.peers.stop()
        await self.backend.stop()
        _log.info("host.stopped", host=self.cfg.host)

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send new requests to this host."""
        has_settings = self.state.deployment.version > 0
        return self._accepting and has_settings and self.state.settings_current

    def new_request_id(self) -> RequestId:
        """Return a new, unique request id."""
        return RequestId(uuid.uuid4().hex)

    def accept(self, arrival: RequestArrived, call: Call) -> Exchange:
        """Accept a valid request and return its exchange."""
        limits = self.state.deployment.limits
        keyed = bool(arrival.idempotency_key)
        record_limit = limits.max_answer_record if keyed else 0
        exchange = Exchange(call, record_limit=record_limit)
        self.exchanges[call.request_id] = exchange
        self.handle(arrival)
        return exchange

    def handle_disconnect(self, request_id: RequestId) -> None:
        """Handle the disconnection of a request's caller."""
        self.handle(CallerGone(now=self.clock(), request_id=request_id))

    def _set_members(self, members: tuple[Member, ...]) -> None:
        self.peers.set_addresses({member.host: member.address for member in members})
        changed = MembersChanged(
            now=self.clock(),
            hosts=tuple(member.host for member in members),
            draining=tuple(member.host for member in members if member.draining),
            capacities={member.host: member.capacity for member in members},
        )
        self.handle(changed)
        self.claims.set_host_count(len(members))
        if self._orders is not None:
            self._orders.set_hosts(changed.hosts)
        self.settings.set_peers({m.host: m.settings_version for m in members})

    def _apply_settings(self, deployment: Deployment) -> None:
        """Apply a newer deployment to this host."""
        self.handle(SettingsApplied(now=self.clock(), deployment=deployment))
        if self.state.deployment.version == deployment.version:
            self.callers = CallerDirectory(deployment)
            self.backend.idle_timeout = deployment.limits.idle_timeout
            self.claims.cfg = deployment.limits
            if self._orders is not None:
                self._orders.apply_settings(deployment)
            self.members.set_settings_version(deployment.version)

    async def set_drained(
        self, server: ServerId, *, drained: bool, author: Author
    ) -> Result[ApplyResult, AmaranthferryError]:
        """Drain or restore a server on behalf of an operator.

        Running hosts are notified at once; hosts that start later read it from the
        settings.
        """
        state = ServerState.LEAVING if drained else ServerState.LIVE
        self.record_server_state(server, state, ServerStateSource.OPERATOR)
        return await set_drained(self.store, (server,), author, drained=drained)

    def record_server_state(
        self, server: ServerId, state: ServerState, source: ServerStateSource
    ) -> None:
        """Record a state that a source reports for a backend server."""
        seen = ServerStateSeen(
            now=self.clock(), server=server, state=state, source=source
        )
        self.handle(seen)

    def _drain_for_order(self, server: ServerId, draining: bool) -> None:
        state = ServerState.LEAVING if draining else ServerState.LIVE
        drained = OrderDrainSeen(now=self.clock(), server=server, state=state)
        self.handle(drained)

    def status(self) -> HostStatus:
        """Describe this host to operators."""
        return HostStatus.from_state(self.state, url=self.base_url)

    def _handle_peer_lost(self, host: HostId) -> None:
        self.handle(PeerLost(now=self.clock(), host=host))

    def _receive(self, sender: HostId, message: Message) -> None:
        if self.settings.receive(sender, message):
            return
        received = PeerReceived(now=self.clock(), sender=sender, message=message)
        self.handle(received)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_PERIOD)
            self._check_freshness()
            self.handle(Ticked(now=self.clock()))

    def _check_freshness(self) -> None:
        current = self.settings.is_current()
        if current is not self.state.settings_current:
            _log.warning("settings.freshness_changed", current=current)
            self.handle(FreshnessChanged(now=self.clock(), current=current))
