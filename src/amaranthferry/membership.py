"""Run this host's membership over UDP."""

import asyncio
import secrets
import time
from collections.abc import Callable

import msgspec
import structlog

from .config import HostConfig
from .exceptions import FrameError
from .gossip import Member, decode_packet, encode_packet
from .supervision import keep_running
from .swim import (
    TICK_SECONDS,
    CandidatesSeen,
    Departed,
    DrainBegun,
    Membership,
    MembershipEvent,
    MembershipTicked,
    PacketReceived,
    ReportMembers,
    SendPacket,
    VersionApplied,
)
from .types import SettingsVersion

__all__ = ["Member", "MembershipAgent"]

_log = structlog.get_logger(__name__)
_SEED_BITS = 64


class MembershipAgent(asyncio.DatagramProtocol):
    """Convert datagrams and timer ticks to membership events and run their effects."""

    def __init__(
        self,
        cfg: HostConfig,
        *,
        on_members: Callable[[tuple[Member, ...]], None],
    ) -> None:
        self._key = cfg.peer_key.encode()
        self._on_members = on_members
        # A restarted host needs a higher incarnation than before and stores nothing,
        # so the incarnation comes from the wall clock.
        incarnation = time.time_ns() // 1_000_000
        self._membership = Membership.from_config(cfg, incarnation=incarnation)
        self._cfg = cfg
        self._incarnation = incarnation
        self._transport: asyncio.DatagramTransport | None = None
        self._ticker: asyncio.Task[None] | None = None
        self.refused_packets = 0

    @property
    def address(self) -> str:
        """Return the bound address, as `ip:port`."""
        if self._transport is None:
            return self._cfg.peer_address
        ip, port = self._transport.get_extra_info("sockname")[:2]
        return f"{ip}:{port}"

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the live members, this host included."""
        return self._membership.roster.live()

    async def start(self) -> None:
        """Bind the peer address and start to discover the other hosts."""
        loop = asyncio.get_running_loop()
        ip, _, port = self._cfg.peer_address.rpartition(":")
        self._transport, _protocol = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, int(port))
        )
        cfg = msgspec.structs.replace(self._cfg, peer_address=self.address)
        self._membership = Membership.from_config(cfg, incarnation=self._incarnation)
        self._ticker = loop.create_task(keep_running(self._tick_forever))

    async def stop(self) -> None:
        """Stop without announcing it, as a crashed process would."""
        if self._ticker is not None:
            self._ticker.cancel()
            await asyncio.gather(self._ticker, return_exceptions=True)
        if self._transport is not None:
            self._transport.close()
        self._transport = self._ticker = None

    async def leave(self) -> None:
        """Announce the departure, then stop."""
        self._handle(Departed(now=_now(), seed=secrets.randbits(_SEED_BITS)))
        await asyncio.sleep(0)
        await self.stop()

    def begin_drain(self) -> None:
        """Announce that this host accepts no new work."""
        self._handle(DrainBegun(now=_now()))

    def set_settings_version(self, version: SettingsVersion) -> None:
        """Announce the settings version that this host has applied."""
        self._handle(VersionApplied(now=_now(), version=version))

    def set_candidates(self, addresses: tuple[str, ...]) -> None:
        """Set addresses to search for hosts, in addition to the seeds."""
        self._handle(CandidatesSeen(now=_now(), addresses=addresses))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram; count and log it if authentication or decoding fails."""
        try:
            packet = decode_packet(data, self._key)
        except FrameError as exc:
            self.refused_packets += 1
            _log.warning("membership packet refused", address=addr[0], problem=str(exc))
            return
        address = f"{addr[0]}:{addr[1]}"
        self._handle(PacketReceived(now=_now(), packet=packet, address=address))

    def error_received(self, exc: Exception) -> None:
        """Ignore the error; an unreachable peer is detected by its missing ack."""

    async def _tick_forever(self) -> None:
        while True:
            self._handle(
                MembershipTicked(now=_now(), seed=secrets.randbits(_SEED_BITS))
            )
            await asyncio.sleep(TICK_SECONDS)

    def _handle(self, event: MembershipEvent) -> None:
        for effect in self._membership.reduce(event):
            match effect:
                case SendPacket(address, packet):
                    self._send(address, encode_packet(packet, self._key))
                case ReportMembers(members):
                    self._on_members(members)

    def _send(self, address: str, datagram: bytes) -> None:
        if self._transport is not None:
            ip, _, port = address.rpartition(":")
            self._transport.sendto(datagram, (ip, int(port)))


def _now() -> float:
    return asyncio.get_running_loop().time()
