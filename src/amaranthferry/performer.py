"""Perform the reducer's effects."""

from functools import singledispatch
from typing import TYPE_CHECKING

import structlog

from .claims import ClaimResult, ClaimStatus
from .effects import (
    CancelDispatch,
    CloseClaim,
    CountMetric,
    Dispatch,
    Effect,
    MakeClaim,
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
from .events import ClaimSettled, DispatchRefused, Event, PeerLost
from .exchange import Exchange, StoredAnswer
from .problems import Problem
from .types import Outcome, RefusalReason, RequestId, SubjectKind

if TYPE_CHECKING:
    from .application import Application

_log = structlog.get_logger()


class Performer:
    """Perform the effects of one application."""

    def __init__(self, app: "Application") -> None:
        self.app = app
        self.stored_answers: dict[RequestId, StoredAnswer] = {}

    def perform(self, effect: Effect) -> None:
        """Perform one effect without blocking; run longer work in a task."""
        _perform(effect, self)

    def exchange(self, request_id: RequestId) -> Exchange | None:
        """Return a request's exchange, or None if it is closed."""
        return self.app.exchanges.get(request_id)

    def close(self, exchange: Exchange) -> None:
        """Remove an exchange whose answer has been delivered."""
        self.app.exchanges.pop(exchange.call.request_id, None)
        self.app.finish_drain_if_idle()


@singledispatch
def _perform(effect: Effect, performer: Performer) -> None:
    raise TypeError(f"No handler for the effect {type(effect).__name__}.")


@_perform.register
def _(effect: ReportSignal, performer: Performer) -> None:
    _log.info("server signal", signal=effect.signal, server=effect.incarnation.server)


@_perform.register
def _(effect: ReportSubject, performer: Performer) -> None:
    change = effect.change
    _log.info(
        "prompt part" if change.subject.kind is SubjectKind.PART else "harmful request",
        state=change.state,
        part=f"{change.subject.hash:x}",
        pool=change.subject.pool,
        ends=change.ends,
    )


@_perform.register
def _(effect: ReportReturn, performer: Performer) -> None:
    _log.info("grant returned", server=effect.server, reason=effect.reason)


@_perform.register
def _(effect: ReportBackoff, performer: Performer) -> None:
    _log.info("server backed off", server=effect.server, duration=effect.duration)


@_perform.register
def _(effect: ReportForecast, performer: Performer) -> None:
    _log.info(
        "refused on a forecast",
        request_id=effect.request_id,
        expected=effect.expected,
        least=effect.least,
        left=effect.left,
    )


@_perform.register
def _(effect: ReportUnlistedPermit, performer: Performer) -> None:
    _log.info(
        "unlisted permit",
        request_id=effect.request_id,
        server=effect.server,
        host=effect.host,
        age=effect.age,
    )


@_perform.register
def _(effect: ReportFallbackStart, performer: Performer) -> None:
    _log.info(
        "fallback started",
        shard=effect.shard,
        coordinator=effect.coordinator,
        cause=effect.cause,
    )


@_perform.register
def _(effect: ReportFallbackEnd, performer: Performer) -> None:
    _log.info("fallback ended", shard=effect.shard, lasted=effect.lasted)


@_perform.register(ReportHold)
@_perform.register(ReportTrial)
def _(effect: ReportHold | ReportTrial, performer: Performer) -> None:
    hold = effect.hold
    _log.info(
        "prompt held" if isinstance(effect, ReportHold) else "prompt tried",
        request=effect.request_id,
        part=f"{hold.subject.hash:x}",
        ends=hold.ends,
        age=round(hold.age, 3),
    )


@_perform.register
def _(effect: CountMetric, performer: Performer) -> None:
    performer.app.metrics.count(effect.name, effect.value)


@_perform.register
def _(effect: ObserveMetric, performer: Performer) -> None:
    performer.app.metrics.observe(effect.name, effect.value)


@_perform.register
def _(effect: SendToHost, performer: Performer) -> None:
    app = performer.app
    if not app.peers.send(effect.host, effect.message):
        app.handle_later(PeerLost(now=app.clock(), host=effect.host))


@_perform.register
def _(effect: Dispatch, performer: Performer) -> None:
    app = performer.app
    exchange = performer.exchange(effect.request_id)
    server = app.state.deployment.servers.get(effect.server)
    req = app.state.requests.get(effect.request_id)
    expired = (
        req is not None
        and req.claim_held
        and not app.claims.may_dispatch(effect.request_id)
    )
    if exchange is None or server is None or expired:
        refused = DispatchRefused(now=app.clock(), request_id=effect.request_id)
        app.handle_later(refused)
        return

    async def run() -> None:
        await app.backend.dispatch(exchange, server, app.handle)

    _log.info("request.dispatched", request_id=effect.request_id, server=server.name)
    exchange.server = server
    exchange.task = app.spawn(run())
    exchange.task.add_done_callback(lambda _: performer.close(exchange))


@_perform.register
def _(effect: CancelDispatch, performer: Performer) -> None:
    exchange = performer.exchange(effect.request_id)
    if exchange is None or exchange.server is None:
        return
    performer.app.spawn(performer.app.backend.cancel(exchange, exchange.server))


@_perform.register
def _(effect: SettleRequest, performer: Performer) -> None:
    exchange = performer.exchange(effect.request_id)
    if exchange is None:
        return
    problem = _problem(effect)
    _log.info(
        "request.settled",
        request_id=effect.request_id,
        outcome=effect.outcome,
        reason=effect.reason,
    )
    performer.app.spawn(_settle(performer, exchange, problem))


def _problem(effect: SettleRequest) -> Problem:
    if effect.outcome is Outcome.UNKNOWN:
        return Problem.from_unknown(effect.reason)
    reason = effect.reason or RefusalReason.NO_SERVER
    return Problem.from_refusal(reason, effect.retry_after)


async def _settle(performer: Performer, exchange: Exchange, problem: Problem) -> None:
    await exchange.settle(problem)
    performer.close(exchange)


@_perform.register
def _(effect: MakeClaim, performer: Performer) -> None:
    performer.app.spawn(_claim(effect, performer))


async def _claim(effect: MakeClaim, performer: Performer) -> None:
    app = performer.app
    result = await app.claims.claim(
        effect.request_id,
        effect.workspace,
        effect.key,
        effect.body_digest,
        timeout=effect.timeout,
        rule=effect.rule,
    )
    if result.answer is not None:
        performer.stored_answers[effect.request_id] = result.answer
    _log.info("claim.settled", request_id=effect.request_id, status=result.status.value)
    app.handle(_claim_event(effect.request_id, result, performer))
    performer.stored_answers.pop(effect.request_id, None)


def _claim_event(
    request_id: RequestId, result: ClaimResult, performer: Performer
) -> Event:
    unknown = result.status is ClaimStatus.UNKNOWN
    return ClaimSettled(
        now=performer.app.clock(),
        request_id=request_id,
        held=result.status is ClaimStatus.HELD,
        outcome=Outcome.UNKNOWN if unknown else Outcome.NOT_RUN,
        answer_stored=result.status is ClaimStatus.ALREADY_DONE,
        conflict=result.status is ClaimStatus.CONFLICT,
        retry_after=result.retry_after,
    )


@_perform.register
def _(effect: CloseClaim, performer: Performer) -> None:
    exchange = performer.exchange(effect.request_id)
    answer = exchange.stored_answer() if exchange is not None else None
    if effect.outcome is not Outcome.DONE:
        answer = None
    closing = performer.app.claims.close(effect.request_id, effect.outcome, answer)
    performer.app.spawn(closing)


@_perform.register
def _(effect: ReplayAnswer, performer: Performer) -> None:
    exchange = performer.exchange(effect.request_id)
    answer = performer.stored_answers.pop(effect.request_id, None)
    if exchange is None or answer is None:
        return
    performer.app.spawn(_replay(performer, exchange, answer))


async def _replay(
    performer: Performer, exchange: Exchange, answer: StoredAnswer
) -> None:
    await exchange.replay(answer)
    performer.close(exchange)
