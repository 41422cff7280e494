"""Choose the server for a request."""

from collections.abc import Iterable, Sequence

import msgspec
import xxhash

from .lengths import LengthEstimate
from .messages import PermitRequest
from .policy import Policy
from .servers import ServerRecord
from .types import Seconds, Tokens
from .wait_queue import Waiter

#: Prefill backlog of an engine up to which it gets work that isn't urgent.
MAX_DISPATCH_BACKLOG: Seconds = 0.1
LONG_PREFILL: Seconds = 0.5
#: Maximum share of a shard's prefill rate for long prompts that aren't urgent.
LONG_PREFILL_SHARE = 0.75
#: Fraction of each server's slots that is reserved for urgent work.
URGENT_HEADROOM = 0.125
#: Weight of a request's own prefill time, since it delays the requests behind it.
PREFILL_COST_FACTOR = 3.0
MIN_PREFIX_GAIN: Tokens = 256
MAX_PREFIX_WAIT: Seconds = 20.0
PREFIX_WAIT_FRACTION = 0.2
#: Cost of a failed attempt, as time.
FAILURE_COST: Seconds = 2.0
#: Additional cost of a call to another availability zone.
CROSS_ZONE_COST: Seconds = 0.002


class PlacementLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limit the fractions of each server's slots and KV memory that may be used."""

    share: float
    bulk_share: float
    policy: Policy
    holds_long_answers: bool = False


class Caution(msgspec.Struct, frozen=True):
    """Restrict where a request may run that may end its server.

    A suspected one goes where the fewest requests would end with it, and waits while
    another one with the same suspects runs. Where each host decides for itself, `spread`
    has all of them choose one server for one request, and unlike ones for unlike requests,
    so that few servers are risked and the next end tells suspects apart.
    """

    held_versions: frozenset[str]
    suspects: frozenset[int]
    waits: bool
    spread: str = ""

    def allows(self, record: ServerRecord) -> bool:
        """Return whether the request may go to a server now."""
        return not self.waits and record.cfg.model_version not in self.held_versions

    def rank(self, record: ServerRecord) -> int:
        """Return the rank of a server for this request; all hosts choose the lowest."""
        if not self.spread:
            return 0
        return xxhash.xxh64_intdigest(f"{self.spread} {record.cfg.name}".encode())


class Prediction(msgspec.Struct, frozen=True):
    """Describe the expected outcome of a grant to one server; times are absolute."""

    record: ServerRecord
    cached_tokens: Tokens
    first_token_at: Seconds
    finish_at: Seconds
    conservative_finish_at: Seconds


def predict(
    record: ServerRecord,
    request: PermitRequest,
    now: Seconds,
    lengths: LengthEstimate,
    policy: Policy,
) -> Prediction:
    """Predict the outcome of granting a request to a server now."""
    if record.plain:
        running = len(record.permits)
        finish = now + record.outcomes.service_time * (1 + running / record.cfg.slots)
        return Prediction(record, 0, finish, finish, finish)
    cached = 0
    if policy.affinity:
        cached_prefix = record.prefixes.cached_tokens(
            request.prefixes, now, request.prefix_lengths
        )
        cached = min(cached_prefix, request.prompt_tokens - 1)
    speed = record.speed
    start = record.prefill_starts(now)
    first = start + (request.prompt_tokens - cached) / speed.prefill_rate
    interval = speed.decode_interval(len(record.permits) + 1)
    finish = first + lengths.expected(request) * interval
    conservative = finish
    if policy.length_margin:
        conservative = first + lengths.conservative(request) * interval
    return Prediction(record, cached, first, finish, conservative)


class Chooser:
    """Choose servers by rank during one pass over the queue at a fixed time."""

    def __init__(
        self,
        records: Iterable[ServerRecord],
        now: Seconds,
        limits: PlacementLimits,
        lengths: LengthEstimate,
    ) -> None:
        self._records = tuple(record for record in records if record.accepts_work)
        self._now = now
        self._limits = limits
        self._lengths = lengths
        self._candidates: dict[tuple[bool, bool], tuple[ServerRecord, ...]] = {}

    def candidates(self, request: PermitRequest) -> tuple[ServerRecord, ...]:
        """Return the servers that may get work of a request's urgency now."""
        key = (_is_urgent(request), request.bulk)
        if key not in self._candidates:
            self._candidates[key] = tuple(
                record
                for record in self._records
                if _has_slot(record, request, self._now, self._limits)
                and _may_dispatch(record, request, self._now, self._limits)
            )
        return self._candidates[key]

    def record_grant(self) -> None:
        """Clear the cached candidates after a grant."""
        self._candidates.clear()

    def choose(
        self, waiter: Waiter, caution: Caution | None = None
    ) -> Prediction | None:
        """Return the best server for a waiter, or None while it has to wait."""
        request, now = waiter.request, self._now
        policy = self._limits.policy
        predictions = [
            predict(record, request, now, self._lengths, policy)
            for record in self.candidates(request)
            if record.serves(request)
            and (caution is None or caution.allows(record))
            and record.accepts_from(waiter.host, now)
            and has_kv_capacity(record, request, now, self._limits)
        ]
        if predictions and policy.early_refusal:
            predictions = _in_time(
                predictions, self._records, waiter, now, self._lengths
            )
        if predictions and not _is_urgent(request) and policy.prefill_guard:
            servers = self._records
            predictions = [
                p for p in predictions if _leaves_prefill_capacity(p, servers, now)
            ]
        best = min(
            predictions,
            key=lambda p: cautious_cost(p, request, now, caution),
            default=None,
        )
        if (
            best is not None
            and policy.affinity
            and self._waits_for_prefix(waiter, best)
        ):
            return None
        return best

    def _waits_for_prefix(self, waiter: Waiter, best: Prediction) -> bool:
        """Return whether a waiter should wait for a server that caches its prefix.

        Work that isn't urgent may spend a small fraction of its time on this, since
        a cached prefix saves prefill time even while other servers are free.
        """
        request, now = waiter.request, self._now
        if _is_urgent(request) or not request.prefixes:
            return False
        most_cached = max(
            (
                r.prefixes.cached_tokens(request.prefixes, now, request.prefix_lengths)
                for r in self._records
                if r.allowance is None
            ),
            default=0,
        )
        gain = most_cached - best.cached_tokens
        allowed = min(MAX_PREFIX_WAIT, request.remaining * PREFIX_WAIT_FRACTION)
        if gain < MIN_PREFIX_GAIN or now - waiter.arrived >= allowed:
            return False
        return best.conservative_finish_at + allowed <= waiter.deadline


def placement_cost(
    prediction: Prediction, request: PermitRequest, now: Seconds
) -> Seconds:
    """Return the predicted finish plus penalties; the lowest cost is best.

    The penalties are the prefill time, which delays later requests, the expected
    cost of a failure and, for plain services, calls across zones.
    """
    failure_cost = FAILURE_COST * prediction.record.outcomes.failure_rate(now)
    if prediction.record.plain:
        return (
            prediction.finish_at + failure_cost + _zone_cost(prediction.record, request)
        )
    prefill = request.prompt_tokens - prediction.cached_tokens
    prefill_time = prefill / prediction.record.speed.prefill_rate
    return prediction.finish_at + PREFILL_COST_FACTOR * prefill_time + failure_cost


def cautious_cost(
    prediction: Prediction,
    request: PermitRequest,
    now: Seconds,
    caution: Caution | None,
) -> tuple[int, Seconds]:
    """Return the cost of a placement, after the requests that may end with it.

    Requests stay away from a server where a suspected one runs, and so do other
    suspected ones, whose evidence would be mixed.
    """
    record = prediction.record
    cost = placement_cost(prediction, request, now)
    if caution is None or not caution.suspects:
        return 0, cost + FAILURE_COST * record.runs_suspect
    if caution.spread:
        return record.runs_suspect, float(caution.rank(record))
    return len(record.permits) + record.cfg.slots * record.runs_suspect, cost


def _zone_cost(record: ServerRecord, request: PermitRequest) -> Seconds:
    return 0.0 if record.cfg.zone == request.zone else CROSS_ZONE_COST


def _in_time(
    predictions: list[Prediction],
    servers: Iterable[ServerRecord],
    waiter: Waiter,
    now: Seconds,
    lengths: LengthEstimate,
) -> list[Prediction]:
    """Return the predictions that meet the deadline even for a long answer.

    If not even an idle server could ensure that, return those that are expected to
    finish in time.
    """
    request = waiter.request
    on_time = [p for p in predictions if p.conservative_finish_at <= waiter.deadline]
    if on_time or not predictions:
        return on_time
    service = fastest_service_time(servers, request, lengths.conservative(request))
    if service is not None and now + service <= waiter.deadline:
        return []
    return [p for p in predictions if p.finish_at <= waiter.deadline]


def _is_urgent(request: PermitRequest) -> bool:
    return request.tier_rank == 0 and not request.bulk


def _may_dispatch(
    record: ServerRecord, request: PermitRequest, now: Seconds, limits: PlacementLimits
) -> bool:
    """Return whether an engine may get a request, given its prefill backlog.

    Engines prefill in order of arrival, so work that is dispatched early would delay
    every urgent request that comes after it.
    """
    if _is_urgent(request) or not limits.policy.prefill_guard:
        return True
    return record.prefill_starts(now) <= now + MAX_DISPATCH_BACKLOG


def _leaves_prefill_capacity(
    prediction: Prediction, servers: Sequence[ServerRecord], now: Seconds
) -> bool:
    """Return whether enough of the shard's prefill rate stays free of long prompts."""
    if prediction.first_token_at - now <= LONG_PREFILL:
        return True
    total = sum(record.speed.prefill_rate for record in servers)
    occupied = sum(
        record.speed.prefill_rate
        for record in servers
        if record.prefill_starts(now) > now + MAX_DISPATCH_BACKLOG
        or record is prediction.record
    )
    return occupied <= total * LONG_PREFILL_SHARE or occupied == (
        prediction.record.speed.prefill_rate
    )


def _has_slot(
    record: ServerRecord, request: PermitRequest, now: Seconds, limits: PlacementLimits
) -> bool:
    """Return whether a server has a free slot for a request now.

    A server without bulk requests may always run one.
    """
    if now < record.blocked_until or record.is_at_limit:
        return False
    running = len(record.permits) + record.external.running(now)
    if running >= record.slots or running + 1 > _slots(record, request, limits):
        return False
    if limits.policy.straggler and not record.straggler.may_probe(now):
        return False
    if not request.bulk or not record.bulk_count:
        return True
    return record.bulk_count + 1 <= record.cfg.slots * limits.bulk_share


def has_kv_capacity(
    record: ServerRecord, request: PermitRequest, now: Seconds, limits: PlacementLimits
) -> bool:
    """Return whether a server has enough free KV memory for a request."""
    if record.plain:
        return True
    tokens = request.prompt_tokens + request.output_tokens
    capacity = record.cfg.kv_tokens
    used = record.tokens + record.external.tokens(now)
    if used and used + tokens > capacity * limits.share:
        return False
    if not request.bulk or not record.bulk_count:
        return True
    return record.bulk_tokens + tokens <= capacity * limits.bulk_share


def _slots(
    record: ServerRecord, request: PermitRequest, limits: PlacementLimits
) -> float:
    """Return the number of requests that may run concurrently, at least one."""
    slots = float(record.cfg.slots)
    if limits.policy.adaptive_limit:
        slots = min(slots, record.limit.value)
    if limits.policy.straggler:
        slots *= record.straggler.share
    if not _is_urgent(request):
        slots -= record.cfg.slots * URGENT_HEADROOM
    return max(1.0, slots * limits.share)


def fastest_service_time(
    records: Iterable[ServerRecord], request: PermitRequest, output_tokens: Tokens
) -> Seconds | None:
    """Return the shortest service time over the servers that could run a request."""
    times = [
        record.speed.service_time(request.prompt_tokens, output_tokens)
        for record in records
        if record.serves(request)
    ]
    return min(times, default=None)
