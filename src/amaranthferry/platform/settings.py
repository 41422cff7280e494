"""Read the settings file that the platform writes for a process."""

from pathlib import Path
from typing import Self

import msgspec

from ..exceptions import SettingsError
from ..properties import Properties
from ..types import HostId, Seconds, ZoneId

SETTINGS_VARIABLE = "AMARANTHFERRY_SETTINGS"
DEFAULT_PATH = "/etc/amaranthferry/settings.conf"
MEGABYTE = 1_000_000
ROLLOUT_CONTRACT = "rollout"


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
    #: Requests that an unproven version of a service may get: a fraction, and a count.
    exposure_share: float = 0.0
    exposure_slack: float = 0.0
    #: Time from the evidence that a version is bad until it gets no more requests.
    rollback: Seconds = 0.0


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
    max_descriptors: int = 0
    #: Whether the operator may order rollouts of a service's versions.
    rollouts: bool = False

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
        fields = Properties.from_text(text, file=file)
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
            exposure_share=fields.number("bounds.exposureShare", 0),
            exposure_slack=fields.number("bounds.exposureSlack", 0),
            rollback=fields.milliseconds("bounds.rollbackMs", 5_000),
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
            max_descriptors=int(fields.number("limits.maxFds", 0)),
            rollouts=ROLLOUT_CONTRACT in fields.items("contracts"),
        )
