"""Perform the reducer's effects for routed requests."""

import asyncio
from functools import singledispatch
from typing import TYPE_CHECKING

import structlog

from ..config import BackendServer, MoveRules
from ..effects import (
    CancelDispatch,
    CloseClaim,
    CountMetric,
    Dispatch,
    Effect,
    HedgeDispatch,
    MakeClaim,
    MoveRun,
    ObserveMetric,
    ReplayAnswer,
    ReportBackoff,
    ReportFallbackEnd,
    ReportFallbackStart,
    ReportForecast,
    ReportHold,
    ReportReturn,
    ReportSignal,
    ReportSubject,
    ReportTrial,
    ReportUnlistedPermit,
    SendToHost,
    SettleRequest,
)
from ..events import (
    DeadlinePassed,
    DispatchFailed,
    DispatchRefused,
    MoveEnded,
    PeerLost,
    PeerReceived,
)
from ..leaving import incarnation_of
from ..messages import ServerIncarnation
from ..problems import Problem
from ..relocation.messages import MoveOutcome
from ..requests import Request
from ..state import HostState
from ..types import Decider, Outcome, RefusalReason
from . import dispatching
from .decisions import (
    BackoffLog,
    UnlistedPermitLog,
    UnreadableLimitLog,
    log_answer,
    log_decision,
    log_fallback_end,
    log_fallback_start,
    log_forecast,
    log_hold,
    log_part,
    log_return,
    log_signal,
    log_trial,
    rounded,
)
from .exchange import RoutedExchange
from .log_events import LogEvent
from .moving import MoveTarget

if TYPE_CHECKING:
    from .application import Gateway

_log = structlog.get_logger(__name__)


class Performer:
    """Perform the effects of one gateway."""

    def __init__(self, app: "Gateway") -> None:
        self.app = app
        self.backoffs = BackoffLog()
        self.unlisted_permits = UnlistedPermitLog()
        self.unreadable_limits = UnreadableLimitLog()

    def perform(self, effect: Effect) -> None:
        """Perform one effect; asynchronous work continues in a task."""
        _perform(effect, self)

    def expire(self, exchange: RoutedExchange) -> None:
        """End a request at its deadline; what was sent may have been executed."""
        app = self.app
        request_id = exchange.call.request_id
        req = app.state.requests.get(request_id)
        if req is None:
            return
        exchange.timed_out = True
        if not req.is_running:
            app.handle(DeadlinePassed(now=app.clock(), request_id=request_id))
            return
        self._end_dispatch(exchange, timed_out=True)

    def end_for_stop(self, exchange: RoutedExchange) -> None:
        """End a running request as this host stops; what was sent may have run."""
        self._end_dispatch(exchange, host_stops=True)

    def _end_dispatch(
        self,
        exchange: RoutedExchange,
        *,
        timed_out: bool = False,
        host_stops: bool = False,
    ) -> None:
        _cancel_runs(self.app, exchange)
        ended = DispatchFailed if exchange.request_sent else DispatchRefused
        self.app.handle(
            ended(
                now=self.app.clock(),
                request_id=exchange.call.request_id,
                timed_out=timed_out,
                host_stops=host_stops,
            )
        )


@singledispatch
def _perform(effect: Effect, performer: Performer) -> None:
    raise TypeError(f"Unsupported effect: {type(effect).__name__}.")


@_perform.register
def _(effect: CountMetric, performer: Performer) -> None:
    performer.app.telemetry.decisions.add(effect.name, value=effect.value)


@_perform.register
def _(effect: ObserveMetric, performer: Performer) -> None:
    """Ignore the sample; the gateway records its own by route."""


@_perform.register
def _(effect: ReportSignal, performer: Performer) -> None:
    log_signal(effect)


@_perform.register
def _(effect: ReportSubject, performer: Performer) -> None:
    log_part(effect, performer.app.settings.host)


@_perform.register
def _(effect: ReportHold, performer: Performer) -> None:
    log_hold(effect)


@_perform.register
def _(effect: ReportTrial, performer: Performer) -> None:
    log_trial(effect)


@_perform.register
def _(effect: ReportReturn, performer: Performer) -> None:
    log_return(effect)


@_perform.register
def _(effect: ReportBackoff, performer: Performer) -> None:
    performer.backoffs.record(effect, performer.app.clock())


@_perform.register
def _(effect: ReportForecast, performer: Performer) -> None:
    log_forecast(effect)


@_perform.register
def _(effect: ReportUnlistedPermit, performer: Performer) -> None:
    performer.unlisted_permits.record(effect, performer.app.clock())


@_perform.register
def _(effect: ReportFallbackStart, performer: Performer) -> None:
    log_fallback_start(effect)


@_perform.register
def _(effect: ReportFallbackEnd, performer: Performer) -> None:
    log_fallback_end(effect)


@_perform.register(MakeClaim)
@_perform.register(CloseClaim)
@_perform.register(ReplayAnswer)
def _(effect: Effect, performer: Performer) -> None:
    raise TypeError(f"Routed requests make no claims: {type(effect).__name__}.")


@_perform.register
def _(effect: SendToHost, performer: Performer) -> None:
    app = performer.app
    log_decision(effect.message, app.state, effect.host)
    if effect.host == app.settings.host:
        app.handle_later(
            PeerReceived(now=app.clock(), sender=effect.host, message=effect.message)
        )
    elif app.peers is None or not app.peers.send(effect.host, effect.message):
        app.handle_later(PeerLost(now=app.clock(), host=effect.host))


@_perform.register
def _(effect: Dispatch, performer: Performer) -> None:
    app = performer.app
    exchange = app.exchanges.get(effect.request_id)
    req = app.state.requests.get(effect.request_id)
    server = app.state.deployment.servers.get(effect.server)
    incarnation = incarnation_of(app.state.deployment, effect.server)
    if exchange is None or req is None or server is None or incarnation is None:
        refused = DispatchRefused(now=app.clock(), request_id=effect.request_id)
        app.handle_later(refused)
        return
    exchange.dispatches += 1
    exchange.request_sent = False
    decided_by = _decider(app.state, req)
    waited = app.clock() - exchange.call.arrived
    app.telemetry.wait.observe(waited, exchange.call.route.name)
    _log.info(
        LogEvent.REQUEST_DISPATCHED,
        request_id=effect.request_id,
        route=exchange.call.route.name,
        workspace=exchange.call.workspace,
        server=server.name,
        run=exchange.dispatches,
        waited=round(waited, 4),
        decided_by=decided_by,
        version=exchange.call.version,
        state_age=rounded(exchange.call.state_age),
    )
    hedger = app.hedger
    run = hedger.new_run(exchange) if hedger and hedger.watches(req) else None
    report = run.report if run else app.handle
    dispatch, exchange.task = _send(
        performer, exchange, server, incarnation, decided_by, report
    )
    if hedger and run:
        hedger.begin(run, dispatch, exchange.task)


@_perform.register
def _(effect: HedgeDispatch, performer: Performer) -> None:
    app = performer.app
    exchange = app.exchanges[effect.request_id]
    server = app.state.deployment.servers[effect.server]
    incarnation = incarnation_of(app.state.deployment, effect.server)
    assert app.hedger is not None and incarnation is not None
    exchange.dispatches += 1
    run = app.hedger.new_run(exchange, is_hedge=True)
    dispatch, task = _send(
        performer, exchange, server, incarnation, Decider.LOCAL, run.report
    )
    app.hedger.begin(run, dispatch, task)


def _send(
    performer: Performer,
    exchange: RoutedExchange,
    server: BackendServer,
    incarnation: ServerIncarnation,
    decided_by: Decider,
    report: dispatching.Report,
) -> tuple[dispatching.Dispatch, "asyncio.Task[None]"]:
    """Start a dispatch of an exchange, which reports how it ends."""
    app = performer.app
    request_id = exchange.call.request_id
    if app.rollouts is not None:
        report = app.rollouts.watch(
            server.pool,
            request_id,
            exchange.call.route.name,
            server.name,
            streaming=exchange.call.streaming,
            report=report,
        )
    dispatch = dispatching.Dispatch(
        exchange,
        server,
        report,
        incarnation=incarnation,
        decided_by=decided_by,
        clock=app.clock,
        can_rerun=lambda: app.can_rerun(request_id),
        times=app.answer_times,
        is_limited=lambda: app.state.server_rates.is_limited(incarnation),
        answers=app.answers,
        connections=app.connections,
        kept_connections=app.state.deployment.rules_of(server.pool).kept_connections,
        moves=_moves(app.state, server) is not None,
        spawn=app.spawn,
    )
    exchange.dispatch = dispatch
    task = app.spawn(dispatch.run())
    task.add_done_callback(
        lambda task: _finish_dispatch(performer, exchange, dispatch, task, report)
    )
    return dispatch, task


def _cancel_runs(app: "Gateway", exchange: RoutedExchange) -> None:
    """Cancel all runs of a request that ends without an answer."""
    if app.hedger is not None:
        app.hedger.abandon(exchange)
    if exchange.task is not None:
        exchange.task.cancel()


def _moves(state: HostState, server: BackendServer) -> MoveRules | None:
    return state.deployment.rules_of(server.pool).moves


@_perform.register
def _(effect: MoveRun, performer: Performer) -> None:
    app = performer.app
    exchange = app.exchanges.get(effect.request_id)
    server = app.state.deployment.servers.get(effect.server)
    incarnation = incarnation_of(app.state.deployment, effect.server)
    rules = None if server is None else _moves(app.state, server)
    ready = exchange is not None and exchange.dispatch is not None and not app.stopping
    if server is None or incarnation is None or rules is None or not ready:
        ended = MoveEnded(
            now=app.clock(),
            request_id=effect.request_id,
            outcome=MoveOutcome.DECLINED,
        )
        app.handle_later(ended)
        return
    assert exchange is not None and exchange.dispatch is not None
    target = MoveTarget(server, incarnation, rules, effect.patience)
    exchange.dispatch.move_to(target)


def _decider(state: HostState, req: Request) -> Decider:
    """Return who granted the permit that a request is dispatched with."""
    if state.is_decided_locally(req.shard):
        return Decider.LOCAL
    if req.permit_host == state.host and req.shard in state.fallbacks:
        return Decider.FALLBACK
    if req.permit_host == state.stand_ins.get(req.shard):
        return Decider.STAND_IN
    return Decider.COORDINATOR


def _finish_dispatch(
    performer: Performer,
    exchange: RoutedExchange,
    dispatch: dispatching.Dispatch,
    task: "asyncio.Task[None]",
    report: dispatching.Report,
) -> None:
    """Count the dispatch; close the exchange unless it has been dispatched again."""
    app = performer.app
    request_id = exchange.call.request_id
    if exchange.dispatch is dispatch:
        # A cycle would keep the request's body until the next garbage collection.
        exchange.dispatch = None
    failed = not task.cancelled() and task.exception() is not None
    if failed and not exchange.request_sent:
        report(DispatchRefused(now=app.clock(), request_id=request_id))
    elif failed:
        # The request may have run, and nothing else would end it before its deadline.
        exchange.unknown_dispatches += 1
        report(DispatchFailed(now=app.clock(), request_id=request_id))
    if app.rollouts is not None:
        app.rollouts.close(
            dispatch.service,
            request_id,
            dispatch.server,
            timed_out=task.cancelled() and exchange.timed_out,
        )
    route = exchange.call.route.name
    app.telemetry.dispatches.add(route, dispatch.end, dispatch.framing or "")
    if dispatch.rejected:
        app.telemetry.rejections.add(dispatch.service, dispatch.decided_by)
    _record_limit(performer, dispatch)
    if dispatch.process is not None:
        app.telemetry.broken.add(route, dispatch.process)
    if dispatch.superseded:
        return
    if request_id in app.state.requests or (
        app.exchanges.get(request_id) is not exchange
    ):
        return
    log_answer(exchange, dispatch, app.clock())
    _record_answer(app, exchange)
    app.close(exchange)


def _record_limit(performer: Performer, dispatch: dispatching.Dispatch) -> None:
    """Count what an answer named as its server's limit."""
    app, server = performer.app, dispatch.server
    if dispatch.limit.rate is not None:
        app.telemetry.named_limits.add(server, "limit")
    if dispatch.limit.unreadable is not None:
        app.telemetry.named_limits.add(server, "unreadable")
        value = dispatch.limit.unreadable
        performer.unreadable_limits.record(server, value, app.clock())


def _record_answer(app: "Gateway", exchange: RoutedExchange) -> None:
    call = exchange.call
    route = call.route.name
    app.telemetry.requests.add(route, Outcome.DONE, "")
    app.telemetry.answer.observe(app.clock() - call.arrived, route)
    if exchange.first_byte is not None:
        app.telemetry.first_byte.observe(exchange.first_byte - call.arrived, route)


@_perform.register
def _(effect: CancelDispatch, performer: Performer) -> None:
    app = performer.app
    exchange = app.exchanges.get(effect.request_id)
    if exchange is None:
        return
    _cancel_runs(app, exchange)
    app.handle_later(DispatchFailed(now=app.clock(), request_id=effect.request_id))


@_perform.register
def _(effect: SettleRequest, performer: Performer) -> None:
    app = performer.app
    exchange = app.exchanges.get(effect.request_id)
    if exchange is None:
        return
    problem = _problem(effect, exchange)
    exchange.retry_after = _retry_after(effect, problem)
    _log.info(
        LogEvent.REQUEST_SETTLED,
        request_id=effect.request_id,
        route=exchange.call.route.name,
        workspace=exchange.call.workspace,
        outcome=effect.outcome,
        reason=effect.reason,
        retry_after=exchange.retry_after,
        runs=exchange.dispatches,
        caller_gone=exchange.caller_disconnected,
        age=round(app.clock() - exchange.call.arrived, 4),
    )
    app.telemetry.requests.add(
        exchange.call.route.name, effect.outcome, effect.reason or ""
    )
    exchange.settle(problem)
    app.close(exchange)


def _problem(effect: SettleRequest, exchange: RoutedExchange) -> Problem:
    if effect.outcome is Outcome.UNKNOWN or exchange.unknown_dispatches:
        return Problem.from_unknown(timed_out=exchange.timed_out)
    reason = effect.reason or RefusalReason.SERVER_REFUSED
    return Problem.from_refusal(reason, effect.retry_after)


def _retry_after(effect: SettleRequest, problem: Problem) -> float | None:
    if problem.outcome is Outcome.NOT_RUN and effect.retry_after > 0:
        return effect.retry_after
    return None
