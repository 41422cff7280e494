"""Draw the plots of a load report."""

from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import PercentFormatter

from .load import LoadResult, Sample
from .types import Outcome, TierId

SIZE_INCHES = (7.0, 3.6)
DOTS_PER_INCH = 150
TIME_BIN_COUNT = 24
TIER_COLORS = ("#1b6ca8", "#e08e2b", "#6a8d73", "#8d5a97", "#555555")
OUTCOME_COLORS = {
    "done": "#3a7d44",
    "late": "#e0b12b",
    "not run": "#9aa5b1",
    "unknown": "#b3392f",
}


class Plot(msgspec.Struct, frozen=True):
    """Describe a plot file."""

    file: str
    title: str


def draw_plots(result: LoadResult, directory: Path) -> tuple[Plot, ...]:
    """Write plots of the available data as PNG files and return their descriptions."""
    plots = [
        _save_plot(directory, "outcomes", "Outcomes by tier", _draw_outcomes, result),
        _save_plot(
            directory, "goodput", "Goodput by arrival time", _draw_goodput, result
        ),
        _save_plot(
            directory, "first-token", "Time to first token", _draw_first_token, result
        ),
    ]
    if any(result.wasted_prefill.values()):
        plots.append(
            _save_plot(
                directory, "waste", "Wasted prefill by cause", _draw_waste, result
            )
        )
    return tuple(plots)


def _save_plot(
    directory: Path,
    name: str,
    title: str,
    draw: Callable[[LoadResult, Axes], None],
    result: LoadResult,
) -> Plot:
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    axes = figure.add_subplot()
    draw(result, axes)
    axes.spines[["top", "right"]].set_visible(False)
    figure.savefig(directory / f"{name}.png", dpi=DOTS_PER_INCH)
    return Plot(f"{name}.png", title)


def _draw_outcomes(result: LoadResult, axes: Axes) -> None:
    tiers = result.tiers[::-1]
    names = [tier.tier for tier in tiers]
    counts = {
        "done": [tier.done for tier in tiers],
        "late": [tier.late for tier in tiers],
        "not run": [tier.not_run for tier in tiers],
        "unknown": [tier.unknown for tier in tiers],
    }
    left = [0] * len(tiers)
    for outcome, values in counts.items():
        color = OUTCOME_COLORS[outcome]
        axes.barh(names, values, left=left, color=color, label=outcome)
        left = [sum(pair) for pair in zip(left, values, strict=True)]
    axes.set_xlabel("requests")
    axes.legend(frameon=False, ncols=4, loc="lower center", bbox_to_anchor=(0.5, 1.0))


def _draw_goodput(result: LoadResult, axes: Axes) -> None:
    bin_width = result.plan.duration / TIME_BIN_COUNT
    for tier, color in _tier_colors(result):
        bins: dict[int, list[Sample]] = {}
        for sample in result.samples:
            if sample.tier == tier:
                bins.setdefault(int(sample.at / bin_width), []).append(sample)
        numbers = sorted(bins)
        axes.plot(
            [(number + 0.5) * bin_width for number in numbers],
            [_done_fraction(bins[number]) for number in numbers],
            color=color,
            marker=".",
            label=tier,
        )
    axes.set_ylim(-0.03, 1.03)
    axes.yaxis.set_major_formatter(PercentFormatter(1.0))
    axes.set_xlabel("arrival, seconds after the start")
    axes.set_ylabel("done in time")
    _add_legend(axes)


def _draw_first_token(result: LoadResult, axes: Axes) -> None:
    for tier, color in _tier_colors(result):
        times = sorted(
            sample.first_token
            for sample in result.samples
            if sample.tier == tier and sample.outcome is Outcome.DONE
        )
        fractions = [(number + 1) / len(times) for number in range(len(times))]
        if times:
            axes.step(times, fractions, where="post", color=color, label=tier)
    axes.set_xscale("log")
    axes.yaxis.set_major_formatter(PercentFormatter(1.0))
    axes.set_xlabel("seconds to the first token")
    axes.set_ylabel("fraction of answered requests")
    _add_legend(axes)


def _draw_waste(result: LoadResult, axes: Axes) -> None:
    causes = sorted(result.wasted_prefill.items(), key=lambda item: item[1])
    axes.barh(
        [name.replace("_", " ") for name, _ in causes],
        [value for _, value in causes],
        color=OUTCOME_COLORS["unknown"],
    )
    axes.set_xlabel("prompt tokens")


def _tier_colors(result: LoadResult) -> Iterable[tuple[TierId, str]]:
    names = [tier.tier for tier in result.tiers]
    return zip(names, TIER_COLORS, strict=False)


def _done_fraction(samples: list[Sample]) -> float:
    done = sum(1 for s in samples if s.outcome is Outcome.DONE and not s.late)
    return done / len(samples)


def _add_legend(axes: Axes) -> None:
    if axes.get_legend_handles_labels()[0]:
        axes.legend(frameon=False)
