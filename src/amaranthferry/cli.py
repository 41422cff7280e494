"""Define the operators' command-line interface."""

import typer

from . import (
    cli_audit,
    cli_bench,
    cli_control,
    cli_held,
    cli_hosts,
    cli_load,
    cli_request_trace,
    cli_rollouts,
    cli_settings,
)
from .cli_demo import demo
from .cli_faults import faults
from .cli_soak import soak

app = typer.Typer(
    help="Operate an amaranthferry deployment.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.command()(demo)
app.command()(faults)
app.command()(soak)
app.command()(cli_hosts.status)
app.command()(cli_rollouts.rollouts)
app.command(name="explain-request")(cli_request_trace.explain_request)
app.add_typer(cli_hosts.servers, name="servers")
app.add_typer(cli_held.app, name="held")
# The name of the release before.
app.add_typer(cli_held.app, name="held-parts", hidden=True)
app.add_typer(cli_settings.app, name="settings")
app.add_typer(cli_audit.app, name="audit")
app.add_typer(cli_load.app, name="load")
app.add_typer(cli_bench.app, name="bench")
app.add_typer(cli_control.app, name="control")


def main() -> None:
    """Run the command line."""
    app()
