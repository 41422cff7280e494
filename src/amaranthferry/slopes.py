"""Measure a quantity at several sizes and fit a line through it."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec

_STATUS_PATH = Path("/proc/self/status")
_REPEATS = 5
MICROSECONDS_PER_SECOND = 1_000_000

Built = TypeVar("Built")


class Series(msgspec.Struct, frozen=True):
    """Represent one quantity of a role, measured at several sizes."""

    role: str
    quantity: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]

    @property
    def slope(self) -> float:
        """Return the growth of the quantity per item."""
        return statistics.linear_regression(self.sizes, self.values).slope

    @property
    def intercept(self) -> float:
        """Return the quantity that the fitted line gives at size zero."""
        return statistics.linear_regression(self.sizes, self.values).intercept

    @property
    def residual(self) -> float:
        """Return the largest distance from the line, relative to the largest value."""
        points = zip(self.sizes, self.values, strict=True)
        max_distance = max(abs(v - self.intercept - self.slope * s) for s, v in points)
        return max_distance / max(1e-12, *(abs(value) for value in self.values))


def state_bytes(build: Callable[[], Built]) -> tuple[int, Built]:
    """Return the bytes that building a value leaves allocated, and the value."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before, built


def cpu_microseconds(
    run: Callable[[], object], *, calls: int, repeats: int = _REPEATS
) -> float:
    """Return the median processor time of one of the calls that `run` makes."""
    samples = []
    for _ in range(repeats):
        start = time.process_time()
        run()
        samples.append((time.process_time() - start) * MICROSECONDS_PER_SECOND / calls)
    return statistics.median(samples)


def resident_bytes() -> int:
    """Return the resident memory of this process, or 0 if it is not reported."""
    for line in _STATUS_PATH.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def format_series(series: list[Series]) -> str:
    """Return a Markdown table of measurements and their fitted lines."""
    lines = [
        "| role | quantity | sizes | values | base | slope | largest residual |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for item in series:
        sizes = ", ".join(f"{size:,}" for size in item.sizes)
        values = ", ".join(_format_value(value) for value in item.values)
        lines.append(
            f"| {item.role} | {item.quantity}, {item.unit} | {sizes} {item.per}s"
            f" | {values} | {_format_value(item.intercept)}"
            f" | {_format_value(item.slope)} per {item.per} | {item.residual:.1%} |"
        )
    return "\n".join(lines)


def _format_value(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"
