"""Probe upstreams with a packet of an open flow when their sidecars can't tell who holds it."""

from ebonystile.core import view
from ebonystile.core.carrying import (
    asking,
    balancer_state,
    batches,
    effects,
    fleet,
    flow_search,
    messages,
    packet,
)


def probe(
    known: balancer_state.BalancerState,
    found: flow_search.Search,
    unknown: list[fleet.Upstream],
    now: int,
) -> list[effects.Effect] | None:
    """Probe upstreams whose sidecars started too recently to know their flows.

    If every sidecar answered, the home is among the upstreams probed. If one is silent, it may be
    the home, and only `PROBED_BLIND` others are probed: packets of the flow that reach several
    other upstreams and not its home look like a flow that was moved. The upstreams of the first
    wave are probed first, since the home is most likely one of them.

    Before the view is confirmed at most `PROBED_EARLY` are probed. No flow can be reset before
    that, and probing all upstreams for all flows would delay the flows that exist.
    """
    # A probe carries the caller's data, which must stay in the route's regions.
    regions = known.route_table.routes.regions_of(found.flow)
    unknown = [u for u in unknown if known.fleet.is_in_regions(u.zone, regions)]
    if not found.probed:
        unknown = unknown[: flow_search.FIRST_WAVE]
    elif not known.is_view_confirmed(now):
        unknown = unknown[: max(0, flow_search.PROBED_EARLY - len(found.probed))]
    if known.unanswered_listed(found):
        unknown = unknown[: max(0, flow_search.PROBED_BLIND - len(found.probed))]
    if not unknown:
        return None
    if len(unknown) > flow_search.FIRST_WAVE or known.open_flow_searches >= asking.FINDING_SINGLY:
        return probe_many(known, found, unknown, now)
    if not known.fan_out_budget.take(len(unknown), now):
        return asking.wait_for_room(known, found, len(unknown), now)
    message = messages.Probe(found.packets[0].raw)
    return [
        note_probed(known, found, unknown, now),
        *[effects.Send(u.address, message) for u in unknown],
    ]


def note_probed(
    known: balancer_state.BalancerState,
    found: flow_search.Search,
    upstreams: list[fleet.Upstream],
    now: int,
) -> effects.Effect:
    """Record that the upstreams are probed now, and schedule the end of the wait for answers."""
    found.probed.update(u.address for u in upstreams)
    found.asked_at = now
    found.give_up_at = now + flow_search.PROBE_MS
    known.schedule(found, known.answer_deadline(found))
    return effects.trace(
        "probed",
        flow=packet.flow_text(found.flow),
        upstreams=len(upstreams),
        unanswered=len(found.unanswered()),
    )


def probe_many(
    known: balancer_state.BalancerState,
    found: flow_search.Search,
    upstreams: list[fleet.Upstream],
    now: int,
) -> list[effects.Effect]:
    """Add the search to the batch of probes, or end it if it has waited too long."""
    if now >= found.started_at + asking.PATIENCE_MS:
        return asking.give_up(known, found)
    if found.flow not in known.probe_batch.waiting:
        known.probe_batch.add(found, upstreams, now)
        known.schedule(found, found.started_at + asking.PATIENCE_MS)
    return []


def send_probes(known: balancer_state.BalancerState, now: int) -> list[effects.Effect]:
    """Send the next batch of probes, with those for the same upstream in common messages."""
    flows, wanted = known.probe_batch.next_flows()
    if not known.fan_out_budget.take(wanted, now):
        known.probe_batch.due = max(now + 1, known.fan_out_budget.ready_at(wanted, now))
        return []
    todo: list[effects.Effect] = []
    raws: dict[view.Address, list[bytes]] = {}
    for found, upstreams in known.probe_batch.take(flows, known.searches, now):
        todo.append(note_probed(known, found, upstreams, now))
        for upstream in upstreams:
            raws.setdefault(upstream.address, []).append(found.packets[0].raw)
    for address, packets in raws.items():
        groups = batches.datagrams(packets)
        todo.extend(effects.Send(address, messages.ProbeMany(group)) for group in groups)
    return todo
