"""Query all sidecars about open flows, many flows per message, within the fan-out budget."""

from ebonystile.core import view
from ebonystile.core.carrying import balancer_state, effects, flow_search, messages, packet

MAX_SINGLE_SEARCHES = 16
"""Number of running searches for open flows from which further ones are batched."""

MAX_BATCH_WAIT_MS = 1_000
"""Time limit of a search that waits for the fan-out budget, in ms from its start."""


def ask_all(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> list[effects.Effect]:
    """Add the search to the batch of queries, or end it if it has waited too long."""
    if now >= search.started_at + MAX_BATCH_WAIT_MS:
        return abandon_search(state, search, now)
    if search.flow not in state.ask_batch.waiting:
        state.ask_batch.add(search, now)
        state.schedule(search, search.started_at + MAX_BATCH_WAIT_MS)
    return []


def abandon_search(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> list[effects.Effect]:
    """End a search that waited too long for the budget or in a pause; its caller retransmits."""
    state.end_search(search)
    return [search.trace_end(now, reset=False, reason="waited_too_long")]


def send_ask_batch(state: balancer_state.BalancerState, now: int) -> list[effects.Effect]:
    """Send the next batch of queries, in one message to each sidecar."""
    message_count = min(len(state.fleet.by_address), flow_search.LATER_ROUND_SIZE)
    if not state.fan_out_budget.take(message_count, now):
        state.ask_batch.due = max(now + 1, state.fan_out_budget.ready_at(message_count, now))
        return []
    questions: dict[view.Address, list[tuple[packet.Flow, int]]] = {}
    for search in state.ask_batch.take(now):
        acknowledged = search.packets[0].acknowledged
        for upstream in search.next_round(now):
            questions.setdefault(upstream.address, []).append((search.flow, acknowledged))
        state.schedule(search, search.due)
    version = state.route_table.routes.version
    return [
        effects.Send(
            address,
            messages.AskMany(
                state.ask_batch.register_flows(tuple(flow for flow, _ in asked), now),
                version,
                tuple(asked),
            ),
        )
        for address, asked in questions.items()
    ]


def wait_for_fan_out_budget(
    state: balancer_state.BalancerState, search: flow_search.Search, message_count: int, now: int
) -> list[effects.Effect]:
    """Schedule the search for when the budget allows the messages, or end it if too late."""
    due = max(now + 1, state.fan_out_budget.ready_at(message_count, now))
    if due > search.started_at + MAX_BATCH_WAIT_MS:
        return abandon_search(state, search, now)
    state.schedule(search, due)
    return []
