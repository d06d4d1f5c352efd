"""Pace datagrams with a token bucket that counts bytes."""

BURST_MS = 10
"""Credit of a full bucket, as the time in ms that it takes at the rate: short enough that the
link's own queue, which drops what exceeds about 50 ms, stays short."""


class Pacer:
    """A token bucket; a datagram that is larger than the burst leaves the credit negative."""

    def __init__(self, bytes_per_ms: float, now: int):
        self.bytes_per_ms = bytes_per_ms
        self.credit = self.burst
        self.updated_at = now

    @property
    def burst(self) -> float:
        """Return the credit of a full bucket in bytes."""
        return BURST_MS * self.bytes_per_ms

    def refill(self, now: int) -> None:
        """Add the credit since the last call."""
        if now > self.updated_at:
            earned = (now - self.updated_at) * self.bytes_per_ms
            self.credit = min(self.credit + earned, self.burst)
            self.updated_at = now

    def take(self, size: int, now: int) -> bool:
        """Take the credit for a datagram of `size` bytes, and return whether there was enough."""
        self.refill(now)
        if self.credit < size and self.credit < self.burst:
            return False
        self.credit -= size
        return True

    def ready_at(self, size: int) -> int:
        """Return the earliest time in ms at which there is credit for a datagram."""
        missing = min(size, self.burst) - self.credit
        # The bucket is refilled by whole ms, so the time is rounded up.
        return self.updated_at + max(0, int(-(-missing // self.bytes_per_ms)))

    def set_rate(self, bytes_per_ms: float, now: int) -> None:
        """Change the rate; a credit above the burst at the new rate is lost."""
        self.refill(now)
        self.bytes_per_ms = bytes_per_ms
        self.credit = min(self.credit, self.burst)
