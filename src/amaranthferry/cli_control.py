"""Define the `control` commands."""

import asyncio
from enum import StrEnum
from typing import Annotated

import msgspec
import typer

from .control_claims import measure_claims
from .control_data import measure_data_path
from .control_entry import measure_entry
from .control_members import measure_membership, measure_peers
from .control_settings import measure_settings
from .control_shards import measure_coordinator, measure_lookup, request_bytes
from .slopes import Series, format_series, resident_bytes


class Component(StrEnum):
    """Represent a component whose cost is measured."""

    MEMBERSHIP = "membership"
    PEERS = "peers"
    COORDINATOR = "coordinator"
    SETTINGS = "settings"
    CLAIMS = "claims"
    ENTRY = "entry"
    DATA = "data"


app = typer.Typer(help="Measure the control-plane cost of each component.")


@app.callback()
def control() -> None:
    """Measure the control-plane cost of each component."""


@app.command()
def base() -> None:
    """Print the resident memory of this process before any measurement."""
    typer.echo(f"{resident_bytes():,} bytes")


@app.command()
def messages(
    progress: Annotated[int, typer.Option(help="Progress reports per request.")] = 2,
) -> None:
    """Print the total size of one request's permit messages."""
    typer.echo(f"{request_bytes(progress):,} bytes")


@app.command()
def slopes(
    part: Annotated[list[Component], typer.Option()] = [],  # noqa: B006
    seed: Annotated[int, typer.Option()] = 1,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Measure each component at several sizes and fit a line through the results."""
    series: list[Series] = []
    for component in part or list(Component):
        series += _measure(component, seed)
    typer.echo(msgspec.json.encode(series) if as_json else format_series(series))


def _measure(component: Component, seed: int) -> list[Series]:
    match component:
        case Component.MEMBERSHIP:
            return measure_membership(seed)
        case Component.PEERS:
            return asyncio.run(measure_peers())
        case Component.COORDINATOR:
            return measure_coordinator() + measure_lookup()
        case Component.CLAIMS:
            return asyncio.run(measure_claims())
        case Component.ENTRY:
            return measure_entry()
        case Component.DATA:
            return asyncio.run(measure_data_path())
        case Component.SETTINGS:
            return asyncio.run(measure_settings())


if __name__ == "__main__":
    app()
