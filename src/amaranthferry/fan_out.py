"""Arrange hosts in a tree along which each host forwards a message to a few others."""

from collections.abc import Sequence

from .types import HostId

#: Hosts that each host forwards a message to.
FAN_OUT = 4


def children(host: HostId, origin: HostId, hosts: Sequence[HostId]) -> list[HostId]:
    """Return the hosts that a host forwards an origin's message to.

    The tree is the same on all hosts that know the same live hosts. Hosts with similar
    names, which are mostly of one zone, stand near each other in it.
    """
    ordered = sorted({*hosts, host, origin})
    root = ordered.index(origin)
    ordered = ordered[root:] + ordered[:root]
    first = FAN_OUT * ordered.index(host) + 1
    return ordered[first : first + FAN_OUT]
