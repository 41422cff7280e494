"""Read INI files with configparser, and record the line of each key."""

import configparser
from collections.abc import Iterator
from pathlib import Path

import msgspec

from .exceptions import SettingsError

OVERRIDE = "override"
MAX_FILE_BYTES = 64 * 1024 * 1024

# Section for keys before the first header; no file can contain its name.
_NO_SECTION = "\0none"
_NO_DEFAULTS = "\0defaults"


class Setting(msgspec.Struct, frozen=True):
    """Represent one key as written, with its location."""

    section: str
    key: str
    value: str
    file: str
    line: int
    override: bool = False

    @property
    def location(self) -> str:
        """Return the file and line."""
        return f"{self.file}:{self.line}"


class IniFile(msgspec.Struct, frozen=True):
    """Store the settings, section lines and errors of one file."""

    name: str
    settings: tuple[Setting, ...] = ()
    section_lines: dict[str, int] = {}
    errors: tuple[SettingsError, ...] = ()


class _LineTracker:
    """Iterate over lines for configparser, and track the current line number."""

    def __init__(self, lines: list[str]) -> None:
        self.lines = lines
        self.line = 0
        self.section_lines: dict[str, int] = {}

    def __iter__(self) -> Iterator[str]:
        yield f"[{_NO_SECTION}]\n"
        for text in self.lines:
            self.line += 1
            if text.startswith("["):
                name = text[1:].rpartition("]")[0]
                self.section_lines.setdefault(name, self.line)
            yield text


class _LineParser(configparser.RawConfigParser):
    """Prefix each key with its line, so that repeated keys are not merged."""

    def __init__(self, tracker: _LineTracker) -> None:
        super().__init__(
            default_section=_NO_DEFAULTS,
            delimiters=("=",),
            comment_prefixes=("#", ";"),
            empty_lines_in_values=False,
            interpolation=None,
            strict=False,
        )
        self._tracker = tracker

    def optionxform(self, optionstr: str) -> str:
        """Return the key with its line number as a prefix."""
        return f"{self._tracker.line}:{optionstr}"


def read_ini(path: Path, *, name: str) -> IniFile:
    """Read a file; `name` is the file name for errors."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            return _failed(
                name,
                f"The file exceeds {MAX_FILE_BYTES} bytes.",
                "Split it into several files in its directory.",
            )
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        reason = exc.strerror or "unknown error"
        return _failed(
            name, f"The file can't be read: {reason}.", "Make the file readable."
        )
    except UnicodeDecodeError:
        return _failed(name, "The file isn't UTF-8.", "Save it as UTF-8.")
    return parse_ini(text, name=name)


def parse_ini(text: str, *, name: str) -> IniFile:
    """Parse the text of a file."""
    tracker = _LineTracker(text.replace("\0", "\ufffd").split("\n"))
    parser = _LineParser(tracker)
    errors: list[SettingsError] = []
    try:
        parser.read_file(tracker, source=name)
    except configparser.ParsingError as exc:
        errors.extend(_syntax_error(name, line - 1) for line, _ in exc.errors)
    settings: list[Setting] = []
    for section in parser.sections():
        for tagged, value in parser.items(section, raw=True):
            setting = _untag(tagged, value, section=section, name=name)
            if section == _NO_SECTION:
                errors.append(_key_outside_section(setting))
            else:
                settings.append(setting)
    return IniFile(name, tuple(settings), tracker.section_lines, tuple(errors))


def _untag(tagged: str, value: str, *, section: str, name: str) -> Setting:
    line, _, key = tagged.partition(":")
    first, _, rest = key.partition(" ")
    override = first == OVERRIDE and bool(rest)
    return Setting(
        section=section,
        key=rest.strip() if override else key,
        value=value.strip(),
        file=name,
        line=int(line),
        override=override,
    )


def _failed(name: str, message: str, remedy: str) -> IniFile:
    error = SettingsError(message, remedy=remedy, file=name)
    return IniFile(name, errors=(error,))


def _syntax_error(name: str, line: int) -> SettingsError:
    return SettingsError(
        "This line is neither a section, a key nor a comment.",
        remedy="Write [SECTION], KEY = VALUE or # COMMENT.",
        file=name,
        line=line,
    )


def _key_outside_section(setting: Setting) -> SettingsError:
    return SettingsError(
        f"Key {setting.key!r} appears before any section.",
        remedy="Put a [SECTION] line above it.",
        file=setting.file,
        line=setting.line,
    )
