"""Play moves in virtual time, on engines of different speeds that turn slow."""

import math
import random

import msgspec

from amaranthferry.arrivals import Arrival, WorkKind, Workload
from amaranthferry.bench_coordinated import (
    POOL,
    SHARD,
    CoordinatedDispatcher,
    bench_deployment,
)
from amaranthferry.bench_engine import FakeEngine
from amaranthferry.bench_simulation import RequestStatus, Simulation
from amaranthferry.config import BackendServer, MoveRules, PoolRules
from amaranthferry.messages import PermitProgress
from amaranthferry.policy import Policy
from amaranthferry.relocation.messages import MoveOutcome, MoveProposal, MoveReport

ENGINES = 15
SLOTS = 7
#: Relative speeds, in turn; the slowest is five times slower than the fastest.
SPEEDS = (1.0, 0.8, 0.5, 0.3, 0.2)
ZONES = ("zone-0", "zone-1", "zone-2")
DECODE_INTERVAL = 0.010
PREFILL_RATE = 30_000.0
#: What the coordinator assumes of each engine until it has measured it.
PRIOR_INTERVAL = 0.008
PROGRESS_PERIOD = 0.5
CHANGEOVER = 0.05
SPREAD = 0.8
TIMEOUT = 15.0
RULES = MoveRules(token_bytes=40_000, link_rate=125_000_000, handle_lifetime=5.0)
#: Slow spells: share of the time, factor, and their lengths.
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
SLOW_TIMES = (0.6, 4.0)

KIND = WorkKind(
    workspace="reviewers",
    tier="standard",
    tier_rank=0,
    work_class="review",
    class_rank=0,
    share=1.0,
    prompt=(200, 3_000),
    output=(60, 300),
    timeout=TIMEOUT,
    objective=1.0,
    retries=1,
)
WORKLOAD = Workload("moves", (KIND,))


class MovingEngine(FakeEngine):
    """Go on with runs whose memory has been copied, at a slot held for the copy."""

    reserved = 0

    def _fits(self, job):
        if self.running + self.reserved >= self.cfg.slots:
            return False
        return super()._fits(job)

    def resume(self, job, now):
        self.reserved -= 1
        self.kv_used += job.kv_tokens
        self.decoding.append(job)
        if self._group is None:
            self._start_group(now)
        else:
            self._truncate_group(now)


class MovingDispatcher(CoordinatedDispatcher):
    """Carry out the coordinator's proposals, as hosts of this release do."""

    def __init__(self, deployment, *, moves, seed):
        super().__init__(deployment, Policy(), seed=seed)
        self._moves = moves
        self._moving = set()
        self.outcomes = []

    def start(self, simulation):
        super().start(simulation)
        simulation.repeat(PROGRESS_PERIOD, self._report_progress)

    def _send(self, message, now):
        if isinstance(message, PermitProgress):
            movable = self._moves and message.first_token > 0
            movable = movable and message.request_id not in self._moving
            message = msgspec.structs.replace(message, movable=movable)
        super()._send(message, now)

    def _perform(self, effect, now):
        message = getattr(effect, "message", None)
        if isinstance(message, MoveProposal):
            self._begin(message, now)
        super()._perform(effect, now)

    def _begin(self, message, now):
        record = self._attempts[message.request_id]
        source = self._simulation.engines[message.source]
        if record.server != message.source or record.job not in source.decoding:
            self._end(message, MoveOutcome.DECLINED, now)
            return
        target = self._simulation.engines[message.target]
        target.reserved += 1
        self._moving.add(message.request_id)
        same_zone = source.cfg.zone == target.cfg.zone
        tokens = record.arrival.prompt_tokens + source.produced(record.job, now)
        done = now + RULES.copy_time(tokens, same_zone=same_zone)
        self._simulation.schedule(done, lambda at: self._stop(message, at))

    def _stop(self, message, now):
        record = self._attempts[message.request_id]
        source = self._simulation.engines[message.source]
        produced = source.produced(record.job, now)
        ends = produced >= record.arrival.output_tokens
        if record.status is not RequestStatus.PENDING or ends:
            self._simulation.engines[message.target].reserved -= 1
            self._end(message, MoveOutcome.STAYED, now)
            return
        job = msgspec.structs.replace(record.job, produced=produced)
        source.cancel(record.job, now)
        record.job, record.server = job, message.target
        resumed = now + CHANGEOVER
        self._simulation.schedule(resumed, lambda at: self._resume(message, job, at))

    def _resume(self, message, job, now):
        target = self._simulation.engines[message.target]
        if self._attempts[message.request_id].status is not RequestStatus.PENDING:
            target.reserved -= 1
            return
        target.resume(job, now)
        self._end(message, MoveOutcome.MOVED, now)

    def _end(self, message, outcome, now):
        self._moving.discard(message.request_id)
        self.outcomes.append(outcome)
        record = self._attempts[message.request_id]
        report = MoveReport(
            request_id=message.request_id,
            shard=SHARD,
            server=record.server or message.source,
            target=message.target,
            outcome=outcome,
        )
        self._send(report, now)


class MovingSimulation(Simulation):
    """Have the engines turn slow for a while, at times drawn from a seed."""

    def __init__(self, arrivals, servers, dispatcher, *, duration, seed):
        super().__init__(arrivals, servers, dispatcher, duration=duration)
        self.engines = {
            server.name: MovingEngine(server, listener=self, schedule=self.schedule)
            for server in servers
        }
        rng = random.Random(f"{seed}/spells")
        for engine in self.engines.values():
            now = 0.0
            while now < duration:
                spell = rng.uniform(*SLOW_TIMES)
                now += rng.expovariate(SLOW_SHARE / (1 - SLOW_SHARE) / spell)
                self._slow_down(engine, now, now + spell)
                now += spell

    def _slow_down(self, engine, begin, end):
        self.schedule(begin, lambda at: engine.set_speed(1 / SLOW_FACTOR, at))
        self.schedule(end, lambda at: engine.set_speed(1.0, at))

    def _schedule_fault(self):
        """Inject none of the bench's faults."""


class Result(msgspec.Struct, frozen=True):
    """Describe one simulation; `wasted` is the share of slot-seconds on runs cut off."""

    sent: int
    done: int
    cut_off: int
    #: Those that the fastest engine would have completed in a full batch.
    feasible: int
    wasted: float
    moved: int
    other_ends: int


def servers():
    return [
        BackendServer(
            name=f"engine-{number}",
            pool=POOL,
            zone=ZONES[number % len(ZONES)],
            address=f"engine-{number}:1",
            slots=SLOTS,
            kv_tokens=400_000,
            prefill_rate=PREFILL_RATE * SPEEDS[number % len(SPEEDS)],
            decode_interval=DECODE_INTERVAL / SPEEDS[number % len(SPEEDS)],
        )
        for number in range(ENGINES)
    ]


def arrivals(load, duration, seed):
    """Draw lengths around the callers' hints, which are right only at the median."""
    rng = random.Random(f"{seed}/arrivals")
    mean_output = sum(KIND.output) / 2 * math.exp(SPREAD * SPREAD / 2)
    capacity = sum(
        server.slots / (mean_output * server.decode_interval) for server in servers()
    )
    now, found = 0.0, []
    while (now := now + rng.expovariate(load * capacity)) < duration:
        hint = rng.uniform(*KIND.output)
        ratio = min(10.0, max(0.1, math.exp(rng.gauss(0.0, SPREAD))))
        found.append(
            Arrival(
                at=now,
                request_id=f"r{len(found)}",
                workspace=KIND.workspace,
                tier=KIND.tier,
                tier_rank=KIND.tier_rank,
                work_class=KIND.work_class,
                class_rank=KIND.class_rank,
                timeout=KIND.timeout,
                prompt_tokens=int(rng.uniform(*KIND.prompt)),
                output_tokens=max(1, int(hint * ratio)),
                expected_output_tokens=int(hint),
                objective=KIND.objective,
                retries=KIND.retries,
            )
        )
    return found


def play(*, load, moves, seed=1, duration=60.0):
    """Play one trace and return what became of its requests."""
    engines = servers()
    known = [
        msgspec.structs.replace(
            server, prefill_rate=PREFILL_RATE, decode_interval=PRIOR_INTERVAL
        )
        for server in engines
    ]
    deployment = msgspec.structs.replace(
        bench_deployment(WORKLOAD, tuple(known)),
        rules={POOL: PoolRules(by_objective=True, moves=RULES if moves else None)},
    )
    dispatcher = MovingDispatcher(deployment, moves=moves, seed=seed)
    simulation = MovingSimulation(
        arrivals(load, duration, seed),
        engines,
        dispatcher,
        duration=duration,
        seed=seed,
    )
    return measure(simulation.run(), simulation, dispatcher)


def measure(records, simulation, dispatcher):
    done = cut_off = feasible = 0
    useful = wasted = 0.0
    for record in records:
        if record.status is RequestStatus.DONE:
            done += 1
            useful += record.job.finished - record.admitted
        elif record.status is RequestStatus.LATE:
            cut_off += 1
            work = record.arrival.output_tokens * DECODE_INTERVAL
            feasible += record.admitted + work <= record.arrival.deadline
            wasted += record.arrival.deadline - record.admitted
    outcomes = dispatcher.outcomes
    moved = outcomes.count(MoveOutcome.MOVED)
    return Result(
        sent=len(records),
        done=done,
        cut_off=cut_off,
        feasible=feasible,
        wasted=round(wasted / max(1.0, useful + wasted), 4),
        moved=moved,
        other_ends=len(outcomes) - moved,
    )


if __name__ == "__main__":
    for seed in (1, 2, 3):
        for load in (0.7, 1.0, 1.5, 3.0):
            for moves in (False, True):
                result = play(load=load, moves=moves, seed=seed, duration=120.0)
                print(seed, load, "on " if moves else "off", result)
