"""Describe a small deployment in the platform's formats, and call its hosts."""

import asyncio
from enum import StrEnum
from typing import Any

import aiohttp
import msgspec
from yarl import URL

from ..types import Seconds

CALLERS_HOST = "desk.example"
ENGINE_SERVICE = "engines"
LEDGER_SERVICE = "ledger"
REVOCATION_BOUND: Seconds = 5.0
APPLY_BOUND: Seconds = 2.0
GRACE_TIME: Seconds = 8.0
HEARTBEAT: Seconds = 1.0
MEMORY_LIMIT_MB = 136
#: Bounds of the requests that an unproven version gets, and of its rollback.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_BOUND: Seconds = 5.0
#: Prompt parts: engines end when they begin an answer on the harmful one.
HARMFUL_PART = "bad"
#: Last part of the path of the request that ends servers.
HARMFUL_NAME = "harmful"
SOUND_PART = "cc"


class CallKind(StrEnum):
    """Define the kinds of requests; each has a route of its own."""

    REVIEW = "review"
    ASK = "ask"
    LOOK = "look"
    PAY = "pay"

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self in (CallKind.ASK, CallKind.LOOK)

    @property
    def streaming(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self in (CallKind.REVIEW, CallKind.ASK)


class CallRecord(msgspec.Struct, kw_only=True):
    """Record one call as its caller saw it; times are of the caller's clock.

    `status` is None if the connection ended before an answer began, and `complete` is
    whether the answer ended as its framing announced.
    """

    attempt: str
    kind: CallKind
    host: str
    key: str
    sent: Seconds
    ended: Seconds = 0.0
    status: int | None = None
    signature: str = ""
    answered_attempt: str = ""
    complete: bool = False
    server_leaving: bool = False
    server_limited: bool = False
    body: str = ""
    #: Whether the prompt has the part that ends servers.
    harmful: bool = False


def config_spec(version: int, *, keys: list[str]) -> dict[str, Any]:
    """Return the configuration with the keys of its one workspace."""
    return {
        "version": version,
        "routes": [_route(kind) for kind in CallKind],
        "services": [
            {
                "name": ENGINE_SERVICE,
                "healthPath": "/healthz",
                "maxConnections": 100,
                "engine": {
                    "slots": 4,
                    "kvCapacity": 100_000,
                    "stride": 5,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": LEDGER_SERVICE,
                "healthPath": "/healthz",
                "maxConnections": 100,
            },
        ],
        "limits": {},
        "tenants": [
            {
                "name": "field",
                "apiKeys": keys,
                "priority": 1,
                "unit": "tokens",
                "uncachedTokens": 200,
            }
        ],
    }


def _route(kind: CallKind) -> dict[str, Any]:
    route = {
        "name": kind.value,
        "host": CALLERS_HOST,
        "pathPrefix": f"/{kind}/",
        "timeoutMs": 3_000,
        "goalMs": 500,
        "service": ENGINE_SERVICE if kind.streaming else LEDGER_SERVICE,
        "maxAttempts": 2 if kind.repeatable else 1,
    }
    if kind.streaming:
        resumable = kind.repeatable
        return {
            **route,
            "type": "streaming",
            "resumable": resumable,
            "gapGoalMs": 600,
        }
    return {**route, "type": "safe" if kind.repeatable else "unsafe"}


def server_entry(
    service: str, address: str, *, born: int, draining: bool = False
) -> dict[str, Any]:
    """Return the entry of a server in the store."""
    return {
        "service": service,
        "address": address,
        "zone": "zone-a",
        "state": "draining" if draining else "ready",
        "slots": 4,
        "born": born,
        "sequence": 1,
    }


def settings_text(
    name: str,
    *,
    store: str,
    addresses: list[str],
    revoke: Seconds = REVOCATION_BOUND,
    grace: Seconds = GRACE_TIME,
    processor: float = 1.0,
    memory_mb: float = MEMORY_LIMIT_MB,
    max_descriptors: float = 0,
    rollouts: bool = False,
) -> str:
    """Return the settings file of a host with four addresses on one IP address."""
    ip = addresses[0].partition(":")[0]
    frontend, readiness, peers, metrics = (a.partition(":")[2] for a in addresses)
    lines = {
        "nodeName": name,
        "zone": "zone-a",
        "ip": ip,
        "listen.frontend": f"{ip}:{frontend}",
        "listen.readiness": f"{ip}:{readiness}",
        "portRange": f"{peers},{metrics}",
        "platform.address": store,
        "heartbeatMs": int(HEARTBEAT * 1_000),
        "bounds.revokeMs": int(revoke * 1_000),
        "bounds.configApplyMs": int(APPLY_BOUND * 1_000),
        "bounds.strictRevoke": "true",
        "bounds.graceS": grace,
        "bounds.retryBudgetExtra": 100,
        "limits.cpuShare": processor,
        "limits.memoryMb": memory_mb,
        "limits.maxFds": max_descriptors,
    }
    if rollouts:
        lines |= {
            "contracts": "rollout",
            "bounds.exposureShare": EXPOSURE_SHARE,
            "bounds.exposureSlack": EXPOSURE_SLACK,
            "bounds.rollbackMs": int(ROLLBACK_BOUND * 1_000),
        }
    return "".join(f"{key}={value}\n" for key, value in lines.items())


async def call(
    record: CallRecord,
    address: str,
    *,
    deadline: Seconds,
    session: aiohttp.ClientSession,
) -> None:
    """Send the request of a record, and fill in what the caller sees.

    The session may send it on a connection that is still open from an earlier call.
    """
    loop = asyncio.get_running_loop()
    headers = {
        "Host": CALLERS_HOST,
        "X-Amaranthferry-Attempt-Id": record.attempt,
        "X-Amaranthferry-Deadline-Ms": str(int(deadline * 1_000)),
        "X-Amaranthferry-Key": record.key,
    }
    if record.kind.streaming:
        headers["X-Amaranthferry-Model"] = "m"
        headers["X-Amaranthferry-Token-Usage"] = "100,20"
        part = HARMFUL_PART if record.harmful else SOUND_PART
        own = record.attempt.encode().hex()
        headers["X-Amaranthferry-Prefix-Hash"] = f"aa:60,{part}:20,{own}:20"
    comes_again = record.harmful and not record.kind.streaming
    name = HARMFUL_NAME if comes_again else record.attempt
    url = URL(f"http://{address}/{record.kind}/{name}", encoded=True)
    method = "GET" if record.kind is CallKind.LOOK else "POST"
    timeout = aiohttp.ClientTimeout(total=deadline + 1.0)
    try:
        async with session.request(
            method, url, headers=headers, timeout=timeout
        ) as answer:
            record.status = answer.status
            record.signature = answer.headers.get(
                "X-Amaranthferry-Server-Signature", ""
            )
            record.answered_attempt = answer.headers.get(
                "X-Amaranthferry-Attempt-Id", ""
            )
            record.server_leaving = answer.headers.get("Server-Leaving") == "1"
            record.server_limited = "Server-Limit" in answer.headers
            record.body = (await answer.read()).decode("utf-8", "replace")
            record.complete = True
    except (aiohttp.ClientError, TimeoutError):
        # The record shows the cut by `status` and `complete`.
        pass
    finally:
        record.ended = loop.time()
