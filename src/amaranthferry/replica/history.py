"""Retain recent changes of one kind for other hosts, within a number of bytes."""

import msgspec
import structlog

from ..config import MEBIBYTE
from ..gateway.log_events import LogEvent
from ..messages import ObjectChange

DEFAULT_MAX_BYTES = MEBIBYTE
#: What a retained change takes besides its encoded form.
CHANGE_COST_BYTES = 256
_log = structlog.get_logger(__name__)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ObjectChange)


class _Retained(msgspec.Struct, frozen=True):
    revision: int
    data: bytes

    @property
    def size(self) -> int:
        return len(self.data) + CHANGE_COST_BYTES


class ChangeHistory:
    """Retain the latest change of each object, the newest ones up to a size.

    A host that is behind needs no change that a later one has replaced. The newest
    change is retained whatever its size, so that other hosts needn't read the store
    after each one.
    """

    def __init__(self, kind: str, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self.size = 0
        #: The revision after which all changes are retained.
        self.oldest_revision = 0
        self._kind = kind
        self._max_bytes = max_bytes
        #: The changes by the name of their object, in the order of their revisions.
        self._changes: dict[str, _Retained] = {}

    def __len__(self) -> int:
        return len(self._changes)

    @property
    def last_revision(self) -> int:
        """Return the revision of the newest change, or that of the reset before it."""
        if not self._changes:
            return self.oldest_revision
        return next(reversed(self._changes.values())).revision

    def reset(self, revision: int) -> None:
        """Forget all changes up to a revision."""
        self._changes.clear()
        self.size = 0
        self.oldest_revision = revision

    def record(self, change: ObjectChange) -> None:
        """Retain a change that is newer than all others."""
        try:
            data = _encoder.encode(change)
        except (OverflowError, TypeError, RecursionError, UnicodeEncodeError) as exc:
            _log.warning(
                LogEvent.UPDATE_NOT_SENDABLE, kind=self._kind, problem=str(exc)
            )
            self.reset(change.revision)
            return
        replaced = self._changes.pop(change.name, None)
        if replaced is not None:
            self.size -= replaced.size
        retained = _Retained(change.revision, data)
        self._changes[change.name] = retained
        self.size += retained.size
        while self.size > self._max_bytes and len(self._changes) > 1:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        name = next(iter(self._changes))
        dropped = self._changes.pop(name)
        self.size -= dropped.size
        self.oldest_revision = dropped.revision

    def since(self, revision: int) -> tuple[ObjectChange, ...] | None:
        """Return the changes after a revision, or None if some are not retained."""
        if revision < self.oldest_revision:
            return None
        return tuple(
            _decoder.decode(item.data)
            for item in self._changes.values()
            if item.revision > revision
        )
