"""Measure the memory of the process, and log when it nears its limit."""

import mmap
import resource
from collections.abc import Callable
from pathlib import Path

import structlog

from .log_events import LogEvent

STATM = Path("/proc/self/statm")
#: Parts of the limit at which a line is logged, and at which another one may follow.
HIGH_SHARE = 0.6
NORMAL_SHARE = 0.5
_log = structlog.get_logger(__name__)


def read_process_memory(statm: Path = STATM) -> int | None:
    """Return the bytes of the process's own memory, or None if the system hides them."""
    try:
        resident, shared = statm.read_text("ascii").split()[1:3]
        return (int(resident) - int(shared)) * mmap.PAGESIZE
    except (OSError, ValueError):
        return None


def process_descriptors() -> int:
    """Return how many descriptors the process may open, or 0 without a limit."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if soft == resource.RLIM_INFINITY else soft


class Footprint:
    """Log once each time the memory of the process rises above a part of its limit."""

    def __init__(
        self, limit: int, *, measure: Callable[[], int | None] = read_process_memory
    ) -> None:
        self._limit = limit
        self._measure = measure
        self._is_high = False

    def check(self, held: Callable[[], dict[str, int]]) -> None:
        """Compare the memory with its limit; the line also says what the host holds."""
        used = self._measure() if self._limit else None
        if used is None:
            return
        if self._is_high:
            self._is_high = used >= self._limit * NORMAL_SHARE
        elif used >= self._limit * HIGH_SHARE:
            self._is_high = True
            _log.warning(
                LogEvent.MEMORY_HIGH, process=used, limit=self._limit, **held()
            )
