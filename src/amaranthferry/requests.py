"""Define the state of a request on the entry host that accepted it."""

import msgspec

from .config import Deployment, WorkClass
from .events import RequestArrived
from .messages import PermitRequest, RunningWork
from .types import (
    HostId,
    RequestId,
    RequestState,
    Seconds,
    ServerId,
    ShardId,
    Tokens,
)

FINAL_STATES = frozenset(
    {RequestState.DONE, RequestState.NOT_RUN, RequestState.UNKNOWN}
)
#: Name of no server, which marks a permit request that replaces an earlier one.
NO_SERVER = ServerId("")
RUNNING_STATES = frozenset({RequestState.DISPATCHED, RequestState.ANSWERING})

_NEXT_STATES = {
    RequestState.RECEIVED: {RequestState.CLAIMING, RequestState.WAITING},
    RequestState.CLAIMING: {
        RequestState.WAITING,
        RequestState.DONE,
        RequestState.UNKNOWN,
    },
    RequestState.WAITING: {RequestState.PERMITTED},
    RequestState.PERMITTED: {RequestState.DISPATCHED, RequestState.WAITING},
    RequestState.DISPATCHED: {
        RequestState.ANSWERING,
        RequestState.WAITING,
        RequestState.NOT_RUN,
        RequestState.DONE,
        RequestState.UNKNOWN,
    },
    RequestState.ANSWERING: {
        RequestState.WAITING,
        RequestState.DONE,
        RequestState.UNKNOWN,
    },
}
_UNDISPATCHED_STATES = frozenset(
    {
        RequestState.RECEIVED,
        RequestState.CLAIMING,
        RequestState.WAITING,
        RequestState.PERMITTED,
    }
)


class SecondRun(msgspec.Struct, frozen=True, kw_only=True):
    """Represent a run of a request beside the one that its state describes."""

    server: ServerId
    #: The id of its permit, which differs from that of the request's own.
    permit_id: RequestId
    dispatched_at: Seconds


class Request(msgspec.Struct, kw_only=True):
    """Track one request from arrival to its final outcome."""

    arrival: RequestArrived
    work_class: WorkClass
    tier_rank: int
    weight: float
    deadline: Seconds
    state: RequestState = RequestState.RECEIVED
    shard: ShardId = ShardId("")
    permit_host: HostId | None = None
    requested_at: Seconds = 0.0
    #: When another host was last asked to decide instead.
    moved_at: Seconds = 0.0
    #: The hosts that were told of the current dispatch, beside the one that granted it.
    registered_with: set[HostId] = set()
    server: ServerId | None = None
    dispatched_at: Seconds = 0.0
    first_token: Seconds = 0.0
    #: When the caller last got something; its arrival is the time before that.
    last_event_at: Seconds = 0.0
    output_tokens: Tokens = 0
    connection_retries: int = 0
    tried_servers: tuple[ServerId, ...] = ()
    may_have_run: bool = False
    claim_held: bool = False
    #: Subjects as the grant of the current dispatch described them.
    alone_subjects: tuple[int, ...] = ()
    familiar_parts: tuple[int, ...] = ()
    caller_gone: bool = False
    #: Servers whose version this attempt may not get, during a rollout.
    barred: tuple[ServerId, ...] = ()
    #: Whether this attempt goes to a version that is unproven.
    exposed: bool = False
    #: Least number of excluded servers, by which coordinators tell attempts apart.
    least_excluded: int = 0
    #: The engine that the run is being moved to, and the host that proposed it.
    move_target: ServerId | None = None
    move_proposer: HostId | None = None
    second_run: SecondRun | None = None
    #: The id of the current permit, where it is that of a second run; or nothing.
    second_permit: RequestId = RequestId("")

    @classmethod
    def from_arrival(cls, arrival: RequestArrived, deployment: Deployment) -> "Request":
        """Create the state of a request that has just arrived."""
        workspace = deployment.workspaces[arrival.workspace]
        return cls(
            arrival=arrival,
            work_class=deployment.classes[arrival.work_class],
            tier_rank=deployment.tiers[arrival.tier].rank,
            weight=workspace.weight,
            deadline=arrival.now + arrival.timeout,
        )

    @property
    def is_final(self) -> bool:
        """Return whether the outcome is settled."""
        return self.state in FINAL_STATES

    @property
    def is_running(self) -> bool:
        """Return whether a server may be executing the request."""
        return self.state in RUNNING_STATES

    @property
    def may_rerun(self) -> bool:
        """Return whether a request that may have executed can be dispatched again."""
        return self.arrival.repeatable and self.may_redispatch

    @property
    def may_redispatch(self) -> bool:
        """Return whether a request that was not executed can go to another server."""
        return (
            not self.caller_gone and len(self.tried_servers) < self.arrival.max_attempts
        )

    @property
    def permit_id(self) -> RequestId:
        """Return the id of the current dispatch's permit."""
        return self.second_permit or self.arrival.request_id

    def swap_runs(self) -> None:
        """Have the state describe the second run, and the other one be the second."""
        run, server = self.second_run, self.server
        assert run is not None and server is not None
        self.second_run = SecondRun(
            server=server,
            permit_id=self.permit_id,
            dispatched_at=self.dispatched_at,
        )
        self.server, self.dispatched_at = run.server, run.dispatched_at
        own = run.permit_id == self.arrival.request_id
        self.second_permit = RequestId("") if own else run.permit_id

    def transition_to(self, state: RequestState) -> None:
        """Change the state; a transition outside the state table is a bug."""
        allowed = _NEXT_STATES.get(self.state, set())
        refused = state is RequestState.NOT_RUN and self.state in _UNDISPATCHED_STATES
        if state not in allowed and not refused:
            raise AssertionError(f"Request can't change from {self.state} to {state}.")
        self.state = state

    def bar(self, servers: tuple[ServerId, ...]) -> None:
        """Exclude the servers of other versions from the next permit request."""
        if self.requested_at and (self.barred or servers):
            self.least_excluded = len(self._excluded()) + 1
        self.barred = servers

    def _excluded(self) -> tuple[ServerId, ...]:
        """Return the servers that the next permit request excludes.

        A request that replaces another one has more of them, by names of no server.
        """
        if not (self.barred or self.least_excluded):
            return self.tried_servers
        found = tuple(dict.fromkeys((*self.tried_servers, *self.barred)))
        return found + (NO_SERVER,) * (self.least_excluded - len(found))

    def permit_request(self, now: Seconds) -> PermitRequest:
        """Return the message that requests this request's permit."""
        arrival = self.arrival
        return PermitRequest(
            request_id=arrival.request_id,
            shard=self.shard,
            workspace=arrival.workspace,
            tier_rank=self.tier_rank,
            class_rank=self.work_class.rank,
            remaining=self.deadline - now,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.output_tokens,
            model=arrival.model,
            prefixes=arrival.prefixes,
            bulk=self.work_class.bulk,
            may_be_refused=self.work_class.may_be_refused,
            weight=self.weight,
            objective=self._remaining_objective(now),
            prefix_lengths=arrival.prefix_lengths,
            excluded=self._excluded(),
            quota_cost=self._quota_cost,
            patience=self._remaining_patience(now),
            digest=arrival.digest,
            may_have_run=self.may_have_run,
        )

    @property
    def _quota_cost(self) -> float:
        """Return the cost of the first permit request; later ones are paid for."""
        paid = bool(self.tried_servers) or self.least_excluded > 0
        return 0.0 if paid else self.arrival.quota_cost

    def _remaining_patience(self, now: Seconds) -> Seconds:
        """Return how long the caller still waits for the next event."""
        left = self.deadline - now
        if not self.arrival.event_timeout:
            return left
        since = max(self.arrival.now, self.last_event_at)
        return min(left, since + self.arrival.event_timeout - now)

    def _remaining_objective(self, now: Seconds) -> Seconds:
        """Return the time left until the objective; negative once it has passed."""
        if not self.arrival.objective:
            return 0.0
        return self.arrival.now + self.arrival.objective - now

    def running_work(self, now: Seconds) -> RunningWork:
        """Return the description of the dispatch for a new coordinator."""
        assert self.server is not None
        return RunningWork(
            request=self._permit_request_of(self.permit_id, now),
            server=self.server,
            output_tokens=self.output_tokens,
            elapsed=now - self.dispatched_at,
        )

    def second_work(self, run: SecondRun, now: Seconds) -> RunningWork:
        """Return the description of a second run for a new coordinator."""
        return RunningWork(
            request=self._permit_request_of(run.permit_id, now),
            server=run.server,
            output_tokens=0,
            elapsed=now - run.dispatched_at,
        )

    def _permit_request_of(self, permit_id: RequestId, now: Seconds) -> PermitRequest:
        request = self.permit_request(now)
        if permit_id == request.request_id:
            return request
        return msgspec.structs.replace(request, request_id=permit_id, quota_cost=0.0)
