"""Describe rollouts as a host knows them, for operators."""

from collections.abc import Iterable
from typing import Self

import msgspec

from ..types import HostId, Seconds
from .decider import Decider
from .messages import RouteCounts
from .orders import RolloutOrder
from .participant import Participant
from .sides import Sides


class RolloutInfo(msgspec.Struct, kw_only=True):
    """Describe one rollout as a host knows it, for operators."""

    service: str
    version: str
    state: str
    duration: Seconds
    stage: str = ""
    decider: str = ""
    age: Seconds = 0.0
    step: int = 0
    pace: float = 0.0
    reason: str = ""
    canaries: tuple[str, ...] = ()
    old_servers: int = 0
    new_servers: int = 0
    #: At this host: requests of the service, and those that went to the new version.
    requests: int = 0
    exposed: int = 0
    #: At the decider, of all hosts that have reported.
    hosts: int = 0
    all_requests: int = 0
    all_exposed: int = 0
    #: Answers, failures and refusals by route and side.
    evidence: dict[str, tuple[int, int, int]] = {}

    @classmethod
    def from_order(cls, order: RolloutOrder, sides: Sides) -> Self:
        """Describe a rollout that is over, or that this host has not begun."""
        return cls(
            service=order.service,
            version=order.version,
            state=order.state or "",
            duration=order.duration,
            old_servers=len(sides.old),
            new_servers=len(sides.new),
        )

    @classmethod
    def from_rollout(
        cls,
        participant: Participant,
        sides: Sides,
        decider: Decider | None,
        chosen: HostId,
        now: Seconds,
    ) -> Self:
        """Describe a rollout in progress, at its decider with the sums of all hosts."""
        info = cls.from_order(participant.order, sides)
        policy = participant.policy
        info.stage, info.pace = policy.stage, policy.pace
        info.decider = chosen
        info.age = round(participant.age(now), 3)
        info.step, info.reason = participant.step, participant.reason
        info.canaries = tuple(sorted(policy.canaries))
        info.requests, info.exposed = policy.requests, policy.exposed
        counts: Iterable[RouteCounts] = participant.evidence.counts()
        if decider is not None:
            reports = decider.reports.values()
            info.hosts = len(reports)
            info.all_requests = sum(report.requests for report in reports)
            info.all_exposed = sum(report.exposed for report in reports)
            counts = decider.decision.timeline.latest.values()
        info.evidence = {
            f"{item.route} {'new' if item.is_new else 'old'}": (
                item.answers,
                item.failures,
                item.refusals,
            )
            for item in counts
        }
        return info
