"""Parse the keys of one settings section into typed values."""

from collections.abc import Iterable, Mapping
from difflib import get_close_matches

import msgspec

from .exceptions import SettingsError
from .ini import Setting
from .schema import SectionSchema
from .units import is_name


class Section(msgspec.Struct, frozen=True):
    """Store the typed values of one section, and the setting that each came from."""

    title: str
    kind: str
    name: str
    values: dict[str, object]
    settings: dict[str, Setting]
    location: Setting

    def error(self, key: str, message: str, *, remedy: str) -> SettingsError:
        """Return an error at the location of a key, or of the section without it."""
        setting = self.settings.get(key, self.location)
        return SettingsError(
            f"[{self.title}] {message}",
            remedy=remedy,
            file=setting.file,
            line=setting.line,
        )


def parse_section(
    title: str,
    settings: Iterable[Setting],
    schemas: Mapping[str, SectionSchema],
    *,
    location: Setting,
) -> tuple[Section | None, list[SettingsError]]:
    """Parse one section; return None for it if its title is invalid."""
    kind, _, name = (part.strip() for part in title.partition(" "))
    schema = schemas.get(kind)
    if schema is None:
        return None, [_unknown_section(title, schemas, location)]
    if schema.named != is_name(name):
        return None, [_bad_title(title, kind, schema, location)]
    section = Section(title, kind, name, {}, {}, location)
    errors: list[SettingsError] = []
    for setting in settings:
        section.settings[setting.key] = setting
        errors.extend(_parse_setting(section, setting, schema))
    errors.extend(_find_missing(section, schema))
    return section, errors


def _parse_setting(
    section: Section, setting: Setting, schema: SectionSchema
) -> list[SettingsError]:
    key = schema.keys.get(setting.key)
    if key is None:
        return [_unknown_key(section, setting.key, schema)]
    try:
        section.values[setting.key] = key.unit.parse(setting.value)
    except ValueError:
        message = f"{setting.key} = {_shorten(setting.value)} has a wrong value."
        remedy = f"Write {key.unit.expected_format}."
        return [section.error(setting.key, message, remedy=remedy)]
    return []


def _find_missing(section: Section, schema: SectionSchema) -> list[SettingsError]:
    return [
        section.error(
            "",
            f"lacks {name}.",
            remedy=f"Add '{name} = ...': {key.unit.expected_format}.",
        )
        for name, key in schema.keys.items()
        if key.required and name not in section.settings
    ]


def _unknown_section(
    title: str, schemas: Mapping[str, SectionSchema], location: Setting
) -> SettingsError:
    known = ", ".join(
        f"[{kind} NAME]" if schema.named else f"[{kind}]"
        for kind, schema in schemas.items()
    )
    return SettingsError(
        f"Section {_shorten(title)} is not a known section.",
        remedy=f"Use one of {known}.",
        file=location.file,
        line=location.line,
    )


def _bad_title(
    title: str, kind: str, schema: SectionSchema, location: Setting
) -> SettingsError:
    wanted = f"[{kind} NAME]" if schema.named else f"[{kind}]"
    return SettingsError(
        f"Section {_shorten(title)} has a wrong name.",
        remedy=f"Write {wanted}; a name has up to 64 letters, digits, '.', '_', '-'.",
        file=location.file,
        line=location.line,
    )


def _unknown_key(section: Section, key: str, schema: SectionSchema) -> SettingsError:
    close = get_close_matches(key, schema.keys, n=1)
    known = ", ".join(schema.keys)
    remedy = f"Did you mean {close[0]}?" if close else f"Use one of {known}."
    return section.error(key, f"has no key {_shorten(key)}.", remedy=remedy)


def _shorten(text: str, limit: int = 60) -> str:
    flat = " ".join(text.split())
    return repr(flat if len(flat) <= limit else flat[: limit - 3] + "...")
