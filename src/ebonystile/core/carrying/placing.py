"""Choose the upstream of a new flow from what sidecars have just observed.

A balancer opens a flow at a given upstream once in minutes, so it asks a few sidecars at the
moment of the choice in place of keeping a table of loads: the answers are a round trip old.
"""

import dataclasses
import typing

from ebonystile.core.carrying import fleet, messages, packet
from ebonystile.core.placing import ranking

NEAR = 8
"""Upstreams of the own availability zone asked at once; what is asked within a zone is free."""

CANDIDATES = 3
"""Upstreams of other zones asked at a time: with three, the least busy is nearly that of all
(Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 2001)."""

ZONE_COST = 1.0
"""Cost that another availability zone adds, in requests for each slot: to wait for one request is
short against what callers grant, and bytes between zones are paid for."""

MOST_FLOW_WORK = 0.05
"""Most requests that an open flow counts as running on average."""

COLD_WORK = 1.6
"""How many times longer an upstream takes for a request in its first seconds."""

EQUAL_WORK = 0.05
"""Difference of work for each slot below which upstreams are taken for equally busy.

Many callers come at once after an outage. All questions about them are answered before the first
flow has arrived, and the slightest difference would send all flows to one upstream; equals are
told apart by rank, which differs from flow to flow.
"""

SLOW = 2.0
"""How many times longer than others an upstream must take for a request to count as slow: more than
the mean of a few requests differs by chance."""

LEAST_GOOD = 0.1
"""Least share of good results that is divided by, so that the cost stays finite."""

CALM_GOOD = 0.9
"""Share of good results from which an upstream needs no comparison with others."""


OVERLOADED = 4
"""Requests for each slot, running or waiting there, from which a new flow is better held back: an
upstream's queue is short, and it refuses what does not fit."""


@dataclasses.dataclass(slots=True)
class Standing:
    """How an upstream compares with others if it got the new flow.

    `cost` is its work for each slot with the new flow, raised where it is cold, slow or failing;
    `sound` says that it does not fail more than the others.
    """

    upstream: fleet.Upstream
    load: messages.Load
    cost: float
    sound: bool

    @property
    def unavailable(self) -> tuple[bool, bool]:
        """Return whether it is silent, and whether it may get no more flows just now."""
        return (self.load.unresponsive, self.load.full)

    @property
    def calm(self) -> bool:
        """Tell whether at most one request waits there and nothing speaks against it."""
        load = self.load
        return not any(self.unavailable) and load.running <= load.slots and self.sound

    @property
    def overloaded(self) -> bool:
        """Tell whether so many requests wait there that a new one had better wait here.

        Flows that were just opened alone don't make a crowd: not all bring a request at once.
        """
        load = self.load
        if load.full:
            return True
        return load.saturated and load.running >= OVERLOADED * max(1, load.slots)


def compare(
    answers: typing.Iterable[tuple[fleet.Upstream, messages.Load]], zone: str, now: int
) -> list[Standing]:
    """Return how the upstreams compare, in their order.

    Only what the sidecars observe counts: a grey upstream says that it is well while it lets
    requests hang, and what it says of its own load may be frozen.
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
    """Return how many requests an open flow has running on average, as these loads show it."""
    running = sum(load.running for load in loads)
    flows = sum(load.flows for load in loads)
    return min(MOST_FLOW_WORK, running / flows) if flows else 0.0


def usual_latency(loads: list[messages.Load]) -> float:
    """Return the lower median of the times that requests take, 0 if nobody knows."""
    known = sorted(load.latency for load in loads if load.latency)
    return known[(len(known) - 1) // 2] if known else 0.0


def cost_of(
    upstream: fleet.Upstream, load: messages.Load, flow_work: float, usual: float, now: int
) -> float:
    """Return what one more flow at the upstream would cost."""
    cost = (load.running + 1 + load.flows * flow_work) / max(1, load.slots)
    if now < upstream.warm_at:
        cost *= COLD_WORK
    if usual and load.latency > SLOW * usual:
        cost *= load.latency / usual
    return cost


def goodness(load: messages.Load, best_good: float) -> float:
    """Return the share of good results as compared with the best that others have."""
    return max(LEAST_GOOD, load.success_rate) / max(LEAST_GOOD, best_good)


def best(standings: typing.Sequence[Standing]) -> Standing | None:
    """Return the least costly upstream, one that answers and has room if any does.

    Of equals it is the first.
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

    Every copy of an opening packet gives the same order through any balancer of the zone.
    """
    near, far = split(upstreams, zone)
    return [*first_wave(flow, near), *further(flow, near, far)]


def split(
    upstreams: typing.Iterable[fleet.Upstream], zone: str
) -> tuple[list[fleet.Upstream], list[fleet.Upstream]]:
    """Return the upstreams of the zone and those of all others."""
    near, far = [], []
    for upstream in upstreams:
        (near if upstream.zone == zone else far).append(upstream)
    return near, far


def first_wave(flow: packet.Flow, near: list[fleet.Upstream]) -> list[fleet.Upstream]:
    """Return whom of the own zone to ask first about a new flow."""
    return ranking.rank(flow, near)[:NEAR]


def further(
    flow: packet.Flow, near: list[fleet.Upstream], far: list[fleet.Upstream]
) -> list[fleet.Upstream]:
    """Return the upstreams after the first wave, other availability zones' before the own."""
    return ranking.rank(flow, far) + ranking.rank(flow, near)[NEAR:]


def later_waves(
    flow: packet.Flow, near: list[fleet.Upstream], far: list[fleet.Upstream]
) -> list[list[fleet.Upstream]]:
    """Return whom to ask if the first are busy or silent, and last."""
    rest = further(flow, near, far)
    groups = [rest[:CANDIDATES], rest[CANDIDATES : 3 * CANDIDATES]]
    return [group for group in groups if group]
