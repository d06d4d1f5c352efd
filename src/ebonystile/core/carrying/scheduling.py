"""Schedule what a balancer sends in front of its own narrow link."""

from ebonystile.core.carrying import routes

MAX_SCHEDULED_MBPS = 50
"""Rate of a link in Mbit/s above which it is not scheduled: one process can't fill it."""

PACED_SHARE = 0.97
"""Share of the link's rate that is used for datagrams; the rest is for TCP."""

BYTES_PER_MS_PER_MBPS = 125
"""Bytes per ms that make up 1 Mbit/s."""


class LinkScheduler:
    """Decides the order and the time at which datagrams are sent to the link."""

    def __init__(self, link_mbps: float, now: int):
        self.configured_mbps = link_mbps
        self.rate_mbps = link_mbps

    @property
    def bytes_per_ms(self) -> float:
        """Return how many bytes may be sent per ms at the rate in force, headers included."""
        return PACED_SHARE * BYTES_PER_MS_PER_MBPS * self.rate_mbps

    @property
    def is_narrowed(self) -> bool:
        """Return whether the rate in force is below half of the configured rate."""
        return 2 * self.rate_mbps < self.configured_mbps

    def predicted_wait_ms(self, traits: routes.RequestTraits, is_bulk: bool, now: int) -> float:
        """Return how long a datagram of a route would wait before it is sent, in ms.

        The prediction counts the bytes ahead of it at the rate in force. `is_bulk` selects the
        level of bulk flows.
        """
        return 0.0


def make_scheduler(link_mbps: float, now: int) -> LinkScheduler | None:
    """Return the scheduler of a link, or None if its rate is unknown (0) or needs no scheduling."""
    return LinkScheduler(link_mbps, now) if 0 < link_mbps <= MAX_SCHEDULED_MBPS else None
