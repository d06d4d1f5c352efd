"""Choose the upstream of a new flow by the loads that sidecars report.

A balancer places a flow on a given upstream once in minutes, so it queries a few sidecars for each
new flow instead of keeping a table of loads. The reports are one round trip old.
"""

import dataclasses
import typing

from ebonystile.core.carrying import fleet, messages, packet
from ebonystile.core.placing import ranking

NEAR = 8
"""Upstreams of the own availability zone in the first wave; traffic within a zone is free."""

CANDIDATES = 3
"""Upstreams in the wave after it. The least loaded of three is nearly the least loaded of all
(Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 2001)."""

ZONE_COST = 1.0
"""Cost added to upstreams of other availability zones, in requests per slot. Waiting for one
request is short against callers' timeouts, and traffic between zones is charged."""

MOST_FLOW_WORK = 0.05
"""Upper bound of the mean number of running requests per open flow."""

COLD_WORK = 1.6
"""Factor on the cost of an upstream that is warming up."""

EQUAL_WORK = 0.05
"""Difference of cost up to which upstreams count as equally loaded; rank decides among them.

When many flows open at once after an outage, all queries are answered before the first flow
arrives, and the smallest difference would send every flow to the same upstream. Rank differs from
flow to flow.
"""

SLOW = 2.0
"""Ratio of an upstream's latency to the median above which it counts as slow: more than the mean of
a few requests varies by chance."""

LEAST_GOOD = 0.1
"""Lower bound of the success rate, which keeps the cost finite."""

CALM_GOOD = 0.9
"""Relative success rate from which an upstream counts as healthy."""


OVERLOADED = 4
"""Running and queued requests per slot from which an upstream counts as overloaded: its queue is
short, and it refuses requests beyond it."""


@dataclasses.dataclass(slots=True)
class Standing:
    """The rating of an upstream for a new flow.

    `cost` is its load per slot including the new flow, increased if it is warming up, slow or
    failing; `sound` is set unless it fails more often than the others.
    """

    upstream: fleet.Upstream
    load: messages.Load
    cost: float
    sound: bool

    @property
    def unavailable(self) -> tuple[bool, bool]:
        """Return whether the upstream is silent, and whether it takes no more flows at present."""
        return (self.load.unresponsive, self.load.full)

    @property
    def calm(self) -> bool:
        """Return whether the upstream is available, healthy and has no queued requests."""
        load = self.load
        return not any(self.unavailable) and load.running <= load.slots and self.sound

    @property
    def overloaded(self) -> bool:
        """Return whether the new flow should wait at the balancer instead.

        Flows that have just opened don't suffice: a request must run on every slot.
        """
        load = self.load
        if load.full:
            return True
        return load.saturated and load.running >= OVERLOADED * max(1, load.slots)


def compare(
    answers: typing.Iterable[tuple[fleet.Upstream, messages.Load]], zone: str, now: int
) -> list[Standing]:
    """Return the ratings of the upstreams that accept flows, in the order given.

    They depend only on what sidecars observe: an upstream with a gray failure reports itself
    healthy while requests hang, and its own load report may be stale.
    """
    accepting = [(upstream, load) for upstream, load in answers if load.accepting]
    flow_work = mean_flow_work([load for _, load in accepting])
    usual = usual_latency([load for _, load in accepting])
    best_good = max((load.success_rate for _, load in accepting), default=1.0)
    return [
        Standing(
            upstream,
            load,
            cost_of(upstream, load, flow_work, usual, now) / goodness(load, best_good) ** 2
            + ZONE_COST * (upstream.zone != zone),
            goodness(load, best_good) >= CALM_GOOD,
        )
        for upstream, load in accepting
    ]


def mean_flow_work(loads: list[messages.Load]) -> float:
    """Return the mean number of running requests per open flow, limited by `MOST_FLOW_WORK`."""
    running = sum(load.running for load in loads)
    flows = sum(load.flows for load in loads)
    return min(MOST_FLOW_WORK, running / flows) if flows else 0.0


def usual_latency(loads: list[messages.Load]) -> float:
    """Return the lower median of the known latencies in ms, 0 if there are none."""
    known = sorted(load.latency for load in loads if load.latency)
    return known[(len(known) - 1) // 2] if known else 0.0


def cost_of(
    upstream: fleet.Upstream, load: messages.Load, flow_work: float, usual: float, now: int
) -> float:
    """Return the load per slot with one more flow, increased for a cold or slow upstream."""
    cost = (load.running + 1 + load.flows * flow_work) / max(1, load.slots)
    if now < upstream.slow_start_until:
        cost *= COLD_WORK
    if usual and load.latency > SLOW * usual:
        cost *= load.latency / usual
    return cost


def goodness(load: messages.Load, best_good: float) -> float:
    """Return the success rate relative to the best of the upstreams compared."""
    return max(LEAST_GOOD, load.success_rate) / max(LEAST_GOOD, best_good)


def best(standings: typing.Sequence[Standing]) -> Standing | None:
    """Return the available upstream of the least cost, or None without upstreams.

    An unavailable one is returned only if all are. The first of equally loaded ones wins.
    """
    if not standings:
        return None
    least = min(standings, key=lambda s: (s.unavailable, s.cost))
    equals = [
        s
        for s in standings
        if s.unavailable == least.unavailable and s.cost <= least.cost + EQUAL_WORK
    ]
    return equals[0]


def order(
    flow: packet.Flow, upstreams: typing.Iterable[fleet.Upstream], zone: str
) -> list[fleet.Upstream]:
    """Return the upstreams in the order in which they are asked to take a new flow.

    The order is the same for every copy of an opening packet and at every balancer of the zone.
    """
    near, far = split(upstreams, zone)
    return [*first_wave(flow, near), *further(flow, near, far)]


def split(
    upstreams: typing.Iterable[fleet.Upstream], zone: str
) -> tuple[list[fleet.Upstream], list[fleet.Upstream]]:
    """Return the upstreams of the zone and those of all other zones."""
    near, far = [], []
    for upstream in upstreams:
        (near if upstream.zone == zone else far).append(upstream)
    return near, far


def first_wave(flow: packet.Flow, near: list[fleet.Upstream]) -> list[fleet.Upstream]:
    """Return the upstreams of the own zone that are asked first about a new flow."""
    return ranking.rank(flow, near)[:NEAR]


def further(
    flow: packet.Flow, near: list[fleet.Upstream], far: list[fleet.Upstream]
) -> list[fleet.Upstream]:
    """Return the upstreams after the first wave, those of other availability zones first."""
    return ranking.rank(flow, far) + ranking.rank(flow, near)[NEAR:]


def later_waves(
    flow: packet.Flow, near: list[fleet.Upstream], far: list[fleet.Upstream]
) -> list[list[fleet.Upstream]]:
    """Return the waves that follow if the upstreams of the first are busy or silent."""
    rest = further(flow, near, far)
    groups = [rest[:CANDIDATES], rest[CANDIDATES : 3 * CANDIDATES]]
    return [group for group in groups if group]
