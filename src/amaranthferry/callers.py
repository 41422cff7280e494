"""Authenticate callers and validate their requests."""

import hashlib
from collections.abc import Mapping
from typing import Annotated

import msgspec

from .config import Deployment, Service, WorkClass, Workspace
from .exceptions import DECODE_ERRORS, RequestError
from .tokens import estimate_tokens, prefix_hashes
from .types import ClassId, ModelId, PoolId, PoolKind, Seconds, Tokens

MAX_KEY_LENGTH = 256
MAX_ANSWER_TOKENS = 10_000_000

# The coordinator would not charge anyone for a length below one.
AnswerLength = Annotated[int, msgspec.Meta(ge=1, le=MAX_ANSWER_TOKENS)]


class ChatMessage(msgspec.Struct):
    """Define the fields of a chat message that scheduling needs."""

    role: str
    content: object = ""


class ChatBody(msgspec.Struct):
    """Define the fields of a chat completion request that scheduling needs."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: AnswerLength | None = None
    max_completion_tokens: AnswerLength | None = None


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one piece of work to the scheduler."""

    pool: PoolId
    prompt_tokens: Tokens
    output_tokens: Tokens
    model: ModelId = ModelId("")
    streamed: bool = False
    prefixes: tuple[int, ...] = ()

    @classmethod
    def from_service(
        cls, service: Service, body: bytes, work_class: WorkClass
    ) -> "Work":
        """Describe a call to a plain service."""
        return cls(
            pool=service.pool,
            prompt_tokens=estimate_tokens(body.decode("latin-1")),
            output_tokens=work_class.expected_output_tokens,
        )


class RequestOptions(msgspec.Struct, frozen=True):
    """Describe a request's options; `timeout` covers the complete answer."""

    workspace: Workspace
    work_class: WorkClass
    timeout: Seconds
    idempotency_key: str

    @classmethod
    def from_headers(
        cls, headers: Mapping[str, str], workspace: Workspace, work_class: WorkClass
    ) -> "RequestOptions":
        """Read a request's timeout and idempotency key from its headers."""
        timeout = read_timeout(headers, work_class)
        return cls(
            workspace, work_class, timeout, read_idempotency_key(headers, work_class)
        )


def hash_key(key: str) -> str:
    """Return the hash under which an API key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


class CallerDirectory:
    """Look up workspaces, classes, models and services for callers."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self._workspaces = {
            digest: workspace
            for workspace in deployment.workspaces.values()
            for digest in workspace.key_hashes
        }
        self._pools = {
            model: pool.name
            for pool in deployment.pools.values()
            if pool.kind is PoolKind.ENGINE
            for model in pool.models
        }

    @property
    def models(self) -> tuple[ModelId, ...]:
        """Return the models that callers may name."""
        return tuple(sorted(self._pools))

    def workspace(self, headers: Mapping[str, str]) -> Workspace:
        """Return the workspace of the request's API key."""
        if not self.deployment.version:
            raise RequestError(
                "This host has no settings yet.",
                remedy="Send it to another host; the balancer asks GET /readyz.",
                status=503,
                code="settings_missing",
            )
        workspace = self._workspaces.get(hash_key(_bearer_key(headers)))
        if workspace is None:
            raise RequestError(
                "The API key is not known.",
                remedy="Send `Authorization: Bearer KEY` with a key of your workspace.",
                status=401,
                code="invalid_api_key",
            )
        return workspace

    def check_operator(self, headers: Mapping[str, str]) -> None:
        """Raise RequestError unless a request has an operator's key."""
        if hash_key(_bearer_key(headers)) not in self.deployment.operator_key_hashes:
            raise RequestError(
                "This needs an operator's key.",
                remedy="Send `Authorization: Bearer KEY` with an operator's key.",
                status=401,
                code="invalid_operator_key",
            )

    def work_class(
        self, workspace: Workspace, headers: Mapping[str, str], default: ClassId
    ) -> WorkClass:
        """Return the work class that a request names or that is the default."""
        name = ClassId(headers.get("work-class", default))
        allowed = name in workspace.classes or name == default
        if not allowed or name not in self.deployment.classes:
            raise RequestError(
                f"The workspace {workspace.name} may not use the class {name[:64]!r}.",
                remedy=f"Name one of: {', '.join(workspace.classes)}.",
                status=403,
                code="class_not_allowed",
            )
        return self.deployment.classes[name]

    def read_chat(self, body: bytes, work_class: WorkClass) -> Work:
        """Read a chat completion request."""
        chat = _decode_chat(body)
        model = ModelId(chat.model)
        if model not in self._pools:
            raise RequestError(
                f"The model {chat.model[:64]!r} does not exist.",
                remedy="Name one of those that GET /v1/models lists.",
                status=404,
                code="model_not_found",
            )
        text = "\n".join(_message_text(message) for message in chat.messages)
        limit = chat.max_completion_tokens or chat.max_tokens
        return Work(
            pool=self._pools[model],
            model=model,
            streamed=chat.stream,
            prompt_tokens=estimate_tokens(text),
            output_tokens=limit or work_class.expected_output_tokens,
            prefixes=prefix_hashes(text),
        )

    def service(self, name: str) -> Service:
        """Return the plain service with this name."""
        for service in self.deployment.services.values():
            if service.name == name:
                return service
        raise RequestError(
            f"The service {name[:64]!r} does not exist.",
            remedy=f"Name one of: {', '.join(sorted(self.deployment.services))}.",
            status=404,
            code="service_not_found",
        )


def _bearer_key(headers: Mapping[str, str]) -> str:
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _decode_chat(body: bytes) -> ChatBody:
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except DECODE_ERRORS as exc:
        raise RequestError(
            f"The body is no chat completion request: {exc}.",
            remedy="Send JSON with `model` and `messages` in the OpenAI format.",
            code="invalid_body",
        ) from exc
    if not chat.messages:
        raise RequestError(
            "The request has no messages.",
            remedy="Send at least one message.",
            code="invalid_body",
        )
    return chat


def _message_text(message: ChatMessage) -> str:
    if isinstance(message.content, str):
        return f"{message.role}: {message.content}"
    if isinstance(message.content, list):
        parts = (p.get("text", "") for p in message.content if isinstance(p, dict))
        return f"{message.role}: " + "\n".join(str(part) for part in parts)
    return f"{message.role}: "


def read_timeout(headers: Mapping[str, str], work_class: WorkClass) -> Seconds:
    """Return the seconds that a request allows for its complete answer."""
    text = headers.get("request-timeout")
    if text is None:
        return work_class.default_timeout
    try:
        timeout = float(text)
    except ValueError:
        timeout = -1.0
    if not 0 < timeout <= work_class.max_timeout:
        raise RequestError(
            f"The timeout {text[:32]!r} is not valid for {work_class.name}.",
            remedy=(
                "Send Request-Timeout as seconds above 0 and up to "
                f"{work_class.max_timeout:g}."
            ),
            code="invalid_timeout",
        )
    return timeout


def read_idempotency_key(headers: Mapping[str, str], work_class: WorkClass) -> str:
    """Return the request's idempotency key, or an empty string."""
    key = headers.get("idempotency-key", "")
    if not key and work_class.require_key:
        raise RequestError(
            f"Work of the class {work_class.name} needs an idempotency key.",
            remedy="Send Idempotency-Key with a value of its own for each new piece.",
            code="key_required",
        )
    if len(key) > MAX_KEY_LENGTH:
        raise RequestError(
            "The idempotency key is too long.",
            remedy=f"Send one of at most {MAX_KEY_LENGTH} characters.",
            code="invalid_key",
        )
    return key
