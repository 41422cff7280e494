"""Reduce membership events to packets to send and changes to report."""

import random
from functools import singledispatch

import msgspec

from . import gossip
from .config import HostConfig
from .gossip import AnyPacket, Member, MemberUpdate, Status
from .roster import Roster
from .types import HostId, Seconds, SettingsVersion

PROBE_INTERVAL_SECONDS = 0.5
#: Time limits for a direct ack, and for any ack after indirect pings.
ACK_TIMEOUT_SECONDS = 0.4
PROBE_TIMEOUT_SECONDS = 1.0
TICK_SECONDS = 0.25
INDIRECT_PINGS = 3
GOSSIP_FANOUT = 2
#: Gossip rounds that spread a new settings version without queueing an update.
VERSION_GOSSIP_ROUNDS = 4
DISCOVERY_INTERVAL_SECONDS = 5.0
PAGE_INTERVAL_SECONDS = 10.0
PAGE_RETRY_SECONDS = 0.4
MAX_PAGES_PER_PROBE_INTERVAL = 2
#: Exceeded only while a whole fleet starts; hosts without an ack ping again.
MAX_ACKS_PER_PROBE_INTERVAL = 20
MAX_RELAYS = 64
#: The loss of a zone changes the list many times; this limits the reports.
REPORT_INTERVAL_SECONDS = 0.5
#: A longer gap between ticks means that this host itself was paused.
PAUSE_THRESHOLD_SECONDS = 2.0


class MembershipEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Define the base of membership events; `now` is monotonic time in seconds."""

    now: Seconds


class MembershipTicked(MembershipEvent, frozen=True):
    """Report a timer tick; `seed` seeds the random choice of peers."""

    seed: int


class PacketReceived(MembershipEvent, frozen=True):
    """Report a packet that was authenticated with the shared key."""

    packet: AnyPacket
    address: str


class CandidatesSeen(MembershipEvent, frozen=True):
    """Report a new set of addresses to search for hosts, in addition to the seeds."""

    addresses: tuple[str, ...]


class VersionApplied(MembershipEvent, frozen=True):
    """Report the settings version that this host has applied."""

    version: SettingsVersion


class DrainBegun(MembershipEvent, frozen=True):
    """Report the start of this host's drain: it accepts no new work."""


class Departed(MembershipEvent, frozen=True):
    """Report this host's planned departure; `seed` seeds the random choice of peers."""

    seed: int


class SendPacket(msgspec.Struct, frozen=True):
    """Send a packet to an address."""

    address: str
    packet: AnyPacket


class ReportMembers(msgspec.Struct, frozen=True):
    """Report the live members, this host included."""

    members: tuple[Member, ...]


MembershipEffect = SendPacket | ReportMembers


class _Probe(msgspec.Struct):
    member: Member
    started_at: Seconds
    sent_indirect: bool = False


class _Relay(msgspec.Struct, frozen=True):
    address: str
    sequence: int
    subject: HostId
    expires_at: Seconds


class Membership:
    """Track the membership state of one entry host."""

    def __init__(self, own: Member, seeds: tuple[str, ...]) -> None:
        self.roster = Roster(own)
        self._seeds = seeds
        self._candidates: tuple[str, ...] = ()
        self._sequence = 0
        self._probes: dict[int, _Probe] = {}
        self._priority_probes: set[HostId] = set()
        self._relays: dict[int, _Relay] = {}
        self._ticked_at: Seconds | None = None
        self._probe_at: Seconds = 0.0
        self._report_at: Seconds = 0.0
        self._discover_at: Seconds = 0.0
        self._page_at: Seconds = 0.0
        self._page_after = HostId("")
        self._joined = False
        self._synced = False
        self._round_changed = False
        self._pages_left = MAX_PAGES_PER_PROBE_INTERVAL
        self._acks_left = MAX_ACKS_PER_PROBE_INTERVAL
        self._version_rounds_left = 0
        self._random = random.Random(0)
        self._effects: list[MembershipEffect] = []

    @classmethod
    def from_config(cls, cfg: HostConfig, *, incarnation: int) -> "Membership":
        """Return the state of a host that knows no other members yet."""
        own = Member(
            cfg.host,
            cfg.peer_address,
            cfg.zone,
            incarnation,
            capacity=cfg.capacity,
        )
        return cls(own, cfg.seeds)

    def reduce(self, event: MembershipEvent) -> list[MembershipEffect]:
        """Apply an event and return its effects."""
        self._effects = []
        _apply(event, self)
        if self.roster.changed and event.now >= self._report_at:
            self.roster.changed = False
            self._report_at = event.now + REPORT_INTERVAL_SECONDS
            self._effects.append(ReportMembers(self.roster.live()))
        return self._effects

    # The methods below are internal: only the event and packet handlers call them.

    def tick(self, now: Seconds, seed: int) -> None:
        """Probe members, gossip, search for lost hosts and expire suspects."""
        self._random.seed(seed)
        if (
            self._ticked_at is not None
            and now - self._ticked_at > PAUSE_THRESHOLD_SECONDS
        ):
            self._probes.clear()
            self.roster.restart_suspicions(now)
        self._ticked_at = now
        if self.roster.expire(now):
            # Other hosts may have died too, so compare member lists with peers again.
            self._synced = False
            self._page_at = min(self._page_at, now + PAGE_RETRY_SECONDS)
        self._check_probes(now)
        if now >= self._probe_at:
            self._begin_probe(now)
        if now >= self._discover_at:
            self._discover(now)
        if now >= self._page_at:
            self._request_page(now)
        self._gossip()

    def receive(self, packet: AnyPacket, address: str, now: Seconds) -> None:
        """Merge a packet's updates, then handle it by its type."""
        self.roster.merge(MemberUpdate(Status.ALIVE, packet.sender), now)
        changed = [self.roster.merge(update, now) for update in packet.updates]
        if isinstance(packet, gossip.Page):
            self.handle_page(packet, any(changed), now)
        else:
            _answer(packet, self, address, now)

    def ack(self, packet: gossip.Ping, address: str) -> None:
        """Answer a ping, within the limit of this probe interval."""
        if self._acks_left <= 0:
            return
        self._acks_left -= 1
        own = self.roster.own
        updates = self._updates_for(packet.sender.host)
        self._send(address, gossip.Ack(own, updates, packet.sequence, own.host))

    def relay(self, packet: gossip.PingRequest, address: str, now: Seconds) -> None:
        """Ping a member on behalf of another host."""
        for sequence, relay in tuple(self._relays.items()):
            if relay.expires_at <= now:
                del self._relays[sequence]
        if len(self._relays) >= MAX_RELAYS:
            return
        sequence = self._next_sequence()
        self._relays[sequence] = _Relay(
            address, packet.sequence, packet.subject, now + PROBE_TIMEOUT_SECONDS
        )
        updates = self._updates_for(packet.subject)
        self._send(packet.address, gossip.Ping(self.roster.own, updates, sequence))

    def handle_ack(self, packet: gossip.Ack) -> None:
        """End the probe that an ack answers, or forward a relayed ack."""
        probe = self._probes.get(packet.sequence)
        if probe is not None:
            if probe.member.host == packet.subject:
                del self._probes[packet.sequence]
            return
        relay = self._relays.pop(packet.sequence, None)
        if relay is not None and relay.subject == packet.subject:
            record = MemberUpdate(Status.ALIVE, packet.sender)
            own = self.roster.own
            self._send(
                relay.address,
                gossip.Ack(own, (record,), relay.sequence, relay.subject),
            )

    def send_page(self, packet: gossip.PageRequest, address: str) -> None:
        """Send a page of members, within the limit of this probe interval."""
        if self._pages_left > 0:
            self._pages_left -= 1
            updates, after = self.roster.page(packet.after)
            self._send(address, gossip.Page(self.roster.own, updates, after))

    def handle_page(self, packet: gossip.Page, changed: bool, now: Seconds) -> None:
        """Queue probes of members that the page omits and schedule the next request.

        Pages are requested without the long interval until a complete round of them
        has changed nothing, since the host that sent one may itself have been joining.
        """
        missing = self.roster.missing_from(
            packet.updates, self._page_after, packet.after
        )
        self._priority_probes |= missing
        self._page_after = packet.after
        self._round_changed |= changed
        if not packet.after:
            self._joined = True
            self._synced = not self._round_changed
            self._round_changed = False
        elif changed:
            self._synced = False
        self._page_at = now + self._page_delay()

    def _page_delay(self) -> Seconds:
        if self._synced:
            return PAGE_INTERVAL_SECONDS
        return PAGE_RETRY_SECONDS if self._joined else 0.0

    def set_candidates(self, addresses: tuple[str, ...]) -> None:
        """Replace the addresses to search for lost hosts."""
        self._candidates = addresses

    def set_version(self, version: SettingsVersion) -> None:
        """Announce a newer settings version; every packet carries it."""
        own = self.roster.own
        if version > own.settings_version:
            own = msgspec.structs.replace(own, settings_version=version)
            self.roster.update_own(own, announce=False)
            self._version_rounds_left = VERSION_GOSSIP_ROUNDS

    def drain(self) -> None:
        """Announce that this host accepts no new work."""
        own = self.roster.own
        if not own.draining:
            own = msgspec.structs.replace(
                own, draining=True, incarnation=own.incarnation + 1
            )
            self.roster.update_own(own, announce=True)

    def depart(self, seed: int) -> None:
        """Announce the departure to a few peers immediately."""
        self._random.seed(seed)
        self.roster.announce_departure()
        self.roster.reset_update_budget()
        for member in self._pick(2 * INDIRECT_PINGS):
            self._send_gossip(member)

    def _check_probes(self, now: Seconds) -> None:
        for sequence, probe in tuple(self._probes.items()):
            waited = now - probe.started_at
            if waited >= PROBE_TIMEOUT_SECONDS:
                del self._probes[sequence]
                self.roster.suspect(probe.member.host, now)
            elif waited >= ACK_TIMEOUT_SECONDS and not probe.sent_indirect:
                probe.sent_indirect = True
                self._ping(probe.member.address, probe.member.host, sequence)
                self._ping_indirectly(sequence, probe.member)

    def _ping_indirectly(self, sequence: int, member: Member) -> None:
        for relay in self._pick(INDIRECT_PINGS, exclude=member.host):
            own = self.roster.own
            updates = self._updates_for(relay.host)
            request = gossip.PingRequest(
                own, updates, sequence, member.host, member.address
            )
            self._send(relay.address, request)

    def _begin_probe(self, now: Seconds) -> None:
        self._probe_at = now + PROBE_INTERVAL_SECONDS
        self._pages_left = MAX_PAGES_PER_PROBE_INTERVAL
        self._acks_left = MAX_ACKS_PER_PROBE_INTERVAL
        self.roster.reset_update_budget()
        for member in self._next_to_probe():
            sequence = self._next_sequence()
            self._probes[sequence] = _Probe(member, now)
            self._ping(member.address, member.host, sequence)

    def _next_to_probe(self) -> list[Member]:
        while self._priority_probes:
            host = min(self._priority_probes)
            self._priority_probes.discard(host)
            state = self.roster.state(host)
            if state is not None and state.status is Status.ALIVE:
                return [state.member]
        return self._pick(1)

    def _discover(self, now: Seconds) -> None:
        others = self.roster.others()
        self._discover_at = now + (
            DISCOVERY_INTERVAL_SECONDS if others else PROBE_INTERVAL_SECONDS
        )
        hosts = {m.address: m.host for m in self.roster.dead()}
        addresses = {*hosts, *self._seeds, *self._candidates}
        addresses -= {m.address for m in self.roster.live()}
        if addresses:
            address = self._random.choice(sorted(addresses))
            self._ping(address, hosts.get(address), self._next_sequence())

    def _request_page(self, now: Seconds) -> None:
        self._page_at = now + (
            PAGE_INTERVAL_SECONDS if self._synced else PAGE_RETRY_SECONDS
        )
        for member in self._pick(1):
            request = gossip.PageRequest(self.roster.own, (), self._page_after)
            self._send(member.address, request)

    def _gossip(self) -> None:
        if self._version_rounds_left > 0:
            self._version_rounds_left -= 1
        elif not self.roster.has_updates:
            return
        for member in self._pick(GOSSIP_FANOUT):
            self._send_gossip(member)

    def _send_gossip(self, member: Member) -> None:
        updates = self._updates_for(member.host)
        self._send(member.address, gossip.Gossip(self.roster.own, updates))

    def _ping(self, address: str, host: HostId | None, sequence: int) -> None:
        updates = self._updates_for(host)
        self._send(address, gossip.Ping(self.roster.own, updates, sequence))

    def _updates_for(self, host: HostId | None) -> tuple[MemberUpdate, ...]:
        state = None if host is None else self.roster.state(host)
        if state is None or state.status is Status.ALIVE:
            return self.roster.next_updates()
        # Only the suspected member can refute, so it is sent the suspicion first.
        suspicion = MemberUpdate(min(state.status, Status.SUSPECT), state.member)
        free_bytes = gossip.MAX_UPDATES_BYTES - gossip.update_size(suspicion)
        return (suspicion, *self.roster.next_updates(free_bytes))

    def _pick(self, count: int, *, exclude: HostId | None = None) -> list[Member]:
        others = self.roster.others()
        picked = self._random.sample(others, min(count + 1, len(others)))
        return [member for member in picked if member.host != exclude][:count]

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _send(self, address: str, packet: AnyPacket) -> None:
        self._effects.append(SendPacket(address, packet))


@singledispatch
def _apply(event: MembershipEvent, membership: Membership) -> None:
    raise TypeError(f"No handler is registered for {type(event).__name__}.")


@_apply.register
def _(event: MembershipTicked, membership: Membership) -> None:
    membership.tick(event.now, event.seed)


@_apply.register
def _(event: PacketReceived, membership: Membership) -> None:
    membership.receive(event.packet, event.address, event.now)


@_apply.register
def _(event: CandidatesSeen, membership: Membership) -> None:
    membership.set_candidates(event.addresses)


@_apply.register
def _(event: VersionApplied, membership: Membership) -> None:
    membership.set_version(event.version)


@_apply.register
def _(event: DrainBegun, membership: Membership) -> None:
    membership.drain()


@_apply.register
def _(event: Departed, membership: Membership) -> None:
    membership.depart(event.seed)


@singledispatch
def _answer(
    packet: AnyPacket, membership: Membership, address: str, now: Seconds
) -> None:
    """Ignore packets that contain only updates."""


@_answer.register
def _(packet: gossip.Ping, membership: Membership, address: str, now: Seconds) -> None:
    membership.ack(packet, address)


@_answer.register
def _(
    packet: gossip.PingRequest, membership: Membership, address: str, now: Seconds
) -> None:
    membership.relay(packet, address, now)


@_answer.register
def _(packet: gossip.Ack, membership: Membership, address: str, now: Seconds) -> None:
    membership.handle_ack(packet)


@_answer.register
def _(
    packet: gossip.PageRequest, membership: Membership, address: str, now: Seconds
) -> None:
    membership.send_page(packet, address)
