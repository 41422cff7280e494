"""Carry frames over one authenticated connection between two entry hosts."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import structlog

from .exceptions import FrameError
from .frames import HEARTBEAT, MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES, FrameReader
from .frames import pack_frame as pack
from .handshake import Acceptor, Opener
from .types import HostId, Seconds

_log = structlog.get_logger(__name__)


class ConnectionOwner(Protocol):
    """Define the receiver of a connection's events."""

    def on_ready(self, conn: "PeerConnection") -> None:
        """Handle a connection that is authenticated, or writable again."""

    def on_payload(self, conn: "PeerConnection", payload: bytes) -> None:
        """Handle the payload of one frame from an authenticated connection."""

    def on_closed(self, conn: "PeerConnection") -> None:
        """Handle the end of a connection."""


class PeerConnection(asyncio.Protocol):
    """Run the handshake, then frames and heartbeats, on one connection."""

    def __init__(
        self,
        owner: ConnectionOwner,
        handshake: Opener | Acceptor,
        *,
        clock: Callable[[], Seconds],
        refuse: bool = False,
    ) -> None:
        self.peer = handshake.peer if isinstance(handshake, Opener) else None
        self.host: HostId | None = None
        self.opened_here = isinstance(handshake, Opener)
        self.started_at = clock()
        self.sent_at = self.started_at
        self.used_at = self.started_at
        #: When the oldest frame that the other end must answer was sent.
        self.unanswered_since: Seconds | None = None
        #: Whether the other end expects an answer, which may be any frame.
        self.answer_due = False
        self.error: FrameError | None = None
        self.writable = True
        self._owner = owner
        self._handshake = handshake
        self._clock = clock
        self._refuse = refuse
        self._reader = FrameReader(MAX_HANDSHAKE_BYTES)
        self._transport: asyncio.Transport | None = None

    @property
    def connected(self) -> bool:
        """Return whether the transport is open."""
        return self._transport is not None

    @property
    def ready(self) -> bool:
        """Return whether the connection is open and both ends are authenticated."""
        return self.host is not None and self._transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake when this end opened the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._refuse:
            self.abort()
        elif isinstance(self._handshake, Opener):
            transport.write(pack(self._handshake.start()))

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner that the connection has ended."""
        self._transport = None
        self._owner.on_closed(self)

    def pause_writing(self) -> None:
        """Leave further frames in the owner's bounded queue."""
        self.writable = False

    def resume_writing(self) -> None:
        """Accept frames again."""
        self.writable = True
        if self.ready:
            self._owner.on_ready(self)

    def data_received(self, data: bytes) -> None:
        """Process received bytes; a protocol error ends the connection."""
        if self._transport is None:
            return
        self.unanswered_since = None
        try:
            for payload in self._reader.feed(data):
                self._handle_payload(payload)
                if self._transport is None:
                    return
        except FrameError as exc:
            self.fail(exc)

    def write(self, frames: bytes) -> None:
        """Send frames that carry messages."""
        if self._transport is not None:
            self.used_at = self._clock()
            self._expect_answer()
            self._send(frames)

    def send_heartbeat(self) -> None:
        """Send a heartbeat: the answer that is due, or else a request for one."""
        if self._transport is not None and self.writable:
            if not self.answer_due:
                self._expect_answer()
            self._send(HEARTBEAT)

    def restart_answer_timer(self) -> None:
        """Restart the timeout of a pending answer, after this host was paused."""
        if self.unanswered_since is not None:
            self.unanswered_since = self._clock()

    def fail(self, exc: FrameError) -> None:
        """Log an error and abort the connection."""
        self.error = exc
        _log.warning("peer connection failed", host=self.host, problem=str(exc))
        self.abort()

    def close(self) -> None:
        """Close the connection once the written bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately and discard unsent bytes."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def _send(self, frames: bytes) -> None:
        assert self._transport is not None
        self.sent_at = self._clock()
        self.answer_due = False
        self._transport.write(frames)

    def _expect_answer(self) -> None:
        if self.unanswered_since is None:
            self.unanswered_since = self._clock()

    def _handle_payload(self, payload: bytes) -> None:
        if self.host is None:
            self._continue_handshake(payload)
        elif payload:
            self.answer_due = True
            self.used_at = self._clock()
            self._owner.on_payload(self, payload)
        elif not self.opened_here:
            # Only the opener's heartbeats are answered, so that answers are not.
            self.answer_due = True

    def _continue_handshake(self, payload: bytes) -> None:
        assert self._transport is not None
        if isinstance(self._handshake, Opener):
            self._transport.write(pack(self._handshake.answer(payload)))
            self._finish_handshake(self._handshake.peer)
        elif self._handshake.hello_received:
            self._finish_handshake(self._handshake.finish(payload))
        else:
            self._transport.write(pack(self._handshake.challenge(payload)))

    def _finish_handshake(self, host: HostId) -> None:
        self.host = self.peer = host
        self._reader.limit = MAX_FRAME_BYTES
        self._owner.on_ready(self)
