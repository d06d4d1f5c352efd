"""Let upstreams whose sidecars do not know say by a packet whether they hold an open flow."""

from ebonystile.core import view
from ebonystile.core.carrying import (
    asking,
    batches,
    effects,
    fleet,
    messages,
    packet,
    search,
    state,
)


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
    # A probe carries the caller's data, which must not leave the route's regions.
    regions = known.current.routes.regions_of(found.flow)
    unknown = [u for u in unknown if known.fleet.within(u.zone, regions)]
    if not found.probed:
        unknown = unknown[: search.FIRST_WAVE]
    elif not known.view_confirmed(now):
        unknown = unknown[: max(0, search.PROBED_EARLY - len(found.probed))]
    if known.missing(found):
        unknown = unknown[: max(0, search.PROBED_BLIND - len(found.probed))]
    if not unknown:
        return None
    if len(unknown) > search.FIRST_WAVE or known.finding >= asking.FINDING_SINGLY:
        return probe_many(known, found, unknown, now)
    if not known.fanout.take(len(unknown), now):
        return asking.wait_for_room(known, found, len(unknown), now)
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
    if now >= found.started_at + asking.PATIENCE_MS:
        return asking.give_up(known, found)
    if found.flow not in known.probes.waiting:
        known.probes.add(found, upstreams, now)
        known.wait(found, found.started_at + asking.PATIENCE_MS)
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
