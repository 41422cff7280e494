"""Watch one kind of objects in the store and retain recent changes for peers."""

from collections.abc import Callable, Iterable
from operator import attrgetter
from typing import Any, Protocol

import structlog
from msgspec.structs import replace

from ..exceptions import AmaranthferryError, StoreUnavailable
from ..gateway.log_events import LogEvent
from ..messages import ObjectChange
from ..platform.store import (
    Change,
    Changes,
    EraRefused,
    HistoryGone,
    Listing,
    StoreClient,
    StoredObject,
)
from ..types import HostId, Position, Seconds, SettingsVersion, StoreEra
from .freshness import Freshness, boot_time
from .history import DEFAULT_MAX_BYTES, ChangeHistory
from .items import Unreadable

#: Unreadable objects that are remembered so as not to be logged again.
MAX_UNREADABLE = 256
#: Failed reads in a row after which the objects are listed.
MAX_FAILED_WATCHES = 2
#: Lower than every revision, so that no changes since then are retained.
NO_REVISION = -1
#: Stands for the store itself where the source of a state is named.
STORE = HostId("")
_log = structlog.get_logger(__name__)


class ObjectCache(Protocol):
    """Define a cache of the objects of one kind."""

    @property
    def version(self) -> SettingsVersion:
        """Return the version of the cached state, or 0 for a kind without versions."""

    def replace(self, objects: list[ObjectChange]) -> None:
        """Replace all objects of the kind."""

    def restore(self, objects: list[ObjectChange]) -> None:
        """Replace all objects by those of a store that was restored from a copy."""

    def apply(self, changes: list[ObjectChange]) -> None:
        """Apply changes to the objects."""

    def mark_store_unavailable(self) -> None:
        """Handle a failed read."""

    def mark_store_available(self, since: Seconds) -> None:
        """Handle the first read after failed ones, before its result is applied.

        Another host may have read the store `since` a time already.
        """


class SyncState:
    """Track the known position, recent changes and freshness of one kind.

    A position of an older era never replaces one of a newer era.
    """

    def __init__(
        self,
        kind: str,
        cache: ObjectCache,
        freshness: Freshness,
        *,
        max_kept_bytes: int = DEFAULT_MAX_BYTES,
        contents_of: Callable[[StoredObject], Any] = attrgetter("spec"),
    ) -> None:
        self.kind = kind
        self._contents_of = contents_of
        self.freshness = freshness
        self.position: Position | None = None
        self.on_change: Callable[[int], None] = lambda since: None
        self.on_lost: Callable[[], None] = lambda: None
        self._cache = cache
        #: Changes for other hosts; one that is further behind reads the store itself.
        self._history = ChangeHistory(kind, max_kept_bytes)
        self._required_version = SettingsVersion(0)
        self._unavailable = False
        self._lost_at: Seconds = 0.0
        self._read_by_others_at: Seconds | None = None
        #: The host through which the state was last confirmed; empty for the store.
        self.source = STORE

    @property
    def revision(self) -> int | None:
        """Return the known revision, or None before the first read."""
        return None if self.position is None else self.position.revision

    @property
    def era(self) -> StoreEra:
        """Return the era of the known position."""
        return StoreEra(0) if self.position is None else self.position.era

    @property
    def version(self) -> SettingsVersion:
        """Return the version of the cached state, or 0 for a kind without versions."""
        return self._cache.version

    @property
    def store_lost(self) -> bool:
        """Return whether the latest read of the store from this host has failed."""
        return self._unavailable

    def require_version(self, version: SettingsVersion) -> None:
        """Distrust the state while its version is older than another host's.

        A restored store may hold an older version than is active on the other hosts.
        """
        if version <= max(self.version, self._required_version):
            return
        self._required_version = version
        self.freshness.reset()
        _log.warning(
            LogEvent.VERSION_SUPERSEDED,
            kind=self.kind,
            version=self.version,
            required=version,
        )

    def confirm(self, sent: Seconds, source: HostId = STORE) -> None:
        """Record that a read sent at a time has confirmed the state.

        `source` is the host that made the read, or empty for a read of this host.
        """
        self.source = source
        if self._unavailable and self._read_by_others_at is None:
            self._read_by_others_at = sent if sent > self._lost_at else None
        if self.version >= self._required_version:
            self.freshness.confirm(sent)

    def apply_list(self, listing: Listing, sent: Seconds) -> None:
        """Apply a complete list, from a read sent at the given time.

        An older list than what is known by now, from peers, only confirms it.
        """
        if listing.era < self.era:
            return
        self._mark_available(sent)
        before = self.position
        if before is None or listing.position >= before:
            self._history.reset(listing.revision)
            self.position = listing.position
            objects = [self._to_change(item) for item in listing.entries]
            if before is None or listing.era == before.era:
                self._cache.replace(objects)
            else:
                self._apply_restored(objects, before)
        self.confirm(sent)

    def _apply_restored(self, objects: list[ObjectChange], before: Position) -> None:
        """Replace the objects of an older era, and have the peers read them too."""
        _log.warning(
            LogEvent.STORE_RESTORED,
            kind=self.kind,
            era=self.era,
            revision=self.revision,
            lost_era=before.era,
            lost_revision=before.revision,
            objects=len(objects),
        )
        self._cache.restore(objects)
        self.on_change(NO_REVISION)

    def apply_changes(self, changes: Changes, sent: Seconds) -> None:
        """Apply the changes from a watch sent at the given time."""
        if changes.era != self.era:
            return
        self._mark_available(sent)
        found = [self._read_change(item, changes.at) for item in changes.events]
        self.advance(found, changes.at)
        self.confirm(sent)

    def _read_change(self, item: Change, at: int) -> ObjectChange:
        """Return a change; a removal may name the revision of the last write before."""
        change = self._to_change(item.object, item.deleted)
        return replace(change, revision=at) if item.deleted else change

    def _to_change(self, item: StoredObject, deleted: bool = False) -> ObjectChange:
        contents = self._contents_of(item)
        return ObjectChange(item.name, item.revision, deleted, contents)

    def advance(self, changes: list[ObjectChange], revision: int) -> None:
        """Apply the changes up to a revision, except those already known."""
        before = self.revision or 0
        unseen = [change for change in changes if change.revision > before]
        self.position = Position(self.era, max(before, revision))
        if not unseen:
            return
        # The revision of the latest retained change is enough for peers to continue
        # from: the store's revision also counts changes of other kinds.
        since = self.last_change
        for change in unseen:
            self._history.record(change)
        self._cache.apply(unseen)
        self.on_change(since)

    @property
    def kept_changes(self) -> int:
        """Return the number of changes that are retained for peers."""
        return len(self._history)

    @property
    def kept_bytes(self) -> int:
        """Return what the changes that are retained for peers take."""
        return self._history.size

    @property
    def last_change(self) -> int:
        """Return the revision of the latest change, or that of the list before it."""
        return self._history.last_revision

    def confirm_unchanged(self, found: Position, sent: Seconds) -> None:
        """Confirm the state by a read of another kind that showed the store's revision.

        One counter covers all kinds, so nothing has changed here unless it has moved on.
        """
        known = self.position
        if known is None or self._unavailable or known.era != found.era:
            return
        if known.revision >= found.revision:
            self.confirm(sent)

    def changes_since(self, revision: int) -> tuple[ObjectChange, ...] | None:
        """Return the changes after a revision, or None if some are not retained."""
        return None if self.revision is None else self._history.since(revision)

    def mark_unavailable(self, problem: str) -> None:
        """Record that the store cannot be read from this host."""
        self.mark_late(problem)
        self._cache.mark_store_unavailable()

    def mark_late(self, problem: str) -> None:
        """Record that an answer is late; the cache takes the store for available."""
        if not self._unavailable:
            _log.warning(LogEvent.STORE_LOST, kind=self.kind, problem=problem)
            self._unavailable = True
            self._lost_at = boot_time()
            self._read_by_others_at = None
            self.on_lost()

    def _mark_available(self, sent: Seconds) -> None:
        if self._unavailable:
            _log.info(LogEvent.STORE_REGAINED, kind=self.kind)
            self._unavailable = False
            self._cache.mark_store_available(self._read_by_others_at or sent)


class KindReader:
    """Read one kind of objects from the store."""

    def __init__(self, store: StoreClient, state: SyncState) -> None:
        self._store = store
        self._state = state
        self._unreadable: dict[str, int] = {}
        self._failures = 0
        #: Time that the store took for the latest read without a wait.
        self.latency: Seconds = 0.0
        #: Called with what a read without a wait has shown, and when it was sent.
        self.on_read: Callable[[Position, Seconds], None] = lambda found, sent: None

    async def read(self, wait: Seconds = 0.0) -> bool:
        """Make one read and return whether it succeeded."""
        succeeded = await self._try_read(wait)
        self._failures = 0 if succeeded else self._failures + 1
        return succeeded

    async def _try_read(self, wait: Seconds) -> bool:
        try:
            await self._read(wait)
        except EraRefused as exc:
            _log.warning(
                LogEvent.STORE_ERA_REFUSED, kind=self._state.kind, problem=exc.message
            )
            self._state.mark_unavailable(exc.message)
            return False
        except AmaranthferryError as exc:
            self._state.mark_unavailable(exc.message)
            return False
        return True

    async def _read(self, wait: Seconds) -> None:
        state, known = self._state, self._state.position
        if known is None or self._failures >= MAX_FAILED_WATCHES:
            # A list has each object once, while all changes may be too much to read.
            await self._list()
            return
        sent = boot_time()
        try:
            changes = await self._store.watch(state.kind, known.revision, wait=wait)
        except HistoryGone:
            _log.info(LogEvent.HISTORY_GONE, kind=state.kind, revision=known.revision)
            await self._list()
            return
        if changes.era > known.era:
            # The revision was of the old era, so these changes don't follow from it.
            await self._list()
            return
        _check_not_older(changes.position, known)
        self._record_unreadable(changes.unreadable)
        state.apply_changes(changes, sent)
        if not wait:
            self.latency = boot_time() - sent
            self.on_read(changes.position, sent)

    def _record_unreadable(self, found: Iterable[Unreadable]) -> None:
        """Log each object that can't be read once for each of its revisions."""
        for item in found:
            if self._unreadable.get(item.name) == item.revision:
                continue
            if len(self._unreadable) >= MAX_UNREADABLE:
                self._unreadable.clear()
            self._unreadable[item.name] = item.revision
            _log.error(
                LogEvent.OBJECT_UNREADABLE,
                kind=self._state.kind,
                name=item.name,
                revision=item.revision,
                problem=item.problem,
            )

    async def _list(self) -> None:
        sent, known = boot_time(), self._state.position
        listing = await self._store.list(self._state.kind)
        self._record_unreadable(listing.unreadable)
        if known is not None:
            _check_not_older(listing.position, known)
        self._state.apply_list(listing, sent)


def _check_not_older(found: Position, known: Position) -> None:
    """Raise StoreUnavailable for an answer from before what was known at its call."""
    if found < known:
        raise StoreUnavailable(
            f"The store answered from {found}, older than the known {known}.",
            remedy="Check that a restored store raises its era.",
        )
