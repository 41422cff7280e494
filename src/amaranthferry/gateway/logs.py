"""Write JSON log lines to standard output without blocking."""

import os
import sys
from collections import deque

import structlog
from structlog.typing import EventDict

from ..types import HostId
from .log_events import LogEvent

#: Lines and bytes buffered for a slow reader; further lines are dropped and counted. A
#: line may quote what a caller sent, up to the size of a head.
MAX_BUFFERED_LINES = 1_000
MAX_BUFFERED_BYTES = 1024 * 1024


class LineWriter:
    """Write lines to a descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Write one line, or buffer it while the reader is slow."""
        line = message.encode() + b"\n"
        is_full = len(self._buffer) >= MAX_BUFFERED_LINES
        if is_full or self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            if self.dropped:
                notice = (
                    f'{{"event": "{LogEvent.LOGS_DROPPED}", "lines": {self.dropped}}}\n'
                )
                self._append(notice.encode())
                self.dropped = 0
            self._append(line)
        self._flush()

    def _append(self, line: bytes) -> None:
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    log = debug = info = warning = warn = error = critical = exception = fatal = msg

    def _flush(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                # The pipe is full or closed; a logging failure must not stop the host.
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


def set_up_logs(host: HostId) -> None:
    """Configure JSON log lines on standard output, each with the host's name."""

    def add_host(logger: object, method: str, fields: EventDict) -> EventDict:
        fields["host"] = host
        return fields

    writer = LineWriter(sys.stdout.fileno())
    structlog.configure(
        processors=[
            add_host,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.BoundLogger,
        logger_factory=lambda *args: writer,
        cache_logger_on_first_use=True,
    )
