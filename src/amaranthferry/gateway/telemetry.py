"""Record metrics of requests and export them in the Prometheus text format.

The Prometheus library is imported by the first scrape, so that hosts that are never
scraped don't load it.
"""

from bisect import bisect_left
from collections.abc import Iterable
from itertools import islice
from typing import TYPE_CHECKING, Any

from ..availability import count_servers, idle_slots, role_of
from ..harm.subjects import SubjectState
from ..hedging.metrics import hedging_gauges
from ..intake.state import Port
from ..replica.watching import SyncState
from ..state import HostState
from ..types import Seconds, SubjectKind
from .footprint import read_process_memory

if TYPE_CHECKING:
    from prometheus_client.core import Metric

    from .application import Gateway

PREFIX = "amaranthferry_"
#: Routes and servers with labels of their own; all others share OTHER_LABEL.
MAX_LABEL_SETS = 64
OTHER_LABEL = "other"
BUCKETS: tuple[Seconds, ...] = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)

Labels = tuple[str, ...]


class Counter:
    """Count by label values."""

    def __init__(self, name: str, text: str, labels: Labels) -> None:
        self.name, self.text, self.labels = name, text, labels
        self.values: dict[Labels, float] = {}

    def add(self, *labels: str, value: float = 1.0) -> None:
        """Add a value to the counter of the given labels."""
        if labels not in self.values and len(self.values) >= MAX_LABEL_SETS * 4:
            labels = (OTHER_LABEL,) * len(labels)
        self.values[labels] = self.values.get(labels, 0.0) + value


class Histogram:
    """Record durations in a histogram by label values."""

    def __init__(self, name: str, text: str, labels: Labels) -> None:
        self.name, self.text, self.labels = name, text, labels
        self.counts: dict[Labels, list[int]] = {}
        self.sums: dict[Labels, float] = {}

    def observe(self, seconds: Seconds, *labels: str) -> None:
        """Record one duration."""
        if labels not in self.counts and len(self.counts) >= MAX_LABEL_SETS:
            labels = (OTHER_LABEL,) * len(labels)
        counts = self.counts.setdefault(labels, [0] * (len(BUCKETS) + 1))
        counts[bisect_left(BUCKETS, seconds)] += 1
        self.sums[labels] = self.sums.get(labels, 0.0) + seconds

    def buckets(self, labels: Labels) -> list[tuple[str, float]]:
        """Return the cumulative counts with their upper bounds."""
        total, cumulative = 0, []
        bounds = [*(f"{bound:g}" for bound in BUCKETS), "+Inf"]
        for bound, count in zip(bounds, self.counts[labels], strict=True):
            total += count
            cumulative.append((bound, float(total)))
        return cumulative


class Telemetry:
    """Record the counters and histograms of one entry host."""

    def __init__(self) -> None:
        self.requests = Counter(
            "requests", "Requests by route and end.", ("route", "outcome", "reason")
        )
        self.dispatches = Counter(
            "runs", "Dispatches by end.", ("route", "end", "framing")
        )
        self.broken = Counter(
            "broken_runs",
            "Broken answers by what became of the server's process.",
            ("route", "process"),
        )
        self.rejections = Counter(
            "rejections",
            "Dispatches that servers refused to run, by who had decided on them.",
            ("service", "decided_by"),
        )
        self.named_limits = Counter(
            "named_limits",
            "Answers that named a limit of their server, by whether it could be read.",
            ("server", "value"),
        )
        self.ended_connections = Counter(
            "ended_connections",
            "Connections that had to end, by the limit.",
            ("port", "cause"),
        )
        self.malformed_requests = Counter(
            "malformed_requests",
            "Messages that were no request within the limits.",
            ("port", "status"),
        )
        self.hedges = Counter(
            "second_runs",
            "Second runs of slow requests, by the run that counted and how they ended.",
            ("route", "winner", "end"),
        )
        self.hedges_denied = Counter(
            "second_runs_denied",
            "Decisions against a second run of a request, by reason.",
            ("service", "reason"),
        )
        self.decisions = Counter("decisions", "Counts of the reducer.", ("name",))
        self.first_byte = Histogram(
            "first_byte_seconds", "From arrival to the first byte.", ("route",)
        )
        self.answer = Histogram(
            "answer_seconds", "From arrival to the whole answer.", ("route",)
        )
        self.admission_age = Histogram(
            "admission_state_age_seconds",
            "Age of the configuration that admitted a request.",
            (),
        )
        self.wait = Histogram(
            "permit_wait_seconds", "From arrival to the dispatch.", ("route",)
        )

    def text(self, app: "Gateway") -> bytes:
        """Return all metrics of a host in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(_Collector(self, app))
        return generate_latest(registry)


class _Collector:
    """Collect one host's metrics for Prometheus."""

    def __init__(self, telemetry: Telemetry, app: "Gateway") -> None:
        self._telemetry = telemetry
        self._app = app

    def collect(self) -> Iterable["Metric"]:
        """Yield every metric."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        telemetry = self._telemetry
        for counter in (
            telemetry.requests,
            telemetry.dispatches,
            telemetry.broken,
            telemetry.rejections,
            telemetry.named_limits,
            telemetry.ended_connections,
            telemetry.malformed_requests,
            telemetry.hedges,
            telemetry.hedges_denied,
            telemetry.decisions,
        ):
            family = CounterMetricFamily(
                PREFIX + counter.name, counter.text, labels=counter.labels
            )
            for labels, value in counter.values.items():
                family.add_metric(labels, value)
            yield family
        for histogram in (
            telemetry.first_byte,
            telemetry.answer,
            telemetry.wait,
            telemetry.admission_age,
        ):
            histogram_family = HistogramMetricFamily(
                PREFIX + histogram.name, histogram.text, labels=histogram.labels
            )
            for labels in histogram.counts:
                buckets = histogram.buckets(labels)
                histogram_family.add_metric(labels, buckets, histogram.sums[labels])
            yield histogram_family
        for name, text, labels, values in _gauges(self._app) + _rollouts(self._app):
            gauge = GaugeMetricFamily(PREFIX + name, text, labels=labels)
            for key, value in values.items():
                gauge.add_metric(key, value)
            yield gauge


Gauge = tuple[str, str, Labels, dict[Labels, float]]


def _gauges(app: "Gateway") -> list[Gauge]:
    now = app.clock()
    state = app.state
    catalog = app.config.catalog
    age = app.freshness.age(now)
    return [
        ("open_requests", "Requests without an end.", (), {(): len(app.exchanges)}),
        ("hosts", "Live entry hosts.", (), {(): len(state.hosts)}),
        (
            "config_version",
            "Version of the configuration in force.",
            (),
            {(): float(catalog.version) if catalog else 0.0},
        ),
        (
            "belief_age_seconds",
            "Age of the read behind the configuration; -1 before the first.",
            (),
            {(): -1.0 if age is None else age},
        ),
        (
            "state_age_seconds",
            "Age of the read behind the objects of a kind; -1 before the first.",
            ("kind",),
            {(kind,): _age(sync.state, now) for kind, sync in app.syncs.items()},
        ),
        (
            "store_lost",
            "Whether this host's latest read of a kind has failed.",
            ("kind",),
            {(kind,): float(sync.state.store_lost) for kind, sync in app.syncs.items()},
        ),
        (
            "config_left_out",
            "Parts of the configuration in force that can't be read.",
            (),
            {(): float(len(catalog.left_out)) if catalog else 0.0},
        ),
        (
            "process_memory_bytes",
            "Memory of the process; -1 if the system hides it.",
            (),
            {(): float(-1 if (used := read_process_memory()) is None else used)},
        ),
        (
            "connection_bytes",
            "Bytes that are held for all connections, as estimated.",
            (),
            {(): float(app.intake.held)},
        ),
        (
            "connections",
            "Open connections of a port.",
            ("port",),
            {(port.value,): float(app.intake.count(port)) for port in Port},
        ),
        (
            "answer_bytes",
            "Bytes of the answers that are read or kept as a whole.",
            (),
            {(): float(app.answers.held)},
        ),
        (
            "body_bytes",
            "Room that is kept for the bodies of requests.",
            (),
            {(): float(app.bodies.held)},
        ),
        (
            "kept_changes",
            "Changes of a kind that are retained for other hosts.",
            ("kind",),
            {(k,): float(s.state.kept_changes) for k, s in app.syncs.items()},
        ),
        (
            "kept_change_bytes",
            "Bytes of the changes of a kind that are retained for other hosts.",
            ("kind",),
            {(k,): float(s.state.kept_bytes) for k, s in app.syncs.items()},
        ),
        ("store_calls", "Calls to the store so far.", (), {(): app.store_calls}),
        ("store_era", "Era of the store, as last seen.", (), {(): app.store_era}),
        (
            "servers",
            "Servers by service that get new work.",
            ("service",),
            _counts(server.pool for server in state.deployment.servers.values()),
        ),
        (
            "servers_leaving",
            "Servers that have said that they leave.",
            (),
            {(): float(len(state.leaving.servers_of(state.deployment)))},
        ),
        (
            "servers_held_off",
            "Servers that want nothing from this host for now.",
            (),
            {(): float(len(state.hold_offs))},
        ),
        *_limit_gauges(state, now),
        (
            "prompt_parts",
            "Prompt parts that servers ended under, by what is believed of them.",
            ("state",),
            {
                (believed,): float(state.harm.count(believed))
                for believed in (SubjectState.SUSPECTED, SubjectState.HELD)
            },
        ),
        (
            "harmful_requests",
            "Whole requests that servers ended under, by what is believed of them.",
            ("state",),
            {
                (believed,): float(state.harm.count(believed, SubjectKind.REQUEST))
                for believed in (SubjectState.SUSPECTED, SubjectState.HELD)
            },
        ),
        (
            "repeats_left",
            "Second runs that this host may still make.",
            ("service",),
            {(pool,): budget.tokens for pool, budget in state.repeat_budgets.items()},
        ),
        *hedging_gauges(app.hedger),
        *_coordinator_gauges(app),
    ]


def _age(state: SyncState, now: Seconds) -> float:
    age = state.freshness.age(now)
    return -1.0 if age is None else age


def _limit_gauges(state: HostState, now: Seconds) -> list[Gauge]:
    """Return the limits in force, and what this host's deciders may still send."""
    known = dict(islice(state.server_rates.in_force(), MAX_LABEL_SETS))
    deciders = (*state.coordinators.values(), *state.fallbacks.values())
    limited = [
        (decider, record, record.allowance)
        for decider in deciders
        for record in decider.limited_servers()
        if record.allowance is not None
    ][:MAX_LABEL_SETS]
    labels: Labels = ("server",)
    return [
        (
            "server_limit",
            "Requests a second that a server takes from all hosts together.",
            labels,
            {(item.server,): limit.rate or 0.0 for item, limit in known.items()},
        ),
        (
            "server_limit_age_seconds",
            "Age of the last answer with the limit that this host knows of.",
            labels,
            {(item.server,): now - limit.seen_at for item, limit in known.items()},
        ),
        (
            "server_limit_share",
            "Requests a second that this host may grant to a limited server.",
            labels,
            {(r.cfg.name,): d.rate_of(r) or 0.0 for d, r, _ in limited},
        ),
        (
            "server_limit_left",
            "Requests that this host may grant to a limited server now.",
            labels,
            {(r.cfg.name,): float(a.available) for _, r, a in limited},
        ),
        (
            "server_limit_used",
            "Requests that this host has granted since the server named its limit.",
            labels,
            {(r.cfg.name,): float(a.used) for _, r, a in limited},
        ),
    ]


def _coordinator_gauges(app: "Gateway") -> list[Gauge]:
    coordinators = {**app.state.coordinators, **app.state.fallbacks}
    records = [
        record
        for coordinator in coordinators.values()
        for record in list(coordinator.servers.values())[:MAX_LABEL_SETS]
    ]
    running: dict[Labels, float] = {
        (r.cfg.name,): float(len(r.permits)) for r in records
    }
    rates: dict[Labels, float] = {
        (r.cfg.name,): r.speed.prefill_rate for r in records if not r.plain
    }
    queues: dict[Labels, float] = {
        (s,): float(len(c.queue)) for s, c in coordinators.items()
    }
    now = app.clock()
    server: Labels = ("server",)
    idle: dict[Labels, float] = {
        (s,): float(idle_slots(c)) for s, c in coordinators.items()
    }
    received: dict[Labels, float] = {
        (s,): float(c.sequence) for s, c in coordinators.items()
    }
    available: dict[Labels, float] = {
        (s, why): float(count)
        for s, c in coordinators.items()
        for why, count in count_servers(c, now).items()
    }
    return [
        (
            "tick_late_seconds",
            "Greatest lateness of a tick in the last 15 to 30 s.",
            (),
            {(): app.lateness.greatest(now)},
        ),
        (
            "deciding",
            "Servers that this host decides for, by shard and role.",
            ("shard", "role"),
            _deciding(app.state),
        ),
        ("idle_slots", "Slots of live servers without a permit.", ("shard",), idle),
        ("permit_requests", "Permit requests queued so far.", ("shard",), received),
        (
            "shard_servers",
            "Servers by why they get new work or none.",
            ("shard", "availability"),
            available,
        ),
        ("queue_length", "Asks that wait here.", ("shard",), queues),
        ("running", "Permits that are out, by server.", server, running),
        ("prefill_rate", "Learned prompt tokens a second.", server, rates),
    ]


def _rollouts(app: "Gateway") -> list[Gauge]:
    """Return the metrics of rollouts, where they are enabled."""
    if app.rollouts is None:
        return []
    found = app.rollouts.info()
    service: Labels = ("service", "version")
    return [
        (
            "rollout_stage",
            "What this host does with the version of a rollout.",
            (*service, "stage"),
            {(r.service, r.version, r.stage or r.state): 1.0 for r in found},
        ),
        (
            "rollout_requests",
            "Requests of a service since the order of its rollout, at this host.",
            service,
            {(r.service, r.version): float(r.requests) for r in found},
        ),
        (
            "rollout_exposed",
            "Those of them that went to the ordered version.",
            service,
            {(r.service, r.version): float(r.exposed) for r in found},
        ),
    ]


def _deciding(state: HostState) -> dict[Labels, float]:
    return {
        (coordinator.shard, role_of(state, coordinator)): float(
            len(coordinator.servers)
        )
        for coordinator in (*state.coordinators.values(), *state.fallbacks.values())
    }


def _counts(names: Iterable[Any]) -> dict[Labels, float]:
    counts: dict[Labels, float] = {}
    for name in names:
        counts[(str(name),)] = counts.get((str(name),), 0.0) + 1
    return counts
