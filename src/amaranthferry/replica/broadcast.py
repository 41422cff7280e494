"""Compress the changes of an update, which is forwarded along a tree of hosts.

A reader that sent a large update to every host itself would occupy a slow link for
longer than its peers wait for its replies.
"""

import zlib

import msgspec
import structlog

from ..exceptions import DECODE_ERRORS
from ..gateway.log_events import LogEvent
from ..messages import ObjectChange, StoreUpdate

#: Size above which changes are compressed.
MIN_PACKED_BYTES = 1_024
#: The fastest level; links are slow, but so are the hosts' processors.
COMPRESSION_LEVEL = 1
#: Limit of the decompressed changes of one update.
MAX_UNPACKED_BYTES = 4 * 1024 * 1024
_log = structlog.get_logger(__name__)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[ObjectChange, ...])


def pack(update: StoreUpdate, *, limit: int) -> StoreUpdate:
    """Return an update with large changes compressed.

    Changes over the limit, and those that can't be encoded, are left out.
    """
    if not update.changes:
        return update
    try:
        data = _encoder.encode(update.changes)
    except (OverflowError, TypeError, RecursionError) as exc:
        _log.warning(LogEvent.UPDATE_NOT_SENDABLE, kind=update.kind, problem=str(exc))
        return msgspec.structs.replace(update, changes=None)
    if len(data) <= min(MIN_PACKED_BYTES, limit):
        return update
    packed = zlib.compress(data, COMPRESSION_LEVEL)
    if len(packed) > limit or len(data) > MAX_UNPACKED_BYTES:
        return msgspec.structs.replace(update, changes=None)
    return msgspec.structs.replace(update, changes=None, packed=packed)


def unpack(update: StoreUpdate) -> tuple[ObjectChange, ...] | None:
    """Return the changes of an update, or None if it has none that can be read."""
    if not update.packed:
        return update.changes
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(update.packed, MAX_UNPACKED_BYTES)
        if not inflater.eof:
            problem = "The changes are truncated or too large."
        else:
            return _decoder.decode(data)
    except (zlib.error, *DECODE_ERRORS) as exc:
        problem = str(exc)
    _log.warning(LogEvent.UPDATE_UNREADABLE, kind=update.kind, problem=problem)
    return None
