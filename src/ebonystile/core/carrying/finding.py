"""Find the upstream that holds an open flow unknown to this balancer.

After an outage all open flows are searched for at the same time. Queries beyond the first round are
therefore batched over many flows and rate limited.
"""

import enum
import functools

from ebonystile.core.carrying import (
    asking,
    balancer_state,
    effects,
    ending,
    fleet,
    flow_search,
    messages,
    packet,
    placing,
    probing,
)

MAX_QUEUED_MS, MAX_QUEUED_PACKETS = 400, 1_000
"""Time limit and length of the queue of open flows that wait for a search to begin; callers
retransmit 200, 600 and 1,400 ms after the first copy."""

VERIFIED_MS = 1_000
"""How long an answer confirms the home of a flow whose upstream has no entry, in ms. An upstream
cut off from the store loses its entry and still serves its flows."""

RETRY_SEARCH_MS = 60
"""Time between two consecutive searches for a flow, in ms.

The flow may be held by an upstream that started a moment ago and is not in this balancer's view.
The flow is not reset while a sidecar answers with a newer revision of the store than this
balancer's.
"""

GONE_TIMEOUT_MS = 200
"""Time without an answer after which a sidecar without an entry is not asked, in ms. It allows for
two queries: a sidecar that only stalled answers the second."""

MAX_ATTEMPTS = 4
"""Limit of consecutive searches for a flow while every sidecar with an entry answers. By the last
of them this balancer has caught up with the store and skips unresponsive sidecars without an entry.
Waiting for the caller's next copy instead takes up to 1.6 s more."""


class RetryReason(enum.StrEnum):
    """Why an open flow is searched for again.

    VIEW_CONFIRMED: it was not found before the view was confirmed. UNCERTAIN: it was not found, and
    may still be open.
    """

    VIEW_CONFIRMED = "view_confirmed"
    UNCERTAIN = "uncertain"


def make_location_search(
    state: balancer_state.BalancerState, received: packet.Packet, now: int
) -> flow_search.Search:
    """Return a search for an open flow, in the services of its route first, then in all others."""
    flow = received.flow
    services = state.route_table.services_of(flow)
    likely = [
        u
        for name in services
        for u in placing.rank_upstreams(flow, state.fleet.upstreams_of(name), state.zone)
    ]
    search = flow_search.Search(flow, "", [received], [], started_at=now, due=now)
    first = (
        likely[: flow_search.FIRST_ROUND_SIZE]
        if state.open_flow_searches < asking.MAX_SINGLE_SEARCHES
        else []
    )
    if first:
        search.rounds = [first]
    others = [u for u in state.fleet.by_address.values() if u.service not in services]
    others += unlisted_upstreams(state, now)
    rest = likely[len(first) :]
    search.plan_later_rounds(
        len(rest) + len(others), functools.partial(flow_search.split_into_rounds, rest, others)
    )
    return search


def unlisted_upstreams(state: balancer_state.BalancerState, now: int) -> list[fleet.Upstream]:
    """Return the upstreams without an entry whose sidecars may answer.

    An upstream cut off from the store still serves its flows, which must not be reset. Most of the
    others have ended; those that have not answered for `GONE_TIMEOUT_MS` are skipped, so that
    callers of lost flows don't wait for them.
    """
    since = state.unresponsive_since
    unlisted = state.fleet.unlisted()
    return [u for u in unlisted if now - since.get(u.address, now) < GONE_TIMEOUT_MS]


def queue_packet(state: balancer_state.BalancerState, received: packet.Packet, now: int) -> None:
    """Queue a packet of an open flow until a search for it may begin."""
    if len(state.queued) < MAX_QUEUED_PACKETS:
        state.queued.setdefault(received.flow, (received, now + MAX_QUEUED_MS))


def decide_location(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> list[effects.Effect] | None:
    """Return the effects by which the answers end or advance the search, or None to wait."""
    holder = search.holder()
    has_route = state.route_table.routes.find(search.flow) is not None
    if holder is not None and not has_route:
        return ending.decide_unrouted(state, search, holder, now)
    if holder is not None:
        state.end_search(search)
        listed = state.fleet.by_address.get(holder.address, holder)
        home = state.remember_home(search.flow, listed, now)
        home.verified_until = now + VERIFIED_MS
        return [
            effects.trace(
                "found",
                flow=packet.flow_text(search.flow),
                upstream=holder.name,
                asked=len(search.asked),
                searched_ms=now - search.started_at,
            ),
            *[effects.Send(holder.address, messages.Carry(p.raw)) for p in search.packets],
        ]
    if not search.is_round_over(now):
        return None
    unknown = search.uncertain_upstreams()
    if not unknown or (search.has_next_round and 2 * len(unknown) < len(search.answers)):
        return None
    if (
        not search.has_next_round
        and state.unanswered_listed(search)
        and now < state.answer_deadline(search)
    ):
        return None
    if not has_route:
        # It is not known in which regions a probe may show the caller's data.
        state.end_search(search)
        return ending.await_route(state, search, now)
    return probing.probe_upstreams(state, search, unknown, now)


def is_confirmed_gone(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> bool:
    """Return whether a flow that was not found has certainly ended.

    It has if there is no entry at the address of its former home. An entry of another start there
    does not show it: the flow may have been placed after that start, by the former entry.

    Otherwise it may still be open if the search began before the present view: a balancer that
    starts asks the few sidecars that it knows by then, and its view may be confirmed before they
    have answered. It may also be open while a sidecar has read a newer revision of the store than
    this balancer, whose view may then lack the home. Else one search is enough if every query and
    probe was answered; if not, a second search, at least `RETRY_SEARCH_MS` later, must also fail:
    an upstream that holds the flow and left the first probe unanswered acknowledges the second. No
    upstream answers a probe that carries a bare acknowledgement.
    """
    home = search.previous_home
    if home is not None and home.upstream.address not in state.fleet.by_address:
        return True
    if search.started_at <= state.view_current_since or search.has_silent_probes():
        return False
    if search.revision > state.revision:
        return False
    if search.is_settled():
        return True
    first = state.not_found_since.setdefault(search.flow, now)
    return now - first >= RETRY_SEARCH_MS


def retry_search(
    state: balancer_state.BalancerState,
    packets: list[packet.Packet],
    now: int,
    due: int,
    reason: RetryReason,
    attempt: int = 2,
) -> list[effects.Effect]:
    """Schedule a search of all sidecars at the time `due` in ms; `attempt` is its number."""
    again = make_location_search(state, packets[0], now)
    again.packets = packets
    again.rounds = []
    all_upstreams = [*state.fleet.by_address.values(), *unlisted_upstreams(state, now)]
    again.plan_later_rounds(
        len(all_upstreams), functools.partial(flow_search.split_into_rounds, all_upstreams, ())
    )
    again.attempt = attempt
    state.searches[again.flow] = again
    state.open_flow_searches += 1
    state.schedule(again, due)
    return [
        effects.trace(
            "search_repeated",
            flow=packet.flow_text(again.flow),
            reason=reason.value,
            attempt=attempt,
            upstreams=len(all_upstreams),
        )
    ]
