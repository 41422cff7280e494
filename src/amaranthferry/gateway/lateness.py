"""Measure how late this host's ticks are, as a sign of too little processor time."""

import structlog

from ..types import Seconds
from .log_events import LogEvent

#: Lateness above which a tick is logged.
LATE_TICK: Seconds = 0.1
#: Minimum interval between two log lines about late ticks.
LOG_PERIOD: Seconds = 1.0
#: Time for which the greatest lateness is kept, at least; at most twice as long.
MAXIMUM_PERIOD: Seconds = 15.0
_log = structlog.get_logger(__name__)


class Lateness:
    """Track the lateness of ticks, and log late ones at a bounded rate."""

    def __init__(self, now: Seconds) -> None:
        self._period_began = now
        self._greatest: Seconds = 0.0
        self._previous: Seconds = 0.0
        self._logged_at: Seconds | None = None
        self._late_ticks = 0
        self._latest: Seconds = 0.0

    def record(self, late: Seconds, now: Seconds) -> None:
        """Record by how much one tick was late."""
        self._renew(now)
        self._greatest = max(self._greatest, late)
        if late >= LATE_TICK:
            self._late_ticks += 1
            self._latest = max(self._latest, late)
        if self._late_ticks and self._may_log(now):
            _log.info(
                LogEvent.HOST_LAGGING,
                late=round(self._latest, 3),
                ticks=self._late_ticks,
            )
            self._logged_at = now
            self._late_ticks, self._latest = 0, 0.0

    def greatest(self, now: Seconds) -> Seconds:
        """Return the greatest recent lateness."""
        self._renew(now)
        return max(self._greatest, self._previous)

    def _may_log(self, now: Seconds) -> bool:
        return self._logged_at is None or now - self._logged_at >= LOG_PERIOD

    def _renew(self, now: Seconds) -> None:
        elapsed = now - self._period_began
        if elapsed >= MAXIMUM_PERIOD:
            self._previous = self._greatest if elapsed < 2 * MAXIMUM_PERIOD else 0.0
            self._greatest = 0.0
            self._period_began = now
