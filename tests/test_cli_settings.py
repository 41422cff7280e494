import contextlib
import json
from pathlib import Path

import pytest
import typer
from typer.testing import CliRunner

from amaranthferry import audit as audit_module
from amaranthferry import cli_audit, cli_settings
from amaranthferry.objects import MemoryObjectStore

EXAMPLES = Path(__file__).parent.parent / "examples"
KYKLOS = str(EXAMPLES / "kyklos")
WHEN = "2026-12-03T20:00:00+00:00"

app = typer.Typer()
app.add_typer(cli_settings.app, name="settings")
app.add_typer(cli_audit.app, name="audit")


@pytest.fixture
def store(monkeypatch):
    memory_store = MemoryObjectStore()

    @contextlib.asynccontextmanager
    async def open_store(url):
        yield memory_store

    monkeypatch.setattr(cli_settings, "HttpObjectStore", open_store)
    monkeypatch.setattr(audit_module, "HttpObjectStore", open_store)
    make = cli_settings.make_author
    monkeypatch.setattr(
        cli_settings,
        "make_author",
        lambda who: cli_settings.Author(who, WHEN, make(who).nonce),
    )
    return memory_store


def run(*args):
    result = CliRunner().invoke(app, args)
    return f"exit {result.exit_code}\n{result.output}", result


def copy_with_change(tmp_path, old, new):
    """Copy the example with one line changed."""
    for path in (EXAMPLES / "kyklos").rglob("*.ini"):
        copy = tmp_path / "kyklos" / path.relative_to(EXAMPLES / "kyklos")
        copy.parent.mkdir(parents=True, exist_ok=True)
        copy.write_text(path.read_text().replace(old, new))
    return str(tmp_path / "kyklos")


def test_session_of_two_operators(store, tmp_path, snapshot):
    """Check, diff and apply a tree, cause an --expect conflict, and read the history."""
    platform_args = ("--platform", "http://p")
    other = copy_with_change(tmp_path, "bulk_share = 0.35", "bulk_share = 0.3")
    steps = [
        ("settings", "check", other),
        ("settings", "apply", KYKLOS, *platform_args, "--as", "ana"),
        ("settings", "apply", KYKLOS, *platform_args, "--as", "ana"),
        ("settings", "diff", other, *platform_args),
        ("settings", "apply", other, *platform_args, "--as", "bo", "--expect", "1"),
        ("settings", "apply", KYKLOS, *platform_args, "--as", "ana", "--expect", "1"),
        ("settings", "history", *platform_args),
        ("audit", *platform_args),
    ]
    texts = [f"$ {' '.join(step)}\n{run(*step)[0]}" for step in steps]
    text = "\n".join(texts).replace(KYKLOS, "examples/kyklos")
    assert text.replace(str(tmp_path), "tmp") == snapshot


def test_explain_shows_each_origin(snapshot):
    assert run("settings", "explain", KYKLOS, "class grade-payment")[0] == snapshot


def test_errors_of_a_tree(tmp_path, snapshot):
    tree = copy_with_change(tmp_path, "override default_timeout", "default_timeout")
    (tmp_path / "kyklos" / "thessaly" / "more.ini").write_text(
        "[limits]\nfreshnes = 3s\noverride max_body = 1MB\n[pool x]\nkind = fast\n"
    )
    assert run("settings", "check", tree)[0] == snapshot


@pytest.mark.parametrize(
    "command", ["diff", "apply", "history", "check", "explain", "audit"]
)
def test_each_command_prints_json(store, command):
    platform_args = ("--platform", "http://p")
    run("settings", "apply", KYKLOS, *platform_args, "--as", "ana")
    args = {
        "diff": ("settings", "diff", KYKLOS, *platform_args),
        "apply": ("settings", "apply", KYKLOS, *platform_args, "--as", "ana"),
        "history": ("settings", "history", *platform_args),
        "check": ("settings", "check", KYKLOS),
        "explain": ("settings", "explain", KYKLOS, "limits/max_body"),
        "audit": ("audit", *platform_args),
    }[command]
    _, result = run(*args, "--json")
    assert result.exit_code == 0
    assert json.loads(result.stdout)


@pytest.mark.parametrize(
    ("args", "code"),
    [
        (("settings", "check", "missing"), 2),
        (("settings", "explain", KYKLOS, "limits/none"), 2),
        (("settings", "explain", KYKLOS, "class none/rank"), 2),
        (("settings", "diff", KYKLOS, "--platform", "http://127.0.0.1:1"), 3),
        (("settings", "history", "--platform", "http://127.0.0.1:1"), 3),
        (("audit", "--platform", "http://127.0.0.1:1"), 3),
        (("audit", "--host", "http://127.0.0.1:1"), 3),
        (("audit",), 1),
    ],
)
def test_exit_codes_and_remedies(args, code):
    _, result = run(*args, "--json")
    assert result.exit_code == code
    (error,) = json.loads(result.stdout)["errors"]
    assert error["remedy"]


def test_outage_ends_apply_with_its_exit_code(store):
    store.outage = True
    text, _ = run("settings", "apply", KYKLOS, "--platform", "http://p", "--as", "a")
    assert text.startswith("exit 3\n")
