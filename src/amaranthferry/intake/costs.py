"""Estimate what connections and requests take in memory, beside their bytes."""

from ..config import KIBIBYTE
from ..memory import SMALL_BODY_BYTES

#: Protocol, parser, transport and socket of a connection.
CONNECTION_COST = 8 * KIBIBYTE
#: Scope, cycle and task of a request.
REQUEST_COST = 4 * KIBIBYTE
#: A field in the scope, decoded, and in the fields that are sent on.
FIELD_COST = 512
#: A body waits for its room in the buffer of its connection; a small one is copied once.
MAX_BODY_COST = 2 * SMALL_BODY_BYTES


def connection_size(
    *, fields: int, head: int, body: int, queued: int, pending: int, unread: int
) -> int:
    """Return the bytes that one connection takes.

    `head`, `body`, `pending` (not parsed) and `unread` (written) are bytes; `fields` and
    `queued` count the fields of the latest head and the requests that wait.
    """
    return (
        CONNECTION_COST
        + fields * FIELD_COST
        + head
        + min(body, MAX_BODY_COST)
        + queued * REQUEST_COST
        + pending
        + unread
    )
