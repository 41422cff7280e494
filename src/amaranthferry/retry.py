"""Bound the retries of a pool in proportion to its first attempts."""

import msgspec

from .types import Seconds

MAX_TOKENS = 10.0
MIN_RETRIES_PER_SECOND = 0.5


class RepeatBudget(msgspec.Struct):
    """Limit repeated attempts to a ratio of first attempts, a burst and a refill.

    `refill` is per second. The numbers are this host's share of the total budget.
    """

    tokens: float = 0.0
    ratio: float = 0.0
    burst: float = 0.0
    refill: float = 0.0
    refilled_at: Seconds = 0.0

    def deposit(self) -> None:
        """Record a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def allows(self, now: Seconds) -> bool:
        """Return whether the budget allows a repeated attempt."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        self.tokens = min(self.burst, self.tokens + elapsed * self.refill)
        return self.tokens >= 1.0

    def take(self, now: Seconds) -> bool:
        """Withdraw one repeated attempt and return whether the budget allows it."""
        if not self.allows(now):
            return False
        self.tokens -= 1.0
        return True


class RetryBudget(msgspec.Struct):
    """Limit retries of failed connections to a ratio of first attempts and a refill."""

    ratio: float = 0.1
    tokens: float = MAX_TOKENS
    refilled_at: Seconds = 0.0

    def deposit(self) -> None:
        """Record a first attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def take(self, now: Seconds) -> bool:
        """Withdraw one retry and return whether the budget allows it."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        refill = elapsed * MIN_RETRIES_PER_SECOND
        self.tokens = min(MAX_TOKENS, self.tokens + refill)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def next_in(self, now: Seconds) -> Seconds:
        """Return after which time the budget allows a retry without first attempts."""
        earned = max(0.0, now - self.refilled_at) * MIN_RETRIES_PER_SECOND
        return max(0.0, 1.0 - self.tokens - earned) / MIN_RETRIES_PER_SECOND
