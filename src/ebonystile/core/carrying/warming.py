"""Limit the rate of new flows to an upstream while it warms up.

After a release or the crash of a zone many upstreams are cold and idle at once, and all balancers
would choose them. Only the upstream's sidecar sees the opening packets of all balancers, so the
limit is applied there.
"""

import collections
import dataclasses
import math

SECOND_MS = 1_000
"""Length of the sliding window in which flows are counted, in ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUp:
    """How long the upstreams of a service are cold, in ms, and how many flows a second they get.

    `per_second` is 0 where the service sets no limit.
    """

    length: int
    per_second: float = 0.0


UNBOUNDED = WarmUp(0)


class Warming:
    """The warm-up of one sidecar's upstream, and the flows it was given; times in ms.

    `restarted_at` is when packets showed that the upstream had restarted. The entry shows it only
    later, after a heartbeat and the store's lag, when most of the warm-up is over.
    """

    def __init__(self) -> None:
        self.restarted_at: int | None = None
        self.opened: collections.deque[int] = collections.deque()

    def note_restart(self, now: int) -> None:
        """Record that packets have shown a restart of the upstream."""
        self.restarted_at = now

    def note_opened(self, now: int) -> None:
        """Record an opening packet that is sent to the upstream."""
        self.forget(now)
        self.opened.append(now)

    def cold(self, warm_up: WarmUp, warm_at: int | None, now: int) -> bool:
        """Return whether the upstream is cold; `warm_at` is from its entry, None if it has none.

        Without an entry the upstream's start is unknown, and it counts as cold.
        """
        if warm_at is None or now < warm_at:
            return True
        return self.restarted_at is not None and now - self.restarted_at < warm_up.length

    def room(self, warm_up: WarmUp, warm_at: int | None, now: int) -> bool:
        """Return whether the upstream may get one more flow now."""
        if not warm_up.per_second or not self.cold(warm_up, warm_at, now):
            return True
        self.forget(now)
        return len(self.opened) < max(1, math.floor(warm_up.per_second))

    def forget(self, now: int) -> None:
        """Remove the flows that were opened more than a second ago."""
        while self.opened and now - self.opened[0] > SECOND_MS:
            self.opened.popleft()
