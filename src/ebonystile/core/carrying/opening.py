"""Decide where a new flow goes: whom to ask, and which upstream takes it by what they answer."""

import dataclasses
import functools
import typing

from ebonystile.core import view
from ebonystile.core.carrying import effects, fleet, messages, packet, placing, search, state

BUSY_SEARCHES = 64
"""Searches under way from which on a new flow asks its first wave only.

Answers are late then, and asking more sidecars for want of answers would keep them late.
"""


HOLD_MS = 300
"""How long a new flow waits at most for an upstream that is not overloaded, in ms, counted from its
first packet: its caller gives up after 1,400, and must still be answered."""

HOLD_STEP_MS = 25
"""How often the sidecars are asked meanwhile, in ms: about the time of a request."""


def search_for(
    known: state.State, received: packet.Packet, service: str, now: int
) -> search.Search:
    """Return the search for an upstream that takes a new flow."""
    willing = known.fleet.willing(service, known.current.routes.regions_of(received.flow))
    heard = [u for u in willing if u.address not in known.silence]
    near, far = placing.split(heard or willing, known.zone)
    flow = received.flow
    if near:
        waves = [placing.first_wave(flow, near)]
        later = functools.partial(placing.later_waves, flow, near, far)
    else:
        waves = placing.later_waves(flow, near, far)
        later = None
    begun = search.Search(flow, service, [received], waves, started_at=now, due=now)
    if len(known.searches) >= BUSY_SEARCHES:
        begun.waves = waves[:1]
    elif len(near) + len(far) > sum(map(len, waves)):
        begun.later = later
    return begun


def decide(known: state.State, found: search.Search, now: int) -> list[effects.Effect] | None:
    """Return the placing of a new flow once it is clear, else None."""
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
    known: state.State, found: search.Search
) -> list[tuple[fleet.Upstream, messages.Load]]:
    """Return the loads that sidecars told, with the flows placed there since they were asked.

    Callers come at the same moment after an outage. The answers about all of them are given before
    the first one has arrived, and most would go to the upstream that had the least work then.
    """
    placed = known.placed_since(found.asked_at)
    return [
        (upstream, with_more(answer.load, placed[upstream.address]))
        for upstream, answer in found.in_order()
    ]


def with_more(load: messages.Load, flows: int) -> messages.Load:
    """Return the load with some more flows, each of which is about to bring a request."""
    if not flows:
        return load
    return dataclasses.replace(load, running=load.running + flows, flows=load.flows + flows)


def hold(
    known: state.State, found: search.Search, chosen: placing.Standing, now: int
) -> list[effects.Effect]:
    """Ask again in a moment which upstream is the least busy, since all of them are overloaded.

    When all callers come back at once after an outage, the requests on open flows fill every
    upstream's queue. A new flow sent there is refused, and its caller, who comes back at once, is
    refused again until it has no try left, although the queues are empty half a second later.
    """
    again = search_for(known, found.packets[-1], found.service, now)
    again.started_at = found.started_at
    again.packets = found.packets
    again.excluded = found.excluded
    known.searches[found.flow] = again
    known.wait(again, now + HOLD_STEP_MS)
    again.held = True
    if found.held:
        return []
    return [effects.trace("held", flow=packet.flow_text(found.flow), **inputs_of(chosen))]


def turn_away(
    known: state.State, found: search.Search, chosen: placing.Standing, now: int
) -> list[effects.Effect]:
    """Tell the caller that no upstream may take its flow, all being cold and at their bounds."""
    known.end(found)
    return [
        found.trace_end(now, reset=True, reason="cold", **inputs_of(chosen)),
        effects.Reset(found.flow, found.packets[-1].acknowledged),
    ]


def place(
    known: state.State,
    found: search.Search,
    upstream: fleet.Upstream,
    now: int,
    chosen: placing.Standing | None = None,
) -> list[effects.Effect]:
    """Send the flow's opening packet to the upstream, `chosen` by its load or holding it."""
    known.end(found)
    known.remember(found.flow, upstream, now)
    if chosen is not None:
        known.note_placed(upstream, now)
    key = view.key_of(found.service)
    version = known.current.routes.version
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
            copy=found.packets[-1].copy,
            version=version,
            searched_ms=now - found.started_at,
        ),
        effects.Send(upstream.address, opening),
    ]


def inputs_of(chosen: placing.Standing | None) -> dict[str, typing.Any]:
    """Return what decided for an upstream, for the log."""
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
