"""Define the `faults` command."""

import asyncio
from collections import Counter
from typing import Annotated

import typer

from .fault_checks import Guarantee
from .faults import CaseResult, Fault, pair_cases, run_cases, single_cases
from .logs import set_up_logs


def faults(
    *,
    include_pairs: Annotated[
        bool, typer.Option("--all", help="Also run every pair of faults.")
    ] = False,
    seed: int = 1,
    only: Annotated[
        list[Fault] | None, typer.Option(help="Run one case with these faults.")
    ] = None,
    parallel: int = 4,
) -> None:
    """Inject faults, alone or in pairs, and check that every guarantee is met."""
    set_up_logs("critical")
    cases = [tuple(only)] if only else single_cases()
    if include_pairs:
        cases += pair_cases()
    results = asyncio.run(
        run_cases(cases, seed, on_result=_print_result, parallel=parallel)
    )
    _print_matrix(results)
    violations = sum(len(result.violations) for result in results)
    typer.echo(f"faults: {len(results)} cases, {violations} violations")
    if violations:
        raise typer.Exit(1)


def _print_result(result: CaseResult) -> None:
    names = " + ".join(result.faults)
    count = len(result.violations)
    typer.echo(f"{names}: {result.done} of {result.calls} done, {count} violations")
    for violation in result.violations:
        typer.echo(f"  {violation.guarantee}: {violation.detail} (seed {result.seed})")


def _print_matrix(results: list[CaseResult]) -> None:
    case_counts: Counter[Fault] = Counter()
    violation_counts: Counter[tuple[Guarantee, Fault]] = Counter()
    for result in results:
        for fault in result.faults:
            case_counts[fault] += 1
            violation_counts.update((v.guarantee, fault) for v in result.violations)
    typer.echo("\nfault: cases tried, violations by guarantee")
    for fault in Fault:
        if case_counts[fault]:
            counts = " ".join(
                str(violation_counts[guarantee, fault]) for guarantee in Guarantee
            )
            typer.echo(f"{fault:28} {case_counts[fault]:4}   {counts}")
    typer.echo("guarantees: " + "; ".join(Guarantee))
