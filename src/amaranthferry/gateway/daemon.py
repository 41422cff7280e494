"""Run an entry host for routed requests as a process that drains on SIGTERM."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import structlog

from ..exceptions import SettingsError
from ..platform.settings import DEFAULT_PATH, SETTINGS_VARIABLE, HostSettings
from .application import Gateway
from .log_events import LogEvent
from .logs import set_up_logs
from .options import HostOptions

_log = structlog.get_logger(__name__)


class Daemon:
    """Run one gateway as a process and handle its signals."""

    def __init__(self, settings: HostSettings, options: HostOptions) -> None:
        self._settings = settings
        self._options = options
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until a stop signal arrives, then drain and stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._handle_stop)
        loop.add_signal_handler(signal.SIGINT, self._handle_stop)
        loop.add_signal_handler(signal.SIGHUP, self._handle_reload)
        app = Gateway.from_config(self._settings, self._options)
        try:
            await app.start()
            await self._stopping.wait()
            await app.drain()
        finally:
            await app.stop()

    def _handle_stop(self) -> None:
        _log.info(LogEvent.SIGNAL_STOP, repeated=self._stopping.is_set())
        self._stopping.set()

    def _handle_reload(self) -> None:
        # Addresses and bounds are only read at the start of the process.
        _log.info(LogEvent.SIGNAL_RELOAD, taken=False)


def main() -> None:
    """Read the settings and run the daemon."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    try:
        settings = HostSettings.from_file(path)
        options = HostOptions.from_arguments(sys.argv[1:])
    except SettingsError as exc:
        sys.stderr.write(f"{exc}\n")
        raise SystemExit(SettingsError.exit_code) from exc
    set_up_logs(settings.host)
    asyncio.run(Daemon(settings, options).run())
