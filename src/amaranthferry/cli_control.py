"""Define the `control` commands."""

import asyncio
import itertools
from enum import StrEnum
from typing import Annotated

import msgspec
import typer

from .control_claims import measure_claims
from .control_data import measure_data_path
from .control_entry import measure_entry
from .control_limits import LimitCase, Trouble, draw_incidents, format_limits
from .control_members import measure_membership, measure_peers
from .control_overload import LARGE_HOSTS, Disruption, OverloadCase, format_overload
from .control_settings import measure_settings
from .control_shards import measure_coordinator, measure_lookup, request_bytes
from .harm.simulation import SLOTS, HarmCase, format_harm
from .slopes import Series, format_series, resident_bytes

#: Smallest simulated fleet: its servers and its requests per second.
MIN_SERVERS = 8
MIN_RATE = 40.0


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
def harmful_parts(
    hosts: Annotated[list[int], typer.Option()] = [3],  # noqa: B006
    share: Annotated[list[float], typer.Option()] = [0.1],  # noqa: B006
    delay: Annotated[list[float], typer.Option()] = [0.001],  # noqa: B006
    loss: Annotated[list[float], typer.Option()] = [0.0],  # noqa: B006
    other_ends: Annotated[list[float], typer.Option()] = [0.0],  # noqa: B006
    whole: Annotated[bool, typer.Option(help="One request, not a part.")] = False,
    plain: Annotated[bool, typer.Option(help="Plain services, not engines.")] = False,
    repeated: Annotated[
        float, typer.Option(help="Part of the sound requests that come again.")
    ] = 0.0,
    slots: Annotated[int, typer.Option(min=1)] = SLOTS,
    servers: Annotated[int, typer.Option(help="0: in proportion to the hosts.")] = 0,
    seeds: Annotated[int, typer.Option(min=1)] = 4,
) -> None:
    """Simulate what ends servers, for all combinations of the given values."""
    cases = [
        HarmCase(
            hosts=count,
            servers=servers or max(MIN_SERVERS, count // 3),
            rate=max(MIN_RATE, 1.5 * count),
            whole=whole or plain,
            plain=plain,
            repeated=repeated,
            slots=slots,
            share=part,
            delay=wait,
            loss=lost,
            other_ends=ends,
        )
        for count, part, wait, lost, ends in itertools.product(
            hosts, share, delay, loss, other_ends
        )
    ]
    typer.echo(format_harm(cases, range(1, seeds + 1)))


@app.command()
def limits(
    hosts: Annotated[list[int], typer.Option()] = [1, 3, 16, 64, 137, 200, 370],  # noqa: B006
    limit: Annotated[list[float], typer.Option(help="Of a server each.")] = [1.0, 2.2],  # noqa: B006
    plain: Annotated[bool, typer.Option(help="Plain services, not engines.")] = False,
    trouble: Annotated[list[Trouble], typer.Option()] = [],  # noqa: B006
    random_troubles: Annotated[int, typer.Option(min=0)] = 0,
    seeds: Annotated[int, typer.Option(min=1)] = 1,
) -> None:
    """Simulate servers that name limits, before fleets beside troubles of all kinds."""
    cases = [
        LimitCase(
            hosts=count,
            servers=max(MIN_SERVERS, count // 4),
            rate=max(MIN_RATE, 1.5 * count),
            plain=plain,
            limits=tuple(limit),
            incidents=draw_incidents(trouble, random_troubles, seed),
            seed=seed,
        )
        for count, seed in itertools.product(hosts, range(1, seeds + 1))
    ]
    typer.echo(format_limits(cases))


@app.command()
def overload(
    hosts: Annotated[list[int], typer.Option()] = [3, 16, 64, 137, 200, 370],  # noqa: B006
    case: Annotated[list[Disruption], typer.Option()] = list(Disruption),  # noqa: B006
    large_hosts: Annotated[int, typer.Option(min=0)] = LARGE_HOSTS,
    servers: Annotated[int, typer.Option(help="0: in proportion to the hosts.")] = 0,
    loss: Annotated[float, typer.Option()] = 0.0,
    seed: Annotated[int, typer.Option()] = 1,
) -> None:
    """Simulate disruptions of a fleet in virtual time, and what it serves after them."""
    cases = [
        OverloadCase(
            hosts=count,
            servers=servers,
            disruption=disruption,
            large_hosts=large_hosts,
            loss=loss,
            seed=seed,
        )
        for disruption, count in itertools.product(case, hosts)
    ]
    typer.echo(format_overload(cases))


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
