"""Account for one backend server's permits, and estimate its performance."""

import math
from collections import deque

import msgspec

from .concurrency import ConcurrencyLimit
from .config import BackendServer
from .events import LoadReported
from .hold_off import HoldOffs
from .limits.turns import Allowance
from .messages import PermitRequest, ServerIncarnation
from .outcomes import OutcomeEstimate
from .prediction import SpeedEstimate
from .prefixes import PrefixTracker
from .straggler import StragglerDetector
from .types import HostId, RequestId, Seconds, ServerState, ServerStateSource, Tokens

#: Time without a leaving entry in the host list before a live entry counts again.
LIST_REJOIN_DELAY: Seconds = 30.0
MAX_REPORT_AGE: Seconds = 30.0
#: Time by which an engine's report may lag behind the shard's releases.
REPORT_SLACK: Seconds = 1.0
#: Bounds of the time without new work after a failed dispatch.
MIN_BACKOFF: Seconds = 0.5
MAX_BACKOFF: Seconds = 8.0
MAX_BACKOFF_DOUBLINGS = 8
#: Minimum new tokens in a progress report for a sample of the inter-token time.
MIN_INTERVAL_TOKENS: Tokens = 4


class Permit(msgspec.Struct, eq=False):
    """Represent the permit of one granted request."""

    request: PermitRequest
    host: HostId
    server: "ServerRecord"
    granted: Seconds
    deadline: Seconds
    first_token_at: Seconds
    cost: Seconds = 0.0
    cached_tokens: Tokens = 0
    first_token_seen: bool = False
    output_tokens: Tokens = 0
    last_progress: Seconds = 0.0
    orphaned_until: Seconds | None = None
    #: Suspected subjects that no other permit of this decider has.
    alone_subjects: tuple[int, ...] = ()
    #: Whether its host could move the run now, and how often it has been tried.
    movable: bool = False
    moves: int = 0

    @property
    def prefill_tokens(self) -> Tokens:
        """Return the prompt tokens that are expected to need prefill."""
        return self.request.prompt_tokens - self.cached_tokens

    @property
    def tokens(self) -> Tokens:
        """Return the KV tokens that the request may occupy on its server."""
        return self.request.prompt_tokens + self.request.output_tokens


class ExternalLoad:
    """Estimate the load of a server that no permit of this shard accounts for.

    The shard's own count is authoritative; a report only adds load beyond it. A
    report is delayed, so permits released since it was made are still part of it.
    """

    def __init__(self) -> None:
        self._released_at: deque[Seconds] = deque()
        self._running = 0
        self._tokens: Tokens = 0
        self._expires_at: Seconds = 0.0

    def record_release(self, now: Seconds) -> None:
        """Record that a permit was released."""
        self._released_at.append(now)
        while self._released_at[0] < now - MAX_REPORT_AGE:
            self._released_at.popleft()

    def apply_report(self, event: LoadReported, permits: int, tokens: Tokens) -> None:
        """Apply an engine's load report, given the shard's own permits and tokens."""
        if event.age > MAX_REPORT_AGE:
            return
        reported_at = event.now - event.age
        released = sum(
            1 for at in self._released_at if at >= reported_at - REPORT_SLACK
        )
        extra = event.running + event.waiting - permits - released
        self._running = max(0, extra)
        self._tokens = max(0, event.kv_tokens - tokens) if self._running else 0
        self._expires_at = event.now + MAX_REPORT_AGE

    def running(self, now: Seconds) -> int:
        """Return the number of the server's requests that aren't the shard's."""
        return self._running if now < self._expires_at else 0

    def tokens(self, now: Seconds) -> Tokens:
        """Return the KV tokens that aren't the shard's."""
        return self._tokens if now < self._expires_at else 0


class ServerRecord:
    """Represent a coordinator's state of one backend server."""

    def __init__(self, cfg: BackendServer) -> None:
        self.cfg = cfg
        self.accepts_work = True
        #: Slots that this decider may use; None means all.
        self.slot_limit: int | None = None
        self._enabled = True
        self.permits: dict[RequestId, Permit] = {}
        self.tokens: Tokens = 0
        self.bulk_count = 0
        self.bulk_tokens: Tokens = 0
        self.prefill_tokens: Tokens = 0
        self.prefill_free_at: Seconds = 0.0
        self.last_first_token: Seconds = 0.0
        self.external = ExternalLoad()
        self.blocked_until: Seconds = 0.0
        self._failed_dispatches = 0
        self.speed = SpeedEstimate(cfg)
        self.prefixes = PrefixTracker()
        self.straggler = StragglerDetector()
        self.limit = ConcurrencyLimit(cfg.slots)
        self.outcomes = OutcomeEstimate()
        self.hold_offs = HoldOffs()
        #: What the server may get while it names a limit.
        self.allowance: Allowance | None = None
        self.incarnation = 0
        self._states: dict[ServerStateSource, ServerState] = {}
        self._list_left_at: Seconds | None = None

    def record_state(
        self, state: ServerState, source: ServerStateSource, now: Seconds
    ) -> None:
        """Record the state reported by one source; only that source can revoke it.

        The host list lags and its replicas differ, so a live entry after a leaving
        one only counts once the host list has shown no leaving entry for a while.
        """
        if source is ServerStateSource.HOST_LIST:
            if state is not ServerState.LIVE:
                self._list_left_at = now
            elif self._list_left_at is not None:
                if now - self._list_left_at < LIST_REJOIN_DELAY:
                    return
                self._list_left_at = None
        self._states[source] = state
        self._update_accepts_work()

    def record_failed_dispatch(self, now: Seconds) -> None:
        """Back off after a dispatch that never reached the server.

        A lost server looks idle, so without the backoff it would attract every
        request until its loss is reported.
        """
        self.blocked_until = now + min(
            MAX_BACKOFF, MIN_BACKOFF * 2.0**self._failed_dispatches
        )
        self._failed_dispatches = min(
            self._failed_dispatches + 1, MAX_BACKOFF_DOUBLINGS
        )

    def reset_dispatch_failures(self) -> None:
        """Reset the backoff after a dispatch that reached the server."""
        self._failed_dispatches = 0

    @property
    def runs_suspect(self) -> bool:
        """Return whether a suspected request runs here."""
        return any(permit.alone_subjects for permit in self.permits.values())

    def accepts_from(self, host: HostId, now: Seconds) -> bool:
        """Return whether the server may get one more request of a host."""
        limit = self.hold_offs.limit(host, now)
        if limit is None:
            return True
        return sum(permit.host == host for permit in self.permits.values()) < limit

    @property
    def identity(self) -> ServerIncarnation:
        """Return the incarnation that this record is about."""
        return ServerIncarnation(self.cfg.name, self.incarnation, self.cfg.address)

    @property
    def is_at_limit(self) -> bool:
        """Return whether the server takes no more for now by the limit it names."""
        return self.allowance is not None and not self.allowance.available

    @property
    def slots(self) -> int:
        """Return the number of the server's slots that this decider may use."""
        if self.slot_limit is None:
            return self.cfg.slots
        return min(self.cfg.slots, self.slot_limit)

    @property
    def plain(self) -> bool:
        """Return whether the server is a plain service and not a model engine."""
        return self.cfg.kv_tokens == 0

    def set_enabled(self, enabled: bool) -> None:
        """Set whether the settings allow new work for the server."""
        self._enabled = enabled
        self._update_accepts_work()

    def _update_accepts_work(self) -> None:
        live = all(state is ServerState.LIVE for state in self._states.values())
        self.accepts_work = self._enabled and live

    def add_permit(self, permit: Permit) -> None:
        """Add a permit to the server's totals."""
        self.permits[permit.request.request_id] = permit
        self.tokens += permit.tokens
        if not permit.first_token_seen:
            self.prefill_tokens += permit.prefill_tokens
        if permit.request.bulk:
            self.bulk_count += 1
            self.bulk_tokens += permit.tokens

    def remove_permit(self, permit: Permit) -> None:
        """Subtract a permit from the server's totals."""
        del self.permits[permit.request.request_id]
        self.tokens -= permit.tokens
        if not permit.first_token_seen:
            self.prefill_tokens -= permit.prefill_tokens
            self.prefill_free_at -= permit.prefill_tokens / self.speed.prefill_rate
        if permit.request.bulk:
            self.bulk_count -= 1
            self.bulk_tokens -= permit.tokens

    def record_first_token(self, permit: Permit, delay: Seconds, now: Seconds) -> None:
        """Update the prefill estimates from a first token, `delay` after the dispatch.

        Engines prefill in order of arrival, so this prompt's prefill began when the
        previous one ended, and the remaining prefill backlog starts now.
        """
        if permit.first_token_seen:
            return
        permit.first_token_seen = True
        permit.last_progress = delay
        permit.output_tokens = max(1, permit.output_tokens)
        at = permit.granted + delay
        began = max(permit.granted, self.last_first_token)
        self._record_prefill(permit.prefill_tokens, max(0.0, at - began))
        self.last_first_token = max(at, self.last_first_token)
        self.prefill_tokens -= permit.prefill_tokens
        self.prefill_free_at = now + self.prefill_tokens / self.speed.prefill_rate

    def record_progress(
        self, permit: Permit, tokens: Tokens, elapsed: Seconds, target: Seconds
    ) -> None:
        """Update the decode estimates from the output tokens since the last report."""
        new_tokens = tokens - permit.output_tokens
        seconds = elapsed - permit.last_progress
        if new_tokens <= 0 or seconds <= 0:
            return
        batch = len(self.permits)
        baseline = self.speed.baseline_decode(new_tokens, batch)
        self.straggler.observe(baseline, seconds)
        healthy = not self.straggler.straggling
        self.speed.observe_decode(new_tokens, seconds, batch, baseline=healthy)
        if not self.prefill_tokens and new_tokens >= MIN_INTERVAL_TOKENS and healthy:
            self.limit.observe(seconds / new_tokens, batch, target)
        permit.output_tokens = tokens
        permit.last_progress = elapsed

    def prefill_starts(self, now: Seconds) -> Seconds:
        """Return the time at which the prefill of a prompt sent now would start.

        If a first token is overdue, the time by which it is late is expected to double.
        """
        if self.prefill_free_at >= now:
            return self.prefill_free_at
        if not self.prefill_tokens:
            return now
        return now + (now - self.prefill_free_at)

    def _record_prefill(self, tokens: Tokens, seconds: Seconds) -> None:
        self.straggler.observe(self.speed.baseline_prefill(tokens), seconds)
        healthy = not self.straggler.straggling
        self.speed.observe_prefill(tokens, seconds, baseline=healthy)

    def serves(self, request: PermitRequest) -> bool:
        """Return whether the server could ever run a request."""
        models = self.cfg.models
        accepted = not request.model or not models or request.model in models
        accepted = accepted and self.cfg.name not in request.excluded
        return accepted and request.prompt_tokens + request.output_tokens <= (
            self.cfg.kv_tokens or math.inf
        )
