"""Cache the configuration and the server entries of the store."""

from collections.abc import Callable

import structlog

from ..catalog import Catalog, Instance, RouteTable
from ..exceptions import SettingsError
from ..gateway.log_events import LogEvent
from ..messages import ObjectChange
from ..platform.desired import CONFIG_NAME, read_catalog, read_instance
from ..types import Seconds, ServerId, SettingsVersion
from .freshness import boot_time
from .roster import ServerRoster

#: Lines about the parts of one version that can't be read.
MAX_LEFT_OUT_LINES = 8
_log = structlog.get_logger(__name__)


class ConfigCache:
    """Cache the configuration; an older version never replaces a newer one."""

    def __init__(self, on_catalog: Callable[[], None]) -> None:
        self.route_table: RouteTable | None = None
        self._on_catalog = on_catalog

    @property
    def catalog(self) -> Catalog | None:
        """Return the active configuration."""
        return None if self.route_table is None else self.route_table.catalog

    @property
    def version(self) -> SettingsVersion:
        """Return the version of the active configuration, or 0 before the first."""
        return SettingsVersion(0) if self.catalog is None else self.catalog.version

    def replace(self, objects: list[ObjectChange]) -> None:
        """Apply a listed configuration."""
        self.apply(objects)

    def restore(self, objects: list[ObjectChange]) -> None:
        """Apply a restored store's configuration, unless the active one is newer."""
        self.apply(objects)

    def apply(self, changes: list[ObjectChange]) -> None:
        """Apply the newest of some configuration changes."""
        candidates = [
            change
            for change in changes
            if change.name == CONFIG_NAME and not change.deleted
        ]
        if candidates:
            self._update(max(candidates, key=lambda change: change.revision))

    def _update(self, item: ObjectChange) -> None:
        try:
            catalog = read_catalog(item.spec)
        except SettingsError as exc:
            _log.error(
                LogEvent.CONFIG_UNREADABLE, problem=exc.message, remedy=exc.remedy
            )
            return
        before = self.catalog
        if before is not None and catalog.version <= before.version:
            return
        self.route_table = RouteTable(catalog)
        for part in catalog.left_out[:MAX_LEFT_OUT_LINES]:
            _log.error(
                LogEvent.CONFIG_PART_UNREADABLE,
                version=catalog.version,
                part=part.part,
                name=part.name,
                prefix=part.prefix,
                problem=part.problem,
            )
        _log.info(
            LogEvent.CONFIG_APPLIED,
            version=catalog.version,
            routes=len(catalog.routes),
            revision=item.revision,
            left_out=len(catalog.left_out),
        )
        self._on_catalog()

    def mark_store_unavailable(self) -> None:
        """Ignore a store outage; admission depends on the age of the cached copy."""

    def mark_store_available(self, since: Seconds) -> None:
        """Ignore the end of a store outage."""


class ServerCache:
    """Cache the server entries."""

    def __init__(
        self, on_servers: Callable[[], None], *, heartbeat: Seconds = 1.0
    ) -> None:
        self.roster = ServerRoster(heartbeat)
        self._on_servers = on_servers

    @property
    def version(self) -> SettingsVersion:
        """Return 0, since server entries have no common version."""
        return SettingsVersion(0)

    def replace(self, objects: list[ObjectChange]) -> None:
        """Replace all entries, leaving out those that cannot be decoded."""
        self._notify(self.roster.replace(_decode_instances(objects), boot_time()))

    def restore(self, objects: list[ObjectChange]) -> None:
        """Replace all entries by those of a store that was restored from a copy."""
        self._notify(self.roster.restore(_decode_instances(objects), boot_time()))

    def apply(self, changes: list[ObjectChange]) -> None:
        """Apply changed entries."""
        changed = [self._apply_change(change) for change in changes]
        self._notify(any(changed))

    def _apply_change(self, change: ObjectChange) -> bool:
        instance = None if change.deleted else _decode_instance(change)
        if instance is None:
            return self.roster.remove(ServerId(change.name), boot_time())
        return self.roster.put(instance)

    def expire(self) -> None:
        """Drop the servers that did not return after a store outage."""
        self._notify(self.roster.expire(boot_time()))

    def _notify(self, changed: bool) -> None:
        if changed:
            self._on_servers()

    def mark_store_unavailable(self) -> None:
        """Record that the store cannot be read."""
        self.roster.mark_store_unavailable()

    def mark_store_available(self, since: Seconds) -> None:
        """Record that the store can be read again."""
        self.roster.mark_store_available(since)


def _decode_instances(objects: list[ObjectChange]) -> list[Instance]:
    decoded = (_decode_instance(item) for item in objects)
    return [instance for instance in decoded if instance is not None]


def _decode_instance(item: ObjectChange) -> Instance | None:
    instance = read_instance(item.name, item.spec)
    if instance is None:
        _log.warning(
            LogEvent.SERVER_ENTRY_UNREADABLE, name=item.name, revision=item.revision
        )
    return instance
