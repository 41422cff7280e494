"""Split a byte stream between entry hosts into length-prefixed frames."""

import struct
from collections.abc import Iterator

from .exceptions import FrameError

MAX_FRAME_BYTES = 1024 * 1024
MAX_HANDSHAKE_BYTES = 1024

_HEADER = struct.Struct(">I")

#: A frame without a payload proves that the connection still carries bytes.
HEARTBEAT = _HEADER.pack(0)


def pack_frame(payload: bytes) -> bytes:
    """Return a frame with its length header; raise FrameError when too long."""
    _check_length(len(payload), MAX_FRAME_BYTES)
    return _HEADER.pack(len(payload)) + payload


class FrameReader:
    """Buffer received bytes and yield the payload of each complete frame."""

    def __init__(self, limit: int = MAX_FRAME_BYTES) -> None:
        self.limit = limit
        self._buffer = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Return the number of buffered bytes of an incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Process received bytes; raise FrameError at a frame over the limit."""
        self._buffer += data
        start = 0
        try:
            while len(self._buffer) - start >= _HEADER.size:
                (length,) = _HEADER.unpack_from(self._buffer, start)
                _check_length(length, self.limit)
                end = start + _HEADER.size + length
                if end > len(self._buffer):
                    break
                payload = bytes(self._buffer[start + _HEADER.size : end])
                start = end
                yield payload
        finally:
            del self._buffer[:start]


def _check_length(length: int, limit: int) -> None:
    if length > limit:
        raise FrameError(
            f"A peer frame of {length} bytes is over the limit of {limit}.",
            remedy="Split the message, or check that the sender is an entry host.",
        )
