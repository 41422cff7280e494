"""List the origins of a setting's value, up to the top of its tree."""

from pathlib import Path

import msgspec

from .exceptions import SettingsError
from .schema import SECTIONS
from .tree import SectionKey, SettingsTree, find_leaf, read_tree


class Origin(msgspec.Struct, frozen=True):
    """Describe one definition of a value; a default has no place."""

    value: str
    place: str = ""
    override: bool = False


class Explanation(msgspec.Struct, frozen=True):
    """List a key's origins, first the one that applies, last the top or default."""

    section: str
    key: str
    origins: tuple[Origin, ...]


def explain(path: Path, address: str) -> tuple[Explanation, ...]:
    """Explain `SECTION/KEY`, or each key of `SECTION`.

    Raise SettingsError if the path is not one deployment, or lacks the section or key.
    """
    tree = read_tree(find_leaf(path).alt(_raise).unwrap())
    section, key = _split(address, tree)
    if key:
        return (_explain_key(tree, section, key),)
    defined = [item.key for item in tree.chains if item.section == section]
    defaults = [name for name in _defaults(section) if name not in defined]
    return tuple(_explain_key(tree, section, name) for name in (*defined, *defaults))


def _raise(exc: SettingsError) -> None:
    raise exc


def _split(address: str, tree: SettingsTree) -> tuple[str, str]:
    parts = [part.strip() for part in address.strip("[]").split("/")]
    schema = SECTIONS.get(parts[0].split(" ")[0])
    if schema is not None and schema.named and " " not in parts[0] and len(parts) > 1:
        parts = [f"{parts[0]} {parts[1]}", *parts[2:]]
    section, key = parts[0], parts[1] if len(parts) > 1 else ""
    if schema is None or section not in tree.section_locations and schema.named:
        known = ", ".join(sorted(tree.section_locations)[:20])
        raise SettingsError(
            f"There is no section {section!r}.", remedy=f"Name one of: {known}."
        )
    if key and key not in schema.keys:
        raise SettingsError(
            f"[{section}] has no key {key!r}.",
            remedy=f"Name one of: {', '.join(schema.keys)}.",
        )
    return section, key


def _explain_key(tree: SettingsTree, section: str, key: str) -> Explanation:
    chain = tree.chains.get(SectionKey(section, key), ())
    origins = [
        Origin(setting.value, setting.location, setting.override)
        for setting in reversed(chain)
    ]
    default = _defaults(section).get(key)
    if default is not None:
        origins.append(Origin(default))
    return Explanation(section, key, tuple(origins))


def _defaults(section: str) -> dict[str, str]:
    struct = SECTIONS[section.split(" ")[0]].struct
    if struct is None:
        return {}
    return {
        field.name: msgspec.json.encode(field.default).decode()
        for field in msgspec.structs.fields(struct)
        if field.default is not msgspec.NODEFAULT
    }
