"""Call the platform's object API and read its list of backend servers."""

from typing import Any, Self
from urllib.parse import quote

import aiohttp
import msgspec

from .exceptions import DECODE_ERRORS, StoreUnavailable
from .memory_objects import MemoryObjectStore
from .object_store import (
    MAX_VALUE_BYTES,
    CallKind,
    ListedServer,
    ObjectStore,
    StoredObject,
    answer_lost,
    unavailable,
    version_conflict,
)
from .types import Seconds

__all__ = [
    "MAX_VALUE_BYTES",
    "CallKind",
    "HostListClient",
    "HttpObjectStore",
    "ListedServer",
    "MemoryObjectStore",
    "ObjectStore",
    "StoredObject",
    "answer_lost",
    "unavailable",
    "version_conflict",
]

DEFAULT_CALL_TIMEOUT: Seconds = 5.0
_WATCH_MARGIN: Seconds = 5.0
_REFUSED_STATUSES = frozenset({429, 503})


class HttpObjectStore:
    """Call the object API over HTTP; `timeout` bounds each call, in seconds."""

    def __init__(self, url: str, *, timeout: Seconds = DEFAULT_CALL_TIMEOUT) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        timeout = aiohttp.ClientTimeout(total=self._timeout)
        self._session = aiohttp.ClientSession(timeout=timeout)
        # aiohttp retries a PUT or DELETE when a kept-alive connection breaks. The
        # first one may have taken effect, and the retry would look like a conflict.
        self._session._retry_connection = False

    async def stop(self) -> None:
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.stop()

    async def get(self, key: str) -> StoredObject | None:
        """Read an object."""
        status, headers, body = await self._read(_path_of(key))
        if status == 404:
            return None
        _check_read(status)
        return StoredObject(key, _version_of(headers), body)

    async def put(self, key: str, value: bytes, *, expected: int) -> int:
        """Write an object at version `expected`, 0 for none; return the new version."""
        headers = await self._write("PUT", key, expected, value)
        try:
            return _version_of(headers)
        except StoreUnavailable as exc:
            raise answer_lost("no version in the answer") from exc

    async def delete(self, key: str, *, expected: int) -> None:
        """Delete an object whose version is `expected`."""
        await self._write("DELETE", key, expected, None)

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> tuple[StoredObject, ...]:
        """List objects in key order, from the first key greater than `after`."""
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        return await self._read_objects("/objects", params, self._timeout)

    async def watch(
        self, prefix: str, *, since: int, timeout: Seconds
    ) -> tuple[StoredObject, ...]:
        """Wait up to `timeout` seconds for objects with a version over `since`.

        A connection that stays silent past the timeout counts as unavailable.
        """
        params = {"prefix": prefix, "since": str(since), "timeout": str(timeout)}
        return await self._read_objects("/watch", params, timeout + _WATCH_MARGIN)

    async def _read_objects(
        self, path: str, params: dict[str, str], timeout: Seconds
    ) -> tuple[StoredObject, ...]:
        status, _, body = await self._read(path, params=params, timeout=timeout)
        _check_read(status)
        return _decode(body, tuple[StoredObject, ...])

    async def _read(
        self,
        path: str,
        *,
        params: dict[str, str] | None = None,
        timeout: Seconds | None = None,
    ) -> tuple[int, Any, bytes]:
        total = aiohttp.ClientTimeout(total=timeout or self._timeout)
        try:
            async with self._require_session().get(
                self._url + path, params=params, timeout=total
            ) as answer:
                return answer.status, answer.headers, await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise unavailable(type(exc).__name__) from exc

    async def _write(
        self, method: str, key: str, expected: int, value: bytes | None
    ) -> Any:
        condition = {"If-Match": str(expected)} if expected else {"If-None-Match": "*"}
        try:
            async with self._require_session().request(
                method, self._url + _path_of(key), data=value, headers=condition
            ) as answer:
                await answer.read()
        except aiohttp.ClientConnectorError as exc:
            raise unavailable(type(exc).__name__) from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise answer_lost(type(exc).__name__) from exc
        if answer.status == 412:
            raise version_conflict(key, expected)
        if answer.status in _REFUSED_STATUSES:
            raise unavailable(f"status {answer.status}")
        if answer.status not in (200, 204):
            raise answer_lost(f"status {answer.status}")
        return answer.headers

    def _require_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise unavailable("the client is not started")
        return self._session


def _path_of(key: str) -> str:
    return f"/objects/{quote(key, safe='/')}"


def _check_read(status: int) -> None:
    if status != 200:
        raise unavailable(f"status {status}")


def _version_of(headers: Any) -> int:
    try:
        return int(headers.get("ETag", "").strip('"'))
    except ValueError as exc:
        raise unavailable("no version in the answer") from exc


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as exc:
        raise unavailable("malformed answer") from exc


class HostListClient:
    """Read the platform's list of backend servers, which lags behind their state."""

    def __init__(self, url: str, *, timeout: Seconds = DEFAULT_CALL_TIMEOUT) -> None:
        self._store = HttpObjectStore(url, timeout=timeout)

    async def start(self) -> None:
        """Open the connection pool."""
        await self._store.start()

    async def stop(self) -> None:
        """Close the connection pool."""
        await self._store.stop()

    async def servers(self) -> tuple[ListedServer, ...]:
        """Read the list; raise `StoreUnavailable` when it can't be read."""
        status, _, body = await self._store._read("/hosts")
        _check_read(status)
        return _decode(body, tuple[ListedServer, ...])
