"""Find out where an open flow lives that this balancer does not know: who is asked, and when.

After an outage every open flow is looked for at once, so whatever goes beyond a few sidecars for
each flow is done for many flows together and within a budget of messages.
"""

import functools

from ebonystile.core.carrying import (
    asking,
    effects,
    fleet,
    messages,
    packet,
    placing,
    probing,
    search,
    state,
)

QUEUE_MS, MAX_QUEUED = 400, 1_000
"""How long, in ms, and how many packets of open flows wait for a search to begin; callers send
again 200, 600 and 1,400 ms after the first time."""

CHECK_MS = 1_000
"""How often to ask whether a flow lives on at an upstream whose entry is gone, in ms: the store
drops the entry of an upstream that it can't hear, which may serve its flows all the same."""

CONFIRM_MS = 60
"""Time between two searches in a row for a flow, in ms.

An upstream may have been started a moment ago and be unknown here while it holds the flow. Whoever
placed a flow there learned of it from a sidecar that reads the store, and that is asked as well: as
long as it has read further than this process, nobody is told.
"""

GONE_AFTER_MS = 200
"""Silence after which a sidecar without an entry is not asked any more, in ms, until it is heard or
has had a rest: two questions, as one that only stands still answers the second."""

MOST_LOOKS = 4
"""Searches for a flow in a row while nobody listed is silent. By the next one this process has read
the store as far as others, and silent sidecars without an entry are left out; left to its caller's
next copy, the flow would wait for up to 1.6 s more."""


def search_for(known: state.State, received: packet.Packet, now: int) -> search.Search:
    """Return the search for the home of an open flow: in its services, then everywhere."""
    flow = received.flow
    names = known.current.services_of(flow)
    likely = [u for name in names for u in placing.order(flow, known.fleet.of(name), known.zone)]
    begun = search.Search(flow, "", [received], [], started_at=now, due=now)
    first = likely[: search.FIRST_WAVE] if known.finding < asking.FINDING_SINGLY else []
    if first:
        begun.waves = [first]
    others = [u for u in known.fleet.by_address.values() if u.service not in names]
    others += without_entry(known, now)
    if others or len(likely) > len(first):
        begun.later = functools.partial(search.later_waves, likely[len(first) :], others)
    return begun


def without_entry(known: state.State, now: int) -> list[fleet.Upstream]:
    """Return the upstreams without an entry whose sidecars may answer.

    One that the store can't hear serves its flows all the same, and a balancer that has not had
    such a flow before would tell its caller that it is over. Most are gone, though, and don't
    answer: those are left out for a while, or each caller of a lost flow would wait for them.
    """
    since = known.silent_since
    alive = known.fleet.perhaps_alive()
    return [u for u in alive if now - since.get(u.address, now) < GONE_AFTER_MS]


def queue(known: state.State, received: packet.Packet, now: int) -> None:
    """Let a packet of an open flow wait until fewer flows are looked for."""
    if len(known.queued) < MAX_QUEUED:
        known.queued.setdefault(received.flow, (received, now + QUEUE_MS))


def decide(known: state.State, found: search.Search, now: int) -> list[effects.Effect] | None:
    """Return what to do with an open flow's packets once its home is known, else None."""
    kept = found.keeper()
    if kept is not None:
        known.end(found)
        home = known.remember(found.flow, kept, now)
        home.checked_until = now + CHECK_MS
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
    if not found.goes_on and known.missing(found) and now < known.patience(found):
        return None
    return probing.probe(known, found, unknown, now)


def confirmed(known: state.State, found: search.Search, now: int) -> bool:
    """Tell whether a flow that was not found is over.

    One search is enough if everybody has answered, or the upstream of its former home is gone. If
    somebody was silent, two in a row must not have found the flow. An upstream that was probed in
    both and has neither returned nor answered a packet does not serve the flow: one that lives
    acknowledges the second one at once.
    """
    if found.previous is not None and not known.fleet.lives(found.previous.upstream):
        return True
    if found.revision > known.revision:
        return False
    if found.settled():
        return True
    first = known.missing_since.setdefault(found.flow, now)
    return now - first >= CONFIRM_MS


def look_again(
    known: state.State, packets: list[packet.Packet], now: int, due: int, looks: int = 2
) -> list[effects.Effect]:
    """Search once more, the time number `looks`, at the time `due` in ms."""
    again = search_for(known, packets[0], now)
    again.packets = packets
    again.waves = []
    everybody = [*known.fleet.by_address.values(), *without_entry(known, now)]
    again.later = functools.partial(search.later_waves, everybody, ())
    again.looks = looks
    known.searches[again.flow] = again
    known.finding += 1
    known.wait(again, due)
    return []
