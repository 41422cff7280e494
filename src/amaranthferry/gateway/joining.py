"""Decide which hosts count as live while membership is still finding them.

This answers the start of many hosts at once: membership needs seconds to find hundreds
of hosts, and hosts that know different ones choose different coordinators, each of
which grants all slots of the same servers.
"""

from ..types import HostId, Seconds

#: Time in which membership finds the other hosts, and what each host adds to it.
MIN_JOIN_TIME: Seconds = 2.0
JOIN_TIME_PER_HOST: Seconds = 0.05


class JoiningHosts:
    """Combine the hosts that the store lists with those that membership has found.

    A listed host counts until it proves unreachable or the time to join has passed.
    """

    def __init__(self, now: Seconds) -> None:
        self._began = now
        self._listed: dict[HostId, str] = {}
        self._unreachable: set[HostId] = set()
        self._ended = False

    @property
    def listed(self) -> dict[HostId, str]:
        """Return the addresses of the other hosts that the store lists."""
        return self._listed

    def set_listed(self, hosts: dict[HostId, str]) -> None:
        """Set the other hosts that the store lists."""
        self._listed = hosts

    def restart(self, now: Seconds) -> None:
        """Begin to join again."""
        self._began = now
        self._ended = False
        self._unreachable.clear()

    def record_unreachable(self, host: HostId, now: Seconds) -> bool:
        """Record a host that can't be connected to; return whether it still counted."""
        counted = host in self._counted(now)
        self._unreachable.add(host)
        return counted

    def live(self, members: dict[HostId, str], now: Seconds) -> dict[HostId, str]:
        """Return the addresses of the hosts that count as live."""
        return {**self._counted(now), **members}

    def has_just_ended(self, now: Seconds) -> bool:
        """Return once that the time to join has passed."""
        if self._ended or self._is_joining(now):
            return False
        self._ended = True
        return True

    def _is_joining(self, now: Seconds) -> bool:
        join_time = MIN_JOIN_TIME + JOIN_TIME_PER_HOST * len(self._listed)
        return now < self._began + join_time

    def _counted(self, now: Seconds) -> dict[HostId, str]:
        if not self._is_joining(now):
            return {}
        return {
            host: address
            for host, address in self._listed.items()
            if host not in self._unreachable
        }
