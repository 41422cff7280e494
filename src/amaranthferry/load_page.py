"""Write the report page of a load run."""

from collections.abc import Iterable
from html import escape
from pathlib import Path

import msgspec

from .load import LoadResult, TierResult
from .load_plots import Plot, draw_plots

STYLE = """
body { font: 16px/1.5 system-ui, sans-serif; color: #222; background: #faf9f6;
  max-width: 62rem; margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: 0; }
p.plan { color: #666; margin-top: .2rem; }
.cards { display: flex; flex-wrap: wrap; gap: 1rem; margin: 1.5rem 0; }
.card { background: #fff; border: 1px solid #e4e0d8; border-radius: 8px;
  padding: .8rem 1.2rem; flex: 1; min-width: 9rem; }
.card b { display: block; font-size: 1.9rem; line-height: 1.2; }
.card span { color: #666; font-size: .9rem; }
table { border-collapse: collapse; width: 100%; background: #fff; }
th, td { padding: .4rem .7rem; text-align: right; border-bottom: 1px solid #eee; }
th:first-child, td:first-child { text-align: left; }
.plots { display: grid; grid-template-columns: repeat(auto-fit, minmax(26rem, 1fr));
  gap: 1rem; margin-top: 1.5rem; }
figure { margin: 0; background: #fff; border: 1px solid #e4e0d8; border-radius: 8px;
  padding: .8rem; }
figcaption { font-weight: 600; margin-bottom: .4rem; }
img { width: 100%; height: auto; }
"""
HEADER = (
    "tier",
    "sent",
    "done",
    "late",
    "not run",
    "unknown",
    "goodput",
    "first token p50",
    "p95",
    "p99",
    "complete answer p99",
)
RESULT_FILE = "result.json"
PAGE_FILE = "index.html"


def write_report(result: LoadResult, directory: Path) -> Path:
    """Write the page, its plots and the result as JSON; return the page's path."""
    directory.mkdir(parents=True, exist_ok=True)
    plots = draw_plots(result, directory)
    (directory / RESULT_FILE).write_bytes(msgspec.json.encode(result))
    page = directory / PAGE_FILE
    page.write_text(_page(result, plots), encoding="utf-8")
    return page


def _page(result: LoadResult, plots: Iterable[Plot]) -> str:
    plan = result.plan
    plan_text = (
        f"{plan.rate:g} requests a second for {plan.duration:g} s, seed {plan.seed}, "
        f"length scale {plan.length_scale:g}, {len(plan.urls)} entry hosts"
    )
    title = f"Load: {escape(plan.workload)}"
    return f"""<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>{title}</title><style>{STYLE}</style></head>
<body>
<h1>{title}</h1>
<p class="plan">{plan_text}</p>
<div class="cards">{_cards(result)}</div>
{_table(result.tiers)}
<div class="plots">{"".join(map(_figure, plots))}</div>
</body>
</html>
"""


def _cards(result: LoadResult) -> str:
    cards = [
        _card(f"{tier.goodput:.1%}", f"{tier.tier} goodput") for tier in result.tiers
    ]
    if result.prefill_tokens:
        fraction = sum(result.wasted_prefill.values()) / result.prefill_tokens
        cards.append(_card(f"{fraction:.1%}", "of prefill wasted"))
    if result.platform_calls:
        calls = sum(result.platform_calls.values())
        cards.append(_card(f"{calls:.0f}", "platform calls"))
    if result.peer_bytes:
        cards.append(_card(f"{result.peer_bytes:,.0f}", "bytes between hosts"))
    return "".join(cards)


def _card(value: str, label: str) -> str:
    return f'<div class="card"><b>{escape(value)}</b><span>{escape(label)}</span></div>'


def _table(tiers: Iterable[TierResult]) -> str:
    head = "".join(f"<th>{name}</th>" for name in HEADER)
    return f"<table><tr>{head}</tr>{''.join(map(_row, tiers))}</table>"


def _row(tier: TierResult) -> str:
    counts = (tier.sent, tier.done, tier.late, tier.not_run, tier.unknown)
    first = tier.first_token
    times = (first.p50, first.p95, first.p99, tier.elapsed.p99)
    cells = [
        escape(tier.tier),
        *map(str, counts),
        f"{tier.goodput:.3f}",
        *(f"{value:.3f} s" for value in times),
    ]
    return f"<tr>{''.join(f'<td>{cell}</td>' for cell in cells)}</tr>"


def _figure(plot: Plot) -> str:
    title = escape(plot.title)
    return (
        f"<figure><figcaption>{title}</figcaption>"
        f'<img src="{plot.file}" alt="{title}"></figure>'
    )
