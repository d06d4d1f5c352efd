"""Implement the sidecar's state machine: `decide(state, event, now)` returns the effects.

It uses no clock, socket, thread or global randomness, so that daemons and simulations run the same
code.
"""

import functools

from ebonystile import errors
from ebonystile.caller import messages as caller_messages
from ebonystile.core import rng, view
from ebonystile.core.calls import (
    effects,
    events,
    feeds,
    flows,
    handover,
    ledger,
    opening,
    requests,
    siblings,
    sidecar_state,
)
from ebonystile.core.placing import balance
from ebonystile.peer import messages

LEASE_CHECK_MS = 1_000
"""Interval of the check for expired leases, which visits every flow."""


def make_sidecar(
    name: str,
    incarnation: int,
    limits: sidecar_state.Limits,
    randomness: rng.Rng,
    now: int,
    policy: balance.Policy = balance.DEFAULT_POLICY,
) -> sidecar_state.SidecarState:
    """Return the initial state of a sidecar."""
    return sidecar_state.SidecarState(name, incarnation, limits, randomness, now, policy)


def decide(state: sidecar_state.SidecarState, event, now: int) -> list[effects.Effect]:
    """Process one event at time `now` (ms) and return the effects, in order."""
    detect_pause(state, now)
    on_event(event, state, now)
    siblings.report_load(state, now)
    return state.take_effects()


def detect_pause(state: sidecar_state.SidecarState, now: int) -> None:
    """Refuse new work after a pause of the process until a view has been confirmed.

    After a pause the view may be stale: the upstream may serve another service by now, and a
    request would reach the wrong one. Ticks come at least every `events.TICK_MS`, so a long gap
    between events means a pause; `ViewChanged` ends this state.
    """
    if now - state.last_event_at > state.limits.max_pause_ms and state.is_caught_up:
        state.is_caught_up = False
        state.trace("woke", gap=now - state.last_event_at)
    state.last_event_at = max(state.last_event_at, now)


@functools.singledispatch
def on_event(event, state: sidecar_state.SidecarState, now: int) -> None:
    """Process one event."""
    raise TypeError(f"no handler for event {type(event).__name__}")


@on_event.register
def _(event: events.Arrived, state, now):
    try:
        message = caller_messages.FROM_CALLER.decode(event.forward.payload)
    except errors.DatagramError as error:
        state.trace("dropped", reason=error.reason)
        return
    if isinstance(message, caller_messages.Open):
        opening.on_open(state, event.forward, message, now)
        return
    route(state, event.forward, message, now)


@on_event.register
def _(event: events.Finished, state, now):
    requests.finish(state, event, now)


@on_event.register
def _(event: events.Failed, state, now):
    requests.fail(state, event, now)


@on_event.register
def _(event: events.FeedBatch, state, now):
    feeds.on_batch(state, event, now)


@on_event.register
def _(event: events.FeedFailed, state, now):
    feeds.on_failed(state, event, now)


@on_event.register
def _(event: events.TransferArrived, state, now):
    handover.on_arrived(state, event, now)
    feeds.poll(state, now)


@on_event.register
def _(event: events.TransferAnswered, state, now):
    handover.on_answered(state, event, now)


@on_event.register
def _(event: events.TransferFailed, state, now):
    handover.on_failed(state, event, now)


@on_event.register
def _(event: events.ViewChanged, state, now):
    if event.view.revision < state.view.revision:
        return
    before = state.served_services
    state.view = event.view
    state.served_services = event.view.services_of(state.name)
    siblings.on_view(state)
    state.is_caught_up = True
    lost = set(before - state.served_services)
    if lost:
        reason = "the upstream no longer serves the service"
        requests.refuse_queued(state, lost, reason, now)
        state.trace("services_lost", services=",".join(sorted(lost)))
    state.has_flows_to_move = True
    own = event.view.endpoints.get(state.key)
    if own is not None:
        apply_leaving(state, own.leaving, now)
    handover.advance(state, now)


@on_event.register
def _(event: events.Leave, state, now):
    leave(state, event.reason, now)
    state.is_leaving_by_view = False
    handover.advance(state, now)


@on_event.register
def _(event: events.LoadReported, state, now):
    siblings.on_load_report(state, event, now)


@on_event.register
def _(event: events.UpstreamHealth, state, now):
    siblings.on_health(state, event, now)


@on_event.register
def _(event: events.UpstreamLoad, state, now):
    state.balance.reported_load.record_report(event.work, now)


@on_event.register
def _(event: events.Tick, state, now):
    requests.expire(state, now)
    requests.start_queued(state, now)
    expire_flows(state, now)
    handover.expire(state, now)
    handover.advance(state, now)
    feeds.resend(state, now)
    feeds.poll(state, now)


def leave(state: sidecar_state.SidecarState, reason: str, now: int) -> None:
    """Refuse new and queued requests from now on; running requests continue."""
    if state.leaving_reason:
        return
    state.leaving_reason = f"the upstream is leaving: {reason}"
    state.has_flows_to_move = True
    state.trace("leaving", reason=reason)
    requests.refuse_queued(state, None, state.leaving_reason, now)


def apply_leaving(state: sidecar_state.SidecarState, leaving: bool, now: int) -> None:
    """Leave or stay according to the view, unless the process itself has decided to leave."""
    if leaving and not state.leaving_reason:
        leave(state, "the configuration or the list says so", now)
        state.is_leaving_by_view = True
    elif not leaving and state.is_leaving_by_view:
        state.leaving_reason = ""
        state.is_leaving_by_view = False
        state.trace("staying")


def is_drained(state: sidecar_state.SidecarState) -> bool:
    """Return whether a leaving sidecar has no request to finish and no flow to hand over."""
    if not state.leaving_reason or state.slots.running:
        return False
    return all(flow.moved_to is not None or flow.lost for flow in state.flows.values())


def route(
    state: sidecar_state.SidecarState,
    forward: messages.Forward,
    message: caller_messages.FromCaller,
    now: int,
) -> None:
    """Process a message if its flow's home is here; else forward it towards that home.

    The service, the flow and the home's incarnation must all match. Otherwise a reused address or
    a balancer with a stale view could deliver a request to an upstream of another service.
    """
    flow = state.flows.get(message.flow)
    token = view.unpack_token(message.token)
    if not is_token_for(flow, token, message.service):
        forward_or_report(state, forward, message)
    elif flow.moved_to is not None:
        if flow.moved_to.key not in forward.visited:
            state.forward_to(flow.moved_to, forward)
    elif flow.is_fenced:
        answer_fenced(state, flow, forward, message, now)
    else:
        flow.caller = forward.caller
        flow.via = forward.via
        flow.lease_until = now + state.limits.flow_lease_ms
        on_message(message, state, flow, now)
        if flow.token != message.token:
            handover.send_moved(state, flow)


def answer_fenced(
    state: sidecar_state.SidecarState,
    flow: flows.Flow,
    forward: messages.Forward,
    message: caller_messages.FromCaller,
    now: int,
) -> None:
    """Answer a message of a fenced flow from its records; no new request may start."""
    request = getattr(message, "request", b"")
    is_subscription = isinstance(message, caller_messages.Subscribe)
    if not is_subscription and state.ledger.get(flow.id, request) is not None:
        flow.caller = forward.caller
        flow.via = forward.via
        requests.on_message(message, state, flow, now)
    elif flow.lost:
        forward_or_report(state, forward, message)
    else:
        # The target may already be the home. The message is dropped, and its resend is routed by
        # the result of the handover.
        state.trace("held", flow.id, reason="handover under way")


def is_token_for(flow: flows.Flow | None, token: view.Token | None, service: str) -> bool:
    """Return whether the token was issued for this flow and is still valid."""
    return (
        flow is not None
        and token is not None
        and flow.service == service
        and token.service == view.key_of(service)
        and token.incarnation in flow.honoured_incarnations
    )


def forward_or_report(
    state: sidecar_state.SidecarState,
    forward: messages.Forward,
    message: caller_messages.FromCaller,
) -> None:
    """Forward a message to the next sidecar, or send `UnknownFlow` if all have been tried.

    All are known only by a view that has been confirmed since the last pause, and that has the
    service: one that a balancer knows may be missing in an older view. Otherwise the message is
    dropped, and its resend may come to another sidecar.
    """
    if state.forward_to_next(forward, message.flow, message.service):
        return
    request = getattr(message, "request", b"")
    if not state.is_caught_up or message.service not in state.view.services:
        state.trace("held", message.flow, request, reason="the view may lack its home")
        return
    state.trace("unknown_flow", message.flow, request)
    unknown = caller_messages.UnknownFlow(message.flow, request, "no upstream holds the flow")
    state.send_to_caller(forward.caller, forward.via, unknown)


@functools.singledispatch
def on_message(message, state: sidecar_state.SidecarState, flow: flows.Flow, now: int) -> None:
    """Process a message of a flow whose home is here; most concern a request."""
    requests.on_message(message, state, flow, now)


@on_message.register
def _(message: caller_messages.Subscribe, state, flow, now):
    feeds.on_subscribe(state, flow, message, now)


@on_message.register
def _(message: caller_messages.Acknowledge, state, flow, now):
    if message.request in flow.feeds:
        feeds.on_acknowledge(state, flow, message, now)
    else:
        requests.on_message(message, state, flow, now)


@on_message.register
def _(message: caller_messages.Heartbeat, state, flow, now):
    handover.send_moved(state, flow)


@on_message.register
def _(message: caller_messages.Close, state, flow, now):
    if message.token != flow.token:
        # The close is for a second home that was merged into this one, or predates a handover.
        # Closing the flow would end it while its caller still uses it; its lease ends it later.
        return
    flow.feeds.clear()
    for entry in state.ledger.of_flow(flow.id):
        if state.slots.withdraw(entry.key):
            requests.refuse_unstarted(state, entry, "the flow was closed", now)
    del state.flows[flow.id]
    state.trace("closed", flow.id)
    state.send_to_flow(flow, caller_messages.Closed(flow.id))


def expire_flows(state: sidecar_state.SidecarState, now: int) -> None:
    """Remove the flows with an expired lease and no pending request.

    Heartbeats that came during a pause of this process have not been read when it ends, so leases
    are kept until a view has been confirmed.
    """
    if now - state.leases_checked_at < LEASE_CHECK_MS or not state.is_caught_up:
        return
    state.leases_checked_at = now
    for flow in list(state.flows.values()):
        if flow.lease_until > now or flow.handover is not None:
            continue
        records = state.ledger.of_flow(flow.id)
        if not any(entry.state in ledger.PENDING for entry in records):
            del state.flows[flow.id]
            state.trace("lease_expired", flow.id)
