"""Read the audit trail from the platform, or from a host in an outage."""

import aiohttp
import msgspec

from .exceptions import DECODE_ERRORS, AmaranthferryError, StoreUnavailable
from .objects import HttpObjectStore
from .publish import read_history
from .root import AuditEntry
from .types import Seconds

HOST_AUDIT_PATH = "/operator/audit"
HOST_TIMEOUT: Seconds = 5.0


class AuditTrail(msgspec.Struct, frozen=True):
    """Store audit entries, oldest first, and the source that they were read from."""

    source: str
    entries: tuple[AuditEntry, ...]


def encode_entries(entries: tuple[AuditEntry, ...]) -> bytes:
    """Encode a host's response at `HOST_AUDIT_PATH` as JSON."""
    return msgspec.json.encode(entries)


async def read_from_platform(url: str, *, limit: int) -> AuditTrail:
    """Read the newest entries from the platform."""
    async with HttpObjectStore(url) as store:
        return AuditTrail("platform", await read_history(store, limit=limit))


async def read_from_host(url: str, *, operator_key: str, limit: int) -> AuditTrail:
    """Read the newest entries from a host."""
    headers = {"Authorization": f"Bearer {operator_key}"}
    timeout = aiohttp.ClientTimeout(total=HOST_TIMEOUT)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url.rstrip("/") + HOST_AUDIT_PATH, headers=headers) as response,
        ):
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        raise StoreUnavailable(
            f"The host {url} can't be reached ({type(exc).__name__}).",
            remedy="Name another entry host with --host.",
        ) from exc
    if response.status != 200:
        raise AmaranthferryError(
            f"The host {url} answered with status {response.status}.",
            remedy="Check --operator-key and that --host is an entry host.",
        )
    entries = _decode_entries(body, url)
    return AuditTrail(url, entries[-limit:])


def _decode_entries(body: bytes, url: str) -> tuple[AuditEntry, ...]:
    try:
        return msgspec.json.decode(body, type=tuple[AuditEntry, ...])
    except DECODE_ERRORS as exc:
        raise AmaranthferryError(
            f"The host {url} sent a malformed audit trail.",
            remedy="Check that --host is an entry host of this release.",
        ) from exc
