"""Limit the rate of new flows to an upstream during its slow start.

After a release or the crash of a zone many upstreams are cold and idle at once, and all balancers
would choose them. Only the upstream's sidecar sees the opening packets of all balancers, so the
limit is applied there.
"""

import collections
import dataclasses
import math

WINDOW_MS = 1_000
"""Length of the sliding window in which flows are counted, in ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlowStart:
    """The slow start of a service's upstreams: its duration and its limit on new flows.

    `max_flows_per_s` is 0 where the service sets no limit.
    """

    duration_ms: int
    max_flows_per_s: float = 0.0


NO_SLOW_START = SlowStart(0)


class SlowStartTracker:
    """The slow start of one sidecar's upstream; times in ms.

    `opened` is when new flows were sent to the upstream in the last second. `restarted_at` is when
    packets showed that the upstream had restarted. Its entry shows a restart only after a heartbeat
    and the store's lag, when most of the slow start is over.
    """

    def __init__(self) -> None:
        self.restarted_at: int | None = None
        self.opened: collections.deque[int] = collections.deque()

    def record_restart(self, now: int) -> None:
        """Record that packets have shown a restart of the upstream."""
        self.restarted_at = now

    def record_opened(self, now: int) -> None:
        """Record an opening packet that is sent to the upstream."""
        self.expire(now)
        self.opened.append(now)

    def is_active(self, slow_start: SlowStart, slow_start_until: int | None, now: int) -> bool:
        """Return whether the upstream is in its slow start.

        `slow_start_until` is from its entry, None without one: the time of the start is unknown
        then, and the upstream counts as cold.
        """
        if slow_start_until is None or now < slow_start_until:
            return True
        return self.restarted_at is not None and now - self.restarted_at < slow_start.duration_ms

    def has_capacity(self, slow_start: SlowStart, slow_start_until: int | None, now: int) -> bool:
        """Return whether the upstream may get one more flow now."""
        if not slow_start.max_flows_per_s or not self.is_active(slow_start, slow_start_until, now):
            return True
        self.expire(now)
        return len(self.opened) < max(1, math.floor(slow_start.max_flows_per_s))

    def expire(self, now: int) -> None:
        """Remove the flows that were opened more than a second ago."""
        while self.opened and now - self.opened[0] > WINDOW_MS:
            self.opened.popleft()
