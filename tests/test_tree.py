from pathlib import Path

import msgspec
import pytest
from returns.pipeline import is_successful

from amaranthferry.schema import HOST_SECTIONS, SECTIONS
from amaranthferry.tree import compile_tree

EXAMPLES = Path(__file__).parent.parent / "examples"

TOP = """\
[tier urgent]
rank = 0

[class question]
default_timeout = 10s

[workspace field]
tier = urgent
classes = question
default_class = question
"""


def write(root, files):
    for name, text in files.items():
        path = root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    return root


def errors_of(root, files):
    return [str(exc) for exc in compile_tree(write(root, files)).failure()]


@pytest.mark.parametrize(
    ("example", "zone_count", "engine_count", "service_count"),
    [("kyklos", 3, 5, 3), ("dalmavest", 4, 5, 4)],
)
def test_examples_compile_to_the_expected_counts(
    example, zone_count, engine_count, service_count
):
    deployment = compile_tree(EXAMPLES / example).unwrap()
    kinds = [deployment.pools[s.pool].kind for s in deployment.servers.values()]
    assert len({server.zone for server in deployment.servers.values()}) == zone_count
    assert (kinds.count("engine"), kinds.count("service")) == (
        engine_count,
        service_count,
    )
    assert len({s.kind for s in deployment.servers.values()}) == 4
    assert len(deployment.workspaces) == 5
    assert len(deployment.tiers) == 3
    assert {s.fences_orders for s in deployment.servers.values()} == {True, False}
    assert any(work_class.never_repeated for work_class in deployment.classes.values())


@pytest.mark.parametrize("schema", [*SECTIONS.values(), *HOST_SECTIONS.values()])
def test_schema_covers_each_field_of_its_struct(schema):
    if schema.struct is None:
        return
    fields = {field.name for field in msgspec.structs.fields(schema.struct)}
    assert fields - set(schema.keys) <= {"name"}
    assert set(schema.keys) - fields <= {"drained"}


def test_child_inherits_and_overrides(tmp_path):
    files = {
        "settings.ini": TOP,
        "leaf/settings.ini": "[class question]\noverride default_timeout = 1m\nrank = 2\n",
    }
    deployment = compile_tree(write(tmp_path, files)).unwrap()
    work_class = deployment.classes["question"]
    assert (work_class.default_timeout, work_class.rank) == (60.0, 2)
    assert deployment.name == "leaf"


def test_repeated_key_without_override_names_both_locations(tmp_path):
    files = {
        "settings.ini": TOP,
        "leaf/settings.ini": "[class question]\ndefault_timeout = 1m\n",
    }
    (error,) = errors_of(tmp_path, files)
    top = tmp_path.name
    assert error.startswith(f"{top}/leaf/settings.ini:2: ")
    assert f"inherited from {top}/settings.ini:5." in error
    assert "override default_timeout" in error


@pytest.mark.parametrize(
    ("text", "line", "expected"),
    [
        ("[limits]\nmax_body = 1MB\n", 2, "Write a size such as 64KiB or 1MiB."),
        ("[limits]\nfreshness = 30\n", 2, "Write a duration such as 30s"),
        ("[limits]\nfreshnes = 30s\n", 2, "Did you mean freshness?"),
        ("[limit]\nfreshness = 30s\n", 2, "'limit' is not a known section"),
        ("[tier]\nrank = 1\n", 2, "Write [tier NAME]"),
        ("[class night]\nbulk = maybe\n", 2, "Write yes or no."),
        ("[pool a]\nbulk_share = 1.5\n", 2, "Write a fraction from 0 to 1"),
        ("[tier slow]\nrank = 0\n", 2, "same rank as [tier urgent]"),
        ("[tier slow]\nrank = 1\n[tier slow]\nrank = 2\n", 4, "given twice"),
        ("[limits]\noverride freshness = 30s\n", 2, "overrides nothing"),
        ("freshness = 30s\n", 1, "before any section"),
        ("[limit]\n", 1, "'limit' is not a known section"),
        ("[tier slow]\n", 1, "lacks rank"),
        ("[limits]\nfreshness\n", 2, "neither a section, a key nor a comment"),
        ("[class x]\ndefault_timeout = 13h\n", 2, "above max_timeout"),
        ("[workspace w]\ntier = urgent\n", 2, "lacks classes"),
        ("[operators]\nkey_hashes = secret\n", 2, "SHA-256"),
    ],
)
def test_errors_name_location_and_remedy(tmp_path, text, line, expected):
    errors = errors_of(tmp_path, {"settings.ini": TOP, "more.ini": text})
    located = [error for error in errors if f"/more.ini:{line}: " in error]
    assert any(expected in error for error in located), errors


def test_check_reports_every_error_at_once(tmp_path):
    text = "stray = 1\n[limits]\nnonsense\nmax_body = 1\nx = 2\n[pool p]\nkind = a\n"
    errors = errors_of(tmp_path, {"settings.ini": text})
    lines = [int(error.split(":")[1]) for error in errors]
    assert lines == [1, 3, 4, 5, 7]


@pytest.mark.parametrize(
    ("section", "expected"),
    [
        ("[server s]\npool = p\nzone = z\naddress = 10.0.0.1:70000\n", "IP address"),
        (
            "[workspace w]\ntier=slow\nclasses=question\ndefault_class=question\n",
            "slow",
        ),
        (
            "[service s]\npool = p\nwork_class = question\nwrite_class = question\n",
            "kind",
        ),
        ("[server s]\npool = p\nzone = z\naddress = host:1\n", "IP address"),
        (
            "[server s]\npool = p\nzone = z\naddress = 10.0.0.1:1\nmodels = m\n",
            "models",
        ),
        ("[server s]\npool = q\nzone = z\naddress = 10.0.0.1:1\n", "pool 'q'"),
    ],
)
def test_references_are_checked(tmp_path, section, expected):
    text = TOP + "[pool p]\nkind = engine\n" + section
    (error,) = errors_of(tmp_path, {"settings.ini": text})
    assert expected in error


def test_two_deployments_require_a_choice(tmp_path):
    files = {"settings.ini": TOP, "a/settings.ini": "", "b/settings.ini": ""}
    (error,) = errors_of(tmp_path, files)
    assert "Name one of them: a, b." in error
    assert is_successful(compile_tree(tmp_path / "b"))


def test_drained_server_is_listed_in_the_deployment(tmp_path):
    server = "[server s]\npool = p\nzone = z\naddress = 10.0.0.1:1\ndrained = yes\n"
    text = TOP + "[pool p]\nqueue_limit = 3\n" + server
    deployment = compile_tree(write(tmp_path, {"settings.ini": text})).unwrap()
    assert deployment.drained == ("s",)
