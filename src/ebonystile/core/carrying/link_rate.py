"""Estimate the rate of a balancer's own link, which may be narrower than configured.

A link that is full delays and drops what the balancer sends, queries included. Their round trips
therefore show whether the rate in force is too high.
"""

import collections

from ebonystile.core import view
from ebonystile.core.carrying import effects, packet, round_trips, scheduling

MIN_QUERIES, MIN_SIDECARS = 8, 4
"""Queries and sidecars asked that the rate is lowered by at least; fewer may all be slow."""

QUEUEING_MS = 40
"""Lateness of round trips in ms that shows a queue at the link, which holds about 50 ms."""

NORMAL_MS = 15
"""Lateness of round trips in ms up to which the link counts as free."""

MAX_UNANSWERED = 0.5
"""Share of unanswered queries from which the link counts as full if the answers are late."""

MIN_USED = 0.5
"""Share of the rate in force that must have been sent before it is lowered for late answers only.
At lower use something else delays them."""

MAX_LOST = 0.5
"""Share of queries lost on the way to sidecars that answer others, from which late answers lower
the rate at any use: senders whose packets are lost send less than half of the rate themselves."""

USED_WINDOW_MS = 300
"""Time over which the use of the rate is measured, in ms."""

USED_STEP_MS = 50
"""Resolution of that time, in ms."""

CHANGE_INTERVAL_MS = 200
"""Shortest time between two changes of the rate, in ms."""

UNMEASURED_INTERVAL_MS = 1_000
"""Time without any query after which the rate is raised, and then raised again, in ms. Without it
a balancer that opens no flows at a lowered rate would keep that rate."""

SETTLE_MS = 50
"""Time after a stall before the rate is changed, in ms: the answers that have arrived during the
stall are read by then."""

DECREASE, INCREASE = 0.5, 1.25
"""Factors by which the rate is changed."""

MIN_SHARE = 1 / 64
"""Lowest rate in force, as a share of the configured rate."""


class LinkRate:
    """The rate in force, `mbps`, adjusted by what queries and sent bytes show."""

    def __init__(self, configured_mbps: float, now: int):
        self.configured_mbps = configured_mbps
        self.mbps = configured_mbps
        self.round_trips = round_trips.RoundTrips()
        self.sent: collections.deque[tuple[int, int]] = collections.deque()
        self.change_at = now
        self.unmeasured_raise_at = now + UNMEASURED_INTERVAL_MS

    def record_query(self, sidecar: view.Address, flow: packet.Flow, now: int) -> None:
        """Record that a query was sent to the link."""
        self.round_trips.record_query(sidecar, flow, now)

    def record_answer(self, sidecar: view.Address, flow: packet.Flow, now: int) -> None:
        """Record that the answer to a query was received."""
        self.round_trips.record_answer(sidecar, flow, now)

    def record_stall(self, now: int) -> None:
        """Record that this process did not run for a while or is behind with its datagrams.

        Answers have waited here meanwhile, which says nothing about the link.
        """
        self.round_trips.void_outstanding()
        self.change_at = max(self.change_at, now + SETTLE_MS)

    def record_sent(self, size: int, now: int) -> None:
        """Record that a datagram of `size` bytes was sent."""
        step = now - now % USED_STEP_MS
        if self.sent and self.sent[-1][0] == step:
            size += self.sent.pop()[1]
        else:
            self.drop_old(now)
        self.sent.append((step, size))

    def drop_old(self, now: int) -> None:
        """Drop the counts of sent bytes that are outside the window."""
        while self.sent and self.sent[0][0] < now - USED_WINDOW_MS:
            self.sent.popleft()

    def used_share(self, now: int) -> float:
        """Return the share of the rate in force that was sent within the window."""
        self.drop_old(now)
        sent = sum(size for _, size in self.sent)
        return sent / (scheduling.paced_bytes_per_ms(self.mbps) * USED_WINDOW_MS)

    def adjust(self, now: int) -> effects.Trace | None:
        """Change the rate if the queries call for it; return the log event of a change."""
        if now < self.change_at:
            return None
        evidence = self.round_trips.evidence(now)
        mbps = self.next_mbps(evidence, now)
        if evidence.queries:
            self.unmeasured_raise_at = now + UNMEASURED_INTERVAL_MS
        if mbps == self.mbps:
            return None
        before, self.mbps = self.mbps, mbps
        self.change_at = now + CHANGE_INTERVAL_MS
        self.unmeasured_raise_at = now + UNMEASURED_INTERVAL_MS
        return effects.trace(
            "link_rate",
            rate_mbps=round(mbps, 3),
            before_mbps=round(before, 3),
            configured_mbps=self.configured_mbps,
            queries=evidence.queries,
            sidecars=evidence.sidecars,
            unanswered=round(evidence.unanswered, 2),
            lost=round(evidence.lost, 2),
            late_ms=evidence.lateness_ms,
            lowest_ms=evidence.lowest_ms,
        )

    def next_mbps(self, evidence: round_trips.Evidence, now: int) -> float:
        """Return the rate that the evidence calls for."""
        is_used = shows_loss(evidence) or self.used_share(now) >= MIN_USED
        if shows_queueing(evidence) and is_used:
            return max(self.mbps * DECREASE, self.configured_mbps * MIN_SHARE)
        is_unmeasured = not evidence.queries and now >= self.unmeasured_raise_at
        if is_unmeasured or shows_free_link(evidence):
            return min(self.mbps * INCREASE, self.configured_mbps)
        return self.mbps


def shows_queueing(evidence: round_trips.Evidence) -> bool:
    """Return whether queries wait at the link.

    Unanswered queries alone do not show it, as some sidecars may be down or cut off: what passes a
    full link is late as well. If no query is answered, the balancer is disconnected.
    """
    if evidence.queries < MIN_QUERIES or evidence.sidecars < MIN_SIDECARS:
        return False
    if evidence.lateness_ms is None:
        return False
    if evidence.lateness_ms >= QUEUEING_MS:
        return True
    return evidence.unanswered >= MAX_UNANSWERED and evidence.lateness_ms > NORMAL_MS


def shows_loss(evidence: round_trips.Evidence) -> bool:
    """Return whether a full link drops queries: sidecars that are gone answer none at all."""
    if evidence.lateness_ms is None or evidence.lateness_ms < QUEUEING_MS:
        return False
    return evidence.lost >= MAX_LOST


def shows_free_link(evidence: round_trips.Evidence) -> bool:
    """Return whether most queries are answered, and without delay."""
    if evidence.lateness_ms is None or evidence.unanswered >= MAX_UNANSWERED:
        return False
    return evidence.lateness_ms <= NORMAL_MS
