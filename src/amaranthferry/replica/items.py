"""Split a JSON document into its items without reading what they hold.

A list that is decoded as a whole fails with any of its items. Items that are split off
first can each be decoded, or left out, by itself.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import msgspec

from ..exceptions import DECODE_ERRORS

_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[][{},]', re.DOTALL)
_NAME = re.compile(rb'\s*+("(?:[^"\\]++|\\.)*+")\s*+:', re.DOTALL)


class Unreadable(msgspec.Struct, frozen=True):
    """Name an object, or an item without a name, that can't be read, and the reason."""

    name: str
    revision: int
    problem: str


#: Decodes one item, and adds to the unreadable ones what can't be read of it.
ItemReader = Callable[[bytes, list[Unreadable]], Any]
_Body = TypeVar("_Body")


class NotSplittable(Exception):  # noqa: N818
    """Report that a document is no list or object with an end; internal."""


def split_items(document: bytes) -> list[bytes]:
    """Return the items of a list, or the members of an object, as they are written."""
    depth, start = 0, 0
    found: list[bytes] = []
    for match in _TOKEN.finditer(document):
        token = match[0]
        if token in (b"[", b"{"):
            depth += 1
            if depth == 1:
                start = match.end()
        elif token in (b"]", b"}"):
            depth -= 1
            if depth == 0:
                last = document[start : match.start()]
                return [*found, last] if last.strip() else found
        elif token == b"," and depth == 1:
            found.append(document[start : match.start()])
            start = match.end()
    raise NotSplittable


def split_members(document: bytes) -> dict[bytes, bytes]:
    """Return the members of an object by the name in quotes, each as it is written."""
    return dict(_members(document))


def _members(document: bytes) -> Iterator[tuple[bytes, bytes]]:
    for item in split_items(document):
        match = _NAME.match(item)
        if match is None:
            raise NotSplittable
        yield match[1].strip(b'"'), item[match.end() :]


def decode_items(
    document: bytes | bytearray, kind: type[_Body], field: str, read_item: ItemReader
) -> tuple[_Body, list[Unreadable]]:
    """Decode a document; if that fails, decode each item of a field by itself.

    Raise one of DECODE_ERRORS, or NotSplittable, where the rest can't be read either.
    """
    try:
        return msgspec.json.decode(document, type=kind), []
    except DECODE_ERRORS:
        members = split_members(bytes(document))
    raw_items = split_items(members.get(field.encode(), b""))
    members[field.encode()] = b"[]"
    rest = b",".join(b'"%b":%b' % member for member in members.items())
    body = msgspec.json.decode(b"{%b}" % rest, type=kind)
    unreadable: list[Unreadable] = []
    for raw in raw_items:
        try:
            getattr(body, field).append(read_item(raw, unreadable))
        except (*DECODE_ERRORS, NotSplittable) as exc:
            unreadable.append(Unreadable("", 0, str(exc) or type(exc).__name__))
    return body, unreadable


def convert_items(
    items: list[Any], kind: type[_Body]
) -> tuple[list[_Body], list[tuple[Any, str]]]:
    """Convert items; return those that can't be, each with the reason, apart."""
    try:
        return msgspec.convert(items, list[kind]), []  # type: ignore[valid-type]
    except msgspec.ValidationError:
        found: list[_Body] = []
    unreadable: list[tuple[Any, str]] = []
    for item in items:
        try:
            found.append(msgspec.convert(item, kind))
        except msgspec.ValidationError as exc:
            unreadable.append((item, str(exc)))
    return found, unreadable
