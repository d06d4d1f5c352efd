"""Rate limiter by the generic cell rate algorithm (ITU-T I.371)."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Budget:
    """A token bucket of `burst` units that refills at `rate` units per second.

    Its only state is `full_at`, the time in ms at which the bucket is full again.
    """

    rate: int
    burst: int
    full_at: int = 0

    def take(self, units: int, now: int) -> bool:
        """Take the units if the bucket holds them, and return whether it did.

        A full bucket grants any number of units.
        """
        start = max(self.full_at, now)
        spent = (start - now) * self.rate // 1000
        if spent and spent + units > self.burst:
            return False
        self.full_at = start + units * 1000 // self.rate
        return True

    def ready_at(self, units: int, now: int) -> int:
        """Return the earliest time in ms at which `units` can be taken."""
        spare = max(0, self.burst - units)
        return max(now, self.full_at - spare * 1000 // self.rate)
