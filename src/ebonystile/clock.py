"""Monotonic clock in milliseconds since the epoch.

It is set from the wall clock once, at the start. With steps of the wall clock (NTP, an operator), a
ledger could drop a request too early, so that the request would run twice.
"""

import time

NS_PER_MS = 1_000_000

ANCHOR_NS = time.time_ns() - time.monotonic_ns()


def now() -> int:
    """Return the current time in milliseconds."""
    return (ANCHOR_NS + time.monotonic_ns()) // NS_PER_MS


def seconds_until(deadline: int) -> float:
    """Return the seconds until a deadline in milliseconds; 0 if it has passed."""
    return max(0, deadline - now()) / 1000
