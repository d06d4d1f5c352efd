"""Place new flows: choose the sidecars to query, and the upstream by their answers."""

import dataclasses
import functools
import typing

from ebonystile.core import view
from ebonystile.core.carrying import (
    admission,
    balancer_state,
    effects,
    ending,
    fleet,
    flow_search,
    messages,
    packet,
    placing,
)

MAX_FULL_SEARCHES = 64
"""Number of running searches from which a new flow queries its first round only.

Answers are late under such load, and further queries would delay them more.
"""


MAX_DEFER_MS = 300
"""How long a new flow may wait for an upstream that is not overloaded, in ms from its first packet.
Its caller gives up after 1,400 ms."""

DEFER_STEP_MS = 25
"""Interval between queries for a waiting flow, in ms: about the duration of a request."""


def make_placement_search(
    state: balancer_state.BalancerState, received: packet.Packet, service: str, now: int
) -> flow_search.Search:
    """Return a search for an upstream that accepts a new flow."""
    accepting = state.fleet.accepting(service, state.route_table.routes.regions_of(received.flow))
    responsive = [u for u in accepting if u.address not in state.unresponsive_until]
    local, remote = placing.split_by_zone(responsive or accepting, state.zone)
    flow = received.flow
    if local:
        rounds = [placing.first_round(flow, local)]
        make_later_rounds = functools.partial(placing.later_rounds, flow, local, remote)
        if remote and state.zone_demand.is_often_too_busy(service):
            others, *later = make_later_rounds()
            rounds[0].extend(others)
            make_later_rounds = functools.partial(list, later)
    else:
        rounds = placing.later_rounds(flow, local, remote)
    search = flow_search.Search(flow, service, [received], rounds, started_at=now, due=now)
    search.opened_at = admission.opened_at(received.copy_number, now)
    search.route = state.route_table.routes.find(received.flow)
    search.version = state.route_table.routes.version
    if len(state.searches) >= MAX_FULL_SEARCHES:
        search.rounds = rounds[:1]
    elif local:
        upstream_count = len(local) + len(remote) - sum(map(len, rounds))
        search.plan_later_rounds(upstream_count, make_later_rounds)
    return search


def decide_placement(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> list[effects.Effect] | None:
    """Return the effects that place, defer or refuse a new flow, or None to wait for answers."""
    holder = search.holder()
    if holder is not None:
        return place_flow(state, search, holder, now)
    chosen = find_candidate(state, search, now)
    if chosen is None:
        return None
    if chosen.is_overloaded and now < search.started_at + MAX_DEFER_MS:
        return defer_placement(state, search, chosen, now)
    if chosen.load.full:
        return reject_flow(state, search, chosen, now)
    return place_flow(state, search, chosen.upstream, now, chosen)


def find_candidate(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> placing.Candidate | None:
    """Return the best upstream by the answers so far, or None to wait for more of them."""
    candidates = rate_candidates(state, search, now)
    chosen = placing.pick_best(candidates)
    if chosen is None or not search.is_round_over(now):
        return None
    if search.has_next_round and not chosen.is_uncongested:
        return None
    record_demand(state, search, candidates)
    if chosen.load.unresponsive and not search.has_all_answers() and now < search.deadline:
        return None
    return chosen


def rate_candidates(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> list[placing.Candidate]:
    """Return the ratings of the upstreams whose sidecars have answered."""
    requests = state.route_table.routes.traits_of(search.flow)
    return placing.compare_candidates(estimate_loads(state, search), state.zone, now, requests)


def record_demand(
    state: balancer_state.BalancerState,
    search: flow_search.Search,
    candidates: list[placing.Candidate],
) -> None:
    """Record whether the own zone was too busy, if the flow's route states an objective."""
    if state.route_table.routes.traits_of(search.flow).objective_ms:
        too_busy = placing.is_zone_too_busy(candidates, state.zone)
        state.zone_demand.record(search.service, too_busy)


def estimate_loads(
    state: balancer_state.BalancerState, search: flow_search.Search
) -> list[tuple[fleet.Upstream, messages.Load]]:
    """Return the loads reported, plus the flows placed since the sidecars were asked.

    When many flows open at once, all queries are answered before the first flow arrives. Without
    the correction most flows would go to the upstream that was least loaded at that time.
    """
    placed = state.count_placements_since(search.asked_at)
    return [
        (upstream, add_flows(answer.load, placed[upstream.address]))
        for upstream, answer in search.ordered_answers()
    ]


def add_flows(load: messages.Load, flows: int) -> messages.Load:
    """Return the load with `flows` more flows, each with one running request."""
    if not flows:
        return load
    return dataclasses.replace(load, running=load.running + flows, flows=load.flows + flows)


def defer_placement(
    state: balancer_state.BalancerState,
    search: flow_search.Search,
    chosen: placing.Candidate,
    now: int,
) -> list[effects.Effect]:
    """Defer a new flow while all upstreams are overloaded, and query the sidecars again.

    After an outage, requests on open flows fill every upstream's queue for about half a second. A
    caller that is refused retries at once and would use up its retries in that time.
    """
    again = renew_search(state, search, now)
    state.schedule(again, now + DEFER_STEP_MS)
    if search.is_deferred:
        return []
    return [effects.trace("held", flow=packet.flow_text(search.flow), **placement_inputs(chosen))]


def renew_search(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> flow_search.Search:
    """Replace the search of a flow that waits by one that queries the sidecars again."""
    again = make_placement_search(state, search.packets[-1], search.service, now)
    again.continue_from(search)
    again.excluded = search.excluded
    again.is_deferred = True
    state.searches[search.flow] = again
    return again


def reject_flow(
    state: balancer_state.BalancerState,
    search: flow_search.Search,
    chosen: placing.Candidate,
    now: int,
) -> list[effects.Effect]:
    """End a search because the upstreams' slow starts admit no more new flows now.

    The flow is reset unless another balancer may have opened it.
    """
    state.end_search(search)
    reset = ending.request_in(state, search).is_unopened(now)
    traced = search.trace_end(now, reset=reset, reason="cold", **placement_inputs(chosen))
    return [traced, ending.reset_of(search.packets[-1])] if reset else [traced]


def place_flow(
    state: balancer_state.BalancerState,
    search: flow_search.Search,
    upstream: fleet.Upstream,
    now: int,
    chosen: placing.Candidate | None = None,
) -> list[effects.Effect]:
    """Send the flow's opening packet to the upstream; `chosen` is None if it holds the flow."""
    state.end_search(search)
    former = state.homes.get(search.flow)
    home = state.remember_home(search.flow, upstream, now)
    home.opened_at = search.opened_at
    home.openings = 1 + (former.openings if former is not None else 0)
    if chosen is not None:
        state.record_placement(upstream, now)
    if state.find_link_room is not None:
        state.flow_sizes.begin(search.packets[-1], now)
    key = view.key_of(search.service)
    version = state.route_table.routes.version
    opening = messages.Open(key, version, search.packets[-1].raw)
    return [
        effects.trace(
            "opened",
            flow=packet.flow_text(search.flow),
            service=search.service,
            upstream=upstream.name,
            **placement_inputs(chosen),
            asked=len(search.asked),
            answered=len(search.answers),
            copy=search.packets[-1].copy_number,
            version=version,
            routed_by=search.version,
            searched_ms=now - search.started_at,
        ),
        effects.Send(upstream.address, opening),
    ]


def placement_inputs(chosen: placing.Candidate | None) -> dict[str, typing.Any]:
    """Return the fields for the log that explain the choice of an upstream."""
    if chosen is None:
        return {"cost": "holds_it"}
    load = chosen.load
    return {
        "cost": round(chosen.cost, 2),
        "wait_ms": round(chosen.wait_ms),
        "finish_ms": round(chosen.finish_ms),
        "running": load.running,
        "flows": load.flows,
        "latency_ms": load.latency,
        "good": round(load.success_rate, 2),
    }
