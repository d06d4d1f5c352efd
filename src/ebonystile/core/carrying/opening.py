"""Place new flows: choose the sidecars to query, and the upstream by their answers."""

import dataclasses
import functools
import typing

from ebonystile.core import view
from ebonystile.core.carrying import (
    balancer_state,
    effects,
    fleet,
    flow_search,
    messages,
    packet,
    placing,
)

BUSY_SEARCHES = 64
"""Number of running searches from which a new flow queries its first wave only.

Answers are late under such load, and further queries would delay them more.
"""


HOLD_MS = 300
"""How long a new flow may wait for an upstream that is not overloaded, in ms from its first packet.
Its caller gives up after 1,400 ms."""

HOLD_STEP_MS = 25
"""Interval between queries for a waiting flow, in ms: about the duration of a request."""


def search_for(
    known: balancer_state.BalancerState, received: packet.Packet, service: str, now: int
) -> flow_search.Search:
    """Return a search for an upstream that accepts a new flow."""
    willing = known.fleet.accepting(service, known.route_table.routes.regions_of(received.flow))
    heard = [u for u in willing if u.address not in known.unresponsive_until]
    near, far = placing.split(heard or willing, known.zone)
    flow = received.flow
    if near:
        waves = [placing.first_wave(flow, near)]
        later = functools.partial(placing.later_waves, flow, near, far)
    else:
        waves = placing.later_waves(flow, near, far)
        later = None
    begun = flow_search.Search(flow, service, [received], waves, started_at=now, due=now)
    if len(known.searches) >= BUSY_SEARCHES:
        begun.waves = waves[:1]
    elif len(near) + len(far) > sum(map(len, waves)):
        begun.later = later
    return begun


def decide(
    known: balancer_state.BalancerState, found: flow_search.Search, now: int
) -> list[effects.Effect] | None:
    """Return the effects that place, defer or refuse a new flow, or None to wait for answers."""
    kept = found.keeper()
    if kept is not None:
        return place(known, found, kept, now)
    chosen = placing.best(placing.compare(loads_now(known, found), known.zone, now))
    if chosen is None or not found.wave_over(now):
        return None
    if found.goes_on and not chosen.calm:
        return None
    if chosen.load.unresponsive and not found.all_answered() and now < found.give_up_at:
        return None
    if chosen.overloaded and now < found.started_at + HOLD_MS:
        return hold(known, found, chosen, now)
    if chosen.load.full:
        return turn_away(known, found, chosen, now)
    return place(known, found, chosen.upstream, now, chosen)


def loads_now(
    known: balancer_state.BalancerState, found: flow_search.Search
) -> list[tuple[fleet.Upstream, messages.Load]]:
    """Return the loads reported, plus the flows placed since the sidecars were asked.

    When many flows open at once, all queries are answered before the first flow arrives. Without
    the correction most flows would go to the upstream that was least loaded at that time.
    """
    placed = known.count_placements_since(found.asked_at)
    return [
        (upstream, with_more(answer.load, placed[upstream.address]))
        for upstream, answer in found.in_order()
    ]


def with_more(load: messages.Load, flows: int) -> messages.Load:
    """Return the load with `flows` more flows, each with one running request."""
    if not flows:
        return load
    return dataclasses.replace(load, running=load.running + flows, flows=load.flows + flows)


def hold(
    known: balancer_state.BalancerState,
    found: flow_search.Search,
    chosen: placing.Standing,
    now: int,
) -> list[effects.Effect]:
    """Defer a new flow while all upstreams are overloaded, and query the sidecars again.

    After an outage, requests on open flows fill every upstream's queue for about half a second. A
    caller that is refused retries at once and would use up its retries in that time.
    """
    again = search_for(known, found.packets[-1], found.service, now)
    again.started_at = found.started_at
    again.packets = found.packets
    again.excluded = found.excluded
    known.searches[found.flow] = again
    known.schedule(again, now + HOLD_STEP_MS)
    again.held = True
    if found.held:
        return []
    return [effects.trace("held", flow=packet.flow_text(found.flow), **inputs_of(chosen))]


def turn_away(
    known: balancer_state.BalancerState,
    found: flow_search.Search,
    chosen: placing.Standing,
    now: int,
) -> list[effects.Effect]:
    """Reset a new flow because all upstreams are in slow start and at their limits of new flows."""
    known.end_search(found)
    return [
        found.trace_end(now, reset=True, reason="cold", **inputs_of(chosen)),
        effects.Reset(found.flow, found.packets[-1].acknowledged),
    ]


def place(
    known: balancer_state.BalancerState,
    found: flow_search.Search,
    upstream: fleet.Upstream,
    now: int,
    chosen: placing.Standing | None = None,
) -> list[effects.Effect]:
    """Send the flow's opening packet to the upstream; `chosen` is None if it holds the flow."""
    known.end_search(found)
    known.remember_home(found.flow, upstream, now)
    if chosen is not None:
        known.record_placement(upstream, now)
    key = view.key_of(found.service)
    version = known.route_table.routes.version
    opening = messages.Open(key, version, found.packets[-1].raw)
    return [
        effects.trace(
            "opened",
            flow=packet.flow_text(found.flow),
            service=found.service,
            upstream=upstream.name,
            **inputs_of(chosen),
            asked=len(found.asked),
            answered=len(found.answers),
            copy=found.packets[-1].copy_number,
            version=version,
            searched_ms=now - found.started_at,
        ),
        effects.Send(upstream.address, opening),
    ]


def inputs_of(chosen: placing.Standing | None) -> dict[str, typing.Any]:
    """Return the fields for the log that explain the choice of an upstream."""
    if chosen is None:
        return {"cost": "holds_it"}
    load = chosen.load
    return {
        "cost": round(chosen.cost, 2),
        "running": load.running,
        "flows": load.flows,
        "latency_ms": load.latency,
        "good": round(load.success_rate, 2),
    }
