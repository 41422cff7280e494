"""Keep the backend servers that the store lists, through the store's outages."""

import structlog

from ..catalog import Instance
from ..types import Seconds, ServerId
from .log_events import LogEvent

#: How long a server whose entry lapsed in an outage may take to come back.
RETURN_GRACE: Seconds = 2.5
_log = structlog.get_logger(__name__)


class ServerRoster:
    """Hold the listed instances, and those that an outage may have dropped."""

    def __init__(self) -> None:
        self.instances: dict[ServerId, Instance] = {}
        self._missing: dict[ServerId, Seconds] = {}
        self._store_unavailable = False
        self._recovered_at: Seconds | None = None

    def mark_store_unavailable(self) -> None:
        """Note that the store can't be read; entries may lapse meanwhile."""
        self._store_unavailable = True

    def mark_store_available(self, now: Seconds) -> None:
        """Note that the store can be read again."""
        if self._store_unavailable:
            self._store_unavailable = False
            self._recovered_at = now

    def put(self, instance: Instance) -> bool:
        """Take an entry; tell whether it changes anything."""
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
        """Take the end of an entry; tell whether the server is gone by it."""
        if server not in self.instances:
            return False
        if self._recovered_at is not None and now < self._recovered_at + RETURN_GRACE:
            self._missing.setdefault(server, self._recovered_at + RETURN_GRACE)
            return False
        return self._drop(server)

    def replace(self, instances: list[Instance], now: Seconds) -> bool:
        """Take a whole list; tell whether it changes anything."""
        changed = [self.put(instance) for instance in instances]
        listed = {instance.server for instance in instances}
        removed = [server for server in self.instances if server not in listed]
        changed += [self.remove(server, now) for server in removed]
        return any(changed)

    def expire(self, now: Seconds) -> bool:
        """Drop the servers that did not come back in time."""
        due = [server for server, at in self._missing.items() if at <= now]
        for server in due:
            self._drop(server)
        return bool(due)

    def _drop(self, server: ServerId) -> bool:
        self._missing.pop(server, None)
        del self.instances[server]
        _log.info(LogEvent.SERVER_GONE, server=server)
        return True
