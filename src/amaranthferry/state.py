"""Define the state from which one entry host makes its decisions."""

from typing import Protocol

import msgspec

from .config import Deployment
from .contention.orders import SharedOrder
from .coordinator import Coordinator
from .harm.ledger import HarmLedger
from .leaving import LeavingServers, incarnation_of
from .limits.server_rates import ServerRates
from .messages import ServerIncarnation
from .quota import UsageRecord
from .requests import Request
from .retry import RepeatBudget, RetryBudget
from .shards import (
    capable_hosts,
    choose_coordinator,
    choose_successor,
    outranks,
    pool_of,
    shards_of,
)
from .types import (
    HostId,
    PoolId,
    RequestId,
    Seconds,
    ServerId,
    ServerState,
    ServerStateSource,
    ShardId,
    ZoneId,
)

COORDINATOR_TIMEOUT: Seconds = 3.0
#: How long the requests of a lost host may still count against a quota.
LOST_HOST_RETENTION: Seconds = 10.0


class ShardAssignment(msgspec.Struct, frozen=True):
    """Represent the coordinator of a shard and the host that succeeds it."""

    coordinator: HostId
    successor: HostId | None

    #: The hosts that could carry the shard if its coordinator were lost.
    capable: frozenset[HostId]

    def is_affected(
        self,
        shard: ShardId,
        removed: frozenset[HostId],
        added: frozenset[HostId],
        capable: frozenset[HostId],
        others: frozenset[HostId],
    ) -> bool:
        """Return whether removed or added hosts change the assignment.

        `capable` are the hosts that can carry the shard, and `others` those that could
        without its coordinator.
        """
        if self.successor is None:
            return bool(removed or added)
        if self.coordinator in removed or self.successor in removed:
            return True
        if (others ^ self.capable) - removed - added:
            return True
        return any(
            outranks(shard, host, self.coordinator, capable)
            or outranks(shard, host, self.successor, others)
            for host in added
        )


class Absence(msgspec.Struct):
    """Represent the time in which a host has another one decide for a coordinator."""

    began: Seconds
    minimum: Seconds
    #: The deciders that haven't answered, the coordinator among them.
    silent: frozenset[HostId] = frozenset()
    ended: Seconds | None = None


class VersionRules(Protocol):
    """Say which servers a request may get by their version."""

    def assign(self, req: Request) -> None:
        """Choose the servers that a request's next permit request excludes."""

    def refuses(self, req: Request, server: ServerId) -> bool:
        """Return whether a granted server may not get a request."""

    def is_outdated(self, req: Request) -> bool:
        """Return whether a waiting request excludes every server that it may get."""


class HostState(msgspec.Struct, kw_only=True):
    """Represent the state of one entry host's reducer."""

    host: HostId
    zone: ZoneId
    deployment: Deployment
    now: Seconds = 0.0
    hosts: tuple[HostId, ...] = ()
    draining_hosts: tuple[HostId, ...] = ()
    #: What hosts can carry, relative to each other; 0 where it is unknown.
    capacities: dict[HostId, float] = {}
    draining: bool = False
    settings_current: bool = True
    requests: dict[RequestId, Request] = {}
    coordinators: dict[ShardId, Coordinator] = {}
    fallbacks: dict[ShardId, Coordinator] = {}
    #: The hosts that decide for this one while coordinators don't answer.
    stand_ins: dict[ShardId, HostId] = {}
    absences: dict[ShardId, Absence] = {}
    #: The shards decided locally for which a coordinator decides at the moment.
    shared_orders: dict[ShardId, SharedOrder] = {}
    waits: dict[ShardId, tuple[Seconds, ...]] = {}
    last_received: dict[HostId, Seconds] = {}
    server_reports: dict[ServerId, dict[ServerStateSource, ServerState]] = {}
    budgets: dict[PoolId, RetryBudget] = {}
    #: Registrations that each shard still gets though this host has no request there.
    registrations_left: dict[ShardId, int] = {}
    #: Number of the period in which this host last registered its requests.
    registration_period: int = 0
    order_drains: dict[ServerId, Seconds] = {}
    assignments: dict[ShardId, ShardAssignment] = {}
    pool_shards: dict[PoolId, tuple[ShardId, ...]] = {}
    repeat_budgets: dict[PoolId, RepeatBudget] = {}
    ticked_at: Seconds | None = None
    #: End of the last suspension; permits requested before it no longer count.
    resumed_at: Seconds = 0.0
    started_at: Seconds | None = None
    usage: dict[ShardId, UsageRecord] = {}
    #: The part of it that coordinators have not granted and don't know of.
    usage_elsewhere: dict[ShardId, UsageRecord] = {}
    lost_hosts: dict[HostId, Seconds] = {}
    hold_offs: dict[ServerIncarnation, Seconds] = {}
    leaving: LeavingServers = msgspec.field(default_factory=LeavingServers)
    server_rates: ServerRates = msgspec.field(default_factory=ServerRates)
    #: When this host last told others of a server's limit, and what it has yet to tell.
    limits_told_at: dict[ServerIncarnation, Seconds] = {}
    untold_limits: set[ServerIncarnation] = set()
    harm: HarmLedger = msgspec.field(default_factory=lambda: HarmLedger(HostId("")))
    records_exchanged_at: Seconds = 0.0
    record_exchanges: int = 0
    #: When this host asked others what ends servers, and who has not replied.
    records_asked_at: Seconds | None = None
    hosts_asked: frozenset[HostId] = frozenset()
    pool_versions: dict[PoolId, frozenset[str]] = {}
    coordinator_timeout: Seconds = COORDINATOR_TIMEOUT
    #: Where rollouts are enabled.
    versions: VersionRules | None = None

    _capable: frozenset[HostId] = frozenset()

    def __post_init__(self) -> None:
        self.harm = HarmLedger(self.host)
        self._capable = capable_hosts(self._candidates(), self.capacities)

    def replace_hosts(
        self,
        hosts: tuple[HostId, ...],
        draining: tuple[HostId, ...],
        capacities: dict[HostId, float] | None = None,
    ) -> None:
        """Replace the live hosts; drop only the shard assignments that change."""
        before, capable_before = self._candidates(), self._capable
        self._record_lost_hosts(hosts)
        self.hosts = hosts
        self.draining_hosts = draining
        if capacities is not None:
            self.capacities = capacities
        after = self._candidates()
        self._capable = capable_hosts(after, self.capacities)
        removed, added = before - after, after - before
        reranked = bool((capable_before ^ self._capable) & before & after)
        for shard, assignment in list(self.assignments.items()):
            others = self._capable_without(assignment.coordinator)
            if reranked or assignment.is_affected(
                shard, removed, added, self._capable, others
            ):
                del self.assignments[shard]

    def _capable_without(self, host: HostId) -> frozenset[HostId]:
        return capable_hosts(self._candidates() - {host}, self.capacities)

    def _record_lost_hosts(self, hosts: tuple[HostId, ...]) -> None:
        since = self.now - LOST_HOST_RETENTION
        kept = {h: at for h, at in self.lost_hosts.items() if at >= since}
        kept |= dict.fromkeys(set(self.hosts) - set(hosts), self.now)
        self.lost_hosts = {h: at for h, at in kept.items() if h not in hosts}

    def recent_hosts(self) -> frozenset[HostId]:
        """Return the live hosts and those that were lost recently."""
        since = self.now - LOST_HOST_RETENTION
        lost = (host for host, at in self.lost_hosts.items() if at >= since)
        return frozenset((*self.hosts, *lost))

    def replace_deployment(self, deployment: Deployment) -> None:
        """Replace the deployment and clear the cached shards of the pools.

        Leaving servers stay in it as drained, so that all hosts see the same shards.
        """
        leaving = self.leaving.servers_of(deployment)
        if leaving:
            drained = tuple(dict.fromkeys((*deployment.drained, *leaving)))
            deployment = msgspec.structs.replace(deployment, drained=drained)
        self.deployment = deployment
        self.pool_shards.clear()
        self.pool_versions.clear()

    def _candidates(self) -> frozenset[HostId]:
        live = frozenset(self.hosts).difference(self.draining_hosts)
        return live or frozenset(self.hosts) or frozenset((self.host,))

    def coordinator_of(self, shard: ShardId) -> HostId:
        """Return the host that coordinates a shard in this host's view."""
        if self.is_decided_locally(shard):
            return self.host
        return self._assignment(shard).coordinator

    def is_decided_locally(self, shard: ShardId) -> bool:
        """Return whether each host decides on a shard's permits for itself now."""
        rules = self.deployment.rules_of(pool_of(shard))
        return rules.decided_locally and shard not in self.shared_orders

    def assigned_coordinator(self, shard: ShardId) -> HostId:
        """Return the host that decides on a shard where hosts don't for themselves."""
        return self._assignment(shard).coordinator

    def trial_host(self, shard: ShardId) -> HostId:
        """Return the one host whose coordinator may try a shard's held subjects."""
        return self._assignment(shard).coordinator

    def successor_of(self, shard: ShardId) -> HostId | None:
        """Return the host that succeeds a shard's coordinator in this host's view."""
        return self._assignment(shard).successor

    def decider_without(
        self, shard: ShardId, silent: frozenset[HostId]
    ) -> HostId | None:
        """Return the host that would coordinate a shard without some of the hosts."""
        others = self._candidates() - silent
        if not others:
            return None
        capable = capable_hosts(others, self.capacities)
        return choose_coordinator(shard, others, capable)

    def _assignment(self, shard: ShardId) -> ShardAssignment:
        # Rendezvous hashing computes one hash per host, too slow for every message.
        if shard not in self.assignments:
            hosts = self._candidates()
            coordinator = choose_coordinator(shard, hosts, self._capable)
            self.assignments[shard] = ShardAssignment(
                coordinator,
                choose_successor(shard, hosts, self.capacities),
                self._capable_without(coordinator),
            )
        return self.assignments[shard]

    def shards_of(self, pool: PoolId) -> tuple[ShardId, ...]:
        """Return the shards of a pool."""
        if pool not in self.pool_shards:
            self.pool_shards[pool] = shards_of(self.deployment, pool)
        return self.pool_shards[pool]

    def coordinator_hosts(self) -> dict[ShardId, HostId]:
        """Return the coordinator of every shard in this host's view."""
        return {
            shard: self.coordinator_of(shard)
            for pool in self.deployment.pools
            for shard in self.shards_of(pool)
        }

    def deciding_hosts(self, server: ServerId) -> list[HostId]:
        """Return the other hosts that decide on a server's permits now or soon."""
        cfg = self.deployment.servers.get(server)
        if cfg is None:
            return []
        hosts = {
            host
            for shard in self.shards_of(cfg.pool)
            for host in (self.coordinator_of(shard), self.successor_of(shard))
            if host is not None and host != self.host
        }
        return sorted(hosts)

    def versions_of(self, pool: PoolId) -> frozenset[str]:
        """Return the versions of a pool's servers."""
        if pool not in self.pool_versions:
            servers = self.deployment.servers.values()
            self.pool_versions[pool] = frozenset(
                cfg.model_version for cfg in servers if cfg.pool == pool
            )
        return self.pool_versions[pool]

    def version_of(self, server: ServerId) -> str:
        """Return the version of a server."""
        cfg = self.deployment.servers.get(server)
        return "" if cfg is None else cfg.model_version

    def is_leaving(self, server: ServerId) -> bool:
        """Return whether any source reported a server as leaving or lost."""
        reports = self.server_reports.get(server, {}).values()
        return (
            any(reported is not ServerState.LIVE for reported in reports)
            or incarnation_of(self.deployment, server) in self.leaving
        )

    def hold_off(self, server: ServerId) -> Seconds:
        """Return for how long a server wants nothing more from this host."""
        incarnation = incarnation_of(self.deployment, server)
        if incarnation is None:
            return 0.0
        return max(0.0, self.hold_offs.get(incarnation, 0.0) - self.now)

    def pool_hold_off(self, pool: PoolId) -> Seconds:
        """Return for how long no server of a pool wants anything from this host."""
        if not self.hold_offs:
            return 0.0
        drained = self.deployment.drained
        return min(
            (
                self.hold_off(name)
                for name, cfg in self.deployment.servers.items()
                if cfg.pool == pool and name not in drained
            ),
            default=0.0,
        )

    def permit_host(self, shard: ShardId) -> HostId:
        """Return the host that currently decides this host's permits for a shard."""
        if shard in self.fallbacks:
            return self.host
        return self.stand_ins.get(shard) or self.coordinator_of(shard)

    def budget(self, pool: PoolId) -> RetryBudget:
        """Return the retry budget of a pool."""
        if pool not in self.budgets:
            ratio = self.deployment.pools[pool].retry_ratio
            self.budgets[pool] = RetryBudget(ratio=ratio, refilled_at=self.now)
        return self.budgets[pool]

    def repeat_budget(self, pool: PoolId) -> RepeatBudget:
        """Return the budget for repeated dispatches of a pool's requests."""
        rules = self.deployment.rules_of(pool)
        if pool not in self.repeat_budgets:
            self.repeat_budgets[pool] = RepeatBudget(tokens=rules.repeat_burst)
        budget = self.repeat_budgets[pool]
        budget.ratio = rules.repeat_ratio
        budget.burst, budget.refill = rules.repeat_burst, rules.repeat_refill
        return budget
