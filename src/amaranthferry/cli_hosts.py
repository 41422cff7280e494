"""Define the `status` and `servers` commands."""

import asyncio
from collections.abc import Coroutine
from typing import Annotated, Any, TypeVar

import aiohttp
import msgspec
import typer
from rich.console import Console
from rich.table import Table

from .exceptions import AmaranthferryError, RequestError
from .status import HostStatus
from .types import Seconds, ServerId

CALL_TIMEOUT: Seconds = 10.0
T = TypeVar("T")

servers = typer.Typer(help="List and drain backend servers.", no_args_is_help=True)

Urls = Annotated[
    list[str], typer.Option("--url", help="Base URL of an entry host; may be repeated.")
]
Key = Annotated[
    str, typer.Option("--key", envvar="AMARANTHFERRY_KEY", help="Operator's key.")
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]


class HostUnreachable(AmaranthferryError):  # noqa: N818
    """Report that an entry host did not respond."""

    exit_code = 5


def status(*, url: Urls, key: Key, as_json: Json = False) -> None:
    """Show hosts, shards, coordinators, settings versions and queues."""
    statuses = _read_all(url, key)
    if as_json:
        typer.echo(msgspec.json.encode(statuses).decode())
        return
    console = Console()
    console.print(_host_table(statuses))
    console.print(_shard_table(statuses))
    console.print(_queue_table(statuses))


@servers.command("list")
def list_servers(*, url: Urls, key: Key, as_json: Json = False) -> None:
    """List backend servers with the reported states of each."""
    statuses = _read_all(url, key)
    if as_json:
        typer.echo(msgspec.json.encode(statuses[0].servers).decode())
        return
    table = Table("server", "pool", "zone", "kind", "address", "reported states")
    for server in statuses[0].servers:
        reports = ", ".join(
            f"{source}: {state}" for source, state in server.signs.items()
        )
        cells = (server.server, server.pool, server.zone, server.kind, server.address)
        table.add_row(*cells, reports or "-")
    Console().print(table)


@servers.command()
def drain(server: str, *, url: Urls, key: Key, restore: bool = False) -> None:
    """Drain a server: stop sending it new work; running work finishes."""
    action = "restore" if restore else "drain"
    _run(_post_action(url[0], key, ServerId(server), action))
    typer.echo(f"{server}: {action} applied and stored.")


def _read_all(urls: list[str], key: str) -> list[HostStatus]:
    return _run(_gather(urls, key))


async def _gather(urls: list[str], key: str) -> list[HostStatus]:
    async with _session(key) as session:
        return list(await asyncio.gather(*(_read(session, url) for url in urls)))


def _session(key: str) -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
    headers = {"Authorization": f"Bearer {key}"}
    return aiohttp.ClientSession(headers=headers, timeout=timeout)


async def _read(session: aiohttp.ClientSession, url: str) -> HostStatus:
    async with session.get(f"{url.rstrip('/')}/operator/status") as response:
        body = await response.read()
        _raise_for_status(response.status, body)
        return msgspec.json.decode(body, type=HostStatus)


async def _post_action(url: str, key: str, server: ServerId, action: str) -> None:
    path = f"{url.rstrip('/')}/operator/servers/{server}/{action}"
    async with _session(key) as session, session.post(path) as response:
        _raise_for_status(response.status, await response.read())


class _ProblemBody(msgspec.Struct):
    title: str = "The host refused the request and gave no reason."
    remedy: str = "Check the host's log."
    type: str = ""


def _raise_for_status(status_code: int, body: bytes) -> None:
    if status_code < 400:
        return
    try:
        problem = msgspec.json.decode(body, type=_ProblemBody)
    except msgspec.DecodeError:
        problem = _ProblemBody()
    raise RequestError(
        problem.title, remedy=problem.remedy, status=status_code, code=problem.type
    )


def _run(coro: Coroutine[Any, Any, T]) -> T:
    try:
        return asyncio.run(coro)
    except AmaranthferryError as exc:
        typer.echo(str(exc), err=True)
        raise typer.Exit(exc.exit_code) from exc
    except (aiohttp.ClientError, TimeoutError) as exc:
        unreachable = HostUnreachable(
            f"The entry host did not respond ({type(exc).__name__}).",
            remedy="Check --url or give the URL of another entry host.",
        )
        typer.echo(str(unreachable), err=True)
        raise typer.Exit(unreachable.exit_code) from exc


def _host_table(statuses: list[HostStatus]) -> Table:
    table = Table("host", "zone", "settings", "current", "draining", "known hosts")
    for host in statuses:
        table.add_row(
            host.host,
            host.zone,
            str(host.settings_version),
            "yes" if host.settings_current else "no",
            "yes" if host.draining else "no",
            str(len(host.hosts)),
        )
    return table


def _shard_table(statuses: list[HostStatus]) -> Table:
    table = Table("shard", "coordinator", "reported by", "wait by tier (s)")
    for host in statuses:
        for shard in host.shards:
            waits = " ".join(f"{wait:.2f}" for wait in shard.waits) or "-"
            table.add_row(shard.shard, shard.coordinator, host.host, waits)
    return table


def _queue_table(statuses: list[HostStatus]) -> Table:
    table = Table("host", "tier and state", "requests")
    for host in statuses:
        for name, count in sorted(host.requests.items()):
            table.add_row(host.host, name, str(count))
    return table
