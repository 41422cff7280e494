"""Carry out second runs on one host: watch runs, start second ones, cancel the losers."""

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog

from ..catalog import RouteKind
from ..events import (
    DispatchFailed,
    DispatchFinished,
    DispatchRefused,
    Event,
    FirstTokenSeen,
    HedgeEnded,
    HedgeWanted,
    RunsSwapped,
    TokensSeen,
)
from ..gateway.log_events import LogEvent
from ..types import PoolId, RequestId, Seconds
from .accounting import may_hedge, may_take, other_servers
from .budget import WorkBudget
from .decision import Decision, Reason, RunningRun, decide, first_check, next_check
from .latency import LatencyModel

if TYPE_CHECKING:
    from ..gateway.application import Gateway
    from ..gateway.dispatching import Dispatch
    from ..gateway.exchange import RoutedExchange
    from ..requests import Request

_log = structlog.get_logger(__name__)


class Run:
    """Represent one run of a watched request; the dispatch is set once it is sent."""

    def __init__(
        self, hedger: "Hedger", exchange: "RoutedExchange", *, is_hedge: bool
    ) -> None:
        self._hedger = hedger
        self.exchange = exchange
        self.is_hedge = is_hedge
        self.dispatch: Dispatch | None = None
        self.task: asyncio.Task[None] | None = None
        self.started_at: Seconds = 0.0
        #: The work that was reserved for a second run.
        self.expected: Seconds = 0.0

    def age(self, now: Seconds) -> Seconds:
        """Return the time since the run was sent."""
        return now - self.started_at

    def report(self, event: Event) -> None:
        """Pass on what the dispatch reports."""
        self._hedger.report(self, event)


class Hedge(msgspec.Struct):
    """Represent the two runs of a request; `first` is the one that counts."""

    first: Run
    second: Run
    decision: Decision
    #: The age of the first run when the second one was sent.
    age: Seconds


class Hedger:
    """Watch the runs of one host's repeatable requests, and hedge the slow ones."""

    def __init__(self, app: "Gateway", limit: float) -> None:
        self._app = app
        self._limit = limit
        self.model = LatencyModel()
        self.budgets: dict[PoolId, WorkBudget] = {}
        self.open: dict[RequestId, Hedge] = {}
        self._rejected_at: dict[PoolId, Seconds] = {}
        self._pending: tuple[Decision, Seconds, Seconds] | None = None

    def watches(self, req: "Request") -> bool:
        """Return whether the runs of a request are measured: its service is plain."""
        return self._app.state.is_decided_locally(req.shard)

    def new_run(self, exchange: "RoutedExchange", *, is_hedge: bool = False) -> Run:
        """Return the record of a run that is about to be sent."""
        return Run(self, exchange, is_hedge=is_hedge)

    def begin(self, run: Run, dispatch: "Dispatch", task: "asyncio.Task[None]") -> None:
        """Watch a run that has been sent."""
        run.dispatch, run.task = dispatch, task
        run.started_at = now = self._app.clock()
        exchange = run.exchange
        if run.is_hedge:
            assert self._pending is not None and exchange.run is not None
            decision, age, run.expected = self._pending
            hedge = Hedge(exchange.run, run, decision, age)
            self.open[exchange.call.request_id] = hedge
            return
        exchange.run = run
        route = exchange.call.route
        if route.kind is not RouteKind.SAFE or route.max_attempts < 2:
            return
        after = first_check(
            self.model, dispatch.service, route.name, dispatch.server, now
        )
        if after is not None and after < exchange.call.deadline - now:
            self._check_after(run, after)

    def _check_after(self, run: Run, delay: Seconds) -> None:
        loop = asyncio.get_running_loop()
        run.exchange.check = loop.call_later(delay, self._check, run)

    def _view(self, run: Run, now: Seconds) -> RunningRun:
        assert run.dispatch is not None
        call = run.exchange.call
        return RunningRun(
            service=run.dispatch.service,
            route=call.route.name,
            server=run.dispatch.server,
            age=run.age(now),
            left=call.deadline - now,
        )

    def budget(self, service: PoolId) -> WorkBudget:
        """Return the budget for the second runs of a service."""
        if service not in self.budgets:
            self.budgets[service] = WorkBudget(self._limit)
        return self.budgets[service]

    def _check(self, run: Run) -> None:
        """Decide on a run that is still the only one of its request."""
        app, request_id = self._app, run.exchange.call.request_id
        req = app.state.requests.get(request_id)
        current = run.exchange.run is run and app.exchanges.get(request_id) is (
            run.exchange
        )
        if req is None or not current or not may_hedge(app.state, req):
            return
        now = app.clock()
        view = self._view(run, now)
        decision = self._decide(view, req, now)
        if decision.wants_hedge:
            decision = self._start(run, view, decision, now)
        if not decision.wants_hedge:
            app.telemetry.hedges_denied.add(view.service, decision.reason)
            self._check_after(run, next_check(decision, view))

    def _decide(self, view: RunningRun, req: "Request", now: Seconds) -> Decision:
        app = self._app
        if app.stopping:
            return Decision(Reason.STOPPING)
        if any(sync.state.store_lost for sync in app.syncs.values()):
            return Decision(Reason.STORE_LOST)
        rejected_at = self._rejected_at.get(view.service)
        if rejected_at is not None:
            if now - rejected_at < app.settings.bounds.retry_window:
                return Decision(Reason.BUSY)
            del self._rejected_at[view.service]
        others = other_servers(app.state, req)
        return decide(self.model, view, others, now=now)

    def _start(
        self, run: Run, view: RunningRun, decision: Decision, now: Seconds
    ) -> Decision:
        """Start a second run if the budgets and the other servers allow it."""
        expected = decision.fresh.mean
        budget = self.budget(view.service)
        if not budget.take(expected):
            return Decision(Reason.LIMIT, decision.remaining, decision.fresh)
        self._suspect(view, now)
        self._pending = (decision, view.age, expected)
        request_id = run.exchange.call.request_id
        event = HedgeWanted(now=now, request_id=request_id, avoid=decision.avoid)
        self._app.handle(event)
        self._pending = None
        if request_id in self.open:
            return decision
        budget.settle(expected, 0.0)
        repeats = self._app.state.repeat_budget(view.service)
        reason = Reason.NO_SERVER if may_take(repeats, now) else Reason.RETRY_BUDGET
        return Decision(reason, decision.remaining, decision.fresh)

    def _suspect(self, view: RunningRun, now: Seconds) -> None:
        """Take a slow run as evidence about its server, and check the others there."""
        mean = self.model.route(view.service, view.route, now).mean
        if mean <= 0:
            return
        self.model.suspect(view.server, view.age / mean, now)
        for exchange in self._app.exchanges.values():
            run = exchange.run
            if exchange.check is None or run is None or run.dispatch is None:
                continue
            if run.dispatch.server == view.server and run.age(now) < view.age:
                exchange.check.cancel()
                self._check_after(run, 0.0)

    def report(self, run: Run, event: Event) -> None:
        """Pass on an event of a run, as far as the run counts."""
        if isinstance(event, DispatchFinished):
            self._finish(run, event)
        elif isinstance(event, DispatchFailed | DispatchRefused):
            self._fail(run, event)
        elif isinstance(event, FirstTokenSeen | TokensSeen):
            if run.exchange.run is run:
                self._app.handle(event)
        else:
            self._app.handle(event)

    def _finish(self, run: Run, event: DispatchFinished) -> None:
        """Have the first complete answer count, and cancel the other run."""
        now, request_id = self._app.clock(), run.exchange.call.request_id
        dispatch = run.dispatch
        assert dispatch is not None
        if event.from_server:
            route = run.exchange.call.route.name
            self.model.observe(
                dispatch.service, route, dispatch.server, run.age(now), now
            )
            listed = self._app.state.deployment.servers
            if self.model.server_count > len(listed):
                self.model.retain(listed)
        self._settle(run, now)
        hedge = self.open.pop(request_id, None)
        if hedge is not None:
            if run is hedge.second:
                self._swap(hedge)
                self._app.handle(FirstTokenSeen(now=now, request_id=request_id))
            self._cancel_second(hedge, now)
            self._log(hedge, "second" if run.is_hedge else "first", now)
        self._stop_checks(run.exchange)
        self._app.handle(event)

    def _fail(self, run: Run, event: DispatchFailed | DispatchRefused) -> None:
        """Go on with the other run, if there is one; else the request has failed."""
        now, request_id = self._app.clock(), run.exchange.call.request_id
        refused = isinstance(event, DispatchRefused)
        by_server = isinstance(event, DispatchRefused) and event.by_server
        if by_server:
            assert run.dispatch is not None
            self._rejected_at[run.dispatch.service] = now
        self._settle(run, now)
        hedge = self.open.pop(request_id, None)
        if hedge is None:
            self._stop_checks(run.exchange)
            run.exchange.run = None
            self._app.handle(event)
            return
        if run is hedge.first:
            self._swap(hedge)
        ended = HedgeEnded(
            now=now,
            request_id=request_id,
            reached=not refused or by_server,
            refused=refused,
            failed=True,
        )
        if isinstance(event, DispatchFailed):
            ended = msgspec.structs.replace(
                ended, server_ended=event.server_ended, from_server=event.from_server
            )
        self._app.handle(ended)
        self._log(hedge, "first" if run.is_hedge else "second", now, end="failed")

    def _swap(self, hedge: Hedge) -> None:
        """Have the second run count as the request's run."""
        exchange = hedge.second.exchange
        hedge.first, hedge.second = hedge.second, hedge.first
        exchange.run, exchange.task = hedge.first, hedge.first.task
        request_id = exchange.call.request_id
        self._app.handle(RunsSwapped(now=self._app.clock(), request_id=request_id))

    def _cancel_second(self, hedge: Hedge, now: Seconds) -> None:
        """Cancel the run that doesn't count; its server may have run the request."""
        run = hedge.second
        assert run.dispatch is not None and run.task is not None
        run.dispatch.superseded = True
        run.task.cancel()
        run.exchange.unknown_dispatches += 1
        view = self._view(run, now)
        self.model.observe_longer(view.service, view.route, view.server, view.age, now)
        self._settle(run, now)
        request_id = run.exchange.call.request_id
        ended = HedgeEnded(now=now, request_id=request_id, cancelled=True)
        self._app.handle(ended)

    def _settle(self, run: Run, now: Seconds) -> None:
        """Count the work of a run that has ended."""
        assert run.dispatch is not None
        budget, work = self.budget(run.dispatch.service), run.age(now)
        if run.is_hedge:
            budget.settle(run.expected, work)
        else:
            budget.record_first(work, now)

    def _stop_checks(self, exchange: "RoutedExchange") -> None:
        if exchange.check is not None:
            exchange.check.cancel()
            exchange.check = None

    def abandon(self, exchange: "RoutedExchange") -> None:
        """Cancel the second run of a request that ends without an answer."""
        self._stop_checks(exchange)
        now = self._app.clock()
        hedge = self.open.get(exchange.call.request_id)
        if hedge is not None and hedge.first.exchange is exchange:
            self._cancel_second(hedge, now)
            del self.open[exchange.call.request_id]
            self._log(hedge, "none", now, end="cancelled")
        run = exchange.run
        if run is not None and run.dispatch is not None:
            view = self._view(run, now)
            self.model.observe_longer(
                view.service, view.route, view.server, view.age, now
            )
            self._settle(run, now)

    def make_room(self, service: PoolId) -> None:
        """Cancel second runs of a service while a first run waits for a slot."""
        state, now = self._app.state, self._app.clock()
        for request_id, hedge in list(self.open.items()):
            req = state.requests.get(request_id)
            coordinator = None if req is None else state.coordinators.get(req.shard)
            if coordinator is None or not coordinator.queue:
                continue
            if coordinator.pool.name == service and hedge.second.is_hedge:
                self._cancel_second(hedge, now)
                del self.open[request_id]
                self._log(hedge, "first", now, end="made_room")

    def _log(
        self, hedge: Hedge, winner: str, now: Seconds, *, end: str = "answered"
    ) -> None:
        """Log a second run at its end; `winner` is the run that counts from now on."""
        runs = sorted((hedge.first, hedge.second), key=lambda run: run.is_hedge)
        first, second = (run.dispatch for run in runs)
        assert first is not None and second is not None
        call = hedge.first.exchange.call
        self._app.telemetry.hedges.add(call.route.name, winner, end)
        _log.info(
            LogEvent.REQUEST_HEDGED,
            request_id=call.request_id,
            route=call.route.name,
            service=first.service,
            first=first.server,
            second=second.server,
            reason=hedge.decision.reason,
            age=round(hedge.age, 4),
            remaining=round(hedge.decision.remaining.mean, 4),
            remaining_error=round(hedge.decision.remaining.error, 4),
            fresh=round(hedge.decision.fresh.mean, 4),
            fresh_error=round(hedge.decision.fresh.error, 4),
            lasted=round(runs[1].age(now), 4),
            winner=winner,
            end=end,
        )
