"""Track the backend servers listed in the store, across its outages and restores."""

from math import inf

import structlog

from ..catalog import Instance
from ..gateway.log_events import LogEvent
from ..types import Seconds, ServerId, ServerState

#: Time for a server whose entry expired in an outage to register again.
RETURN_GRACE: Seconds = 2.5
#: Heartbeat intervals after which the store drops the entry of a silent server.
EXPIRY_HEARTBEATS = 3
#: Servers that are remembered as gone, so that a restored entry doesn't revive them.
MAX_GONE = 256
_log = structlog.get_logger(__name__)


class ServerRoster:
    """Track the listed instances, with those whose entry an outage may have removed.

    A store that was restored from a copy lists servers as they were some seconds ago.
    A listed entry that contradicts what is known of the same incarnation is withheld
    until the server writes it again. The entry of a server that is known to be gone is
    withheld until the store would have dropped it for silence.
    """

    def __init__(self, heartbeat: Seconds = 1.0) -> None:
        self._expiry_time = EXPIRY_HEARTBEATS * heartbeat + RETURN_GRACE
        self.instances: dict[ServerId, Instance] = {}
        self._missing: dict[ServerId, Seconds] = {}
        self._store_unavailable = False
        self._recovered_at: Seconds | None = None
        self._gone: dict[ServerId, int] = {}
        self._withheld: dict[ServerId, tuple[Instance, Seconds]] = {}

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
        self._gone.pop(instance.server, None)
        if self._withheld.pop(instance.server, None):
            _log.info(
                LogEvent.SERVER_RELEASED, server=instance.server, reason="written"
            )
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
        self._withheld.pop(server, None)
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

    def restore(self, instances: list[Instance], now: Seconds) -> bool:
        """Replace all instances by those of a copy; return whether anything changed."""
        self._recovered_at = now
        self._withheld.clear()
        believed: list[Instance] = []
        withheld: dict[ServerId, tuple[Instance, Seconds]] = {}
        for listed in instances:
            known = self.instances.get(listed.server)
            if self._gone.get(listed.server) == listed.incarnation:
                withheld[listed.server] = listed, now + self._expiry_time
            elif known is not None and _is_leaving(known, listed):
                withheld[listed.server] = listed, inf
                believed.append(known)
            else:
                believed.append(listed)
                continue
            _log.warning(
                LogEvent.SERVER_WITHHELD,
                server=listed.server,
                known="gone" if known is None else known.state,
                listed=listed.state,
            )
        changed = self.replace(believed, now)
        self._withheld = withheld
        return changed

    def expire(self, now: Seconds) -> bool:
        """Drop servers that did not return in time, and release withheld entries.

        Return whether anything changed.
        """
        due = [server for server, at in self._missing.items() if at <= now]
        for server in due:
            self._drop(server)
        released = [item for item, until in self._withheld.values() if until <= now]
        for instance in released:
            del self._withheld[instance.server]
            _log.info(LogEvent.SERVER_RELEASED, server=instance.server, reason="listed")
            self.put(instance)
        return bool(due or released)

    def _drop(self, server: ServerId) -> bool:
        self._missing.pop(server, None)
        dropped = self.instances.pop(server)
        self._gone[server] = dropped.incarnation
        if len(self._gone) > MAX_GONE:
            del self._gone[next(iter(self._gone))]
        _log.info(LogEvent.SERVER_GONE, server=server)
        return True


def _is_leaving(known: Instance, listed: Instance) -> bool:
    """Return whether a listed incarnation is known to be leaving, unlike its entry."""
    return (
        known.incarnation == listed.incarnation
        and known.state is not ServerState.LIVE
        and known != listed
    )
