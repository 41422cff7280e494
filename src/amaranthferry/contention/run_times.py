"""Estimate how long plain servers run a request."""

from collections.abc import Iterable

from ..messages import PermitRequest
from ..servers import ServerRecord
from ..types import Seconds


def mean_run_time(
    records: Iterable[ServerRecord], request: PermitRequest
) -> Seconds | None:
    """Return the shortest mean run time of the servers that could run a request.

    None means that there is no such server.
    """
    times = [
        record.outcomes.service_time for record in records if record.serves(request)
    ]
    return min(times, default=None)
