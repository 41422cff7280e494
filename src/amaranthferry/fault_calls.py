"""Send a short seeded load to an embedded system and record how each call ends."""

import asyncio
import random
from enum import StrEnum

import aiohttp
import msgspec

from .embedded import MODEL, api_key
from .types import ClassId, Outcome, Seconds, WorkspaceId

CALL_TIMEOUT: Seconds = 20.0
MAX_ATTEMPTS = 4
RETRY_DELAY: Seconds = 0.3
_STREAM_END = b"data: [DONE]"


class CallKind(StrEnum):
    """Define the kinds of calls in the load."""

    STREAM = "stream"
    PLAIN = "plain"
    ENTRY = "entry"
    LOOKUP = "lookup"


class PlannedCall(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a planned call; `at` is in seconds from the load's start."""

    name: str
    kind: CallKind
    at: Seconds
    workspace: WorkspaceId
    work_class: ClassId | None = None
    urgent: bool = False
    host: int = 0
    tokens: int = 10


class CallRecord(msgspec.Struct, kw_only=True):
    """Record one attempt of a call; status 0 means that no answer arrived."""

    call: PlannedCall
    host: int
    sent_at: Seconds
    ended_at: Seconds = 0.0
    status: int = 0
    outcome: Outcome | None = None
    reason: str = ""
    request_id: str = ""
    answer_error: str = ""


class _ErrorBody(msgspec.Struct):
    outcome: str = ""
    code: str = ""
    type: str = ""


class _ErrorEnvelope(msgspec.Struct):
    error: _ErrorBody


class _Usage(msgspec.Struct):
    completion_tokens: int


class _Completion(msgspec.Struct):
    id: str
    usage: _Usage


class _Chunk(msgspec.Struct):
    id: str


class _Entry(msgspec.Struct):
    body: str


FIELD_OFFICERS = WorkspaceId("field-officers")
DELIVERY_NOTES = WorkspaceId("delivery-notes")
LEGAL_VOLUNTEERS = WorkspaceId("legal-volunteers")


def plan_calls(seed: int, *, hosts: int, duration: Seconds) -> list[PlannedCall]:
    """Plan a load of urgent, standard and overnight calls and ledger entries."""
    rng = random.Random(seed)
    mix = [
        *[(CallKind.STREAM, FIELD_OFFICERS, True, 25)] * 12,
        *[(CallKind.PLAIN, FIELD_OFFICERS, True, 25)] * 4,
        *[(CallKind.STREAM, DELIVERY_NOTES, False, 40)] * 8,
        *[(CallKind.STREAM, LEGAL_VOLUNTEERS, False, 300)] * 6,
        *[(CallKind.ENTRY, FIELD_OFFICERS, True, 1)] * 10,
        *[(CallKind.LOOKUP, DELIVERY_NOTES, False, 1)] * 4,
    ]
    return [
        PlannedCall(
            name=f"call-{seed}-{index}",
            kind=kind,
            at=rng.uniform(0.0, duration),
            workspace=workspace,
            urgent=urgent,
            host=rng.randrange(hosts),
            tokens=tokens,
        )
        for index, (kind, workspace, urgent, tokens) in enumerate(mix)
    ]


def plan_burst(seed: int, *, hosts: int, at: Seconds) -> list[PlannedCall]:
    """Plan a burst of urgent calls that are all sent at one moment."""
    return [
        PlannedCall(
            name=f"burst-{seed}-{index}",
            kind=CallKind.STREAM,
            at=at,
            workspace=FIELD_OFFICERS,
            urgent=True,
            host=index % hosts,
            tokens=20,
        )
        for index in range(60)
    ]


class Caller:
    """Send planned calls; retry keyed entries on other hosts."""

    def __init__(self, urls: tuple[str, ...]) -> None:
        self.records: list[CallRecord] = []
        self._urls = urls
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT, sock_connect=1.0),
        )
        self._started = asyncio.get_running_loop().time()

    @property
    def elapsed(self) -> Seconds:
        """Return the seconds since the load began."""
        return asyncio.get_running_loop().time() - self._started

    async def run(self, calls: list[PlannedCall]) -> None:
        """Send calls at their times and wait until each has ended."""
        await asyncio.gather(*(self._call(call) for call in calls))

    async def close(self) -> None:
        """Close the session."""
        await self._session.close()

    async def _call(self, call: PlannedCall) -> None:
        await asyncio.sleep(max(0.0, call.at - self.elapsed))
        attempts = MAX_ATTEMPTS if call.kind is CallKind.ENTRY else 1
        for number in range(attempts):
            host = (call.host + number) % len(self._urls)
            record = CallRecord(call=call, host=host, sent_at=self.elapsed)
            self.records.append(record)
            await self._attempt(record)
            if record.outcome is Outcome.DONE:
                return
            await asyncio.sleep(RETRY_DELAY)

    async def _attempt(self, record: CallRecord) -> None:
        try:
            await self._send(record)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            record.reason = record.reason or type(exc).__name__
        finally:
            record.ended_at = self.elapsed

    async def _send(self, record: CallRecord) -> None:
        call = record.call
        headers = {"Authorization": f"Bearer {api_key(call.workspace)}"}
        headers["Request-Timeout"] = "15"
        url = self._urls[record.host]
        method, path, body = "POST", "/v1/chat/completions", _chat_body(call)
        if call.kind is CallKind.ENTRY:
            headers["Idempotency-Key"] = call.name
            path, body = "/services/ledger/entries", call.name.encode()
        elif call.kind is CallKind.LOOKUP:
            method, path, body = "GET", "/services/ledger/entries", b""
        async with self._session.request(
            method, url + path, data=body or None, headers=headers
        ) as answer:
            record.status = answer.status
            record.request_id = answer.headers.get("X-Request-Id", "")
            data = await answer.read()
            _record_answer(record, answer.headers.get("Outcome", ""), data)


def _chat_body(call: PlannedCall) -> bytes:
    content = f"{call.name}: " + "weigh the apples " * 20
    return msgspec.json.encode(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": call.tokens,
            "stream": call.kind is CallKind.STREAM,
        }
    )


def _record_answer(record: CallRecord, outcome: str, data: bytes) -> None:
    if record.status >= 400:
        record.outcome = Outcome(outcome) if outcome else None
        record.reason = _refusal_reason(data)
        return
    record.outcome = Outcome(outcome)
    check = {
        CallKind.STREAM: _check_stream,
        CallKind.PLAIN: _check_plain,
        CallKind.ENTRY: _check_entry,
        CallKind.LOOKUP: _check_lookup,
    }[record.call.kind]
    record.answer_error = check(record, data)


def _refusal_reason(data: bytes) -> str:
    try:
        return msgspec.json.decode(data, type=_ErrorEnvelope).error.code
    except msgspec.DecodeError:
        return msgspec.json.decode(data, type=_ErrorBody).type


def _check_stream(record: CallRecord, data: bytes) -> str:
    events = [line for line in data.split(b"\n\n") if line]
    if not events or events[-1] != _STREAM_END:
        return "the stream has no terminal marker"
    chunks = [event.removeprefix(b"data: ") for event in events[:-1]]
    ids = {msgspec.json.decode(chunk, type=_Chunk).id for chunk in chunks}
    if ids != {f"chatcmpl-{record.request_id}"}:
        return f"the stream has the completion IDs {sorted(ids)}"
    tokens = sum(b'"content"' in chunk for chunk in chunks)
    return (
        ""
        if tokens == record.call.tokens
        else f"{tokens} of {record.call.tokens} tokens arrived"
    )


def _check_plain(record: CallRecord, data: bytes) -> str:
    answer = msgspec.json.decode(data, type=_Completion)
    if answer.id != f"chatcmpl-{record.request_id}":
        return f"the answer has the completion ID {answer.id}"
    tokens = answer.usage.completion_tokens
    return (
        ""
        if tokens == record.call.tokens
        else f"{tokens} of {record.call.tokens} tokens arrived"
    )


def _check_entry(record: CallRecord, data: bytes) -> str:
    body = msgspec.json.decode(data, type=_Entry).body
    return "" if body == record.call.name else f"the answer is for {body}"


def _check_lookup(record: CallRecord, data: bytes) -> str:
    msgspec.json.decode(data, type=list[str])
    return ""
