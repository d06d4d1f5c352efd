"""Find the upstream that holds an open flow unknown to this balancer.

After an outage all open flows are searched for at the same time. Queries beyond the first wave are
therefore batched over many flows and rate limited.
"""

import functools

from ebonystile.core.carrying import (
    asking,
    balancer_state,
    effects,
    fleet,
    flow_search,
    messages,
    packet,
    placing,
    probing,
)

QUEUE_MS, MAX_QUEUED = 400, 1_000
"""Time limit and length of the queue of open flows that wait for a search to begin; callers
retransmit 200, 600 and 1,400 ms after the first copy."""

CHECK_MS = 1_000
"""How long an answer confirms the home of a flow whose upstream has no entry, in ms. An upstream
cut off from the store loses its entry and still serves its flows."""

CONFIRM_MS = 60
"""Time between two consecutive searches for a flow, in ms.

The flow may be held by an upstream that started a moment ago and is not in this balancer's view.
The flow is not reset while a sidecar answers with a newer revision of the store than this
balancer's.
"""

GONE_AFTER_MS = 200
"""Time without an answer after which a sidecar without an entry is not asked, in ms. It allows for
two queries: a sidecar that only stalled answers the second."""

MOST_LOOKS = 4
"""Limit of consecutive searches for a flow while every sidecar with an entry answers. By the last
of them this balancer has caught up with the store and skips silent sidecars without an entry.
Waiting for the caller's next copy instead takes up to 1.6 s more."""


def search_for(
    known: balancer_state.BalancerState, received: packet.Packet, now: int
) -> flow_search.Search:
    """Return a search for an open flow, in the services of its route first, then in all others."""
    flow = received.flow
    names = known.route_table.services_of(flow)
    likely = [
        u for name in names for u in placing.order(flow, known.fleet.upstreams_of(name), known.zone)
    ]
    begun = flow_search.Search(flow, "", [received], [], started_at=now, due=now)
    first = (
        likely[: flow_search.FIRST_WAVE] if known.open_flow_searches < asking.FINDING_SINGLY else []
    )
    if first:
        begun.waves = [first]
    others = [u for u in known.fleet.by_address.values() if u.service not in names]
    others += without_entry(known, now)
    if others or len(likely) > len(first):
        begun.later = functools.partial(flow_search.later_waves, likely[len(first) :], others)
    return begun


def without_entry(known: balancer_state.BalancerState, now: int) -> list[fleet.Upstream]:
    """Return the upstreams without an entry whose sidecars may answer.

    An upstream cut off from the store still serves its flows, which must not be reset. Most of the
    others have ended; those that have not answered for `GONE_AFTER_MS` are skipped, so that callers
    of lost flows don't wait for them.
    """
    since = known.unresponsive_since
    alive = known.fleet.unlisted()
    return [u for u in alive if now - since.get(u.address, now) < GONE_AFTER_MS]


def queue(known: balancer_state.BalancerState, received: packet.Packet, now: int) -> None:
    """Queue a packet of an open flow until a search for it may begin."""
    if len(known.queued) < MAX_QUEUED:
        known.queued.setdefault(received.flow, (received, now + QUEUE_MS))


def decide(
    known: balancer_state.BalancerState, found: flow_search.Search, now: int
) -> list[effects.Effect] | None:
    """Return the effects by which the answers end or advance the search, or None to wait."""
    kept = found.keeper()
    if kept is not None:
        known.end_search(found)
        home = known.remember_home(found.flow, kept, now)
        home.verified_until = now + CHECK_MS
        return [
            effects.trace(
                "found",
                flow=packet.flow_text(found.flow),
                upstream=kept.name,
                asked=len(found.asked),
                searched_ms=now - found.started_at,
            ),
            *[effects.Send(kept.address, messages.Carry(p.raw)) for p in found.packets],
        ]
    if not found.wave_over(now):
        return None
    unknown = found.unknown()
    if not unknown or (found.goes_on and 2 * len(unknown) < len(found.answers)):
        return None
    if not found.goes_on and known.unanswered_listed(found) and now < known.answer_deadline(found):
        return None
    return probing.probe(known, found, unknown, now)


def confirmed(known: balancer_state.BalancerState, found: flow_search.Search, now: int) -> bool:
    """Return whether a flow that was not found has ended.

    One search is enough if every sidecar has answered, or if the upstream of the former home has no
    entry. Otherwise a second search `CONFIRM_MS` later must also fail: an upstream that holds
    the flow and left the first probe unanswered acknowledges the second.
    """
    if found.previous is not None and not known.fleet.is_listed(found.previous.upstream):
        return True
    if found.revision > known.revision:
        return False
    if found.settled():
        return True
    first = known.not_found_since.setdefault(found.flow, now)
    return now - first >= CONFIRM_MS


def look_again(
    known: balancer_state.BalancerState,
    packets: list[packet.Packet],
    now: int,
    due: int,
    looks: int = 2,
) -> list[effects.Effect]:
    """Schedule a search of all sidecars at the time `due` in ms; `looks` is its number."""
    again = search_for(known, packets[0], now)
    again.packets = packets
    again.waves = []
    everybody = [*known.fleet.by_address.values(), *without_entry(known, now)]
    again.later = functools.partial(flow_search.later_waves, everybody, ())
    again.looks = looks
    known.searches[again.flow] = again
    known.open_flow_searches += 1
    known.schedule(again, due)
    return []
