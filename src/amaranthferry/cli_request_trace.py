"""Explain one request to an operator, from logs alone."""

from pathlib import Path
from typing import Annotated

import typer

from .request_trace import build_trace, read_lines


def explain_request(
    request: Annotated[str, typer.Argument(help="The caller's attempt id.")],
    logs: Annotated[list[Path], typer.Option(help="Log files of all hosts.")],
) -> None:
    """Print every host's decisions about a request, in order."""
    steps = build_trace(read_lines(logs), request)
    if not steps:
        typer.echo(
            f"No log line contains request {request}. Pass the logs of every host.",
            err=True,
        )
        raise typer.Exit(1)
    for step in steps:
        typer.echo(step.text())
