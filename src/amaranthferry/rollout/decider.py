"""Decide on one rollout for all hosts, and write its state to the store."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import structlog

from ..exceptions import AmaranthferryError, AnswerLost, VersionConflict
from ..gateway.log_events import LogEvent
from ..types import HostId, Seconds, ServerId
from .messages import RolloutReport, RolloutStep
from .orders import RolloutOrder, RolloutState
from .steps import Decision, Limits, RolloutDecision, Stage, View

#: Pause between two writes of one rollout's state.
WRITE_PAUSE: Seconds = 0.5
_log = structlog.get_logger(__name__)


class StateStore(Protocol):
    """Read and write the states of rollouts."""

    async def write(self, order: RolloutOrder, state: RolloutState) -> RolloutOrder:
        """Write a state unless the order has changed; return the order with it."""

    async def read(self, order: RolloutOrder) -> RolloutOrder | None:
        """Return an order as the store has it."""


class Decider:
    """Collect the reports of all hosts, decide, and write the state."""

    def __init__(
        self,
        order: RolloutOrder,
        limits: Limits,
        store: StateStore,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self.order = order
        self.decision = RolloutDecision(limits)
        self.decided_at: Seconds = -math.inf
        self.reports: dict[HostId, RolloutReport] = {}
        self._received: dict[HostId, Seconds] = {}
        self._store = store
        self._spawn = spawn
        self._writing = False
        self._write_at: Seconds = 0.0
        self._step = RolloutStep(order.service, order.version, 0, Stage.HOLD, 0.0)

    @property
    def step(self) -> RolloutStep:
        """Return the step in force."""
        return self._step

    @property
    def is_lonely(self) -> bool:
        """Return whether most hosts have not reported in time."""
        return self.decision.is_lonely

    def receive(self, report: RolloutReport, now: Seconds) -> None:
        """Record a host's report."""
        self.reports[report.host] = report
        self._received[report.host] = now

    def advance(
        self,
        now: Seconds,
        *,
        age: Seconds,
        old: tuple[ServerId, ...],
        new: tuple[ServerId, ...],
        hosts: frozenset[HostId],
        observe: Callable[[RolloutOrder], None],
    ) -> bool:
        """Decide; return whether the step has changed."""
        ages = {host: now - at for host, at in self._received.items()}
        age = max(age, *(r.age for r in self.reports.values()), 0.0)
        view = View(
            now=now,
            age=age,
            old=old,
            new=new,
            hosts=hosts,
            reports=self.reports,
            report_ages=ages,
        )
        decision = self.decision.advance(view, self._step.step)
        changed = self._take(decision, age)
        self._write(decision, now, observe)
        return changed

    def _take(self, decision: Decision, age: Seconds) -> bool:
        before = self._step
        known = (before.stage, before.pace, before.canaries)
        changed = known != (decision.stage, decision.pace, decision.canaries)
        number = before.step
        if changed:
            told = (report.step for report in self.reports.values())
            number = max(number, *told, 0) + 1
        if decision.stage != before.stage:
            _log.info(
                LogEvent.ROLLOUT_DECIDED,
                service=self.order.service,
                version=self.order.version,
                stage=decision.stage,
                before=before.stage,
                reason=decision.reason,
                age=round(age, 3),
                hosts=len(self.reports),
                requests=sum(r.requests for r in self.reports.values()),
                exposed=sum(r.exposed for r in self.reports.values()),
            )
        self._step = RolloutStep(
            service=self.order.service,
            version=self.order.version,
            step=number,
            stage=decision.stage,
            pace=decision.pace,
            canaries=decision.canaries,
            age=age,
            reason=decision.reason,
        )
        return changed

    def _write(
        self,
        decision: Decision,
        now: Seconds,
        observe: Callable[[RolloutOrder], None],
    ) -> None:
        """Start a write of the state unless the store has it."""
        known = self.order.state
        if self._writing or self.order.is_final or decision.state is known:
            return
        if now < self._write_at:
            return
        self._writing, self._write_at = True, now + WRITE_PAUSE
        if decision.state is RolloutState.COMPLETED:
            self.decision.freeze()
        self._spawn(self._write_state(decision.state, observe))

    async def _write_state(
        self, state: RolloutState, observe: Callable[[RolloutOrder], None]
    ) -> None:
        try:
            found: RolloutOrder | None = await self._store.write(self.order, state)
        except (VersionConflict, AnswerLost) as exc:
            self._log_failure(state, exc)
            found = await self._read_back(state)
        except AmaranthferryError as exc:
            # Nothing has been written.
            self._log_failure(state, exc)
            found = None
        finally:
            self._writing = False
        if found is None or not found.is_final:
            self.decision.unfreeze()
        if found is not None:
            _log.info(
                LogEvent.ROLLOUT_WRITTEN,
                service=found.service,
                version=found.version,
                state=found.state,
                revision=found.revision,
            )
            self.order = found
            observe(found)

    async def _read_back(self, state: RolloutState) -> RolloutOrder | None:
        """Read the order until the store answers, since a write may have taken effect."""
        while True:
            try:
                return await self._store.read(self.order)
            except AmaranthferryError as exc:
                self._log_failure(state, exc)
                await asyncio.sleep(WRITE_PAUSE)

    def _log_failure(self, state: RolloutState, exc: AmaranthferryError) -> None:
        _log.warning(
            LogEvent.ROLLOUT_NOT_WRITTEN,
            service=self.order.service,
            version=self.order.version,
            state=state,
            problem=exc.message,
        )
