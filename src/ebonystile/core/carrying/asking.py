"""Query all sidecars about open flows, many flows per message, within the fan-out budget."""

from ebonystile.core import view
from ebonystile.core.carrying import balancer_state, effects, flow_search, messages, packet

FINDING_SINGLY = 16
"""Number of running searches for open flows from which further ones are batched."""

PATIENCE_MS = 1_000
"""Time limit of a search that waits for the fan-out budget, in ms from its start."""


def ask_everybody(
    known: balancer_state.BalancerState, found: flow_search.Search, now: int
) -> list[effects.Effect]:
    """Add the search to the batch of queries, or end it if it has waited too long."""
    if now >= found.started_at + PATIENCE_MS:
        return give_up(known, found)
    if found.flow not in known.ask_batch.waiting:
        known.ask_batch.add(found, now)
        known.schedule(found, found.started_at + PATIENCE_MS)
    return []


def give_up(known: balancer_state.BalancerState, found: flow_search.Search) -> list[effects.Effect]:
    """End a search that waited too long for the budget; its caller retransmits."""
    known.ask_batch.waiting.pop(found.flow, None)
    known.probe_batch.waiting.pop(found.flow, None)
    return known.end_search(found)


def ask_batch(known: balancer_state.BalancerState, now: int) -> list[effects.Effect]:
    """Send the next batch of queries, in one message to each sidecar."""
    wanted = min(len(known.fleet.by_address), flow_search.LATER_WAVE)
    if not known.fan_out_budget.take(wanted, now):
        known.ask_batch.due = max(now + 1, known.fan_out_budget.ready_at(wanted, now))
        return []
    questions: dict[view.Address, list[tuple[packet.Flow, int]]] = {}
    for found in known.ask_batch.take(known.searches, now):
        acknowledged = found.packets[0].acknowledged
        for upstream in found.next_wave(now):
            questions.setdefault(upstream.address, []).append((found.flow, acknowledged))
        known.schedule(found, found.due)
    version = known.route_table.routes.version
    return [
        effects.Send(
            address,
            messages.AskMany(
                known.ask_batch.register_flows(tuple(flow for flow, _ in asked), now),
                version,
                tuple(asked),
            ),
        )
        for address, asked in questions.items()
    ]


def wait_for_room(
    known: balancer_state.BalancerState, found: flow_search.Search, messages_wanted: int, now: int
) -> list[effects.Effect]:
    """Schedule the search for when the budget allows the messages, or end it if too late."""
    due = max(now + 1, known.fan_out_budget.ready_at(messages_wanted, now))
    if due > found.started_at + PATIENCE_MS:
        return known.end_search(found)
    known.schedule(found, due)
    return []
