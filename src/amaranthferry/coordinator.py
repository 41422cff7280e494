"""Hold one shard's queue, servers and permits."""

from collections.abc import Collection, Iterable
from typing import Self

from .config import DEFAULT_RULES, Deployment, Limits, Pool
from .demand import Demand
from .effects import Effect, SendToHost
from .fairness import FairShare
from .lengths import LengthEstimate
from .messages import (
    PermitQueued,
    PermitRequest,
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
from .servers import ServerRecord
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
        self.recent_host_count = len(self.hosts)
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
        self.quotas.apply({name: quota.divide(shards) for name, quota in quotas})
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
            self.quotas.learn(message.quota_usage, message.usage_age)
        self._unregistered.discard(host)
        self.settle_quotas(now)

    def settle_quotas(self, now: Seconds) -> None:
        """Build on what the hosts told of the use of late, once they had time to."""
        if not self.rebuilding(now):
            self.quotas.settle(self.recent_host_count)

    def replace_hosts(self, hosts: Iterable[HostId], now: Seconds) -> None:
        """Replace the set of live hosts.

        What a lost host had waiting is gone with it; what it had running may still
        occupy its server, so that room comes back only after a while.
        """
        self.hosts = frozenset(hosts)
        self._unregistered &= self.hosts
        for waiter in self.queue:
            if waiter.host not in self.hosts:
                self.queue.remove(waiter.request.request_id)
        self.permits.mark_orphans(self.hosts, now, hold=self._rules.orphan_timeout)

    def owns(self, host: HostId, request_id: RequestId) -> bool:
        """Tell whether a request is the host's, or unknown."""
        holder = self.queue.get(request_id) or self.permits.get(request_id)
        return holder is None or holder.host == host

    def waiter(
        self, ask: PermitRequest, host: HostId, now: Seconds, cost: Seconds
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
