"""Hold what one entry host believes of all the others, and the news to pass on."""

import math

import msgspec

from .gossip import MAX_UPDATES_BYTES, Member, MemberUpdate, Status, update_size
from .types import HostId, Seconds

#: How long a dead member is remembered, so that a healed partition is found.
DEAD_RETENTION_SECONDS = 7_200.0
#: How long a departure is remembered, so that late news can't undo it.
LEFT_RETENTION_SECONDS = 600.0
MIN_SUSPICION_SECONDS = 3.0
#: Suspicion grows with the rounds that news takes to reach everyone and return.
SUSPICION_SECONDS_PER_DOUBLING = 0.625
#: Bound on the news that one host sends in a probe interval.
UPDATE_BYTES_PER_INTERVAL = 2_000
#: Sends of one piece of news per tenfold of members.
RETRANSMIT_MULTIPLIER = 5


class MemberState(msgspec.Struct):
    """Hold what is believed of one member, and since when."""

    member: Member
    status: Status
    since: Seconds


class _QueuedUpdate(msgspec.Struct):
    update: MemberUpdate
    size: int
    sends: int = 0


class Roster:
    """Merge news about members by incarnation, then by status."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.changed = True
        self.deaths = 0
        self._leaving = False
        self._update_budget = UPDATE_BYTES_PER_INTERVAL
        self._states: dict[HostId, MemberState] = {}
        self._queue: dict[HostId, _QueuedUpdate] = {}
        self._live: tuple[Member, ...] = ()
        self._others: tuple[Member, ...] = ()
        self._live_is_current = False
        self.announce()

    @property
    def has_updates(self) -> bool:
        """Tell whether any news still has to be passed on."""
        return bool(self._queue)

    def live(self) -> tuple[Member, ...]:
        """Return the live members in order of host id, this host included."""
        if not self._live_is_current:
            live = [
                state.member
                for state in self._states.values()
                if state.status < Status.DEAD
            ]
            live.append(self.own)
            self._live = tuple(sorted(live, key=lambda member: member.host))
            self._others = tuple(m for m in self._live if m is not self.own)
            self._live_is_current = True
        return self._live

    def others(self) -> tuple[Member, ...]:
        """Return the live members but this host."""
        self.live()
        return self._others

    def dead(self) -> tuple[Member, ...]:
        """Return the members that are believed dead."""
        states = self._states.values()
        return tuple(state.member for state in states if state.status is Status.DEAD)

    def state(self, host: HostId) -> MemberState | None:
        """Return what is believed of a member."""
        return self._states.get(host)

    def announce(self) -> None:
        """Pass this host's own record on as news."""
        self._enqueue(MemberUpdate(Status.ALIVE, self.own))
        self._mark_changed()

    def announce_departure(self) -> None:
        """Pass on that this host leaves; nothing is refuted from here on."""
        self._leaving = True
        self._enqueue(MemberUpdate(Status.LEFT, self.own))

    def reset_update_budget(self) -> None:
        """Begin a probe interval with its full allowance of news."""
        self._update_budget = UPDATE_BYTES_PER_INTERVAL

    def update_own(self, own: Member, *, announce: bool) -> None:
        """Replace this host's own record."""
        self.own = own
        if announce:
            self.announce()
        else:
            self._mark_changed()

    def merge(self, update: MemberUpdate, now: Seconds) -> bool:
        """Merge news; return whether it said anything new."""
        if update.member.host == self.own.host:
            return self._refute(update)
        state = self._states.get(update.member.host)
        if state is not None and not _supersedes(update, state):
            self._merge_version(update, state)
            return False
        status = Status.SUSPECT if update.status is Status.DEAD else update.status
        self._enqueue(MemberUpdate(status, update.member))
        self._set_state(MemberState(update.member, status, now))
        return True

    def suspect(self, host: HostId, now: Seconds) -> bool:
        """Suspect a member that gave no sign of life."""
        state = self._states.get(host)
        if state is None or state.status is not Status.ALIVE:
            return False
        return self.merge(MemberUpdate(Status.SUSPECT, state.member), now)

    def suspicion_seconds(self) -> Seconds:
        """Return how long a member stays suspect before it counts as dead."""
        doublings = math.log2(len(self.live()) + 1)
        return max(MIN_SUSPICION_SECONDS, SUSPICION_SECONDS_PER_DOUBLING * doublings)

    def expire(self, now: Seconds) -> bool:
        """Forget what is old and conclude deaths; return whether there were any."""
        before = self.deaths
        suspicion = self.suspicion_seconds()
        for host, state in tuple(self._states.items()):
            age = now - state.since
            if state.status is Status.SUSPECT and age >= suspicion:
                self.deaths += 1
                self._set_state(MemberState(state.member, Status.DEAD, now))
            elif (state.status is Status.DEAD and age >= DEAD_RETENTION_SECONDS) or (
                state.status is Status.LEFT and age >= LEFT_RETENTION_SECONDS
            ):
                del self._states[host]
        return self.deaths > before

    def restart_suspicions(self, now: Seconds) -> None:
        """Give suspects their full time again, after this host was paused."""
        for state in self._states.values():
            if state.status is Status.SUSPECT:
                state.since = now

    def next_updates(
        self, free_bytes: int = MAX_UPDATES_BYTES
    ) -> tuple[MemberUpdate, ...]:
        """Return the least-sent news that fits, and count the send."""
        free_bytes = min(free_bytes, self._update_budget)
        limit = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(len(self.live()) + 1))
        picked = []
        for queued in sorted(self._queue.values(), key=_by_sends):
            if queued.size > free_bytes:
                break
            free_bytes -= queued.size
            self._update_budget -= queued.size
            queued.sends += 1
            picked.append(queued.update)
            if queued.sends >= limit:
                del self._queue[queued.update.member.host]
        return tuple(picked)

    def missing_from(
        self, page: tuple[MemberUpdate, ...], after: HostId, end: HostId
    ) -> set[HostId]:
        """Return the members believed alive that another's page leaves out."""
        listed = {update.member.host for update in page}
        return {
            host
            for host, state in self._states.items()
            if state.status is Status.ALIVE
            and host > after
            and (not end or host <= end)
            and host not in listed
        }

    def page(self, after: HostId) -> tuple[tuple[MemberUpdate, ...], HostId]:
        """Return the members after a host id that fit, and where to go on."""
        free_bytes = MAX_UPDATES_BYTES
        picked: list[MemberUpdate] = []
        for member in self.live():
            if member.host <= after:
                continue
            update = self._to_update(member)
            free_bytes -= update_size(update)
            if free_bytes < 0:
                return tuple(picked), picked[-1].member.host
            picked.append(update)
        return tuple(picked), HostId("")

    def _to_update(self, member: Member) -> MemberUpdate:
        state = self._states.get(member.host)
        return MemberUpdate(Status.ALIVE if state is None else state.status, member)

    def _refute(self, update: MemberUpdate) -> bool:
        incarnation = update.member.incarnation
        if incarnation < self.own.incarnation or self._leaving:
            return False
        if incarnation == self.own.incarnation and update.status is Status.ALIVE:
            return False
        self.update_own(
            msgspec.structs.replace(self.own, incarnation=incarnation + 1),
            announce=True,
        )
        return True

    def _set_state(self, state: MemberState) -> None:
        previous = self._states.get(state.member.host)
        self._states[state.member.host] = state
        self._live_is_current = False
        if previous is None or _visible(previous) != _visible(state):
            self.changed = True

    def _merge_version(self, update: MemberUpdate, state: MemberState) -> None:
        member = state.member
        if (
            update.member.incarnation == member.incarnation
            and update.member.settings_version > member.settings_version
        ):
            version = update.member.settings_version
            member = msgspec.structs.replace(member, settings_version=version)
            self._set_state(MemberState(member, state.status, state.since))

    def _enqueue(self, update: MemberUpdate) -> None:
        self._queue[update.member.host] = _QueuedUpdate(update, update_size(update))

    def _mark_changed(self) -> None:
        self.changed = True
        self._live_is_current = False


def _visible(state: MemberState) -> tuple[bool, Member]:
    """Return what readers of the member list see of a state."""
    member = msgspec.structs.replace(state.member, incarnation=0)
    return state.status < Status.DEAD, member


def _supersedes(update: MemberUpdate, state: MemberState) -> bool:
    known = state.member.incarnation
    if update.member.incarnation != known:
        return update.member.incarnation > known
    return update.status > state.status


def _by_sends(queued: _QueuedUpdate) -> int:
    return queued.sends
