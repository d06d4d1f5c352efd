"""Tell the time in milliseconds since the epoch, never stepping back while the process runs.

Anchored to the wall clock once, at the start, and monotonic from then on. A step of the wall clock
(NTP, an operator) would otherwise let a ledger forget a request early, and so run it twice.
"""

import time

NS_PER_MS = 1_000_000

ANCHOR_NS = time.time_ns() - time.monotonic_ns()


def now() -> int:
    """Return the present time in milliseconds."""
    return (ANCHOR_NS + time.monotonic_ns()) // NS_PER_MS


def seconds_until(deadline: int) -> float:
    """Return the seconds left before a deadline in milliseconds, never less than 0."""
    return max(0, deadline - now()) / 1000
