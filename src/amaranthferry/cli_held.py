"""Define the `held` commands."""

import asyncio
from typing import Annotated

import aiohttp
import msgspec
import typer
from rich.console import Console
from rich.table import Table

from .cli_hosts import HostUnreachable, Json
from .harm.ledger import HeldSubject
from .types import Seconds

CALL_TIMEOUT: Seconds = 10.0

app = typer.Typer(
    help="List and lift what is held for ending servers: requests and prompt parts.",
    no_args_is_help=True,
)
Host = Annotated[
    str, typer.Option("--host", help="Metrics address of an entry host, IP:PORT.")
]
PeerKey = Annotated[
    str,
    typer.Option(
        "--peer-key", envvar="AMARANTHFERRY_PEER_KEY", help="The hosts' peer key."
    ),
]


@app.command("list")
def list_held(*, host: Host, as_json: Json = False) -> None:
    """List what is held as one host knows it."""
    held = asyncio.run(_call("GET", host, "/held-parts"))
    if as_json:
        typer.echo(msgspec.json.encode(held).decode())
        return
    names = [field.name for field in msgspec.structs.fields(HeldSubject)]
    table = Table(*(name.replace("_", " ") for name in names))
    for item in held:
        table.add_row(*(_cell(getattr(item, name)) for name in names))
    Console().print(table)


@app.command()
def lift(subject: str, *, host: Host, peer_key: PeerKey) -> None:
    """Lift the hold on a part or a request, by its number, on all hosts.

    New ends of servers may renew it.
    """
    held = asyncio.run(_call("POST", host, f"/held-parts/{subject}/lift", peer_key))
    typer.echo(f"{subject}: {len(held)} holds lifted.")


def _cell(value: object) -> str:
    if isinstance(value, tuple):
        return " ".join(value) or "-"
    return "-" if value in ("", None) else str(value)


async def _call(method: str, host: str, path: str, key: str = "") -> list[HeldSubject]:
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
    url = f"http://{host}{path}"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
            session.request(method, url) as answer,
        ):
            body = await answer.read()
    except (aiohttp.ClientError, TimeoutError) as exc:
        raise HostUnreachable(
            f"{host} did not answer: {exc}.",
            remedy="Name the last port of a running host's port range.",
        ) from exc
    if answer.status not in (200, 404):
        raise HostUnreachable(
            f"{host} answered {answer.status}: {body.decode(errors='replace')}",
            remedy="Check the subject, a hex number, and the peer key.",
        )
    return msgspec.json.decode(body, type=list[HeldSubject])
