"""Export the work of first and second runs as metrics."""

from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .runs import Hedger

#: Services with labels of their own.
MAX_SERVICES = 64

Gauge = tuple[str, str, tuple[str, ...], dict[tuple[str, ...], float]]


def hedging_gauges(hedger: "Hedger | None") -> list[Gauge]:
    """Return the gauges of a host; none where hedging is off."""
    if hedger is None:
        return []
    budgets = dict(islice(hedger.budgets.items(), MAX_SERVICES))
    service = ("service",)
    return [
        (
            "first_run_work_seconds",
            "Time that servers of plain services have spent on first runs.",
            service,
            {(name,): budget.first_work for name, budget in budgets.items()},
        ),
        (
            "second_run_work_seconds",
            "Time that servers of plain services have spent on second runs.",
            service,
            {(name,): budget.extra_work for name, budget in budgets.items()},
        ),
        (
            "second_run_work_left_seconds",
            "Time that second runs may still spend; negative if it is owed.",
            service,
            {(name,): budget.left for name, budget in budgets.items()},
        ),
    ]
