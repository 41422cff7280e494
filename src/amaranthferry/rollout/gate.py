"""Say which servers each request may get by its version, as part of the reducer.

A request excludes the servers of the other version in its permit request. So coordinators
of every release keep to it, and the host that has the request checks each grant again.
"""

import msgspec
import xxhash

from ..effects import Effect, SendToHost
from ..entry import request_permit
from ..events import Event
from ..messages import PermitWithdraw
from ..reducer import apply_event
from ..requests import Request
from ..state import HostState
from ..types import HostId, PoolId, RequestId, RequestState, ServerId
from .steps import Stage, slack_credit


def initial_credit(
    host: HostId, hosts: list[HostId], service: str, slack: float
) -> float:
    """Return the credit of a host at the order, in requests.

    Whole requests are shared out to the hosts, and each one begins with a fraction
    between 0 and 1 of its own. So all hosts together send what the requests of all earn,
    though one host alone may have too few requests to earn a whole one.
    """
    ranked = sorted(hosts, key=lambda name: _rank(service, name))
    if host not in ranked:
        return 0.0
    total = int(slack_credit(slack, len(ranked)))
    count, rest = divmod(total, len(ranked))
    return count + (ranked.index(host) < rest) + initial_fraction(host, service)


def initial_fraction(host: HostId, service: str) -> float:
    """Return the part of a request that a host begins with, uniform over the hosts."""
    return xxhash.xxh32_intdigest(f"{host}\0{service}".encode()) / 2**32


def _rank(service: str, host: HostId) -> int:
    return xxhash.xxh64_intdigest(f"{service}\0{host}".encode())


class ServicePolicy(msgspec.Struct, kw_only=True):
    """Define which servers of one service may get which requests at this host."""

    version: str = ""
    stage: Stage = Stage.HOLD
    pace: float = 0.0
    old: frozenset[ServerId] = frozenset()
    new: frozenset[ServerId] = frozenset()
    canaries: frozenset[ServerId] = frozenset()
    withheld: frozenset[ServerId] = frozenset()
    share: float = 0.0
    credit: float = 0.0
    requests: int = 0
    exposed: int = 0

    @property
    def forbidden(self) -> frozenset[ServerId]:
        """Return the servers that no request may get."""
        if self.stage is Stage.FULL and self.new:
            return self.withheld | self.old
        if self.stage is Stage.SHIFT or not self.old:
            return self.withheld
        if self.stage is Stage.CANARY:
            return self.withheld | (self.new - self.canaries)
        return self.withheld | self.new

    def choose(self, request_id: RequestId, *, is_first: bool) -> tuple[bool, bool]:
        """Return whether a request goes to the new version, and whether to the old one.

        Only the first attempt of a request is sent to an unproven version.
        """
        if is_first:
            self.requests += 1
            self.credit += self.share
        if not self.new or not self.old:
            return bool(self.new), bool(self.old)
        if self.stage is Stage.FULL:
            return True, False
        if not is_first or self.stage not in (Stage.CANARY, Stage.SHIFT):
            return False, True
        digest = xxhash.xxh32_intdigest(f"{self.version}\0{request_id}".encode())
        if digest / 2**32 >= self.pace:
            return False, True
        if self.stage is Stage.CANARY:
            if self.credit < 1 or not self.canaries:
                return False, True
            self.credit -= 1
        return True, False


class VersionGate:
    """Keep requests from servers of versions that they may not get."""

    def __init__(self) -> None:
        self.policies: dict[PoolId, ServicePolicy] = {}

    def assign(self, req: Request) -> None:
        """Choose the version for a request, which excludes the servers of others."""
        policy = self.policies.get(req.arrival.pool)
        is_first = not req.requested_at and not req.tried_servers
        barred: frozenset[ServerId] = frozenset()
        req.exposed = False
        if policy is not None:
            use_new, use_old = policy.choose(req.arrival.request_id, is_first=is_first)
            barred = policy.forbidden
            if not use_new:
                barred |= policy.new
            if not use_old:
                barred |= policy.old
            req.exposed = use_new and policy.stage is not Stage.FULL
        req.bar(tuple(sorted(barred)))

    def refuses(self, req: Request, server: ServerId) -> bool:
        """Return whether a granted server may not get a request, and count it if so."""
        policy = self.policies.get(req.arrival.pool)
        if policy is None:
            return False
        if server in policy.forbidden or server in req.barred:
            return True
        if server in policy.new:
            policy.exposed += 1
        return False

    def is_outdated(self, req: Request) -> bool:
        """Return whether a waiting request excludes every server that it may get."""
        policy = self.policies.get(req.arrival.pool)
        if policy is None:
            return bool(req.barred)
        usable = (policy.old | policy.new) - policy.forbidden
        return bool(req.barred) and usable <= frozenset(req.barred)


class VersionsChanged(Event, frozen=True):
    """Report that other servers than before may get requests."""


@apply_event.register
def _(event: VersionsChanged, state: HostState) -> list[Effect]:
    effects: list[Effect] = []
    gate = state.versions
    if gate is None:
        return effects
    for req in list(state.requests.values()):
        if req.state is not RequestState.WAITING or not gate.is_outdated(req):
            continue
        shard, host = req.shard, req.permit_host
        asked = request_permit(state, req)
        if (shard, host) != (req.shard, req.permit_host) and host is not None:
            withdrawn = PermitWithdraw(request_id=req.arrival.request_id, shard=shard)
            effects.append(SendToHost(host=host, message=withdrawn))
        effects += asked
    return effects
