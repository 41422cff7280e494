"""Store the last known states of the other entry hosts and the updates to gossip."""

import math

import msgspec

from .gossip import MAX_UPDATES_BYTES, Member, MemberUpdate, Status, update_size
from .types import HostId, Seconds

#: Dead members are retained, and pinged, so that a healed partition is detected.
DEAD_RETENTION_SECONDS = 7_200.0
#: Departures are retained so that late updates can't revert them.
LEFT_RETENTION_SECONDS = 600.0
MIN_SUSPICION_SECONDS = 3.0
#: The larger the fleet, the more gossip rounds an update and its refutation take.
SUSPICION_SECONDS_PER_DOUBLING = 0.625
#: Limit on the updates that one host sends in a probe interval.
UPDATE_BYTES_PER_INTERVAL = 2_000
#: Sends of one update, per factor of ten in the number of members.
RETRANSMIT_MULTIPLIER = 5


class MemberState(msgspec.Struct):
    """Store the last known state of a member, and since when."""

    member: Member
    status: Status
    since: Seconds


class _QueuedUpdate(msgspec.Struct):
    update: MemberUpdate
    size: int
    sends: int = 0


class Roster:
    """Merge updates about members by incarnation, then by status."""

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
        """Return whether any updates are queued for gossip."""
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
        """Return the live members except this host."""
        self.live()
        return self._others

    def dead(self) -> tuple[Member, ...]:
        """Return the members that are considered dead."""
        states = self._states.values()
        return tuple(state.member for state in states if state.status is Status.DEAD)

    def state(self, host: HostId) -> MemberState | None:
        """Return the last known state of a member."""
        return self._states.get(host)

    def announce(self) -> None:
        """Queue this host's own record as an update."""
        self._enqueue(MemberUpdate(Status.ALIVE, self.own))
        self._mark_changed()

    def announce_departure(self) -> None:
        """Queue this host's departure; later updates about it are not refuted."""
        self._leaving = True
        self._enqueue(MemberUpdate(Status.LEFT, self.own))

    def reset_update_budget(self) -> None:
        """Reset the bytes of updates that this probe interval may send."""
        self._update_budget = UPDATE_BYTES_PER_INTERVAL

    def update_own(self, own: Member, *, announce: bool) -> None:
        """Replace this host's own record."""
        self.own = own
        if announce:
            self.announce()
        else:
            self._mark_changed()

    def merge(self, update: MemberUpdate, now: Seconds) -> bool:
        """Merge an update and return whether it contained anything new."""
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
        """Mark a live member as suspect; return whether its status changed."""
        state = self._states.get(host)
        if state is None or state.status is not Status.ALIVE:
            return False
        return self.merge(MemberUpdate(Status.SUSPECT, state.member), now)

    def suspicion_seconds(self) -> Seconds:
        """Return how long a member stays suspect before it counts as dead."""
        doublings = math.log2(len(self.live()) + 1)
        return max(MIN_SUSPICION_SECONDS, SUSPICION_SECONDS_PER_DOUBLING * doublings)

    def expire(self, now: Seconds) -> bool:
        """Mark overdue suspects dead and delete old records; return whether any died."""
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
        """Restart the timeout of every suspect, after this host was paused."""
        for state in self._states.values():
            if state.status is Status.SUSPECT:
                state.since = now

    def next_updates(
        self, free_bytes: int = MAX_UPDATES_BYTES
    ) -> tuple[MemberUpdate, ...]:
        """Return the least-sent updates that fit, and count the send."""
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
        """Return the members with status ALIVE that another host's page omits."""
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
        """Return a page of members after a host id, and the id to continue after."""
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
    """Return the part of a state that the reported member list shows."""
    member = msgspec.structs.replace(state.member, incarnation=0)
    return state.status < Status.DEAD, member


def _supersedes(update: MemberUpdate, state: MemberState) -> bool:
    known = state.member.incarnation
    if update.member.incarnation != known:
        return update.member.incarnation > known
    return update.status > state.status


def _by_sends(queued: _QueuedUpdate) -> int:
    return queued.sends
