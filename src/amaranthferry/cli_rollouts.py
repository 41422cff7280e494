"""Define the `rollouts` command."""

import asyncio
from typing import Annotated

import aiohttp
import msgspec
import typer
from rich.console import Console
from rich.table import Table

from .cli_hosts import HostUnreachable, Json
from .rollout.info import RolloutInfo
from .types import Seconds

CALL_TIMEOUT: Seconds = 10.0
#: Fields that the table shows; the evidence has a table of its own.
COLUMNS = (
    "service",
    "version",
    "state",
    "stage",
    "reason",
    "age",
    "duration",
    "decider",
    "old_servers",
    "new_servers",
    "requests",
    "exposed",
    "hosts",
    "all_requests",
    "all_exposed",
)
Host = Annotated[
    str, typer.Option("--host", help="Metrics address of an entry host, IP:PORT.")
]


def rollouts(*, host: Host, as_json: Json = False) -> None:
    """Show the rollouts as one host knows them, with their evidence.

    The host that decides on a rollout shows the evidence of all hosts, and each other
    one its own.
    """
    found = asyncio.run(_read(host))
    if as_json:
        typer.echo(msgspec.json.encode(found).decode())
        return
    console = Console()
    for item in found:
        for name in COLUMNS:
            value = getattr(item, name)
            console.print(f"{name.replace('_', ' ')}: {'-' if value == '' else value}")
        table = Table("route and side", "answers", "failures", "refusals")
        for key, counts in sorted(item.evidence.items()):
            table.add_row(key, *map(str, counts))
        console.print(table)


async def _read(host: str) -> list[RolloutInfo]:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{host}/rollouts") as answer,
        ):
            body = await answer.read()
    except (aiohttp.ClientError, TimeoutError) as exc:
        raise HostUnreachable(
            f"{host} did not answer: {exc}.",
            remedy="Name the last port of a running host's port range.",
        ) from exc
    if answer.content_type != "application/json":
        raise HostUnreachable(
            f"{host} knows no rollouts.",
            remedy="Enable them by `rollout` in `contracts` of its settings file.",
        )
    return msgspec.json.decode(body, type=list[RolloutInfo])
