"""Coordinate the queue, servers and permits of one shard."""

from collections.abc import Collection, Iterable, Mapping
from typing import Self

import msgspec

from .config import (
    DEFAULT_RULES,
    BackendServer,
    Deployment,
    Limits,
    MoveRules,
    Pool,
    PoolRules,
    Quota,
)
from .effects import Effect, SendToHost
from .fairness import FairShare
from .forecast import Forecast
from .harm.ledger import HarmLedger, Hold
from .harm.subjects import Subjects, shared_parts
from .lengths import LengthEstimate
from .limits.returns import ReturnTimes
from .limits.server_rates import ServerRates
from .limits.turns import ALL_TURNS, Allowance, Part, TurnOwners
from .messages import (
    PermitQueued,
    PermitRequest,
    Registration,
    ShardAdvert,
)
from .minimum_share import MinimumShares
from .objectives import ObjectiveChooser, ObjectiveQueue
from .permits import PermitLedger
from .placement import Caution, Chooser, PlacementLimits
from .policy import Policy
from .quota import MIN_REPORTED_FRACTION, QuotaLedger
from .relocation.state import MoveBook
from .servers import ServerRecord
from .shards import choose_coordinator, pool_of, servers_of, shards_of
from .sharing.shares import WorkspaceShares
from .slot_shares import SlotShares
from .types import HostId, RequestId, Seconds, ServerId, ShardId, WorkspaceId
from .wait_queue import Rank, Waiter, WaitQueue

#: Fraction of its capacity that a server may fill while the shard is being rebuilt.
REBUILD_SHARE = 0.25
#: Time for which a suspected subject runs once at a time.
MAX_ALONE_TIME: Seconds = 1.5
#: Fraction of the servers up to which slow ones get less work.
MAX_STRAGGLING_FRACTION = 0.5
ADVERT_INTERVAL: Seconds = 1.0
#: Longest wait that is told; a forecast further ahead says nothing.
MAX_PREDICTED_WAIT: Seconds = 300.0
#: Queue notices to all hosts together, so that they don't slow down the decisions.
MAX_NOTICES_PER_SECOND = 600
MAX_ADVERTS_PER_INTERVAL = 64


def notice_interval(rules: PoolRules, hosts: int) -> Seconds:
    """Return how often a coordinator notifies one of `hosts` hosts that it waits."""
    return max(rules.notice_interval, hosts / MAX_NOTICES_PER_SECOND)


class Coordinator:
    """Coordinate one shard from soft state that host registrations rebuild."""

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
        self.fair_share = FairShare()
        #: The shares of workspaces in a queue by objective, if the rules ask for them.
        self.workspace_shares: WorkspaceShares | None = None
        self.permits = PermitLedger()
        self.moves = MoveBook()
        self.sequence = 0
        self._unregistered = set(self.hosts)
        self._next_advert_at = now
        self._next_advert_index = 0
        self._tiers = 1
        self.limits = Limits()
        self.quotas = QuotaLedger(now)
        #: The hosts that share limits, also those that were lost just before.
        self.recent_hosts = self.hosts
        self.minimum_shares = MinimumShares(self.pool.minimum_share)
        self.forecast = Forecast(0.0)
        self._rules = DEFAULT_RULES
        self._notified_at: dict[HostId, Seconds] = {}
        self.harm = HarmLedger(self.coordinator)
        #: What servers have named as their limits, as this decider's host knows it.
        self.server_rates = ServerRates()
        self.return_times = ReturnTimes()
        self._limited: list[ServerRecord] = []
        self._owners = ALL_TURNS
        #: The version of the limits that the records have been given, if any.
        self._rates_version: int | None = None
        #: Whether this coordinator may try held subjects again.
        self.makes_trials = False
        #: The hosts that rely on this decider, while another host has the role.
        self.shares: SlotShares | None = None
        #: Whether it decides for all hosts though these decide locally at other times.
        self.serves_all = False
        #: Whether its host hears no other one, and so shouldn't be waited for.
        self.hears_no_host = False
        self._quotas: Mapping[WorkspaceId, Quota] = {}
        self._shard_count = 1
        self._shard_servers: tuple[BackendServer, ...] = ()

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
        """Return a new coordinator without requests or permits."""
        coordinator = cls(shard, now=now, hosts=hosts, policy=policy or Policy())
        coordinator.apply(deployment)
        return coordinator

    def apply(self, deployment: Deployment) -> None:
        """Apply a deployment; servers of the same incarnation keep their estimates."""
        self._quotas = deployment.quotas
        self._shard_count = len(shards_of(deployment, pool_of(self.shard)))
        self.limits = deployment.limits
        self._rules = deployment.rules_of(pool_of(self.shard))
        if self._rules.by_objective and isinstance(self.queue, WaitQueue):
            self.queue = _by_objective(self.queue)
        self._apply_workspace_shares()
        self._tiers = 1 + max((t.rank for t in deployment.tiers.values()), default=0)
        pool = pool_of(self.shard)
        self.pool = deployment.pools.get(pool, self.pool)
        self.minimum_shares.share = self.pool.minimum_share
        if self._rules.by_objective:
            self.forecast.minimum_share = self.pool.minimum_share
        for record in self.servers.values():
            record.set_enabled(False)
        self._shard_servers = servers_of(deployment, self.shard)
        for cfg in self._shard_servers:
            record = self.servers.setdefault(cfg.name, ServerRecord(cfg))
            incarnation = deployment.incarnations.get(cfg.name, 0)
            if record.incarnation != incarnation:
                record = self.servers[cfg.name] = ServerRecord(cfg)
                record.incarnation = incarnation
            record.cfg = cfg
            record.limit.resize(cfg.slots)
            record.set_enabled(cfg.name not in deployment.drained)
        self._rates_version = None
        self._apply_shares()

    def _apply_workspace_shares(self) -> None:
        if not (self._rules.by_objective and self._rules.shared_by_allowance):
            self.workspace_shares = None
            return
        if self.workspace_shares is None:
            self.workspace_shares = WorkspaceShares()
        rates = {name: quota.rate for name, quota in self._quotas.items()}
        self.workspace_shares.apply(rates)

    def charge(self, request: PermitRequest, cost: Seconds) -> int:
        """Charge a queued request to its workspace, and return its fair rank."""
        if self.workspace_shares is not None:
            return self.workspace_shares.charge(request, cost)
        if self.policy.fairness and not self._rules.by_objective:
            return self.fair_share.charge(request, cost)
        return 0

    def refund(self, request: PermitRequest, cost: Seconds, now: Seconds) -> None:
        """Take back what a request that isn't granted was charged."""
        self.refund_share(request, cost)
        self.quotas.refund(request.workspace, request.quota_cost, now)

    def refund_share(self, request: PermitRequest, cost: Seconds) -> None:
        """Take back only what a request counts in its workspace's share."""
        if self.workspace_shares is not None:
            self.workspace_shares.refund(request, cost)
        else:
            self.fair_share.refund(request, cost)

    def is_deferred(self, waiter: Waiter) -> bool:
        """Return whether a waiter's workspace is ahead of its share of the level."""
        return self.workspace_shares is not None and waiter.rank.virtual_start > 0

    def record_share(self, waiter: Waiter) -> None:
        """Record that a waiter got a slot, in the shares of its level."""
        request = waiter.request
        if self.workspace_shares is not None:
            self.workspace_shares.record_grant(request, waiter.cost)
        else:
            start = waiter.grant_rank.virtual_start
            self.fair_share.record_grant(request, start)

    @property
    def move_rules(self) -> MoveRules | None:
        """Return how runs of this shard move, or None where they don't."""
        return self._rules.moves

    @property
    def has_role(self) -> bool:
        """Return whether this decider is the shard's coordinator in its host's view."""
        return self.shares is None

    @property
    def is_unused(self) -> bool:
        """Return whether this decider lacks the role and nobody relies on it."""
        if self.shares is None or self.shares.hosts:
            return False
        return not self.queue and not len(self.permits)

    def stand_in(self, shares: SlotShares) -> None:
        """Decide only for the hosts that rely on this decider, on their slots."""
        self.shares = shares
        self._apply_shares()

    def take_role(self, now: Seconds, *, recent_hosts: frozenset[HostId]) -> None:
        """Decide for all hosts from now on; those that did not rely on it register."""
        if self.shares is None:
            return
        self._unregistered = set(self.hosts.difference(self.shares.hosts))
        self.started = now
        self.recent_hosts = recent_hosts
        unknown = len(self._unregistered) / max(1, len(self.hosts))
        if unknown > 1.0 - MIN_REPORTED_FRACTION:
            self.quotas.restart(now)
        self.shares = None
        self._apply_shares()
        self._mark_orphans(now)

    def serve_all(self, now: Seconds) -> None:
        """Decide for all hosts, whose running work is yet to be registered.

        Registrations count that have come since a role was taken just before.
        """
        self.serves_all = True
        if not self.is_new(now):
            self._unregistered = set(self.hosts.difference((self.coordinator,)))
            self.started = now

    def serve_own(self) -> None:
        """Decide for this host alone again."""
        self.serves_all = self.hears_no_host = False
        self._unregistered.clear()
        self._apply_shares()

    @property
    def unregistered(self) -> int:
        """Return the number of hosts whose running work isn't known."""
        return len(self._unregistered)

    @property
    def orders_plain_work(self) -> bool:
        """Return whether plain work is ordered by objective."""
        return self._rules.shared_when_full

    def record_reliance(self, host: HostId, now: Seconds) -> None:
        """Record that a host has this decider decide for it."""
        if self.shares is not None and self.shares.record_reliance(host, now):
            self._apply_shares()

    def expire_reliance(self, now: Seconds) -> None:
        """Give back the slots of hosts that no longer rely on this decider."""
        if self.shares is None:
            return
        for host in self.queue.hosts():
            self.shares.record_reliance(host, now)
        if self.shares.expire(now):
            self._apply_shares()
        self._mark_orphans(now)

    def _mark_orphans(self, now: Seconds) -> None:
        """Start the orphan timeout of permits whose hosts may not release them here."""
        live = self.hosts
        if self.shares is not None:
            live = live.intersection(self.shares.hosts)
        timeout = self._rules.orphan_timeout
        self.permits.mark_orphans(live, now, timeout=timeout)

    def _apply_shares(self) -> None:
        """Limit slots and quotas to the part that this decider may use."""
        fraction = 1.0 if self.shares is None else self.shares.fraction
        part = fraction / self._shard_count
        quotas = self._quotas.items()
        self.quotas.apply({name: quota.part(part) for name, quota in quotas})
        limits = None
        if self.shares is not None:
            limits = self.shares.limits(self._shard_servers)
        for name, record in self.servers.items():
            record.slot_limit = None if limits is None else limits[name]

    def refresh_allowances(self, now: Seconds) -> None:
        """Update how many requests limited servers may get from this decider now."""
        if self._rates_version != self.server_rates.version:
            self._rates_version = self.server_rates.version
            self._apply_rates(now)
        if not self._limited:
            return
        self._owners = self._turn_owners()
        for record in self._limited:
            if record.allowance is not None:
                record.allowance.refresh(self._owners, now)

    def _apply_rates(self, now: Seconds) -> None:
        """Give each limited server an allowance, and drop those of all others."""
        limits = {
            item.server: (item, known) for item, known in self.server_rates.in_force()
        }
        self._limited = []
        for name, record in self.servers.items():
            incarnation, known = limits.get(name, (None, None))
            if known is None or known.rate is None or incarnation != record.identity:
                record.allowance = None
                continue
            self._limited.append(record)
            allowance = record.allowance
            if allowance is None or not allowance.follows(known.rate, known.since):
                record.allowance = Allowance(name, known.rate, known.since, now)

    def _turn_owners(self) -> TurnOwners:
        if self.shares is not None:
            owners = frozenset(self.shares.hosts)
            return TurnOwners(Part.SECONDARY, self.recent_hosts | owners, owners)
        if self._rules.decided_locally and not self.serves_all:
            own = frozenset((self.coordinator,))
            return TurnOwners(Part.SHARE, self.recent_hosts | own, own)
        return ALL_TURNS

    def limited_servers(self) -> list[ServerRecord]:
        """Return the servers that name a limit."""
        return list(self._limited)

    def rate_of(self, record: ServerRecord) -> float | None:
        """Return the requests a second that this decider may send to a server.

        None means that the server names no limit.
        """
        if record.allowance is None:
            return None
        return record.allowance.rate * self._owners.fraction

    def is_rebuilding(self, now: Seconds) -> bool:
        """Return whether there may be running work that no host has registered yet."""
        return bool(self._unregistered) and self.is_new(now)

    def is_new(self, now: Seconds) -> bool:
        """Return whether hosts may not yet have registered with this decider."""
        return now < self.started + self._rules.rebuild_timeout

    def register(self, message: Registration, host: HostId, now: Seconds) -> None:
        """Record that a host has registered its requests and their quota usage."""
        if host in self._unregistered:
            self.quotas.add_usage(message.quota_usage, message.usage_age)
        self._unregistered.discard(host)
        self.apply_quota_usage(now)

    def apply_quota_usage(self, now: Seconds) -> None:
        """Apply the usage that hosts reported, once the shard is rebuilt."""
        if not self.is_rebuilding(now):
            self.quotas.apply_reported_usage(len(self.recent_hosts))

    def replace_hosts(self, hosts: Iterable[HostId], now: Seconds) -> None:
        """Replace the set of live hosts.

        A lost host's waiting requests are removed. Its running requests may still
        occupy their servers, so their permits are kept until the orphan timeout.
        """
        self.hosts = frozenset(hosts)
        self.replace_sharing_hosts(self.hosts)
        self._unregistered &= self.hosts
        for waiter in self.queue:
            if waiter.host not in self.hosts:
                self.queue.remove(waiter.request.request_id)
        self._mark_orphans(now)

    def replace_sharing_hosts(self, hosts: Collection[HostId]) -> None:
        """Replace the hosts that share the servers' slots."""
        if self.shares is not None:
            self.shares.replace_hosts(hosts)
            self._apply_shares()

    def owns(self, host: HostId, request_id: RequestId) -> bool:
        """Return whether a request belongs to the host or is unknown."""
        owner = self.queue.get(request_id) or self.permits.get(request_id)
        return owner is None or owner.host == host

    def make_waiter(
        self, request: PermitRequest, host: HostId, now: Seconds, cost: Seconds
    ) -> Waiter:
        """Return the queue entry for a request."""
        self.sequence += 1
        deadline = now + request.remaining
        virtual_start = self.charge(request, cost)
        rank = Rank(
            request.tier_rank,
            request.class_rank,
            virtual_start,
            deadline,
            self.sequence,
        )
        return Waiter(request, host, now, deadline, rank, rank, cost)

    def objective_chooser(self, now: Seconds) -> ObjectiveChooser:
        """Return a chooser that places work by objective, for one pass at `now`."""
        records = self.servers.values()
        return ObjectiveChooser(
            records,
            now,
            self._placement_limits(now),
            self.lengths,
            spreads=self._rules.decided_locally and not self.serves_all,
        )

    def chooser(self, now: Seconds) -> Chooser:
        """Return a chooser that places work by rank, for one pass at `now`."""
        records = self.servers.values()
        return Chooser(records, now, self._placement_limits(now), self.lengths)

    def _placement_limits(self, now: Seconds) -> PlacementLimits:
        policy = msgspec.structs.replace(
            self.policy, straggler=self.restricts_stragglers
        )
        return PlacementLimits(
            share=REBUILD_SHARE if self.is_rebuilding(now) else 1.0,
            bulk_share=self.pool.bulk_share if self.policy.bulk_share else 1.0,
            policy=policy,
            holds_long_answers=self._rules.holds_long_answers,
        )

    @property
    def restricts_stragglers(self) -> bool:
        """Return whether slow servers get less work, unless most servers are slow.

        Hosts that are late measure it of all servers, and so does too much work.
        """
        records = [record for record in self.servers.values() if record.accepts_work]
        slow = sum(record.straggler.straggling for record in records)
        common = slow > max(1.0, MAX_STRAGGLING_FRACTION * len(records))
        return self.policy.straggler and not common

    def subjects_of(self, request: PermitRequest) -> Subjects:
        """Return what of a request may be to blame for the end of a server."""
        parts = shared_parts(request.prefixes, request.prefix_lengths)
        return Subjects(pool_of(self.shard), request.model, parts, request.digest)

    def hold_of(self, request: PermitRequest, now: Seconds) -> Hold | None:
        """Return why a request is held, unless it may be the subject's next trial."""
        subjects = self.subjects_of(request)
        if not self.harm.concerns(subjects):
            return None
        hold = self.harm.hold(subjects, self._versions(), now)
        return None if hold is None or self.may_try(hold, now) else hold

    def may_try(self, hold: Hold, now: Seconds) -> bool:
        """Return whether this coordinator may try a held subject now."""
        return self.makes_trials and self.harm.is_trial_due(hold.subject, now)

    def _versions(self) -> set[str]:
        return {
            record.cfg.model_version
            for record in self.servers.values()
            if record.accepts_work
        }

    def caution_for(self, request: PermitRequest, now: Seconds) -> Caution | None:
        """Return the restrictions on where a request may run, or None."""
        ledger, subjects = self.harm, self.subjects_of(request)
        if not ledger.informed and subjects.hashes:
            return Caution(frozenset(), suspects=frozenset(), waits=True)
        if not ledger.concerns(subjects):
            return None
        versions = self._versions()
        holds = {
            version: ledger.hold_at(subjects, version, now) for version in versions
        }
        held = frozenset(
            version
            for version, hold in holds.items()
            if hold is not None and not self.may_try(hold, now)
        )
        suspects = ledger.suspects(subjects, versions - held)
        if not held and not suspects:
            return None
        waits = self._runs_any(suspects, now)
        ends = max(
            (ledger.ends_under(subjects, version) for version in versions), default=0
        )
        spread = (
            f"{subjects.request:x} {ends}"
            if self._rules.decided_locally and ends
            else ""
        )
        return Caution(held, suspects=suspects, waits=waits, spread=spread)

    def _runs_any(self, suspects: frozenset[int], now: Seconds) -> bool:
        """Return whether a request with one of the suspects may have just been sent.

        An older permit counts as ended, since its release may have been lost.
        """
        return bool(suspects) and any(
            now - permit.granted < MAX_ALONE_TIME
            and not suspects.isdisjoint(self.subjects_of(permit.request).hashes)
            for permit in self.permits
        )

    def slots(self) -> float:
        """Return the slots that the servers that accept new work can keep busy."""
        slots: float = sum(
            record.slots for record in self.servers.values() if record.accepts_work
        )
        for record in self._limited:
            rate = self.rate_of(record)
            if record.accepts_work and rate is not None:
                busy = rate * record.outcomes.service_time
                slots -= max(0.0, record.slots - busy)
        return slots

    def predicted_wait(self, rank: Rank, now: Seconds) -> Seconds:
        """Return the expected wait for the work that goes before a rank."""
        ahead = self.queue.ahead_of_new(rank)
        wait = self.forecast.wait(rank[:2], ahead, now, slots=self.slots())
        return min(MAX_PREDICTED_WAIT, wait.expected)

    def _waits(self, now: Seconds) -> tuple[Seconds, ...]:
        ranks = (Rank(tier + 1, 0, 0, 0.0, 0) for tier in range(self._tiers))
        return tuple(self.predicted_wait(rank, now) for rank in ranks)

    def queue_notices(self, hosts: Collection[HostId], now: Seconds) -> list[Effect]:
        """Return the notices that are due to those hosts that have waiting requests."""
        if self._rules.notice_interval <= 0 or self.hears_no_host:
            return []
        interval = notice_interval(self._rules, len(self.hosts))
        waiting = sorted(set(hosts) & set(self.queue.hosts()))
        due = [h for h in waiting if now >= self._notified_at.get(h, 0.0) + interval]
        self._notified_at.update(dict.fromkeys(due, now))
        message = PermitQueued(self.shard)
        return [SendToHost(host=host, message=message) for host in due]

    def adverts(self, now: Seconds) -> list[Effect]:
        """Return the adverts that are due, to a bounded number of hosts in rotation.

        A pool that each host decides for itself has no waits in common.
        """
        local = self._rules.decided_locally and not self.serves_all
        if local or self.hears_no_host or not self.has_role:
            return []
        if now < self._next_advert_at or not self.hosts:
            return []
        self._next_advert_at = now + ADVERT_INTERVAL
        hosts = sorted(self.hosts)
        count = min(len(hosts), MAX_ADVERTS_PER_INTERVAL)
        start = self._next_advert_index % len(hosts)
        self._next_advert_index = start + count
        chosen = (hosts + hosts)[start : start + count]
        message = ShardAdvert(self.shard, self.coordinator, self._waits(now))
        return [SendToHost(host=host, message=message) for host in chosen]


def _by_objective(queue: WaitQueue) -> ObjectiveQueue:
    """Return a queue by objective with the waiters of another one."""
    ordered = ObjectiveQueue()
    for waiter in queue:
        request = waiter.request
        objective = request.objective if request.objective else request.remaining
        ordered.add(
            waiter,
            expires_at=queue.expires_at(request.request_id),
            latest_start=waiter.arrived + objective,
        )
    return ordered
