"""Hold one shard's queue, and grant or refuse permits to dispatch."""

from collections.abc import Collection, Iterable
from functools import singledispatch
from typing import Self

from .config import DEFAULT_RULES, Deployment, Limits, Pool
from .demand import Demand
from .effects import Effect, ObserveMetric, SendToHost
from .events import (
    CacheEventSeen,
    Event,
    LoadReported,
    MembersChanged,
    PeerReceived,
    ServerStateSeen,
    SettingsApplied,
    Ticked,
)
from .fairness import FairShare
from .granting import LOOK_AHEAD, ask, give_up, grant_waiting, shed
from .lengths import LengthEstimate
from .messages import (
    Message,
    PermitAsk,
    PermitProgress,
    PermitQueued,
    PermitRelease,
    PermitWithdraw,
    Registration,
    ShardAdvert,
)
from .objectives import MinimumShares, ObjectiveChooser, ObjectiveQueue
from .order import Rank, Waiter, WaitQueue
from .outlook import Outlook
from .permits import PermitLedger
from .placement import Chooser, Rules
from .policy import Policy
from .quota import QuotaLedger
from .servers import Permit, ServerRecord
from .shards import choose_coordinator, pool_of, servers_of, shards_of
from .types import HostId, RequestId, Seconds, ServerId, ShardId

SAFE_SHARE = 0.25
ADVERT_INTERVAL: Seconds = 1.0
ADVERTS_PER_INTERVAL = 64


class Coordinator:
    """Hold the soft state of one shard."""

    def __init__(
        self, shard: ShardId, *, now: Seconds, hosts: Collection[HostId], policy: Policy
    ) -> None:
        self.shard = shard
        self.coordinator = choose_coordinator(shard, hosts) if hosts else HostId("")
        self.policy = policy
        self.started = now
        self.hosts = frozenset(hosts)
        self.pool = Pool(pool_of(shard))
        self.servers: dict[ServerId, ServerRecord] = {}
        self.queue: WaitQueue | ObjectiveQueue = WaitQueue()
        self.lengths = LengthEstimate()
        self.shares = FairShare()
        self.demand = Demand()
        self.permits = PermitLedger()
        self.sequence = 0
        self._unregistered = set(self.hosts)
        self._advert_due = now
        self._advert_next = 0
        self._tiers = 1
        self.limits = Limits()
        self.quotas = QuotaLedger(now)
        self.hosts_of_late = len(self.hosts)
        self.minimums = MinimumShares()
        self.outlook = Outlook()
        self._rules = DEFAULT_RULES
        self._noticed: dict[HostId, Seconds] = {}

    @classmethod
    def from_config(
        cls,
        deployment: Deployment,
        shard: ShardId,
        *,
        now: Seconds,
        hosts: Collection[HostId],
        policy: Policy | None = None,
    ) -> Self:
        """Return a new coordinator that knows of no request yet."""
        coordinator = cls(shard, now=now, hosts=hosts, policy=policy or Policy())
        coordinator.apply(deployment)
        return coordinator

    def apply(self, deployment: Deployment) -> None:
        """Put a deployment in force; what was learned of its servers stays."""
        self.limits = deployment.limits
        shards = len(shards_of(deployment, pool_of(self.shard)))
        quotas = deployment.quotas.items()
        self.quotas.apply({name: quota.part(shards) for name, quota in quotas})
        self._rules = deployment.rules_of(pool_of(self.shard))
        if self._rules.by_objective and isinstance(self.queue, WaitQueue):
            self.queue = ObjectiveQueue()
        self._tiers = 1 + max((t.rank for t in deployment.tiers.values()), default=0)
        pool = pool_of(self.shard)
        self.pool = deployment.pools.get(pool, self.pool)
        for record in self.servers.values():
            record.set_wanted(False)
        for cfg in servers_of(deployment, self.shard):
            record = self.servers.setdefault(cfg.name, ServerRecord(cfg))
            incarnation = deployment.incarnations.get(cfg.name, 0)
            if record.incarnation != incarnation:
                record = self.servers[cfg.name] = ServerRecord(cfg)
                record.incarnation = incarnation
            record.cfg = cfg
            record.limit.resize(cfg.slots)
            record.set_wanted(cfg.name not in deployment.drained)

    def rebuilding(self, now: Seconds) -> bool:
        """Tell whether running work may exist that no host has registered yet."""
        return (
            bool(self._unregistered)
            and now < self.started + self._rules.rebuild_timeout
        )

    def registered(self, message: Registration, host: HostId, now: Seconds) -> None:
        """Note that a host has handed over its requests and what these used."""
        if host in self._unregistered:
            self.quotas.learn(message.used, message.recorded)
        self._unregistered.discard(host)
        self.settle_quotas(now)

    def settle_quotas(self, now: Seconds) -> None:
        """Build on what the hosts told of the use of late, once they had time to."""
        if not self.rebuilding(now):
            self.quotas.settle(self.hosts_of_late)

    def replace_hosts(self, hosts: Iterable[HostId], now: Seconds) -> None:
        """Replace the set of live hosts.

        What a lost host had waiting is gone with it; what it had running may still
        occupy its server, so that room comes back only after a while.
        """
        self.hosts = frozenset(hosts)
        self._unregistered &= self.hosts
        for waiter in self.queue:
            if waiter.host not in self.hosts:
                self.queue.remove(waiter.ask.request_id)
        self.permits.mark_orphans(self.hosts, now, hold=self._rules.orphan_hold)

    def owns(self, host: HostId, request_id: RequestId) -> bool:
        """Tell whether a request is the host's, or unknown."""
        holder = self.queue.get(request_id) or self.permits.get(request_id)
        return holder is None or holder.host == host

    def waiter(
        self, ask: PermitAsk, host: HostId, now: Seconds, cost: Seconds
    ) -> Waiter:
        """Return the queue entry for a request."""
        self.sequence += 1
        deadline = now + ask.remaining
        fair = self.policy.fairness and not self._rules.by_objective
        share = self.shares.place(ask, cost) if fair else 0
        rank = Rank(ask.tier_rank, ask.class_rank, share, deadline, self.sequence)
        return Waiter(ask, host, now, deadline, rank, rank, cost)

    def objective_chooser(self, now: Seconds) -> ObjectiveChooser:
        """Return what chooses servers by objective at a time."""
        records = self.servers.values()
        return ObjectiveChooser(records, now, self._placing(now), self.lengths)

    def chooser(self, now: Seconds) -> Chooser:
        """Return what chooses servers at a time."""
        records = self.servers.values()
        return Chooser(records, now, self._placing(now), self.lengths)

    def _placing(self, now: Seconds) -> Rules:
        return Rules(
            share=SAFE_SHARE if self.rebuilding(now) else 1.0,
            bulk_share=self.pool.bulk_share if self.policy.bulk_share else 1.0,
            policy=self.policy,
        )

    def slots(self) -> int:
        """Return the slots of the servers that get new work."""
        return sum(record.cfg.slots for record in self.servers.values() if record.open)

    def predicted_wait(self, rank: Rank, now: Seconds) -> Seconds:
        """Estimate how long the work before a rank keeps it waiting."""
        ahead = self.queue.cost_ahead(rank)
        return self.demand.wait(rank.tier, ahead, now, self.slots())

    def _waits(self, now: Seconds) -> tuple[Seconds, ...]:
        ranks = (Rank(tier + 1, 0, 0, 0.0, 0) for tier in range(self._tiers))
        return tuple(self.predicted_wait(rank, now) for rank in ranks)

    def notices(self, hosts: Collection[HostId], now: Seconds) -> list[Effect]:
        """Tell those of the hosts that have waiting asks that these are held."""
        interval = self._rules.notice_interval
        if interval <= 0:
            return []
        waiting = sorted(set(hosts) & set(self.queue.hosts()))
        due = [h for h in waiting if now >= self._noticed.get(h, 0.0) + interval]
        self._noticed.update(dict.fromkeys(due, now))
        message = PermitQueued(self.shard)
        return [SendToHost(host=host, message=message) for host in due]

    def adverts(self, now: Seconds) -> list[Effect]:
        """Return the adverts that are due, to a bounded number of hosts in turn."""
        if now < self._advert_due or not self.hosts:
            return []
        self._advert_due = now + ADVERT_INTERVAL
        hosts = sorted(self.hosts)
        count = min(len(hosts), ADVERTS_PER_INTERVAL)
        start = self._advert_next % len(hosts)
        self._advert_next = start + count
        chosen = (hosts + hosts)[start : start + count]
        message = ShardAdvert(self.shard, self.coordinator, self._waits(now))
        return [SendToHost(host=host, message=message) for host in chosen]


def reduce(coordinator: Coordinator, event: Event) -> list[Effect]:
    """Apply an event to a coordinator, and return what is to be sent."""
    return _apply(event, coordinator)


@singledispatch
def _apply(event: Event, coordinator: Coordinator) -> list[Effect]:
    return []


@_apply.register
def _(event: PeerReceived, coordinator: Coordinator) -> list[Effect]:
    return _receive(event.message, coordinator, event.sender, event.now)


@_apply.register
def _(event: Ticked, coordinator: Coordinator) -> list[Effect]:
    now = event.now
    effects = give_up(coordinator, now)
    coordinator.settle_quotas(now)
    coordinator.permits.return_orphans(now)
    coordinator.permits.forget_closed(now)
    effects += grant_waiting(coordinator, now)
    effects += coordinator.notices(coordinator.queue.hosts(), now)
    return effects + coordinator.adverts(now)


@_apply.register
def _(event: MembersChanged, coordinator: Coordinator) -> list[Effect]:
    coordinator.replace_hosts(event.hosts, event.now)
    return grant_waiting(coordinator, event.now)


@_apply.register
def _(event: ServerStateSeen, coordinator: Coordinator) -> list[Effect]:
    record = coordinator.servers.get(event.server)
    if record is None:
        return []
    record.see_state(event.state, event.source, event.now)
    return grant_waiting(coordinator, event.now)


@_apply.register
def _(event: CacheEventSeen, coordinator: Coordinator) -> list[Effect]:
    record = coordinator.servers.get(event.server)
    if record is not None:
        record.prefixes.dropped(event.dropped, event.now)
    return []


@_apply.register
def _(event: LoadReported, coordinator: Coordinator) -> list[Effect]:
    record = coordinator.servers.get(event.server)
    if record is not None:
        record.foreign.report(event, len(record.permits), record.tokens)
    return []


@_apply.register
def _(event: SettingsApplied, coordinator: Coordinator) -> list[Effect]:
    coordinator.apply(event.deployment)
    return grant_waiting(coordinator, event.now)


@singledispatch
def _receive(
    message: Message, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    return []


@_receive.register
def _(
    message: PermitAsk, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    effects = ask(coordinator, message, sender, now)
    if coordinator.queue.is_behind(message.request_id, LOOK_AHEAD):
        effects += shed(coordinator, now)
    else:
        effects += grant_waiting(coordinator, now)
    return effects + coordinator.notices((sender,), now)


@_receive.register
def _(
    message: PermitWithdraw, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    if not coordinator.owns(sender, message.request_id):
        return []
    waiter = coordinator.queue.remove(message.request_id)
    if waiter is not None:
        coordinator.shares.refund(waiter.ask, waiter.cost)
    coordinator.permits.close(message.request_id, now)
    return grant_waiting(coordinator, now)


@_receive.register
def _(
    message: PermitProgress, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    permit = coordinator.permits.get(message.request_id)
    if permit is None or permit.host != sender:
        return []
    effects: list[Effect] = []
    if message.first_token > 0 and not permit.first_token_seen:
        effects = _score(permit, message.first_token)
        permit.server.see_first_token(permit, message.first_token, now)
    _see_progress(coordinator, permit, message)
    return effects + (grant_waiting(coordinator, now) if effects else [])


def _see_progress(
    coordinator: Coordinator, permit: Permit, message: PermitProgress | PermitRelease
) -> None:
    target = coordinator.limits.target_inter_token
    permit.server.see_progress(permit, message.output_tokens, message.elapsed, target)


def _score(permit: Permit, first_token: Seconds) -> list[Effect]:
    error = first_token - (permit.first_token_at - permit.granted)
    return [ObserveMetric(name="prediction.first_token_error_seconds", value=error)]


@_receive.register
def _(
    message: PermitRelease, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    permit = coordinator.permits.get(message.request_id)
    if permit is None or permit.host != sender:
        return []
    if permit.server.cfg.name != message.server:
        return []
    _learn(coordinator, permit, message, now)
    if message.dispatched:
        permit.server.outcomes.observe(
            failed=message.failed, elapsed=message.elapsed, now=now
        )
    coordinator.permits.give_back(permit)
    permit.server.foreign.given_back(now)
    if not message.dispatched:
        permit.server.refuse_dispatch(now)
    else:
        permit.server.accept_dispatch()
        tries = len(permit.ask.excluded)
        coordinator.permits.close(message.request_id, now, tries=tries)
    return grant_waiting(coordinator, now)


def _learn(
    coordinator: Coordinator, permit: Permit, message: PermitRelease, now: Seconds
) -> None:
    """Learn a server's speeds and its cache from a whole run."""
    if not message.dispatched or message.failed:
        return
    record = permit.server
    busy = len(coordinator.queue) > 0
    coordinator.demand.drain(permit.cost, now, busy=busy, slots=coordinator.slots())
    if message.first_token > 0:
        record.see_first_token(permit, message.first_token, now)
    _see_progress(coordinator, permit, message)
    record.prefixes.observe(permit.cached_tokens, message.cached_tokens)
    if message.output_tokens > 0:
        coordinator.lengths.observe(permit.ask, message.output_tokens)


@_receive.register
def _(
    message: Registration, coordinator: Coordinator, sender: HostId, now: Seconds
) -> list[Effect]:
    coordinator.registered(message, sender, now)
    coordinator.permits.return_unlisted(message, sender, now)
    for work in message.running:
        record = coordinator.servers.get(work.server)
        if record is not None:
            coordinator.queue.remove(work.ask.request_id)
            coordinator.permits.restore(work, sender, record, now)
    effects = []
    for waiting in message.waiting:
        effects += ask(coordinator, waiting, sender, now)
    return effects + grant_waiting(coordinator, now)
