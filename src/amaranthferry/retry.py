"""Bound the retries of a pool, so that they can't outgrow its first tries."""

import msgspec

from .types import Seconds

MAX_TOKENS = 10.0
MIN_RETRIES_PER_SECOND = 0.5


class RepeatBudget(msgspec.Struct):
    """Allow second runs as a share of first ones, with a burst and a refill a second.

    The numbers are this host's part of what all hosts together may use.
    """

    tokens: float = 0.0
    ratio: float = 0.0
    burst: float = 0.0
    refill: float = 0.0
    refilled_at: Seconds = 0.0

    def deposit(self) -> None:
        """Count a first run."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take(self, now: Seconds) -> bool:
        """Take one second run out of the budget, if it holds one."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        self.tokens = min(self.burst, self.tokens + elapsed * self.refill)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryBudget(msgspec.Struct):
    """Allow retries as a share of first tries, and a few a second besides."""

    ratio: float = 0.1
    tokens: float = MAX_TOKENS
    refilled_at: Seconds = 0.0

    def deposit(self) -> None:
        """Count a first try."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def take(self, now: Seconds) -> bool:
        """Take one retry out of the budget, if it holds one."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        refill = elapsed * MIN_RETRIES_PER_SECOND
        self.tokens = min(MAX_TOKENS, self.tokens + refill)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
