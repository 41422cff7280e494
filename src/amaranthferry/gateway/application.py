"""Run one entry host for routed requests: its components and their life cycle."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Self

import msgspec
import structlog

from ..catalog import BudgetLimits, deployment_of
from ..config import Deployment, HostConfig
from ..contention.connections import IdleConnections
from ..core import HostState
from ..events import (
    CallerGone,
    DrainStarted,
    GraceEnding,
    MembersChanged,
    PeerLost,
    PeerReceived,
    RequestArrived,
    SettingsApplied,
    Ticked,
)
from ..http_connection import HttpConnection
from ..intake.accounting import Intake
from ..intake.state import IntakeLimits, Port
from ..membership import Member, MembershipAgent
from ..memory import AnswerMemory, BodyMemory, MemoryBudget
from ..messages import Message, StoreUpdate, StoreUpdateRequest
from ..peers import PeerNetwork
from ..platform.desired import CONFIG_KIND, ROLLOUT_KIND, SERVER_KIND, read_order
from ..platform.settings import Bounds, HostSettings
from ..platform.store import StoreClient
from ..replica.budget import AgeBudget
from ..replica.caches import ConfigCache, ServerCache
from ..replica.freshness import Freshness, boot_time
from ..replica.presence import HostDirectory, HostEntry
from ..replica.store_sync import StoreSync
from ..replica.watching import KindReader, SyncState
from ..rollout.agent import RolloutAgent
from ..rollout.gate import VersionsChanged
from ..rollout.messages import RolloutReport, RolloutStep
from ..rollout.store import RolloutStore, contents_of
from ..running import can_rerun
from ..shards import capable_hosts
from ..shell import Shell
from ..supervision import keep_running
from ..types import HostId, Position, RequestId, Seconds, ShardId, StoreEra
from .decisions import log_waiting
from .dispatching import RoutedCall
from .edge import Edge, Receive, Scope, Send
from .exchange import RoutedExchange
from .flow import ConnectionLimits
from .footprint import Footprint, process_descriptors
from .intake_reports import IntakeReports
from .joining import JoiningHosts
from .lateness import Lateness
from .listener import Application, Listener
from .log_events import LogEvent
from .operator_api import OperatorApi, answer
from .options import HostOptions
from .patience import AnswerTimes
from .performer import Performer
from .stopping import StopPlan
from .telemetry import Telemetry

if TYPE_CHECKING:
    from ..hedging.runs import Hedger

TICK_PERIOD: Seconds = 0.05
#: Time without a message after which a coordinator is no longer waited for.
COORDINATOR_TIMEOUT: Seconds = 0.35
#: Wait of one watch; a silent one delays the notice of a change by at most the period
#: of the short reads that confirm the state. The platform allows 30 s.
WATCH_WAIT: Seconds = 28.0
#: Time that a request waits for a starting host to load its state.
INITIALIZATION_TIMEOUT: Seconds = 1.0
#: Time in which a starting host asks others for the version in force, and the pause
#: between two attempts. Without an answer it serves by what the store says.
COMPARISON_TIMEOUT: Seconds = 0.8
COMPARISON_PAUSE: Seconds = 0.05
#: Fractions of the repeat budget that the hosts share; bursts, refills and the ratio
#: may use them.
BURST_FRACTION = 0.4
REFILL_FRACTION = 0.4
RATIO_FRACTION = 0.5
#: Interval between the log lines about what waits at this host.
WAITING_LOG_PERIOD: Seconds = 0.5
#: Link that fills up as a whole core of decisions is used.
LINK_MBPS_PER_CORE = 10.0
_log = structlog.get_logger(__name__)


def capacity_of(settings: HostSettings) -> float:
    """Return how many cores' worth of decisions a host can make and send."""
    if settings.link_mbps <= 0:
        return settings.processor
    return min(settings.processor, settings.link_mbps / LINK_MBPS_PER_CORE)


def budget_limits_of(bounds: Bounds, hosts: int) -> BudgetLimits:
    """Return the part of the common budgets that one of `hosts` hosts may use.

    A host can't repeat a part of a request, so its burst is one at least, as long as
    the bursts and the refills of all hosts stay within the extra repeats.
    """
    burst = bounds.retry_extra * BURST_FRACTION
    if hosts <= bounds.retry_extra * (1.0 - REFILL_FRACTION):
        burst = max(burst, float(hosts))
    refill = bounds.retry_extra * REFILL_FRACTION
    return BudgetLimits(
        hosts=hosts,
        repeat_ratio=bounds.retry_ratio * RATIO_FRACTION,
        repeat_burst=burst / hosts,
        repeat_refill=refill / hosts / bounds.retry_window,
        quota_window=bounds.quota_window,
        quota_overage=bounds.quota_overage,
        quota_slack=bounds.quota_slack,
    )


def _each(*states: SyncState) -> Callable[[Position, Seconds], None]:
    """Return a function that has each of some states confirmed by another's read."""

    def confirm(found: Position, sent: Seconds) -> None:
        for state in states:
            state.confirm_unchanged(found, sent)

    return confirm


class Gateway(Shell):
    """Run an entry host for routed requests with all its components."""

    _performer: Performer

    def __init__(
        self, settings: HostSettings, options: HostOptions | None = None
    ) -> None:
        self.settings = settings
        self.options = options or HostOptions()
        self.clock = boot_time
        super().__init__(
            HostState(
                host=settings.host,
                zone=settings.zone,
                deployment=Deployment(name=""),
                hosts=(settings.host,),
                coordinator_timeout=COORDINATOR_TIMEOUT,
            )
        )
        self.exchanges: dict[RequestId, RoutedExchange] = {}
        self.config = ConfigCache(self._apply_config)
        self.age_budget = AgeBudget.from_bounds(
            apply=settings.bounds.apply, revoke=settings.bounds.revoke
        )
        self.freshness = Freshness(settings.bounds.revoke, self.age_budget)
        self.servers = ServerCache(self._apply_deployment, heartbeat=settings.heartbeat)
        self.peers: PeerNetwork | None = None
        self.telemetry = Telemetry()
        self.lateness = Lateness(self.clock())
        intake = self.options.intake
        self._memory_budget = MemoryBudget.from_limit(
            settings.memory, intake.memory_share
        )
        limits = IntakeLimits.from_budget(
            self._memory_budget,
            descriptors=settings.max_descriptors or process_descriptors(),
            descriptor_share=intake.descriptor_share,
        )
        reports = IntakeReports(self.telemetry, self.clock)
        self.intake = Intake(
            limits, reports.record_ended, on_refused=reports.record_refused
        )
        self.answers = AnswerMemory(self._memory_budget.answers)
        self.answer_times = AnswerTimes()
        #: Connections to servers that wait for another request.
        self.connections = IdleConnections[HttpConnection]()
        self.bodies = BodyMemory(self._memory_budget.bodies)
        self._footprint = Footprint(settings.memory)
        #: The key that the hosts share; empty until it has been read.
        self.peer_key = ""
        self.stopping = False
        self.refusing = False
        self._stop_plan: StopPlan | None = None
        self._store = StoreClient(settings.store)
        self._store.on_era = self._handle_store_era
        self._peer_address = f"{settings.address}:{settings.ports[0]}"
        self._directory = HostDirectory(
            self._store,
            settings.host,
            HostEntry(self._peer_address, capacity_of(settings)),
            on_hosts=self._set_listed_hosts,
            has_peers=self._has_found_members,
        )
        self._members: MembershipAgent | None = None
        self._joining = JoiningHosts(boot_time())
        self._found_members: tuple[dict[HostId, str], tuple[HostId, ...]] = ({}, ())
        self._has_host_list = False
        self._capacities = {settings.host: capacity_of(settings)}
        self._found: dict[HostId, str] = {}
        self._started_at = boot_time()
        self._initialized = asyncio.Event()
        self._is_checking = False
        self._keys_current = False
        self._waiting_logged_at: Seconds = 0.0
        self._roles: tuple[dict[ShardId, HostId], tuple[ShardId, ...]] = ({}, ())
        self._performer = Performer(self)
        self.rollouts = self._create_rollouts()
        self.hedger = self._create_hedger()
        self.syncs = self._create_syncs()
        self._edge = Edge(self)
        self._frontend = self._listener(self._edge, settings.frontend, Port.CALLERS)
        self._readiness = self._listener(
            self._answer_readiness, settings.readiness, Port.READINESS
        )
        # The deployment file refers to the last port of the range for metrics.
        metrics_address = f"{settings.address}:{settings.ports[1]}"
        self._metrics = self._listener(OperatorApi(self), metrics_address, Port.METRICS)
        self._idle = asyncio.Event()
        self._sequence = 0

    @classmethod
    def from_config(
        cls, settings: HostSettings, options: HostOptions | None = None
    ) -> Self:
        """Build an entry host from its settings and the operator's options."""
        return cls(settings, options)

    def _listener(self, application: Application, address: str, port: Port) -> Listener:
        limits = ConnectionLimits(unread=self.options.intake.unread_s)
        return Listener(
            application, address, port=port, intake=self.intake, limits=limits
        )

    def _create_hedger(self) -> "Hedger | None":
        cfg = self.options.hedging
        if not cfg.enabled:
            return None
        # Hosts without hedging don't load it.
        from ..hedging.runs import Hedger

        return Hedger(self, cfg.limit)

    def _create_syncs(self) -> dict[str, StoreSync]:
        max_kept_bytes = self._memory_budget.kept_changes
        config = SyncState(
            CONFIG_KIND, self.config, self.freshness, max_kept_bytes=max_kept_bytes
        )
        servers = SyncState(
            SERVER_KIND,
            self.servers,
            Freshness(self.settings.bounds.revoke, self.age_budget),
            max_kept_bytes=max_kept_bytes,
        )
        states = (config, servers, *self._rollout_states(max_kept_bytes))
        readers = {state.kind: KindReader(self._store, state) for state in states}
        readers[CONFIG_KIND].on_read = servers.confirm_unchanged
        readers[SERVER_KIND].on_read = config.confirm_unchanged
        for state in states[2:]:
            readers[CONFIG_KIND].on_read = _each(servers, state)
            readers[SERVER_KIND].on_read = _each(config, state)
        return {
            state.kind: StoreSync(
                self.settings.host,
                state,
                readers[state.kind],
                self._send,
                wait=WATCH_WAIT,
                budget=self.age_budget,
                order=order,
            )
            for order, state in enumerate(states)
        }

    def _create_rollouts(self) -> RolloutAgent | None:
        """Return what follows the operator's orders, where rollouts are enabled."""
        if not self.settings.rollouts:
            return None
        return RolloutAgent(
            self.state,
            self.settings.bounds,
            read=read_order,
            store=RolloutStore(self._store),
            send=self._send,
            spawn=self.spawn,
            refresh=self._apply_deployment,
            clock=self.clock,
        )

    def _rollout_states(self, max_kept_bytes: int) -> tuple[SyncState, ...]:
        if self.rollouts is None:
            return ()
        freshness = Freshness(self.settings.bounds.revoke, self.age_budget)
        state = SyncState(
            ROLLOUT_KIND,
            self.rollouts.cache,
            freshness,
            max_kept_bytes=max_kept_bytes,
            contents_of=contents_of,
        )
        return (state,)

    def _send(self, host: HostId, message: Message) -> bool:
        return self.peers is not None and self.peers.send(host, message)

    async def start(self) -> None:
        """Start the listeners and the synchronization with the store."""
        _log.info(LogEvent.HOST_STARTING, zone=self.settings.zone)
        await self._readiness.start()
        await self._frontend.start()
        await self._metrics.start()
        for sync in self.syncs.values():
            self.spawn(keep_running(sync.run))
        self.spawn(keep_running(self._join))
        self.spawn(keep_running(self._tick))

    async def _join(self) -> None:
        """Join the other hosts once the shared peer key has been read.

        A restored store may hold another key; the hosts then join again with that one.
        """
        while True:
            await self._close_peers()
            await self._open_peers(await self._directory.peer_key())
            await self._directory.run()

    async def _open_peers(self, key: str) -> None:
        self.peer_key = key
        cfg = HostConfig(
            host=self.settings.host,
            zone=self.settings.zone,
            http_address=self.settings.frontend,
            peer_address=self._peer_address,
            platform_url=self.settings.store,
            peer_key=key,
            capacity=capacity_of(self.settings),
        )
        self._joining.restart(self.clock())
        self.peers = PeerNetwork(
            cfg, on_message=self._receive, on_lost=self._handle_peer_lost
        )
        await self.peers.start()
        self._members = MembershipAgent(cfg, on_members=self._set_members)
        await self._members.start()
        self._members.set_candidates(tuple(self._joining.listed.values()))

    def _has_found_members(self) -> bool:
        return self._members is not None and len(self._members.members) > 1

    async def _close_peers(self) -> None:
        if self._members is not None:
            await self._members.stop()
        if self.peers is not None:
            await self.peers.stop()
        self._members = self.peers = None

    def _handle_store_era(self, old: StoreEra, new: StoreEra) -> None:
        """Have the directory check what this host wrote to a restored store."""
        _log.warning(LogEvent.STORE_ERA_SEEN, era=new, old_era=old)
        self._directory.handle_restored()

    async def drain(self) -> None:
        """Hand over the coordinator role and finish requests in the grace period."""
        plan = StopPlan.from_grace(self.clock(), self.settings.bounds.grace)
        self._stop_plan = plan
        self.stopping = True
        _log.info(LogEvent.HOST_DRAINING, requests=len(self.exchanges))
        if self._members is not None:
            self._members.begin_drain()
        self.handle(DrainStarted(now=self.clock(), refuse_new=False))
        await asyncio.sleep(plan.refuses_at - self.clock())
        # A request that arrives now could exceed the grace period; others serve it.
        self.refusing = True
        self._frontend.close_idle()
        await self._finish_requests(plan)
        if self._members is not None:
            await self._members.leave()

    async def _finish_requests(self, plan: StopPlan) -> None:
        """Wait for the requests; answer those that don't end in the grace period."""
        if await self._wait_idle(plan.hands_back_at):
            return
        self._hand_back(plan)
        if await self._wait_idle(plan.ends_at):
            return
        _log.warning(LogEvent.HOST_CUT_OFF, requests=self._edge.open_requests)
        self._hand_back(plan)
        self._edge.stop_reading()
        for exchange in list(self.exchanges.values()):
            self._performer.end_for_stop(exchange)

    def _hand_back(self, plan: StopPlan) -> None:
        """Refuse what waits and might not end in time."""
        self.handle(GraceEnding(now=self.clock(), ends_at=plan.ends_at))

    def admits(self, deadline: Seconds) -> bool:
        """Return whether a request that has arrived as a whole may be taken."""
        plan = self._stop_plan
        return plan is None or plan.admits(self.clock(), deadline=deadline)

    async def _wait_idle(self, until: Seconds) -> bool:
        """Wait until no request is left; return False if a time comes first."""
        try:
            async with asyncio.timeout(until - self.clock()):
                while not self._is_idle:
                    self._idle.clear()
                    await self._idle.wait()
        except TimeoutError:
            return False
        return True

    @property
    def _is_idle(self) -> bool:
        return not self.exchanges and not self._edge.open_requests

    def check_idle(self) -> None:
        """Let a planned stop go on once no request is left."""
        if self._is_idle:
            self._idle.set()

    async def stop(self) -> None:
        """Stop every component and abort the requests that still run."""
        await self._frontend.finish()
        await self._cancel_tasks()
        self.connections.close_all()
        await self._close_peers()
        await self._store.stop()
        await self._metrics.stop()
        await self._readiness.stop()
        _log.info(LogEvent.HOST_STOPPED)

    def held_items(self) -> dict[str, int]:
        """Return how much the host holds for callers and for other hosts."""
        states = [sync.state for sync in self.syncs.values()]
        return {
            "open_requests": len(self.exchanges),
            "connection_bytes": self.intake.held,
            "answer_bytes": self.answers.held,
            "body_bytes": self.bodies.held,
            "kept_changes": sum(state.kept_changes for state in states),
            "kept_change_bytes": sum(state.kept_bytes for state in states),
        }

    @property
    def store_calls(self) -> int:
        """Return the number of calls that this host has made to the store."""
        return self._store.calls

    @property
    def store_era(self) -> StoreEra:
        """Return the era of the store as this host last saw it."""
        return StoreEra(self._store.era or 0)

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send new connections to this host."""
        configured = self.config.route_table is not None and bool(
            self.state.deployment.pools
        )
        now = self.clock()
        # Without the orders of rollouts, new versions get no work; the rest is served.
        fresh = all(
            self.syncs[kind].state.freshness.is_ready(now)
            for kind in (CONFIG_KIND, SERVER_KIND)
        )
        initialized = self._initialized.is_set()
        return initialized and configured and fresh and not self.stopping

    def can_rerun(self, request_id: RequestId) -> bool:
        """Return whether a running request could go to another server instead."""
        req = self.state.requests.get(request_id)
        return req is not None and can_rerun(self.state, req)

    def new_request_id(self, attempt: str) -> RequestId:
        """Return the id of a caller's attempt if it is unique, or else a new one."""
        self._sequence += 1
        if attempt and RequestId(attempt) not in self.exchanges:
            return RequestId(attempt)
        return RequestId(f"{self.settings.host}-{self._sequence}")

    def accept(self, arrival: RequestArrived, call: RoutedCall) -> RoutedExchange:
        """Accept a valid request and start its deadline timer."""
        exchange = RoutedExchange(call)
        self.exchanges[call.request_id] = exchange
        delay = max(0.0, call.deadline - self.clock())
        timer = asyncio.get_running_loop().call_later(delay, self._expire, exchange)
        exchange.timer = timer
        self.handle(arrival)
        if self.hedger is not None and self.hedger.open:
            # Its permit is decided on in the next turn of the loop.
            loop = asyncio.get_running_loop()
            loop.call_soon(self.hedger.make_room, arrival.pool)
        return exchange

    def _expire(self, exchange: RoutedExchange) -> None:
        """End a request whose deadline has passed."""
        self._performer.expire(exchange)

    def close(self, exchange: RoutedExchange) -> None:
        """Remove a request that has been answered."""
        if exchange.timer is not None:
            exchange.timer.cancel()
        self.exchanges.pop(exchange.call.request_id, None)
        self.check_idle()

    def handle_disconnect(self, exchange: RoutedExchange) -> None:
        """Handle the disconnect of a caller."""
        if exchange.caller_disconnected:
            return
        exchange.caller_disconnected = True
        event = CallerGone(now=self.clock(), request_id=exchange.call.request_id)
        self.handle(event)

    def _receive(self, sender: HostId, message: Message) -> None:
        if isinstance(message, StoreUpdate | StoreUpdateRequest):
            sync = self.syncs.get(message.kind)
            if sync is not None:
                sync.receive(sender, message)
            return
        if isinstance(message, RolloutReport | RolloutStep):
            if self.rollouts is not None:
                self.rollouts.receive(sender, message)
            return
        self.handle(PeerReceived(now=self.clock(), sender=sender, message=message))

    def _handle_peer_lost(self, host: HostId) -> None:
        _log.info(LogEvent.PEER_LOST, peer=host)
        self.handle(PeerLost(now=self.clock(), host=host))
        if self._joining.record_unreachable(host, self.clock()):
            self._set_hosts(*self._found_members)

    def _set_listed_hosts(self, hosts: dict[HostId, HostEntry]) -> None:
        """Set the hosts listed in the store; they count as members at the start."""
        addresses = {host: entry.address for host, entry in hosts.items()}
        self._joining.set_listed(addresses)
        self._capacities |= {host: entry.capacity for host, entry in hosts.items()}
        self._has_host_list = True
        if self._members is not None:
            self._members.set_candidates(tuple(addresses.values()))
        if not self._initialized.is_set():
            self._set_hosts(*self._found_members)

    def _set_members(self, members: tuple[Member, ...]) -> None:
        member_addresses = {member.host: member.address for member in members}
        self._capacities |= {member.host: member.capacity for member in members}
        draining = tuple(member.host for member in members if member.draining)
        self._set_hosts(member_addresses, draining)

    def _set_hosts(
        self, member_addresses: dict[HostId, str], draining: tuple[HostId, ...]
    ) -> None:
        assert self.peers is not None
        self._found_members = (member_addresses, draining)
        addresses = self._joining.live(member_addresses, self.clock())
        self.peers.set_addresses(addresses)
        hosts = tuple(sorted({self.settings.host, *addresses}))
        changed = len(hosts) != len(self.state.hosts)
        if hosts != self.state.hosts or draining != self.state.draining_hosts:
            _log.info(LogEvent.PEERS_CHANGED, hosts=len(hosts), draining=len(draining))
        live = [host for host in hosts if host not in draining]
        capable = capable_hosts(live, self._capacities)
        for sync in self.syncs.values():
            sync.set_hosts(live, capable)
        self.handle(
            MembersChanged(
                now=self.clock(),
                hosts=hosts,
                draining=draining,
                capacities=dict(self._capacities),
            )
        )
        if changed:
            self._apply_deployment()
        self._check_initialized()

    def _check_initialized(self) -> None:
        """Admit requests once the configuration and the other hosts are known."""
        joined = self._has_host_list or len(self.state.hosts) > 1
        if self.config.catalog is not None and joined and not self._is_checking:
            self._is_checking = True
            self.spawn(self._compare_version())

    async def _compare_version(self) -> None:
        """Learn from another host which version is in force, before the first request.

        The store may have been restored from a copy that is older.
        """
        sync, until = self.syncs[CONFIG_KIND], self.clock() + COMPARISON_TIMEOUT
        answered = False
        while not answered and len(self.state.hosts) > 1 and self.clock() < until:
            answered = await sync.hear_version()
            if not answered:
                await asyncio.sleep(COMPARISON_PAUSE)
        _log.info(
            LogEvent.HOST_READY,
            hosts=len(self.state.hosts),
            version=self.config.version,
            compared=answered,
            after=round(self.clock() - self._started_at, 3),
        )
        self._initialized.set()

    async def wait_initialized(self) -> None:
        """Wait up to INITIALIZATION_TIMEOUT for the state that admission requires."""
        if self._initialized.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(INITIALIZATION_TIMEOUT):
                await self._initialized.wait()

    def _apply_config(self) -> None:
        catalog = self.config.catalog
        assert catalog is not None
        limits = catalog.limits
        self._frontend.set_idle_timeout(limits.idle_timeout)
        self._frontend.set_head_limits(limits.max_header, limits.header_timeout)
        self._apply_deployment()

    def _apply_deployment(self) -> None:
        """Compile the cached objects into a deployment and pass it to the reducer."""
        catalog = self.config.catalog
        if catalog is None:
            return
        deployment = deployment_of(
            catalog,
            self.servers.roster.instances,
            self._budget_limits(),
            features=self.options.pool_features(),
        )
        if self.rollouts is not None:
            drained = self.rollouts.drained(self.servers.roster.instances)
            deployment = msgspec.structs.replace(deployment, drained=drained)
        self.handle(SettingsApplied(now=self.clock(), deployment=deployment))
        if self.rollouts is not None:
            self.handle(VersionsChanged(now=self.clock()))
        self._check_initialized()

    def _budget_limits(self) -> BudgetLimits:
        hosts = max(len(self.state.hosts), len(self._joining.listed) + 1)
        return budget_limits_of(self.settings.bounds, hosts)

    async def _tick(self) -> None:
        while True:
            due = self.clock() + TICK_PERIOD
            await asyncio.sleep(TICK_PERIOD)
            self.lateness.record(max(0.0, self.clock() - due), self.clock())
            self.servers.expire()
            self.connections.expire(self.clock())
            if self.peers is not None and self._joining.has_just_ended(self.clock()):
                self._set_hosts(*self._found_members)
            self._log_changes()
            if self.rollouts is not None:
                self.rollouts.tick()
            self.handle(Ticked(now=self.clock()))

    def _log_changes(self) -> None:
        """Log changes of the keys' freshness and of the coordinators, and queues."""
        now = self.clock()
        if now - self._waiting_logged_at >= WAITING_LOG_PERIOD:
            self._waiting_logged_at = now
            log_waiting(self.state, now)
            for listener in (self._frontend, self._readiness, self._metrics):
                listener.account()
            self._footprint.check(self.held_items)
        current = self.freshness.is_current(now)
        if current is not self._keys_current:
            self._keys_current = current
            age = self.freshness.age(now)
            _log.info(
                LogEvent.FRESHNESS_CHANGED,
                current=current,
                age=None if age is None else round(age, 3),
            )
        roles = (self.state.coordinator_hosts(), tuple(self.state.fallbacks))
        if roles != self._roles:
            self._roles = roles
            _log.info(
                LogEvent.COORDINATORS_CHANGED, coordinators=roles[0], fallbacks=roles[1]
            )

    async def _answer_readiness(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        ready = self.is_ready
        body = msgspec.json.encode({"ready": ready})
        await answer(send, 200 if ready else 503, b"application/json", body)
