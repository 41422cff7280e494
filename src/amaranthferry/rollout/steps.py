"""Decide on the steps of one rollout: evidence in, share of the requests out.

While the version is unproven, hosts send it requests on credit: each request of the
service earns the exposure share, and each request that goes to the new version costs one.
The bound on the exposure therefore holds on each host by itself, whatever the decider
does. The decider only says when hosts may use their credit, and on which servers.
"""

import math
from collections.abc import Iterable, Mapping
from enum import StrEnum

import msgspec

from ..types import HostId, Seconds, ServerId
from .evidence import add_up
from .judging import CHANCE_OF_LAST, Finding, Timeline, judge
from .messages import RolloutReport
from .orders import RolloutState

#: Time at the end that is left for the write of the state and for its way to the hosts.
WRITE_TIME: Seconds = 1.5
#: Time with half of the requests, and least time with all of them, before completion.
SHIFT_TIME: Seconds = 0.8
FULL_TIME: Seconds = 1.2
SHIFT_PACE = 0.5
#: Earliest and latest end of the unproven time, as fractions of the duration.
EARLIEST_PROOF = 0.3
LATEST_PROOF = 0.7
#: Margin on the longest time that a request took at the old servers.
DRAIN_FACTOR = 1.25
#: Load of a canary while it is loaded, as a fraction of that of an old server. One server
#: alone has longer queues than several that share their requests.
CANARY_LOAD = 0.85
#: Time for which the canaries are loaded at once, where the exposure share is too small to
#: load them all the time: the hosts save their credit for it.
PULSE_TIME: Seconds = 1.0
#: Answers of the new version that prove it, and the least at the latest time.
MIN_ANSWERS = 30
MIN_LAST_ANSWERS = 5
#: Servers of the new version that are needed at the latest time, as a fraction of the old
#: ones; before it they are waited for until they are as many.
MIN_SERVERS = 0.5
#: Answers of each route that has at least a part of the requests.
MIN_ROUTE_ANSWERS = 5
MAIN_ROUTE_SHARE = 0.1
#: Part of the exposure slack that hosts are given as credit at the order, but for three
#: standard deviations of the fractions of requests that they begin with. The rest is for
#: hosts that restart.
CREDIT_PART = 0.85
FRACTION_MARGIN = 1.5
#: Age above which a host's report no longer tells what the host does.
REPORT_AGE: Seconds = 1.5
#: Time after which a decider that most hosts don't report to tells them that it is there.
GATHER_TIME: Seconds = 0.8


class Stage(StrEnum):
    """Represent what hosts do with the servers of the new version."""

    #: They get nothing: they aren't ready, or nobody is heard who decides.
    HOLD = "hold"
    #: A few of them get requests on credit.
    CANARY = "canary"
    #: All get half of the requests.
    SHIFT = "shift"
    #: All get all requests, while the old servers end what they run.
    FULL = "full"
    #: They get nothing more.
    ROLLED_BACK = "rolled_back"


def slack_credit(slack: float, hosts: int) -> float:
    """Return the part of the exposure slack that hosts may use from the order on."""
    return max(0.0, slack * CREDIT_PART - FRACTION_MARGIN * math.sqrt(hosts))


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Define the bounds that the operator has set for rollouts."""

    share: float
    slack: float
    duration: Seconds


class View(msgspec.Struct, frozen=True, kw_only=True):
    """Describe what the decider knows; report ages are by host."""

    now: Seconds
    age: Seconds
    old: tuple[ServerId, ...]
    new: tuple[ServerId, ...]
    hosts: frozenset[HostId]
    reports: Mapping[HostId, RolloutReport]
    report_ages: Mapping[HostId, Seconds]


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a step; `state` is to be written to the store."""

    stage: Stage
    pace: float = 0.0
    canaries: tuple[ServerId, ...] = ()
    reason: str = ""
    state: RolloutState = RolloutState.IN_PROGRESS


class RolloutDecision:
    """Decide on one rollout from the evidence of all hosts."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.timeline = Timeline()
        self.finding: Finding | None = None
        self._stage = Stage.HOLD
        self._since: Seconds = 0.0
        self._began: Seconds | None = None
        self._reason = ""
        self._may_be_completed = False
        self._pulsing = False
        self._is_lonely = False

    @property
    def stage(self) -> Stage:
        """Return the stage that has been decided on."""
        return self._stage

    def freeze(self) -> None:
        """Don't roll back while a write of the completion may have taken effect."""
        self._may_be_completed = True

    def unfreeze(self) -> None:
        """Decide again, since the completion has not been written."""
        self._may_be_completed = False

    @property
    def is_lonely(self) -> bool:
        """Return whether most hosts have not reported in time."""
        return self._is_lonely

    def advance(self, view: View, step: int) -> Decision:
        """Return what to do now; `step` is the number of the step in force."""
        self.timeline.record(add_up(r.counts for r in view.reports.values()), view.now)
        if self._stage is not Stage.ROLLED_BACK and not self._may_be_completed:
            self._review(view)
        if self._stage is Stage.CANARY:
            return self._canary(view)
        drained = self._stage is Stage.FULL and self._is_drained(view, step)
        if drained and not self._may_be_completed:
            # The answers to all requests are far more than those that proved it.
            drained = not self._is_bad_at_last(view)
        if self._stage is Stage.ROLLED_BACK:
            state = RolloutState.ROLLED_BACK
            return Decision(stage=self._stage, reason=self._reason, state=state)
        if drained:
            state = RolloutState.COMPLETED
            return Decision(
                stage=self._stage, pace=1.0, reason=self._reason, state=state
            )
        pace = {Stage.SHIFT: SHIFT_PACE, Stage.FULL: 1.0}.get(self._stage, 0.0)
        return Decision(stage=self._stage, pace=pace, reason=self._reason)

    def _review(self, view: View) -> None:
        told = {report.stage for report in view.reports.values()}
        if Stage.ROLLED_BACK in told:
            # An earlier decider has rolled it back, and may not have written so.
            self._enter(Stage.ROLLED_BACK, view, "decided before")
            return
        self.finding = judge(self.timeline)
        if self.finding is not None:
            self._enter(Stage.ROLLED_BACK, view, str(self.finding))
            return
        if not self._has_heard(view):
            return
        if Stage.FULL in told and self._stage is not Stage.FULL:
            self._enter(Stage.FULL, view, "went on")
        elif self._stage is Stage.HOLD:
            self._start(view, told)
        elif self._stage is Stage.CANARY:
            self._prove(view)
        elif self._stage is Stage.SHIFT and view.now - self._since >= SHIFT_TIME:
            self._enter(Stage.FULL, view, self._reason)
        elif self._stage is Stage.FULL and view.age >= self._last_moment:
            self._give_up_silent_hosts(view)

    def _give_up_silent_hosts(self, view: View) -> None:
        """Roll back if a live host may still send requests to the old servers."""
        missing = sorted(self._silent_hosts(view))
        if missing:
            names = ", ".join(missing[:3])
            self._enter(Stage.ROLLED_BACK, view, f"nothing heard of {names}")

    @property
    def _last_moment(self) -> Seconds:
        return self.limits.duration - WRITE_TIME

    def _start(self, view: View, told: Iterable[str]) -> None:
        """Go on from what the hosts do already, or start once a server is ready."""
        if not view.new:
            if view.age >= self._last_moment:
                self._enter(Stage.ROLLED_BACK, view, "no server of the version")
        elif Stage.SHIFT in told:
            self._enter(Stage.SHIFT, view, "went on")
        else:
            self._enter(Stage.CANARY, view, "servers are ready")

    def _has_heard(self, view: View) -> bool:
        """Return whether most hosts say what they do; another one may decide for them.

        A host that decides alone leaves it at that until the end of the duration.
        """
        if self._began is None:
            self._began = view.now
        fresh = sum(view.report_ages.get(h, math.inf) <= REPORT_AGE for h in view.hosts)
        heard = 2 * fresh > len(view.hosts)
        self._is_lonely = not heard and view.now - self._began >= GATHER_TIME
        if self._is_lonely and view.age >= self.limits.duration:
            self._enter(Stage.ROLLED_BACK, view, "most hosts say nothing")
        return heard

    def _prove(self, view: View) -> None:
        latest = self._latest_proof(view)
        if not view.new and view.age >= self._last_moment:
            self._enter(Stage.ROLLED_BACK, view, "no server of the version")
            return
        if view.age < min(latest, LATEST_PROOF * self.limits.duration):
            return
        is_last = view.age >= latest
        if len(view.new) < len(view.old) * (MIN_SERVERS if is_last else 1.0):
            if is_last:
                self._enter(Stage.ROLLED_BACK, view, "too few servers of the version")
            return
        if self._is_bad_at_last(view):
            return
        if self._is_proven():
            self._enter(Stage.SHIFT, view, "proven")
        elif is_last and self._new_answers() >= MIN_LAST_ANSWERS:
            self._enter(Stage.SHIFT, view, "proven by few answers")
        elif is_last:
            self._enter(Stage.ROLLED_BACK, view, "too few answers to judge")

    def _is_bad_at_last(self, view: View) -> bool:
        """Judge the version before more depends on it; return whether it is bad."""
        self.finding = judge(self.timeline, CHANCE_OF_LAST)
        if self.finding is None:
            return False
        self._enter(Stage.ROLLED_BACK, view, str(self.finding))
        return True

    def _latest_proof(self, view: View) -> Seconds:
        """Return the time at which all later steps still end within the duration."""
        longest = max((r.longest for r in view.reports.values()), default=0.0)
        later = WRITE_TIME + SHIFT_TIME + FULL_TIME + DRAIN_FACTOR * longest
        earliest = EARLIEST_PROOF * self.limits.duration
        return max(earliest, self.limits.duration - later)

    def _new_answers(self) -> int:
        return sum(
            item.answers for (_, is_new), item in self.timeline.latest.items() if is_new
        )

    def _is_proven(self) -> bool:
        """Return whether each main route has answers enough of the new version."""
        latest = self.timeline.latest
        if self._new_answers() < MIN_ANSWERS:
            return False
        total = sum(item.answers for item in latest.values())
        by_route: dict[str, int] = {}
        for (route, _), item in latest.items():
            by_route[route] = by_route.get(route, 0) + item.answers
        return all(
            (route, True) in latest and latest[route, True].answers >= MIN_ROUTE_ANSWERS
            for route, answers in by_route.items()
            if answers >= MAIN_ROUTE_SHARE * total
        )

    def _canary(self, view: View) -> Decision:
        """Load a few new servers like old ones, for as long as the share allows."""
        count = max(1, round(self.limits.share * len(view.old)))
        canaries = view.new[:count]
        load = CANARY_LOAD * len(canaries) / max(1, len(view.old))
        pace = min(1.0, max(load, self.limits.share))
        if not self._is_pulsing(view, pace):
            pace = 0.0
        return Decision(
            stage=Stage.CANARY, pace=pace, canaries=canaries, reason=self._reason
        )

    def _is_pulsing(self, view: View, pace: float) -> bool:
        """Return whether the credit of all hosts lasts for a time with loaded canaries."""
        requests = sum(report.requests for report in view.reports.values())
        exposed = sum(report.exposed for report in view.reports.values())
        slack = slack_credit(self.limits.slack, len(view.hosts))
        earned = self.limits.share * requests + slack
        left, rate = earned - exposed, requests / max(view.age, PULSE_TIME)
        if left < 1.0:
            self._pulsing = False
        elif left >= min(pace * rate * PULSE_TIME, max(slack, 1.0)):
            self._pulsing = True
        return self._pulsing

    def _silent_hosts(self, view: View) -> set[HostId]:
        """Return the live hosts that don't say that they follow the last step."""
        return {
            host
            for host in view.hosts
            if host not in view.reports
            or view.reports[host].stage != Stage.FULL
            or view.report_ages[host] > REPORT_AGE
        }

    def _is_drained(self, view: View, step: int) -> bool:
        """Return whether nothing runs at the old servers or is on its way there."""
        if view.now - self._since < FULL_TIME or self._silent_hosts(view):
            return False
        if not view.new:
            return False
        return all(
            view.reports[host].step >= step and view.reports[host].running == 0
            for host in view.hosts
        )

    def _enter(self, stage: Stage, view: View, reason: str) -> None:
        self._stage, self._since, self._reason = stage, view.now, reason
