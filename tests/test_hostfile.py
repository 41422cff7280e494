from pathlib import Path

import pytest

from amaranthferry.hostfile import read_host_config

HOST = """\
[host]
host = h1
zone = larisa
http_address = 10.0.0.1:8000
peer_address = 10.0.0.1:8001
platform_url = http://10.0.0.9:9000/
peer_key = shared
seeds = 10.0.0.2:8001, 10.0.0.3:8001
"""


def test_reads_a_complete_host_file(tmp_path):
    path = tmp_path / "host.ini"
    path.write_text(HOST)
    cfg = read_host_config(path).unwrap()
    assert cfg.capacity == 0.0
    assert (cfg.host, cfg.zone, cfg.log_level) == ("h1", "larisa", "info")
    assert cfg.seeds == ("10.0.0.2:8001", "10.0.0.3:8001")
    assert cfg.platform_url == "http://10.0.0.9:9000"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (HOST.replace("zone = larisa\n", ""), ["lacks zone"]),
        (HOST + "zone = volos\n", ["given twice"]),
        (HOST + "[hosts]\nx = 1\n", ["not a known section"]),
        (HOST.replace("10.0.0.1:8000", "larisa:8000"), ["IP address"]),
        ("", ["lacks host", "lacks zone", "lacks http_address"]),
    ],
)
def test_errors_are_reported_together(tmp_path, text, expected):
    path = tmp_path / "host.ini"
    path.write_text(text)
    errors = [str(exc) for exc in read_host_config(path).failure()]
    assert all(any(message in error for error in errors) for message in expected), (
        errors
    )


def test_missing_file_is_a_typed_error(tmp_path):
    (error,) = read_host_config(tmp_path / "none.ini").failure()
    assert "Make the file readable." in str(error)


def test_example_host_file_is_valid():
    path = Path(__file__).parent.parent / "examples" / "host.ini"
    assert read_host_config(path).unwrap().zone == "larisa"


def test_capacity_is_a_number_above_zero(tmp_path):
    path = tmp_path / "host.ini"
    path.write_text(HOST + "capacity = 2.5\n")
    assert read_host_config(path).unwrap().capacity == 2.5
    path.write_text(HOST + "capacity = 0\n")
    (error,) = read_host_config(path).failure()
    assert "above 0" in str(error)
