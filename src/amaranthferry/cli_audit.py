"""Define the `audit` command."""

from typing import Annotated

import typer

from .audit import AuditTrail, read_from_host, read_from_platform
from .cli_output import fail, print_json, print_progress, run
from .cli_settings import print_entries
from .exceptions import AmaranthferryError

app = typer.Typer(
    help="Show who changed which settings, when, and the values before and after."
)


@app.callback(invoke_without_command=True)
def audit(
    platform: Annotated[
        str,
        typer.Option(envvar="AMARANTHFERRY_PLATFORM", help="The object API's URL."),
    ] = "",
    host: Annotated[
        str,
        typer.Option(
            help="An entry host's URL, for use while the object API is unavailable."
        ),
    ] = "",
    operator_key: Annotated[
        str,
        typer.Option(
            envvar="AMARANTHFERRY_OPERATOR_KEY",
            help="Operator's key; required with --host.",
        ),
    ] = "",
    limit: Annotated[
        int, typer.Option(min=1, help="Number of changes, newest last.")
    ] = 20,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Show the most recent accepted changes, oldest first."""
    if not host and not platform:
        exc = AmaranthferryError(
            "Neither --platform nor --host was given.",
            remedy="Give --platform URL or --host URL.",
        )
        fail((exc,), as_json=as_json)
    trail = _read(platform, host, operator_key, limit, as_json=as_json)
    if as_json:
        print_json(trail)
        return
    print_progress(f"Read from {trail.source}.")
    print_entries(trail.entries)


def _read(
    platform: str, host: str, operator_key: str, limit: int, *, as_json: bool
) -> AuditTrail:
    if host:
        coro = read_from_host(host, operator_key=operator_key, limit=limit)
        return run(coro, as_json=as_json)
    return run(read_from_platform(platform, limit=limit), as_json=as_json)
