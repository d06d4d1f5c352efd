"""Bound the new flows that an upstream gets in its slow first seconds.

After a crash of a zone or a release many upstreams are cold and idle at the same moment, and all
balancers would choose them. No balancer knows what the others send, but the sidecar beside the
upstream sees every opening packet, so the bound is kept there.
"""

import collections
import dataclasses
import math

SECOND_MS = 1_000
"""The span over which flows are counted, in ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUp:
    """How long the upstreams of a service are cold (ms), and how many flows a second they bear.

    `per_second` is 0 where the service sets no bound.
    """

    length: int
    per_second: float = 0.0


UNBOUNDED = WarmUp(0)


class Warming:
    """What one sidecar knows of its upstream's first seconds; times in ms.

    `restarted_at` is when packets have shown that the upstream started anew. Its entry says so only
    a heartbeat and the store's lag later, when most of the cold seconds are over.
    """

    def __init__(self) -> None:
        self.restarted_at: int | None = None
        self.opened: collections.deque[int] = collections.deque()

    def note_restart(self, now: int) -> None:
        """Note that the upstream has shown to have started anew."""
        self.restarted_at = now

    def note_opened(self, now: int) -> None:
        """Note an opening packet that the upstream gets."""
        self.forget(now)
        self.opened.append(now)

    def cold(self, warm_up: WarmUp, warm_at: int | None, now: int) -> bool:
        """Tell whether the upstream is cold; its entry names `warm_at`, None if it has none.

        Without an entry nobody knows when the upstream started, and it counts as cold.
        """
        if warm_at is None or now < warm_at:
            return True
        return self.restarted_at is not None and now - self.restarted_at < warm_up.length

    def room(self, warm_up: WarmUp, warm_at: int | None, now: int) -> bool:
        """Tell whether the upstream may get one more flow now."""
        if not warm_up.per_second or not self.cold(warm_up, warm_at, now):
            return True
        self.forget(now)
        return len(self.opened) < max(1, math.floor(warm_up.per_second))

    def forget(self, now: int) -> None:
        """Forget the flows that were opened more than a second ago."""
        while self.opened and now - self.opened[0] > SECOND_MS:
            self.opened.popleft()
