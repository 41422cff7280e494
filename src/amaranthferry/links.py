"""Define the queue and connections of one peer, and their limits."""

import asyncio
from collections import deque
from enum import Enum

import msgspec

from .config import KIBIBYTE
from .connections import PeerConnection
from .types import HostId, Seconds


class PeerTiming(msgspec.Struct, frozen=True):
    """Define the time limits of peer connections, in seconds.

    An end that receives messages answers within `answer_delay`, with messages of its
    own or a heartbeat. An end that gets no answer within `answer_timeout` considers
    the connection dead. The opener sends a heartbeat on a connection without messages
    every `heartbeat_interval`, and closes it after `idle_timeout`.
    """

    answer_delay: Seconds = 0.5
    heartbeat_interval: Seconds = 15.0
    answer_timeout: Seconds = 3.0
    idle_timeout: Seconds = 60.0
    handshake_timeout: Seconds = 2.0
    initial_backoff: Seconds = 0.05
    max_backoff: Seconds = 2.0


class PeerLimits(msgspec.Struct, frozen=True):
    """Limit the queue of one peer and the number of open connections."""

    queue_bytes: int = 2048 * KIBIBYTE
    queue_messages: int = 4_096
    connections: int = 1_024


class SendResult(Enum):
    """Describe the result of offering a message to a peer."""

    QUEUED = "queued"
    UNKNOWN_HOST = "unknown_host"
    QUEUE_FULL = "queue_full"
    NOT_SENDABLE = "not_sendable"
    STOPPED = "stopped"


class Link:
    """Store the outgoing queue of one peer and the connections to it."""

    def __init__(self, host: HostId) -> None:
        self.host = host
        self.queue: deque[bytes] = deque()
        self.queue_bytes = 0
        self.outbound: PeerConnection | None = None
        self.inbound: PeerConnection | None = None
        self.opening: asyncio.Task[None] | None = None
        self.retry_at: Seconds = 0.0
        self.failures = 0
        self.flush_scheduled = False

    @property
    def connection(self) -> PeerConnection | None:
        """Return the connection to send on, preferably the one opened here."""
        if self.outbound is not None and self.outbound.ready:
            return self.outbound
        if self.inbound is not None and self.inbound.ready:
            return self.inbound
        return None

    def pop_queue(self) -> bytes:
        """Empty the queue and return its frames, joined for one write."""
        frames = b"".join(self.queue)
        self.clear()
        return frames

    def clear(self) -> None:
        """Drop the queued frames."""
        self.queue.clear()
        self.queue_bytes = 0
