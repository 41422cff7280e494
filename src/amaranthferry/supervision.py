"""Keep the periodic work of a host running after unexpected errors."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from .types import Seconds

#: Pause before work that has failed is started again.
RESTART_PAUSE: Seconds = 0.2
_log = structlog.get_logger(__name__)


async def keep_running(run: Callable[[], Awaitable[None]]) -> None:
    """Run until the work ends; start it again after an unexpected error.

    Without it, one error would end the work for good while the process goes on.
    """
    while True:
        try:
            await run()
        except Exception:
            name = getattr(run, "__qualname__", type(run).__name__)
            _log.exception("task.restarted", task=name)
        else:
            return
        await asyncio.sleep(RESTART_PAUSE)
