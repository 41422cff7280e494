"""Follow the settings by performing the effects of the follower's reducer."""

import asyncio
import secrets
import time
from collections.abc import Callable, Coroutine, Mapping
from functools import singledispatchmethod
from typing import Any

import structlog

from .config import Deployment, HostConfig
from .effects import Effect, SendToHost
from .events import Event, PeerReceived, Ticked
from .exceptions import AmaranthferryError
from .follower_events import (
    ChunkRead,
    ChunkReadFailed,
    PeersSeen,
    PutInForce,
    ReadChunk,
    ReadRoot,
    RejectRoot,
    RootRead,
    RootReadFailed,
    WatchRoot,
)
from .follower_reducer import reduce
from .follower_state import Follower
from .messages import Message
from .object_store import ObjectStore
from .root import ROOT_KEY, AuditEntry
from .settings_messages import (
    SettingsChunk,
    SettingsChunkRequest,
    SettingsRoot,
    SettingsRootRequest,
    SettingsVersionNotice,
    SettingsVersionReply,
    SettingsVersionRequest,
    SettingsWatchRequest,
)
from .supervision import keep_running
from .types import HostId, Seconds, SettingsVersion

TICK_INTERVAL: Seconds = 0.5
CALL_TIMEOUT: Seconds = 5.0
WATCH_MARGIN: Seconds = 1.0
_NONCE_BITS = 48

_MESSAGES = (
    SettingsVersionRequest,
    SettingsVersionReply,
    SettingsVersionNotice,
    SettingsWatchRequest,
    SettingsRootRequest,
    SettingsRoot,
    SettingsChunkRequest,
    SettingsChunk,
)

_log = structlog.get_logger(__name__)


class SettingsFollower:
    """Apply the newest settings on one host."""

    def __init__(
        self,
        store: ObjectStore,
        cfg: HostConfig,
        *,
        on_deployment: Callable[[Deployment], None],
        send: Callable[[HostId, Message], object],
        clock: Callable[[], Seconds] = time.monotonic,
    ) -> None:
        self._store = store
        self._on_deployment = on_deployment
        self._send = send
        self._clock = clock
        self._calls: set[asyncio.Task[None]] = set()
        self._ticker: asyncio.Task[None] | None = None
        self._deployment_applied = False
        self._follower = Follower(
            cfg.host,
            now=clock(),
            expects_peers=bool(cfg.seeds),
            first_nonce=secrets.randbits(_NONCE_BITS),
        )

    @property
    def version(self) -> SettingsVersion:
        """Return the active version on this host, 0 for none."""
        return self._follower.version

    @property
    def deployment(self) -> Deployment | None:
        """Return the active deployment on this host."""
        return self._follower.deployment

    @property
    def recent_entries(self) -> tuple[AuditEntry, ...]:
        """Return the newest audit entries without a call to the platform."""
        root = self._follower.root
        return root.recent if root else ()

    def is_current(self, now: Seconds | None = None) -> bool:
        """Return whether this host may accept new work with its settings."""
        now = self._clock() if now is None else now
        return self._deployment_applied and self._follower.is_current(now)

    async def start(self) -> None:
        """Start to follow the settings."""
        self._ticker = asyncio.create_task(keep_running(self._tick))

    async def stop(self) -> None:
        """Cancel all calls and wait for them to end."""
        tasks = [*self._calls, *([self._ticker] if self._ticker else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._ticker = None

    def receive(self, sender: HostId, message: Message) -> bool:
        """Handle a peer's message; return False if it isn't about settings."""
        if not isinstance(message, _MESSAGES):
            return False
        event = PeerReceived(now=self._clock(), sender=sender, message=message)
        self._handle(event)
        return True

    def set_peers(self, versions: Mapping[HostId, SettingsVersion]) -> None:
        """Replace the live hosts, and the settings version that each last reported."""
        self._handle(PeersSeen(now=self._clock(), versions=dict(versions)))

    async def _tick(self) -> None:
        while True:
            self._handle(Ticked(now=self._clock()))
            await asyncio.sleep(TICK_INTERVAL)

    def _handle(self, event: Event) -> None:
        for effect in reduce(self._follower, event):
            self._perform(effect)

    @singledispatchmethod
    def _perform(self, effect: Effect) -> None:
        raise NotImplementedError(type(effect).__name__)

    @_perform.register
    def _send_message(self, effect: SendToHost) -> None:
        self._send(effect.host, effect.message)

    @_perform.register
    def _apply_deployment(self, effect: PutInForce) -> None:
        _log.info("settings_in_force", version=effect.root.version)
        self._deployment_applied = False
        try:
            self._on_deployment(effect.deployment)
            self._deployment_applied = True
        except Exception:
            # The follower must continue, or this host would miss all later versions.
            _log.exception("settings_callback_failed", version=effect.root.version)

    @_perform.register
    def _log_rejection(self, effect: RejectRoot) -> None:
        _log.error("settings_rejected", version=effect.version, reason=effect.reason)

    @_perform.register
    def _read_root(self, effect: ReadRoot) -> None:
        self._spawn(self._get_root())

    @_perform.register
    def _watch_root(self, effect: WatchRoot) -> None:
        self._spawn(self._watch(effect))

    @_perform.register
    def _read_chunk(self, effect: ReadChunk) -> None:
        self._spawn(self._get_chunk(effect))

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _get_root(self) -> None:
        requested_at = self._clock()
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                stored = await self._store.get(ROOT_KEY)
        except (AmaranthferryError, TimeoutError):
            self._handle(RootReadFailed(now=self._clock()))
            return
        self._handle(
            RootRead(
                now=self._clock(),
                requested_at=requested_at,
                value=stored.value if stored else None,
                revision=stored.version if stored else 0,
            )
        )

    async def _watch(self, effect: WatchRoot) -> None:
        requested_at = self._clock()
        try:
            # A connection may stop responding for good, so the wait is bounded here.
            async with asyncio.timeout(effect.timeout + WATCH_MARGIN):
                changed = await self._store.watch(
                    ROOT_KEY, since=effect.since, timeout=effect.timeout
                )
        except (AmaranthferryError, TimeoutError):
            self._handle(RootReadFailed(now=self._clock()))
            return
        roots = [stored for stored in changed if stored.key == ROOT_KEY]
        self._handle(
            RootRead(
                now=self._clock(),
                requested_at=requested_at,
                value=roots[-1].value if roots else None,
                revision=roots[-1].version if roots else 0,
            )
        )

    async def _get_chunk(self, effect: ReadChunk) -> None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                stored = await self._store.get(effect.key)
        except (AmaranthferryError, TimeoutError):
            self._handle(ChunkReadFailed(now=self._clock(), digest=effect.digest))
            return
        value = stored.value if stored else None
        self._handle(ChunkRead(now=self._clock(), digest=effect.digest, value=value))
