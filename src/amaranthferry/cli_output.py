"""Print tables, JSON and errors for the operators' commands."""

import asyncio
from collections.abc import Coroutine, Iterable, Sequence
from typing import Any, NoReturn, TypeVar

import msgspec
import typer

from .exceptions import AmaranthferryError, SettingsError

T = TypeVar("T")


class ErrorReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent an error in the output of `--json`."""

    message: str
    remedy: str
    file: str = ""
    line: int = 0


def print_json(value: object) -> None:
    """Print a value as one line of JSON."""
    typer.echo(msgspec.json.encode(value).decode())


def print_table(headers: Sequence[str], rows: Iterable[Sequence[str]]) -> None:
    """Print rows in aligned columns."""
    lines = [headers, *rows]
    columns = range(len(headers))
    widths = [max(len(line[column]) for line in lines) for column in columns]
    for line in lines:
        cells = [line[column].ljust(widths[column]) for column in columns]
        typer.echo("  ".join(cells).rstrip())


def print_progress(text: str) -> None:
    """Print a progress message to standard error."""
    typer.echo(text, err=True)


def run(coro: Coroutine[Any, Any, T], *, as_json: bool) -> T:
    """Run a coroutine and return its result, or print its error and exit."""
    try:
        return asyncio.run(coro)
    except AmaranthferryError as exc:
        fail((exc,), as_json=as_json)


def fail(errors: Sequence[AmaranthferryError], *, as_json: bool) -> NoReturn:
    """Print errors and exit with the exit code of the first one."""
    if as_json:
        print_json({"errors": [_report(exc) for exc in errors]})
    else:
        for exc in errors:
            typer.echo(str(exc), err=True)
    raise typer.Exit(errors[0].exit_code)


def _report(exc: AmaranthferryError) -> ErrorReport:
    if isinstance(exc, SettingsError):
        return ErrorReport(exc.message, exc.remedy, exc.file, exc.line)
    return ErrorReport(exc.message, exc.remedy)
