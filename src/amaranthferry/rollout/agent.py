"""Run the rollouts of one host: its part in each, and the decisions that are its own."""

from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any

import structlog

from ..catalog import Instance
from ..gateway.log_events import LogEvent
from ..messages import Message
from ..platform.settings import Bounds
from ..shards import capable_hosts, choose_coordinator
from ..state import HostState
from ..types import HostId, PoolId, RequestId, RequestState, Seconds, ServerId, ShardId
from .decider import Decider, StateStore
from .gate import ServicePolicy, VersionGate, initial_credit, initial_fraction
from .info import RolloutInfo
from .messages import RolloutReport, RolloutStep
from .orders import OrderCache, Reader, RolloutOrder, RolloutState
from .participant import Participant, Report, silence_limit
from .sides import KnownVersions, Sides
from .steps import Limits, Stage

#: Time for which a lost host still has to be heard before a rollout is completed: it may
#: be cut off and send requests to the old servers.
LOST_HOST_TIME: Seconds = 2.0
#: Time between two ticks above which this host was suspended, less than the time after
#: which others decide instead.
PAUSE_THRESHOLD: Seconds = 0.8
#: Time between two decisions on a rollout; each one adds up the reports of all hosts.
DECISION_PERIOD: Seconds = 0.2
STAGES = frozenset(Stage)
_RUNNING = (RequestState.PERMITTED, RequestState.DISPATCHED, RequestState.ANSWERING)
_log = structlog.get_logger(__name__)

Send = Callable[[HostId, Message], bool]
Spawn = Callable[[Coroutine[Any, Any, None]], object]


class RolloutAgent:
    """Follow the orders of rollouts at one host, and decide where it is this host's part.

    `refresh` has the deployment compiled again, and requests that wait choose their
    servers again.
    """

    def __init__(
        self,
        state: HostState,
        bounds: Bounds,
        *,
        read: Reader,
        store: StateStore,
        send: Send,
        spawn: Spawn,
        refresh: Callable[[], None],
        clock: Callable[[], Seconds],
    ) -> None:
        self._state = state
        self._bounds = bounds
        self._store = store
        self._send = send
        self._spawn = spawn
        self._refresh = refresh
        self._clock = clock
        self.gate = VersionGate()
        state.versions = self.gate
        self.cache = OrderCache(read, self._apply_orders)
        self.participants: dict[PoolId, Participant] = {}
        self.deciders: dict[PoolId, Decider] = {}
        self._known = KnownVersions()
        self._sides: dict[PoolId, Sides] = {}
        self._seen: dict[PoolId, RolloutOrder] = {}
        self._ticked_at = clock()

    def _apply_orders(self) -> None:
        orders = self.cache.orders
        for service, order in orders.items():
            if self._seen.get(service) != order:
                _log.info(
                    LogEvent.ROLLOUT_SEEN,
                    service=service,
                    version=order.version,
                    state=order.state,
                    duration=order.duration,
                    revision=order.revision,
                )
        self._seen = orders
        self._refresh()

    def drained(self, instances: Mapping[ServerId, Instance]) -> tuple[ServerId, ...]:
        """Return the servers that may get no work, after a change of orders or servers."""
        orders = self.cache.orders
        self._sides = self._known.divide(instances.values(), orders)
        self._end_participants(orders)
        policies = {}
        for service, sides in self._sides.items():
            participant = self._participant(service, orders.get(service))
            if participant is None and not sides.withheld:
                continue
            policy = ServicePolicy() if participant is None else participant.policy
            policy.old, policy.new = frozenset(sides.old), frozenset(sides.new)
            policy.withheld = frozenset(sides.withheld)
            policies[service] = policy
        self.gate.policies = policies
        return tuple(
            sorted(server for policy in policies.values() for server in _closed(policy))
        )

    def _end_participants(self, orders: dict[PoolId, RolloutOrder]) -> None:
        for service, participant in list(self.participants.items()):
            order = orders.get(service)
            same = order is not None and order.version == participant.order.version
            if order is not None and same and not order.is_final:
                participant.order = order
                if service in self.deciders:
                    decider = self.deciders[service]
                    if order.revision > decider.order.revision:
                        decider.order = order
                continue
            del self.participants[service]
            self.deciders.pop(service, None)
            _log.info(
                LogEvent.ROLLOUT_ENDED,
                service=service,
                version=participant.order.version,
                state=order.state if order is not None and same else None,
                requests=participant.policy.requests,
                exposed=participant.policy.exposed,
            )

    def _participant(
        self, service: PoolId, order: RolloutOrder | None
    ) -> Participant | None:
        if order is None or order.is_final:
            return None
        found = self.participants.get(service)
        if found is None:
            now = self._clock()
            policy = ServicePolicy(
                version=order.version, share=self._bounds.exposure_share
            )
            # A host that has just started may have used its part of the slack before.
            host, slack = self._state.host, self._bounds.exposure_slack
            if order.state is None:
                hosts = list(self._live_hosts())
                policy.credit = initial_credit(host, hosts, service, slack)
            elif slack:
                policy.credit = initial_fraction(host, service)
            found = self.participants[service] = Participant(order, policy, now)
        return found

    def _live_hosts(self) -> tuple[HostId, ...]:
        state = self._state
        draining = state.draining_hosts
        hosts = tuple(host for host in state.hosts if host not in draining)
        return hosts or (state.host,)

    def tick(self) -> None:
        """Report to the deciders, and decide where that is this host's part."""
        if not self.participants:
            self._ticked_at = self._clock()
            return
        now, changed = self._clock(), False
        if now - self._ticked_at > PAUSE_THRESHOLD:
            # Another host has decided meanwhile; it goes on from the others' reports.
            self.deciders.clear()
        self._ticked_at = now
        hosts = len(self._state.hosts)
        for service, participant in list(self.participants.items()):
            chosen = self._decider_of(service, participant, now)
            running = self._count_running(participant)
            if chosen == self._state.host:
                self._decide(service, participant, running, now)
            else:
                self._resign(service)
                if participant.is_due(now, hosts, running):
                    report = participant.report(now, self._state.host, hosts, running)
                    participant.record_asked(chosen, now)
                    self._send(chosen, report)
            changed |= participant.check_silence(now, hosts)
        if changed:
            self._refresh()

    def _resign(self, service: PoolId) -> None:
        """Leave the decisions to another host, unless a write is under way."""
        self.deciders.pop(service, None)

    def _decider_of(
        self, service: PoolId, participant: Participant, now: Seconds
    ) -> HostId:
        hosts = self._live_hosts()
        capable = capable_hosts(hosts, self._state.capacities)
        shard = ShardId(f"rollout/{service}")

        def rank(candidates: Iterable[HostId]) -> HostId:
            return choose_coordinator(shard, candidates, capable)

        limit = silence_limit(len(hosts))
        return participant.choose(hosts, now, limit, rank, self._state.host)

    def _count_running(self, participant: Participant) -> int:
        """Return how many requests this host has at the old servers."""
        old = participant.policy.old
        return sum(
            req.server in old and req.state in _RUNNING
            for req in self._state.requests.values()
        )

    def _decide(
        self, service: PoolId, participant: Participant, running: int, now: Seconds
    ) -> None:
        decider = self._open_decider(service, participant.order)
        if now - decider.decided_at < DECISION_PERIOD:
            return
        decider.decided_at = now
        host, sides = self._state.host, self._sides.get(service, Sides())
        hosts = len(self._state.hosts)
        report = participant.report(now, host, hosts, running)
        decider.receive(report, now)
        if decider.is_lonely and participant.is_due(now, hosts, running):
            # Hosts that take this one for silent learn that it isn't.
            self._send_all(self._live_hosts(), report)
        changed = decider.advance(
            now,
            age=participant.age(now),
            old=sides.old,
            new=sides.new,
            hosts=self._heeded_hosts(now),
            observe=self.cache.observe,
        )
        if decider.step.step == 0:
            participant.heard_at = now
            return
        if participant.follow(decider.step, now):
            self._refresh()
        if changed:
            self._send_all(decider.reports, decider.step)

    def _open_decider(self, service: PoolId, order: RolloutOrder) -> Decider:
        if service not in self.deciders:
            limits = Limits(
                share=self._bounds.exposure_share,
                slack=self._bounds.exposure_slack,
                duration=order.duration,
            )
            decider = Decider(order, limits, self._store, self._spawn)
            self.deciders[service] = decider
        return self.deciders[service]

    def _send_all(self, hosts: Iterable[HostId], message: Message) -> None:
        """Send a message to all hosts of some but this one."""
        for host in hosts:
            if host != self._state.host:
                self._send(host, message)

    def _heeded_hosts(self, now: Seconds) -> frozenset[HostId]:
        """Return the hosts that have to say that they send nothing to old servers."""
        lost = self._state.lost_hosts.items()
        recent = (host for host, at in lost if now - at < LOST_HOST_TIME)
        return frozenset((*self._state.hosts, *recent))

    def receive(self, sender: HostId, message: RolloutReport | RolloutStep) -> None:
        """Handle a message of another host."""
        participant = self.participants.get(message.service)
        if participant is None or participant.order.version != message.version:
            if isinstance(message, RolloutReport):
                self._tell_end(sender, message)
            return
        now = self._clock()
        participant.silent_hosts.discard(sender)
        if message.stage not in STAGES:
            # A later release may have further stages; a host that waits is safe.
            return
        if isinstance(message, RolloutStep):
            # A host that isn't asked any more, or not yet, doesn't decide for this one.
            if sender == self._decider_of(message.service, participant, now) and (
                participant.follow(message, now)
            ):
                self._refresh()
            return
        decider = self.deciders.get(message.service)
        if decider is not None:
            decider.receive(message, now)
            if decider.step.step:
                self._send(sender, decider.step)
        elif message.host == sender:
            self._forward(participant, message, now)

    def _tell_end(self, sender: HostId, report: RolloutReport) -> None:
        """Tell a host that has missed the end of a rollout what it has to do."""
        order = self.cache.orders.get(report.service)
        if order is None or order.version != report.version or not order.is_final:
            return
        completed = order.state is RolloutState.COMPLETED
        step = RolloutStep(
            service=report.service,
            version=report.version,
            step=report.step + 1,
            stage=Stage.FULL if completed else Stage.ROLLED_BACK,
            pace=1.0 if completed else 0.0,
            age=report.age,
            reason=f"the store says {order.state}",
        )
        self._send(sender, step)

    def _forward(
        self, participant: Participant, report: RolloutReport, now: Seconds
    ) -> None:
        """Forward a report of a host that doesn't hear the decider, and answer it."""
        chosen = self._decider_of(report.service, participant, now)
        if chosen not in (self._state.host, report.host):
            self._send(chosen, report)
        hosts = len(self._state.hosts)
        if participant.step and now - participant.heard_at < silence_limit(hosts):
            policy = participant.policy
            step = RolloutStep(
                service=report.service,
                version=report.version,
                step=participant.step,
                stage=policy.stage,
                pace=policy.pace,
                canaries=tuple(sorted(policy.canaries)),
                age=participant.age(now),
                reason=participant.reason,
            )
            self._send(report.host, step)

    def watch(
        self,
        service: PoolId,
        request_id: RequestId,
        route: str,
        server: ServerId,
        *,
        streaming: bool,
        report: Report,
    ) -> Report:
        """Return a report that also records what a dispatch shows, during a rollout."""
        participant = self.participants.get(service)
        if participant is None:
            return report
        return participant.watch(
            request_id,
            route,
            server,
            now=self._clock(),
            streaming=streaming,
            report=report,
        )

    def close(
        self,
        service: PoolId,
        request_id: RequestId,
        server: ServerId,
        *,
        timed_out: bool,
    ) -> None:
        """End the watch of a dispatch."""
        participant = self.participants.get(service)
        if participant is not None:
            now = self._clock()
            participant.close(request_id, server, now, timed_out=timed_out)

    def info(self) -> list[RolloutInfo]:
        """Return what this host knows of all rollouts."""
        now = self._clock()
        return [
            self._info(service, order, now)
            for service, order in sorted(self.cache.orders.items())
        ]

    def _info(self, service: PoolId, order: RolloutOrder, now: Seconds) -> RolloutInfo:
        sides = self._sides.get(service, Sides())
        participant = self.participants.get(service)
        if participant is None:
            return RolloutInfo.from_order(order, sides)
        chosen = self._decider_of(service, participant, now)
        return RolloutInfo.from_rollout(
            participant, sides, self.deciders.get(service), chosen, now
        )


def _closed(policy: ServicePolicy) -> frozenset[ServerId]:
    """Return the servers that no coordinator is to count with.

    Canaries change too often for that; requests exclude what they may not get.
    """
    if policy.stage is Stage.CANARY and policy.old:
        return policy.withheld
    return policy.forbidden
