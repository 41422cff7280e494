"""Choose the server that takes a request."""

from collections.abc import Iterable, Sequence

import msgspec

from .lengths import LengthEstimate
from .messages import PermitRequest
from .order import Waiter
from .policy import Policy
from .servers import ServerRecord
from .types import Seconds, Tokens

HANDOVER_BACKLOG: Seconds = 0.1
LONG_PREFILL: Seconds = 0.5
LONG_PREFILL_SHARE = 0.75
URGENT_HEADROOM = 0.125
PREFILL_PRICE = 3.0
MIN_PREFIX_GAIN: Tokens = 256
MAX_PREFIX_WAIT: Seconds = 20.0
PREFIX_WAIT_PART = 0.2
#: What a failed run costs, as time.
FAILURE_PRICE: Seconds = 2.0
#: What a call to another availability zone costs beside one in the own zone.
ZONE_PRICE: Seconds = 0.002


class Rules(msgspec.Struct, frozen=True, kw_only=True):
    """Bound what a choice may use: parts of each server's slots and KV room."""

    share: float
    bulk_share: float
    policy: Policy


class Prediction(msgspec.Struct, frozen=True):
    """Say what a grant to one server is expected to bring; times are absolute."""

    record: ServerRecord
    cached_tokens: Tokens
    first_token_at: Seconds
    finish_at: Seconds
    cautious_finish_at: Seconds


def predict(
    record: ServerRecord,
    ask: PermitRequest,
    now: Seconds,
    lengths: LengthEstimate,
    policy: Policy,
) -> Prediction:
    """Predict how a request would go if it were granted to a server now."""
    if record.plain:
        running = len(record.permits)
        finish = now + record.outcomes.service_time * (1 + running / record.cfg.slots)
        return Prediction(record, 0, finish, finish, finish)
    cached = 0
    if policy.affinity:
        held = record.prefixes.cached_tokens(ask.prefixes, now, ask.prefix_lengths)
        cached = min(held, ask.prompt_tokens - 1)
    speed = record.speed
    start = record.prefill_starts(now)
    first = start + (ask.prompt_tokens - cached) / speed.prefill_rate
    interval = speed.decode_interval(len(record.permits) + 1)
    finish = first + lengths.expected(ask) * interval
    cautious = finish
    if policy.length_margin:
        cautious = first + lengths.cautious(ask) * interval
    return Prediction(record, cached, first, finish, cautious)


class Chooser:
    """Choose servers during one pass over the queue, at one time."""

    def __init__(
        self,
        records: Iterable[ServerRecord],
        now: Seconds,
        rules: Rules,
        lengths: LengthEstimate,
    ) -> None:
        self._records = tuple(record for record in records if record.open)
        self._now = now
        self._rules = rules
        self._lengths = lengths
        self._ready: dict[tuple[bool, bool], tuple[ServerRecord, ...]] = {}

    def ready(self, ask: PermitRequest) -> tuple[ServerRecord, ...]:
        """Return the servers that work of a request's standing may go to now."""
        key = (_is_urgent(ask), ask.bulk)
        if key not in self._ready:
            self._ready[key] = tuple(
                record
                for record in self._records
                if _has_slot(record, ask, self._now, self._rules)
                and _may_hand_over(record, ask, self._now, self._rules)
            )
        return self._ready[key]

    def granted(self) -> None:
        """Note that a server was given work."""
        self._ready.clear()

    def choose(self, waiter: Waiter) -> Prediction | None:
        """Return the best of the servers that have room, if any could be in time."""
        ask, now = waiter.request, self._now
        policy = self._rules.policy
        predictions = [
            predict(record, ask, now, self._lengths, policy)
            for record in self.ready(ask)
            if record.serves(ask) and has_kv_room(record, ask, now, self._rules)
        ]
        if predictions and policy.early_refusal:
            predictions = _in_time(
                predictions, self._records, waiter, now, self._lengths
            )
        if predictions and not _is_urgent(ask) and policy.prefill_guard:
            able = self._records
            predictions = [p for p in predictions if _leaves_a_clear_path(p, able, now)]
        best = min(predictions, key=lambda p: price(p, ask, now), default=None)
        if (
            best is not None
            and policy.affinity
            and self._waits_for_prefix(waiter, best)
        ):
            return None
        return best

    def _waits_for_prefix(self, waiter: Waiter, best: Prediction) -> bool:
        """Tell whether a waiter leaves a server to others, for one with its prefix.

        Lower work may spend a small part of its time on that: a long prompt's prefix
        saves every engine that would prefill it again, also when none is short.
        """
        ask, now = waiter.request, self._now
        if _is_urgent(ask) or not ask.prefixes:
            return False
        held = max(
            r.prefixes.cached_tokens(ask.prefixes, now, ask.prefix_lengths)
            for r in self._records
        )
        gain = held - best.cached_tokens
        allowed = min(MAX_PREFIX_WAIT, ask.remaining * PREFIX_WAIT_PART)
        if gain < MIN_PREFIX_GAIN or now - waiter.arrived >= allowed:
            return False
        return best.cautious_finish_at + allowed <= waiter.deadline


def price(prediction: Prediction, ask: PermitRequest, now: Seconds) -> Seconds:
    """Return the finish, plus the prefill time that is taken from those behind.

    A server that fails a part of its runs costs what a failure is worth.
    """
    risk = FAILURE_PRICE * prediction.record.outcomes.failure_share(now)
    if prediction.record.plain:
        return prediction.finish_at + risk + _distance(prediction.record, ask)
    prefill = ask.prompt_tokens - prediction.cached_tokens
    taken = prefill / prediction.record.speed.prefill_rate
    return prediction.finish_at + PREFILL_PRICE * taken + risk


def _distance(record: ServerRecord, ask: PermitRequest) -> Seconds:
    return 0.0 if record.cfg.zone == ask.zone else ZONE_PRICE


def _in_time(
    predictions: list[Prediction],
    able: Iterable[ServerRecord],
    waiter: Waiter,
    now: Seconds,
    lengths: LengthEstimate,
) -> list[Prediction]:
    """Keep the servers that would finish in time even if the answer is long.

    Once not even an idle server would, those remain that should finish in time.
    """
    ask = waiter.request
    safe = [p for p in predictions if p.cautious_finish_at <= waiter.deadline]
    if safe or not predictions:
        return safe
    service = fastest_service_time(able, ask, lengths.cautious(ask))
    if service is not None and now + service <= waiter.deadline:
        return []
    return [p for p in predictions if p.finish_at <= waiter.deadline]


def _is_urgent(ask: PermitRequest) -> bool:
    return ask.tier_rank == 0 and not ask.bulk


def _may_hand_over(
    record: ServerRecord, ask: PermitRequest, now: Seconds, rules: Rules
) -> bool:
    """Keep lower work here until the engine is about to start on it.

    Engines prefill in order of arrival, so what is handed over early stands before
    every urgent request that comes after it.
    """
    if _is_urgent(ask) or not rules.policy.prefill_guard:
        return True
    return record.prefill_starts(now) <= now + HANDOVER_BACKLOG


def _leaves_a_clear_path(
    prediction: Prediction, able: Sequence[ServerRecord], now: Seconds
) -> bool:
    """Keep a part of the shard's prefill rate free of long prompts."""
    if prediction.first_token_at - now <= LONG_PREFILL:
        return True
    total = sum(record.speed.prefill_rate for record in able)
    taken = sum(
        record.speed.prefill_rate
        for record in able
        if record.prefill_starts(now) > now + HANDOVER_BACKLOG
        or record is prediction.record
    )
    return taken <= total * LONG_PREFILL_SHARE or taken == (
        prediction.record.speed.prefill_rate
    )


def _has_slot(
    record: ServerRecord, ask: PermitRequest, now: Seconds, rules: Rules
) -> bool:
    """Tell whether a server has a slot for a request now.

    One bulk request may always run on a server that holds no other.
    """
    if now < record.held_until:
        return False
    running = len(record.permits) + record.foreign.running(now)
    if running >= record.cfg.slots or running + 1 > _slots(record, ask, rules):
        return False
    if rules.policy.straggler and not record.straggler.may_probe(now):
        return False
    if not ask.bulk or not record.bulk_count:
        return True
    return record.bulk_count + 1 <= record.cfg.slots * rules.bulk_share


def has_kv_room(
    record: ServerRecord, ask: PermitRequest, now: Seconds, rules: Rules
) -> bool:
    """Tell whether a server's memory takes a request beside what it holds."""
    if record.plain:
        return True
    tokens = ask.prompt_tokens + ask.output_tokens
    whole = record.cfg.kv_tokens
    held = record.tokens + record.foreign.tokens(now)
    if held and held + tokens > whole * rules.share:
        return False
    if not ask.bulk or not record.bulk_count:
        return True
    return record.bulk_tokens + tokens <= whole * rules.bulk_share


def _slots(record: ServerRecord, ask: PermitRequest, rules: Rules) -> float:
    """Return the requests that may run beside one another, at least one."""
    slots = float(record.cfg.slots)
    if rules.policy.adaptive_limit:
        slots = min(slots, record.limit.value)
    if rules.policy.straggler:
        slots *= record.straggler.share
    if not _is_urgent(ask):
        slots -= record.cfg.slots * URGENT_HEADROOM
    return max(1.0, slots * rules.share)


def fastest_service_time(
    records: Iterable[ServerRecord], ask: PermitRequest, output_tokens: Tokens
) -> Seconds | None:
    """Return the shortest service time over the servers that could take a request."""
    times = [
        record.speed.service_time(ask.prompt_tokens, output_tokens)
        for record in records
        if record.serves(ask)
    ]
    return min(times, default=None)
