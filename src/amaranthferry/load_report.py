"""Format the result of a load run as a table."""

from io import StringIO

from rich.console import Console
from rich.table import Table

from .load import LoadResult

TABLE_WIDTH = 100
COLUMNS = ("tier", "sent", "done", "late", "not run", "unknown", "goodput")
TIME_COLUMNS = ("first token p50", "p99")


def format_table(result: LoadResult) -> str:
    """Return the outcomes by tier and the wasted prefill by cause as text."""
    table = Table(box=None, pad_edge=False)
    for number, column in enumerate(COLUMNS + TIME_COLUMNS):
        table.add_column(column, justify="right" if number else "left")
    for row in result.tiers:
        counts = (row.sent, row.done, row.late, row.not_run, row.unknown)
        table.add_row(
            row.tier,
            *map(str, counts),
            f"{row.goodput:.3f}",
            f"{row.first_token.p50:.3f} s",
            f"{row.first_token.p99:.3f} s",
        )
    out = StringIO()
    console = Console(file=out, width=TABLE_WIDTH, color_system=None)
    console.print(table)
    console.print(_format_prefill(result))
    return out.getvalue()


def _format_prefill(result: LoadResult) -> str:
    causes = result.wasted_prefill
    if not result.prefill_tokens and not causes:
        return "wasted prefill: not reported by the hosts"
    total = sum(causes.values())
    by_cause = ", ".join(
        f"{name} {value:.0f}" for name, value in sorted(causes.items())
    )
    return (
        f"wasted prefill: {total:.0f} of {result.prefill_tokens:.0f} tokens"
        f"{f' ({by_cause})' if by_cause else ''}"
    )
