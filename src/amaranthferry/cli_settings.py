"""Define the `settings` commands."""

import getpass
import secrets
from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from returns.result import Failure, Success

from . import callers, publish
from .cli_output import fail, print_json, print_progress, print_table, run
from .config import Deployment
from .exceptions import AmaranthferryError, SettingsError
from .explain import Explanation
from .explain import explain as explain_key
from .objects import HttpObjectStore
from .publish import ApplyResult, Author
from .root import AuditEntry, Change
from .tree import compile_tree, list_deployments
from .types import SettingsVersion

app = typer.Typer(
    help="Check, compare and apply settings. Exit codes: 2 an error in the settings, "
    "3 the object API is unavailable or its answer was lost, 4 a version conflict.",
    no_args_is_help=True,
)

_NONCE_BYTES = 8
_MAX_CELL_WIDTH = 72

TreePath = Annotated[Path, typer.Argument(help="A directory of settings files.")]
Platform = Annotated[
    str,
    typer.Option(
        "--platform", envvar="AMARANTHFERRY_PLATFORM", help="The object API's URL."
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]


class CheckReport(msgspec.Struct, frozen=True):
    """Summarize a valid deployment."""

    deployment: str
    path: str
    workspaces: int
    servers: int


class DiffReport(msgspec.Struct, frozen=True):
    """Describe the active version and the changes against it."""

    version: SettingsVersion
    changes: tuple[Change, ...]


@app.command()
def check(path: TreePath, as_json: AsJson = False) -> None:
    """Report every error of all deployments at and below a directory."""
    if not path.is_dir():
        _compile(path, as_json=as_json)
    errors: dict[str, SettingsError] = {}
    reports: list[CheckReport] = []
    for leaf in list_deployments(path) or (path,):
        match compile_tree(leaf):
            case Success(deployment):
                reports.append(_report(leaf, deployment))
            case Failure(leaf_errors):
                errors.update((str(exc), exc) for exc in leaf_errors)
    if errors:
        fail(tuple(errors.values()), as_json=as_json)
    if as_json:
        print_json(reports)
        return
    for report in reports:
        typer.echo(
            f"{report.path}: {report.deployment} is valid: "
            f"{report.workspaces} workspaces, {report.servers} servers."
        )


@app.command()
def diff(path: TreePath, platform: Platform, as_json: AsJson = False) -> None:
    """Show what applying a deployment would change."""
    deployment = _compile(path, as_json=as_json)
    report = run(_diff(platform, deployment), as_json=as_json)
    if as_json:
        print_json(report)
        return
    typer.echo(f"Against version {report.version}, {len(report.changes)} changes:")
    _print_changes(report.changes)
    typer.echo(f"Apply with --expect {report.version} to require this base version.")


@app.command()
def apply(
    path: TreePath,
    platform: Platform,
    who: Annotated[
        str, typer.Option("--as", help="Your name in the audit trail.")
    ] = "",
    expect: Annotated[
        int | None, typer.Option(help="Fail if another version is active.")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Apply the settings of a deployment."""
    deployment = _compile(path, as_json=as_json)
    author = make_author(who)
    if not as_json:
        print_progress(f"Applying {len(deployment.workspaces)} workspaces ...")
    applied = run(_apply(platform, deployment, author, expect), as_json=as_json)
    if as_json:
        print_json(applied)
    elif applied.entry is None:
        typer.echo(f"Version {applied.version} already has these settings.")
    else:
        count = len(applied.entry.changes) + applied.entry.omitted
        typer.echo(f"Version {applied.version} is accepted with {count} changes.")


@app.command()
def explain(
    path: TreePath,
    key: Annotated[
        str, typer.Argument(help="SECTION/KEY, or SECTION for all its keys.")
    ],
    as_json: AsJson = False,
) -> None:
    """Show every origin of a value, up to the top of the settings tree."""
    try:
        explanations = explain_key(path, key)
    except SettingsError as exc:
        fail((exc,), as_json=as_json)
    if as_json:
        print_json(explanations)
        return
    rows = [row for item in explanations for row in _explain_rows(item)]
    print_table(("KEY", "VALUE", "FROM", ""), rows)


@app.command()
def history(
    platform: Platform,
    limit: Annotated[
        int, typer.Option(min=1, help="Number of changes, newest last.")
    ] = 20,
    as_json: AsJson = False,
) -> None:
    """List the accepted changes."""
    entries = run(_history(platform, limit), as_json=as_json)
    if as_json:
        print_json(entries)
    else:
        print_entries(entries)


@app.command("hash-key")
def hash_key() -> None:
    """Print the hash of a key; settings files contain only hashes."""
    key = typer.prompt("Key", hide_input=True, err=True)
    typer.echo(callers.hash_key(key))


def make_author(who: str) -> Author:
    """Return the author of a change, with the current time and a new nonce."""
    return Author(
        who=who or getpass.getuser(),
        when=datetime.now(UTC).isoformat(timespec="seconds"),
        nonce=secrets.token_hex(_NONCE_BYTES),
    )


def print_entries(entries: Sequence[AuditEntry]) -> None:
    """Print audit entries as a table."""
    rows = [
        (
            str(entry.version),
            str(entry.previous),
            entry.when,
            entry.who,
            _summary(entry),
        )
        for entry in entries
    ]
    print_table(("VERSION", "FROM", "WHEN", "WHO", "CHANGES"), rows)


async def _diff(url: str, deployment: Deployment) -> DiffReport:
    async with HttpObjectStore(url) as store:
        return DiffReport(*await publish.diff(store, deployment))


async def _apply(
    url: str, deployment: Deployment, author: Author, expect: int | None
) -> ApplyResult:
    expected = None if expect is None else SettingsVersion(expect)
    async with HttpObjectStore(url) as store:
        result = await publish.apply(store, deployment, author, expected=expected)
    return result.alt(_raise).unwrap()


async def _history(url: str, limit: int) -> tuple[AuditEntry, ...]:
    async with HttpObjectStore(url) as store:
        return await publish.read_history(store, limit=limit)


def _raise(exc: AmaranthferryError) -> None:
    raise exc


def _compile(path: Path, *, as_json: bool) -> Deployment:
    match compile_tree(path):
        case Success(deployment):
            return deployment
        case Failure(errors):
            fail(errors, as_json=as_json)
    raise AssertionError("A result is a success or a failure.")


def _report(path: Path, deployment: Deployment) -> CheckReport:
    return CheckReport(
        deployment=deployment.name,
        path=str(path),
        workspaces=len(deployment.workspaces),
        servers=len(deployment.servers),
    )


def _print_changes(changes: Sequence[Change]) -> None:
    rows = [
        (f"[{item.section}] {item.key}", _cell(item.before), _cell(item.after))
        for item in changes
    ]
    print_table(("KEY", "BEFORE", "AFTER"), rows)


def _cell(text: str) -> str:
    if not text:
        return "-"
    return text if len(text) <= _MAX_CELL_WIDTH else text[:_MAX_CELL_WIDTH] + "..."


def _summary(entry: AuditEntry) -> str:
    count = len(entry.changes) + entry.omitted
    if count != 1:
        return f"{count} changes"
    change = entry.changes[0]
    return (
        f"[{change.section}] {change.key}: "
        f"{_cell(change.before)} -> {_cell(change.after)}"
    )


def _explain_rows(item: Explanation) -> list[tuple[str, str, str, str]]:
    rows = []
    for index, origin in enumerate(item.origins):
        name = f"[{item.section}] {item.key}" if index == 0 else ""
        note = "active" if index == 0 else "overridden"
        rows.append((name, _cell(origin.value), origin.place or "default", note))
    return rows or [(f"[{item.section}] {item.key}", "-", "not given", "")]
