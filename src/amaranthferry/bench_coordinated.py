"""Run the production coordinator within the decision bench."""

import random

import msgspec

from .arrivals import Workload
from .bench_simulation import Record, Report, Simulation
from .config import (
    BackendServer,
    Deployment,
    Pool,
    PoolRules,
    Tier,
    WorkClass,
    Workspace,
)
from .coordinator import Coordinator
from .coordinator_reducer import reduce
from .effects import Effect, SendToHost
from .events import CacheEventSeen, Event, LoadReported, PeerReceived, ServerStateSeen
from .events import Ticked as TickedEvent
from .messages import (
    Message,
    PermitGrant,
    PermitProgress,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    PermitWithdraw,
    Registration,
)
from .policy import Policy
from .types import (
    HostId,
    PoolId,
    RequestId,
    Seconds,
    ServerId,
    ServerStateSource,
    ShardId,
)
from .types import ServerState as State

HOST = HostId("bench")
POOL = PoolId("engines")
SHARD = ShardId(f"{POOL}/0")
TICK_INTERVAL: Seconds = 0.1
PROGRESS_INTERVAL: Seconds = 1.0
RETRY_DELAY: Seconds = 0.2
MAX_CONNECTION_RETRIES = 3
#: Time that a caller waits for a first token, as a multiple of the objective.
PATIENCE_OBJECTIVES = 4.0
#: Largest retry-after that a caller honors, as a fraction of its time left.
HONORED_RETRY_FRACTION = 1 / 3
CACHE_EVENT_LAG: Seconds = 2.0
CACHE_EVENT_LOSS_PROBABILITY = 0.2
OURS = "ours"
ABLATION_PREFIX = f"{OURS}-without-"


def policy_names() -> tuple[str, ...]:
    """Return the names of our policy and of its variants with one decision off."""
    fields = msgspec.structs.fields(Policy)
    switches = [field.name for field in fields if field.type is bool]
    return (OURS, *(f"{ABLATION_PREFIX}{name.replace('_', '-')}" for name in switches))


def policy_from_name(name: str) -> Policy:
    """Return the policy switches for a policy name."""
    if name == OURS:
        return Policy()
    switch = name.removeprefix(ABLATION_PREFIX).replace("-", "_")
    return Policy(**{switch: False})


def bench_deployment(
    workload: Workload, servers: tuple[BackendServer, ...]
) -> Deployment:
    """Return settings with the tiers, classes and workspaces of the workload."""
    return Deployment(
        workload.name,
        tiers={kind.tier: Tier(kind.tier, kind.tier_rank) for kind in workload.kinds},
        classes={
            kind.work_class: WorkClass(kind.work_class, kind.class_rank, bulk=kind.bulk)
            for kind in workload.kinds
        },
        workspaces={
            workspace: Workspace(
                workspace, kind.tier, (kind.work_class,), kind.work_class
            )
            for kind in workload.kinds
            for workspace in kind.workspaces()
        },
        pools={POOL: Pool(POOL)},
        servers={server.name: server for server in servers},
        rules={POOL: PoolRules(by_objective=True)} if workload.by_objective else {},
    )


class CoordinatedDispatcher:
    """Request permits from the coordinator, as one entry host does for its callers."""

    def __init__(self, deployment: Deployment, policy: Policy, *, seed: int) -> None:
        self._coordinator = Coordinator.from_config(
            deployment, SHARD, now=0.0, hosts=(HOST,), policy=policy
        )
        self._rng = random.Random(f"{seed}/cache-events")
        self._attempts: dict[RequestId, Record] = {}
        self._simulation: Simulation

    def start(self, simulation: Simulation) -> None:
        """Register with the coordinator and schedule its ticks and progress reports."""
        self._simulation = simulation
        self._send(Registration(SHARD, waiting=(), running=()), 0.0)
        simulation.repeat(TICK_INTERVAL, lambda now: self._handle(TickedEvent(now=now)))
        simulation.repeat(PROGRESS_INTERVAL, self._report_progress)
        simulation.repeat(PROGRESS_INTERVAL, self._forward_cache_events)

    def submit(self, record: Record, now: Seconds) -> None:
        """Request a permit, as a host that can't tell a caller's attempts apart."""
        arrival = record.arrival
        patience = arrival.deadline - now
        if arrival.objective:
            patience = min(patience, PATIENCE_OBJECTIVES * arrival.objective)
        self._attempts[record.attempt_id] = record
        request = PermitRequest(
            request_id=record.attempt_id,
            shard=SHARD,
            workspace=arrival.workspace,
            tier_rank=arrival.tier_rank,
            class_rank=arrival.class_rank,
            remaining=arrival.deadline - now,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.expected_output_tokens,
            prefixes=record.hashes,
            bulk=arrival.bulk,
            objective=arrival.objective,
            patience=patience,
        )
        self._send(request, now)

    def withdraw(self, record: Record, now: Seconds) -> None:
        """Withdraw a waiting permit request."""
        self._send(PermitWithdraw(record.attempt_id, SHARD), now)

    def admitted(self, record: Record, now: Seconds) -> None:
        """Do nothing: a request is admitted when its permit is granted."""

    def first_token(self, record: Record, now: Seconds) -> None:
        """Report progress at the first token."""
        self._send_progress(record, now)

    def released(self, record: Record, now: Seconds, *, failed: bool) -> None:
        """Release the permit and report the measurements of the dispatch."""
        job = record.job
        assert job is not None and record.server is not None
        first_token_at = job.first_token or job.dispatched
        release = PermitRelease(
            request_id=record.attempt_id,
            shard=SHARD,
            server=record.server,
            dispatched=True,
            failed=failed,
            prompt_tokens=record.arrival.prompt_tokens,
            cached_tokens=job.cached,
            output_tokens=job.produced,
            first_token=first_token_at - job.dispatched,
            elapsed=now - job.dispatched,
        )
        self._send(release, now)

    def reported(self, report: Report, now: Seconds) -> None:
        """Forward a delayed load report."""
        event = LoadReported(
            now=now,
            server=report.server,
            running=report.running,
            waiting=report.waiting,
            kv_tokens=report.tokens,
            age=report.age,
        )
        self._handle(event)

    def server_changed(self, server: ServerId, now: Seconds, *, live: bool) -> None:
        """Report that an engine was detected as lost or recovered."""
        state = State.LIVE if live else State.LOST
        source = ServerStateSource.SELF
        self._handle(
            ServerStateSeen(now=now, server=server, state=state, source=source)
        )

    def _send(self, message: Message, now: Seconds) -> None:
        self._handle(PeerReceived(now=now, sender=HOST, message=message))

    def _handle(self, event: Event) -> None:
        for effect in reduce(self._coordinator, event):
            self._perform(effect, event.now)

    def _perform(self, effect: Effect, now: Seconds) -> None:
        if not isinstance(effect, SendToHost):
            return
        match effect.message:
            case PermitGrant(request_id=request_id, server=server):
                self._handle_grant(self._attempts[request_id], server, now)
            case PermitRefusal() as refusal:
                self._handle_refusal(refusal, now)

    def _handle_grant(self, record: Record, server: ServerId, now: Seconds) -> None:
        if record.dropped is not None:
            return
        if self._simulation.dispatch(record, server, now):
            record.admitted = now
            return
        release = PermitRelease(
            record.attempt_id, SHARD, server, dispatched=False, failed=True
        )
        self._send(release, now)
        if record.tries > MAX_CONNECTION_RETRIES:
            self._simulation.shed(record, now)
            return
        self._simulation.schedule(now + RETRY_DELAY, lambda at: self._retry(record, at))

    def _retry(self, record: Record, now: Seconds) -> None:
        if record.dropped is None:
            self.submit(record, now)

    def _handle_refusal(self, refusal: PermitRefusal, now: Seconds) -> None:
        """Let the caller come back as long as it does, or end the request."""
        record = self._attempts[refusal.request_id]
        if record.dropped is not None or record.job is not None:
            return
        if record.refusals >= record.arrival.retries:
            self._simulation.shed(record, now)
            return
        record.refusals += 1
        left = record.arrival.deadline - now
        wait = min(refusal.retry_after, left * HONORED_RETRY_FRACTION)
        self._simulation.schedule(now + wait, lambda at: self._retry(record, at))

    def _report_progress(self, now: Seconds) -> None:
        for engine in self._simulation.engines.values():
            for job in engine.jobs:
                record = self._simulation.records[job.arrival.request_id]
                if not job.cancelled:
                    self._send_progress(record, now)

    def _send_progress(self, record: Record, now: Seconds) -> None:
        job = record.job
        assert job is not None and record.server is not None
        engine = self._simulation.engines[record.server]
        time_to_first_token = (
            0.0 if job.first_token is None else job.first_token - job.dispatched
        )
        progress = PermitProgress(
            request_id=record.attempt_id,
            shard=SHARD,
            server=record.server,
            first_token=time_to_first_token,
            output_tokens=engine.produced(job, now),
            elapsed=now - job.dispatched,
        )
        self._send(progress, now)

    def _forward_cache_events(self, now: Seconds) -> None:
        for engine in self._simulation.engines.values():
            updates, engine.cache_updates = engine.cache_updates, []
            for update in updates:
                if self._rng.random() < CACHE_EVENT_LOSS_PROBABILITY:
                    continue
                event = CacheEventSeen(
                    now=now + CACHE_EVENT_LAG,
                    server=engine.cfg.name,
                    stored=update.stored,
                    dropped=update.dropped,
                )
                self._schedule_event(event)

    def _schedule_event(self, event: Event) -> None:
        self._simulation.schedule(event.now, lambda _: self._handle(event))
