import msgspec
import pytest
from typer.testing import CliRunner

from amaranthferry.cli_load import app
from amaranthferry.load import LoadPlan, LoadResult, Sample, summarize
from amaranthferry.load_compare import format_comparison
from amaranthferry.load_page import write_report
from amaranthferry.types import Outcome

PLAN = LoadPlan(urls=("http://127.0.0.1:9",), keys={"": "secret"}, duration=4.0)
COUNTERS = {"prefill_tokens": 200, "wasted_prefill.late": 10, "platform_calls.get": 3}


def sample(at, outcome, **changes):
    fields = {"late": False, "first_token": 0.2, "elapsed": 0.5, "status": 200}
    tier = changes.pop("tier", "urgent")
    return Sample(tier=tier, work_class="c", at=at, outcome=outcome, **fields | changes)


def result(*, seed=1, counters=COUNTERS):
    samples = [
        sample(0.0, Outcome.DONE),
        sample(1.0, Outcome.DONE, late=True, tier="<standard>"),
        sample(2.0, Outcome.NOT_RUN, status=429),
        sample(3.0, Outcome.UNKNOWN, status=502),
    ]
    plan = msgspec.structs.replace(PLAN, seed=seed)
    return summarize(plan, samples, counters)


@pytest.mark.parametrize(("counters", "plots"), [(COUNTERS, 4), ({}, 3)])
def test_the_page_shows_its_figures_and_plots(tmp_path, counters, plots):
    page = write_report(result(counters=counters), tmp_path / "new")
    text = page.read_text()
    images = sorted(page.parent.glob("*.png"))
    assert len(images) == plots
    assert all(image.name in text for image in images)
    assert all(image.read_bytes().startswith(b"\x89PNG") for image in images)
    assert "33.3%" in text
    assert ("5.0%" in text) == bool(counters)


def test_names_are_escaped_and_keys_are_left_out(tmp_path):
    write_report(result(), tmp_path)
    text = (tmp_path / "index.html").read_text()
    assert "&lt;standard&gt;" in text
    assert "<standard>" not in text
    assert "secret" not in (tmp_path / "result.json").read_text()


def test_the_saved_result_reads_back(tmp_path):
    write_report(result(), tmp_path)
    saved = (tmp_path / "result.json").read_bytes()
    assert msgspec.json.decode(saved, type=LoadResult) == result()


def test_a_run_without_answers_can_be_shown(tmp_path):
    empty = summarize(PLAN, [sample(0.0, Outcome.NOT_RUN)], {})
    assert write_report(empty, tmp_path).exists()


@pytest.mark.parametrize(("seed", "warned"), [(1, False), (2, True)])
def test_a_comparison_warns_of_different_traffic(seed, warned):
    text = format_comparison(result(), result(seed=seed))
    assert ("different traffic" in text) == warned


def test_the_compare_command_shows_changes(tmp_path):
    write_report(result(), tmp_path / "a")
    write_report(result(counters={"wasted_prefill.late": 4}), tmp_path / "b")
    files = [str(tmp_path / name / "result.json") for name in "ab"]
    shown = CliRunner().invoke(app, ["compare", *files])
    assert shown.exit_code == 0
    assert "-6.000" in shown.stdout


def test_the_compare_command_names_a_file_without_a_result(tmp_path):
    bad = tmp_path / "bad.json"
    bad.write_text("[]")
    shown = CliRunner().invoke(app, ["compare", str(bad), str(bad)])
    assert shown.exit_code == 1
    assert "result.json" in shown.stderr
