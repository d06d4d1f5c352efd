"""Limit what a caller repeats, so that a brown-out does not become a storm of retries.

A `Budget` lets repeats be only a small share of first tries, whatever fails. A `Backoff` says when
the next may go out. Times are milliseconds.
"""

import dataclasses

from ebonystile.core import rng


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """How many repeats a caller may send.

    `share` of a repeat is earned by each success, `trickle` of one by each second, and at most
    `most` can be saved up. The trickle lets a caller that has had no success for long find out that
    the service is back.
    """

    share: float = 0.1
    trickle: float = 0.2
    most: float = 10.0


class Budget:
    """A token bucket that successes fill and repeats empty."""

    def __init__(self, allowance: Allowance, now: int):
        self.allowance = allowance
        self.tokens = allowance.most
        self.filled_at = now

    def succeeded(self) -> None:
        """Earn a share of a repeat."""
        self.tokens = min(self.allowance.most, self.tokens + self.allowance.share)

    def spend(self, now: int) -> bool:
        """Take one repeat, or return False if there is none left."""
        earned = max(0, now - self.filled_at) / 1000 * self.allowance.trickle
        self.tokens = min(self.allowance.most, self.tokens + earned)
        self.filled_at = max(now, self.filled_at)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Backoff:
    """When to try again: exponential, with decorrelated jitter (Brooker, 2015).

    Without jitter those who failed together come back together. The time that a refusal names is
    never anticipated.
    """

    def __init__(self, base: int = 50, most: int = 5000):
        self.base = base
        self.most = most
        self.last = base

    def next_at(self, now: int, chance: rng.Rng, retry_at: int = 0) -> int:
        """Return when to try again, not before `retry_at`."""
        self.last = int(min(self.most, chance.uniform(self.base, self.last * 3)))
        if retry_at <= now:
            return now + self.last
        # The refusal has spread its callers already; a little jitter parts those it could not.
        return retry_at + int(chance.uniform(0, self.base))

    def reset(self) -> None:
        """Start anew after a success."""
        self.last = self.base
