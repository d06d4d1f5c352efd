"""Handle requests at a flow's home: receive parts, run each at most once, report the outcome."""

import functools

from ebonystile.caller import messages
from ebonystile.core.calls import effects, events, flows, ledger, limits, siblings, sidecar_state

ANSWER_ID_BYTES = 8

MIN_RETRY_MS = 100
"""Minimum retry delay of a refused caller, in ms."""


def unrecorded_outcome(
    state: sidecar_state.SidecarState, flow: flows.Flow, deadline: int
) -> ledger.RequestState | None:
    """Return the final state of a request without a record, or None if it may be accepted."""
    forgotten = max(state.ledger.forgotten_before, flow.forgotten_before)
    if deadline <= forgotten:
        return ledger.RequestState.UNKNOWN
    if deadline <= flow.barred_before:
        return ledger.RequestState.NOT_RUN
    return None


def retry_time(state: sidecar_state.SidecarState, now: int) -> int:
    """Return when a refused caller may retry (ms), with jitter against synchronized retries."""
    wait = max(MIN_RETRY_MS, state.slots.expected_wait(len(state.slots.queue), now))
    return now + int(wait * (1 + state.randomness.random()))


def refuse(
    state: sidecar_state.SidecarState,
    flow: flows.Flow,
    request: bytes,
    deadline: int,
    reason: str,
    now: int,
    retry_at: int | None = None,
) -> None:
    """Refuse a request for good and send `NotRun` to its caller.

    The tombstone is stored before the answer is sent. Without it a delayed copy of the request
    could run after the caller has retried elsewhere, which would be a second run. If the ledger is
    full, the flow instead refuses every request without a record whose deadline is not later.
    """
    if retry_at is None:
        retry_at = retry_time(state, now)
    entry = state.ledger.get(flow.id, request)
    if entry is None and state.ledger.is_full:
        flow.barred_before = max(flow.barred_before, deadline)
    elif entry is None:
        keep_until = max(deadline, now) + state.limits.ledger_margin_ms
        entry = ledger.make_tombstone(flow.id, request, flow.service, deadline, keep_until)
        state.ledger.add(entry)
    if entry is not None:
        free_parts(state, entry)
        entry.state = ledger.RequestState.NOT_RUN
        entry.reason = reason
        entry.retry_at = retry_at
    state.trace("not_run", flow.id, request, reason=reason)
    state.send_to_flow(flow, messages.NotRun(flow.id, request, reason, retry_at))


def free_parts(state: sidecar_state.SidecarState, entry: ledger.Entry) -> None:
    """Free the memory of a request's received parts."""
    state.upload_bytes -= sum(len(part) for part in entry.parts.values())
    entry.parts = {}


def send_unknown(
    state: sidecar_state.SidecarState, flow: flows.Flow, request: bytes, reason: str, now: int
) -> None:
    """Send `OutcomeUnknown`: the request may or may not have run."""
    retry_at = retry_time(state, now)
    state.send_to_flow(flow, messages.OutcomeUnknown(flow.id, request, reason, retry_at))


def on_request(
    state: sidecar_state.SidecarState, flow: flows.Flow, message: messages.Request, now: int
) -> None:
    """Process one part of a request."""
    state.balance.idle_flows.remove(flow.id)
    entry = state.ledger.get(flow.id, message.request)
    if entry is None:
        entry = record_new(state, flow, message, now)
        if entry is None:
            return
    if entry.state is ledger.RequestState.RECEIVING:
        receive_part(state, flow, entry, message, now)
    elif entry.state in ledger.PENDING:
        if message.report:
            state.send_to_flow(flow, messages.Running(flow.id, entry.request))
    elif message.report:
        send_outcome(state, flow, entry, now)


def record_new(
    state: sidecar_state.SidecarState, flow: flows.Flow, message: messages.Request, now: int
) -> ledger.Entry | None:
    """Record a request that is new here, or refuse it and return None."""
    verdict = unrecorded_outcome(state, flow, message.deadline)
    if verdict is ledger.RequestState.UNKNOWN:
        send_unknown(state, flow, message.request, "its record may have been dropped", now)
        return None
    reason = refusal_reason(state, flow, message, now)
    if verdict is ledger.RequestState.NOT_RUN:
        reason = "refused while the ledger was full"
    if message.deadline > now + state.limits.max_deadline_ms:
        # `NotRun` needs a tombstone kept until the deadline, which has no bound here. So the
        # request is not run and its outcome is reported as unknown.
        send_unknown(state, flow, message.request, "the deadline is too far away", now)
        return None
    if reason:
        refuse(state, flow, message.request, message.deadline, reason, now)
        return None
    entry = ledger.Entry(
        flow.id,
        message.request,
        flow.service,
        message.path,
        message.deadline,
        message.idempotent,
        message.parts,
        ledger.RequestState.RECEIVING,
        message.deadline + state.limits.ledger_margin_ms,
    )
    state.ledger.add(entry)
    return entry


def refusal_reason(
    state: sidecar_state.SidecarState, flow: flows.Flow, message: messages.Request, now: int
) -> str:
    """Return why a new request cannot be accepted now, or an empty string."""
    if message.deadline <= now:
        return "its deadline has passed"
    if state.leaving_reason:
        return "the upstream is leaving"
    if flow.service not in state.served_services:
        return "the upstream no longer serves the service"
    if not state.is_caught_up:
        return "the sidecar is catching up"
    if state.ledger.is_full:
        return "the ledger is full"
    if not 0 < message.parts <= messages.MAX_PARTS:
        return "the number of parts is out of bounds"
    if state.upload_bytes > state.limits.max_upload_bytes:
        return "too many uploads are under way"
    if state.ledger.answer_bytes > state.limits.max_stored_answer_bytes:
        return "too many answers wait for their callers"
    return ""


def receive_part(
    state: sidecar_state.SidecarState,
    flow: flows.Flow,
    entry: ledger.Entry,
    message: messages.Request,
    now: int,
) -> None:
    """Store one part; admit the request once it is complete, else report the missing parts."""
    if message.parts != entry.total_parts or not 0 <= message.part < message.parts:
        state.trace("dropped", flow.id, entry.request, reason="parts do not fit the request")
        return
    if message.part not in entry.parts:
        entry.parts[message.part] = message.body
        state.upload_bytes += len(message.body)
    if len(entry.parts) == entry.total_parts:
        admit(state, flow, entry, now)
    elif message.report:
        missing = missing_parts(entry)
        state.send_to_flow(
            flow, messages.Progress(flow.id, entry.request, len(entry.parts), missing)
        )


def missing_parts(entry: ledger.Entry) -> tuple[int, ...]:
    """Return the numbers of the first missing parts, at most `messages.WINDOW`."""
    missing = []
    for number in range(entry.total_parts):
        if number not in entry.parts:
            missing.append(number)
            if len(missing) == messages.WINDOW:
                break
    return tuple(missing)


def admit(
    state: sidecar_state.SidecarState, flow: flows.Flow, entry: ledger.Entry, now: int
) -> None:
    """Start a complete request, queue it, or refuse it."""
    if not state.can_start(flow.service):
        reason = state.leaving_reason or "the upstream does not serve the service now"
        refuse(state, flow, entry.request, entry.deadline, reason, now)
        return
    verdict = state.slots.admit(entry.key, entry.service, entry.deadline, now, state.randomness)
    if isinstance(verdict, limits.Refuse):
        refuse(state, flow, entry.request, entry.deadline, verdict.reason, now, verdict.retry_at)
        return
    entry.state = ledger.RequestState.QUEUED
    state.trace("entered", flow.id, entry.request, path=entry.path)
    if isinstance(verdict, limits.Run):
        start(state, entry, now)
    if entry.state is ledger.RequestState.QUEUED or entry.total_parts > 1:
        state.send_to_flow(flow, messages.Running(flow.id, entry.request))


def start_queued(state: sidecar_state.SidecarState, now: int) -> None:
    """Start queued requests while slots are free; refuse those past their deadline."""
    promoted = state.slots.promote(now, state.randomness)
    send_refusals(state, promoted.refused, now)
    for key in promoted.started:
        start(state, state.ledger.entries[key], now)


def send_refusals(
    state: sidecar_state.SidecarState, refused: list[limits.Refused], now: int
) -> None:
    """Refuse requests that were removed from the queue."""
    for each in refused:
        entry = state.ledger.entries[each.key]
        refuse_unstarted(state, entry, each.refusal.reason, now, each.refusal.retry_at)


def start(state: sidecar_state.SidecarState, entry: ledger.Entry, now: int) -> None:
    """Send a request that is already in the ledger to the upstream."""
    entry.state = ledger.RequestState.RUNNING
    entry.started_at = now
    body = b"".join(entry.parts[number] for number in range(entry.total_parts))
    free_parts(state, entry)
    state.trace("started", entry.flow, entry.request)
    state.emit(
        effects.RunRequest(
            entry.key, entry.service, entry.path, body, entry.deadline, entry.idempotent
        )
    )


def refuse_unstarted(
    state: sidecar_state.SidecarState,
    entry: ledger.Entry,
    reason: str,
    now: int,
    retry_at: int | None = None,
) -> None:
    """Refuse a recorded request that has not started, even if its flow was closed meanwhile."""
    flow = state.flows.get(entry.flow)
    if flow is not None:
        refuse(state, flow, entry.request, entry.deadline, reason, now, retry_at)
        return
    free_parts(state, entry)
    entry.state = ledger.RequestState.NOT_RUN
    entry.reason = reason
    entry.retry_at = retry_time(state, now) if retry_at is None else retry_at


def refuse_queued(
    state: sidecar_state.SidecarState, services: set[str] | None, reason: str, now: int
) -> None:
    """Refuse the queued requests of the services, or of all services if None."""
    refused = state.slots.refuse_queued(reason, now, state.randomness, services)
    send_refusals(state, refused, now)


def finish(state: sidecar_state.SidecarState, event: events.Finished, now: int) -> None:
    """Record an answer, send its first window of parts, and start queued requests."""
    entry = state.ledger.entries.get(event.key)
    if entry is None or entry.state is not ledger.RequestState.RUNNING:
        return
    state.slots.finish(entry.key, limits.Outcome.DONE, now)
    siblings.record_result(state, True, now)
    if len(event.body) > state.limits.max_answer_bytes:
        record_failure(state, entry, "the answer is too large", True, 0, now)
    else:
        entry.state = ledger.RequestState.ANSWERED
        answer = state.randomness.randbytes(ANSWER_ID_BYTES)
        state.ledger.set_answer(entry, answer, event.body)
        entry.status = event.status
        entry.keep_until = max(entry.keep_until, now + state.limits.ledger_margin_ms)
        state.trace("answered", entry.flow, entry.request, status=event.status)
        flow = state.flows.get(entry.flow)
        if flow is not None:
            send_outcome(state, flow, entry, now)
    start_queued(state, now)


def fail(state: sidecar_state.SidecarState, event: events.Failed, now: int) -> None:
    """Record that the upstream gave no answer, and start queued requests."""
    entry = state.ledger.entries.get(event.key)
    if entry is None or entry.state is not ledger.RequestState.RUNNING:
        return
    shed = not event.may_have_run and event.retry_at > 0
    state.slots.finish(entry.key, limits.Outcome.SHED if shed else limits.Outcome.FAILED, now)
    if not shed and not entry.cancelled and now < entry.deadline:
        # A request that was cancelled or too late to be sent shows nothing about the upstream.
        siblings.record_result(state, False, now)
    record_failure(state, entry, event.reason, event.may_have_run, event.retry_at, now)
    start_queued(state, now)


def record_failure(
    state: sidecar_state.SidecarState,
    entry: ledger.Entry,
    reason: str,
    may_have_run: bool,
    retry_at: int,
    now: int,
) -> None:
    """Record the outcome of a request that got no answer, and report it to the caller."""
    entry.keep_until = max(entry.keep_until, now + state.limits.ledger_margin_ms)
    if not may_have_run:
        entry.state = ledger.RequestState.NOT_RUN
        entry.reason = reason
        entry.retry_at = max(retry_at, retry_time(state, now))
    else:
        entry.state = ledger.RequestState.UNKNOWN
        entry.reason = reason
    state.trace("failed", entry.flow, entry.request, reason=reason, may_have_run=may_have_run)
    flow = state.flows.get(entry.flow)
    if flow is not None:
        send_outcome(state, flow, entry, now)


def send_outcome(
    state: sidecar_state.SidecarState, flow: flows.Flow, entry: ledger.Entry, now: int
) -> None:
    """Send the caller the recorded state or outcome of a request."""
    if entry.is_delivered:
        # A late copy: the caller has acknowledged the whole answer, which is no longer stored.
        state.trace("dropped", flow.id, entry.request, reason="its answer was delivered")
    elif entry.state is ledger.RequestState.ANSWERED:
        send_parts(state, flow, entry, range(messages.WINDOW))
    elif entry.state is ledger.RequestState.NOT_RUN:
        state.send_to_flow(
            flow, messages.NotRun(flow.id, entry.request, entry.reason, entry.retry_at)
        )
    elif entry.state is ledger.RequestState.UNKNOWN:
        send_unknown(state, flow, entry.request, entry.reason, now)
    else:
        state.send_to_flow(flow, messages.Running(flow.id, entry.request))


def send_parts(
    state: sidecar_state.SidecarState, flow: flows.Flow, entry: ledger.Entry, numbers
) -> None:
    """Send the numbered parts of an answer; numbers out of range are skipped."""
    total = part_count(entry)
    for number in numbers:
        if not 0 <= number < total:
            continue
        start_byte = number * messages.PART_BYTES
        state.send_to_flow(
            flow,
            messages.AnswerPart(
                flow.id,
                entry.request,
                entry.answer_id,
                number,
                total,
                entry.status,
                entry.body[start_byte : start_byte + messages.PART_BYTES],
            ),
        )


def on_fetch(
    state: sidecar_state.SidecarState, flow: flows.Flow, message: messages.Fetch, now: int
) -> None:
    """Send the requested parts of an answer, or the recorded outcome if the answer id differs."""
    entry = state.ledger.get(flow.id, message.request)
    if entry is None:
        send_unknown(state, flow, message.request, "no record of it is left", now)
    elif entry.answer_id and entry.answer_id == message.answer:
        send_parts(state, flow, entry, message.parts[: messages.WINDOW])
    else:
        send_outcome(state, flow, entry, now)


def on_acknowledge(
    state: sidecar_state.SidecarState, flow: flows.Flow, message: messages.Acknowledge
) -> None:
    """Free the body of an answer that the caller has received; the record stays."""
    entry = state.ledger.get(flow.id, message.request)
    if entry is None or entry.state is not ledger.RequestState.ANSWERED:
        return
    if message.position == part_count(entry):
        state.ledger.set_answer(entry, b"", b"")


def part_count(entry: ledger.Entry) -> int:
    """Return the number of parts of an answer; an empty one has one empty part."""
    return max(1, -(-len(entry.body) // messages.PART_BYTES))


def on_cancel(
    state: sidecar_state.SidecarState, flow: flows.Flow, message: messages.Cancel, now: int
) -> None:
    """Cancel a request: refuse it if it has not started, else ask the upstream to stop it."""
    entry = state.ledger.get(flow.id, message.request)
    if entry is None:
        state.send_to_flow(
            flow, messages.UnknownFlow(flow.id, message.request, "nothing to cancel")
        )
    elif entry.state is ledger.RequestState.RUNNING:
        if not entry.cancelled:
            entry.cancelled = True
            state.emit(effects.CancelRequest(entry.key))
        state.send_to_flow(flow, messages.Running(flow.id, entry.request))
    elif entry.state in ledger.FINAL:
        send_outcome(state, flow, entry, now)
    else:
        state.slots.withdraw(entry.key)
        refuse(state, flow, entry.request, entry.deadline, "cancelled", now)


def on_settle(
    state: sidecar_state.SidecarState, flow: flows.Flow, message: messages.Settle, now: int
) -> None:
    """Report the outcome of a request; one that is not complete is refused for good."""
    entry = state.ledger.get(flow.id, message.request)
    if (
        entry is None
        and unrecorded_outcome(state, flow, message.deadline) is ledger.RequestState.UNKNOWN
    ):
        send_unknown(state, flow, message.request, "its record may have been dropped", now)
    elif entry is None and message.deadline > now + state.limits.max_deadline_ms:
        send_unknown(state, flow, message.request, "the deadline is too far away", now)
    elif entry is None or entry.state is ledger.RequestState.RECEIVING:
        deadline = message.deadline if entry is None else entry.deadline
        refuse(state, flow, message.request, deadline, "settled before it ran", now)
    else:
        send_outcome(state, flow, entry, now)


def expire(state: sidecar_state.SidecarState, now: int) -> None:
    """Refuse queued and cancel running requests past their deadline; drop expired records."""
    send_refusals(state, state.slots.expire(now, state.randomness), now)
    for key in state.slots.running:
        entry = state.ledger.entries[key]
        if entry.deadline <= now and not entry.cancelled:
            entry.cancelled = True
            state.emit(effects.CancelRequest(key))
    for entry in state.ledger.expire(now):
        free_parts(state, entry)


@functools.singledispatch
def on_message(message, state: sidecar_state.SidecarState, flow: flows.Flow, now: int) -> None:
    """Process a caller's message about a request of a flow whose home is here."""
    raise TypeError(f"no handler for message {type(message).__name__}")


@on_message.register
def _(message: messages.Request, state, flow, now):
    on_request(state, flow, message, now)


@on_message.register
def _(message: messages.Fetch, state, flow, now):
    on_fetch(state, flow, message, now)


@on_message.register
def _(message: messages.Acknowledge, state, flow, now):
    on_acknowledge(state, flow, message)


@on_message.register
def _(message: messages.Cancel, state, flow, now):
    on_cancel(state, flow, message, now)


@on_message.register
def _(message: messages.Settle, state, flow, now):
    on_settle(state, flow, message, now)
