"""Define the interface of the platform's object API."""

from enum import StrEnum
from typing import Protocol

import msgspec

from .exceptions import AnswerLost, StoreUnavailable, VersionConflict
from .types import Seconds, ServerId, ServerState

MAX_VALUE_BYTES = 1_000_000


class StoredObject(msgspec.Struct, frozen=True):
    """Represent one object; a later write always has a greater version."""

    key: str
    version: int
    value: bytes


class ListedServer(msgspec.Struct, frozen=True):
    """Represent one entry of the lagging list of backend servers."""

    name: ServerId
    state: ServerState


class CallKind(StrEnum):
    """Define the kinds of calls that the platform counts."""

    GET = "get"
    PUT = "put"
    DELETE = "delete"
    LIST = "list"
    WATCH = "watch"
    HOSTS = "hosts"


class ObjectStore(Protocol):
    """Read and conditionally update versioned objects.

    Reads raise `StoreUnavailable`. Writes raise it when nothing was changed,
    `AnswerLost` when the write may have taken effect or may yet do so, and
    `VersionConflict` when the object's version is not the expected one.
    """

    async def get(self, key: str) -> StoredObject | None:
        """Read an object."""

    async def put(self, key: str, value: bytes, *, expected: int) -> int:
        """Write an object at version `expected`, 0 for none; return the new version."""

    async def delete(self, key: str, *, expected: int) -> None:
        """Delete an object whose version is `expected`."""

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> tuple[StoredObject, ...]:
        """List objects in key order, from the first key greater than `after`."""

    async def watch(
        self, prefix: str, *, since: int, timeout: Seconds
    ) -> tuple[StoredObject, ...]:
        """Wait up to `timeout` seconds for objects with a version over `since`."""


def unavailable(cause: object) -> StoreUnavailable:
    """Return the error for a call that changed nothing."""
    return StoreUnavailable(
        f"The call to the object API failed ({cause}).",
        remedy="Nothing was changed; try again when the object API answers.",
    )


def answer_lost(cause: object) -> AnswerLost:
    """Return the error for a write whose effect is unknown."""
    return AnswerLost(
        f"The object API's answer to a write was lost ({cause}).",
        remedy="Read the object back before writing again.",
    )


def version_conflict(key: str, expected: int) -> VersionConflict:
    """Return the error for a write whose expected version is out of date."""
    return VersionConflict(
        f"The object {key!r} no longer has version {expected}.",
        remedy="Read it again and repeat the change on the newer version.",
    )
