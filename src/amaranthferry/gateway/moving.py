"""Carry out one move of a running request: the calls to its source, and the report."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
import structlog

from ..config import BackendServer, MoveRules
from ..events import Event, MoveEnded
from ..http_connection import BrokenAnswer, HttpConnection
from ..messages import ServerIncarnation
from ..platform import headers
from ..relocation.handover import STOPPED_STEPS, Handover, Reply, Step
from ..relocation.messages import MoveOutcome
from ..types import RequestId, Seconds
from .log_events import LogEvent

#: A connection to an engine that is not opened in this time is not waited for.
CONNECT_TIMEOUT: Seconds = 0.3
#: Fraction of a handle's lifetime that the target has to begin; the rest is for the
#: source, which would go on with the same handle.
TARGET_FRACTION = 0.5
_REPLIES = {
    200: Reply.COPIED,
    404: Reply.NOT_FOUND,
    409: Reply.BUSY,
    503: Reply.NO_ROOM,
}
_OUTCOMES = {
    Step.STAYED: MoveOutcome.STAYED,
    Step.RETURNED: MoveOutcome.RETURNED,
    Step.BROKEN: MoveOutcome.BROKEN,
}
_log = structlog.get_logger(__name__)

Spawn = Callable[[Coroutine[Any, Any, None]], "asyncio.Task[None]"]


def _ignore() -> None:
    """Do nothing once a move is over."""


class MoveTarget(msgspec.Struct, frozen=True):
    """Describe where a run is to go on, by which rules, and until when to copy it."""

    server: BackendServer
    incarnation: ServerIncarnation
    rules: MoveRules
    patience: Seconds


class Move:
    """Have the source of a run copy and then stop it.

    Whoever reads the run's stream asks `stopped` once the stream has ended, and goes on
    with the run itself.
    """

    def __init__(
        self,
        source: BackendServer,
        target: MoveTarget,
        *,
        request_id: RequestId,
        attempt: str,
        report: Callable[[Event], None],
        clock: Callable[[], Seconds],
        spawn: Spawn,
        on_stopped: Callable[[], None],
    ) -> None:
        self.source = source
        self.target = target
        self._request_id = request_id
        self._attempt = attempt
        self._report = report
        self._clock = clock
        self._spawn = spawn
        self._on_stopped = on_stopped
        self._handover = Handover()
        self._settled = asyncio.Event()
        #: Whether a stop may have been carried out that nobody has confirmed.
        self.is_stop_in_doubt = False
        self._stream_ended = False
        self._reply: Reply | None = None
        self._began = clock()
        self._stopped_at: Seconds | None = None
        self._copied_at: Seconds | None = None
        self._is_over = False
        spawn(self._run())

    @property
    def is_over(self) -> bool:
        """Return whether the run has moved or its move has failed."""
        return self._is_over

    @property
    def is_broken(self) -> bool:
        """Return whether the run has stopped, and goes on nowhere."""
        return self._handover.step is Step.BROKEN

    @property
    def copy(self) -> str:
        """Return the address of the copy, for the engine that goes on with the run."""
        return f"{self.source.address}/{self._handover.handle}"

    @property
    def start_timeout(self) -> Seconds:
        """Return how long the engine that goes on has to begin."""
        lifetime = self.target.rules.handle_lifetime
        at_target = self._handover.step is Step.RESUME_AT_TARGET
        return lifetime * (TARGET_FRACTION if at_target else 1 - TARGET_FRACTION)

    async def _run(self) -> None:
        """Call the source until the run has stopped, or stays there."""
        timeout = self.target.patience
        while self._handover.is_calling:
            reply, handle = await self._call(timeout)
            if self._is_over:
                # The request has ended meanwhile, so nobody needs the copy.
                self._free(handle)
                return
            self._reply = reply
            if reply is Reply.SILENT and self._handover.step is not Step.COPY:
                self.is_stop_in_doubt = True
            step = self._handover.handle_reply(
                reply, handle, stream_ended=self._stream_ended
            )
            if step is Step.STOP:
                self._copied_at = self._clock()
            timeout = self.target.rules.handle_lifetime
        if self._handover.is_final:
            self._end()
        else:
            self.is_stop_in_doubt = False
            self._stopped_at = self._clock()
            self._on_stopped()
        self._settled.set()

    async def _call(self, timeout: Seconds) -> tuple[Reply, str]:
        call = headers.MoveCall(
            id=self._attempt,
            to=self.target.server.address,
            last=self._handover.step is not Step.COPY,
        )
        body = msgspec.json.encode(call)
        try:
            status, answer = await self._ask("POST", headers.MOVE_TARGET, body, timeout)
        except (BrokenAnswer, OSError, TimeoutError):
            return Reply.SILENT, ""
        try:
            handle = msgspec.json.decode(answer, type=headers.MoveReply).kv_handle
        except (msgspec.DecodeError, UnicodeDecodeError):
            handle = ""
        return _REPLIES.get(status, Reply.SILENT), handle

    async def _ask(
        self, method: str, target: str, body: bytes, timeout: Seconds
    ) -> tuple[int, bytes]:
        conn = await HttpConnection.open(self.source.address, timeout=CONNECT_TIMEOUT)
        fields = [
            ("host", self.source.address),
            ("content-type", "application/json"),
            (headers.EXPECT_INSTANCE, self.source.name),
        ]
        try:
            async with asyncio.timeout(timeout):
                conn.send(method, target, fields, body)
                start = await conn.start()
                return start.status, bytes(await conn.body())
        finally:
            conn.abort()

    async def stopped(self) -> bool:
        """Return whether the source has stopped the run whose stream has ended."""
        self._stream_ended = True
        if self._handover.may_have_stopped and not self._is_over:
            await self._settled.wait()
        return not self._is_over and self._handover.step in STOPPED_STEPS

    def next_server(self) -> tuple[BackendServer, ServerIncarnation | None]:
        """Return the engine that is to go on with the run."""
        if self._handover.step is Step.RESUME_AT_TARGET:
            return self.target.server, self.target.incarnation
        return self.source, None

    def handle_resumption(self, *, accepted: bool) -> bool:
        """Record whether an engine goes on; return whether to ask another one."""
        step = self._handover.handle_resumption(accepted=accepted)
        if step is Step.RESUME_AT_SOURCE:
            return True
        if not self._is_over:
            self._end()
        return False

    def abandon(self) -> None:
        """End the move, as the request has ended, and free its copy."""
        if self._is_over:
            return
        self._free(self._handover.abandon())
        self._end()
        self._settled.set()

    def _end(self) -> None:
        """Report the end of a move; its dispatch reports a run that has moved."""
        self._is_over = True
        # The callback leads back to the dispatch, whose request would be kept by a cycle.
        self._on_stopped = _ignore
        self._free(self._handover.take_handle())
        step = self._handover.step
        now = self._clock()
        _log.info(
            LogEvent.MOVE_ENDED,
            request_id=self._request_id,
            source=self.source.name,
            server=self.target.server.name,
            outcome=step.value,
            reply=None if self._reply is None else self._reply.value,
            copied_for=round((self._copied_at or now) - self._began, 4),
            paused_for=(
                None if self._stopped_at is None else round(now - self._stopped_at, 4)
            ),
        )
        if step in _OUTCOMES:
            ended = MoveEnded(
                now=now, request_id=self._request_id, outcome=_OUTCOMES[step]
            )
            self._report(ended)

    def _free(self, handle: str) -> None:
        """Have the source free a copy; one that isn't freed expires there."""
        if handle:
            self._spawn(self._delete(handle))

    async def _delete(self, handle: str) -> None:
        target = headers.HANDLE_TARGET.format(handle)
        timeout = self.target.rules.handle_lifetime
        try:
            await self._ask("DELETE", target, b"", timeout)
        except (BrokenAnswer, OSError, TimeoutError) as exc:
            _log.info(
                LogEvent.COPY_NOT_FREED,
                request_id=self._request_id,
                source=self.source.name,
                problem=str(exc) or "timeout",
            )
