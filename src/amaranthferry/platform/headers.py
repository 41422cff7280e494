"""Parse and build the headers that callers, entry hosts and servers exchange."""

import re
from collections.abc import Iterable, Mapping

import msgspec

from ..hop_by_hop import REQUEST_HEADERS, connection_options
from ..types import Seconds, ServerId, Tokens, WorkspaceId

ATTEMPT_ID = "x-amaranthferry-attempt-id"
DEADLINE = "x-amaranthferry-deadline-ms"
KEY = "x-amaranthferry-key"
TENANT = "x-amaranthferry-tenant"
EXPECT_INSTANCE = "x-amaranthferry-expect-instance"
SIGNATURE = "x-amaranthferry-server-signature"
NOT_EXECUTED = "x-amaranthferry-not-executed"
MODEL = "x-amaranthferry-model"
TOKEN_USAGE = "x-amaranthferry-token-usage"
PREFIX_HASH = "x-amaranthferry-prefix-hash"
LENGTH_HINT = "x-amaranthferry-length-hint"
LAST_EVENT_ID = "last-event-id"
RETRY_AFTER = "retry-after"
LEAVING = "server-leaving"
LIMIT = "server-limit"
KV_FROM = "kv-from"

MOVE_TARGET = "/kv-move"
HANDLE_TARGET = "/kv-handle/{}"

#: Headers that only the system may set.
_NOT_FORWARDED = frozenset(
    {
        KEY,
        TENANT,
        DEADLINE,
        EXPECT_INSTANCE,
        "x-amaranthferry-pin-ms",
        "x-amaranthferry-retain",
        "x-amaranthferry-kv-backup",
        KV_FROM,
        "kv-fetch",
    }
)
_HASH_BITS = 64
_MISDIRECTED_STATUS = 421
_MIN_FAILURE_STATUS = 300
_SECONDS = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?", re.ASCII)
_RATE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,30})?", re.ASCII)


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """Describe a part of a prompt by its hash and its length."""

    hash: int
    tokens: Tokens


class RequestParams(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the parameters of a request from the headers of its caller."""

    attempt: str
    key: str
    remaining: Seconds | None
    model: str
    prompt_tokens: Tokens
    output_tokens: Tokens
    length_hint: Tokens
    parts: tuple[PromptPart, ...]
    last_event_id: str


class AnswerOrigin(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the origin of an answer as given in its headers."""

    attempt: str
    signed: bool
    not_executed: bool
    leaving: bool
    hold_off: Seconds | None
    misdirected: bool = False
    failed: bool = False

    def is_of_server(self, *, call_attempt: str) -> bool:
        """Return whether the answer is from the server that the request was meant for.

        Another server at its address says so, and a success without a signature or with
        another attempt id may be anyone's.
        """
        if self.misdirected or (self.attempt and self.attempt != call_attempt):
            return False
        return self.signed or self.failed


class MoveCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """Ask an engine for a copy of a run, which stops first if it is the `last` one."""

    id: str
    to: str
    last: bool = False


class MoveReply(msgspec.Struct, frozen=True, rename="camel"):
    """Name the handle of the copy, if there is one."""

    kv_handle: str = ""


class NamedLimit(msgspec.Struct, frozen=True):
    """Represent the limit in an answer's headers, in requests a second.

    Without a rate the answer names none; `unreadable` is a header that is not a limit.
    """

    rate: float | None = None
    unreadable: str | None = None


def read_limit(headers: Iterable[tuple[str, str]]) -> NamedLimit:
    """Parse the rate of requests that a server takes from all hosts together."""
    values = [value.strip() for name, value in headers if name == LIMIT]
    if not values:
        return NamedLimit()
    if len(values) > 1 or not _RATE.fullmatch(values[0]):
        return NamedLimit(unreadable=", ".join(values))
    return NamedLimit(rate=float(values[0]))


def read_request_params(headers: Mapping[str, str]) -> RequestParams:
    """Parse the parameters of a request; malformed values count as absent."""
    prompt, _, output = headers.get(TOKEN_USAGE, "").partition(",")
    remaining = _number(headers.get(DEADLINE, ""))
    return RequestParams(
        attempt=headers.get(ATTEMPT_ID, ""),
        key=headers.get(KEY, ""),
        remaining=None if remaining is None else remaining / 1_000,
        model=headers.get(MODEL, ""),
        prompt_tokens=int(_number(prompt) or 0),
        output_tokens=int(_number(output) or 0),
        length_hint=int(_number(headers.get(LENGTH_HINT, "")) or 0),
        parts=_parts(headers.get(PREFIX_HASH, "")),
        last_event_id=headers.get(LAST_EVENT_ID, ""),
    )


def _hold_off(headers: Mapping[str, str]) -> Seconds | None:
    """Return the time for which a server wants nothing; dates don't count."""
    text = headers.get(RETRY_AFTER, "").strip()
    return float(text) if _SECONDS.fullmatch(text) else None


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e12 else None


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(","):
        name, _, tokens = item.strip().partition(":")
        try:
            part = PromptPart(int(name, 16) % 2**_HASH_BITS, int(tokens))
        except ValueError:
            break
        parts.append(part)
    return tuple(parts)


def request_headers(
    received: Iterable[tuple[str, str]],
    *,
    server: ServerId,
    workspace: WorkspaceId,
    remaining: Seconds,
    last_event_id: str = "",
    copy: str = "",
) -> list[tuple[str, str]]:
    """Return the headers that one dispatch sends to a server."""
    dropped = _NOT_FORWARDED | REQUEST_HEADERS | connection_options(received)
    headers = [pair for pair in received if pair[0] not in dropped]
    if last_event_id:
        headers = [pair for pair in headers if pair[0] != LAST_EVENT_ID]
        headers.append((LAST_EVENT_ID, last_event_id))
    headers.append((DEADLINE, str(max(1, int(remaining * 1_000)))))
    headers.append((EXPECT_INSTANCE, server))
    if workspace:
        headers.append((TENANT, workspace))
    if copy:
        headers.append((KV_FROM, copy))
    return headers


def read_answer_origin(headers: Mapping[str, str], status: int) -> AnswerOrigin:
    """Parse the origin of an answer; status 421 also means not executed."""
    return AnswerOrigin(
        attempt=headers.get(ATTEMPT_ID, ""),
        signed=SIGNATURE in headers,
        not_executed=NOT_EXECUTED in headers or status == _MISDIRECTED_STATUS,
        leaving=headers.get(LEAVING, "").strip() == "1",
        hold_off=_hold_off(headers) if status == 503 else None,
        misdirected=status == _MISDIRECTED_STATUS,
        failed=status >= _MIN_FAILURE_STATUS,
    )
