"""Choose the upstream of a new flow by the loads that sidecars report.

A balancer places a flow on a given upstream once in minutes, so it queries a few sidecars for each
new flow instead of keeping a table of loads. The reports are one round trip old.
"""

import dataclasses
import typing

from ebonystile.core.carrying import fleet, messages, packet, predicting, routes, zones
from ebonystile.core.placing import ranking

FIRST_ROUND_IN_ZONE = 8
"""Upstreams of the own availability zone in the first round; traffic within a zone is free."""

SECOND_ROUND_SIZE = 3
"""Upstreams in the second round. The least loaded of three is nearly the least loaded of all
(Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 2001)."""

ZONE_COST = 1.0
"""Cost added to upstreams of other availability zones, in requests per slot. Waiting for one
request is short against callers' timeouts, and traffic between zones is charged."""

MAX_LOAD_PER_FLOW = 0.05
"""Upper bound of the mean number of running requests per open flow."""

SLOW_START_COST_FACTOR = 1.6
"""Factor on the cost of an upstream in slow start: how much longer its requests take then."""

COST_TOLERANCE = 0.05
"""Difference of cost up to which upstreams count as equally loaded; rank decides among them.

When many flows open at once after an outage, all queries are answered before the first flow
arrives, and the smallest difference would send every flow to the same upstream. Rank differs from
flow to flow.
"""

SLOW_LATENCY_RATIO = 2.0
"""Ratio of an upstream's latency to the median above which it counts as slow: more than the mean of
a few requests varies by chance."""

MIN_SUCCESS_RATE = 0.1
"""Lower bound of the success rate, which keeps the cost finite."""

HEALTHY_SUCCESS_RATE = 0.9
"""Relative success rate from which an upstream counts as healthy."""


OVERLOADED_REQUESTS_PER_SLOT = 4
"""Running and queued requests per slot from which an upstream counts as overloaded: its queue is
short, and it refuses requests beyond it."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """The rating of an upstream for a new flow.

    `cost` is its load per slot including the new flow, increased if it is in slow start, slow or
    failing; `healthy` is set unless it fails more often than the others. Where the route states an
    objective, `wait_ms` is the predicted wait for a slot, and `finish_ms` the predicted finish,
    increased in the same way and for another availability zone; differences up to `noise_ms` are
    ignored. `has_short_queue` is set if there is no need to look for a better upstream.
    """

    upstream: fleet.Upstream
    load: messages.Load
    cost: float
    healthy: bool
    wait_ms: float = 0.0
    finish_ms: float = 0.0
    noise_ms: float = 0.0
    has_short_queue: bool = True

    @property
    def unavailability(self) -> tuple[bool, bool]:
        """Return whether it is unresponsive, and whether its slow start admits no new flow."""
        return (self.load.unresponsive, self.load.full)

    @property
    def is_uncongested(self) -> bool:
        """Return whether the upstream is available, healthy and has a short queue or none."""
        return not any(self.unavailability) and self.has_short_queue and self.healthy

    @property
    def is_overloaded(self) -> bool:
        """Return whether a new flow should wait at the balancer rather than go to this upstream.

        It is overloaded if its slow start admits no new flow, or if a request runs on every slot
        and its queue is long. Flows that have just opened count towards the queue only.
        """
        load = self.load
        if load.full:
            return True
        return load.saturated and load.running >= OVERLOADED_REQUESTS_PER_SLOT * max(1, load.slots)


def compare_candidates(
    answers: typing.Iterable[tuple[fleet.Upstream, messages.Load]],
    zone: str,
    now: int,
    requests: routes.RequestTraits = routes.NO_TRAITS,
) -> list[Candidate]:
    """Return the ratings of the upstreams that accept flows, in the order given.

    They depend only on what sidecars observe: an upstream with a gray failure reports itself
    healthy while requests hang, and its own load report may be stale.
    """
    accepting = [(upstream, load) for upstream, load in answers if load.accepting]
    loads = [load for _, load in accepting]
    load_per_flow = mean_load_per_flow(loads)
    median_ms = 0.0 if requests.objective_ms else predicting.median_latency(loads)
    best_success_rate = max((load.success_rate for load in loads), default=1.0)
    candidates = [
        Candidate(
            upstream,
            load,
            placement_cost(upstream, load, load_per_flow, median_ms, now)
            / relative_success_rate(load, best_success_rate) ** 2
            + ZONE_COST * (upstream.zone != zone),
            relative_success_rate(load, best_success_rate) >= HEALTHY_SUCCESS_RATE,
            has_short_queue=load.running <= load.slots,
        )
        for upstream, load in accepting
    ]
    if requests.objective_ms:
        predict_finishes(candidates, zone, now, requests, load_per_flow, best_success_rate)
    return candidates


def predict_finishes(
    candidates: list[Candidate],
    zone: str,
    now: int,
    requests: routes.RequestTraits,
    load_per_flow: float,
    best_success_rate: float,
) -> None:
    """Set the predicted waits and finishes of the candidates for requests with an objective.

    `load_per_flow` and `best_success_rate` are those of all candidates.
    """
    typical_ms = predicting.typical_service_ms((s.load for s in candidates), requests)
    for s in candidates:
        s.noise_ms = max(predicting.MIN_NOISE_MS, predicting.NOISE_SHARE * typical_ms)
        s.wait_ms = predicting.predicted_wait_ms(s.load, typical_ms)
        expected_requests = s.load.flows * load_per_flow
        s.finish_ms = predicting.predicted_finish_ms(s.load, typical_ms, expected_requests)
        if now < s.upstream.slow_start_until:
            s.finish_ms *= SLOW_START_COST_FACTOR
        s.finish_ms /= relative_success_rate(s.load, best_success_rate) ** 2
    own = [s.finish_ms for s in candidates if s.upstream.zone == zone and not any(s.unavailability)]
    crossing_ms = zones.crossing_cost_ms(requests, min(own, default=None))
    for s in candidates:
        s.has_short_queue = s.wait_ms <= crossing_ms and s.finish_ms <= requests.objective_ms
        s.finish_ms += crossing_ms * (s.upstream.zone != zone)


def is_zone_too_busy(candidates: typing.Iterable[Candidate], zone: str) -> bool:
    """Return whether no candidate of the zone is available and healthy with a short queue."""
    return not any(s.is_uncongested for s in candidates if s.upstream.zone == zone)


def mean_load_per_flow(loads: list[messages.Load]) -> float:
    """Return the mean number of running requests per open flow, limited by `MAX_LOAD_PER_FLOW`."""
    running = sum(load.running for load in loads)
    flows = sum(load.flows for load in loads)
    return min(MAX_LOAD_PER_FLOW, running / flows) if flows else 0.0


def placement_cost(
    upstream: fleet.Upstream, load: messages.Load, load_per_flow: float, median_ms: float, now: int
) -> float:
    """Return the load per slot with one more flow, increased if it is slow or in slow start."""
    cost = (load.running + 1 + load.flows * load_per_flow) / max(1, load.slots)
    if now < upstream.slow_start_until:
        cost *= SLOW_START_COST_FACTOR
    if median_ms and load.latency > SLOW_LATENCY_RATIO * median_ms:
        cost *= load.latency / median_ms
    return cost


def relative_success_rate(load: messages.Load, best_success_rate: float) -> float:
    """Return the success rate relative to the best of the upstreams compared."""
    return max(MIN_SUCCESS_RATE, load.success_rate) / max(MIN_SUCCESS_RATE, best_success_rate)


def pick_best(candidates: typing.Sequence[Candidate]) -> Candidate | None:
    """Return the available upstream of the earliest predicted finish, or None without upstreams.

    The cost decides among those whose finish is nearly the same, and where none is predicted. An
    unavailable upstream is returned only if all are. The first of equally loaded ones wins.
    """
    if not candidates:
        return None
    fastest = min(candidates, key=lambda s: (s.unavailability, s.finish_ms))
    in_time = [
        s
        for s in candidates
        if s.unavailability == fastest.unavailability
        and s.finish_ms <= fastest.finish_ms + fastest.noise_ms
    ]
    cheapest = min(in_time, key=lambda s: s.cost)
    equals = [s for s in in_time if s.cost <= cheapest.cost + COST_TOLERANCE]
    return equals[0]


def rank_upstreams(
    flow: packet.Flow, upstreams: typing.Iterable[fleet.Upstream], zone: str
) -> list[fleet.Upstream]:
    """Return the upstreams in the order in which they are asked to take a new flow.

    The order is the same for every copy of an opening packet and at every balancer of the zone.
    """
    local, remote = split_by_zone(upstreams, zone)
    return [*first_round(flow, local), *remaining_upstreams(flow, local, remote)]


def split_by_zone(
    upstreams: typing.Iterable[fleet.Upstream], zone: str
) -> tuple[list[fleet.Upstream], list[fleet.Upstream]]:
    """Return the upstreams of the zone and those of all other zones."""
    local, remote = [], []
    for upstream in upstreams:
        (local if upstream.zone == zone else remote).append(upstream)
    return local, remote


def first_round(flow: packet.Flow, local: list[fleet.Upstream]) -> list[fleet.Upstream]:
    """Return the upstreams of the same zone that are asked first about a new flow."""
    return ranking.rank(flow, local)[:FIRST_ROUND_IN_ZONE]


def remaining_upstreams(
    flow: packet.Flow, local: list[fleet.Upstream], remote: list[fleet.Upstream]
) -> list[fleet.Upstream]:
    """Return the upstreams after the first round, those of other availability zones first."""
    return ranking.rank(flow, remote) + ranking.rank(flow, local)[FIRST_ROUND_IN_ZONE:]


def later_rounds(
    flow: packet.Flow, local: list[fleet.Upstream], remote: list[fleet.Upstream]
) -> list[list[fleet.Upstream]]:
    """Return the rounds that follow if the upstreams of the first are busy or unresponsive."""
    rest = remaining_upstreams(flow, local, remote)
    groups = [rest[:SECOND_ROUND_SIZE], rest[SECOND_ROUND_SIZE : 3 * SECOND_ROUND_SIZE]]
    return [group for group in groups if group]
