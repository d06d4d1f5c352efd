"""Bound how many requests run at one upstream and how many wait; estimate the wait."""

import collections
import dataclasses

from ebonystile.core import ledger

FIRST_ESTIMATE = 50
"""Service time assumed before one has been measured, in ms."""

SMOOTHING = 0.2
"""Weight of the newest service time in the moving average."""


@dataclasses.dataclass(slots=True)
class Slots:
    """The running requests, the queue in order of arrival, and the mean service time (ms)."""

    limit: int
    queue_limit: int
    running: set[ledger.Key] = dataclasses.field(default_factory=set)
    queue: collections.OrderedDict[ledger.Key, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    service_time: float = FIRST_ESTIMATE

    def expected_wait(self) -> float:
        """Return the time in ms until a request that joins the queue now would start."""
        ahead = len(self.running) + len(self.queue) + 1 - self.limit
        return max(0, ahead) * self.service_time / self.limit

    def has_room(self, deadline: int, now: int) -> bool:
        """Whether a new request can start, or wait and still be done by its deadline."""
        if len(self.running) < self.limit and not self.queue:
            return True
        if len(self.queue) >= self.queue_limit:
            return False
        return now + self.expected_wait() + self.service_time < deadline

    def release(self, key: ledger.Key, started_at: int, now: int) -> None:
        """Free the slot of a request that has ended and learn from how long it took."""
        if key in self.running:
            self.running.discard(key)
            taken = max(0, now - started_at)
            self.service_time += SMOOTHING * (taken - self.service_time)


def make_slots(limit: int, queue_limit: int) -> Slots:
    """Return slots that are all free."""
    return Slots(limit, queue_limit)
