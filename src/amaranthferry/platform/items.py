"""Split a JSON document into its items without reading what they hold.

A list that is decoded as a whole fails with any of its items. Items that are split off
first can each be decoded, or left out, by itself.
"""

import re
from collections.abc import Iterator

_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[][{},]', re.DOTALL)
_NAME = re.compile(rb'\s*+("(?:[^"\\]++|\\.)*+")\s*+:', re.DOTALL)


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
