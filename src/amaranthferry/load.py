"""Send a seeded workload to a running deployment over HTTP."""

import asyncio
import json
import time
from collections.abc import Iterable
from itertools import cycle

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from .arrivals import Arrival, generate
from .exceptions import AmaranthferryError
from .tokens import CHARACTERS_PER_TOKEN
from .types import Outcome, Seconds, TierId, Tokens
from .workloads import find_workload

MICROSECONDS_PER_SECOND = 1_000_000
MAX_RECORDED_MICROSECONDS = 24 * 3_600 * MICROSECONDS_PER_SECOND
# Late answers are read for this long after a request's timeout.
TIMEOUT_GRACE: Seconds = 2.0
METRICS_TIMEOUT: Seconds = 5.0
PERCENTILES = (50.0, 95.0, 99.0)


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a load run; `keys` maps workspaces to API keys.

    The key under the empty name is used for workspaces without a key of their own.
    `rate` is in requests per second; `length_scale` multiplies all lengths.
    """

    urls: tuple[str, ...]
    keys: dict[str, str]
    workload: str = "kyklos"
    model: str = ""
    rate: float = 5.0
    duration: Seconds = 10.0
    seed: int = 1
    length_scale: float = 0.1
    name_classes: bool = True


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """Record the outcome of one request.

    `at` counts from the start of the run, other times from when it was sent.
    """

    tier: TierId
    work_class: str
    at: Seconds
    outcome: Outcome
    late: bool
    first_token: Seconds
    elapsed: Seconds
    status: int
    reason: str = ""


class Quantiles(msgspec.Struct, frozen=True):
    """Represent latency quantiles in seconds."""

    p50: Seconds = 0.0
    p95: Seconds = 0.0
    p99: Seconds = 0.0


class TierResult(msgspec.Struct, frozen=True, kw_only=True):
    """Count a tier's requests; `done` finished in time, `late` after their timeout."""

    tier: TierId
    sent: int
    done: int
    late: int
    not_run: int
    unknown: int
    goodput: float
    first_token: Quantiles
    elapsed: Quantiles


class LoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the measurements of one run."""

    plan: LoadPlan
    tiers: tuple[TierResult, ...]
    samples: tuple[Sample, ...]
    prefill_tokens: float = 0.0
    wasted_prefill: dict[str, float] = {}
    platform_calls: dict[str, float] = {}
    peer_bytes: float = 0.0


async def run_load(plan: LoadPlan) -> LoadResult:
    """Send a plan's requests at their arrival times and record each outcome.

    Raise AmaranthferryError if the workload is unknown or a workspace has no key.
    """
    arrivals = generate(
        find_workload(plan.workload),
        rate=plan.rate,
        duration=plan.duration,
        seed=plan.seed,
        length_scale=plan.length_scale,
    )
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        before = await _fetch_counters(session, plan.urls)
        started = time.monotonic()
        tasks = [
            asyncio.create_task(_send(session, plan, arrival, url, started))
            for arrival, url in zip(arrivals, cycle(plan.urls), strict=False)
        ]
        samples = await asyncio.gather(*tasks)
        after = await _fetch_counters(session, plan.urls)
    return summarize(plan, samples, _difference(before, after))


def summarize(
    plan: LoadPlan, samples: Iterable[Sample], counters: dict[str, float]
) -> LoadResult:
    """Summarize samples by tier and select the counters for the report."""
    all_samples = tuple(samples)
    tiers = dict.fromkeys(sample.tier for sample in all_samples)
    return LoadResult(
        plan=msgspec.structs.replace(plan, keys={}),
        tiers=tuple(
            _summarize_tier(
                tier, [sample for sample in all_samples if sample.tier == tier]
            )
            for tier in sorted(tiers)
        ),
        samples=all_samples,
        prefill_tokens=counters.get("prefill_tokens", 0.0),
        wasted_prefill=_sum_by_cause(counters, "wasted_prefill"),
        platform_calls=_sum_by_cause(counters, "platform_calls"),
        peer_bytes=sum(_sum_by_cause(counters, "peer_bytes").values()),
    )


def _summarize_tier(tier: TierId, samples: list[Sample]) -> TierResult:
    done = [s for s in samples if s.outcome is Outcome.DONE and not s.late]
    late = sum(1 for s in samples if s.outcome is Outcome.DONE and s.late)
    return TierResult(
        tier=tier,
        sent=len(samples),
        done=len(done),
        late=late,
        not_run=sum(1 for s in samples if s.outcome is Outcome.NOT_RUN),
        unknown=sum(1 for s in samples if s.outcome is Outcome.UNKNOWN),
        goodput=len(done) / len(samples) if samples else 0.0,
        first_token=_quantiles([s.first_token for s in done]),
        elapsed=_quantiles([s.elapsed for s in done]),
    )


def _quantiles(times: list[Seconds]) -> Quantiles:
    if not times:
        return Quantiles()
    histogram = HdrHistogram(1, MAX_RECORDED_MICROSECONDS, 3)
    for value in times:
        histogram.record_value(max(1, round(value * MICROSECONDS_PER_SECOND)))
    return Quantiles(
        *(
            histogram.get_value_at_percentile(q) / MICROSECONDS_PER_SECOND
            for q in PERCENTILES
        )
    )


async def _send(
    session: aiohttp.ClientSession,
    plan: LoadPlan,
    arrival: Arrival,
    url: str,
    started: Seconds,
) -> Sample:
    await asyncio.sleep(started + arrival.at - time.monotonic())
    sent = time.monotonic()
    state = _ResponseState()
    try:
        async with asyncio.timeout(arrival.timeout + TIMEOUT_GRACE):
            await _post(session, plan, arrival, url, state)
    except aiohttp.ClientConnectorError as exc:
        state.outcome = Outcome.NOT_RUN
        state.reason = type(exc).__name__
    except (TimeoutError, aiohttp.ClientError) as exc:
        state.reason = state.reason or type(exc).__name__
    elapsed = time.monotonic() - sent
    return Sample(
        tier=arrival.tier,
        work_class=arrival.work_class,
        at=arrival.at,
        outcome=state.outcome,
        late=elapsed > arrival.timeout,
        first_token=(state.first_token_at or time.monotonic()) - sent,
        elapsed=elapsed,
        status=state.status,
        reason=state.reason,
    )


class _ResponseState:
    """Store the state of one response while it is read."""

    def __init__(self) -> None:
        self.outcome = Outcome.UNKNOWN
        self.status = 0
        self.reason = ""
        self.first_token_at: Seconds = 0.0


async def _post(
    session: aiohttp.ClientSession,
    plan: LoadPlan,
    arrival: Arrival,
    url: str,
    state: _ResponseState,
) -> None:
    async with session.post(
        f"{url.rstrip('/')}/v1/chat/completions",
        json=_body(plan, arrival),
        headers=_headers(plan, arrival),
    ) as response:
        state.status = response.status
        if response.status != 200:
            await _read_error(response, state)
            return
        async for line in response.content:
            if not line.startswith(b"data:"):
                continue
            if not state.first_token_at:
                state.first_token_at = time.monotonic()
            _read_data(line.removeprefix(b"data:").strip(), state)


def _read_data(data: bytes, state: _ResponseState) -> None:
    if data == b"[DONE]":
        if not state.reason:
            state.outcome = Outcome.DONE
    elif b'"error"' in data:
        error = _parse_error(data)
        state.reason = str(error.get("code") or error.get("type") or "error")
        state.outcome = _parse_outcome(error.get("outcome"))


async def _read_error(response: aiohttp.ClientResponse, state: _ResponseState) -> None:
    error = _parse_error(await response.read())
    value = response.headers.get("Outcome") or error.get("outcome")
    state.outcome = _parse_outcome(value)
    state.reason = str(error.get("code") or error.get("type") or response.status)


def _parse_error(data: bytes) -> dict[str, object]:
    try:
        decoded = json.loads(data)
    except ValueError:
        return {}
    if not isinstance(decoded, dict):
        return {}
    inner = decoded.get("error", decoded)
    return inner if isinstance(inner, dict) else {}


def _parse_outcome(value: object) -> Outcome:
    try:
        return Outcome(str(value))
    except ValueError:
        return Outcome.UNKNOWN


def _headers(plan: LoadPlan, arrival: Arrival) -> dict[str, str]:
    key = plan.keys.get(arrival.workspace) or plan.keys.get("")
    if key is None:
        raise AmaranthferryError(
            f"No API key is given for workspace {arrival.workspace!r}.",
            remedy="Pass --api-key WORKSPACE=KEY, or --api-key KEY for all.",
        )
    headers = {
        "Authorization": f"Bearer {key}",
        "Request-Timeout": f"{arrival.timeout:.3f}",
    }
    if plan.name_classes:
        headers["Work-Class"] = arrival.work_class
    return headers


def _body(plan: LoadPlan, arrival: Arrival) -> dict[str, object]:
    return {
        "model": plan.model,
        "messages": [{"role": "user", "content": prompt_text(arrival)}],
        "max_tokens": arrival.output_tokens,
        "stream": True,
    }


def prompt_text(arrival: Arrival) -> str:
    """Return a prompt of the arrival's length that starts with its prefix."""
    prefix = _pad(arrival.prefix, arrival.prefix_tokens)
    rest = _pad(arrival.request_id, arrival.prompt_tokens - arrival.prefix_tokens)
    return prefix + rest


def _pad(text: str, tokens: Tokens) -> str:
    length = tokens * CHARACTERS_PER_TOKEN
    return f"{text} ".ljust(length, ".")[:length]


async def _fetch_counters(
    session: aiohttp.ClientSession, urls: tuple[str, ...]
) -> dict[str, float]:
    totals: dict[str, float] = {}
    for url in dict.fromkeys(urls):
        for name, value in (await _fetch_metrics(session, url)).items():
            totals[name] = totals.get(name, 0.0) + value
    return totals


async def _fetch_metrics(session: aiohttp.ClientSession, url: str) -> dict[str, float]:
    """Return the counters of a host's /metrics, or none if they can't be fetched."""
    try:
        async with (
            asyncio.timeout(METRICS_TIMEOUT),
            session.get(f"{url.rstrip('/')}/metrics") as response,
        ):
            if response.status != 200:
                return {}
            document = json.loads(await response.read())
    except (TimeoutError, ValueError, aiohttp.ClientError):
        return {}
    counters = document.get("counters", document) if isinstance(document, dict) else {}
    return {
        name: float(value)
        for name, value in counters.items()
        if isinstance(value, int | float)
    }


def _difference(before: dict[str, float], after: dict[str, float]) -> dict[str, float]:
    return {name: value - before.get(name, 0.0) for name, value in after.items()}


def _sum_by_cause(counters: dict[str, float], prefix: str) -> dict[str, float]:
    """Return counters named PREFIX or PREFIX.CAUSE by cause."""
    totals: dict[str, float] = {}
    for name, value in counters.items():
        head, _, cause = name.partition(".")
        if head == prefix:
            totals[cause or "all"] = totals.get(cause or "all", 0.0) + value
    return totals
