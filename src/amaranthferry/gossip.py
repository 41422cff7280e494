"""Define the membership packets and authenticate them with the shared key."""

import hashlib
import hmac
from enum import IntEnum

import msgspec

from .exceptions import DECODE_ERRORS, FrameError
from .types import HostId, SettingsVersion, ZoneId

MAX_PACKET_BYTES = 1_200
TAG_BYTES = 16
#: Bytes other than updates: tag, kind, numbers and the sender's record.
PACKET_OVERHEAD_BYTES = 260
MAX_UPDATES_BYTES = MAX_PACKET_BYTES - PACKET_OVERHEAD_BYTES


class Status(IntEnum):
    """Define the status of a member; within one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Describe an entry host; only the host itself raises its incarnation."""

    host: HostId
    address: str
    zone: ZoneId
    incarnation: int
    settings_version: SettingsVersion = SettingsVersion(0)
    draining: bool = False
    #: What the host can carry, relative to others; 0 where it is unknown.
    capacity: float = 0.0


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Report the status of a member; DEAD is concluded locally and never sent."""

    status: Status
    member: Member


class Packet(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """Define the base of all packets; each contains its sender's newest record."""

    sender: Member
    updates: tuple[MemberUpdate, ...]


class Ping(Packet, frozen=True, tag="ping"):
    """Request an ack from a member."""

    sequence: int


class PingRequest(Packet, frozen=True, tag="ask"):
    """Ask a member to ping another on the sender's behalf."""

    sequence: int
    subject: HostId
    address: str


class Ack(Packet, frozen=True, tag="ack"):
    """Answer a ping, or forward the ack of its subject."""

    sequence: int
    subject: HostId


class Gossip(Packet, frozen=True, tag="gossip"):
    """Spread updates without waiting for the next ping."""


class PageRequest(Packet, frozen=True, tag="page_ask"):
    """Request the members that come after a host id."""

    after: HostId


class Page(Packet, frozen=True, tag="page"):
    """List members in order of host id; `after` is empty on the last page."""

    after: HostId


AnyPacket = Ping | PingRequest | Ack | Gossip | PageRequest | Page

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyPacket] = msgspec.msgpack.Decoder(AnyPacket)


def update_size(update: MemberUpdate) -> int:
    """Return the encoded size of an update, in bytes."""
    return len(_encoder.encode(update))


def datagram_size(packet: AnyPacket) -> int:
    """Return the size of a packet's datagram, in bytes."""
    return TAG_BYTES + len(_encoder.encode(packet))


def encode_packet(packet: AnyPacket, key: bytes) -> bytes:
    """Return the datagram of a packet: authentication tag, then msgpack."""
    body = _encoder.encode(packet)
    return _tag(body, key) + body


def decode_packet(datagram: bytes, key: bytes) -> AnyPacket:
    """Return the packet of a datagram; raise FrameError if its tag or body is invalid."""
    tag, body = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
    if not hmac.compare_digest(tag, _tag(body, key)):
        raise FrameError(
            "The tag of a membership packet doesn't match this host's peer key.",
            remedy="Set the same peer_key on every entry host.",
        )
    try:
        return _decoder.decode(body)
    except DECODE_ERRORS as exc:
        raise FrameError(
            f"A membership packet can't be read: {exc}.",
            remedy="Run the same release on every entry host.",
        ) from exc


def _tag(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:TAG_BYTES]
