"""Measure, in virtual time, how a fleet deals with what ends servers."""

import itertools
import random
import statistics
from collections.abc import Iterable, Sequence

import msgspec

from ..catalog import BudgetLimits, Instance
from ..config import Deployment
from ..control_fleet import MODEL, POOL, PeerLinks, VirtualTime, engine_deployment
from ..core import HostState, reduce
from ..effects import Dispatch, Effect, ReportSubject, SendToHost, SettleRequest
from ..events import (
    DispatchFailed,
    DispatchFinished,
    DispatchRefused,
    Event,
    FirstTokenSeen,
    MembersChanged,
    PeerReceived,
    RequestArrived,
    SettingsApplied,
    Ticked,
)
from ..messages import HarmUpdate, Message
from ..types import (
    ClassId,
    HostId,
    ModelId,
    RequestDigest,
    RequestId,
    Seconds,
    ServerId,
    ServerState,
    TierId,
    WorkspaceId,
    ZoneId,
)
from .subjects import HOLD_REASONS, SubjectState

SLOTS = 6
LIMITS = BudgetLimits(repeat_ratio=0.2, repeat_burst=20.0, repeat_refill=2.0)
#: The hash of the harmful part, or the digest of the harmful request.
HARMFUL_PART = 0xBAD
SYSTEM_PARTS = (0x51, 0x52, 0x53)
DOCUMENTS = 40
OWN_PART_START = 1 << 32
TICK: Seconds = 0.05
SERVER_DELAY: Seconds = 0.001
#: Time from the end of a server to its next start, and to the end of its entry.
RESTART_TIME: Seconds = 2.0
EXPIRY_TIME: Seconds = 2.7
PREFILL_TIME: Seconds = 0.08
ANSWER_TIME: Seconds = 0.4
#: The same for servers of a plain service.
PLAIN_ANSWER_TIME: Seconds = 0.04
#: Sound requests of which each comes again and again.
REPEATED_REQUESTS = 5
#: Time until a host learns of a change of the host list.
MAX_LIST_DELAY: Seconds = 0.2
#: Time of sound requests alone before the first harmful one.
CALM_TIME: Seconds = 5.0
#: Time for which hosts may still send harmful requests after so many ends.
CONTACT_TIME: Seconds = 3.0
ENDS_OF_PART = 5
ENDS_OF_REQUEST = 3


class HarmCase(msgspec.Struct, frozen=True, kw_only=True):
    """Define one simulated fleet and its load.

    Requests are per second, `share` is the part of them that is harmful, `loss` the
    part of messages between hosts that is lost, and `other_ends` the ends of servers
    for other reasons per minute. The harmful requests have a part in common, or are one
    `whole` request, then before engines or a `plain` service; `repeated` is the part of
    the sound ones that come again as they were.
    """

    hosts: int = 3
    servers: int = 8
    rate: float = 40.0
    share: float = 0.1
    delay: Seconds = 0.001
    loss: float = 0.0
    other_ends: float = 0.0
    first_part: bool = False
    whole: bool = False
    plain: bool = False
    slots: int = SLOTS
    repeated: float = 0.0
    duration: Seconds = 25.0
    seed: int = 1


class HarmResult(msgspec.Struct, frozen=True, kw_only=True):
    """Report the outcome of one case; counts cover the whole run."""

    ends: int
    held_after: Seconds | None
    late: int
    false_holds: int
    sound: int
    sound_refused: int
    sound_served: float
    updates: int
    messages: int


class _Server:
    """Simulate one incarnation of a backend server."""

    def __init__(self, name: ServerId, number: int, slots: int) -> None:
        self.name = name
        self.number = number
        self.slots = slots
        self.alive = True
        self.running: dict[RequestId, HostId] = {}

    def instance(self) -> Instance:
        """Return the server's entry in the host list."""
        return Instance(
            server=self.name,
            service=POOL,
            address=f"{self.name}:1",
            zone=ZoneId("z"),
            slots=self.slots,
            state=ServerState.LIVE,
            incarnation=self.number,
        )


class HarmFleet(VirtualTime):
    """Run the reducers of all hosts, with delayed messages and simulated servers."""

    def __init__(self, case: HarmCase) -> None:
        super().__init__()
        self.case = case
        #: One generator each, so that another message changes neither load nor ends.
        self.rng = random.Random(case.seed)
        self._end_rng = random.Random(f"ends {case.seed}")
        self._server_rng = random.Random(f"servers {case.seed}")
        self._host_rng = random.Random(f"hosts {case.seed}")
        link_rng = random.Random(f"links {case.seed}")
        self._links = PeerLinks(link_rng, loss=case.loss)
        self._numbers = itertools.count(1)
        self.servers: dict[ServerId, _Server] = {}
        self._listed: dict[ServerId, Instance] = {}
        self.hosts: dict[HostId, HostState] = {}
        self.prompts: dict[RequestId, tuple[int, ...]] = {}
        self.digests: dict[RequestId, RequestDigest] = {}
        self.sent_at: dict[RequestId, Seconds] = {}
        self.done: set[RequestId] = set()
        self.refused: set[RequestId] = set()
        self.harmful_ends: list[Seconds] = []
        self.harmful_arrivals: list[Seconds] = []
        self.held: dict[int, Seconds] = {}
        #: Hosts that no message reaches or leaves.
        self.unreachable: set[HostId] = set()
        #: Whether prompts with the harmful part are answered well from now on.
        self.harmless = False
        self.updates = 0
        self.messages = 0
        for _ in range(case.servers):
            self._add_server()
        names = tuple(HostId(f"host-{number}") for number in range(case.hosts))
        for name in names:
            self._add_host(name, names)

    # Hosts.

    def _add_host(self, name: HostId, names: tuple[HostId, ...]) -> None:
        self.hosts[name] = HostState(
            host=name,
            zone=ZoneId("z"),
            deployment=self._deployment(),
            hosts=names,
            now=self.now,
            coordinator_timeout=max(0.35, 3 * self.case.delay),
        )
        self.at(self.now + self._host_rng.uniform(0, TICK), lambda: self._tick(name))

    def _tick(self, name: HostId) -> None:
        self.apply(name, Ticked(now=self.now))
        self.at(self.now + TICK, lambda: self._tick(name))

    def restart(self, name: HostId) -> None:
        """Replace a host's process by a new one, which the others notice."""
        names = tuple(self.hosts)
        rest = tuple(host for host in names if host != name)
        for host in rest:
            self.apply(host, MembersChanged(now=self.now, hosts=rest))
        self.hosts[name] = HostState(
            host=name,
            zone=ZoneId("z"),
            deployment=self._deployment(),
            hosts=(name,),
            now=self.now,
        )
        for host in names:
            self.apply(host, MembersChanged(now=self.now, hosts=names))

    def apply(self, name: HostId, event: Event) -> None:
        """Apply an event to a host and perform the effects."""
        for effect in reduce(self.hosts[name], event):
            self._perform(name, effect)

    def _perform(self, host: HostId, effect: Effect) -> None:
        if isinstance(effect, SendToHost):
            self._deliver(host, effect.host, effect.message)
        elif isinstance(effect, Dispatch):
            request_id, server = effect.request_id, effect.server
            arrive = self.now + SERVER_DELAY
            self.at(arrive, lambda: self._reach(host, request_id, server))
        elif isinstance(effect, SettleRequest):
            if effect.reason in HOLD_REASONS.values():
                self.refused.add(effect.request_id)
        elif (
            isinstance(effect, ReportSubject)
            and effect.change.state is SubjectState.HELD
        ):
            self.held.setdefault(effect.change.subject.hash, self.now)

    def _deliver(self, sender: HostId, target: HostId, message: Message) -> None:
        if sender == target:
            self.at(self.now, lambda: self._receive(sender, target, message))
            return
        self.messages += 1
        self.updates += isinstance(message, HarmUpdate)
        if self.unreachable & {sender, target}:
            return
        arrive = self._links.arrival(
            sender, target, now=self.now, delay=self.case.delay
        )
        if arrive is not None:
            self.at(arrive, lambda: self._receive(sender, target, message))

    def _receive(self, sender: HostId, target: HostId, message: Message) -> None:
        event = PeerReceived(now=self.now, sender=sender, message=message)
        self.apply(target, event)

    def _deployment(self) -> Deployment:
        case = self.case
        return engine_deployment(
            self._listed, slots=case.slots, limits=LIMITS, plain=case.plain
        )

    def _list_servers(self) -> None:
        for name in self.hosts:
            delay = self._host_rng.uniform(0.0, MAX_LIST_DELAY)
            self.at(self.now + delay, lambda name=name: self._list_at(name))  # type: ignore[misc]

    def _list_at(self, name: HostId) -> None:
        applied = SettingsApplied(now=self.now, deployment=self._deployment())
        self.apply(name, applied)

    # Servers.

    def _add_server(self) -> None:
        number = next(self._numbers)
        server = _Server(ServerId(f"s-{number}"), number, self.case.slots)
        self.servers[server.name] = server
        self._listed[server.name] = server.instance()

    def _reach(self, host: HostId, request_id: RequestId, name: ServerId) -> None:
        server = self.servers[name]
        if not server.alive:
            refused = DispatchRefused(now=self.now, request_id=request_id)
            self.at(self.now + SERVER_DELAY, lambda: self._report(host, refused))
            return
        if self.is_harmful(request_id):
            self.harmful_arrivals.append(self.now)
        server.running[request_id] = host
        start = self.now + PREFILL_TIME * self._server_rng.uniform(0.5, 2.0)
        self.at(start, lambda: self._begin_answer(server, request_id))

    def is_harmful(self, request_id: RequestId) -> bool:
        """Return whether a request is the harmful one, or has the harmful part."""
        if self.case.whole:
            return self.digests[request_id] == HARMFUL_PART
        return HARMFUL_PART in self.prompts[request_id]

    def _begin_answer(self, server: _Server, request_id: RequestId) -> None:
        host = server.running.get(request_id)
        if host is None:
            return
        if self.is_harmful(request_id) and not self.harmless:
            self.harmful_ends.append(self.now)
            self.end_server(server)
            return
        seen = FirstTokenSeen(now=self.now, request_id=request_id)
        self._report(host, seen)
        answer_time = PLAIN_ANSWER_TIME if self.case.plain else ANSWER_TIME
        end = self.now + answer_time * self._server_rng.uniform(0.2, 2.0)
        self.at(end, lambda: self._finish(server, request_id))

    def _finish(self, server: _Server, request_id: RequestId) -> None:
        host = server.running.pop(request_id, None)
        if host is not None:
            self.done.add(request_id)
            finished = DispatchFinished(
                now=self.now, request_id=request_id, output_tokens=20
            )
            self._report(host, finished)

    def _report(self, host: HostId, event: Event) -> None:
        self.apply(host, msgspec.structs.replace(event, now=self.now))

    def end_server(self, server: _Server) -> None:
        """End a server's process with all that runs there; another one follows."""
        if not server.alive:
            return
        server.alive = False
        running, server.running = server.running, {}
        for request_id, host in running.items():
            failed = DispatchFailed(
                now=self.now, request_id=request_id, server_ended=True
            )
            self.at(
                self.now + 2 * SERVER_DELAY,
                lambda host=host, failed=failed: self._report(host, failed),  # type: ignore[misc]
            )
        self.at(self.now + RESTART_TIME, self._start_next)
        self.at(self.now + EXPIRY_TIME, lambda: self._expire_entry(server))

    def _start_next(self) -> None:
        self._add_server()
        self._list_servers()

    def _expire_entry(self, server: _Server) -> None:
        self._listed.pop(server.name, None)
        self._list_servers()

    # Load.

    def start_load(self, hosts: Sequence[HostId] = ()) -> None:
        """Schedule requests to some or all hosts, and ends for other reasons."""
        self.at(0.0, lambda: self._send_next(hosts or tuple(self.hosts)))
        if self.case.other_ends:
            self.at(self._until_other_end(), self._end_some_server)

    def _until_other_end(self) -> Seconds:
        return self.now + self._end_rng.expovariate(self.case.other_ends / 60)

    def _end_some_server(self) -> None:
        alive = [server for server in self.servers.values() if server.alive]
        if alive:
            self.end_server(self._end_rng.choice(alive))
        self.at(self._until_other_end(), self._end_some_server)

    def _send_next(self, hosts: Sequence[HostId]) -> None:
        harmful = self.now >= CALM_TIME and self.rng.random() < self.case.share
        self.send(harmful=harmful, host=self.rng.choice(hosts))
        next_at = self.now + self.rng.expovariate(self.case.rate)
        self.at(next_at, lambda: self._send_next(hosts))

    def send(self, *, harmful: bool, host: HostId) -> RequestId:
        """Let a request arrive at a host."""
        number = len(self.prompts)
        request_id = RequestId(f"r-{number}")
        parts, digest = self._choose_subjects(harmful, number)
        self.prompts[request_id], self.digests[request_id] = parts, digest
        self.sent_at[request_id] = self.now
        arrived = RequestArrived(
            now=self.now,
            request_id=request_id,
            workspace=WorkspaceId(""),
            tier=TierId("1"),
            work_class=ClassId("cancelled-1"),
            pool=POOL,
            timeout=10.0,
            prompt_tokens=1_000,
            output_tokens=100,
            model=ModelId("") if self.case.plain else MODEL,
            prefixes=parts,
            prefix_lengths=(60, 460, 500)[: len(parts)],
            digest=digest,
            objective=1.0,
            max_attempts=2,
            repeatable=True,
        )
        self.apply(host, arrived)
        return request_id

    def _choose_subjects(
        self, harmful: bool, number: int
    ) -> tuple[tuple[int, ...], RequestDigest]:
        """Return the parts and the digest of the next request."""
        rng, case = self.rng, self.case
        own = OWN_PART_START + number
        if case.whole and harmful:
            own = HARMFUL_PART
        elif case.repeated and rng.random() < case.repeated:
            own = OWN_PART_START - 1 - rng.randrange(REPEATED_REQUESTS)
        if case.plain:
            return (), RequestDigest(own)
        seeded = random.Random(own) if case.whole or case.repeated else rng
        system = seeded.choice(SYSTEM_PARTS)
        document = 0x1000 + min(DOCUMENTS - 1, int(seeded.expovariate(0.2)))
        if harmful and not case.whole:
            system = HARMFUL_PART if case.first_part else system
            document = document if case.first_part else HARMFUL_PART
        return (system, document, own), RequestDigest(own)

    def _harmful_hashes(self) -> set[int]:
        """Return what is held rightly: the harmful part, and requests that have it."""
        harmful = {
            int(self.digests[request_id])
            for request_id in self.prompts
            if self.is_harmful(request_id)
        }
        return harmful | {HARMFUL_PART}

    def result(self) -> HarmResult:
        """Return the outcome so far."""
        sound = [
            request_id
            for request_id, at in self.sent_at.items()
            if not self.is_harmful(request_id) and at < self.now - 2.0
        ]
        needed = ENDS_OF_REQUEST if self.case.whole else ENDS_OF_PART
        last = self.harmful_ends[needed - 1 : needed]
        late = [
            at for at in self.harmful_arrivals if last and at > last[0] + CONTACT_TIME
        ]
        held_at = self.held.get(HARMFUL_PART)
        first = self.harmful_ends[0] if self.harmful_ends else 0.0
        return HarmResult(
            ends=len(self.harmful_ends),
            held_after=None if held_at is None else held_at - first,
            late=len(late),
            false_holds=len(self.held.keys() - self._harmful_hashes()),
            sound=len(sound),
            sound_refused=sum(request_id in self.refused for request_id in sound),
            sound_served=sum(request_id in self.done for request_id in sound)
            / max(1, len(sound)),
            updates=self.updates,
            messages=self.messages,
        )


def run_case(case: HarmCase) -> HarmResult:
    """Simulate one case."""
    fleet = HarmFleet(case)
    fleet.start_load()
    fleet.run_until(case.duration)
    return fleet.result()


def format_harm(cases: Iterable[HarmCase], seeds: Iterable[int]) -> str:
    """Run each case with every seed and return a Markdown table.

    Ends until a part is held, late requests and wrong holds are given as the largest
    of the seeds, shares of served requests as the smallest.
    """
    lines = [
        "| hosts | harmful | delay, s | lost | other ends a minute | ends, median and most"
        " | held after, s | sent late | wrong holds | sound refused | served, calm"
        " | served | updates a host | messages a host |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    chosen = list(seeds)
    for case in cases:
        results = [run_case(msgspec.structs.replace(case, seed=n)) for n in chosen]
        calm_case = msgspec.structs.replace(case, share=0.0, other_ends=0.0)
        calm = run_case(msgspec.structs.replace(calm_case, seed=chosen[0]))
        ends = [result.ends for result in results]
        held = [r.held_after for r in results if r.held_after is not None]
        cells = (
            case.hosts,
            f"{case.share:.1%}",
            f"{case.delay:g}",
            f"{case.loss:g}",
            f"{case.other_ends:g}",
            f"{statistics.median(ends):g}, {max(ends)}",
            f"{max(held):.2f} ({len(held)} of {len(results)})" if held else "-",
            max(result.late for result in results),
            sum(result.false_holds for result in results),
            sum(result.sound_refused for result in results),
            f"{calm.sound_served:.3f}",
            f"{min(result.sound_served for result in results):.3f}",
            round(max(result.updates for result in results) / case.hosts),
            round(max(result.messages for result in results) / case.hosts),
        )
        lines.append("| " + " | ".join(str(cell) for cell in cells) + " |")
    return "\n".join(lines)
