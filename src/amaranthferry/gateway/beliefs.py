"""Hold what this host believes: the configuration, the servers and their age."""

from collections.abc import Callable

import structlog

from ..catalog import Catalog, Directory
from ..exceptions import SettingsError
from ..platform.desired import CONFIG_NAME, read_catalog, read_instance
from ..platform.store import Changes, Listing, StoredObject
from ..types import Seconds, ServerId
from .freshness import Freshness, boot_time
from .roster import ServerRoster

_log = structlog.get_logger(__name__)


class ConfigBelief:
    """Follow the configuration; an older version never replaces a newer one."""

    def __init__(self, freshness: Freshness, on_catalog: Callable[[], None]) -> None:
        self.directory: Directory | None = None
        self.freshness = freshness
        self._on_catalog = on_catalog

    @property
    def catalog(self) -> Catalog | None:
        """Return the configuration in force."""
        return None if self.directory is None else self.directory.catalog

    def listed(self, listing: Listing, sent: Seconds) -> None:
        """Take the listed configuration."""
        for item in listing.entries:
            self._take(item)
        self.freshness.confirm(sent)

    def changed(self, changes: Changes, sent: Seconds) -> None:
        """Take a changed configuration."""
        for change in changes.events:
            if not change.deleted:
                self._take(change.object)
        self.freshness.confirm(sent)

    def _take(self, item: StoredObject) -> None:
        if item.metadata.name != CONFIG_NAME:
            return
        try:
            catalog = read_catalog(item.spec)
        except SettingsError as exc:
            _log.error("config.unreadable", problem=exc.message, remedy=exc.remedy)
            return
        before = self.catalog
        if before is not None and catalog.version <= before.version:
            return
        self.directory = Directory(catalog)
        _log.info(
            "config.applied",
            version=catalog.version,
            routes=len(catalog.routes),
            revision=item.metadata.revision,
        )
        self._on_catalog()

    def store_away(self) -> None:
        """Take a failed read; the age of the belief tells the rest."""

    def store_back(self) -> None:
        """Take the store's return."""


class ServerBelief:
    """Follow the server entries."""

    def __init__(self, on_servers: Callable[[], None]) -> None:
        self.roster = ServerRoster()
        self._on_servers = on_servers

    def listed(self, listing: Listing, sent: Seconds) -> None:
        """Take all entries; one that can't be read names no server."""
        instances = []
        for item in listing.entries:
            instance = read_instance(item.metadata.name, item.spec)
            if instance is not None:
                instances.append(instance)
        self._report(self.roster.replace(instances, boot_time()))

    def changed(self, changes: Changes, sent: Seconds) -> None:
        """Take changed entries."""
        moved = [self._take(change.object, change.deleted) for change in changes.events]
        self._report(any(moved))

    def _take(self, item: StoredObject, deleted: bool) -> bool:
        name = ServerId(item.metadata.name)
        instance = None if deleted else read_instance(name, item.spec)
        if instance is None:
            return self.roster.remove(name, boot_time())
        return self.roster.put(instance)

    def expire(self) -> None:
        """Drop the servers that an outage took for good."""
        self._report(self.roster.expire(boot_time()))

    def _report(self, changed: bool) -> None:
        if changed:
            self._on_servers()

    def store_away(self) -> None:
        """Take a failed read."""
        self.roster.store_away()

    def store_back(self) -> None:
        """Take the store's return."""
        self.roster.store_back(boot_time())
