"""Run one entry host as a daemon; SIGTERM requests a planned stop."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

import structlog
import typer
from returns.pipeline import is_successful

from .application import Application
from .config import HostConfig
from .exceptions import SettingsError
from .hostfile import read_host_config
from .logs import set_up_logs
from .objects import HttpObjectStore

SIGNALS = (signal.SIGTERM, signal.SIGINT)
_log = structlog.get_logger()


class Daemon:
    """Run the application and handle the signals of one process."""

    def __init__(self, cfg: HostConfig) -> None:
        self._cfg = cfg
        self._stopping = asyncio.Event()
        self._app: Application | None = None

    async def run(self) -> None:
        """Serve until a signal requests a planned stop, then finish open requests."""
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.add_signal_handler(number, self._handle_signal, number)
        store = HttpObjectStore(self._cfg.platform_url)
        await store.start()
        self._app = Application.from_config(self._cfg, store)
        try:
            await self._app.start()
            await self._stopping.wait()
            await self._app.drain()
        finally:
            await self._app.stop()
            await store.stop()

    def _handle_signal(self, number: signal.Signals) -> None:
        if not self._stopping.is_set():
            _log.info("signal.received", signal=number.name)
            self._stopping.set()
            return
        # A repeated signal must not abort requests; it only logs how many are open.
        running = len(self._app.exchanges) if self._app else 0
        _log.warning(
            "signal.repeated",
            signal=number.name,
            would_cut=running,
            remedy="Wait until they end; only SIGKILL ends the process sooner.",
        )


def serve(
    config: Annotated[Path, typer.Option("--config", help="The host's INI file.")],
) -> None:
    """Run an entry host until it receives SIGTERM or SIGINT."""
    result = read_host_config(config)
    if not is_successful(result):
        _exit_with_errors(result.failure())
    cfg = result.unwrap()
    set_up_logs(cfg.log_level)
    asyncio.run(Daemon(cfg).run())


def _exit_with_errors(errors: tuple[SettingsError, ...]) -> None:
    for error in errors:
        sys.stderr.write(f"{error}\n")
    raise typer.Exit(SettingsError.exit_code)


def main() -> None:
    """Run the daemon's command."""
    typer.run(serve)
