"""Format the results of the decision bench as tables."""

from collections.abc import Iterable, Sequence
from io import StringIO
from statistics import median

from rich.console import Console
from rich.table import Table

from .bench import Row
from .bench_kinds import KindResult
from .bench_targets import evaluate_targets, wasted_fraction
from .types import ClassId
from .workloads import OVERNIGHT, STANDARD, URGENT

TABLE_WIDTH = 150
COLUMNS = (
    "workload",
    "load",
    "fault",
    "seed",
    "policy",
    "inversions",
    "standard inversions",
    "urgent",
    "standard",
    "overnight",
    "total",
    "oracle",
    "wasted prefill",
    "urgent first token p99",
)
TIERS = (URGENT, STANDARD, OVERNIGHT)
KIND_COLUMNS = (
    "workload",
    "load",
    "policy",
    "kind",
    "sent",
    "in time",
    "late",
    "served",
    "largest tenth served",
)
TARGET_COLUMNS = ("target", "bound", "case", "median", "worst (seed)", "met")
SUMMARY_COLUMNS = (
    "workload",
    "load",
    "fault",
    "policy",
    "inversions, worst",
    "standard inversions, worst",
    "urgent",
    "standard",
    "overnight",
    "total",
    "oracle",
    "wasted prefill",
    "urgent first token p99, s",
)


def format_rows(rows: Iterable[Row]) -> str:
    """Return a plain-text table with one line per row."""
    table = Table(box=None, pad_edge=False)
    for column in COLUMNS:
        table.add_column(column)
    for row in rows:
        table.add_row(
            row.workload,
            f"{row.load:g}",
            row.fault,
            str(row.seed),
            row.policy,
            str(row.inversions),
            str(row.standard_inversions),
            *(f"{row.goodput.get(tier, 0.0):.3f}" for tier in TIERS),
            f"{row.total_goodput:.3f}",
            f"{row.oracle_goodput:.3f}",
            f"{wasted_fraction(row):.1%}",
            f"{row.urgent_first_token_p99:.2f} s",
        )
    out = StringIO()
    Console(file=out, width=TABLE_WIDTH, color_system=None).print(table)
    return out.getvalue()


def format_targets(rows: Iterable[Row]) -> str:
    """Return a Markdown table that compares the results with the targets."""
    lines = [
        (
            result.target,
            f"{result.bound:g}",
            result.case,
            f"{result.median:.3f}",
            f"{result.worst:.3f} ({result.worst_seed})",
            "yes" if result.met else "**no**",
        )
        for result in evaluate_targets(rows)
    ]
    return _markdown(TARGET_COLUMNS, lines)


def format_summary(rows: Iterable[Row]) -> str:
    """Return a Markdown table of the median and worst seed per case and policy."""
    groups: dict[tuple[str, float, str, str], list[Row]] = {}
    for row in rows:
        key = (row.workload, row.load, row.fault, row.policy)
        groups.setdefault(key, []).append(row)
    lines = [_summarize(group) for group in groups.values()]
    return _markdown(SUMMARY_COLUMNS, lines)


def format_kinds(rows: Iterable[Row]) -> str:
    """Return a Markdown table of what each kind with an objective gets.

    Values are medians over the seeds, with the worst seed for what is served.
    """
    groups: dict[tuple[str, float, str, ClassId], list[KindResult]] = {}
    for row in rows:
        for kind, result in row.kinds.items():
            key = (row.workload, row.load, row.policy, kind)
            groups.setdefault(key, []).append(result)
    lines = [
        (
            workload,
            f"{load:g}",
            policy,
            kind,
            f"{median(result.sent for result in results):g}",
            f"{median(result.in_time for result in results):.3f}",
            f"{median(result.late for result in results):.3f}",
            _median_and_worst(
                served := [result.served for result in results], worst=min(served)
            ),
            f"{median(result.large_served for result in results):.3f}",
        )
        for (workload, load, policy, kind), results in groups.items()
    ]
    return _markdown(KIND_COLUMNS, lines) if lines else ""


def _summarize(group: list[Row]) -> tuple[str, ...]:
    first = group[0]
    tiers = [[row.goodput.get(tier, 0.0) for row in group] for tier in TIERS]
    return (
        first.workload,
        f"{first.load:g}",
        first.fault,
        first.policy,
        str(max(row.inversions for row in group)),
        str(max(row.standard_inversions for row in group)),
        *(_median_and_worst(values, worst=min(values)) for values in tiers),
        _median_and_worst(total := [r.total_goodput for r in group], worst=min(total)),
        f"{median(row.oracle_goodput for row in group):.3f}",
        _median_and_worst(
            waste := [wasted_fraction(row) for row in group], worst=max(waste)
        ),
        _median_and_worst(
            p99 := [r.urgent_first_token_p99 for r in group], worst=max(p99)
        ),
    )


def _median_and_worst(values: Sequence[float], *, worst: float) -> str:
    return f"{median(values):.3f} / {worst:.3f}"


def _markdown(header: Sequence[str], lines: Iterable[Sequence[str]]) -> str:
    separator = ["---"] * len(header)
    return "\n".join(f"| {' | '.join(line)} |" for line in (header, separator, *lines))
