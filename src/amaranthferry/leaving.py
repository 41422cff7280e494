"""Remember which servers have said in their answers that they leave."""

from .config import Deployment
from .messages import ServerIncarnation
from .types import Seconds, ServerId

#: Incarnations that are remembered; the oldest ones are forgotten first.
MAX_LEAVING = 1_024


class LeavingServers:
    """Remember leaving incarnations, whatever the host list says of them.

    A server that starts again, or elsewhere, is another incarnation and starts afresh.
    """

    def __init__(self) -> None:
        self._seen_at: dict[ServerIncarnation, Seconds] = {}

    def __len__(self) -> int:
        return len(self._seen_at)

    def __contains__(self, incarnation: ServerIncarnation | None) -> bool:
        return incarnation in self._seen_at

    def add(
        self, incarnation: ServerIncarnation, seen_at: Seconds
    ) -> ServerIncarnation | None:
        """Add an incarnation and return the one that is forgotten for it, if any."""
        self._seen_at[incarnation] = seen_at
        if len(self._seen_at) <= MAX_LEAVING:
            return None
        oldest = next(iter(self._seen_at))
        del self._seen_at[oldest]
        return oldest

    def seen_at(self, incarnation: ServerIncarnation) -> Seconds:
        """Return when an incarnation has said that it leaves."""
        return self._seen_at[incarnation]

    def servers_of(self, deployment: Deployment) -> tuple[ServerId, ...]:
        """Return the servers of a deployment that leave."""
        if not self._seen_at:
            return ()
        return tuple(
            name
            for name in deployment.servers
            if incarnation_of(deployment, name) in self._seen_at
        )


def incarnation_of(
    deployment: Deployment, server: ServerId
) -> ServerIncarnation | None:
    """Return the incarnation of a server in a deployment, or None if it is unknown."""
    cfg = deployment.servers.get(server)
    if cfg is None:
        return None
    number = deployment.incarnations.get(server, 0)
    return ServerIncarnation(server, number, cfg.address)
