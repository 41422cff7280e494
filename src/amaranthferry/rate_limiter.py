"""Limit the rate of a host's platform calls, with the urgent ones first."""

import asyncio
from collections.abc import Callable

from .types import Seconds

_BURST_SECONDS: Seconds = 1.0


class _Waiter:
    """Represent a call that waits to be admitted."""

    def __init__(self, is_urgent: Callable[[], bool]) -> None:
        self.is_urgent = is_urgent
        self.fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()


class RateLimiter:
    """Admit `rate` calls a second, with a burst of one second's calls.

    Urgency is evaluated at admission, since a call may become urgent while it
    waits.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._waiters: list[_Waiter] = []
        self._next_at: Seconds = float("-inf")
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, is_urgent: Callable[[], bool]) -> None:
        """Wait for admission; the first urgent call precedes all others."""
        waiter = _Waiter(is_urgent)
        self._waiters.append(waiter)
        self._grant()
        try:
            await waiter.fut
        except asyncio.CancelledError:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            raise

    def _grant(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        while self._waiters:
            burst_start = min(now, now - _BURST_SECONDS + 1.0 / self.rate)
            self._next_at = max(self._next_at, burst_start)
            if self._next_at > now:
                break
            self._next_at += 1.0 / self.rate
            waiter = next((w for w in self._waiters if w.is_urgent()), self._waiters[0])
            self._waiters.remove(waiter)
            if not waiter.fut.done():
                waiter.fut.set_result(None)
        if self._waiters and self._timer is None:
            self._timer = loop.call_at(self._next_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._grant()
