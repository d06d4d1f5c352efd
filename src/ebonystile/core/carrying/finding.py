"""Find out where an open flow lives that this balancer does not know: who is asked, and when.

After an outage every open flow is looked for at once, so whatever goes beyond a few sidecars for
each flow is done for many flows together and within a budget of messages.
"""

import functools

from ebonystile.core import view
from ebonystile.core.carrying import (
    batches,
    effects,
    fleet,
    messages,
    packet,
    placing,
    search,
    state,
)

FINDING_SINGLY = 16
"""Searches for open flows under way from which on further ones ask everybody, and probe, for many
flows in one message."""

QUEUE_MS, MAX_QUEUED = 400, 1_000
"""How long, in ms, and how many packets of open flows wait for a search to begin; callers send
again 200, 600 and 1,400 ms after the first time."""

PATIENCE_MS = 1_000
"""Longest time of a search that waits for its share of messages, in ms."""

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
    first = likely[: search.FIRST_WAVE] if known.finding < FINDING_SINGLY else []
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
    return probe(known, found, unknown, now)


def probe(
    known: state.State, found: search.Search, unknown: list[fleet.Upstream], now: int
) -> list[effects.Effect] | None:
    """Let upstreams whose sidecars have just started say whether they hold the flow.

    If every sidecar answered, the one at the flow's home is among those asked, so the home
    gets the packet too. If one is silent it may be the home, and a few upstreams only are
    probed: several foreign packets of a flow and none at home would look like a flow that was
    moved. Where most of the first wave don't know, all have started together, and the home is
    likely one of the wave: they are probed before all others.

    The others wait until the view is confirmed. Before that nobody can be told that a flow is
    over, and to probe all upstreams for all flows would hold up those flows that live.
    """
    route = known.current.routes.find(found.flow)
    if route is not None and route.regions:
        # A probe carries the caller's data, which must not leave the route's regions.
        unknown = [u for u in unknown if known.fleet.within(u.zone, route.regions)]
    if not found.probed:
        unknown = unknown[: search.FIRST_WAVE]
    elif not known.view_confirmed(now):
        unknown = unknown[: max(0, search.PROBED_EARLY - len(found.probed))]
    if known.missing(found):
        unknown = unknown[: max(0, search.PROBED_BLIND - len(found.probed))]
    if not unknown:
        return None
    if len(unknown) > search.FIRST_WAVE or known.finding >= FINDING_SINGLY:
        return probe_many(known, found, unknown, now)
    if not known.fanout.take(len(unknown), now):
        return wait_for_room(known, found, len(unknown), now)
    message = messages.Probe(found.packets[0].raw)
    return [
        note_probed(known, found, unknown, now),
        *[effects.Send(u.address, message) for u in unknown],
    ]


def note_probed(
    known: state.State, found: search.Search, upstreams: list[fleet.Upstream], now: int
) -> effects.Effect:
    """Note that upstreams are probed now, and wait for their answers."""
    found.probed.update(u.address for u in upstreams)
    found.asked_at = now
    found.give_up_at = now + search.PROBE_MS
    known.wait(found, known.patience(found))
    return effects.trace(
        "probed",
        flow=packet.flow_text(found.flow),
        upstreams=len(upstreams),
        unanswered=len(found.unanswered()),
    )


def probe_many(
    known: state.State, found: search.Search, upstreams: list[fleet.Upstream], now: int
) -> list[effects.Effect]:
    """Let the upstreams be probed together with other searches, unless it has waited too long."""
    if now >= found.started_at + PATIENCE_MS:
        return give_up(known, found)
    if found.flow not in known.probes.waiting:
        known.probes.add(found, upstreams, now)
        known.wait(found, found.started_at + PATIENCE_MS)
    return []


def send_probes(known: state.State, now: int) -> list[effects.Effect]:
    """Send the probes that wait, those for one upstream in common messages."""
    flows, wanted = known.probes.next_flows()
    if not known.fanout.take(wanted, now):
        known.probes.due = max(now + 1, known.fanout.ready_at(wanted, now))
        return []
    todo: list[effects.Effect] = []
    raws: dict[view.Address, list[bytes]] = {}
    for found, upstreams in known.probes.take(flows, known.searches, now):
        todo.append(note_probed(known, found, upstreams, now))
        for upstream in upstreams:
            raws.setdefault(upstream.address, []).append(found.packets[0].raw)
    for address, packets in raws.items():
        groups = batches.datagrams(packets)
        todo.extend(effects.Send(address, messages.ProbeMany(group)) for group in groups)
    return todo


def ask_everybody(known: state.State, found: search.Search, now: int) -> list[effects.Effect]:
    """Let the search ask everybody together with others, unless it has waited too long."""
    if now >= found.started_at + PATIENCE_MS:
        return give_up(known, found)
    if found.flow not in known.batch.waiting:
        known.batch.add(found, now)
        known.wait(found, found.started_at + PATIENCE_MS)
    return []


def give_up(known: state.State, found: search.Search) -> list[effects.Effect]:
    """End a search that had no share of messages in its time; its caller sends again."""
    known.batch.waiting.pop(found.flow, None)
    known.probes.waiting.pop(found.flow, None)
    return known.end(found)


def ask_batch(known: state.State, now: int) -> list[effects.Effect]:
    """Ask everybody about the searches that wait for that, in one message each."""
    wanted = min(len(known.fleet.by_address), search.LATER_WAVE)
    if not known.fanout.take(wanted, now):
        known.batch.due = max(now + 1, known.fanout.ready_at(wanted, now))
        return []
    questions: dict[view.Address, list[tuple[packet.Flow, int]]] = {}
    for found in known.batch.take(known.searches, now):
        acknowledged = found.packets[0].acknowledged
        for upstream in found.next_wave(now):
            questions.setdefault(upstream.address, []).append((found.flow, acknowledged))
        known.wait(found, found.due)
    version = known.current.routes.version
    return [
        effects.Send(
            address,
            messages.AskMany(
                known.batch.remember(tuple(flow for flow, _ in asked), now),
                version,
                tuple(asked),
            ),
        )
        for address, asked in questions.items()
    ]


def wait_for_room(
    known: state.State, found: search.Search, messages_wanted: int, now: int
) -> list[effects.Effect]:
    """Go on once the messages may be sent, unless the search has taken too long by then."""
    due = max(now + 1, known.fanout.ready_at(messages_wanted, now))
    if due > found.started_at + PATIENCE_MS:
        return known.end(found)
    known.wait(found, due)
    return []


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
