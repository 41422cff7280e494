import pytest
from typer.testing import CliRunner

from amaranthferry.cli_control import app
from amaranthferry.control_claims import count_writes
from amaranthferry.control_entry import Driver
from amaranthferry.control_settings import publish_and_change
from amaranthferry.control_shards import request_bytes, request_messages
from amaranthferry.slopes import Series, cpu_microseconds, format_series, state_bytes

MEBIBYTE = 1024 * 1024
CONTROL_MEMORY_BYTES = 32 * MEBIBYTE


def series(values):
    return Series("role", "state", "bytes", "host", (1, 2, 3, 4), values)


def test_line_is_fitted_through_its_points():
    line = series((110.0, 120.0, 130.0, 140.0))
    assert (line.slope, line.intercept) == pytest.approx((10.0, 100.0))
    assert line.residual == pytest.approx(0.0)


def test_nonlinear_series_has_a_large_residual():
    assert series((1.0, 4.0, 9.0, 16.0)).residual > 0.05


def test_report_names_sizes_slope_and_residual():
    text = format_series([series((110.0, 120.0, 130.0, 140.0))])
    assert "| 100 | 10 per host | 0.0% |" in text.splitlines()[-1]


def test_state_bytes_counts_retained_memory():
    size, retained = state_bytes(lambda: bytearray(1_000_000))
    assert len(retained) <= size < len(retained) + 10_000


def test_processor_time_is_per_call():
    calls = []
    assert cpu_microseconds(lambda: calls.append(1), calls=1, repeats=3) >= 0.0
    assert len(calls) == 3


def test_progress_reports_add_their_bytes():
    report_bytes = request_bytes(2) - request_bytes(1)
    assert report_bytes == request_bytes(1) - request_bytes(0) > 0
    assert len(request_messages(2)) == 5


async def test_settings_at_full_size_fit_a_host_and_change_by_one_chunk():
    cost = await publish_and_change(27_000)
    assert cost.held_bytes < CONTROL_MEMORY_BYTES * 0.75
    assert cost.change_chunks == 1
    assert cost.change_bytes < cost.stored_bytes / 10
    assert cost.root_bytes < MEBIBYTE / 10


@pytest.mark.parametrize("workspaces", [100, 3_000])
async def test_writes_of_a_change_do_not_grow_with_the_settings(workspaces):
    cost = await publish_and_change(workspaces)
    assert cost.change_writes <= 3


async def test_concurrent_claims_on_one_host_share_writes():
    assert await count_writes(256, 1) < 2 * 256


def test_entry_driver_completes_each_request():
    driver = Driver(3)
    for _ in range(5):
        driver.run_request()
    assert driver.state.requests == {}
    driver.receive_request()
    assert len(driver.state.requests) == 1


@pytest.mark.parametrize(
    ("command", "unit"),
    [(["base"], "bytes"), (["messages", "--progress", "3"], "bytes")],
)
def test_control_command_prints_figures(command, unit):
    result = CliRunner().invoke(app, command)
    assert result.exit_code == 0
    number, printed = result.output.split()
    assert int(number.replace(",", "")) > 0
    assert printed == unit
