"""Build the bodies of chat completion answers, one token at a time."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from ..types import ModelId, Tokens
from .batch import Sequence

DEFAULT_OUTPUT_TOKENS: Tokens = 16


class CompletionRequest(msgspec.Struct, frozen=True):
    """Represent the fields of a request that the stand-in reads.

    `metadata.output_tokens` sets the answer's length, up to the caller's limit.
    """

    model: ModelId
    messages: list[dict[str, Any]]
    stream: bool = False
    stream_options: dict[str, Any] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    metadata: dict[str, str] | None = None

    def limit(self) -> Tokens | None:
        """Return the caller's limit on output tokens."""
        return self.max_completion_tokens or self.max_tokens

    def length(self) -> Tokens:
        """Return the number of output tokens."""
        limit = self.limit()
        natural = int((self.metadata or {}).get("output_tokens", "0"))
        natural = natural or limit or DEFAULT_OUTPUT_TOKENS
        return max(1, min(natural, limit or natural))


def prompt_text(messages: list[dict[str, Any]]) -> str:
    """Join all messages, each as its role and its text."""
    return "\n".join(_message_text(message) for message in messages)


def _message_text(message: dict[str, Any]) -> str:
    content = message.get("content")
    if isinstance(content, list):
        content = "\n".join(str(part.get("text", "")) for part in content)
    text = content if isinstance(content, str) else ""
    return f"{message.get('role', '')}: {text}"


class Completion:
    """Build one answer's body while any number of readers stream it."""

    def __init__(
        self, request_id: str, request: CompletionRequest, sequence: Sequence
    ) -> None:
        self.request_id = request_id
        self.request = request
        self.sequence = sequence
        self.body = bytearray()
        self.ended = False
        self.aborted = False
        self._content: list[str] = []
        self._started = asyncio.Event()
        self._changed = asyncio.Event()

    @property
    def media_type(self) -> str:
        """Return the content type of the answer."""
        return "text/event-stream" if self.request.stream else "application/json"

    def start(self) -> None:
        """Allow the answer's headers to be sent."""
        self._started.set()

    async def wait_started(self) -> None:
        """Wait until the batch has admitted the request."""
        await self._started.wait()

    def add_token(self, index: int) -> None:
        """Append the token at an index, and the end marker after the last one."""
        token = f"{self.request_id}:{index} "
        last = index + 1 >= self.sequence.output_tokens
        self._content.append(token)
        if self.request.stream:
            self._add_chunk(index, token)
        if last:
            self._finish()
        self._notify_readers()

    def abort(self) -> None:
        """End the answer without its end marker."""
        self.aborted = True
        self.ended = True
        self._started.set()
        self._notify_readers()

    async def read(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the body from a byte offset until the answer ends."""
        while True:
            if offset < len(self.body):
                data = bytes(self.body[offset:])
                offset += len(data)
                yield data
            elif self.ended:
                return
            else:
                await self._changed.wait()

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _finish_reason(self) -> str:
        limit = self.request.limit()
        return "length" if limit == self.sequence.output_tokens else "stop"

    def _usage(self) -> dict[str, Any]:
        prompt = self.sequence.prompt_tokens
        output = self.sequence.output_tokens
        return {
            "prompt_tokens": prompt,
            "completion_tokens": output,
            "total_tokens": prompt + output,
            "prompt_tokens_details": {"cached_tokens": self.sequence.cached_tokens},
        }

    def _common_fields(self, kind: str) -> dict[str, Any]:
        return {
            "id": f"chatcmpl-{self.request_id}",
            "object": kind,
            "created": 0,
            "model": self.request.model,
        }

    def _add_chunk(self, index: int, token: str) -> None:
        delta = {"content": token}
        if index == 0:
            delta["role"] = "assistant"
        self._add_event([{"index": 0, "delta": delta, "finish_reason": None}])

    def _add_event(self, choices: list[dict[str, Any]], **extra: Any) -> None:
        chunk = (
            self._common_fields("chat.completion.chunk") | {"choices": choices} | extra
        )
        self.body += b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    def _finish(self) -> None:
        self.ended = True
        reason = self._finish_reason()
        if self.request.stream:
            self._add_event([{"index": 0, "delta": {}, "finish_reason": reason}])
            if (self.request.stream_options or {}).get("include_usage"):
                self._add_event([], usage=self._usage())
            self.body += b"data: [DONE]\n\n"
            return
        message = {"role": "assistant", "content": "".join(self._content)}
        choice = {"index": 0, "message": message, "finish_reason": reason}
        answer = self._common_fields("chat.completion") | {"choices": [choice]}
        self.body += msgspec.json.encode(answer | {"usage": self._usage()})
