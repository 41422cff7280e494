"""List what differs between two sets of settings."""

from collections.abc import Iterable, Iterator, Mapping

import msgspec

from .chunks import BaseChunk
from .config import BackendServer, Workspace
from .root import Change


def diff_bases(before: BaseChunk | None, after: BaseChunk) -> Iterator[Change]:
    """List the changes except those of servers and workspaces."""
    for kind, field in (
        ("tier", "tiers"),
        ("class", "classes"),
        ("pool", "pools"),
        ("service", "services"),
    ):
        old = getattr(before, field) if before else {}
        yield from diff_items(kind, old, getattr(after, field))
    section_by_field = {"name": "deployment", "operator_key_hashes": "operators"}
    for field, section in section_by_field.items():
        old_value = getattr(before, field) if before else None
        yield from _diff_value(section, field, old_value, getattr(after, field))
    yield from _diff_value(
        "deployment", "drained", before.drained if before else (), after.drained
    )
    yield from _diff_struct("limits", before.limits if before else None, after.limits)


def diff_items(
    kind: str,
    before: Mapping[str, msgspec.Struct],
    after: Mapping[str, msgspec.Struct],
) -> Iterator[Change]:
    """List added, removed and changed sections of one kind."""
    for name in sorted({*before, *after}):
        section = f"{kind} {name}"
        if name not in after:
            yield Change(section, "", _render(before[name]), "")
        else:
            yield from _diff_struct(section, before.get(name), after[name])


def index_by_name(
    items: Iterable[BackendServer] | Iterable[Workspace],
) -> dict[str, msgspec.Struct]:
    """Index items by their names."""
    return {item.name: item for item in items}


def _diff_struct(
    section: str, before: msgspec.Struct | None, after: msgspec.Struct
) -> Iterator[Change]:
    if before is None:
        yield Change(section, "", "", _render(after))
        return
    for field in msgspec.structs.fields(after):
        old, new = getattr(before, field.name), getattr(after, field.name)
        yield from _diff_value(section, field.name, old, new)


def _diff_value(
    section: str, key: str, before: object, after: object
) -> Iterator[Change]:
    if before != after:
        old = "" if before is None else _render(before)
        yield Change(section, key, old, _render(after))


def _render(value: object) -> str:
    return msgspec.json.encode(value).decode()
