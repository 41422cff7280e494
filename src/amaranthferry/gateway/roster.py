"""Track the backend servers listed in the store, across outages of the store."""

import structlog

from ..catalog import Instance
from ..types import Seconds, ServerId
from .log_events import LogEvent

#: Time for a server whose entry expired in an outage to register again.
RETURN_GRACE: Seconds = 2.5
_log = structlog.get_logger(__name__)


class ServerRoster:
    """Track the listed instances, with those whose entry an outage may have removed."""

    def __init__(self) -> None:
        self.instances: dict[ServerId, Instance] = {}
        self._missing: dict[ServerId, Seconds] = {}
        self._store_unavailable = False
        self._recovered_at: Seconds | None = None

    def mark_store_unavailable(self) -> None:
        """Record that the store cannot be read; entries may expire meanwhile."""
        self._store_unavailable = True

    def mark_store_available(self, now: Seconds) -> None:
        """Record that the store can be read again."""
        if self._store_unavailable:
            self._store_unavailable = False
            self._recovered_at = now

    def put(self, instance: Instance) -> bool:
        """Add or update an instance; return whether anything changed."""
        self._missing.pop(instance.server, None)
        if self.instances.get(instance.server) == instance:
            return False
        self.instances[instance.server] = instance
        _log.info(
            LogEvent.SERVER_SEEN,
            server=instance.server,
            service=instance.service,
            state=instance.state,
            born=instance.incarnation,
        )
        return True

    def remove(self, server: ServerId, now: Seconds) -> bool:
        """Remove an entry, deferred after an outage; return whether it was dropped."""
        if server not in self.instances:
            return False
        if self._recovered_at is not None and now < self._recovered_at + RETURN_GRACE:
            self._missing.setdefault(server, self._recovered_at + RETURN_GRACE)
            return False
        return self._drop(server)

    def replace(self, instances: list[Instance], now: Seconds) -> bool:
        """Replace all instances; return whether anything changed."""
        changed = [self.put(instance) for instance in instances]
        listed = {instance.server for instance in instances}
        removed = [server for server in self.instances if server not in listed]
        changed += [self.remove(server, now) for server in removed]
        return any(changed)

    def expire(self, now: Seconds) -> bool:
        """Drop servers that did not return in time; return whether there were any."""
        due = [server for server, at in self._missing.items() if at <= now]
        for server in due:
            self._drop(server)
        return bool(due)

    def _drop(self, server: ServerId) -> bool:
        self._missing.pop(server, None)
        del self.instances[server]
        _log.info(LogEvent.SERVER_GONE, server=server)
        return True
