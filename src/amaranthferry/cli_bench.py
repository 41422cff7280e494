"""Define the `bench` commands."""

import sys
from itertools import product
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from .bench import LOADS, Row, all_policies, run_row
from .bench_cost import measure_cost
from .bench_report import format_kinds, format_rows, format_summary, format_targets
from .bench_simulation import Fault
from .exceptions import AmaranthferryError
from .workloads import WORKLOADS

QUEUE_LENGTHS = (100, 1_000, 2_000)

app = typer.Typer(help="Measure scheduling decisions on simulated engines.")


@app.callback()
def bench() -> None:
    """Measure scheduling decisions on simulated engines."""


@app.command()
def decisions(
    workload: Annotated[list[str], typer.Option()] = [],  # noqa: B006
    load: Annotated[list[float], typer.Option()] = [],  # noqa: B006
    policy: Annotated[list[str], typer.Option()] = [],  # noqa: B006
    fault: Annotated[list[Fault], typer.Option()] = [],  # noqa: B006
    seed: Annotated[list[int], typer.Option()] = [],  # noqa: B006
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Run seeded traces in virtual time; each option may be given more than once."""
    cases = product(
        workload or sorted(WORKLOADS),
        load or LOADS,
        fault or [Fault.NONE],
        seed or [1],
        policy or all_policies(),
    )
    rows: list[Row] = []
    try:
        with typer.progressbar(tuple(cases), file=sys.stderr) as progress:
            for (
                case_workload,
                case_load,
                case_fault,
                case_seed,
                case_policy,
            ) in progress:
                rows.append(
                    run_row(
                        case_workload, case_load, case_policy, case_seed, case_fault
                    )
                )
    except AmaranthferryError as exc:
        typer.echo(str(exc), err=True)
        raise typer.Exit(exc.exit_code) from exc
    typer.echo(msgspec.json.encode(rows) if as_json else format_rows(rows))


@app.command()
def report(files: Annotated[list[Path], typer.Argument(exists=True)]) -> None:
    """Compare rows saved with `decisions --json` with the targets, in Markdown."""
    rows: list[Row] = []
    for file in files:
        rows += msgspec.json.decode(file.read_bytes(), type=list[Row])
    typer.echo(format_targets(rows))
    typer.echo("")
    typer.echo(format_summary(rows))
    if kinds := format_kinds(rows):
        typer.echo(f"\n{kinds}")


@app.command()
def cost(
    waiting: Annotated[list[int], typer.Option()] = [],  # noqa: B006
    workload: str = "kyklos",
    seed: int = 1,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Measure the cost of a coordinator's decision at the given queue lengths."""
    lengths = waiting or list(QUEUE_LENGTHS)
    rows = [measure_cost(n, workload=workload, seed=seed) for n in lengths]
    if as_json:
        typer.echo(msgspec.json.encode(rows))
        return
    for row in rows:
        typer.echo(
            f"{row.waiting} waiting: median {row.median_us:.0f} us, "
            f"p99 {row.p99_us:.0f} us, {row.calls:.0f} calls"
        )
