"""Limit a caller's retries, so that an overload does not become a retry storm.

A `RetryBudget` keeps retries a small share of first attempts, whatever fails. A `Backoff` returns
the time of the next retry. Times are in milliseconds.
"""

import dataclasses

from ebonystile.core import rng


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """How many retries a caller may send.

    Each success adds `share` of a retry to the budget and each second adds `trickle`, up to `most`
    retries in all. The trickle lets a caller without any recent success detect that the service has
    recovered.
    """

    share: float = 0.1
    trickle: float = 0.2
    most: float = 10.0


class RetryBudget:
    """A token bucket that successes and time fill and that retries empty."""

    def __init__(self, allowance: Allowance, now: int):
        self.allowance = allowance
        self.tokens = allowance.most
        self.filled_at = now

    def record_success(self) -> None:
        """Add a success's share of a retry."""
        self.tokens = min(self.allowance.most, self.tokens + self.allowance.share)

    def spend(self, now: int) -> bool:
        """Take one retry from the budget; return False if none is left."""
        earned = max(0, now - self.filled_at) / 1000 * self.allowance.trickle
        self.tokens = min(self.allowance.most, self.tokens + earned)
        self.filled_at = max(now, self.filled_at)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Backoff:
    """Exponential backoff with decorrelated jitter (Brooker, 2015).

    Without jitter, callers that failed together would retry together. A retry is never sent before
    the time given in a refusal.
    """

    def __init__(self, base_ms: int = 50, max_ms: int = 5000):
        self.base_ms = base_ms
        self.max_ms = max_ms
        self.last_ms = base_ms

    def next_at(self, now: int, chance: rng.Rng, retry_at: int = 0) -> int:
        """Return the time of the next retry, which is not before `retry_at`."""
        self.last_ms = int(min(self.max_ms, chance.uniform(self.base_ms, self.last_ms * 3)))
        if retry_at <= now:
            return now + self.last_ms
        # Refusals carry spread-out retry times; jitter separates callers that got the same one.
        return retry_at + int(chance.uniform(0, self.base_ms))

    def reset(self) -> None:
        """Return to the shortest backoff after a success."""
        self.last_ms = self.base_ms
