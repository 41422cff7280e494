import pytest

from amaranthferry.exceptions import SettingsError
from amaranthferry.platform.settings import HostSettings

TEXT = """nodeName=edge-1
zone=larisa
ip=10.1.0.25
listen.frontend=10.1.0.25:8221
listen.readiness=10.1.0.25:8224
portRange=7600,7615
platform.address=10.200.1.7:8225
heartbeatMs=1200
bounds.drainMs=2000
bounds.revokeMs=5000
bounds.strictRevoke=true
something.new=1
"""


def test_fields_are_read_with_their_units():
    settings = HostSettings.from_text(TEXT)
    assert settings.host == "edge-1"
    assert settings.ports == (7600, 7615)
    assert settings.heartbeat == pytest.approx(1.2)
    assert settings.bounds.drain == 2.0
    assert settings.bounds.strict_revoke


@pytest.mark.parametrize(
    ("line", "named"),
    [
        ("nodeName=", "nodeName"),
        ("listen.frontend=nowhere", "listen.frontend"),
        ("portRange=7600", "portRange"),
        ("bounds.revokeMs=soon", "bounds.revokeMs"),
    ],
)
def test_bad_field_is_named(line, named):
    key = line.partition("=")[0]
    kept = [text for text in TEXT.splitlines() if not text.startswith(f"{key}=")]
    with pytest.raises(SettingsError, match=named) as caught:
        HostSettings.from_text("\n".join([*kept, line]), file="settings.conf")
    assert "settings.conf" in str(caught.value)


def test_missing_file_raises_settings_error(tmp_path):
    with pytest.raises(SettingsError, match="can't be read"):
        HostSettings.from_file(tmp_path / "none")
