"""Compile a directory tree of INI files into a deployment."""

from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from .config import Deployment
from .exceptions import SettingsError
from .ini import IniFile, Setting, read_ini
from .schema import SECTIONS, SectionSchema
from .sections import Section, parse_section
from .validation import check_references

LEVEL_FILE = "settings.ini"


class SectionKey(msgspec.Struct, frozen=True):
    """Identify one key of one section."""

    section: str
    key: str


class SettingsTree(msgspec.Struct, frozen=True):
    """Represent a leaf directory's merged settings, with the chain behind each key.

    A chain lists the settings of a key from the top level down; the last applies.
    """

    levels: tuple[Path, ...]
    chains: dict[SectionKey, tuple[Setting, ...]]
    section_locations: dict[str, Setting]
    errors: tuple[SettingsError, ...]


def list_deployments(path: Path) -> tuple[Path, ...]:
    """List the leaf directories of settings at and below a path."""
    children = sorted(
        leaf
        for child in path.iterdir()
        if child.is_dir() and not child.name.startswith(".")
        for leaf in list_deployments(child)
    )
    if children:
        return tuple(children)
    return (path,) if any(path.glob("*.ini")) else ()


def compile_tree(path: Path) -> Result[Deployment, tuple[SettingsError, ...]]:
    """Compile the only deployment at or below a path, or return all errors."""
    match find_leaf(Path(path)):
        case Success(leaf):
            return _compile_leaf(leaf)
        case Failure(exc):
            return Failure((exc,))
    raise AssertionError("A result is a success or a failure.")


def read_tree(leaf: Path) -> SettingsTree:
    """Merge the settings of a leaf directory and its ancestors, from the top down."""
    levels = _find_levels(leaf)
    top = levels[0].parent
    chains: dict[SectionKey, tuple[Setting, ...]] = {}
    locations: dict[str, Setting] = {}
    errors: list[SettingsError] = []
    for level in levels:
        files = [
            read_ini(path, name=str(path.relative_to(top)))
            for path in _list_files(level)
        ]
        errors.extend(exc for file in files for exc in file.errors)
        errors.extend(_merge_level(chains, files))
        for file in files:
            _record_section_locations(locations, file)
    return SettingsTree(levels, chains, locations, tuple(errors))


def find_leaf(path: Path) -> Result[Path, SettingsError]:
    """Return the directory of the only deployment at or below a path."""
    if not path.is_dir():
        return Failure(
            SettingsError(
                f"{path} is not a directory.",
                remedy="Name a directory of settings files.",
            )
        )
    leaves = list_deployments(path)
    if len(leaves) == 1:
        return Success(leaves[0])
    if not leaves:
        message, remedy = "has no *.ini file.", "Name a directory of settings files."
    else:
        names = ", ".join(str(leaf.relative_to(path)) for leaf in leaves)
        message = f"has {len(leaves)} deployments."
        remedy = f"Name one of them: {names}."
    return Failure(SettingsError(f"{path} {message}", remedy=remedy))


def _find_levels(leaf: Path) -> tuple[Path, ...]:
    leaf = leaf.resolve()
    ancestors = [leaf, *leaf.parents]
    tops = [path for path in ancestors if (path / LEVEL_FILE).is_file()]
    top = tops[-1] if tops else leaf
    return tuple(reversed(ancestors[: ancestors.index(top) + 1]))


def _list_files(level: Path) -> list[Path]:
    return sorted(level.glob("*.ini"), key=lambda path: (path.name != LEVEL_FILE, path))


def _record_section_locations(locations: dict[str, Setting], file: IniFile) -> None:
    for setting in file.settings:
        locations.setdefault(setting.section, setting)
    for title, line in file.section_lines.items():
        locations.setdefault(title, Setting(title, "", "", file.name, line))


def _merge_level(
    chains: dict[SectionKey, tuple[Setting, ...]], files: list[IniFile]
) -> list[SettingsError]:
    errors: list[SettingsError] = []
    seen: dict[SectionKey, Setting] = {}
    for setting in (setting for file in files for setting in file.settings):
        key = SectionKey(setting.section, setting.key)
        if key in seen:
            errors.append(_duplicate_key_error(setting, seen[key]))
            continue
        seen[key] = setting
        inherited = chains.get(key, ())
        if inherited and not setting.override:
            errors.append(_missing_override_error(setting, inherited[-1]))
        elif setting.override and not inherited:
            errors.append(_nothing_inherited_error(setting))
        chains[key] = (*inherited, setting)
    return errors


def _compile_leaf(leaf: Path) -> Result[Deployment, tuple[SettingsError, ...]]:
    tree = read_tree(leaf)
    errors = list(tree.errors)
    sections = _parse_sections(tree, errors)
    errors.extend(check_references(sections))
    if errors:
        return Failure(tuple(sorted(errors, key=lambda exc: (exc.file, exc.line))))
    return Success(_build(sections, default_name=leaf.resolve().name))


def _parse_sections(tree: SettingsTree, errors: list[SettingsError]) -> list[Section]:
    grouped: dict[str, list[Setting]] = {title: [] for title in tree.section_locations}
    for section_key, chain in tree.chains.items():
        grouped[section_key.section].append(chain[-1])
    sections = []
    for title, settings in grouped.items():
        section, section_errors = parse_section(
            title, settings, SECTIONS, location=tree.section_locations[title]
        )
        errors.extend(section_errors)
        if section is not None:
            sections.append(section)
    return sections


def _build(sections: list[Section], *, default_name: str) -> Deployment:
    def sections_of(kind: str) -> list[Section]:
        return [section for section in sections if section.kind == kind]

    def values_of(kind: str) -> dict[str, object]:
        found = sections_of(kind)
        return found[0].values if found else {}

    def structs_of(kind: str) -> dict[str, object]:
        return {section.name: _to_struct(section) for section in sections_of(kind)}

    drained = [
        item.name for item in sections_of("server") if item.values.get("drained")
    ]
    fields = {
        "name": values_of("deployment").get("name", default_name),
        "tiers": structs_of("tier"),
        "classes": structs_of("class"),
        "workspaces": structs_of("workspace"),
        "pools": structs_of("pool"),
        "servers": structs_of("server"),
        "services": structs_of("service"),
        "operator_key_hashes": values_of("operators").get("key_hashes", ()),
        "drained": tuple(drained),
        "limits": values_of("limits"),
    }
    return msgspec.convert(fields, Deployment)


def _to_struct(section: Section) -> object:
    schema: SectionSchema = SECTIONS[section.kind]
    fields = {key: value for key, value in section.values.items() if key != "drained"}
    return msgspec.convert({"name": section.name, **fields}, schema.struct)


def _duplicate_key_error(setting: Setting, first: Setting) -> SettingsError:
    return SettingsError(
        f"[{setting.section}] {setting.key} is given twice: also at {first.location}.",
        remedy="Keep one of the two.",
        file=setting.file,
        line=setting.line,
    )


def _missing_override_error(setting: Setting, inherited: Setting) -> SettingsError:
    return SettingsError(
        f"[{setting.section}] {setting.key} repeats a key inherited from "
        f"{inherited.location}.",
        remedy=f"Write 'override {setting.key} = ...' to change it, or delete it here.",
        file=setting.file,
        line=setting.line,
    )


def _nothing_inherited_error(setting: Setting) -> SettingsError:
    return SettingsError(
        f"[{setting.section}] {setting.key} overrides nothing: no directory above "
        "sets it.",
        remedy=f"Write '{setting.key} = ...', or correct the section or key.",
        file=setting.file,
        line=setting.line,
    )
