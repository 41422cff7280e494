"""Read request bodies within a time and a size limit."""

import asyncio
from collections.abc import AsyncIterable

from .exceptions import RequestError
from .types import Seconds

BODY_TIMEOUT: Seconds = 30.0


BODY_TOO_LARGE = "body_too_large"


async def read_body(chunks: AsyncIterable[bytes], limit: int) -> bytes:
    """Return a complete body of at most `limit` bytes; raise RequestError."""
    body = bytearray()
    try:
        async with asyncio.timeout(BODY_TIMEOUT):
            async for chunk in chunks:
                body += chunk
                if len(body) > limit:
                    raise _too_large(limit)
    except TimeoutError as exc:
        raise RequestError(
            "The body took too long to arrive.",
            remedy=f"Send it within {BODY_TIMEOUT:g} s.",
            status=408,
            code="body_timeout",
        ) from exc
    return bytes(body)


def _too_large(limit: int) -> RequestError:
    return RequestError(
        "The body is too large.",
        remedy=f"Send at most {limit} bytes.",
        status=413,
        code=BODY_TOO_LARGE,
    )
