"""Store objects in memory, for tests and stand-ins."""

import asyncio
from typing import Any

from .object_store import (
    MAX_VALUE_BYTES,
    CallKind,
    StoredObject,
    answer_lost,
    unavailable,
    version_conflict,
)
from .types import Seconds


class MemoryObjectStore:
    """Store objects in memory, with injectable faults.

    `outage` refuses every call. `lose_answers` drops the answers of the next
    writes after they took effect. While `gate` is set and not open, calls wait,
    and a write whose caller has stopped waiting still takes effect once it opens.
    """

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.calls: dict[CallKind, int] = dict.fromkeys(CallKind, 0)
        self.outage = False
        self.lose_answers = 0
        self.gate: asyncio.Event | None = None
        self._changed = asyncio.Condition()
        self._pending_writes: set[asyncio.Task[int]] = set()

    async def get(self, key: str) -> StoredObject | None:
        """Read an object."""
        await self._admit(CallKind.GET)
        return self.objects.get(key)

    async def put(self, key: str, value: bytes, *, expected: int) -> int:
        """Write an object at version `expected`, 0 for none; return the new version."""
        if len(value) > MAX_VALUE_BYTES:
            raise unavailable(f"the value is over {MAX_VALUE_BYTES} bytes")
        return await self._shield_write(self._put(key, value, expected))

    async def delete(self, key: str, *, expected: int) -> None:
        """Delete an object whose version is `expected`."""
        await self._shield_write(self._delete(key, expected))

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> tuple[StoredObject, ...]:
        """List objects in key order, from the first key greater than `after`."""
        await self._admit(CallKind.LIST)
        keys = sorted(key for key in self.objects if key.startswith(prefix))
        return tuple(self.objects[key] for key in keys if key > after)[:limit]

    async def watch(
        self, prefix: str, *, since: int, timeout: Seconds
    ) -> tuple[StoredObject, ...]:
        """Wait up to `timeout` seconds for objects with a version over `since`."""
        await self._admit(CallKind.WATCH)
        try:
            async with asyncio.timeout(timeout), self._changed:
                while not (found := self._newer(prefix, since)):
                    await self._changed.wait()
                return found
        except TimeoutError:
            return ()

    async def _admit(self, kind: CallKind) -> None:
        self.calls[kind] += 1
        if self.outage:
            raise unavailable("outage")
        if self.gate is not None:
            await self.gate.wait()

    async def _shield_write(self, write: Any) -> int:
        task: asyncio.Task[int] = asyncio.ensure_future(write)
        self._pending_writes.add(task)
        task.add_done_callback(self._finish_write)
        return await asyncio.shield(task)

    def _finish_write(self, task: asyncio.Task[int]) -> None:
        self._pending_writes.discard(task)
        if not task.cancelled():
            task.exception()

    async def _put(self, key: str, value: bytes, expected: int) -> int:
        await self._admit(CallKind.PUT)
        self._check_version(key, expected)
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)
        return await self._answer_write(self.revision)

    async def _delete(self, key: str, expected: int) -> int:
        await self._admit(CallKind.DELETE)
        self._check_version(key, expected)
        self.revision += 1
        self.objects.pop(key, None)
        return await self._answer_write(self.revision)

    def _check_version(self, key: str, expected: int) -> None:
        stored = self.objects.get(key)
        if (stored.version if stored else 0) != expected:
            raise version_conflict(key, expected)

    async def _answer_write(self, version: int) -> int:
        async with self._changed:
            self._changed.notify_all()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise answer_lost("dropped")
        return version

    def _newer(self, prefix: str, since: int) -> tuple[StoredObject, ...]:
        found = [
            stored
            for key, stored in self.objects.items()
            if key.startswith(prefix) and stored.version > since
        ]
        return tuple(sorted(found, key=lambda stored: stored.version))
