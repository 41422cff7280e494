"""Simulate one rollout over many hosts with the real decisions, without a network."""

import heapq
import itertools
import math
import random

from amaranthferry.rollout.gate import ServicePolicy, initial_credit
from amaranthferry.rollout.messages import RolloutStep
from amaranthferry.rollout.orders import RolloutOrder, RolloutState
from amaranthferry.rollout.participant import Participant, Watched
from amaranthferry.rollout.steps import Limits, RolloutDecision, Stage, View

TICK = 0.05
MESSAGE_TIME = 0.01
SHARE, SLACK = 0.1, 50
MEDIAN, SPREAD = 0.09, 0.35
SLOTS = 6
SPELL = 0.6


class Version:
    """Describe how the servers of a version answer."""

    def __init__(
        self, *, failures=0.003, slow=0.0, factor=4.0, route=None, since=0.0, load=0.0
    ):
        self.failures = failures
        self.slow = slow
        self.factor = factor
        self.route = route
        self.since = since
        self.load = load

    def is_bad(self, route, age, load):
        return self.route in (None, route) and age >= self.since and load >= self.load


class Result:
    def __init__(self):
        self.state = None
        self.ended = math.inf
        self.requests = 0
        self.exposed = 0
        self.exposed_at_proof = 0
        self.bad = []
        self.last_sent = 0.0
        self.reason = ""
        self.running_at_completion = 0

    @property
    def bound(self):
        return SHARE * self.requests + SLACK


class Simulation:
    """Run one rollout; servers queue, and get slow for moments."""

    def __init__(
        self,
        version,
        *,
        hosts=30,
        rate=150,
        old=4,
        new=4,
        duration=12,
        seed=1,
        spells=0.1,
    ):
        self.random = random.Random(seed)
        self.version = version
        self.rate, self.duration = rate, duration
        self.old = tuple(f"old-{n}" for n in range(old))
        self.new = tuple(f"new-{n}" for n in range(new))
        self.busy = dict.fromkeys((*self.old, *self.new), 0)
        self.queues = {server: [] for server in self.busy}
        self.slow_until = dict.fromkeys(self.busy, 0.0)
        self.spells = spells
        self.names = [f"host-{n}" for n in range(hosts)]
        order = RolloutOrder(name="s", service="s", version="v2", duration=duration)
        self.hosts = {}
        for name in self.names:
            credit = initial_credit(name, self.names, "s", SLACK)
            policy = ServicePolicy(
                version="v2",
                old=frozenset(self.old),
                new=frozenset(self.new),
                share=SHARE,
                credit=credit,
            )
            self.hosts[name] = Participant(order, policy, 0.0)
        self.decision = RolloutDecision(
            Limits(share=SHARE, slack=SLACK, duration=duration)
        )
        self.running = dict.fromkeys(self.names, 0)
        self.reports, self.received = {}, {}
        self.step = 0
        self.told = ()
        self.events = []
        self.numbers = itertools.count()
        self.result = Result()

    def at(self, when, action, *args):
        heapq.heappush(self.events, (when, next(self.numbers), action, args))

    def run(self):
        self.at(0.0, self.tick)
        self.at(0.0, self.arrive)
        self.at(0.0, self.spell)
        while self.events:
            now, _, action, args = heapq.heappop(self.events)
            if now > 1.5 * self.duration:
                break
            action(now, *args)
            if self.result.state is not None:
                break
        return self.result

    def spell(self, now):
        server = self.random.choice(list(self.busy))
        self.slow_until[server] = now + SPELL
        mean = SPELL / max(self.spells, 1e-9) / len(self.busy)
        self.at(now + self.random.expovariate(1 / mean), self.spell)

    def arrive(self, now):
        self.at(now + self.random.expovariate(self.rate), self.arrive)
        self.result.requests += 1
        number = self.result.requests
        name = self.random.choice(self.names)
        host, route = self.hosts[name], "ab"[self.random.random() < 0.3]
        use_new, _ = host.policy.choose(f"r{number}", is_first=True)
        if use_new and host.policy.stage is Stage.CANARY:
            choice = sorted(host.policy.canaries)
        else:
            choice = self.new if use_new else self.old
        server = min(choice, key=lambda s: (self.busy[s], self.random.random()))
        if use_new:
            self.result.exposed += 1
            self.result.last_sent = now
            if host.policy.stage is Stage.CANARY:
                self.result.exposed_at_proof += 1
        else:
            self.running[name] += 1
        watched = Watched(
            host, route, server, is_new=use_new, sent_at=now, streaming=False
        )
        host.watched[number] = watched
        self.enter(now, name, number, server, watched)

    def enter(self, now, name, number, server, watched):
        self.busy[server] += 1
        if self.busy[server] > SLOTS:
            self.queues[server].append((name, number, watched))
        else:
            self.serve(now, name, number, server, watched)

    def serve(self, now, name, number, server, watched):
        load = (self.busy[server] - 1) / SLOTS
        took = MEDIAN * math.exp(self.random.gauss(0, SPREAD))
        failed = self.random.random() < 0.003
        if now < self.slow_until[server]:
            took *= 2.5
        if watched.is_new and self.version.is_bad(watched.route, now, load):
            failed = failed or self.random.random() < self.version.failures
            if self.random.random() < self.version.slow:
                took *= self.version.factor
                failed_or_slow = True
            else:
                failed_or_slow = failed
            if failed_or_slow:
                self.at(now + took, self.count_bad)
        self.at(now + took, self.answer, name, number, server, watched, failed)

    def count_bad(self, now):
        self.result.bad.append(now)

    def answer(self, now, name, number, server, watched, failed):
        self.busy[server] -= 1
        if self.queues[server]:
            self.serve(
                now, *self.queues[server][0][:2], server, self.queues[server].pop(0)[2]
            )
        host = self.hosts[name]
        if watched.first_at is None:
            watched.first_at = now
            host.evidence.record_first(
                watched.route, watched.is_new, now - watched.sent_at
            )
        watched._end(now, failed=failed)
        host.watched.pop(number, None)
        if not watched.is_new:
            self.running[name] -= 1

    def receive(self, now, report):
        self.reports[report.host], self.received[report.host] = report, now

    def tick(self, now):
        self.at(now + TICK, self.tick)
        for name, host in self.hosts.items():
            if host.is_due(now, len(self.names), self.running[name]):
                report = host.report(now, name, len(self.names), self.running[name])
                self.at(now + MESSAGE_TIME, self.receive, report)
        view = View(
            now=now,
            age=now,
            old=self.old,
            new=self.new,
            hosts=frozenset(self.names),
            reports=self.reports,
            report_ages={h: now - at for h, at in self.received.items()},
        )
        decision = self.decision.advance(view, self.step)
        told = (decision.stage, decision.pace, decision.canaries)
        if told != self.told:
            self.told, self.step = told, self.step + 1
        step = RolloutStep("s", "v2", self.step, *told, age=now, reason=decision.reason)
        if self.step and decision.stage is not Stage.HOLD:
            self.at(now + MESSAGE_TIME, self.tell, step)
        if decision.state is not RolloutState.IN_PROGRESS:
            self.result.reason = decision.reason
            self.at(now + 0.05, self.end, decision.state)

    def tell(self, now, step):
        for host in self.hosts.values():
            host.follow(step, now)

    def end(self, now, state):
        self.result.state, self.result.ended = state, now
        self.result.running_at_completion = sum(self.running.values())
