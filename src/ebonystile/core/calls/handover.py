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

LEASE_TOLD_AGAIN_MS = 3_500
"""Shortest interval between two reports of a shortened lease to a caller, in ms. The caller sends
a heartbeat after a third of the lease, and each report postpones that heartbeat."""


def must_move(home: sidecar_state.SidecarState, flow: flows.Flow) -> bool:
    """Return whether the flow's home is here and has to move to another sidecar."""
    return not flow.is_fenced and (home.leaving != "" or flow.service not in home.serves)


def advance(home: sidecar_state.SidecarState, now: int) -> None:
    """Advance every flow that must move by one step."""
    if not home.moving:
        return
    home.moving = False
    for flow in list(home.flows.values()):
        if flow.handover is not None or must_move(home, flow):
            home.moving = True
        if flow.handover is not None and may_be_lost(home, flow.handover, now):
            lose(home, flow)
        elif flow.handover is not None and not flow.handover.in_flight:
            if flow.handover.retry_at <= now:
                send(home, flow, now)
        elif flow.handover is None and must_move(home, flow) and flow.move_at <= now:
            fence(home, flow, now)


def fence(home: sidecar_state.SidecarState, flow: flows.Flow, now: int) -> None:
    """Stop running requests of the flow and begin its transfer, unless requests are pending."""
    records = home.ledger.of_flow(flow.id)
    if any(entry.state in ledger.PENDING for entry in records):
        return
    if sum(len(entry.body) for entry in records) > home.limits.transfer_bytes:
        # Too large for a transfer until callers have fetched their answers.
        wait_here(home, flow, now)
        return
    target = next_target(home, flow, frozenset(), now)
    if target is None:
        wait_here(home, flow, now)
        return
    for entry in records:
        if entry.state is ledger.RequestState.RECEIVING:
            # Neither run nor answered: the caller sends the parts again, to the new home.
            requests.forget_parts(home, entry)
            home.ledger.remove(entry)
    flow.handover = flows.Handover(
        home.randomness.randbytes(TRANSFER_ID_BYTES),
        target,
        now + home.limits.handover_deadline,
    )
    home.trace("fenced", flow.id, target=target.name, transfer=flow.handover.id)
    send(home, flow, now)


def wait_here(home: sidecar_state.SidecarState, flow: flows.Flow, now: int) -> None:
    """Keep a flow that no sidecar takes, with a short lease, and offer it again later.

    If all upstreams of a service stop at once, no sidecar takes its flows. Without the short
    lease, a flow whose caller has exited without closing it would keep this sidecar running until
    its supervisor kills it.
    """
    flow.move_at = now + home.limits.successor_retry
    flow.lease_until = min(flow.lease_until, now + home.limits.waiting_lease)
    if now - flow.lease_sent_at >= LEASE_TOLD_AGAIN_MS:
        flow.lease_sent_at = now
        tell_home(home, flow)


def tell_home(home: sidecar_state.SidecarState, flow: flows.Flow) -> None:
    """Send the caller the current token and lease of its flow."""
    moved = caller_messages.Moved(flow.id, flow.token, flow.lease_until, flow.honoured_incarnations)
    home.send_to_flow(flow, moved)


def next_target(
    home: sidecar_state.SidecarState, flow: flows.Flow, refused: frozenset[int] | set[int], now: int
) -> view.Endpoint | None:
    """Return the least loaded sibling that has not refused, else the first in the flow's ranking.

    In a rolling replacement the ranking alone would move most flows to the upstreams that start
    first and leave the last one idle.
    """
    choices = [u for u in home.siblings(flow.service) if u.key not in refused]
    lightest = siblings.lightest(home, choices, now)
    return lightest or ranking.first(flow.id, choices)


def send(home: sidecar_state.SidecarState, flow: flows.Flow, now: int) -> None:
    """Send the flow to its target, or first a query for the target's incarnation."""
    handover = flow.handover
    if handover.deadline <= now and not handover.committed:
        handover.deadline = now + home.limits.handover_deadline
    if handover.incarnation:
        handover.committed = True
    handover.in_flight = True
    home.emit(effects.SendTransfer(handover.target.address, content(home, flow)))


def content(home: sidecar_state.SidecarState, flow: flows.Flow) -> transfer.Transfer:
    """Return the transfer message; a query without records if the incarnation is unknown."""
    handover = flow.handover
    records = ()
    feeds = ()
    if handover.incarnation:
        records = tuple(record_of(entry) for entry in home.ledger.of_flow(flow.id))
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
        max(flow.forgotten_before, home.ledger.forgotten_before),
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
        entry.answer,
        entry.status,
        entry.body,
        entry.reason,
        entry.retry_at,
    )


def on_answered(home: sidecar_state.SidecarState, event: events.TransferAnswered, now: int) -> None:
    """Process the target's reply to a transfer."""
    flow = home.flows.get(event.flow)
    if flow is None or flow.handover is None or flow.handover.id != event.reply.id:
        return
    handover = flow.handover
    handover.in_flight = False
    if event.reply.accepted:
        complete(home, flow)
    elif handover.incarnation == 0:
        handover.incarnation = event.reply.incarnation
        if event.reply.reason:
            try_another(home, flow, now)
        else:
            # A new id, so that a late reply to the query does not match the transfer itself.
            handover.id = home.randomness.randbytes(TRANSFER_ID_BYTES)
            handover.deadline = now + home.limits.handover_deadline
            send(home, flow, now)
    elif event.reply.incarnation != handover.incarnation:
        # The target has restarted: it is unknown what its former incarnation ran of the flow.
        lose(home, flow)
    else:
        try_another(home, flow, now)


def may_be_lost(home: sidecar_state.SidecarState, handover: flows.Handover, now: int) -> bool:
    """Return whether it can no longer be found out if the target has accepted the flow.

    Once the transfer may have reached its target, no other sidecar may be tried. Without this
    check a target that is gone or silent would leave the flow fenced for ever.
    """
    if not handover.committed:
        return False
    return handover.deadline <= now or handover.target.key not in home.view.endpoints


def lose(home: sidecar_state.SidecarState, flow: flows.Flow) -> None:
    """Abandon a handover with an unknown result; the flow stays fenced here.

    The caller's messages are forwarded to other sidecars: to the target if it has accepted the
    flow, else the caller gets `UnknownFlow`. Requests recorded here are still answered.
    """
    flow.handover = None
    flow.lost = True
    flow.feeds.clear()
    home.trace("handover_lost", flow.id)


def complete(home: sidecar_state.SidecarState, flow: flows.Flow) -> None:
    """Finish a handover: drop the flow's records and forward its messages to the new home."""
    transfer_id = flow.handover.id
    flow.moved_to = flow.handover.target
    flow.handover = None
    flow.feeds.clear()
    for entry in home.ledger.of_flow(flow.id):
        home.ledger.remove(entry)
    home.handovers_done += 1
    home.trace("handed_over", flow.id, target=flow.moved_to.name, transfer=transfer_id)


def try_another(home: sidecar_state.SidecarState, flow: flows.Flow, now: int) -> None:
    """Offer the flow to the next sibling under a new transfer id, after a final refusal.

    If all siblings have refused, the handover ends and the flow is served here again until the
    next attempt: none of them holds the flow or may still accept this transfer. A flow that stayed
    fenced would deliver no feed events while all upstreams of its service are leaving.
    """
    handover = flow.handover
    handover.refused_by.add(handover.target.key)
    target = next_target(home, flow, handover.refused_by, now)
    if target is None:
        flow.handover = None
        home.trace("not_taken", flow.id, asked=len(handover.refused_by))
        wait_here(home, flow, now)
        return
    flow.handover = flows.Handover(
        home.randomness.randbytes(TRANSFER_ID_BYTES),
        target,
        now + home.limits.handover_deadline,
        refused_by=handover.refused_by,
    )


def on_failed(home: sidecar_state.SidecarState, event: events.TransferFailed, now: int) -> None:
    """Retry after a failed exchange: another target after a query, else the same one and id."""
    flow = home.flows.get(event.flow)
    if flow is None or flow.handover is None or flow.handover.id != event.id:
        return
    flow.handover.in_flight = False
    home.trace("handover_failed", flow.id, reason=event.reason)
    if flow.handover.committed:
        flow.handover.retry_at = now + home.limits.handover_retry
    else:
        try_another(home, flow, now)


def on_arrived(home: sidecar_state.SidecarState, event: events.TransferArrived, now: int) -> None:
    """Accept a flow or refuse it for good; a repeated transfer gets the same reply."""
    message = event.transfer
    accepted = message.id in home.accepted_transfers
    reason = ""
    if not accepted and message.incarnation in (0, home.incarnation):
        reason = reason_against(home, message, now)
    if not accepted and message.incarnation == home.incarnation:
        if reason:
            home.refused_transfers[message.id] = message.deadline
        else:
            adopt(home, message, now)
            accepted = True
    reply = transfer.TransferReply(message.id, home.incarnation, accepted, reason)
    home.emit(effects.AnswerTransfer(event.handle, reply))


def reason_against(home: sidecar_state.SidecarState, message: transfer.Transfer, now: int) -> str:
    """Return why the flow cannot be accepted, or an empty string.

    A refusal is final: the old home may have handed the flow to another sidecar since, and a
    delayed copy of the transfer would create a second home.
    """
    if message.id in home.refused_transfers:
        return "refused before"
    if message.incarnation and message.deadline <= now:
        return "the transfer's deadline has passed"
    if not home.can_start(message.service):
        return home.leaving or "does not serve the service now"
    known = home.flows.get(message.flow)
    if known is None and len(home.flows) >= home.limits.flows:
        return "the flow limit is reached"
    if known is not None and known.handover is not None and not comes_back(known, message):
        # This sidecar's own transfer may still be accepted elsewhere, so the flow stays fenced.
        return "the flow is on its way elsewhere"
    if home.ledger.is_full:
        return "the ledger is full"
    return ""


def comes_back(known: flows.Flow, message: transfer.Transfer) -> bool:
    """Return whether the transfer comes from a home that took the flow over from here."""
    return view.unpack_token(known.token).incarnation in message.answers_for


def adopt(home: sidecar_state.SidecarState, message: transfer.Transfer, now: int) -> None:
    """Become the flow's home, and merge another home of the same flow on this sidecar into it.

    A fenced one is not merged: its flow may have another home, whose tokens would then be valid
    at two sidecars.
    """
    known = home.flows.get(message.flow)
    if known is not None and known.is_fenced:
        known = None
    incarnation = opening.new_incarnation(home)
    flow = flows.Flow(
        message.flow,
        message.service,
        view.Token(home.key, incarnation, view.key_of(message.service)).pack(),
        tuple(message.caller),
        tuple(message.via),
        now + home.limits.flow_lease,
        flows.merge_incarnations(message.answers_for, (incarnation,)),
        message.forgotten_before,
        message.barred_before,
    )
    if known is not None:
        join(flow, known)
    for request, path, position in message.feeds:
        flow.feeds[request] = flows.Feed(request, path, position, position)
        home.fed.add(flow.id)
        home.sources.setdefault(
            path, sidecar_state.FeedSource(path, message.service, newest=position)
        )
    home.flows[flow.id] = flow
    for record in message.records:
        adopt_record(home, flow, record)
    home.accepted_transfers[message.id] = message.deadline
    home.trace("adopted", flow.id, service=flow.service, transfer=message.id)
    tell_home(home, flow)


def join(flow: flows.Flow, known: flows.Flow) -> None:
    """Merge the tokens, refusal times and feeds of a second home into an accepted flow."""
    flow.honoured_incarnations = flows.merge_incarnations(
        known.honoured_incarnations, flow.honoured_incarnations
    )
    flow.forgotten_before = max(flow.forgotten_before, known.forgotten_before)
    flow.barred_before = max(flow.barred_before, known.barred_before)
    flow.feeds = {**known.feeds, **flow.feeds}


def adopt_record(home: sidecar_state.SidecarState, flow: flows.Flow, record: tuple) -> None:
    """Store a finished record of the old home unless the request has one here."""
    request, number, service, deadline, idempotent, keep_until, *outcome = record
    if home.ledger.get(flow.id, request) is not None:
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
    entry.answer, entry.status, entry.body, entry.reason, entry.retry_at = outcome
    home.ledger.add(entry)


def expire(home: sidecar_state.SidecarState, now: int) -> None:
    """Forget the replies to old transfers.

    A refused transfer is refused after its deadline anyway. An accepted one is kept for
    `transfer_memory` longer: an old home that was partitioned or whose clock lags may still retry,
    and a refusal would make it hand the flow to another sidecar, which would be a second home.
    """
    forget(home.refused_transfers, now)
    forget(home.accepted_transfers, now - home.limits.transfer_memory)


def forget(transfers: dict[bytes, int], before: int) -> None:
    """Remove the transfers with a deadline at or before `before` (ms)."""
    for id_ in [i for i, deadline in transfers.items() if deadline <= before]:
        del transfers[id_]
