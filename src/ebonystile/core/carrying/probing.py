"""Probe upstreams with a packet of an open flow when their sidecars answer UNKNOWN."""

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


def probe_upstreams(
    state: balancer_state.BalancerState,
    search: flow_search.Search,
    unknown: list[fleet.Upstream],
    now: int,
) -> list[effects.Effect] | None:
    """Probe upstreams whose sidecars started too recently to have complete flow tables.

    If every sidecar answered, the home is among the upstreams probed. If one is unresponsive, it
    may be the home, and only `MAX_BLIND_PROBES` others are probed: packets of the flow that reach
    several other upstreams and not its home look like a flow that was moved. The upstreams of the
    first round are probed first, since the home is most likely one of them.

    Before the view is confirmed at most `MAX_EARLY_PROBES` are probed. No flow can be reset before
    that, and probing all upstreams for all flows would delay the flows that exist.
    """
    # A probe carries the caller's data, which must stay in the route's regions.
    regions = state.route_table.routes.regions_of(search.flow)
    unknown = [u for u in unknown if state.fleet.is_in_regions(u.zone, regions)]
    if not search.probed:
        unknown = unknown[: flow_search.FIRST_ROUND_SIZE]
    elif not state.is_view_confirmed(now):
        unknown = unknown[: max(0, flow_search.MAX_EARLY_PROBES - len(search.probed))]
    if state.unanswered_listed(search):
        unknown = unknown[: max(0, flow_search.MAX_BLIND_PROBES - len(search.probed))]
    if not unknown:
        return None
    if (
        len(unknown) > flow_search.FIRST_ROUND_SIZE
        or state.open_flow_searches >= asking.MAX_SINGLE_SEARCHES
    ):
        return queue_probes(state, search, unknown, now)
    if not state.fan_out_budget.take(len(unknown), now):
        return asking.wait_for_fan_out_budget(state, search, len(unknown), now)
    message = messages.Probe(search.probe_packet().raw)
    return [
        record_probes(state, search, unknown, now),
        *[effects.Send(u.address, message) for u in unknown],
    ]


def record_probes(
    state: balancer_state.BalancerState,
    search: flow_search.Search,
    upstreams: list[fleet.Upstream],
    now: int,
) -> effects.Effect:
    """Record that the upstreams are probed now, and schedule the end of the wait for answers."""
    search.probed.update(u.address for u in upstreams)
    search.probed_with_answered = search.probe_packet().is_answered
    search.asked_at = now
    search.deadline = now + flow_search.PROBE_TIMEOUT_MS
    state.schedule(search, state.answer_deadline(search))
    return effects.trace(
        "probed",
        flow=packet.flow_text(search.flow),
        upstreams=len(upstreams),
        unanswered=len(search.unanswered()),
    )


def queue_probes(
    state: balancer_state.BalancerState,
    search: flow_search.Search,
    upstreams: list[fleet.Upstream],
    now: int,
) -> list[effects.Effect]:
    """Add the search to the batch of probes, or end it if it has waited too long."""
    if now >= search.started_at + asking.MAX_BATCH_WAIT_MS:
        return asking.abandon_search(state, search, now)
    if search.flow not in state.probe_batch.waiting:
        state.probe_batch.add(search, upstreams, now)
        state.schedule(search, search.started_at + asking.MAX_BATCH_WAIT_MS)
    return []


def send_probes(state: balancer_state.BalancerState, now: int) -> list[effects.Effect]:
    """Send the next batch of probes, with those for the same upstream in common messages."""
    flows, message_count = state.probe_batch.next_flows()
    if not state.fan_out_budget.take(message_count, now):
        state.probe_batch.due = max(now + 1, state.fan_out_budget.ready_at(message_count, now))
        return []
    todo: list[effects.Effect] = []
    raws: dict[view.Address, list[bytes]] = {}
    for search, upstreams in state.probe_batch.take(flows, now):
        todo.append(record_probes(state, search, upstreams, now))
        for upstream in upstreams:
            raws.setdefault(upstream.address, []).append(search.probe_packet().raw)
    for address, packets in raws.items():
        groups = batches.group_into_datagrams(packets)
        todo.extend(effects.Send(address, messages.ProbeMany(group)) for group in groups)
    return todo
