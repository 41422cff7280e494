"""Compare the results of two load runs."""

from io import StringIO

from rich.console import Console
from rich.table import Table

from .load import LoadResult, TierResult
from .types import TierId

TABLE_WIDTH = 100
COLUMNS = ("tier", "figure", "A", "B", "change")
_FIGURES = (
    ("goodput", lambda tier: tier.goodput),
    ("late", lambda tier: float(tier.late)),
    ("not run", lambda tier: float(tier.not_run)),
    ("unknown", lambda tier: float(tier.unknown)),
    ("first token p50, s", lambda tier: tier.first_token.p50),
    ("first token p99, s", lambda tier: tier.first_token.p99),
)


def format_comparison(first: LoadResult, second: LoadResult) -> str:
    """Return the figures of both runs by tier, and a warning if the plans differ."""
    table = Table(box=None, pad_edge=False)
    for number, column in enumerate(COLUMNS):
        table.add_column(column, justify="right" if number > 1 else "left")
    tiers = {tier.tier for result in (first, second) for tier in result.tiers}
    for name in sorted(tiers):
        _add_tier(table, name, _find_tier(first, name), _find_tier(second, name))
    _add_row(
        table,
        "",
        "wasted prefill tokens",
        _wasted_prefill(first),
        _wasted_prefill(second),
    )
    out = StringIO()
    console = Console(file=out, width=TABLE_WIDTH, color_system=None)
    if _traffic(first) != _traffic(second):
        console.print("The two runs sent different traffic; compare with care.")
    console.print(table)
    return out.getvalue()


def _add_tier(
    table: Table, name: str, first: TierResult | None, second: TierResult | None
) -> None:
    for label, get_value in _FIGURES:
        values = [
            get_value(tier) if tier is not None else 0.0 for tier in (first, second)
        ]
        _add_row(table, name, label, *values)


def _add_row(table: Table, name: str, label: str, first: float, second: float) -> None:
    change = f"{second - first:+.3f}" if first != second else "="
    table.add_row(name, label, f"{first:.3f}", f"{second:.3f}", change)


def _find_tier(result: LoadResult, name: TierId) -> TierResult | None:
    return next((tier for tier in result.tiers if tier.tier == name), None)


def _wasted_prefill(result: LoadResult) -> float:
    return sum(result.wasted_prefill.values())


def _traffic(result: LoadResult) -> tuple[str, float, float, int, float]:
    plan = result.plan
    return plan.workload, plan.rate, plan.duration, plan.seed, plan.length_scale
