"""Move flows to another sidecar without a moment at which two of them may run a request.

The old home fences the flow first and never again runs anything for it; then it sends the flow to
one target, again and again under one id, until the target has said yes or surely no.
"""

from ebonystile.caller import messages as caller_messages
from ebonystile.core import view
from ebonystile.core.calls import effects, events, flows, ledger, opening, requests, siblings, state
from ebonystile.core.placing import ranking
from ebonystile.peer import transfer

TRANSFER_ID_BYTES = 16

LEASE_TOLD_AGAIN_MS = 3_500
"""How often a caller is told of a short lease, in ms: it sends a heartbeat when a third of the
lease has passed, and a word that comes before that would only put the heartbeat off."""


def must_move(home: state.State, flow: flows.Flow) -> bool:
    """Whether the flow lives here but should not any more."""
    return not flow.fenced and (home.leaving != "" or flow.service not in home.serves)


def advance(home: state.State, now: int) -> None:
    """Take every flow that must move a step further."""
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


def fence(home: state.State, flow: flows.Flow, now: int) -> None:
    """Stop the flow here for good and begin its transfer, once nothing of it runs."""
    records = home.ledger.of_flow(flow.id)
    if any(entry.state in ledger.PENDING for entry in records):
        return
    if sum(len(entry.body) for entry in records) > home.limits.transfer_bytes:
        # Too large to be carried; callers fetch their answers here first.
        wait_here(home, flow, now)
        return
    target = next_target(home, flow, frozenset(), now)
    if target is None:
        wait_here(home, flow, now)
        return
    for entry in records:
        if entry.state is ledger.State.RECEIVING:
            # Nothing was said of it and nothing ran: the caller sends the parts to the new home.
            requests.forget_parts(home, entry)
            home.ledger.remove(entry)
    flow.handover = flows.Handover(
        home.randomness.randbytes(TRANSFER_ID_BYTES),
        target,
        now + home.limits.handover_deadline,
    )
    home.trace("fenced", flow.id, target=target.name, transfer=flow.handover.id)
    send(home, flow, now)


def wait_here(home: state.State, flow: flows.Flow, now: int) -> None:
    """Let a flow that must move live on here for a while, as long as its caller wants it.

    Where all upstreams of a service are stopped at once nobody takes its flows, and one whose
    caller has ended without a word, or that a repeated open left behind, kept its sidecar until
    the supervisor killed it. With a short lease the caller either says that it is there, or is not
    waited for.
    """
    flow.move_at = now + home.limits.successor_retry
    flow.lease_until = min(flow.lease_until, now + home.limits.waiting_lease)
    if now - flow.lease_told_at >= LEASE_TOLD_AGAIN_MS:
        flow.lease_told_at = now
        tell_home(home, flow)


def tell_home(home: state.State, flow: flows.Flow) -> None:
    """Tell the caller its present token and lease."""
    moved = caller_messages.Moved(flow.id, flow.token, flow.lease_until, flow.answers_for)
    home.tell(flow, moved)


def next_target(
    home: state.State, flow: flows.Flow, refused: frozenset[int] | set[int], now: int
) -> view.Endpoint | None:
    """Return the lightest sibling that has not refused, else the first in the flow's ranking.

    In a night of replacements the ranking alone would give each newcomer only its share of the
    flows that leave after it, so the first ones would end the night crowded and the last one idle.
    """
    choices = [u for u in home.siblings(flow.service) if u.key not in refused]
    lightest = siblings.lightest(home, choices, now)
    return lightest or ranking.first(flow.id, choices)


def send(home: state.State, flow: flows.Flow, now: int) -> None:
    """Send the flow to its target; the first time only ask which incarnation runs there."""
    handover = flow.handover
    if handover.deadline <= now and not handover.committed:
        handover.deadline = now + home.limits.handover_deadline
    if handover.incarnation:
        handover.committed = True
    handover.in_flight = True
    home.emit(effects.SendTransfer(handover.target.address, content(home, flow)))


def content(home: state.State, flow: flows.Flow) -> transfer.Transfer:
    """Return the flow as its target needs it; only the question if its incarnation is unknown."""
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
        flow.answers_for,
        flow.caller,
        flow.via,
        max(flow.forgotten_before, home.ledger.forgotten_before),
        flow.barred_before,
        records,
        feeds,
    )


def record_of(entry: ledger.Entry) -> tuple:
    """Return a finished record as a transfer carries it."""
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


def on_answered(home: state.State, event: events.TransferAnswered, now: int) -> None:
    """Go on with what the target said."""
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
            # A new id: no late answer to the question can be taken for one to the content.
            handover.id = home.randomness.randbytes(TRANSFER_ID_BYTES)
            handover.deadline = now + home.limits.handover_deadline
            send(home, flow, now)
    elif event.reply.incarnation != handover.incarnation:
        # Restarted since: what the lost incarnation may have run of the flow, nobody knows.
        lose(home, flow)
    else:
        try_another(home, flow, now)


def may_be_lost(home: state.State, handover: flows.Handover, now: int) -> bool:
    """Whether nobody can say any more if the target has taken the flow.

    Only that target may be asked once the content may have reached it. If it has gone, or does not
    answer by the deadline, the flow would be held for ever and its caller told nothing.
    """
    if not handover.committed:
        return False
    return handover.deadline <= now or handover.target.key not in home.view.endpoints


def lose(home: state.State, flow: flows.Flow) -> None:
    """Give a flow up without running anything more for it, so that no second home can arise.

    Its caller's packets walk on: to the target if that took it, else they learn that the flow is
    unknown. What the records here say stays true and is still told.
    """
    flow.handover = None
    flow.lost = True
    flow.feeds.clear()
    home.trace("handover_lost", flow.id)


def complete(home: state.State, flow: flows.Flow) -> None:
    """Turn the flow into a signpost to its new home."""
    transfer_id = flow.handover.id
    flow.moved_to = flow.handover.target
    flow.handover = None
    flow.feeds.clear()
    for entry in home.ledger.of_flow(flow.id):
        home.ledger.remove(entry)
    home.handovers_done += 1
    home.trace("handed_over", flow.id, target=flow.moved_to.name, transfer=transfer_id)


def try_another(home: state.State, flow: flows.Flow, now: int) -> None:
    """Go to the next sibling after one that has refused for good, under a new transfer id.

    After the last one the flow lives on here until the siblings are asked again: none of them has
    its content or may take it from this handover. Held all the while, its feed fell silent for as
    long as every sibling refused, which is for ever where all are leaving.
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


def on_failed(home: state.State, event: events.TransferFailed, now: int) -> None:
    """Try again: elsewhere if only the question was sent, else the same target and id."""
    flow = home.flows.get(event.flow)
    if flow is None or flow.handover is None or flow.handover.id != event.id:
        return
    flow.handover.in_flight = False
    home.trace("handover_failed", flow.id, reason=event.reason)
    if flow.handover.committed:
        flow.handover.retry_at = now + home.limits.handover_retry
    else:
        try_another(home, flow, now)


def on_arrived(home: state.State, event: events.TransferArrived, now: int) -> None:
    """Take a flow over, or refuse it for good; the same transfer gets the same answer again."""
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


def reason_against(home: state.State, message: transfer.Transfer, now: int) -> str:
    """Return why the flow cannot be taken, or an empty string.

    What was refused once stays refused: the old home has gone to another sidecar by then, and a
    copy of the transfer that was held up on the way would make a second home.
    """
    if message.id in home.refused_transfers:
        return "refused before"
    if message.incarnation and message.deadline <= now:
        return "the transfer's deadline has passed"
    if not home.serving(message.service):
        return home.leaving or "does not serve the service now"
    known = home.flows.get(message.flow)
    if known is None and len(home.flows) >= home.limits.flows:
        return "the flow limit is reached"
    if known is not None and known.handover is not None and not comes_back(known, message):
        # Its own transfer may yet be taken elsewhere: the flow must not run here again till then.
        return "the flow is on its way elsewhere"
    if home.ledger.full:
        return "the ledger is full"
    return ""


def comes_back(known: flows.Flow, message: transfer.Transfer) -> bool:
    """Whether the transfer comes from a home that took the flow over from here."""
    return view.unpack_token(known.token).incarnation in message.answers_for


def adopt(home: state.State, message: transfer.Transfer, now: int) -> None:
    """Become the flow's home; a second home of the same flow that lives here is joined with it.

    A home that was fenced here is not: it may live elsewhere, and answering for it would make two.
    """
    known = home.flows.get(message.flow)
    if known is not None and known.fenced:
        known = None
    incarnation = opening.new_incarnation(home)
    flow = flows.Flow(
        message.flow,
        message.service,
        view.Token(home.key, incarnation, view.key_of(message.service)).pack(),
        tuple(message.caller),
        tuple(message.via),
        now + home.limits.flow_lease,
        flows.joined(message.answers_for, (incarnation,)),
        message.forgotten_before,
        message.barred_before,
    )
    if known is not None:
        join(flow, known)
    for request, path, position in message.feeds:
        flow.feeds[request] = flows.Feed(request, path, position, position)
        home.fed.add(flow.id)
        home.sources.setdefault(path, state.Source(path, message.service, newest=position))
    home.flows[flow.id] = flow
    for record in message.records:
        adopt_record(home, flow, record)
    home.accepted_transfers[message.id] = message.deadline
    home.trace("adopted", flow.id, service=flow.service, transfer=message.id)
    tell_home(home, flow)


def join(flow: flows.Flow, known: flows.Flow) -> None:
    """Let a flow that was taken over stand for a second home of it as well."""
    flow.answers_for = flows.joined(known.answers_for, flow.answers_for)
    flow.forgotten_before = max(flow.forgotten_before, known.forgotten_before)
    flow.barred_before = max(flow.barred_before, known.barred_before)
    flow.feeds = {**known.feeds, **flow.feeds}


def adopt_record(home: state.State, flow: flows.Flow, record: tuple) -> None:
    """Enter a finished record of the old home."""
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
        ledger.State(number),
        keep_until,
    )
    entry.answer, entry.status, entry.body, entry.reason, entry.retry_at = outcome
    home.ledger.add(entry)


def expire(home: state.State, now: int) -> None:
    """Forget transfers that no longer matter.

    A refused one is refused past its deadline anyway. A taken one is remembered for long: the old
    home, which may be cut off, asks until the deadline by its own clock, and if it then heard a
    refusal it would go to another sidecar and make a second home.
    """
    forget(home.refused_transfers, now)
    forget(home.accepted_transfers, now - home.limits.transfer_memory)


def forget(transfers: dict[bytes, int], before: int) -> None:
    """Forget the transfers whose deadlines came before a time."""
    for id_ in [i for i, deadline in transfers.items() if deadline <= before]:
        del transfers[id_]
