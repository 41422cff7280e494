"""Define the packets of membership and seal them with the shared key."""

import hashlib
import hmac
from enum import IntEnum

import msgspec

from .exceptions import FrameError
from .types import HostId, SettingsVersion, ZoneId

MAX_PACKET_BYTES = 1_200
TAG_BYTES = 16
#: Bytes of a packet that aren't news: tag, kind, numbers and the sender's record.
PACKET_OVERHEAD_BYTES = 260
MAX_UPDATES_BYTES = MAX_PACKET_BYTES - PACKET_OVERHEAD_BYTES


class Status(IntEnum):
    """Order what is believed of a member within one incarnation."""

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


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Pass on what is believed of a member; death is concluded, never passed on."""

    status: Status
    member: Member


class Packet(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """Be the base of all packets; each shows its sender's newest record."""

    sender: Member
    updates: tuple[MemberUpdate, ...]


class Ping(Packet, frozen=True, tag="ping"):
    """Ask a member for a sign of life."""

    sequence: int


class PingRequest(Packet, frozen=True, tag="ask"):
    """Ask a member to ping another on the sender's behalf."""

    sequence: int
    subject: HostId
    address: str


class Ack(Packet, frozen=True, tag="ack"):
    """Answer a ping, or pass on the answer of its subject."""

    sequence: int
    subject: HostId


class Gossip(Packet, frozen=True, tag="gossip"):
    """Spread news without waiting for the next ping."""


class PageRequest(Packet, frozen=True, tag="page_ask"):
    """Ask for the members that come after a host id."""

    after: HostId


class Page(Packet, frozen=True, tag="page"):
    """List members in order of host id; `after` is empty on the last page."""

    after: HostId


AnyPacket = Ping | PingRequest | Ack | Gossip | PageRequest | Page

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyPacket] = msgspec.msgpack.Decoder(AnyPacket)


def update_size(update: MemberUpdate) -> int:
    """Return the bytes that a piece of news takes in a packet."""
    return len(_encoder.encode(update))


def datagram_size(packet: AnyPacket) -> int:
    """Return the length of a packet's datagram."""
    return TAG_BYTES + len(_encoder.encode(packet))


def encode_packet(packet: AnyPacket, key: bytes) -> bytes:
    """Return the datagram for a packet: its tag, then its msgpack form."""
    body = _encoder.encode(packet)
    return _tag(body, key) + body


def decode_packet(datagram: bytes, key: bytes) -> AnyPacket:
    """Return the packet of a datagram; raise FrameError unless the key made it."""
    tag, body = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
    if not hmac.compare_digest(tag, _tag(body, key)):
        raise FrameError(
            "A membership packet wasn't made with this host's peer key.",
            remedy="Set the same peer_key on every entry host.",
        )
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise FrameError(
            f"A membership packet can't be read: {exc}.",
            remedy="Run the same release on every entry host.",
        ) from exc


def _tag(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:TAG_BYTES]
