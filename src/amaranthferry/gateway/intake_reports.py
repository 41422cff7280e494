"""Count and log what is refused and ended beyond the limits of connections."""

from collections.abc import Callable

import structlog

from ..intake.reports import LineLimit
from ..intake.state import Cause, Holding, Port
from ..types import Seconds
from .log_events import LogEvent
from .telemetry import Telemetry

_log = structlog.get_logger(__name__)


class IntakeReports:
    """Count by cause, with at most one log line a second for each."""

    def __init__(self, telemetry: Telemetry, clock: Callable[[], Seconds]) -> None:
        self._telemetry = telemetry
        self._clock = clock
        self._lines = LineLimit()

    def record_ended(self, holding: Holding, cause: Cause) -> None:
        """Record a connection that had to end."""
        port = holding.port.value
        self._telemetry.ended_connections.add(port, cause.value)
        skipped = self._lines.admit((port, cause.value), self._clock())
        if skipped is not None:
            _log.warning(
                LogEvent.CONNECTION_ENDED,
                port=port,
                cause=cause.value,
                size=holding.size,
                stage=holding.stage.name.lower(),
                skipped=skipped,
            )

    def record_refused(self, port: Port, status: int, problem: str) -> None:
        """Record a message that is no request within the limits."""
        self._telemetry.malformed_requests.add(port.value, str(status))
        skipped = self._lines.admit((port.value, str(status)), self._clock())
        if skipped is not None:
            _log.info(
                LogEvent.REQUEST_MALFORMED,
                status=status,
                problem=problem,
                port=port.value,
                skipped=skipped,
            )
