"""Describe an entry host to operators."""

from typing import TYPE_CHECKING

import msgspec

from .types import (
    HostId,
    PoolId,
    Seconds,
    ServerId,
    SettingsVersion,
    ShardId,
    ZoneId,
)

if TYPE_CHECKING:
    from .core import HostState


class ServerStatus(msgspec.Struct, frozen=True):
    """Describe one backend server in this host's view."""

    server: ServerId
    pool: PoolId
    zone: ZoneId
    address: str
    kind: str
    signs: dict[str, str]


class ShardStatus(msgspec.Struct, frozen=True):
    """Describe one shard; waits are in seconds by tier rank."""

    shard: ShardId
    coordinator: HostId
    local: bool
    waits: tuple[Seconds, ...]


class HostStatus(msgspec.Struct, frozen=True):
    """Describe one entry host."""

    host: HostId
    zone: ZoneId
    url: str
    settings_version: SettingsVersion
    settings_current: bool
    draining: bool
    hosts: tuple[HostId, ...]
    shards: tuple[ShardStatus, ...]
    requests: dict[str, int]
    servers: tuple[ServerStatus, ...]

    @classmethod
    def from_state(cls, state: "HostState", *, url: str) -> "HostStatus":
        """Build the report from the host's state."""
        requests: dict[str, int] = {}
        for req in state.requests.values():
            name = f"{req.arrival.tier}.{req.state}"
            requests[name] = requests.get(name, 0) + 1
        return cls(
            host=state.host,
            zone=state.zone,
            url=url,
            settings_version=state.deployment.version,
            settings_current=state.settings_current,
            draining=state.draining,
            hosts=state.hosts,
            shards=_shards(state),
            requests=requests,
            servers=_servers(state),
        )


def _shards(state: "HostState") -> tuple[ShardStatus, ...]:
    return tuple(
        ShardStatus(
            shard, host, shard in state.coordinators, state.waits.get(shard, ())
        )
        for shard, host in state.coordinator_hosts().items()
    )


def _servers(state: "HostState") -> tuple[ServerStatus, ...]:
    return tuple(
        ServerStatus(
            server=server.name,
            pool=server.pool,
            zone=server.zone,
            address=server.address,
            kind=server.kind,
            signs={
                str(source): str(report)
                for source, report in state.server_reports.get(server.name, {}).items()
            },
        )
        for server in state.deployment.servers.values()
    )
