"""Define the baseline dispatchers, which leave admission to the engines."""

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
        """Initialize the list of live engines."""
        self._simulation = simulation
        self._live = list(simulation.engines)

    def submit(self, record: Record, now: Seconds) -> None:
        """Dispatch at once; try another engine when a connection is refused."""
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
        """Do nothing: requests are dispatched on arrival and never wait here."""

    def admitted(self, record: Record, now: Seconds) -> None:
        """Record the engine's admission as the shard's."""
        record.admitted = now

    def first_token(self, record: Record, now: Seconds) -> None:
        """Do nothing: baselines do not measure latency."""

    def released(self, record: Record, now: Seconds, *, failed: bool) -> None:
        """Do nothing: outstanding requests are not counted."""

    def reported(self, report: Report, now: Seconds) -> None:
        """Do nothing: load reports are not used."""

    def server_changed(self, server: ServerId, now: Seconds, *, live: bool) -> None:
        """Exclude a lost engine, and include it again once it has recovered."""
        if live:
            self._live.append(server)
        else:
            self._live.remove(server)

    def _choose(self, candidates: list[ServerId], record: Record) -> ServerId:
        raise NotImplementedError

    def _record_dispatch(self, record: Record, server: ServerId) -> None:
        pass


class RoundRobin(_ImmediateDispatcher):
    """Choose the engines in turn."""

    def __init__(self) -> None:
        super().__init__()
        self._next = 0

    def _choose(self, candidates: list[ServerId], record: Record) -> ServerId:
        self._next += 1
        return candidates[self._next % len(candidates)]


class LeastRequests(_ImmediateDispatcher):
    """Choose the engine with the fewest outstanding requests, counted exactly."""

    def __init__(self) -> None:
        super().__init__()
        self._counts: dict[ServerId, int] = {}

    def _choose(self, candidates: list[ServerId], record: Record) -> ServerId:
        return min(candidates, key=lambda server: self._counts.get(server, 0))

    def _record_dispatch(self, record: Record, server: ServerId) -> None:
        self._counts[server] = self._counts.get(server, 0) + 1

    def released(self, record: Record, now: Seconds, *, failed: bool) -> None:
        """Decrement the count of outstanding requests."""
        assert record.server is not None
        self._counts[record.server] -= 1


class LeastTokens(_ImmediateDispatcher):
    """Choose the engine with the fewest outstanding tokens in its last report."""

    def __init__(self) -> None:
        super().__init__()
        self._tokens: dict[ServerId, Tokens] = {}

    def _choose(self, candidates: list[ServerId], record: Record) -> ServerId:
        return min(candidates, key=lambda server: self._tokens.get(server, 0))

    def reported(self, report: Report, now: Seconds) -> None:
        """Record the outstanding tokens that an engine reports."""
        self._tokens[report.server] = report.tokens


BASELINES: dict[str, Callable[[], _ImmediateDispatcher]] = {
    "round-robin": RoundRobin,
    "least-requests": LeastRequests,
    "least-tokens": LeastTokens,
}
