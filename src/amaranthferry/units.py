"""Parse the units that settings values are written in."""

import ipaddress
import re
from collections.abc import Callable
from typing import TypeVar

import msgspec

from .config import KIBIBYTE, MEBIBYTE
from .types import PoolKind, StoreOutageRule

SECONDS_BY_SUFFIX = {
    "ms": 0.001,
    "s": 1.0,
    "m": 60.0,
    "h": 3_600.0,
    "d": 86_400.0,
}
BYTES_BY_SUFFIX = {"B": 1, "KiB": KIBIBYTE, "MiB": MEBIBYTE}
FLAGS = {"yes": True, "no": False}
DIGEST_LENGTH = 64  # hex digits of a SHA-256 digest
MAX_NAME_LENGTH = 64
MAX_PORT = 65_535

Number = TypeVar("Number", int, float)

_NUMBER = r"[0-9]{1,15}(?:\.[0-9]{1,9})?"
_DURATION = re.compile(rf"({_NUMBER})(ms|s|m|h|d)")
_SIZE = re.compile(r"([0-9]{1,15})(B|KiB|MiB)")
_COUNT = re.compile(r"[0-9]{1,15}")
_DECIMAL = re.compile(_NUMBER)
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_LABEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/:-]*")
_DIGEST = re.compile(rf"[0-9a-f]{{{DIGEST_LENGTH}}}")
_SEPARATOR = re.compile(r"[,\n]")


class Unit(msgspec.Struct, frozen=True):
    """Define a value's parser, which raises ValueError, and the format it expects."""

    expected_format: str
    parse: Callable[[str], object]


def is_name(text: str) -> bool:
    """Return whether a text is a valid name."""
    return len(text) <= MAX_NAME_LENGTH and _NAME.fullmatch(text) is not None


def _match(pattern: re.Pattern[str], text: str) -> re.Match[str]:
    match = pattern.fullmatch(text)
    if match is None:
        raise ValueError(text)
    return match


def _parse_duration(text: str) -> float:
    number, suffix = _match(_DURATION, text).groups()
    return float(number) * SECONDS_BY_SUFFIX[suffix]


def _parse_size(text: str) -> int:
    number, suffix = _match(_SIZE, text).groups()
    return int(number) * BYTES_BY_SUFFIX[suffix]


def _parse_count(text: str) -> int:
    return int(_match(_COUNT, text).group())


def _parse_positive_count(text: str) -> int:
    return _check_positive(_parse_count(text))


def _parse_decimal(text: str) -> float:
    return float(_match(_DECIMAL, text).group())


def _parse_positive(text: str) -> float:
    return _check_positive(_parse_decimal(text))


def _check_positive(number: Number) -> Number:
    if number <= 0:
        raise ValueError(number)
    return number


def _parse_ratio(text: str) -> float:
    ratio = _parse_decimal(text)
    if ratio > 1:
        raise ValueError(text)
    return ratio


def _parse_flag(text: str) -> bool:
    try:
        return FLAGS[text]
    except KeyError:
        raise ValueError(text) from None


def _parse_name(text: str) -> str:
    if not is_name(text):
        raise ValueError(text)
    return text


def _parse_label(text: str) -> str:
    return _match(_LABEL, text).group()


def _parse_digest(text: str) -> str:
    return _match(_DIGEST, text).group()


def _parse_text(text: str) -> str:
    if not text:
        raise ValueError(text)
    return text


def _parse_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    if not separator or not 0 < _parse_count(port) <= MAX_PORT:
        raise ValueError(text)
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    return text


def _parse_url(text: str) -> str:
    scheme, separator, rest = text.partition("://")
    if scheme not in ("http", "https") or not separator or not rest:
        raise ValueError(text)
    return text.rstrip("/")


def _parse_list(text: str, parse: Callable[[str], str]) -> tuple[str, ...]:
    parts = [part.strip() for part in _SEPARATOR.split(text)]
    items = tuple(parse(part) for part in parts if part)
    if len(set(items)) != len(items):
        raise ValueError(text)
    return items


DURATION = Unit("a duration such as 30s, 250ms, 5m or 12h", _parse_duration)
SIZE = Unit("a size such as 64KiB or 1MiB", _parse_size)
COUNT = Unit("a whole number such as 16", _parse_count)
POSITIVE_COUNT = Unit("a whole number above 0", _parse_positive_count)
POSITIVE = Unit("a number above 0 such as 1.5", _parse_positive)
RATIO = Unit("a fraction from 0 to 1 such as 0.5", _parse_ratio)
FLAG = Unit("yes or no", _parse_flag)
NAME = Unit("a name of letters, digits, '.', '_' or '-'", _parse_name)
LABEL = Unit("a label of letters, digits, '.', '_', '-', '/' or ':'", _parse_label)
TEXT = Unit("a non-empty text", _parse_text)
ADDRESS = Unit("an IP address and port such as 10.0.0.1:8000", _parse_address)
URL = Unit("a URL such as http://10.0.0.1:8000", _parse_url)
POOL_KIND = Unit("engine or service", PoolKind)
STORE_OUTAGE = Unit("wait or refuse", StoreOutageRule)
NAMES = Unit(
    "distinct names separated by commas", lambda text: _parse_list(text, _parse_name)
)
LABELS = Unit(
    "distinct labels separated by commas", lambda text: _parse_list(text, _parse_label)
)
DIGESTS = Unit(
    "distinct SHA-256 digests of 64 lower-case hex digits, separated by commas",
    lambda text: _parse_list(text, _parse_digest),
)
ADDRESSES = Unit(
    "distinct addresses such as 10.0.0.1:8000, separated by commas",
    lambda text: _parse_list(text, _parse_address),
)
