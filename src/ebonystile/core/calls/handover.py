"""Hand flows over to other sidecars, so that at most one sidecar may run a flow's requests.

The old home first fences the flow: it runs nothing more for it. Then it sends the flow to one
target and retries under the same transfer id until that target has accepted or refused it.
"""

from ebonystile.caller import messages as caller_messages
from ebonystile.core import view
from ebonystile.core.calls import (
    effects,
    events,
    flows,
    ledger,
    opening,
    requests,
    siblings,
    sidecar_state,
)
from ebonystile.core.placing import ranking
from ebonystile.peer import transfer

TRANSFER_ID_BYTES = 16

LEASE_RESEND_MS = 3_500
"""Shortest interval between two reports of a shortened lease to a caller, in ms. The caller sends
a heartbeat after a third of the lease, and each report postpones that heartbeat."""


def has_to_move(state: sidecar_state.SidecarState, flow: flows.Flow) -> bool:
    """Return whether the flow's home is here and has to move to another sidecar."""
    return not flow.is_fenced and (
        state.leaving_reason != "" or flow.service not in state.served_services
    )


def advance(state: sidecar_state.SidecarState, now: int) -> None:
    """Take the next step of the handover of every flow that must move."""
    if not state.has_flows_to_move:
        return
    state.has_flows_to_move = False
    for flow in list(state.flows.values()):
        if flow.handover is not None or has_to_move(state, flow):
            state.has_flows_to_move = True
        if flow.handover is not None and may_have_moved(state, flow.handover, now):
            abandon_flow(state, flow)
        elif flow.handover is not None and not flow.handover.in_flight:
            if flow.handover.retry_at <= now:
                send_transfer(state, flow, now)
        elif flow.handover is None and has_to_move(state, flow) and flow.move_at <= now:
            fence(state, flow, now)


def fence(state: sidecar_state.SidecarState, flow: flows.Flow, now: int) -> None:
    """Fence the flow and begin its transfer, once no request is pending and a target is known."""
    records = state.ledger.of_flow(flow.id)
    if any(entry.state in ledger.PENDING for entry in records):
        return
    if sum(len(entry.body) for entry in records) > state.limits.max_transfer_bytes:
        # Too large for a transfer until the caller has fetched its answers.
        extend_stay(state, flow, now)
        return
    target = next_target(state, flow, frozenset(), now)
    if target is None:
        extend_stay(state, flow, now)
        return
    for entry in records:
        if entry.state is ledger.RequestState.RECEIVING:
            # Neither run nor answered: the caller sends the parts again, to the new home.
            requests.free_parts(state, entry)
            state.ledger.remove(entry)
    flow.handover = flows.Handover(
        state.randomness.randbytes(TRANSFER_ID_BYTES),
        target,
        now + state.limits.handover_timeout_ms,
    )
    state.trace("fenced", flow.id, target=target.name, transfer=flow.handover.id)
    send_transfer(state, flow, now)


def extend_stay(state: sidecar_state.SidecarState, flow: flows.Flow, now: int) -> None:
    """Keep a flow that cannot be transferred now, with a short lease, and retry later.

    If all upstreams of a service stop at once, no sidecar accepts its flows. Without the short
    lease, a flow whose caller has exited without closing it would keep this sidecar running until
    its supervisor kills it.
    """
    flow.move_at = now + state.limits.successor_retry_ms
    flow.lease_until = min(flow.lease_until, now + state.limits.waiting_lease_ms)
    if now - flow.lease_sent_at >= LEASE_RESEND_MS:
        flow.lease_sent_at = now
        send_moved(state, flow)


def send_moved(state: sidecar_state.SidecarState, flow: flows.Flow) -> None:
    """Send the caller the current token and lease of its flow."""
    moved = caller_messages.Moved(flow.id, flow.token, flow.lease_until, flow.honoured_incarnations)
    state.send_to_flow(flow, moved)


def next_target(
    state: sidecar_state.SidecarState,
    flow: flows.Flow,
    refused: frozenset[int] | set[int],
    now: int,
) -> view.Endpoint | None:
    """Return the least loaded sibling that has not refused, else the first in the flow's ranking.

    In a rolling replacement the ranking alone would move most flows to the upstreams that start
    first and leave the last one idle.
    """
    choices = [u for u in state.siblings(flow.service) if u.key not in refused]
    least_loaded = siblings.least_loaded(state, choices, now)
    return least_loaded or ranking.first(flow.id, choices)


def send_transfer(state: sidecar_state.SidecarState, flow: flows.Flow, now: int) -> None:
    """Send the flow to its target, or first a query for the target's incarnation."""
    handover = flow.handover
    if handover.deadline <= now and not handover.committed:
        handover.deadline = now + state.limits.handover_timeout_ms
    if handover.incarnation:
        handover.committed = True
    handover.in_flight = True
    state.emit(effects.SendTransfer(handover.target.address, make_transfer(state, flow)))


def make_transfer(state: sidecar_state.SidecarState, flow: flows.Flow) -> transfer.Transfer:
    """Return the transfer message; a query without records if the incarnation is unknown."""
    handover = flow.handover
    records = ()
    feeds = ()
    if handover.incarnation:
        records = tuple(record_of(entry) for entry in state.ledger.of_flow(flow.id))
        feeds = tuple((f.request, f.path, f.acknowledged) for f in flow.feeds.values())
    return transfer.Transfer(
        handover.id,
        handover.incarnation,
        handover.deadline,
        flow.id,
        flow.service,
        flow.honoured_incarnations,
        flow.caller,
        flow.via,
        max(flow.forgotten_before, state.ledger.forgotten_before),
        flow.barred_before,
        records,
        feeds,
    )


def record_of(entry: ledger.Entry) -> tuple:
    """Return a finished ledger entry in the form in which a transfer carries it."""
    return (
        entry.request,
        int(entry.state),
        entry.service,
        entry.deadline,
        entry.idempotent,
        entry.keep_until,
        entry.answer_id,
        entry.status,
        entry.body,
        entry.reason,
        entry.retry_at,
    )


def on_answered(
    state: sidecar_state.SidecarState, event: events.TransferAnswered, now: int
) -> None:
    """Process the target's reply to a transfer."""
    flow = state.flows.get(event.flow)
    if flow is None or flow.handover is None or flow.handover.id != event.reply.id:
        return
    handover = flow.handover
    handover.in_flight = False
    if event.reply.accepted:
        complete(state, flow)
    elif handover.incarnation == 0:
        handover.incarnation = event.reply.incarnation
        if event.reply.reason:
            try_next_target(state, flow, now)
        else:
            # A new id, so that a late reply to the query does not match the transfer itself.
            handover.id = state.randomness.randbytes(TRANSFER_ID_BYTES)
            handover.deadline = now + state.limits.handover_timeout_ms
            send_transfer(state, flow, now)
    elif event.reply.incarnation != handover.incarnation:
        # The target has restarted: it is unknown what its former incarnation ran of the flow.
        abandon_flow(state, flow)
    else:
        try_next_target(state, flow, now)


def may_have_moved(state: sidecar_state.SidecarState, handover: flows.Handover, now: int) -> bool:
    """Return whether the target may have accepted the flow and can no longer be asked.

    Once the transfer may have reached its target, no other sidecar may be tried. Without this
    check a target that is gone or unresponsive would leave the flow in handover for ever.
    """
    if not handover.committed:
        return False
    return handover.deadline <= now or handover.target.key not in state.view.endpoints


def abandon_flow(state: sidecar_state.SidecarState, flow: flows.Flow) -> None:
    """Abandon a handover with an unknown result; the flow stays fenced here.

    The caller's messages are forwarded to other sidecars: to the target if it has accepted the
    flow, else the caller gets `UnknownFlow`. Requests recorded here are still answered.
    """
    flow.handover = None
    flow.lost = True
    flow.feeds.clear()
    state.trace("handover_lost", flow.id)


def complete(state: sidecar_state.SidecarState, flow: flows.Flow) -> None:
    """Finish a handover: drop the flow's records and forward its messages to the new home."""
    transfer_id = flow.handover.id
    flow.moved_to = flow.handover.target
    flow.handover = None
    flow.feeds.clear()
    for entry in state.ledger.of_flow(flow.id):
        state.ledger.remove(entry)
    state.handover_count += 1
    state.trace("handed_over", flow.id, target=flow.moved_to.name, transfer=transfer_id)


def try_next_target(state: sidecar_state.SidecarState, flow: flows.Flow, now: int) -> None:
    """Offer the flow to the next sibling under a new id, after a refusal or a failed query.

    If all siblings have refused, the handover ends and the flow is served here again until the
    next attempt: none of them holds the flow or may still accept this transfer. A flow that stayed
    fenced would deliver no feed events while all upstreams of its service are leaving.
    """
    handover = flow.handover
    handover.refused_by.add(handover.target.key)
    target = next_target(state, flow, handover.refused_by, now)
    if target is None:
        flow.handover = None
        state.trace("not_taken", flow.id, asked=len(handover.refused_by))
        extend_stay(state, flow, now)
        return
    flow.handover = flows.Handover(
        state.randomness.randbytes(TRANSFER_ID_BYTES),
        target,
        now + state.limits.handover_timeout_ms,
        refused_by=handover.refused_by,
    )


def on_failed(state: sidecar_state.SidecarState, event: events.TransferFailed, now: int) -> None:
    """Retry a failed transfer with the same target and id; after a failed query, try the next."""
    flow = state.flows.get(event.flow)
    if flow is None or flow.handover is None or flow.handover.id != event.id:
        return
    flow.handover.in_flight = False
    state.trace("handover_failed", flow.id, reason=event.reason)
    if flow.handover.committed:
        flow.handover.retry_at = now + state.limits.handover_retry_ms
    else:
        try_next_target(state, flow, now)


def on_arrived(state: sidecar_state.SidecarState, event: events.TransferArrived, now: int) -> None:
    """Accept a flow or refuse it for good; a repeated transfer gets the same reply."""
    message = event.transfer
    accepted = message.id in state.accepted_transfers
    reason = ""
    if not accepted and message.incarnation in (0, state.incarnation):
        reason = refusal_reason(state, message, now)
    if not accepted and message.incarnation == state.incarnation:
        if reason:
            state.refused_transfers[message.id] = message.deadline
        else:
            adopt_flow(state, message, now)
            accepted = True
    reply = transfer.TransferReply(message.id, state.incarnation, accepted, reason)
    state.emit(effects.AnswerTransfer(event.handle, reply))


def refusal_reason(state: sidecar_state.SidecarState, message: transfer.Transfer, now: int) -> str:
    """Return why the flow cannot be accepted, or an empty string.

    A refusal is final: the old home may have handed the flow to another sidecar since, and a
    delayed copy of the transfer would create a second home.
    """
    if message.id in state.refused_transfers:
        return "refused before"
    if message.incarnation and message.deadline <= now:
        return "the transfer's deadline has passed"
    if not state.can_start(message.service):
        return state.leaving_reason or "does not serve the service now"
    known = state.flows.get(message.flow)
    if known is None and len(state.flows) >= state.limits.max_flows:
        return "the flow limit is reached"
    if known is not None and known.handover is not None and not is_returning(known, message):
        # This sidecar's own transfer may still be accepted elsewhere, so the flow stays fenced.
        return "the flow is on its way elsewhere"
    if state.ledger.is_full:
        return "the ledger is full"
    return ""


def is_returning(known: flows.Flow, message: transfer.Transfer) -> bool:
    """Return whether the transfer brings back a flow that was handed over from here."""
    return view.unpack_token(known.token).incarnation in message.honoured_incarnations


def adopt_flow(state: sidecar_state.SidecarState, message: transfer.Transfer, now: int) -> None:
    """Become the flow's home, and merge another home of the same flow on this sidecar into it.

    A fenced one is not merged: the flow may have another home elsewhere, and the same tokens would
    then be valid at two sidecars.
    """
    known = state.flows.get(message.flow)
    if known is not None and known.is_fenced:
        known = None
    incarnation = opening.new_incarnation(state)
    flow = flows.Flow(
        message.flow,
        message.service,
        view.Token(state.key, incarnation, view.key_of(message.service)).pack(),
        tuple(message.caller),
        tuple(message.via),
        now + state.limits.flow_lease_ms,
        flows.merge_incarnations(message.honoured_incarnations, (incarnation,)),
        message.forgotten_before,
        message.barred_before,
    )
    if known is not None:
        merge_homes(flow, known)
    for request, path, position in message.feeds:
        flow.feeds[request] = flows.Feed(request, path, position, position)
        state.feed_flow_ids.add(flow.id)
        state.sources.setdefault(
            path, sidecar_state.FeedSource(path, message.service, newest=position)
        )
    state.flows[flow.id] = flow
    for record in message.records:
        store_record(state, flow, record)
    state.accepted_transfers[message.id] = message.deadline
    state.trace("adopted", flow.id, service=flow.service, transfer=message.id)
    send_moved(state, flow)


def merge_homes(flow: flows.Flow, known: flows.Flow) -> None:
    """Merge the tokens, refusal times and feeds of a second home into an accepted flow."""
    flow.honoured_incarnations = flows.merge_incarnations(
        known.honoured_incarnations, flow.honoured_incarnations
    )
    flow.forgotten_before = max(flow.forgotten_before, known.forgotten_before)
    flow.barred_before = max(flow.barred_before, known.barred_before)
    flow.feeds = {**known.feeds, **flow.feeds}


def store_record(state: sidecar_state.SidecarState, flow: flows.Flow, record: tuple) -> None:
    """Store a finished record of the old home unless the request has one here."""
    request, number, service, deadline, idempotent, keep_until, *outcome = record
    if state.ledger.get(flow.id, request) is not None:
        return
    entry = ledger.Entry(
        flow.id,
        request,
        service,
        "",
        deadline,
        idempotent,
        0,
        ledger.RequestState(number),
        keep_until,
    )
    entry.answer_id, entry.status, entry.body, entry.reason, entry.retry_at = outcome
    state.ledger.add(entry)


def expire(state: sidecar_state.SidecarState, now: int) -> None:
    """Drop the records of old transfers.

    A refused transfer is refused after its deadline anyway. An accepted one is kept for
    `transfer_memory_ms` longer: an old home that was partitioned or whose clock lags may still
    retry, and a refusal would make it hand the flow to another sidecar, a second home.
    """
    remove_expired(state.refused_transfers, now)
    remove_expired(state.accepted_transfers, now - state.limits.transfer_memory_ms)


def remove_expired(transfers: dict[bytes, int], before: int) -> None:
    """Remove the transfers with a deadline at or before `before` (ms)."""
    for id_ in [i for i, deadline in transfers.items() if deadline <= before]:
        del transfers[id_]
