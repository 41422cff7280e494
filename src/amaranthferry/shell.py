"""Pass events to the reducer and run the tasks that perform its effects."""

import asyncio
from typing import Protocol

import structlog

from . import core
from .core import HostState
from .effects import Effect
from .events import Event

_log = structlog.get_logger(__name__)


class EffectPerformer(Protocol):
    """Perform the effects that the reducer returns."""

    def perform(self, effect: Effect) -> None:
        """Perform one effect without blocking; run longer work in a task."""


class Shell:
    """Define the base of entry hosts, which handles events and owns their tasks."""

    _performer: EffectPerformer

    def __init__(self, state: HostState) -> None:
        self.state = state
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coro: "asyncio._CoroutineLike[None]") -> "asyncio.Task[None]":
        """Start a task that is cancelled when this host stops."""
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("task.failed", exc_info=task.exception())

    async def _cancel_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def handle(self, event: Event) -> None:
        """Pass an event to the reducer and perform its effects."""
        for effect in core.reduce(self.state, event):
            self._performer.perform(effect)

    def handle_later(self, event: Event) -> None:
        """Handle an event once the current effects have been performed."""
        asyncio.get_running_loop().call_soon(self.handle, event)
