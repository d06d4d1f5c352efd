"""Decide whether a balancer may reset a flow, by what is known of its route and of all upstreams.

A reset says that no upstream holds the flow. What it rests on must cover the flow:

- A new flow that this balancer refuses must be one that no other balancer can have opened. That is
  shown by its opening packets alone.
- A route may be missing because a newer configuration has added it. A flow whose home is known here
  was opened while the route was in force, so the route has been removed. The sidecar that holds the
  flow tells the newest version that it has been shown; if that is not newer than this balancer's,
  the same follows. Otherwise the packet waits until the view is known to match the store at a time
  after the packet's arrival.
- A flow that was not found has ended only if all that may hold it were asked (`finding`).
"""

from ebonystile.core.carrying import (
    admission,
    balancer_state,
    effects,
    fleet,
    flow_search,
    packet,
)

MAX_UNROUTED = 1_000
"""Limit of flows that wait for a configuration with their route; a further one evicts the
oldest."""

UNROUTED_TIMEOUT_MS = 3_000
"""How long a flow waits for a configuration with its route, in ms, while the store does not confirm
the view. The caller's next copy waits again."""


def request_of(
    state: balancer_state.BalancerState,
    received: packet.Packet,
    home: balancer_state.Home | None,
    now: int,
) -> admission.Request:
    """Return a new flow as a single opening packet of it shows it."""
    return admission.Request(
        state.route_table.routes.traits_of(received.flow),
        admission.opened_at(received.copy_number, now),
        frozenset([received.copy_number]),
        home is not None or not state.is_timely(now),
    )


def request_in(
    state: balancer_state.BalancerState, search: flow_search.Search
) -> admission.Request:
    """Return a new flow as the opening packets of its search show it."""
    return admission.Request(
        state.route_table.routes.traits_of(search.flow),
        search.opened_at,
        frozenset(received.copy_number for received in search.packets),
        search.was_forwarded,
    )


def can_judge_routes(state: balancer_state.BalancerState) -> bool:
    """Return whether a configuration is known, by a view that counts as current."""
    return state.is_view_current and state.route_table.routes.version > 0


def refuse_without_route(
    state: balancer_state.BalancerState,
    received: packet.Packet,
    home: balancer_state.Home | None,
    request: admission.Request,
    now: int,
) -> list[effects.Effect]:
    """Reset a flow whose route was removed, or a new flow without a route; else drop the packet."""
    if received.aborts or not can_judge_routes(state):
        return []
    if home is None and not request.is_unopened(now):
        return [trace_dropped(received, "no_route")]
    state.homes.pop(received.flow, None)
    reason = "no_route" if home is None else "route_removed"
    return [trace_reset(state, received.flow, reason, now), reset_of(received)]


def decide_unrouted(
    state: balancer_state.BalancerState,
    search: flow_search.Search,
    holder: fleet.Upstream,
    now: int,
) -> list[effects.Effect]:
    """Reset a flow that is held by an upstream, if its route was removed; else let it wait."""
    state.end_search(search)
    _, answer = search.answers[holder.address]
    if not 0 < answer.version <= state.route_table.routes.version:
        return await_route(state, search, now)
    if not can_judge_routes(state) or search.packets[-1].aborts:
        return [search.trace_end(now, reset=False, reason="no_route")]
    reset = trace_reset(state, search.flow, "route_removed", now)
    return [reset, reset_of(search.packets[-1])]


def await_route(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> list[effects.Effect]:
    """Keep the last packet of a search that has ended until the view is confirmed as newer."""
    if len(state.unrouted) >= MAX_UNROUTED:
        del state.unrouted[next(iter(state.unrouted))]
    state.unrouted[search.flow] = balancer_state.Unrouted(search.packets[-1], search.started_at)
    return [
        effects.trace(
            "route_awaited",
            flow=packet.flow_text(search.flow),
            version=state.route_table.routes.version,
            confirmed_ms_ago=view_age_ms(state, now),
        )
    ]


def take_routed(state: balancer_state.BalancerState) -> list[packet.Packet]:
    """Remove the flows that have a route by now, and return their packets."""
    find = state.route_table.routes.find
    routed = [flow for flow in state.unrouted if find(flow) is not None]
    return [state.unrouted.pop(flow).received for flow in routed]


def reset_unrouted(state: balancer_state.BalancerState, now: int) -> list[effects.Effect]:
    """Reset the flows that are known to have no route at a time after their packets' arrival.

    Those that have one by now were taken before.
    """
    todo: list[effects.Effect] = []
    if not can_judge_routes(state) or state.view_confirmed_at is None:
        return todo
    known = [f for f, kept in state.unrouted.items() if kept.since <= state.view_confirmed_at]
    for flow in known:
        received = state.unrouted.pop(flow).received
        if not received.aborts:
            todo += [trace_reset(state, flow, "route_removed", now), reset_of(received)]
    return todo


def expire_unrouted(state: balancer_state.BalancerState, now: int) -> list[effects.Effect]:
    """Drop the packets that have waited too long for a configuration with their route."""
    oldest = now - UNROUTED_TIMEOUT_MS
    over = [flow for flow, kept in state.unrouted.items() if kept.since <= oldest]
    for flow in over:
        del state.unrouted[flow]
    return [effects.trace("route_unknown", flow=packet.flow_text(flow)) for flow in over]


def reset_of(received: packet.Packet) -> effects.Reset:
    """Return the reset that answers a packet of a caller."""
    return effects.Reset(received.flow, received.acknowledged)


def trace_dropped(received: packet.Packet, reason: str) -> effects.Effect:
    """Return the log event of a new flow that is refused without a reset: it may be open."""
    flow, copy = packet.flow_text(received.flow), received.copy_number
    return effects.trace("opening_dropped", flow=flow, copy=copy, reason=reason)


def trace_reset(
    state: balancer_state.BalancerState, flow: packet.Flow, reason: str, now: int
) -> effects.Effect:
    """Return the log event of a reset without a search that failed."""
    return effects.trace(
        "flow_reset",
        flow=packet.flow_text(flow),
        reason=reason,
        version=state.route_table.routes.version,
        confirmed_ms_ago=view_age_ms(state, now),
    )


def view_age_ms(state: balancer_state.BalancerState, now: int) -> int | None:
    """Return how long ago the view was last known to match the store, None if never."""
    return None if state.view_confirmed_at is None else now - state.view_confirmed_at
