"""Exchange messages with other entry hosts over connections opened on demand."""

import asyncio
import contextlib
import random
import secrets
from collections.abc import Callable

import structlog

from .codec import decode, encode
from .config import HostConfig
from .connections import PeerConnection
from .exceptions import FrameError
from .frames import pack_frame
from .handshake import NONCE_BYTES, Acceptor, Opener
from .links import Link, PeerLimits, PeerTiming, SendResult
from .messages import Message
from .supervision import keep_running
from .types import HostId, Seconds

_log = structlog.get_logger(__name__)

#: Time limit for writing the queued messages at a stop.
CLOSE_TIMEOUT_SECONDS = 1.0
#: A tick interval longer by this factor means that this host was paused.
PAUSE_FACTOR = 2.0
#: Failed attempts in a row after which a host counts as lost.
LOST_AFTER_FAILURES = 2


class PeerNetwork:
    """Send and receive messages between this entry host and the others."""

    def __init__(
        self,
        cfg: HostConfig,
        *,
        on_message: Callable[[HostId, Message], None],
        on_lost: Callable[[HostId], None] | None = None,
        timing: PeerTiming | None = None,
        limits: PeerLimits | None = None,
    ) -> None:
        self._cfg = cfg
        self._on_message = on_message
        self._on_lost = on_lost
        self._timing = timing or PeerTiming()
        self._limits = limits or PeerLimits()
        self._addresses: dict[HostId, str] = {}
        self._links: dict[HostId, Link] = {}
        self._connections: set[PeerConnection] = set()
        self._server: asyncio.Server | None = None
        self._ticker: asyncio.Task[None] | None = None
        self._jitter = random.Random()
        self._all_closed = asyncio.Event()
        self.dropped = 0
        self.unreadable = 0

    @property
    def address(self) -> str:
        """Return the address that peers connect to, as `ip:port`."""
        if self._server is None:
            return self._cfg.peer_address
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f"{ip}:{port}"

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def start(self) -> None:
        """Listen for peers."""
        ip, port = _split_address(self._cfg.peer_address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, ip, port)
        self._ticker = loop.create_task(keep_running(self._tick_forever))

    async def stop(self) -> None:
        """Close every connection once its queued messages have been written."""
        tasks = [link.opening for link in self._links.values() if link.opening]
        if self._ticker is not None:
            tasks.append(self._ticker)
        for link in self._links.values():
            self._flush(link)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        self._server = self._ticker = None
        self._all_closed.clear()
        self._connections = {conn for conn in self._connections if conn.connected}
        for conn in tuple(self._connections):
            conn.close()
        if self._connections:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._all_closed.wait(), CLOSE_TIMEOUT_SECONDS)
        for conn in tuple(self._connections):
            conn.abort()
        self._connections.clear()

    def set_addresses(self, addresses: dict[HostId, str]) -> None:
        """Replace the addresses of all known hosts."""
        for host, link in tuple(self._links.items()):
            if addresses.get(host) != self._addresses.get(host):
                self._reset(link)
            if host not in addresses and link.inbound is None:
                del self._links[host]
        self._addresses = dict(addresses)

    def send(self, host: HostId, message: Message) -> bool:
        """Queue a message without blocking; return False when it was dropped."""
        return self.offer(host, message) is SendResult.QUEUED

    def offer(self, host: HostId, message: Message) -> SendResult:
        """Queue a message without blocking and return the result."""
        result = self._offer(host, message)
        if result is not SendResult.QUEUED:
            self.dropped += 1
        return result

    def _offer(self, host: HostId, message: Message) -> SendResult:
        if self._server is None:
            return SendResult.STOPPED
        if host == self._cfg.host:
            asyncio.get_running_loop().call_soon(self._deliver, host, message)
            return SendResult.QUEUED
        link = self._links.get(host)
        if link is None:
            if host not in self._addresses:
                return SendResult.UNKNOWN_HOST
            link = self._links[host] = Link(host)
        try:
            frame = pack_frame(encode(message))
        except FrameError:
            return SendResult.NOT_SENDABLE
        return self._enqueue(link, frame)

    def _enqueue(self, link: Link, frame: bytes) -> SendResult:
        if (
            link.queue_bytes + len(frame) > self._limits.queue_bytes
            or len(link.queue) >= self._limits.queue_messages
        ):
            return SendResult.QUEUE_FULL
        link.queue.append(frame)
        link.queue_bytes += len(frame)
        if link.connection is None:
            self._open(link)
        else:
            self._schedule_flush(link)
        return SendResult.QUEUED

    def _schedule_flush(self, link: Link) -> None:
        # One write for all messages of an event loop iteration saves system calls.
        if not link.flush_scheduled:
            link.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush, link)

    def _flush(self, link: Link) -> None:
        link.flush_scheduled = False
        conn = link.connection
        if conn is not None and conn.writable and link.queue:
            conn.write(link.pop_queue())

    def _open(self, link: Link) -> None:
        if link.opening is not None or link.outbound is not None:
            return
        loop = asyncio.get_running_loop()
        link.opening = loop.create_task(self._connect(link))

    async def _connect(self, link: Link) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, link.retry_at - loop.time()))
        nonce = secrets.token_bytes(NONCE_BYTES)
        opener = Opener(self._cfg.peer_key, self._cfg.host, link.host, nonce)
        conn = PeerConnection(self, opener, clock=loop.time)
        link.outbound = conn
        self._connections.add(conn)
        try:
            ip, port = _split_address(self._addresses[link.host])
            async with asyncio.timeout(self._timing.handshake_timeout):
                await loop.create_connection(lambda: conn, ip, port)
        except (OSError, KeyError):
            link.opening = None
            self.on_closed(conn)
        else:
            link.opening = None

    def _back_off(self, link: Link) -> None:
        link.failures += 1
        ceiling = self._timing.initial_backoff * 2 ** min(link.failures - 1, 16)
        delay = min(ceiling, self._timing.max_backoff)
        now = asyncio.get_running_loop().time()
        link.retry_at = now + self._jitter.uniform(delay / 2, delay)

    def _accept(self) -> PeerConnection:
        nonce = secrets.token_bytes(NONCE_BYTES)
        acceptor = Acceptor(self._cfg.peer_key, self._cfg.host, nonce)
        clock = asyncio.get_running_loop().time
        full = len(self._connections) >= self._limits.connections
        conn = PeerConnection(self, acceptor, clock=clock, refuse=full)
        self._connections.add(conn)
        return conn

    def on_ready(self, conn: PeerConnection) -> None:
        """Register an authenticated connection, or flush one that is writable again."""
        assert conn.host is not None
        link = self._links.get(conn.host)
        if link is None:
            link = self._links[conn.host] = Link(conn.host)
        link.failures = 0
        if not conn.opened_here and link.inbound is not conn:
            self._replace_inbound(link, conn)
        self._schedule_flush(link)

    def _replace_inbound(self, link: Link, conn: PeerConnection) -> None:
        # The other end opens a second connection only after it has closed the first.
        if link.inbound is not None:
            link.inbound.abort()
        link.inbound = conn

    def on_payload(self, conn: PeerConnection, payload: bytes) -> None:
        """Handle one message from an authenticated connection."""
        assert conn.host is not None
        try:
            message = decode(payload)
        except FrameError as exc:
            # The frame itself was valid, so later messages can still be decoded.
            self.unreadable += 1
            _log.warning("peer message refused", host=conn.host, problem=str(exc))
        else:
            self._deliver(conn.host, message)

    def on_closed(self, conn: PeerConnection) -> None:
        """Remove a closed connection and reopen it when messages are queued."""
        self._connections.discard(conn)
        if not self._connections:
            self._all_closed.set()
        link = None if conn.peer is None else self._links.get(conn.peer)
        if link is None:
            return
        if link.inbound is conn:
            link.inbound = None
        if link.outbound is conn:
            link.outbound = None
            self._back_off(link)
        if self._server is not None:
            self._recover(link)

    def _recover(self, link: Link) -> None:
        if link.connection is not None:
            self._schedule_flush(link)
        elif link.failures >= LOST_AFTER_FAILURES:
            self._report_lost(link)
        elif link.queue:
            self._open(link)

    def _report_lost(self, link: Link) -> None:
        # Permit messages expire fast: a late one would only report outdated state.
        self.dropped += len(link.queue)
        link.clear()
        if self._on_lost is not None:
            self._on_lost(link.host)

    def _reset(self, link: Link) -> None:
        link.failures = 0
        link.retry_at = 0.0
        if link.outbound is not None:
            link.outbound.abort()

    def _deliver(self, host: HostId, message: Message) -> None:
        try:
            self._on_message(host, message)
        except Exception:
            # A message that can't be handled must not end the connection.
            _log.exception(
                "message handler failed", host=host, message=type(message).__name__
            )

    async def _tick_forever(self) -> None:
        loop = asyncio.get_running_loop()
        ticked_at = loop.time()
        while True:
            await asyncio.sleep(self._timing.answer_delay)
            now = loop.time()
            paused = now - ticked_at > self._timing.answer_delay * PAUSE_FACTOR
            ticked_at = now
            for conn in tuple(self._connections):
                if paused:
                    conn.restart_answer_timer()
                self._tick(conn, now)

    def _tick(self, conn: PeerConnection, now: Seconds) -> None:
        timing = self._timing
        if not conn.ready:
            if now - conn.started_at > timing.handshake_timeout:
                conn.fail(
                    _timeout_error(
                        f"The handshake did not finish within {timing.handshake_timeout:g} s."
                    )
                )
        elif _waiting_time(conn, now) > timing.answer_timeout:
            conn.fail(
                _timeout_error(
                    f"The peer did not answer within {timing.answer_timeout:g} s."
                )
            )
        elif conn.opened_here and now - conn.used_at > timing.idle_timeout:
            conn.close()
        elif conn.answer_due or (
            conn.opened_here and now - conn.sent_at >= timing.heartbeat_interval
        ):
            conn.send_heartbeat()


def _waiting_time(conn: PeerConnection, now: Seconds) -> Seconds:
    if conn.unanswered_since is None:
        return 0.0
    return now - conn.unanswered_since


def _timeout_error(problem: str) -> FrameError:
    return FrameError(
        problem,
        remedy="Check the network and the peer address; a new connection is opened.",
    )


def _split_address(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(":")
    return ip, int(port)
