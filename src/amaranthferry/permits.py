"""Account for granted permits, each of which is released exactly once."""

import math
from collections.abc import Iterable, Iterator

from .messages import PermitRequest, Registration, RunningWork
from .servers import Permit, ServerRecord
from .types import HostId, RequestId, Seconds

ORPHAN_TIMEOUT: Seconds = 30.0
#: Age up to which a permit may be missing from its host's registration, which may have
#: been sent before the grant arrived.
GRANT_GRACE: Seconds = 2.0
CLOSED_RETENTION: Seconds = 60.0


class PermitLedger:
    """Track a shard's permits by request, and the recently ended requests."""

    def __init__(self) -> None:
        self._permits: dict[RequestId, Permit] = {}
        #: The time at which requests ended, and after how many attempts.
        self.closed: dict[RequestId, tuple[Seconds, float]] = {}
        self._orphans = False

    def __len__(self) -> int:
        return len(self._permits)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._permits

    def __iter__(self) -> Iterator[Permit]:
        return iter(tuple(self._permits.values()))

    def get(self, request_id: RequestId) -> Permit | None:
        """Return a permit by its request id."""
        return self._permits.get(request_id)

    def mark_orphans(
        self,
        hosts: Iterable[HostId],
        now: Seconds,
        *,
        timeout: Seconds = ORPHAN_TIMEOUT,
    ) -> None:
        """Start the orphan timeout of lost hosts' permits; cancel it for live hosts."""
        live = frozenset(hosts)
        for permit in self:
            if permit.host in live:
                permit.orphaned_until = None
            elif permit.orphaned_until is None:
                permit.orphaned_until = now + timeout
        self._orphans = any(permit.orphaned_until for permit in self)

    def release_orphans(self, now: Seconds) -> None:
        """Release the permits of lost hosts whose orphan timeout has passed."""
        if not self._orphans:
            return
        for permit in self:
            if permit.orphaned_until is not None and permit.orphaned_until <= now:
                self.release(permit)
        self._orphans = any(p.orphaned_until for p in self)

    def release_unlisted(
        self, message: Registration, host: HostId, now: Seconds
    ) -> list[Permit]:
        """Release and return the permits that their host's registration doesn't list.

        A grant may have crossed the registration, so recent permits are kept.
        """
        listed = {work.request.request_id for work in message.running}
        listed.update(request.request_id for request in message.waiting)
        released = []
        for permit in self:
            if permit.host != host or now - permit.granted < GRANT_GRACE:
                continue
            if permit.request.request_id not in listed:
                self.release(permit)
                released.append(permit)
        return released

    def restore(
        self, work: RunningWork, host: HostId, record: ServerRecord, now: Seconds
    ) -> None:
        """Add the permit of a request that was dispatched under another coordinator."""
        request_id = work.request.request_id
        if request_id in self._permits or self.is_closed(work.request):
            return
        self.add(
            Permit(
                request=work.request,
                host=host,
                server=record,
                granted=now - work.elapsed,
                deadline=now + work.request.remaining,
                first_token_at=now,
                output_tokens=work.output_tokens,
            )
        )

    def add(self, permit: Permit) -> None:
        """Add a permit to the ledger and its server."""
        self._permits[permit.request.request_id] = permit
        permit.server.add_permit(permit)

    def move(self, permit: Permit, record: ServerRecord) -> None:
        """Move a permit to the server that has its run now."""
        permit.server.remove_permit(permit)
        permit.server = record
        record.add_permit(permit)

    def release(self, permit: Permit) -> None:
        """Remove a permit from the ledger and its server."""
        del self._permits[permit.request.request_id]
        permit.server.remove_permit(permit)

    def is_closed(self, request: PermitRequest) -> bool:
        """Return whether this attempt of a request or the request itself has ended."""
        _, attempts = self.closed.get(request.request_id, (0.0, -1))
        return len(request.excluded) <= attempts

    def close(
        self, request_id: RequestId, now: Seconds, *, attempts: float = math.inf
    ) -> None:
        """End a request or one attempt, so that a delayed message can't reopen it."""
        permit = self._permits.get(request_id)
        if permit is not None:
            self.release(permit)
        self.closed.pop(request_id, None)
        self.closed[request_id] = (now, attempts)

    def prune_closed(self, now: Seconds) -> None:
        """Remove closed requests that are too old for a delayed message."""
        while self.closed:
            request_id = next(iter(self.closed))
            if self.closed[request_id][0] > now - CLOSED_RETENTION:
                return
            del self.closed[request_id]
