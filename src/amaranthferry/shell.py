"""Take events through the reducer, and own the tasks that carry its effects out."""

import asyncio
from typing import Protocol

import structlog

from . import core
from .core import HostState
from .effects import Effect
from .events import Event

_log = structlog.get_logger(__name__)


class EffectPerformer(Protocol):
    """Carry effects out."""

    def perform(self, effect: Effect) -> None:
        """Carry out one effect; work that waits goes on in a task."""


class Shell:
    """Hold what every kind of entry host does with events and tasks."""

    _performer: EffectPerformer

    def __init__(self, state: HostState) -> None:
        self.state = state
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coro: "asyncio._CoroutineLike[None]") -> "asyncio.Task[None]":
        """Run a task that ends with this host."""
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("task.failed", exc_info=task.exception())

    async def _end_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def handle(self, event: Event) -> None:
        """Take an event through the reducer and carry its effects out."""
        for effect in core.reduce(self.state, event):
            self._performer.perform(effect)

    def soon(self, event: Event) -> None:
        """Take an event after the effects at hand have been carried out."""
        asyncio.get_running_loop().call_soon(self.handle, event)
