"""Call the platform's metadata store over HTTP."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar
from urllib.parse import quote

import msgspec

from ..config import MEBIBYTE
from ..exceptions import (
    DECODE_ERRORS,
    AmaranthferryError,
    AnswerLost,
    StoreUnavailable,
    VersionConflict,
)
from ..http_connection import BrokenAnswer, HttpConnection
from ..replica.items import (
    ItemReader,
    NotSplittable,
    Unreadable,
    decode_items,
    split_members,
)
from ..types import Position, Seconds, StoreEra

ERA_HEADER = "store-era"
CONNECT_TIMEOUT: Seconds = 0.5
CALL_TIMEOUT: Seconds = 2.0
#: Time after the end of its wait in which a watch has to be answered.
WATCH_TIMEOUT: Seconds = 1.5
MAX_ERA_DIGITS = 18
#: Size of changes above which a list, which has each object once, takes less memory.
MAX_CHANGES_BYTES = 4 * MEBIBYTE
_PAGE_LIMIT = 10_000

_Body = TypeVar("_Body")


class HistoryGone(StoreUnavailable):  # noqa: N818
    """Report that the store no longer keeps the changes since a revision."""


class EraRefused(StoreUnavailable):  # noqa: N818
    """Report an answer whose era is unreadable or older than one already seen."""


class Metadata(msgspec.Struct, rename="camel"):
    """Describe an object's metadata, maintained by the store."""

    name: str
    revision: int = 0
    created: int = 0
    finalizers: list[str] = []
    deletion_pending: bool = False


class StoredObject(msgspec.Struct):
    """Represent an object of the store; one that can't be read has no spec."""

    metadata: Metadata
    spec: Any = None
    status: Any = None

    @property
    def name(self) -> str:
        """Return the object's name."""
        return self.metadata.name

    @property
    def revision(self) -> int:
        """Return the revision of the object's last change."""
        return self.metadata.revision


class Listing(msgspec.Struct):
    """List all objects of a kind at a revision, and those that can't be read."""

    entries: list[StoredObject]
    revision: int
    era: StoreEra = StoreEra(0)
    unreadable: list[Unreadable] = []

    @property
    def position(self) -> Position:
        """Return the state of the store that the list shows."""
        return Position(self.era, self.revision)


class Change(msgspec.Struct):
    """Describe a change of an object."""

    object: StoredObject
    deleted: bool = False


class Changes(msgspec.Struct):
    """List the changes of a kind up to a revision, and those that can't be read."""

    events: list[Change]
    at: int
    era: StoreEra = StoreEra(0)
    unreadable: list[Unreadable] = []

    @property
    def position(self) -> Position:
        """Return the state of the store that the changes lead to."""
        return Position(self.era, self.at)


class _Page(msgspec.Struct, rename="camel"):
    entries: list[StoredObject]
    at: int
    has_more: bool = False


class _Events(msgspec.Struct):
    events: list[Change]
    at: int


class _Answer(NamedTuple):
    body: bytearray
    era: StoreEra


class StoreClient:
    """Call the store; concurrent calls use separate connections.

    Calls raise StoreUnavailable if nothing was changed, AnswerLost if it may have been.
    `on_era` is called with the old and the new era when the store has been restored.
    """

    def __init__(self, address: str, *, max_idle: int = 4) -> None:
        self.on_era: Callable[[StoreEra, StoreEra], None] = lambda old, new: None
        self.era: StoreEra | None = None
        self._address = address
        self._idle: list[HttpConnection] = []
        self._max_idle = max_idle
        self.calls = 0

    async def stop(self) -> None:
        """Close every idle connection."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    async def list(self, kind: str) -> Listing:
        """Read all objects of a kind, page by page."""
        entries: list[StoredObject] = []
        unreadable: list[Unreadable] = []
        after, first = "", None
        for _ in range(_PAGE_LIMIT):
            query = f"?sinceRevision={quote(after, safe='')}" if after else ""
            answer = await self._call("GET", f"/objects/{kind}{query}")
            page, left_out = _read_items(answer.body, _Page, "entries", _read_object)
            entries += page.entries
            unreadable += left_out
            first = first or Position(answer.era, page.at)
            if answer.era != first.era:
                raise StoreUnavailable(
                    f"The store was restored while {kind} were listed.",
                    remedy="List the objects again.",
                )
            if not page.has_more or not (page.entries or left_out):
                return Listing(entries, first.revision, first.era, unreadable)
            if not page.entries or page.entries[-1].name == after:
                raise _unreadable_error(f"The list of {kind} ends after {after!r}.")
            after = page.entries[-1].name
        raise _unreadable_error(f"The list of {kind} has over {_PAGE_LIMIT} pages.")

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, or None if it does not exist."""
        try:
            answer = await self._call("GET", _path(kind, name))
        except _NotFound:
            return None
        return _decode(answer.body, StoredObject)

    async def watch(self, kind: str, revision: int, *, wait: Seconds) -> Changes:
        """Wait for changes after a revision; raise HistoryGone if it is too old."""
        query = f"?watch={revision}&waitMs={int(wait * 1_000)}"
        path = f"/objects/{kind}{query}"
        answer = await self._call("GET", path, wait=wait)
        if len(answer.body) > MAX_CHANGES_BYTES:
            raise HistoryGone("The changes are too many.", remedy="List the objects.")
        found, unreadable = _read_items(answer.body, _Events, "events", _read_event)
        return Changes(found.events, found.at, answer.era, unreadable)

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object; raise VersionConflict when it exists."""
        body = {"metadata": {"name": name}, "spec": spec}
        return await self._write("POST", f"/objects/{kind}", body)

    async def put_status(
        self, kind: str, name: str, revision: int, status: Any
    ) -> StoredObject:
        """Write a status; raise VersionConflict if the object has another revision."""
        body = {"metadata": {"name": name, "revision": revision}, "status": status}
        return await self._write("PUT", f"{_path(kind, name)}/status", body)

    async def _write(self, method: str, path: str, body: Any) -> StoredObject:
        answer = await self._call(method, path, msgspec.json.encode(body))
        try:
            return _decode(answer.body, StoredObject)
        except StoreUnavailable as exc:
            raise AnswerLost(exc.message, remedy="Read the object back.") from exc

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        try:
            await self._call("DELETE", _path(kind, name))
        except _NotFound:
            return

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        wait: Seconds | None = None,
    ) -> _Answer:
        self.calls += 1
        conn = await self._connection()
        sent = False
        try:
            headers = [("host", self._address)]
            if body:
                headers.append(("content-type", "application/json"))
            conn.send(method, path, headers, body)
            sent = True
            async with asyncio.timeout(
                CALL_TIMEOUT if wait is None else wait + WATCH_TIMEOUT
            ):
                start = await conn.start()
                answer = await conn.body()
        except (BrokenAnswer, TimeoutError, OSError) as exc:
            conn.abort()
            raise _call_error(exc, method, sent=sent) from exc
        except asyncio.CancelledError:
            conn.abort()
            raise
        self._release(conn)
        era = self._check_era(start.fields(), method)
        return _Answer(_check_status(start.status, answer), era)

    def _check_era(self, fields: Mapping[str, str], method: str) -> StoreEra:
        """Return the era of an answer; one without the header is of the known era."""
        text = fields.get(ERA_HEADER)
        known = self.era
        era = StoreEra(known or 0) if text is None else _parse_era(text)
        if era is None or era < (known or 0):
            problem = f"The store's answer is of era {text!r}, not {known} or later."
            if method != "GET":
                raise AnswerLost(problem, remedy="Read the object back.")
            raise EraRefused(problem, remedy="Try again after a pause.")
        self.era = era
        if known is not None and era != known:
            self.on_era(known, era)
        return era

    async def _connection(self) -> HttpConnection:
        while self._idle:
            conn = self._idle.pop()
            if conn.reusable:
                return conn
            conn.abort()
        try:
            return await HttpConnection.open(self._address, timeout=CONNECT_TIMEOUT)
        except (OSError, TimeoutError) as exc:
            raise StoreUnavailable(
                f"Cannot connect to the store at {self._address}: {str(exc) or 'timeout'}.",
                remedy="Check the store's address and the network.",
            ) from exc

    def _release(self, conn: HttpConnection) -> None:
        if conn.reusable and len(self._idle) < self._max_idle:
            self._idle.append(conn)
        else:
            conn.close()


class _NotFound(AmaranthferryError):  # noqa: N818
    """Report that an object does not exist; internal to this module."""


def _path(kind: str, name: str) -> str:
    return f"/objects/{kind}/{quote(name, safe='')}"


def _parse_era(text: str) -> StoreEra | None:
    readable = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
    return StoreEra(int(text)) if readable else None


def _check_status(status: int, body: bytearray) -> bytearray:
    if status < 300:
        return body
    if status == 404:
        raise _NotFound("There is no such object.", remedy="Read the objects again.")
    if status == 409:
        raise VersionConflict(
            "The object exists already or has another version.",
            remedy="Read the object again before another write.",
        )
    if status == 410:
        raise HistoryGone(
            "The store no longer keeps these changes.", remedy="List the objects again."
        )
    raise StoreUnavailable(
        f"The store answered with status {status}.", remedy="Try again after a pause."
    )


def _call_error(exc: Exception, method: str, *, sent: bool) -> Exception:
    problem = f"The store's answer was lost: {str(exc) or 'timeout'}."
    if sent and method != "GET":
        return AnswerLost(problem, remedy="Read the object back before a retry.")
    return StoreUnavailable(problem, remedy="Try again after a pause.")


def _decode(body: bytearray, kind: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as exc:
        raise _unreadable_error(f"The store's answer can't be read: {exc}.") from exc


def _read_items(
    body: bytearray, kind: type[_Body], field: str, read_item: ItemReader
) -> tuple[_Body, list[Unreadable]]:
    """Decode an answer, each item of a field by itself where that is needed."""
    try:
        return decode_items(body, kind, field, read_item)
    except (*DECODE_ERRORS, NotSplittable) as exc:
        raise _unreadable_error(f"The store's answer can't be read: {exc}.") from exc


def _read_object(raw: bytes, unreadable: list[Unreadable]) -> StoredObject:
    """Decode an object; one whose metadata alone can be read has no spec."""
    try:
        return msgspec.json.decode(raw, type=StoredObject)
    except DECODE_ERRORS as exc:
        metadata = msgspec.json.decode(
            split_members(raw).get(b"metadata", b""), type=Metadata
        )
        unreadable.append(Unreadable(metadata.name, metadata.revision, str(exc)))
        return StoredObject(metadata)


def _read_event(raw: bytes, unreadable: list[Unreadable]) -> Change:
    """Decode a change; one whose object can't be read has an object without a spec."""
    try:
        return msgspec.json.decode(raw, type=Change)
    except DECODE_ERRORS:
        members = split_members(raw)
        deleted = msgspec.json.decode(members.get(b"deleted", b"false"), type=bool)
        return Change(_read_object(members.get(b"object", b""), unreadable), deleted)


def _unreadable_error(problem: str) -> StoreUnavailable:
    return StoreUnavailable(problem, remedy="Check the store's release.")
