"""Define the `load` commands."""

import asyncio
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from .exceptions import AmaranthferryError
from .load import LoadPlan, LoadResult, run_load
from .load_compare import format_comparison
from .load_report import format_table

app = typer.Typer(help="Send a seeded workload to a running deployment.")

Urls = Annotated[list[str], typer.Option("--url", help="Base URL of an entry host.")]
Keys = Annotated[
    list[str],
    typer.Option("--api-key", help="KEY for all workspaces, or WORKSPACE=KEY."),
]


@app.callback(invoke_without_command=True)
def load(
    ctx: typer.Context,
    url: Urls = [],  # noqa: B006
    api_key: Keys = [],  # noqa: B006
    workload: str = "kyklos",
    model: str = "",
    rate: float = 5.0,
    duration: float = 10.0,
    seed: int = 1,
    length_scale: float = 0.1,
    name_classes: bool = True,
    as_json: Annotated[bool, typer.Option("--json")] = False,
    report: Annotated[
        Path | None, typer.Option(help="Directory for a report page with plots.")
    ] = None,
) -> None:
    """Send the workload and print outcomes by tier."""
    if ctx.invoked_subcommand is not None:
        return
    try:
        plan = LoadPlan(
            urls=_require(tuple(url), "--url"),
            keys=_parse_keys(_require(tuple(api_key), "--api-key")),
            workload=workload,
            model=model,
            rate=rate,
            duration=duration,
            seed=seed,
            length_scale=length_scale,
            name_classes=name_classes,
        )
        result = asyncio.run(run_load(plan))
    except AmaranthferryError as exc:
        typer.echo(str(exc), err=True)
        raise typer.Exit(exc.exit_code) from exc
    if as_json:
        typer.echo(msgspec.json.encode(result))
    else:
        typer.echo(format_table(result))
    if report is not None:
        _write_report(result, report)


@app.command()
def compare(
    first: Annotated[Path, typer.Argument(exists=True)],
    second: Annotated[Path, typer.Argument(exists=True)],
) -> None:
    """Compare two saved results."""
    try:
        results = [_read_result(path) for path in (first, second)]
    except AmaranthferryError as exc:
        typer.echo(str(exc), err=True)
        raise typer.Exit(exc.exit_code) from exc
    typer.echo(format_comparison(*results))


def _read_result(path: Path) -> LoadResult:
    try:
        return msgspec.json.decode(path.read_bytes(), type=LoadResult)
    except msgspec.MsgspecError as exc:
        raise AmaranthferryError(
            f"{path} is not a valid load result: {exc}.",
            remedy="Give a result.json written by --report, or the output of --json.",
        ) from exc


def _write_report(result: LoadResult, directory: Path) -> None:
    """Write the report page; import the plotting library only when it is needed."""
    from .load_page import write_report

    page = write_report(result, directory)
    typer.echo(f"Wrote the report to {page}.", err=True)


def _require(values: tuple[str, ...], option: str) -> tuple[str, ...]:
    if not values:
        raise AmaranthferryError(
            f"{option} is missing.", remedy=f"Give {option} at least once."
        )
    return values


def _parse_keys(values: tuple[str, ...]) -> dict[str, str]:
    """Parse WORKSPACE=KEY; a value without a workspace is the default key."""
    keys: dict[str, str] = {}
    for value in values:
        workspace, _, key = value.rpartition("=")
        keys[workspace] = key
    return keys
