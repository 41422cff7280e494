"""Authenticate two entry hosts to each other by their shared key.

The opener sends a nonce, the acceptor answers with its own nonce and a proof, and
the opener ends with its proof. A proof covers both nonces, both hosts, the protocol
version and the prover's role, so none can be replayed or reflected.
"""

import hashlib
import hmac
from typing import TypeVar

import msgspec

from .exceptions import DECODE_ERRORS, FrameError
from .types import HostId

PROTOCOL_VERSION = 1
NONCE_BYTES = 16
_DIGEST = hashlib.sha256

_HandshakeMessage = TypeVar("_HandshakeMessage")


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Open a handshake."""

    version: int
    host: HostId
    nonce: bytes


class Challenge(msgspec.Struct, frozen=True, array_like=True, tag="challenge"):
    """Prove that the acceptor has the key, and challenge the opener."""

    version: int
    host: HostId
    nonce: bytes
    proof: bytes


class Proof(msgspec.Struct, frozen=True, array_like=True, tag="proof"):
    """Prove that the opener has the key."""

    proof: bytes


class Opener:
    """Run the side of the handshake that opened the connection."""

    def __init__(self, key: str, host: HostId, peer: HostId, nonce: bytes) -> None:
        self._key = key.encode()
        self._hello = Hello(PROTOCOL_VERSION, host, nonce)
        self.peer = peer

    def start(self) -> bytes:
        """Return the first payload to send."""
        return msgspec.msgpack.encode(self._hello)

    def answer(self, payload: bytes) -> bytes:
        """Check the acceptor's challenge and return the proof to send."""
        challenge = _decode(payload, Challenge)
        _check_version(challenge.version)
        if challenge.host != self.peer:
            raise FrameError(
                f"Host {challenge.host} answered in place of {self.peer}.",
                remedy="Wait for membership to spread the host's new address.",
            )
        _check_proof(
            _compute_proof(
                self._key, "acceptor", self._hello, challenge.host, challenge.nonce
            ),
            challenge.proof,
            challenge.host,
        )
        return msgspec.msgpack.encode(
            Proof(
                _compute_proof(
                    self._key, "opener", self._hello, challenge.host, challenge.nonce
                )
            )
        )


class Acceptor:
    """Run the side of the handshake that accepted the connection."""

    def __init__(self, key: str, host: HostId, nonce: bytes) -> None:
        self._key = key.encode()
        self._host = host
        self._nonce = nonce
        self._hello: Hello | None = None

    @property
    def hello_received(self) -> bool:
        """Return whether the opener's hello has been received."""
        return self._hello is not None

    def challenge(self, payload: bytes) -> bytes:
        """Accept the opener's hello and return the challenge to send."""
        hello = _decode(payload, Hello)
        _check_version(hello.version)
        self._hello = hello
        proof = _compute_proof(self._key, "acceptor", hello, self._host, self._nonce)
        return msgspec.msgpack.encode(
            Challenge(PROTOCOL_VERSION, self._host, self._nonce, proof)
        )

    def finish(self, payload: bytes) -> HostId:
        """Check the opener's proof and return the opener's host."""
        assert self._hello is not None
        proof = _decode(payload, Proof)
        expected = _compute_proof(
            self._key, "opener", self._hello, self._host, self._nonce
        )
        _check_proof(expected, proof.proof, self._hello.host)
        return self._hello.host


def _compute_proof(
    key: bytes, role: str, hello: Hello, acceptor: HostId, nonce: bytes
) -> bytes:
    transcript = msgspec.msgpack.encode(
        (role, hello.version, hello.host, hello.nonce, acceptor, nonce)
    )
    return hmac.digest(key, transcript, _DIGEST)


def _check_proof(expected: bytes, received: bytes, host: HostId) -> None:
    if not hmac.compare_digest(expected, received):
        raise FrameError(
            f"Host {host} doesn't hold the same peer key.",
            remedy="Set the same peer_key on every entry host.",
        )


def _check_version(version: int) -> None:
    if version != PROTOCOL_VERSION:
        raise FrameError(
            f"A peer speaks protocol version {version}, not {PROTOCOL_VERSION}.",
            remedy="Run releases with the same protocol version on every host.",
        )


def _decode(payload: bytes, message_type: type[_HandshakeMessage]) -> _HandshakeMessage:
    try:
        return msgspec.msgpack.decode(payload, type=message_type)
    except DECODE_ERRORS as exc:
        raise FrameError(
            f"A peer's handshake can't be read: {exc}.",
            remedy="Check that only entry hosts connect to the peer address.",
        ) from exc
