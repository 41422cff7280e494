"""Define the limits of a connection, and watch how its client reads."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import httptools
import msgspec
from uvicorn.protocols.http.flow_control import FlowControl

from ..bodies import BODY_TIMEOUT
from ..config import KIBIBYTE
from ..types import Seconds

#: Key of a request's `FlowState` in its ASGI state.
FLOW_STATE = "flow"
UPGRADE = b"upgrade"
Fields = list[tuple[bytes, bytes]]


class FlowState(Protocol):
    """Tell whether writes to a connection have to wait for its peer to read."""

    write_paused: bool


class HeadTooLarge(Exception):  # noqa: N818
    """Report a request whose head is over the limit; internal."""


class ConnectionLimits(msgspec.Struct):
    """Define what a connection may send, and in which time."""

    #: Bytes and time of a head.
    head_size: int = 64 * KIBIBYTE
    head_time: Seconds = 10.0
    #: Time for the beginning of the first request.
    first_idle: Seconds = 15.0
    #: Time for the rest of a body whose request is already answered.
    late_body: Seconds = BODY_TIMEOUT
    #: Time in which some of what is left of the responses is read.
    unread: Seconds = 30.0


class Flow(FlowControl):
    """Pause reading also while enough bytes wait to be parsed."""

    has_enough = False

    def resume_reading(self) -> None:
        """Read on unless enough bytes wait."""
        if not self.has_enough:
            super().resume_reading()


class UnreadWatch:
    """Call back once a client has read nothing of its responses for a time."""

    def __init__(
        self,
        transport: asyncio.Transport,
        period: Seconds,
        on_stalled: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._period = period
        self._on_stalled = on_stalled
        self._timer: asyncio.TimerHandle | None = None

    def watch(self) -> None:
        """Begin to watch a connection on which nothing more is written for now."""
        size = self._transport.get_write_buffer_size()
        if size and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._period, self._check, size)

    def stop(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self, before: int) -> None:
        self._timer = None
        if self._transport.get_write_buffer_size() >= before:
            self._on_stalled()
        else:
            self.watch()


def announced_length(fields: Fields) -> int:
    """Return the length that a head names for its body, or 0 without one."""
    for name, value in fields:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0


def head_without_upgrade(
    parser: httptools.HttpRequestParser, url: bytes, fields: Fields
) -> bytes:
    """Return the head of the last parsed request without its Upgrade header."""
    version = parser.get_http_version().encode("ascii")
    lines = [b"%b %b HTTP/%b" % (parser.get_method(), url, version)]
    lines += [b"%b: %b" % (name, value) for name, value in fields if name != UPGRADE]
    return b"\r\n".join(lines) + b"\r\n\r\n"
