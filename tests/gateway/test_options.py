"""Guard against options that are silently ignored or read as something else."""

from pathlib import Path

import pytest

from amaranthferry.exceptions import SettingsError
from amaranthferry.gateway.options import HostOptions


def write(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "options.ini"
    path.write_text(text)
    return path


def test_without_a_file_optional_features_are_off():
    assert not HostOptions.from_arguments([]).hedging.enabled


def test_values_are_read_by_section(tmp_path):
    path = write(tmp_path, "[hedging]\nenabled = true\nlimit = 0.05\n")

    options = HostOptions.from_arguments([str(path)])

    assert (options.hedging.enabled, options.hedging.limit) == (True, 0.05)


@pytest.mark.parametrize(
    "text",
    [
        "[heding]\n",
        "[hedging]\nlimits = 0.1\n",
        "[hedging]\nlimit = much\n",
        "[hedging]\nlimit = -0.1\n",
        "[hedging]\nlimit = 2\n",
        "[hedging]\nlimit = nan\n",
        "[intake]\nmemory_share = 1.5\n",
        "[intake]\ndescriptor_share = 0\n",
        "[intake]\nunread_s = -1\n",
    ],
)
def test_errors_name_the_file_and_the_line(tmp_path, text):
    path = write(tmp_path, text)

    with pytest.raises(SettingsError) as caught:
        HostOptions.from_file(path)

    assert str(caught.value).startswith(f"{path}:1: ")


def test_missing_file_is_an_error(tmp_path):
    with pytest.raises(SettingsError):
        HostOptions.from_file(tmp_path / "absent.ini")
