"""Define the `explain-request` command."""

from pathlib import Path
from typing import Annotated

import typer

from .request_trace import build_trace, read_lines


def explain_request(
    request: Annotated[
        str, typer.Argument(help="The request id or the caller's attempt id.")
    ],
    logs: Annotated[list[Path], typer.Option(help="Log files of all hosts.")],
) -> None:
    """Print the log events of one request on all hosts, with the state known then."""
    steps = build_trace(read_lines(logs), request)
    if not steps:
        typer.echo(
            f"No log line has the id {request}. Pass the log files of all hosts.",
            err=True,
        )
        raise typer.Exit(1)
    for step in steps:
        typer.echo(step.text())
