"""Follow the steps of one rollout at one host, and count what its requests show."""

from collections.abc import Callable, Iterable

import structlog

from ..events import (
    DispatchFailed,
    DispatchFinished,
    DispatchRefused,
    Event,
    FirstTokenSeen,
)
from ..gateway.log_events import LogEvent
from ..types import HostId, RequestId, Seconds, ServerId
from .evidence import HostEvidence
from .gate import ServicePolicy
from .messages import RolloutReport, RolloutStep
from .orders import RolloutOrder
from .steps import REPORT_AGE, Stage

#: Bounds of the time between two messages of a host, and hosts that make it longer.
MIN_PERIOD: Seconds = 0.25
MAX_PERIOD: Seconds = 1.0
HOSTS_PER_SECOND = 200
#: Periods without an answer after which another host is asked, and what is added to them
#: for the way of the messages.
SILENT_PERIODS = 2
SILENCE_MARGIN: Seconds = 0.5
#: Longest time that a write of the decider takes, with a margin.
WRITE_TIMEOUT: Seconds = 2.5
#: Least tokens of an answer from which the time of each one is taken.
MIN_TOKENS = 4
#: Stages that a host doesn't return to.
_EARLIER = {
    Stage.SHIFT: (Stage.HOLD, Stage.CANARY),
    Stage.FULL: (Stage.HOLD, Stage.CANARY, Stage.SHIFT),
    Stage.ROLLED_BACK: (Stage.HOLD, Stage.CANARY, Stage.SHIFT, Stage.FULL),
}
_log = structlog.get_logger(__name__)

Report = Callable[[Event], None]


def report_period(hosts: int) -> Seconds:
    """Return the time between two reports of one of a number of hosts."""
    return min(MAX_PERIOD, max(MIN_PERIOD, hosts / HOSTS_PER_SECOND))


def silence_limit(hosts: int) -> Seconds:
    """Return the time without an answer after which a decider counts as silent."""
    return SILENT_PERIODS * report_period(hosts) + SILENCE_MARGIN


class Watched:
    """Watch one dispatch for the evidence that it gives."""

    def __init__(
        self,
        participant: "Participant",
        route: str,
        server: ServerId,
        *,
        is_new: bool,
        sent_at: Seconds,
        streaming: bool,
    ) -> None:
        self._participant = participant
        self.route = route
        self.server = server
        self.is_new = is_new
        self.sent_at = sent_at
        self._streaming = streaming
        self.first_at: Seconds | None = None
        self.ended = False

    def observe(self, event: Event) -> None:
        """Record what an event of the dispatch shows."""
        evidence = self._participant.evidence
        if isinstance(event, FirstTokenSeen) and self.first_at is None:
            self.first_at = event.now
            evidence.record_first(self.route, self.is_new, event.now - self.sent_at)
        elif isinstance(event, DispatchFinished):
            self._end(event.now, failed=event.failed, tokens=event.output_tokens)
        elif isinstance(event, DispatchFailed):
            self._end(event.now, failed=True)
        elif isinstance(event, DispatchRefused) and not self.ended:
            self.ended = True
            evidence.record_refusal(self.route, self.is_new)

    def _end(self, now: Seconds, *, failed: bool, tokens: int = 0) -> None:
        if self.ended:
            return
        self.ended = True
        interval = None
        if self._streaming and self.first_at is not None and tokens >= MIN_TOKENS:
            interval = (now - self.first_at) / (tokens - 1)
        self._participant.evidence.record_end(
            self.route,
            self.is_new,
            failed=failed,
            elapsed=now - self.sent_at,
            token_interval=interval,
        )

    def close(self, now: Seconds, *, timed_out: bool) -> None:
        """End the watch of a dispatch that was cancelled; a time-out is a failure."""
        if timed_out:
            self._end(now, failed=True)
        self.ended = True


class Participant:
    """Follow one rollout: its step in force here, and this host's evidence."""

    def __init__(
        self, order: RolloutOrder, policy: ServicePolicy, now: Seconds
    ) -> None:
        self.order = order
        self.policy = policy
        self.evidence = HostEvidence()
        self.watched: dict[RequestId, Watched] = {}
        self.step = 0
        self.reason = ""
        #: Hosts that have not answered, until they are heard.
        self.silent_hosts: set[HostId] = set()
        self._began = now
        self.heard_at = now
        self._asked: tuple[HostId, Seconds] | None = None
        self._reported_at: Seconds = 0.0
        self._told: tuple[object, ...] = ()

    def age(self, now: Seconds) -> Seconds:
        """Return the time since the order, as far as this host knows."""
        return now - self._began

    def watch(
        self,
        request_id: RequestId,
        route: str,
        server: ServerId,
        *,
        now: Seconds,
        streaming: bool,
        report: Report,
    ) -> Report:
        """Return a report that also records what a dispatch shows."""
        is_new = server in self.policy.new
        watched = Watched(
            self, route, server, is_new=is_new, sent_at=now, streaming=streaming
        )
        self.watched[request_id] = watched

        def observe(event: Event) -> None:
            watched.observe(event)
            report(event)

        return observe

    def close(
        self, request_id: RequestId, server: ServerId, now: Seconds, *, timed_out: bool
    ) -> None:
        """End the watch of a dispatch, unless the request has a later one already."""
        watched = self.watched.get(request_id)
        if watched is not None and watched.server == server:
            del self.watched[request_id]
            watched.close(now, timed_out=timed_out)

    def follow(self, step: RolloutStep, now: Seconds) -> bool:
        """Follow a step; return whether other servers than before may get requests."""
        policy, stage = self.policy, Stage(step.stage)
        self.heard_at = now
        self._began = min(self._began, now - step.age)
        self._asked = None
        if stage in _EARLIER.get(policy.stage, ()):
            # A decider that has missed the later stage learns it from the reports.
            return False
        before = (policy.stage, policy.canaries)
        if stage is not policy.stage:
            _log.info(
                LogEvent.ROLLOUT_STEP,
                service=self.order.service,
                version=self.order.version,
                stage=stage,
                before=policy.stage,
                step=step.step,
                pace=round(step.pace, 3),
                reason=step.reason,
                requests=policy.requests,
                exposed=policy.exposed,
            )
        self.step, self.reason = step.step, step.reason
        policy.stage, policy.pace = stage, step.pace
        policy.canaries = frozenset(step.canaries)
        return before != (policy.stage, policy.canaries)

    def check_silence(self, now: Seconds, hosts: int) -> bool:
        """Fall back to the safe side where nobody is heard who decides.

        What has the old servers drained lasts until the decider can't count on it any
        more, since it may complete the rollout meanwhile.
        """
        policy, silent = self.policy, now - self.heard_at
        limit = silence_limit(hosts)
        if policy.stage is Stage.FULL:
            limit += REPORT_AGE + WRITE_TIMEOUT
        if silent < limit or policy.stage in (Stage.HOLD, Stage.ROLLED_BACK):
            return False
        _log.warning(
            LogEvent.ROLLOUT_UNDECIDED,
            service=self.order.service,
            version=self.order.version,
            stage=policy.stage,
            silent=round(silent, 3),
        )
        policy.stage, policy.pace, policy.canaries = Stage.HOLD, 0.0, frozenset()
        return True

    def report(
        self, now: Seconds, host: HostId, hosts: int, running: int
    ) -> RolloutReport:
        """Return this host's report; an old step isn't named as one that is followed."""
        policy = self.policy
        stage = policy.stage
        unheard = now - self.heard_at >= silence_limit(hosts)
        if stage is Stage.FULL and (unheard or not policy.new):
            # Requests may go to the old servers.
            stage = Stage.HOLD
        watched = [item for item in self.watched.values() if not item.ended]
        pending = (
            (item.route, item.is_new, now - item.sent_at)
            for item in watched
            if item.first_at is None
        )
        ages = (now - item.sent_at for item in watched if not item.is_new)
        return RolloutReport(
            service=self.order.service,
            version=self.order.version,
            step=self.step,
            stage=stage,
            age=self.age(now),
            running=running,
            longest=max(self.evidence.longest, max(ages, default=0.0)),
            requests=policy.requests,
            exposed=policy.exposed,
            counts=self.evidence.counts(pending),
            host=host,
        )

    def is_due(self, now: Seconds, hosts: int, running: int) -> bool:
        """Return whether a report is due: each period, and sooner with news."""
        news = (self.step, self.policy.stage, running == 0, self.evidence.news)
        period = report_period(hosts)
        if news != self._told:
            period = MIN_PERIOD
            if news[:3] != self._told[:3]:
                period = 0.0
        if now - self._reported_at < period:
            return False
        self._reported_at, self._told = now, news
        return True

    def choose(
        self,
        hosts: Iterable[HostId],
        now: Seconds,
        limit: Seconds,
        rank: Callable[[Iterable[HostId]], HostId],
        own: HostId,
    ) -> HostId:
        """Return the host that decides, without those that don't answer."""
        if self._asked is not None and now - self._asked[1] >= limit:
            self.silent_hosts.add(self._asked[0])
            self._asked = None
        others = [host for host in hosts if host not in self.silent_hosts]
        return rank(others or [own])

    def record_asked(self, host: HostId, now: Seconds) -> None:
        """Record that a host has been sent a report, which it has to answer."""
        if self._asked is None or self._asked[0] != host:
            self._asked = (host, now)
