"""Read the daemon's own INI file."""

from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from .config import HostConfig
from .exceptions import SettingsError
from .ini import Setting, read_ini
from .schema import HOST_SECTIONS
from .sections import parse_section

_TITLE = "host"


def read_host_config(path: Path) -> Result[HostConfig, tuple[SettingsError, ...]]:
    """Read the `[host]` section of a file, or return all errors."""
    name = str(path)
    file = read_ini(Path(path), name=name)
    if not file.settings and file.errors:
        return Failure(file.errors)
    errors = list(file.errors)
    grouped: dict[str, dict[str, Setting]] = {_TITLE: {}}
    for setting in file.settings:
        first = grouped.setdefault(setting.section, {}).setdefault(setting.key, setting)
        if first is not setting:
            errors.append(_duplicate_key_error(setting, first))
    values: dict[str, object] = {}
    for title, settings in grouped.items():
        location = Setting(title, "", "", name, file.section_lines.get(title, 0))
        section, section_errors = parse_section(
            title, settings.values(), HOST_SECTIONS, location=location
        )
        errors.extend(section_errors)
        if section is not None:
            values = section.values
    if errors:
        return Failure(tuple(sorted(errors, key=lambda exc: exc.line)))
    return Success(msgspec.convert(values, HostConfig))


def _duplicate_key_error(setting: Setting, first: Setting) -> SettingsError:
    return SettingsError(
        f"[{setting.section}] {setting.key} is given twice: also at {first.location}.",
        remedy="Keep one of the two.",
        file=setting.file,
        line=setting.line,
    )
