"""Run entry hosts as processes, and signal them."""

import asyncio
import contextlib
import os
import re
import signal
import sys
from pathlib import Path
from typing import Any

import aiohttp

from ..embedded import free_address
from ..gateway.footprint import read_process_memory
from ..platform.settings import SETTINGS_VARIABLE
from ..standins.deployment import settings_text
from ..types import Seconds

PROGRAM = "from amaranthferry.gateway.daemon import main; main()"
REQUEST_TIMEOUT: Seconds = 1.0
_METRIC = re.compile(r"^amaranthferry_(\w+) ([0-9.]+)$", re.MULTILINE)


class HostProcess:
    """Run one entry host; it can be killed, suspended, stopped and restarted.

    Only processes that this object has started are signalled.
    """

    def __init__(self, name: str, store: str, folder: Path, **settings: Any) -> None:
        self.name = name
        self.addresses = [free_address() for _ in range(4)]
        self.starts = 0
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            settings_text(name, store=store, addresses=self.addresses, **settings)
        )
        self._process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> str:
        """Return the address that callers connect to."""
        return self.addresses[0]

    @property
    def incarnation(self) -> str:
        """Return a name of the current process."""
        return f"{self.name}#{self.starts}"

    async def start(self) -> None:
        """Start the process unless it runs; its output is appended to the host's log."""
        if self._process is not None and self._process.returncode is None:
            return
        self.starts += 1
        source = Path(__file__).parent.parent.parent
        environment = {
            **os.environ,
            SETTINGS_VARIABLE: str(self._settings),
            "PYTHONPATH": str(source),
        }
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", PROGRAM, stdout=log, stderr=log, env=environment
            )

    def memory(self) -> int:
        """Return the process's own memory in bytes, or 0 if it doesn't run."""
        if self._process is None or self._process.returncode is not None:
            return 0
        return read_process_memory(Path(f"/proc/{self._process.pid}/statm")) or 0

    def descriptors(self) -> int:
        """Return the number of the process's open descriptors, or 0 if it has ended."""
        if self._process is None or self._process.returncode is not None:
            return 0
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the end of the process and return its exit status."""
        return 0 if self._process is None else await self._process.wait()

    async def kill(self) -> None:
        """End the process at once, also if it is suspended."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def is_ready(self) -> bool:
        """Return whether the host takes new work."""
        status, _ = await self._get(self.addresses[1], "/readyz")
        return status == 200

    async def metrics(self) -> dict[str, float]:
        """Return the host's metrics without labels, or none if it doesn't answer."""
        _, text = await self._get(self.addresses[3], "/metrics")
        return {name: float(value) for name, value in _METRIC.findall(text)}

    async def _get(self, address: str, path: str) -> tuple[int, str]:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(f"http://{address}{path}") as answer,
            ):
                return answer.status, await answer.text()
        return 0, ""
