"""Measure, in virtual time, whether a fleet keeps the limits that its servers name.

The hosts run the real reducers. What every server gets is judged in sum over all hosts,
while hosts start, stop, freeze and are cut off, deciders change and limits move.
"""

import itertools
import random
from collections.abc import Callable, Iterable
from enum import StrEnum

import msgspec

from .catalog import BudgetLimits, Catalog, Engine, Instance, RoutedService
from .catalog import deployment_of as compile_catalog
from .config import Deployment
from .control_fleet import KV_TOKENS, MODEL, PeerLinks, VirtualTime
from .core import HostState, reduce
from .effects import Dispatch, Effect, SendToHost
from .events import (
    DispatchFinished,
    Event,
    FirstTokenSeen,
    MembersChanged,
    PeerLost,
    PeerReceived,
    RequestArrived,
    ServerLimitSeen,
    SettingsApplied,
    Ticked,
)
from .leaving import incarnation_of
from .limit_check import CONTACT_TIME, LimitedServer, Window
from .messages import LimitNotice, Message
from .types import (
    ClassId,
    HostId,
    ModelId,
    PoolId,
    RequestId,
    Seconds,
    ServerId,
    ServerState,
    SettingsVersion,
    TierId,
    WorkspaceId,
    ZoneId,
)

ENGINES, LEDGER = PoolId("engines"), PoolId("ledger")
SLOTS = 8
REPEATS = BudgetLimits(repeat_ratio=0.2, repeat_burst=20.0, repeat_refill=2.0)
TICK: Seconds = 0.05
SERVER_DELAY: Seconds = 0.001
#: Time from a request to the head of its answer, and to the end of an engine's answer.
HEAD_TIME: Seconds = 0.04
ANSWER_TIME: Seconds = 0.3
#: Time until other hosts notice that a host is gone or back.
NOTICE_TIME: Seconds = 1.0
#: Time without a message after which a decider isn't waited for.
COORDINATOR_TIMEOUT: Seconds = 0.35
TIMEOUT: Seconds = 4.0
OBJECTIVE: Seconds = 1.0
#: Time for which a disturbed host is excused after the disturbance.
EXCUSED_TIME: Seconds = CONTACT_TIME
#: When random troubles begin, and how long they may last.
TROUBLED_TIME = (2.0, 16.0)
LASTING_TIMES: tuple[Seconds, ...] = (0.3, 0.8, 1.5, 4.0)


class Trouble(StrEnum):
    """Represent what happens to hosts, servers or limits in a case."""

    KILL_HOST = "kill_host"
    KILL_COORDINATOR = "kill_coordinator"
    FREEZE_HOST = "freeze_host"
    FREEZE_COORDINATOR = "freeze_coordinator"
    CUT_HOST = "cut_host"
    CUT_ONE_WAY = "cut_one_way"
    CUT_COORDINATOR = "cut_coordinator"
    RESTART_SERVER = "restart_server"
    LOWER = "lower"
    RAISE = "raise"
    END_LIMIT = "end_limit"
    NAME_LIMIT = "name_limit"


_COORDINATOR_TROUBLES = {
    Trouble.KILL_COORDINATOR,
    Trouble.FREEZE_COORDINATOR,
    Trouble.CUT_COORDINATOR,
}
#: Factor by which limits rise and fall, and limits of servers that named none before.
CHANGE_FACTOR = 4.0
FIRST_LIMIT = 1.0
#: The limit that a server names from the change on, by the one that it named.
_LIMIT_CHANGES: dict[Trouble, Callable[[float | None], float | None]] = {
    Trouble.LOWER: lambda rate: (rate or CHANGE_FACTOR) / CHANGE_FACTOR,
    Trouble.RAISE: lambda rate: (rate or FIRST_LIMIT) * CHANGE_FACTOR,
    Trouble.END_LIMIT: lambda rate: None,
    Trouble.NAME_LIMIT: lambda rate: FIRST_LIMIT,
}


class Incident(msgspec.Struct, frozen=True):
    """Place a trouble in time; `target` picks a host or a server."""

    at: Seconds
    trouble: Trouble
    target: int = 0
    lasting: Seconds = 1.0


class LimitCase(msgspec.Struct, frozen=True, kw_only=True):
    """Define one simulated fleet, its load and its limits.

    Rates are per second, over all hosts. `limits` are those of the first servers, named
    from `limited_at` on.
    """

    hosts: int = 16
    servers: int = 6
    plain: bool = False
    rate: float = 40.0
    limits: tuple[float, ...] = (1.0, 2.2)
    limited_at: Seconds = 1.0
    delay: Seconds = 0.002
    loss: float = 0.0
    duration: Seconds = 20.0
    incidents: tuple[Incident, ...] = ()
    seed: int = 1

    @property
    def pool(self) -> PoolId:
        """Return the pool that is asked."""
        return LEDGER if self.plain else ENGINES


class LimitResult(msgspec.Struct, frozen=True, kw_only=True):
    """Report the outcome of one case.

    `worst` counts the arrivals that the rule counts, `worst_of_all` those of all hosts,
    told or not, disturbed or not. `used` is the least part of its limit that a server got.
    """

    worst: Window
    worst_of_all: Window
    used: float
    served: float
    notices: int
    messages: int


class _Server:
    """Simulate one incarnation of a server."""

    def __init__(self, name: ServerId, number: int, rate: float | None) -> None:
        self.name = name
        self.number = number
        self.rate = rate
        self.judged = LimitedServer()
        self.judged_with_all = LimitedServer(counts_untold=True)

    def name_limit(self, rate: float | None, now: Seconds) -> None:
        """Name a limit from now on, or none."""
        self.rate = rate
        self.judged.name(rate, now)
        self.judged_with_all.name(rate, now)


class LimitFleet(VirtualTime):
    """Run the reducers of all hosts before servers that name limits."""

    def __init__(self, case: LimitCase) -> None:
        super().__init__()
        self.case = case
        self.rng = random.Random(case.seed)
        self._links = PeerLinks(self.rng, loss=case.loss)
        self._numbers = itertools.count(1)
        self.servers: list[_Server] = []
        self.past_servers: list[_Server] = []
        for number in range(case.servers):
            self._start_server(ServerId(f"s-{number}"))
        self.names = tuple(HostId(f"host-{number}") for number in range(case.hosts))
        self.hosts: dict[HostId, HostState] = {}
        self._frozen_until: dict[HostId, Seconds] = {}
        self._excused_until: dict[HostId, Seconds] = {}
        #: Hosts whose messages to others are lost, and those that get none.
        self._mute: set[HostId] = set()
        self._deaf: set[HostId] = set()
        self._sent_at: dict[RequestId, Seconds] = {}
        self._served: set[RequestId] = set()
        self.notices = 0
        self.messages = 0
        for name in self.names:
            self._start_host(name, self.names)
            self.at(self.rng.uniform(0, TICK), lambda name=name: self._tick(name))  # type: ignore[misc]
        for server, rate in zip(self.servers, case.limits, strict=False):
            self.at(
                case.limited_at,
                lambda server=server, rate=rate: server.name_limit(rate, self.now),  # type: ignore[misc]
            )
        for incident in case.incidents:
            self.at(incident.at, lambda incident=incident: self._begin(incident))  # type: ignore[misc]
        self.at(0.0, self._send_next)

    # Hosts.

    def _start_host(self, name: HostId, hosts: tuple[HostId, ...]) -> None:
        self.hosts[name] = HostState(
            host=name,
            zone=ZoneId("z"),
            deployment=self._deployment(),
            hosts=hosts,
            now=self.now,
            coordinator_timeout=max(COORDINATOR_TIMEOUT, 3 * self.case.delay),
        )

    def _tick(self, name: HostId) -> None:
        self.apply(name, Ticked(now=self.now))
        self.at(self.now + TICK, lambda: self._tick(name))

    def apply(self, name: HostId, event: Event) -> None:
        """Apply an event to a host, after a freeze if it has one."""
        frozen_until = self._frozen_until.get(name, 0.0)
        if frozen_until > self.now:
            if not isinstance(event, Ticked):
                self.at(frozen_until, lambda: self.apply(name, event))
            return
        if name not in self.hosts:
            return
        event = msgspec.structs.replace(event, now=self.now)
        for effect in reduce(self.hosts[name], event):
            self._perform(name, effect)

    def _perform(self, host: HostId, effect: Effect) -> None:
        if isinstance(effect, SendToHost):
            self._deliver(host, effect.host, effect.message)
        elif isinstance(effect, Dispatch):
            request_id, server = effect.request_id, effect.server
            sent_at = self.now
            self.at(
                self.now + SERVER_DELAY,
                lambda: self._reach(host, request_id, server, sent_at),
            )

    def _deliver(self, sender: HostId, target: HostId, message: Message) -> None:
        event = PeerReceived(now=self.now, sender=sender, message=message)
        if sender == target:
            self.at(self.now, lambda: self.apply(target, event))
            return
        self.messages += 1
        self.notices += isinstance(message, LimitNotice)
        if target not in self.hosts:
            self.at(
                self.now, lambda: self.apply(sender, PeerLost(now=0.0, host=target))
            )
            return
        if sender in self._mute or target in self._deaf:
            return
        arrive = self._links.arrival(
            sender, target, now=self.now, delay=self.case.delay
        )
        if arrive is not None:
            self.at(arrive, lambda: self.apply(target, event))

    def _members_change(self) -> None:
        """Have every host see those that it can exchange messages with."""
        cut = self._mute | self._deaf
        connected = tuple(name for name in self.names if name in self.hosts)
        others = tuple(name for name in connected if name not in cut)
        for name in connected:
            seen = (name,) if name in cut else others
            self.apply(name, MembersChanged(now=self.now, hosts=seen))

    def coordinator(self) -> HostId:
        """Return the host that coordinates the engines in most hosts' view."""
        shard = next(iter(self.hosts.values())).shards_of(ENGINES)[0]
        views = [state.coordinator_of(shard) for state in self.hosts.values()]
        return max(sorted(set(views)), key=views.count)

    # Servers.

    def _start_server(self, name: ServerId) -> _Server:
        server = _Server(name, next(self._numbers), None)
        self.servers.append(server)
        return server

    def _deployment(self) -> Deployment:
        engine = Engine(slots=SLOTS, kv_tokens=KV_TOKENS, models=(MODEL,))
        services = {
            ENGINES: RoutedService(name=ENGINES, engine=engine),
            LEDGER: RoutedService(name=LEDGER),
        }
        instances = {
            server.name: Instance(
                server=server.name,
                service=self.case.pool,
                address=f"{server.name}:1",
                zone=ZoneId("z"),
                slots=SLOTS,
                state=ServerState.LIVE,
                incarnation=server.number,
            )
            for server in self.servers
        }
        catalog = Catalog(version=SettingsVersion(1), services=services)
        return compile_catalog(catalog, instances, REPEATS)

    def _reach(
        self, host: HostId, request_id: RequestId, name: ServerId, sent_at: Seconds
    ) -> None:
        server = next(item for item in self.servers if item.name == name)
        server.judged_with_all.arrive(host, self.now)
        if self._excused_until.get(host, 0.0) <= self.now:
            server.judged.arrive(host, self.now)
        self.at(
            self.now + HEAD_TIME,
            lambda: self._answer(server, host, request_id, sent_at),
        )

    def _answer(
        self, server: _Server, host: HostId, request_id: RequestId, sent_at: Seconds
    ) -> None:
        state = self.hosts.get(host)
        if state is None:
            return
        if server.rate is not None:
            server.judged.tell(host, self.now)
        incarnation = incarnation_of(state.deployment, server.name)
        if incarnation is not None and incarnation.number == server.number:
            limited = state.server_rates.is_limited(incarnation)
            if server.rate is not None or limited:
                seen = ServerLimitSeen(
                    now=self.now,
                    incarnation=incarnation,
                    rate=server.rate,
                    sent_at=sent_at,
                )
                self.apply(host, seen)
        self.apply(host, FirstTokenSeen(now=self.now, request_id=request_id))
        finished = DispatchFinished(
            now=self.now, request_id=request_id, output_tokens=20
        )
        self._served.add(request_id)
        left = 0.0 if self.case.plain else ANSWER_TIME
        self.at(self.now + left, lambda: self.apply(host, finished))

    # Troubles.

    def _begin(self, incident: Incident) -> None:
        trouble = incident.trouble
        if trouble in _LIMIT_CHANGES:
            server = self.servers[incident.target % max(1, len(self.case.limits))]
            server.name_limit(_LIMIT_CHANGES[trouble](server.rate), self.now)
        elif trouble is Trouble.RESTART_SERVER:
            self._restart_server(self.servers[incident.target % len(self.servers)])
        else:
            self._disturb(trouble, self._target_host(incident), incident.lasting)

    def _target_host(self, incident: Incident) -> HostId:
        if incident.trouble in _COORDINATOR_TROUBLES:
            return self.coordinator()
        return self.names[incident.target % len(self.names)]

    def _disturb(self, trouble: Trouble, host: HostId, lasting: Seconds) -> None:
        if trouble in (Trouble.KILL_HOST, Trouble.KILL_COORDINATOR):
            self._kill(host, lasting)
        elif trouble in (Trouble.FREEZE_HOST, Trouble.FREEZE_COORDINATOR):
            self._excuse(host, lasting)
            self._frozen_until[host] = self.now + lasting
        else:
            deaf = set() if trouble is Trouble.CUT_ONE_WAY else {host}
            self._cut(host, lasting, {host}, deaf)

    def _excuse(self, host: HostId, lasting: Seconds) -> None:
        until = self.now + lasting + EXCUSED_TIME
        self._excused_until[host] = max(until, self._excused_until.get(host, 0.0))

    def _kill(self, host: HostId, lasting: Seconds) -> None:
        if len(self.hosts) <= 1 or host not in self.hosts:
            return
        del self.hosts[host]
        self._excuse(host, lasting)
        for server in self.servers:
            server.judged.forget(host)
        self.at(self.now + min(lasting, NOTICE_TIME), self._members_change)
        self.at(self.now + lasting, lambda: self._return(host))

    def _return(self, host: HostId) -> None:
        self._start_host(host, (host,))
        self._members_change()

    def _cut(
        self, host: HostId, lasting: Seconds, mute: set[HostId], deaf: set[HostId]
    ) -> None:
        self._excuse(host, lasting)
        self._mute |= mute
        self._deaf |= deaf

        def heal() -> None:
            self._mute.discard(host)
            self._deaf.discard(host)
            self.at(self.now + TICK, self._members_change)

        if lasting > NOTICE_TIME:
            self.at(self.now + NOTICE_TIME, self._members_change)
        self.at(self.now + lasting, heal)

    def _restart_server(self, server: _Server) -> None:
        self.servers.remove(server)
        self.past_servers.append(server)
        server.name_limit(None, self.now)
        new = self._start_server(server.name)
        new.name_limit(FIRST_LIMIT, self.now)
        deployment = self._deployment()
        for name in tuple(self.hosts):
            self.apply(name, SettingsApplied(now=self.now, deployment=deployment))

    # Load.

    def _send_next(self) -> None:
        ready = [
            name for name in self.hosts if self._frozen_until.get(name, 0.0) <= self.now
        ]
        request_id = RequestId(f"r-{len(self._sent_at)}")
        self._sent_at[request_id] = self.now
        arrived = RequestArrived(
            now=self.now,
            request_id=request_id,
            workspace=WorkspaceId(""),
            tier=TierId("1"),
            work_class=ClassId("cancelled-1"),
            pool=self.case.pool,
            timeout=TIMEOUT,
            prompt_tokens=200,
            output_tokens=20,
            model=ModelId("") if self.case.plain else MODEL,
            objective=OBJECTIVE,
            max_attempts=2,
            repeatable=True,
        )
        self.apply(self.rng.choice(ready), arrived)
        self.at(self.now + self.rng.expovariate(self.case.rate), self._send_next)

    def served(self, since: Seconds, until: Seconds) -> float:
        """Return the share of the requests sent in a span of time that were answered."""
        sent = [name for name, at in self._sent_at.items() if since <= at < until]
        return sum(name in self._served for name in sent) / max(1, len(sent))

    def result(self) -> LimitResult:
        """Return the outcome so far."""
        servers = [s for s in (*self.servers, *self.past_servers) if s.judged.limited]
        worst = [server.judged.worst() for server in servers]
        worst_of_all = [server.judged_with_all.worst() for server in servers]
        began = self.case.limited_at + CONTACT_TIME
        used = [server.judged_with_all.used(began, self.now) for server in servers]
        return LimitResult(
            worst=max(worst, key=lambda window: window.excess),
            worst_of_all=max(worst_of_all, key=lambda window: window.excess),
            used=min(used, default=0.0),
            served=self.served(0.0, self.now),
            notices=self.notices,
            messages=self.messages,
        )


def draw_incidents(
    troubles: Iterable[Trouble], count: int, seed: int
) -> tuple[Incident, ...]:
    """Return the given troubles and `count` random ones, at random times."""
    rng = random.Random(seed)
    drawn = [*troubles, *rng.choices(list(Trouble), k=count)]
    incidents = [
        Incident(
            round(rng.uniform(*TROUBLED_TIME), 2),
            trouble,
            target=rng.randrange(100),
            lasting=rng.choice(LASTING_TIMES),
        )
        for trouble in drawn
    ]
    return tuple(sorted(incidents, key=lambda incident: incident.at))


def run_case(case: LimitCase) -> LimitResult:
    """Simulate one case."""
    fleet = LimitFleet(case)
    fleet.run_until(case.duration)
    return fleet.result()


def format_limits(cases: Iterable[LimitCase]) -> str:
    """Run each case and return a Markdown table of the worst windows."""
    lines = [
        "| hosts | pool | limits | incidents | worst window, allowed | with disturbed"
        " and untold hosts, allowed | used | served | notices a host |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for case in cases:
        result = run_case(case)
        worst, of_all = result.worst, result.worst_of_all
        cells = (
            case.hosts,
            case.pool,
            " ".join(f"{rate:g}" for rate in case.limits),
            " ".join(incident.trouble for incident in case.incidents) or "-",
            f"{worst.arrivals}, {worst.allowed:.1f}",
            f"{of_all.arrivals}, {of_all.allowed:.1f}",
            f"{result.used:.2f}",
            f"{result.served:.3f}",
            f"{result.notices / case.hosts:.1f}",
        )
        lines.append("| " + " | ".join(str(cell) for cell in cells) + " |")
    return "\n".join(lines)
