"""Offer the baseline dispatchers, which leave admission to the engines."""

from collections.abc import Callable

from .bench_simulation import Record, Report, Simulation
from .types import Seconds, ServerId, Tokens

MAX_CONNECTION_RETRIES = 3


class _ImmediateDispatcher:
    """Dispatch every request as it arrives; the engines admit first in, first out."""

    def __init__(self) -> None:
        self._simulation: Simulation
        self._live: list[ServerId] = []

    def start(self, simulation: Simulation) -> None:
        """Prepare for a run."""
        self._simulation = simulation
        self._live = list(simulation.engines)

    def submit(self, record: Record, now: Seconds) -> None:
        """Dispatch, and try another engine when a connection is refused."""
        refused: set[ServerId] = set()
        while record.tries <= MAX_CONNECTION_RETRIES:
            candidates = [server for server in self._live if server not in refused]
            if not candidates:
                break
            server = self._choose(candidates, record)
            if self._simulation.dispatch(record, server, now):
                self._record_dispatch(record, server)
                return
            refused.add(server)
        self._simulation.shed(record, now)

    def withdraw(self, record: Record, now: Seconds) -> None:
        """Do nothing: nothing waits here."""

    def admitted(self, record: Record, now: Seconds) -> None:
        """Take the engine's admission as the shard's."""
        record.admitted = now

    def first_token(self, record: Record, now: Seconds) -> None:
        """Do nothing: nothing is learned."""

    def released(self, record: Record, now: Seconds, *, failed: bool) -> None:
        """Do nothing: nothing is counted."""

    def reported(self, report: Report, now: Seconds) -> None:
        """Do nothing: reports are not read."""

    def server_changed(self, server: ServerId, now: Seconds, *, live: bool) -> None:
        """Leave a lost engine out, and take it back in when it returns."""
        if live:
            self._live.append(server)
        else:
            self._live.remove(server)

    def _choose(self, candidates: list[ServerId], record: Record) -> ServerId:
        raise NotImplementedError

    def _record_dispatch(self, record: Record, server: ServerId) -> None:
        pass


class RoundRobin(_ImmediateDispatcher):
    """Take the engines in turn."""

    def __init__(self) -> None:
        super().__init__()
        self._next = 0

    def _choose(self, candidates: list[ServerId], record: Record) -> ServerId:
        self._next += 1
        return candidates[self._next % len(candidates)]


class LeastRequests(_ImmediateDispatcher):
    """Take the engine with the fewest requests outstanding, counted exactly."""

    def __init__(self) -> None:
        super().__init__()
        self._counts: dict[ServerId, int] = {}

    def _choose(self, candidates: list[ServerId], record: Record) -> ServerId:
        return min(candidates, key=lambda server: self._counts.get(server, 0))

    def _record_dispatch(self, record: Record, server: ServerId) -> None:
        self._counts[server] = self._counts.get(server, 0) + 1

    def released(self, record: Record, now: Seconds, *, failed: bool) -> None:
        """Count a request out."""
        assert record.server is not None
        self._counts[record.server] -= 1


class LeastTokens(_ImmediateDispatcher):
    """Take the engine whose last report shows the fewest tokens outstanding."""

    def __init__(self) -> None:
        super().__init__()
        self._tokens: dict[ServerId, Tokens] = {}

    def _choose(self, candidates: list[ServerId], record: Record) -> ServerId:
        return min(candidates, key=lambda server: self._tokens.get(server, 0))

    def reported(self, report: Report, now: Seconds) -> None:
        """Replace what is known of an engine's load."""
        self._tokens[report.server] = report.tokens


BASELINES: dict[str, Callable[[], _ImmediateDispatcher]] = {
    "round-robin": RoundRobin,
    "least-requests": LeastRequests,
    "least-tokens": LeastTokens,
}
