"""Measure, in virtual time, how a fleet serves through a disruption and afterwards.

Every event occupies its host for a time, so messages wait at a busy host and are
handled late, in order.
"""

import math
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum

import msgspec

from .catalog import BudgetLimits
from .config import Deployment
from .control_engine import EngineJob, SimulatedEngine, service_time
from .control_fleet import MODEL, POOL, PeerLinks, VirtualTime, engine_deployment
from .coordinator import Coordinator
from .core import HostState, reduce
from .effects import (
    CancelDispatch,
    CountMetric,
    Dispatch,
    Effect,
    SendToHost,
    SettleRequest,
)
from .events import (
    CallerGone,
    DispatchFailed,
    DispatchFinished,
    DispatchRefused,
    Event,
    FirstTokenSeen,
    MembersChanged,
    PeerLost,
    PeerReceived,
    RequestArrived,
    SettingsApplied,
    Ticked,
    TokensSeen,
)
from .messages import (
    Message,
    PermitGrant,
    PermitProgress,
    PermitRequest,
    Registration,
)
from .running import can_rerun
from .types import (
    ClassId,
    HostId,
    Outcome,
    RequestId,
    Seconds,
    ServerId,
    TierId,
    Tokens,
    WorkspaceId,
    ZoneId,
)

ZONES = (ZoneId("a"), ZoneId("b"), ZoneId("c"))
#: Relative speeds of the engines, in turn.
SPEEDS = (0.55, 1.0, 2.8)
SLOTS = 7
ENGINE_QUEUE = 14
MIN_SERVERS = 8
#: Hosts and servers of the fleet that the others are scaled from.
HOSTS_OF_REFERENCE = 137
SERVERS_OF_REFERENCE = 56
#: Processor time per second of most hosts, of the large ones, and their number.
SHARE = 0.361
LARGE_SHARE = 2.15
LARGE_HOSTS = 6

#: Processor time of a whole core, after docs/CAPACITY.md.
EVENT_COST: Seconds = 40e-6
MESSAGE_COST: Seconds = 13e-6
TICK_COST: Seconds = 14e-6
#: A quarter each of the cost of a request and a tick in a shard with a queue.
PASS_COST: Seconds = 64e-6
PASS_COST_PER_SERVER: Seconds = 2.25e-6
DISPATCH_COST: Seconds = 1.81e-3
PIECE_COST: Seconds = 79e-6
TOKENS_PER_PIECE: Tokens = 7

TICK: Seconds = 0.05
COORDINATOR_TIMEOUT: Seconds = 0.35
ZONE_DELAY: Seconds = 0.0005
DELAY: Seconds = 0.001
SERVER_DELAY: Seconds = 0.001
CONNECT_TIMEOUT: Seconds = 0.3
PROGRESS_PERIOD: Seconds = 0.5
START_TIMEOUT: Seconds = 1.5
#: Time until a host learns of a change of the lists of hosts and servers.
MAX_LIST_DELAY: Seconds = 0.5
HOST_EXPIRY_TIME: Seconds = 2.0
SERVER_EXPIRY_TIME: Seconds = 2.7
LOST_CONNECTION_DELAY: Seconds = 0.05
#: Budget for repeated dispatches that all hosts share, and the time to refill it.
REPEATS = 135.0
REPEAT_WINDOW: Seconds = 8.0
#: Largest retry-after that a caller honors, as a part of its time left.
HONORED_RETRY = 1 / 3
#: Part of the servers that is lost at once.
LOST_SERVERS = 0.25

#: Time before the calm is measured.
WARM_UP: Seconds = 2.0
#: Time for which the load goes on after the last request that counts.
RUN_OUT: Seconds = 3.0
#: Time after the load in which answers are still awaited.
ANSWER_TIME: Seconds = 15.0
WINDOW: Seconds = 1.0
WINDOW_STEP: Seconds = 0.25
RECOVERED_SHARE = 0.9


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """Define one kind of request; `share` is its part of the load."""

    name: str
    priority: int
    share: float
    objective: Seconds
    timeout: Seconds
    prompt_tokens: Tokens
    output_tokens: Tokens
    spread: float
    attempts: int = 1
    repeatable: bool = False


KINDS = (
    Kind(
        name="large",
        priority=0,
        share=0.32,
        objective=1.0,
        timeout=15.0,
        prompt_tokens=6_600,
        output_tokens=380,
        spread=0.7,
    ),
    Kind(
        name="medium",
        priority=1,
        share=0.2,
        objective=0.5,
        timeout=12.0,
        prompt_tokens=630,
        output_tokens=290,
        spread=0.7,
        attempts=2,
        repeatable=True,
    ),
    Kind(
        name="small",
        priority=2,
        share=0.48,
        objective=0.6,
        timeout=3.0,
        prompt_tokens=1_800,
        output_tokens=22,
        spread=0.7,
    ),
)


class Disruption(StrEnum):
    """Represent what disturbs a fleet."""

    BURST = "burst"
    SLOW = "slow"
    UNREACHABLE = "unreachable"
    KILLED = "killed"
    ISOLATED = "isolated"
    SERVERS = "servers"


class OverloadCase(msgspec.Struct, frozen=True, kw_only=True):
    """Define one simulated fleet, its load and what disturbs it.

    `load` is the calm one as a part of all slots. A burst multiplies it by `burst`;
    a slow coordinator's host has its processor slowed by `slowness`.
    """

    hosts: int = 3
    servers: int = 0
    disruption: Disruption = Disruption.BURST
    load: float = 0.55
    burst: float = 2.0
    slowness: float = 5.0
    calm: Seconds = 5.0
    disrupted: Seconds = 5.0
    after: Seconds = 10.0
    loss: float = 0.0
    large_hosts: int = LARGE_HOSTS
    seed: int = 1

    @property
    def server_count(self) -> int:
        """Return the number of servers, by default in proportion to the hosts."""
        scaled = round(self.hosts * SERVERS_OF_REFERENCE / HOSTS_OF_REFERENCE)
        return self.servers or max(MIN_SERVERS, scaled)

    @property
    def starts_at(self) -> Seconds:
        """Return the start of the disruption."""
        return WARM_UP + self.calm

    @property
    def ends_at(self) -> Seconds:
        """Return the end of the disruption."""
        return self.starts_at + self.disrupted

    @property
    def counted_until(self) -> Seconds:
        """Return the end of the time that counts."""
        return self.ends_at + self.after


class InTime(msgspec.Struct, frozen=True):
    """Report the part of the callers answered in time, in all and by kind.

    In time is a whole answer whose first token came within the objective.
    """

    total: float
    kinds: dict[str, float]


class OverloadResult(msgspec.Struct, frozen=True, kw_only=True):
    """Report the outcome of one case.

    `recovery` is the time from the end of the disruption until the part answered in
    time stays at nine tenths of the calm one. `own` counts at servers what hosts decided without
    the coordinator's role: the most at one server, and at all of them at once.
    """

    calm: InTime
    disrupted: InTime
    after: InTime
    recovery: Seconds | None
    slots: int
    server_peak: int
    own_peak: int
    own_total: int
    own_grants: int
    arrivals: int
    rejected: int
    requests: int
    messages: int
    lateness: Seconds
    fallbacks: int
    stand_ins: int


class _Call(msgspec.Struct, eq=False, kw_only=True):
    """Track one caller's request over its attempts."""

    kind: Kind
    sent: Seconds
    prompt_tokens: Tokens
    output_tokens: Tokens
    hint: Tokens
    retried: bool = False
    first_token: Seconds | None = None
    finished: Seconds | None = None

    @property
    def deadline(self) -> Seconds:
        return self.sent + self.kind.timeout

    @property
    def in_time(self) -> bool:
        """Return whether the whole answer came, and began within the objective."""
        if self.finished is None or self.first_token is None:
            return False
        return self.first_token - self.sent <= self.kind.objective


class _Attempt(msgspec.Struct, eq=False, kw_only=True):
    """Track one request at a host, and its current dispatch."""

    call: _Call
    host: "_Host"
    dispatch: int = 0
    engine: SimulatedEngine | None = None
    job: EngineJob | None = None
    own: bool = False


class _Host:
    """Handle the events of one host one after the other, at its processor's speed."""

    def __init__(self, state: HostState, share: float) -> None:
        self.state = state
        self.share = share
        self.slowness = 1.0
        self.alive = True
        self.inbox: deque[tuple[Seconds, Event, float]] = deque()
        self.busy = False

    @property
    def name(self) -> HostId:
        """Return the host's name."""
        return self.state.host


class OverloadFleet(VirtualTime):
    """Run the reducers of all hosts before simulated engines and callers."""

    def __init__(self, case: OverloadCase) -> None:
        super().__init__()
        self.case = case
        self.rng = random.Random(case.seed)
        self._links = PeerLinks(self.rng, loss=case.loss)
        self.engines: dict[ServerId, SimulatedEngine] = {}
        for number in range(case.server_count):
            engine = SimulatedEngine(
                ServerId(f"s-{number}"),
                self,
                zone=ZONES[number // len(SPEEDS) % len(ZONES)],
                slots=SLOTS,
                queue=ENGINE_QUEUE,
                speed=SPEEDS[number % len(SPEEDS)],
            )
            self.engines[engine.name] = engine
        self._listed = {name: item.instance() for name, item in self.engines.items()}
        names = tuple(HostId(f"host-{number}") for number in range(case.hosts))
        self.zones = {name: ZONES[at % len(ZONES)] for at, name in enumerate(names)}
        #: Processor time per second of each host; the first ones may be large.
        self.capacities = {
            name: self._capacity(number) for number, name in enumerate(names)
        }
        self.unreachable: set[HostId] = set()
        self.burst = 1.0
        self.calls: list[_Call] = []
        self.attempts: dict[RequestId, _Attempt] = {}
        self._own_grants: set[RequestId] = set()
        self._own_at: Counter[ServerId] = Counter()
        self.own_grants = 0
        self.own_peak = 0
        self.own_total = 0
        self.server_peak = 0
        self.arrivals = 0
        self.rejected = 0
        self.messages = 0
        self.fallbacks = 0
        self.stand_ins = 0
        self.lateness: Seconds = 0.0
        self.hosts = {name: _Host(self._state(name, names), 1.0) for name in names}
        for name, host in self.hosts.items():
            host.share = self.capacities[name]
            self._start_ticks(host)

    def _capacity(self, number: int) -> float:
        large = number < self.case.large_hosts < self.case.hosts
        return LARGE_SHARE if large else SHARE

    def _state(self, name: HostId, names: tuple[HostId, ...]) -> HostState:
        return HostState(
            host=name,
            zone=self.zones[name],
            deployment=self._deployment(),
            hosts=names,
            now=self.now,
            coordinator_timeout=COORDINATOR_TIMEOUT,
            capacities=self.capacities,
        )

    def _deployment(self) -> Deployment:
        part = REPEATS / self.case.hosts
        limits = BudgetLimits(
            repeat_burst=part, repeat_refill=part / REPEAT_WINDOW, repeat_ratio=0.05
        )
        return engine_deployment(self._listed, slots=SLOTS, limits=limits)

    # Processing.

    def enqueue(self, host: _Host, event: Event, *, cost: Seconds = 0.0) -> None:
        """Let an event wait for a host's processor; `cost` is its cost in addition."""
        if not host.alive:
            return
        host.inbox.append((self.now, event, cost))
        if not host.busy:
            self._handle_next(host)

    def _handle_next(self, host: _Host) -> None:
        if not host.alive or not host.inbox:
            host.busy = False
            return
        host.busy = True
        queued_at, event, extra = host.inbox.popleft()
        state = host.state
        waiting = self._servers_to_place(state)
        if state.coordinators:
            self.lateness = max(self.lateness, self.now - queued_at)
        effects = reduce(state, msgspec.structs.replace(event, now=self.now))
        self._note_grants(state, effects)
        cost = extra + self._cost(state, event, effects, waiting)
        done_at = self.now + cost * host.slowness / host.share
        self.at(done_at, lambda: self._complete(host, event, effects))

    def _complete(self, host: _Host, event: Event, effects: Sequence[Effect]) -> None:
        if not host.alive:
            return
        for effect in effects:
            self._perform(host, effect)
        if isinstance(event, Ticked):
            tick = Ticked(now=self.now)
            self.at(self.now + TICK, lambda: self.enqueue(host, tick))
        self._handle_next(host)

    def _servers_to_place(self, state: HostState) -> int:
        """Return the servers of the coordinators and fallbacks that have a queue."""
        return sum(
            len(item.servers) for item in self._deciding(state) if len(item.queue)
        )

    @staticmethod
    def _deciding(state: HostState) -> list[Coordinator]:
        return [*state.coordinators.values(), *state.fallbacks.values()]

    def _cost(
        self, state: HostState, event: Event, effects: Sequence[Effect], waiting: int
    ) -> Seconds:
        sent = sum(
            isinstance(effect, SendToHost) and effect.host != state.host
            for effect in effects
        )
        dispatched = sum(isinstance(effect, Dispatch) for effect in effects)
        cost = MESSAGE_COST * sent + DISPATCH_COST * dispatched
        if isinstance(event, Ticked):
            return cost + TICK_COST + self._pass_cost(waiting)
        if not isinstance(event, PeerReceived):
            return cost + EVENT_COST
        if event.sender != state.host:
            cost += MESSAGE_COST
        cost += EVENT_COST
        message = event.message
        if isinstance(message, Registration):
            cost += EVENT_COST * (len(message.waiting) + len(message.running))
        if isinstance(message, PermitProgress) and message.output_tokens > 1:
            return cost
        if isinstance(message, PermitRequest) and not waiting:
            deciding = self._deciding(state)
            waiting = max((len(item.servers) for item in deciding), default=0)
        return cost + self._pass_cost(waiting)

    @staticmethod
    def _pass_cost(servers: int) -> Seconds:
        return PASS_COST + PASS_COST_PER_SERVER * servers if servers else 0.0

    def _start_ticks(self, host: _Host) -> None:
        tick = Ticked(now=self.now)
        at = self.now + self.rng.uniform(0, TICK)
        self.at(at, lambda: self.enqueue(host, tick))

    # Effects.

    def _note_grants(self, state: HostState, effects: Sequence[Effect]) -> None:
        """Note the grants of hosts that decide in place of the coordinator."""
        for effect in effects:
            if not isinstance(effect, SendToHost):
                continue
            grant = effect.message
            if not isinstance(grant, PermitGrant):
                continue
            if not _has_role(state, effect.host, grant):
                self.own_grants += 1
                self._own_grants.add(grant.request_id)
            else:
                self._own_grants.discard(grant.request_id)

    def _perform(self, host: _Host, effect: Effect) -> None:
        if isinstance(effect, SendToHost):
            self._send(host, effect.host, effect.message)
        elif isinstance(effect, Dispatch):
            self._dispatch(host, effect)
        elif isinstance(effect, CancelDispatch):
            self._break(self.attempts[effect.request_id])
        elif isinstance(effect, SettleRequest):
            self._settle(effect)
        elif isinstance(effect, CountMetric):
            self.fallbacks += effect.name == "coordinator.fallbacks"
            self.stand_ins += effect.name == "coordinator.stand_ins"

    def _send(self, host: _Host, target: HostId, message: Message) -> None:
        received = PeerReceived(now=self.now, sender=host.name, message=message)
        if target == host.name:
            self.enqueue(host, received)
            return
        self.messages += 1
        if self.unreachable & {host.name, target}:
            return
        same = self.zones[host.name] == self.zones[target]
        arrive = self._links.arrival(
            host.name, target, now=self.now, delay=ZONE_DELAY if same else DELAY
        )
        if arrive is not None:
            self.at(arrive, lambda: self.enqueue(self.hosts[target], received))

    def _settle(self, effect: SettleRequest) -> None:
        call = self.attempts[effect.request_id].call
        if effect.outcome is not Outcome.NOT_RUN or call.retried:
            return
        left = call.deadline - self.now
        if 0 < effect.retry_after <= left * HONORED_RETRY:
            call.retried = True
            self.at(self.now + effect.retry_after, lambda: self._attempt(call))

    # Engines.

    def _dispatch(self, host: _Host, effect: Dispatch) -> None:
        attempt = self.attempts[effect.request_id]
        attempt.dispatch += 1
        attempt.own = effect.request_id in self._own_grants
        engine, number = self.engines[effect.server], attempt.dispatch
        delay = SERVER_DELAY if engine.alive else CONNECT_TIMEOUT
        self.at(
            self.now + delay,
            lambda: self._reach(effect.request_id, attempt, engine, number),
        )

    def _reach(
        self,
        request_id: RequestId,
        attempt: _Attempt,
        engine: SimulatedEngine,
        number: int,
    ) -> None:
        if attempt.dispatch != number or not attempt.host.alive:
            return
        if not engine.alive:
            refused = DispatchRefused(now=self.now, request_id=request_id)
            self._report(attempt, number, refused)
            return
        call = attempt.call
        job = EngineJob(
            request_id=request_id,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            on_first_token=lambda: self._begin_answer(request_id, attempt, number),
            on_finish=lambda: self._finish(request_id, attempt, number),
        )
        self.arrivals += 1
        attempt.engine, attempt.job = engine, job
        if attempt.own:
            self._own_at[engine.name] += 1
        accepted = engine.accept(job)
        self._observe(engine, rejected=not accepted)
        if not accepted:
            self.rejected += 1
            self._leave(attempt)
            refused = DispatchRefused(
                now=self.now, request_id=request_id, by_server=True
            )
            self.at(
                self.now + SERVER_DELAY,
                lambda: self._report(attempt, number, refused),
            )
        elif call.kind.repeatable:
            self.at(
                self.now + START_TIMEOUT,
                lambda: self._check_start(request_id, attempt, number),
            )

    def _observe(self, engine: SimulatedEngine, *, rejected: bool) -> None:
        self.server_peak = max(self.server_peak, engine.size + rejected)
        self.own_peak = max(self.own_peak, self._own_at[engine.name])
        self.own_total = max(self.own_total, self._own_at.total())

    def _leave(self, attempt: _Attempt) -> None:
        """Take a request away from its engine's totals."""
        engine, attempt.engine, attempt.job = attempt.engine, None, None
        if engine is not None and attempt.own:
            self._own_at[engine.name] -= 1

    def _break(self, attempt: _Attempt) -> EngineJob | None:
        """Break off the current dispatch, and return what ran."""
        attempt.dispatch += 1
        engine, job = attempt.engine, attempt.job
        self._leave(attempt)
        if engine is not None and job is not None:
            engine.remove(job)
        return job

    def _report(self, attempt: _Attempt, number: int, event: Event) -> None:
        if attempt.dispatch == number:
            self.enqueue(attempt.host, event)

    def _check_start(
        self, request_id: RequestId, attempt: _Attempt, number: int
    ) -> None:
        """Give up a silent server if the request may go to another one."""
        if attempt.dispatch != number or attempt.job is None:
            return
        if attempt.job.tokens_at(self.now):
            return
        state = attempt.host.state
        req = state.requests.get(request_id)
        if req is None or not can_rerun(state, req):
            return
        self._break(attempt)
        failed = DispatchFailed(now=self.now, request_id=request_id)
        self.enqueue(attempt.host, failed)

    def _begin_answer(
        self, request_id: RequestId, attempt: _Attempt, number: int
    ) -> None:
        if attempt.call.first_token is None:
            attempt.call.first_token = self.now
        seen = FirstTokenSeen(now=self.now, request_id=request_id)
        self.enqueue(attempt.host, seen, cost=PIECE_COST)
        self._progress_later(request_id, attempt, number)

    def _progress_later(
        self, request_id: RequestId, attempt: _Attempt, number: int
    ) -> None:
        at = self.now + PROGRESS_PERIOD
        self.at(at, lambda: self._progress(request_id, attempt, number))

    def _progress(self, request_id: RequestId, attempt: _Attempt, number: int) -> None:
        if attempt.dispatch != number or attempt.job is None:
            return
        job = attempt.job
        seen = TokensSeen(
            now=self.now,
            request_id=request_id,
            output_tokens=job.tokens_at(self.now),
        )
        pieces = PROGRESS_PERIOD / job.token_interval / TOKENS_PER_PIECE
        self.enqueue(attempt.host, seen, cost=pieces * PIECE_COST)
        self._progress_later(request_id, attempt, number)

    def _finish(self, request_id: RequestId, attempt: _Attempt, number: int) -> None:
        if attempt.dispatch != number:
            return
        self._leave(attempt)
        call = attempt.call
        if call.finished is None and self.now <= call.deadline:
            call.finished = self.now
        finished = DispatchFinished(
            now=self.now, request_id=request_id, output_tokens=call.output_tokens
        )
        self.enqueue(attempt.host, finished)

    # Callers.

    def start_load(self) -> None:
        """Schedule the callers' requests."""
        self._send_next()

    @property
    def calm_rate(self) -> float:
        """Return the requests per second that fill the calm part of the slots."""
        slots_per_time = sum(
            SLOTS / self._mean_time(engine.speed) for engine in self.engines.values()
        )
        return self.case.load * slots_per_time

    @staticmethod
    def _mean_time(speed: float) -> Seconds:
        return sum(
            kind.share
            * service_time(
                kind.prompt_tokens, kind.output_tokens, slots=SLOTS, speed=speed
            )
            for kind in KINDS
        )

    def _send_next(self) -> None:
        if self.now > self.case.counted_until + RUN_OUT:
            return
        kind = self.rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        output = self._size(kind.output_tokens, kind.spread)
        call = _Call(
            kind=kind,
            sent=self.now,
            prompt_tokens=self._size(kind.prompt_tokens, kind.spread),
            output_tokens=output,
            hint=output if self.rng.random() < 0.5 else kind.output_tokens,
        )
        self.calls.append(call)
        self._attempt(call)
        wait = self.rng.expovariate(self.calm_rate * self.burst)
        self.at(self.now + wait, self._send_next)

    def _size(self, mean: Tokens, spread: float) -> Tokens:
        drawn = self.rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)
        return max(2, min(4 * mean, round(drawn)))

    def _attempt(self, call: _Call) -> None:
        alive = [host for host in self.hosts.values() if host.alive]
        host = self.rng.choice(alive)
        request_id = RequestId(f"r-{len(self.attempts)}")
        self.attempts[request_id] = _Attempt(call=call, host=host)
        kind = call.kind
        arrived = RequestArrived(
            now=self.now,
            request_id=request_id,
            workspace=WorkspaceId(""),
            tier=TierId(str(kind.priority)),
            work_class=ClassId(f"cancelled-{kind.priority}"),
            pool=POOL,
            timeout=call.deadline - self.now,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.hint,
            model=MODEL,
            objective=kind.objective,
            max_attempts=kind.attempts,
            repeatable=kind.repeatable,
        )
        self.enqueue(host, arrived)
        self.at(call.deadline, lambda: self._give_up(request_id))

    def _give_up(self, request_id: RequestId) -> None:
        """End a request at its caller's deadline."""
        attempt = self.attempts[request_id]
        req = attempt.host.state.requests.get(request_id)
        if req is None:
            return
        if attempt.job is None:
            gone: Event = CallerGone(now=self.now, request_id=request_id)
        else:
            gone = DispatchFailed(now=self.now, request_id=request_id, timed_out=True)
            self._break(attempt)
        self.enqueue(attempt.host, gone)

    # Disruptions.

    def coordinating_hosts(self) -> list[_Host]:
        """Return the hosts that decide on the pool's shards."""
        state = next(host.state for host in self.hosts.values() if host.alive)
        names = {state.coordinator_of(shard) for shard in state.shards_of(POOL)}
        return [self.hosts[name] for name in sorted(names)]

    def schedule_disruption(self) -> None:
        """Schedule the case's disruption and its end."""
        start = {
            Disruption.BURST: self._start_burst,
            Disruption.SLOW: self._slow_coordinators,
            Disruption.UNREACHABLE: self._cut_coordinators,
            Disruption.KILLED: self._kill_coordinators,
            Disruption.ISOLATED: self._cut_all,
            Disruption.SERVERS: self._lose_servers,
        }[self.case.disruption]
        self.at(self.case.starts_at, lambda: self.at(self.case.ends_at, start()))

    def _start_burst(self) -> Callable[[], None]:
        self.burst = self.case.burst

        def end() -> None:
            self.burst = 1.0

        return end

    def _slow_coordinators(self) -> Callable[[], None]:
        slowed = self.coordinating_hosts()
        for host in slowed:
            host.slowness = self.case.slowness

        def end() -> None:
            for host in slowed:
                host.slowness = 1.0

        return end

    def _cut_coordinators(self) -> Callable[[], None]:
        self.unreachable.update(host.name for host in self.coordinating_hosts())
        return self.unreachable.clear

    def _cut_all(self) -> Callable[[], None]:
        self.unreachable.update(self.hosts)
        return self.unreachable.clear

    def _kill_coordinators(self) -> Callable[[], None]:
        killed = self.coordinating_hosts()
        for host in killed:
            self._kill(host)
        rest = tuple(name for name, host in self.hosts.items() if host.alive)
        self.at(self.now + HOST_EXPIRY_TIME, lambda: self._list_hosts(rest))

        def end() -> None:
            names = tuple(self.hosts)
            for host in killed:
                started = _Host(self._state(host.name, names), host.share)
                self.hosts[host.name] = started
                self._start_ticks(started)
            self._list_hosts(names)

        return end

    def _kill(self, host: _Host) -> None:
        host.alive = False
        for attempt in self.attempts.values():
            if attempt.host is host:
                self._break(attempt)
        for other in self.hosts.values():
            lost = PeerLost(now=self.now, host=host.name)
            at = self.now + self.rng.uniform(0.0, LOST_CONNECTION_DELAY)
            self.at(at, lambda other=other, lost=lost: self.enqueue(other, lost))  # type: ignore[misc]

    def _list_hosts(self, names: tuple[HostId, ...]) -> None:
        self._tell_all(lambda: MembersChanged(now=self.now, hosts=names))

    def _lose_servers(self) -> Callable[[], None]:
        count = max(1, round(len(self.engines) * LOST_SERVERS))
        lost = self.rng.sample(list(self.engines.values()), count)
        for engine in lost:
            jobs = {job.request_id for job in engine.stop()}
            for request_id in jobs:
                attempt = self.attempts[request_id]
                self._leave(attempt)
                attempt.dispatch += 1
                failed = DispatchFailed(
                    now=self.now, request_id=request_id, server_ended=True
                )
                self.enqueue(attempt.host, failed)
        self.at(self.now + SERVER_EXPIRY_TIME, self._list_servers)

        def end() -> None:
            for engine in lost:
                engine.start()
            self._list_servers()

        return end

    def _list_servers(self) -> None:
        self._listed = {
            name: item.instance() for name, item in self.engines.items() if item.alive
        }
        deployment = self._deployment()
        self._tell_all(lambda: SettingsApplied(now=self.now, deployment=deployment))

    def _tell_all(self, make: Callable[[], Event]) -> None:
        for host in self.hosts.values():
            at = self.now + self.rng.uniform(0.0, MAX_LIST_DELAY)
            self.at(at, lambda host=host: self.enqueue(host, make()))  # type: ignore[misc]

    # Results.

    def in_time(self, since: Seconds, until: Seconds) -> InTime:
        """Return which part of the requests of a time were answered in time."""
        sent: Counter[str] = Counter()
        answered: Counter[str] = Counter()
        for call in self.calls:
            if since <= call.sent < until:
                sent[call.kind.name] += 1
                answered[call.kind.name] += call.in_time
        kinds = {
            kind.name: answered[kind.name] / max(1, sent[kind.name]) for kind in KINDS
        }
        return InTime(answered.total() / max(1, sent.total()), kinds)

    def recovery(self, calm: float) -> Seconds | None:
        """Return how long after the disruption as many as before are in time again."""
        steps = int((self.case.after - WINDOW) / WINDOW_STEP)
        recovered: Seconds | None = None
        for step in range(steps + 1):
            since = self.case.ends_at + step * WINDOW_STEP
            share = self.in_time(since, since + WINDOW).total
            if share < RECOVERED_SHARE * calm:
                recovered = None
            elif recovered is None:
                recovered = step * WINDOW_STEP
        return recovered

    def result(self) -> OverloadResult:
        """Return the outcome of a case that has run to its end."""
        case = self.case
        calm = self.in_time(WARM_UP, case.starts_at)
        return OverloadResult(
            calm=calm,
            disrupted=self.in_time(case.starts_at, case.ends_at),
            after=self.in_time(case.ends_at, case.counted_until),
            recovery=self.recovery(calm.total),
            slots=SLOTS,
            server_peak=self.server_peak,
            own_peak=self.own_peak,
            own_total=self.own_total,
            own_grants=self.own_grants,
            arrivals=self.arrivals,
            rejected=self.rejected,
            requests=len(self.calls),
            messages=self.messages,
            lateness=self.lateness,
            fallbacks=self.fallbacks,
            stand_ins=self.stand_ins,
        )


def _has_role(state: HostState, target: HostId, grant: PermitGrant) -> bool:
    """Return whether a host grants as the shard's coordinator."""
    if target == state.host and grant.shard in state.fallbacks:
        return False
    coordinator = state.coordinators.get(grant.shard)
    return coordinator is None or coordinator.has_role


def run_case(case: OverloadCase) -> OverloadResult:
    """Simulate one case."""
    fleet = OverloadFleet(case)
    fleet.schedule_disruption()
    fleet.start_load()
    fleet.run_until(case.counted_until + RUN_OUT + ANSWER_TIME)
    return fleet.result()


def format_overload(cases: Iterable[OverloadCase]) -> str:
    """Run each case and return a Markdown table."""
    lines = [
        "| hosts | servers | disruption | in time, calm | disrupted | large, medium, small"
        " | after | recovery, s | most at a server | own, most at one, sum (slots)"
        " | rejected | messages a request | lateness, s | stand-ins, fallbacks |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for case in cases:
        result = run_case(case)
        total = result.slots * case.server_count
        cells = (
            case.hosts,
            case.server_count,
            case.disruption,
            f"{result.calm.total:.2f}",
            f"{result.disrupted.total:.2f}",
            ", ".join(f"{part:.2f}" for part in result.disrupted.kinds.values()),
            f"{result.after.total:.2f}",
            "never" if result.recovery is None else f"{result.recovery:g}",
            result.server_peak,
            f"{result.own_peak} ({result.slots}), {result.own_total} ({total})",
            f"{result.rejected} of {result.arrivals}",
            f"{result.messages / result.requests:.1f}",
            f"{result.lateness:.2f}",
            f"{result.stand_ins}, {result.fallbacks}",
        )
        lines.append("| " + " | ".join(str(cell) for cell in cells) + " |")
    return "\n".join(lines)
