"""Read the settings file that the platform writes for a process."""

from pathlib import Path
from typing import Self

import msgspec

from ..exceptions import SettingsError
from ..types import HostId, Seconds, ZoneId

SETTINGS_VARIABLE = "AMARANTHFERRY_SETTINGS"
DEFAULT_PATH = "/etc/amaranthferry/settings.conf"
MILLISECOND: Seconds = 0.001
MEGABYTE = 1_000_000


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Define the guaranteed time bounds and budgets of a deployment."""

    drain: Seconds
    grace: Seconds
    apply: Seconds
    revoke: Seconds
    strict_revoke: bool
    contact: Seconds
    retry_ratio: float
    retry_window: Seconds
    retry_extra: float
    quota_window: Seconds
    quota_overage: float
    quota_slack: float


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Define the settings of one entry host; memory in bytes, 0 without a limit."""

    host: HostId
    zone: ZoneId
    address: str
    frontend: str
    readiness: str
    ports: tuple[int, int]
    store: str
    heartbeat: Seconds
    bounds: Bounds
    processor: float = 1.0
    link_mbps: float = 0.0
    memory: int = 0

    @classmethod
    def from_file(cls, path: Path) -> Self:
        """Read a settings file; raise SettingsError if it is unreadable or invalid."""
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            raise SettingsError(
                f"The settings can't be read: {exc}.",
                remedy=f"Name a readable file in {SETTINGS_VARIABLE}.",
                file=str(path),
            ) from exc
        return cls.from_text(text, file=str(path))

    @classmethod
    def from_text(cls, text: str, *, file: str = "") -> Self:
        """Build the settings from lines of the form key=value."""
        lines = (line.partition("=") for line in text.splitlines() if "=" in line)
        fields = _Fields({key.strip(): value.strip() for key, _, value in lines}, file)
        bounds = Bounds(
            drain=fields.milliseconds("bounds.drainMs", 2_000),
            grace=fields.number("bounds.graceS", 8),
            apply=fields.milliseconds("bounds.configApplyMs", 2_000),
            revoke=fields.milliseconds("bounds.revokeMs", 5_000),
            strict_revoke=fields.text("bounds.strictRevoke", "false") == "true",
            contact=fields.milliseconds("bounds.contactMs", 3_000),
            retry_ratio=fields.number("bounds.retryBudgetRatio", 0.2),
            retry_window=fields.number("bounds.budgetWindowS", 10),
            retry_extra=fields.number("bounds.retryBudgetExtra", 0),
            quota_window=fields.number("bounds.quotaWindowS", 8),
            quota_overage=fields.number("bounds.quotaOverage", 0),
            quota_slack=fields.number("bounds.quotaSlack", 0),
        )
        return cls(
            host=HostId(fields.text("nodeName")),
            zone=ZoneId(fields.text("zone")),
            address=fields.text("ip"),
            frontend=fields.endpoint("listen.frontend"),
            readiness=fields.endpoint("listen.readiness"),
            ports=fields.port_range("portRange"),
            store=fields.endpoint("platform.address"),
            heartbeat=fields.milliseconds("heartbeatMs", 1_000),
            bounds=bounds,
            processor=fields.number("limits.cpuShare", 1)
            * fields.number("limits.cpuCores", 1),
            link_mbps=fields.number("limits.linkMbps", 0),
            memory=int(fields.number("limits.memoryMb", 0) * MEGABYTE),
        )


class _Fields:
    """Read typed values, naming the field in every error."""

    def __init__(self, values: dict[str, str], file: str) -> None:
        self._values = values
        self._file = file

    def text(self, name: str, default: str | None = None) -> str:
        value = self._values.get(name, "")
        if value:
            return value
        if default is None:
            raise self._error(name, "is missing")
        return default

    def number(self, name: str, default: float) -> float:
        value = self.text(name, str(default))
        try:
            return float(value)
        except ValueError:
            raise self._error(name, f"is {value!r}, not a number") from None

    def milliseconds(self, name: str, default: float) -> Seconds:
        return self.number(name, default) * MILLISECOND

    def endpoint(self, name: str) -> str:
        value = self.text(name)
        ip, _, port = value.rpartition(":")
        if not ip or not port.isdigit():
            raise self._error(name, f"is {value!r}, not IP:PORT")
        return value

    def port_range(self, name: str) -> tuple[int, int]:
        first, _, last = self.text(name).partition(",")
        if not first.isdigit() or not last.isdigit():
            raise self._error(name, "is not FIRST,LAST")
        return int(first), int(last)

    def _error(self, name: str, problem: str) -> SettingsError:
        return SettingsError(
            f"The field {name} {problem}.",
            remedy="Have the platform set it correctly, and restart the process.",
            file=self._file,
        )
