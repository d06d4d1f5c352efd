"""Log when a backlog in front of the link begins and ends."""

from ebonystile.core.carrying import datagram, effects, scheduling

BUSY_MS = 20
"""Backlog in ms at the rate in force from which the link counts as busy."""


class Backlog:
    """The present backlog: how much waited at most, and how long a datagram waited at most."""

    def __init__(self) -> None:
        self.is_busy = False
        self.max_bytes = 0
        self.longest_ms = 0
        self.dropped_before = 0

    def observe_wait(self, sent: datagram.Datagram, now: int) -> None:
        """Record how long a datagram that is sent now has waited."""
        self.longest_ms = max(self.longest_ms, now - sent.enqueued_at)

    def observe(self, link: scheduling.LinkScheduler) -> effects.Trace | None:
        """Return the log event if a backlog has begun or ended."""
        if not self.is_busy and link.backlog_ms > BUSY_MS:
            return self.begin(link)
        if self.is_busy and not link.waiting_bytes:
            return self.end(link)
        self.max_bytes = max(self.max_bytes, link.waiting_bytes)
        return None

    def begin(self, link: scheduling.LinkScheduler) -> effects.Trace:
        """Record that a backlog has begun."""
        self.is_busy = True
        self.max_bytes = link.waiting_bytes
        self.longest_ms = 0
        self.dropped_before = link.dropped.total()
        return effects.trace(
            "link_busy",
            bytes=link.waiting_bytes,
            backlog_ms=round(link.backlog_ms),
            rate_mbps=round(link.rate_mbps, 3),
        )

    def end(self, link: scheduling.LinkScheduler) -> effects.Trace:
        """Record that the backlog has ended."""
        self.is_busy = False
        return effects.trace(
            "link_idle",
            bytes=self.max_bytes,
            longest_wait_ms=self.longest_ms,
            dropped=link.dropped.total() - self.dropped_before,
        )
