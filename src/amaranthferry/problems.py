"""Encode refusals and failures as response bodies."""

import math

import msgspec

from .exceptions import RequestError
from .types import Outcome, RefusalReason, Seconds

_TITLES = {
    RefusalReason.QUEUE_FULL: "The queue is full.",
    RefusalReason.EVICTED: "More urgent work took this request's place in the queue.",
    RefusalReason.DEADLINE: "No server can answer before the request's deadline.",
    RefusalReason.NO_SERVER: "No backend server can take this request.",
    RefusalReason.NO_COORDINATOR: "No coordinator could be reached.",
    RefusalReason.STORE_UNAVAILABLE: "The claim for this key could not be recorded.",
    RefusalReason.DRAINING: "This host is stopping.",
    RefusalReason.SETTINGS_STALE: "This host can't tell whether its settings hold.",
    RefusalReason.SERVER_REFUSED: "The backend server refused the request.",
    RefusalReason.CALLER_GONE: "The caller hung up.",
    RefusalReason.KEY_CONFLICT: "The idempotency key was used for another request.",
    RefusalReason.KEY_UNKNOWN: "An earlier request with this key may have run.",
    RefusalReason.QUOTA: "The workspace is over its quota.",
    RefusalReason.HARMFUL_PART: (
        "Servers have ended under prompts that share a part with this one."
    ),
    RefusalReason.HARMFUL_REQUEST: "Servers have ended under this request.",
    RefusalReason.SERVER_LIMIT: "The backend servers take no more requests for now.",
    RefusalReason.RETRY_BUDGET: "No connection to a backend server could be opened.",
}
_TOO_MANY = {
    RefusalReason.QUEUE_FULL,
    RefusalReason.EVICTED,
    RefusalReason.DEADLINE,
    RefusalReason.QUOTA,
}
_HARMFUL_REMEDIES = {
    RefusalReason.HARMFUL_PART: "Send another prompt; this one stays refused for now.",
    RefusalReason.HARMFUL_REQUEST: (
        "Change the request; sent again as it is, it stays refused for now."
    ),
}
UNKNOWN_REMEDY = (
    "Look up whether the work took effect before sending it again; "
    "a new key runs it again."
)


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a refusal or failure with the fields of RFC 9457."""

    status: int
    title: str
    outcome: Outcome
    remedy: str
    code: str
    retry_after: int | None = None

    @classmethod
    def from_refusal(cls, reason: RefusalReason, retry_after: Seconds) -> "Problem":
        """Describe a request that was refused before dispatch."""
        if reason is RefusalReason.KEY_CONFLICT:
            return cls._from_conflict()
        if reason in _HARMFUL_REMEDIES:
            return cls._from_harm(reason)
        seconds = max(1, math.ceil(retry_after))
        return cls(
            status=429 if reason in _TOO_MANY else 503,
            title=_TITLES[reason],
            outcome=Outcome.NOT_RUN,
            remedy=f"Send it again after {seconds} s, or allow a longer timeout.",
            code=reason,
            retry_after=seconds,
        )

    @classmethod
    def _from_conflict(cls) -> "Problem":
        reason = RefusalReason.KEY_CONFLICT
        return cls(
            status=422,
            title=_TITLES[reason],
            outcome=Outcome.NOT_RUN,
            remedy="Send a new key, or the same body as before.",
            code=reason,
        )

    @classmethod
    def _from_harm(cls, reason: RefusalReason) -> "Problem":
        return cls(
            status=400,
            title=_TITLES[reason],
            outcome=Outcome.NOT_RUN,
            remedy=_HARMFUL_REMEDIES[reason],
            code=reason,
        )

    @classmethod
    def from_unknown(
        cls, reason: RefusalReason | None = None, *, timed_out: bool = False
    ) -> "Problem":
        """Describe a request that may have run, now or earlier under the same key."""
        repeated = reason is RefusalReason.KEY_UNKNOWN
        lost = 504 if timed_out else 502
        return cls(
            status=409 if repeated else lost,
            title=_TITLES[reason] if reason else "The answer was lost on its way.",
            outcome=Outcome.UNKNOWN,
            remedy=UNKNOWN_REMEDY,
            code=reason or "answer_lost",
        )

    @classmethod
    def from_error(cls, exc: RequestError) -> "Problem":
        """Describe a request that was not valid."""
        return cls(
            status=exc.status,
            title=exc.message,
            outcome=exc.outcome,
            remedy=exc.remedy,
            code=exc.code,
        )

    def headers(self) -> dict[str, str]:
        """Return the response headers that go with the body."""
        headers = {"Outcome": str(self.outcome)}
        if self.retry_after is not None:
            headers["Retry-After"] = str(self.retry_after)
        return headers

    def problem_body(self) -> bytes:
        """Encode an RFC 9457 problem document."""
        return msgspec.json.encode(
            {
                "type": f"urn:amaranthferry:{self.code}",
                "title": self.title,
                "status": self.status,
                "detail": f"{self.title} {self.remedy}",
                "outcome": self.outcome,
                "remedy": self.remedy,
            }
        )

    def openai_body(self) -> bytes:
        """Encode an error object in the OpenAI format."""
        kind = "invalid_request_error" if self.status < 429 else "server_error"
        error = {
            "message": f"{self.title} {self.remedy}",
            "type": "rate_limit_error" if self.status == 429 else kind,
            "param": None,
            "code": self.code,
            "outcome": self.outcome,
            "remedy": self.remedy,
        }
        return msgspec.json.encode({"error": error})
