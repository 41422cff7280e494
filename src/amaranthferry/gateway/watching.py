"""Follow one kind of objects in the store: list once, then watch the changes."""

import asyncio
import random
from typing import Protocol

import structlog

from ..exceptions import AmaranthferryError
from ..platform.store import Changes, HistoryGone, Listing, StoreClient
from ..types import Seconds
from .freshness import boot_time

FIRST_PAUSE: Seconds = 0.1
MAX_PAUSE: Seconds = 0.5
_log = structlog.get_logger(__name__)


class WatchOwner(Protocol):
    """Take what a watch finds; `sent` is when the read was sent."""

    def listed(self, listing: Listing, sent: Seconds) -> None:
        """Take all objects of the kind."""

    def changed(self, changes: Changes, sent: Seconds) -> None:
        """Take the changes since, which may be none."""

    def store_away(self) -> None:
        """Take a failed read."""

    def store_back(self) -> None:
        """Take the first read after failed ones, before its result."""


class KindWatch:
    """Run the reads of one kind for one owner."""

    def __init__(
        self, store: StoreClient, kind: str, owner: WatchOwner, *, wait: Seconds
    ) -> None:
        self._store = store
        self._kind = kind
        self._owner = owner
        self._wait = wait
        self._revision: int | None = None
        self._failures = 0

    async def run(self) -> None:
        """Read for ever; a failed read is tried again after a short pause."""
        while True:
            try:
                await self._read()
            except HistoryGone:
                _log.info("watch.history_gone", kind=self._kind)
                self._revision = None
            except AmaranthferryError as exc:
                self._fail(exc)
                pause = min(MAX_PAUSE, FIRST_PAUSE * 2 ** min(self._failures, 8))
                await asyncio.sleep(random.uniform(pause / 2, pause))

    async def _read(self) -> None:
        sent = boot_time()
        if self._revision is None:
            listing = await self._store.list(self._kind)
            self._succeed()
            self._revision = listing.revision
            self._owner.listed(listing, sent)
            return
        changes = await self._store.watch(self._kind, self._revision, wait=self._wait)
        self._succeed()
        self._revision = max(changes.at, self._revision)
        self._owner.changed(changes, sent)

    def _succeed(self) -> None:
        if self._failures:
            _log.info("store.regained", kind=self._kind, failures=self._failures)
            self._failures = 0
            self._owner.store_back()

    def _fail(self, exc: AmaranthferryError) -> None:
        if not self._failures:
            _log.warning("store.lost", kind=self._kind, problem=exc.message)
        self._failures += 1
        self._owner.store_away()
