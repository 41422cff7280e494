"""Define the `soak` command."""

import asyncio
import random
import shutil
from pathlib import Path
from typing import Annotated

import typer

from .logs import set_up_logs
from .soak.checks import Violation, check_guarantees, count_coverage
from .soak.run import Soak, write_findings
from .soak.schedule import SoakFault
from .standins.deployment import CallKind

MIN_SECONDS = 20.0


def soak(
    *,
    seed: Annotated[
        list[int] | None, typer.Option(help="Seeds to run; without one, a random one.")
    ] = None,
    minutes: Annotated[float, typer.Option(help="Duration of each run.")] = 1.0,
    hosts: Annotated[int, typer.Option(min=1, max=50)] = 3,
    only: Annotated[
        list[SoakFault] | None, typer.Option(help="Inject only these faults.")
    ] = None,
    folder: Annotated[
        Path,
        typer.Option(help="Folder for logs; a run without findings removes its own."),
    ] = Path("reports/soak"),
) -> None:
    """Run real hosts under overlapping faults and check that guarantees are met."""
    set_up_logs("critical")
    failed = 0
    for number in seed or [random.randrange(1_000_000)]:
        run_folder = folder / f"seed-{number}"
        shutil.rmtree(run_folder, ignore_errors=True)
        run_folder.mkdir(parents=True)
        run = Soak(
            number,
            seconds=max(MIN_SECONDS, minutes * 60),
            hosts=hosts,
            folder=run_folder,
            only=tuple(only or ()),
        )
        violations = check_guarantees(asyncio.run(run.run()))
        _print_result(number, run, violations)
        if not violations:
            shutil.rmtree(run_folder)
            continue
        failed += 1
        write_findings(run_folder, run, violations)
        typer.echo(
            f"  kept in {run_folder}; again: {_command(number, minutes, hosts, only)}"
        )
    if failed:
        raise typer.Exit(1)


def _print_result(seed: int, run: Soak, violations: list[Violation]) -> None:
    calls = run.record.calls
    served = sum(call.status == 200 and call.complete for call in calls)
    typer.echo(
        f"seed {seed}: {len(run.schedule)} faults, {served} of {len(calls)} calls "
        f"served, {len(violations)} violations"
    )
    for fault, met in sorted(count_coverage(run.record).items()):
        kinds = ", ".join(f"{met[kind]} {kind}" for kind in CallKind)
        typer.echo(f"  met by {kinds}: {fault}")
    for violation in violations:
        typer.echo(f"  {violation.guarantee}: {violation.detail}")


def _command(
    seed: int, minutes: float, hosts: int, only: list[SoakFault] | None
) -> str:
    faults = "".join(f' --only "{fault}"' for fault in only or ())
    return f"amaranthferry soak --seed {seed} --minutes {minutes:g} --hosts {hosts}{faults}"
