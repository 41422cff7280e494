"""Hold what one entry host believes of all the others, and the news to pass on."""

import math

import msgspec

from .gossip import MAX_NEWS_BYTES, Member, MemberUpdate, Status, news_size
from .types import HostId, Seconds

#: How long a dead member is remembered, so that a healed partition is found.
DEAD_RETENTION_SECONDS = 7_200.0
#: How long a departure is remembered, so that late news can't undo it.
LEFT_RETENTION_SECONDS = 600.0
MIN_SUSPICION_SECONDS = 3.0
#: Suspicion grows with the rounds that news takes to reach everyone and return.
SUSPICION_SECONDS_PER_DOUBLING = 0.625
#: Bound on the news that one host sends in a probe interval.
NEWS_BYTES_PER_INTERVAL = 2_000
#: Sends of one piece of news per tenfold of members.
SENDS_PER_TENFOLD = 5


class Belief(msgspec.Struct):
    """Hold what is believed of one member, and since when."""

    member: Member
    status: Status
    since: Seconds


class _Item(msgspec.Struct):
    news: MemberUpdate
    size: int
    sends: int = 0


class Roster:
    """Merge news about members by incarnation, then by status."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.changed = True
        self.deaths = 0
        self._leaving = False
        self._allowance = NEWS_BYTES_PER_INTERVAL
        self._beliefs: dict[HostId, Belief] = {}
        self._queue: dict[HostId, _Item] = {}
        self._live: tuple[Member, ...] = ()
        self._others: tuple[Member, ...] = ()
        self._live_is_current = False
        self.announce()

    @property
    def has_news(self) -> bool:
        """Tell whether any news still has to be passed on."""
        return bool(self._queue)

    def live(self) -> tuple[Member, ...]:
        """Return the live members in order of host id, this host included."""
        if not self._live_is_current:
            live = [b.member for b in self._beliefs.values() if b.status < Status.DEAD]
            live.append(self.own)
            self._live = tuple(sorted(live, key=lambda member: member.host))
            self._others = tuple(m for m in self._live if m is not self.own)
            self._live_is_current = True
        return self._live

    def others(self) -> tuple[Member, ...]:
        """Return the live members but this host."""
        self.live()
        return self._others

    def lost(self) -> tuple[Member, ...]:
        """Return the members that are believed dead."""
        beliefs = self._beliefs.values()
        return tuple(b.member for b in beliefs if b.status is Status.DEAD)

    def belief(self, host: HostId) -> Belief | None:
        """Return what is believed of a member."""
        return self._beliefs.get(host)

    def announce(self) -> None:
        """Pass this host's own record on as news."""
        self._enqueue(MemberUpdate(Status.ALIVE, self.own))
        self._mark_changed()

    def announce_departure(self) -> None:
        """Pass on that this host leaves; nothing is refuted from here on."""
        self._leaving = True
        self._enqueue(MemberUpdate(Status.LEFT, self.own))

    def renew_allowance(self) -> None:
        """Begin a probe interval with its full allowance of news."""
        self._allowance = NEWS_BYTES_PER_INTERVAL

    def update_own(self, own: Member, *, announce: bool) -> None:
        """Replace this host's own record."""
        self.own = own
        if announce:
            self.announce()
        else:
            self._mark_changed()

    def learn(self, news: MemberUpdate, now: Seconds) -> bool:
        """Merge news; return whether it said anything new."""
        if news.member.host == self.own.host:
            return self._refute(news)
        belief = self._beliefs.get(news.member.host)
        if belief is not None and not _supersedes(news, belief):
            self._take_version(news, belief)
            return False
        status = Status.SUSPECT if news.status is Status.DEAD else news.status
        self._enqueue(MemberUpdate(status, news.member))
        self._believe(Belief(news.member, status, now))
        return True

    def suspect(self, host: HostId, now: Seconds) -> bool:
        """Suspect a member that gave no sign of life."""
        belief = self._beliefs.get(host)
        if belief is None or belief.status is not Status.ALIVE:
            return False
        return self.learn(MemberUpdate(Status.SUSPECT, belief.member), now)

    def suspicion_seconds(self) -> Seconds:
        """Return how long a member stays suspect before it counts as dead."""
        doublings = math.log2(len(self.live()) + 1)
        return max(MIN_SUSPICION_SECONDS, SUSPICION_SECONDS_PER_DOUBLING * doublings)

    def expire(self, now: Seconds) -> bool:
        """Forget what is old and conclude deaths; return whether there were any."""
        before = self.deaths
        suspicion = self.suspicion_seconds()
        for host, belief in tuple(self._beliefs.items()):
            age = now - belief.since
            if belief.status is Status.SUSPECT and age >= suspicion:
                self.deaths += 1
                self._believe(Belief(belief.member, Status.DEAD, now))
            elif (belief.status is Status.DEAD and age >= DEAD_RETENTION_SECONDS) or (
                belief.status is Status.LEFT and age >= LEFT_RETENTION_SECONDS
            ):
                del self._beliefs[host]
        return self.deaths > before

    def restart_suspicions(self, now: Seconds) -> None:
        """Give suspects their full time again, after this host was paused."""
        for belief in self._beliefs.values():
            if belief.status is Status.SUSPECT:
                belief.since = now

    def take_news(self, room: int = MAX_NEWS_BYTES) -> tuple[MemberUpdate, ...]:
        """Return the least-sent news that fits, and count the send."""
        room = min(room, self._allowance)
        limit = SENDS_PER_TENFOLD * math.ceil(math.log10(len(self.live()) + 1))
        picked = []
        for item in sorted(self._queue.values(), key=_by_sends):
            if item.size > room:
                break
            room -= item.size
            self._allowance -= item.size
            item.sends += 1
            picked.append(item.news)
            if item.sends >= limit:
                del self._queue[item.news.member.host]
        return tuple(picked)

    def missing_from(
        self, page: tuple[MemberUpdate, ...], after: HostId, end: HostId
    ) -> set[HostId]:
        """Return the members believed alive that another's page leaves out."""
        listed = {news.member.host for news in page}
        return {
            host
            for host, belief in self._beliefs.items()
            if belief.status is Status.ALIVE
            and host > after
            and (not end or host <= end)
            and host not in listed
        }

    def page(self, after: HostId) -> tuple[tuple[MemberUpdate, ...], HostId]:
        """Return the members after a host id that fit, and where to go on."""
        room = MAX_NEWS_BYTES
        picked: list[MemberUpdate] = []
        for member in self.live():
            if member.host <= after:
                continue
            news = self._as_news(member)
            room -= news_size(news)
            if room < 0:
                return tuple(picked), picked[-1].member.host
            picked.append(news)
        return tuple(picked), HostId("")

    def _as_news(self, member: Member) -> MemberUpdate:
        belief = self._beliefs.get(member.host)
        return MemberUpdate(Status.ALIVE if belief is None else belief.status, member)

    def _refute(self, news: MemberUpdate) -> bool:
        known = news.member.incarnation
        if known < self.own.incarnation or self._leaving:
            return False
        if known == self.own.incarnation and news.status is Status.ALIVE:
            return False
        self.update_own(
            msgspec.structs.replace(self.own, incarnation=known + 1), announce=True
        )
        return True

    def _believe(self, belief: Belief) -> None:
        previous = self._beliefs.get(belief.member.host)
        self._beliefs[belief.member.host] = belief
        self._live_is_current = False
        if previous is None or _shown(previous) != _shown(belief):
            self.changed = True

    def _take_version(self, news: MemberUpdate, belief: Belief) -> None:
        member = belief.member
        if (
            news.member.incarnation == member.incarnation
            and news.member.settings_version > member.settings_version
        ):
            version = news.member.settings_version
            member = msgspec.structs.replace(member, settings_version=version)
            self._believe(Belief(member, belief.status, belief.since))

    def _enqueue(self, news: MemberUpdate) -> None:
        self._queue[news.member.host] = _Item(news, news_size(news))

    def _mark_changed(self) -> None:
        self.changed = True
        self._live_is_current = False


def _shown(belief: Belief) -> tuple[bool, Member]:
    """Return what readers of the member list see of a belief."""
    member = msgspec.structs.replace(belief.member, incarnation=0)
    return belief.status < Status.DEAD, member


def _supersedes(news: MemberUpdate, belief: Belief) -> bool:
    known = belief.member.incarnation
    if news.member.incarnation != known:
        return news.member.incarnation > known
    return news.status > belief.status


def _by_sends(item: _Item) -> int:
    return item.sends
