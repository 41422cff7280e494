"""Recognize the repeats of refused requests, whose objective began at the first attempt.

This is for overload, when a refused caller comes back while others wait that can still
be in time. A caller's attempts have different request ids, so a repeat is known by its
prompt and deadline, which stay the same.
"""

from collections import deque
from typing import NamedTuple

import msgspec

from .messages import PermitRequest
from .types import ModelId, Seconds, Tokens, WorkspaceId
from .wait_queue import Waiter

#: Largest difference between the deadlines of two attempts of one request.
DEADLINE_TOLERANCE: Seconds = 0.25
#: Number of refused requests that are remembered.
MAX_REMEMBERED = 4_096


class _Key(NamedTuple):
    workspace: WorkspaceId
    tier: int
    work_class: int
    model: ModelId
    prompt_tokens: Tokens
    output_tokens: Tokens
    prefixes: tuple[int, ...]


class _Refused(NamedTuple):
    key: _Key
    due: Seconds
    deadline: Seconds


class RefusedRequests:
    """Remember refused requests until their callers can't repeat them anymore."""

    def __init__(self) -> None:
        self._by_key: dict[_Key, list[_Refused]] = {}
        self._order: deque[_Refused] = deque()

    def record(self, waiter: Waiter) -> None:
        """Record a refused request that has an objective and a known prompt."""
        request = waiter.request
        if not request.objective or not request.prefixes:
            return
        refused = _Refused(
            _key(request), waiter.arrived + request.objective, waiter.deadline
        )
        self._by_key.setdefault(refused.key, []).append(refused)
        self._order.append(refused)
        if len(self._order) > MAX_REMEMBERED:
            self._remove(self._order.popleft())

    def with_first_objective(
        self, request: PermitRequest, now: Seconds
    ) -> PermitRequest:
        """Return a request with the time left until the objective of its first attempt."""
        self._expire(now)
        if not self._by_key:
            return request
        deadline = now + request.remaining
        for refused in self._by_key.get(_key(request), ()):
            if abs(refused.deadline - deadline) <= DEADLINE_TOLERANCE:
                self._remove(refused)
                objective = min(request.objective, refused.due - now)
                return msgspec.structs.replace(request, objective=objective)
        return request

    def _expire(self, now: Seconds) -> None:
        while self._order and self._order[0].deadline < now:
            self._remove(self._order.popleft())

    def _remove(self, refused: _Refused) -> None:
        same = self._by_key.get(refused.key, [])
        if refused in same:
            same.remove(refused)
        if not same:
            self._by_key.pop(refused.key, None)


def _key(request: PermitRequest) -> _Key:
    return _Key(
        request.workspace,
        request.tier_rank,
        request.class_rank,
        request.model,
        request.prompt_tokens,
        request.output_tokens,
        request.prefixes,
    )
