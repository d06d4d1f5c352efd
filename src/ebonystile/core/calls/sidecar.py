"""Implement the sidecar's state machine: `decide(home, event, now)` returns the effects.

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


def decide(home: sidecar_state.SidecarState, event, now: int) -> list[effects.Effect]:
    """Process one event at time `now` (ms) and return the effects, in order."""
    notice_pause(home, now)
    on_event(event, home, now)
    siblings.report(home, now)
    return home.take_effects()


def notice_pause(home: sidecar_state.SidecarState, now: int) -> None:
    """Refuse new work after a pause of the process until a view has been confirmed.

    After a pause the view may be stale: the upstream may serve another service by now, and a
    request would reach the wrong one. Ticks come at least every `events.TICK_MS`, so a long gap
    between events means a pause; `ViewChanged` ends this state.
    """
    if now - home.last_tick > home.limits.pause_bound and home.caught_up:
        home.caught_up = False
        home.trace("woke", gap=now - home.last_tick)
    home.last_tick = max(home.last_tick, now)


@functools.singledispatch
def on_event(event, home: sidecar_state.SidecarState, now: int) -> None:
    """Process one event."""
    raise TypeError(f"no handler for event {type(event).__name__}")


@on_event.register
def _(event: events.Arrived, home, now):
    try:
        message = caller_messages.FROM_CALLER.decode(event.forward.payload)
    except errors.DatagramError as error:
        home.trace("dropped", reason=error.reason)
        return
    if isinstance(message, caller_messages.Open):
        opening.on_open(home, event.forward, message, now)
        return
    route(home, event.forward, message, now)


@on_event.register
def _(event: events.Finished, home, now):
    requests.finish(home, event, now)


@on_event.register
def _(event: events.Failed, home, now):
    requests.fail(home, event, now)


@on_event.register
def _(event: events.FeedBatch, home, now):
    feeds.on_batch(home, event, now)


@on_event.register
def _(event: events.FeedFailed, home, now):
    feeds.on_failed(home, event, now)


@on_event.register
def _(event: events.TransferArrived, home, now):
    handover.on_arrived(home, event, now)
    feeds.poll(home, now)


@on_event.register
def _(event: events.TransferAnswered, home, now):
    handover.on_answered(home, event, now)


@on_event.register
def _(event: events.TransferFailed, home, now):
    handover.on_failed(home, event, now)


@on_event.register
def _(event: events.ViewChanged, home, now):
    if event.view.revision < home.view.revision:
        return
    before = home.serves
    home.view = event.view
    home.serves = event.view.services_of(home.name)
    siblings.on_view(home)
    home.caught_up = True
    lost = set(before - home.serves)
    if lost:
        reason = "the upstream no longer serves the service"
        requests.give_up_queued(home, lost, reason, now)
        home.trace("services_lost", services=",".join(sorted(lost)))
    home.moving = True
    own = event.view.endpoints.get(home.key)
    if own is not None:
        follow_leaving(home, own.leaving, now)
    handover.advance(home, now)


@on_event.register
def _(event: events.Leave, home, now):
    leave(home, event.reason, now)
    home.leaving_by_view = False
    handover.advance(home, now)


@on_event.register
def _(event: events.LoadHeard, home, now):
    siblings.on_heard(home, event, now)


@on_event.register
def _(event: events.UpstreamHealth, home, now):
    siblings.on_health(home, event, now)


@on_event.register
def _(event: events.UpstreamLoad, home, now):
    home.balance.reported_load.record_report(event.work, now)


@on_event.register
def _(event: events.Tick, home, now):
    requests.expire(home, now)
    requests.start_waiting(home, now)
    expire_flows(home, now)
    handover.expire(home, now)
    handover.advance(home, now)
    feeds.resend(home, now)
    feeds.poll(home, now)


def leave(home: sidecar_state.SidecarState, reason: str, now: int) -> None:
    """Refuse new and queued requests from now on; running requests go on."""
    if home.leaving:
        return
    home.leaving = f"the upstream is leaving: {reason}"
    home.moving = True
    home.trace("leaving", reason=reason)
    requests.give_up_queued(home, None, home.leaving, now)


def follow_leaving(home: sidecar_state.SidecarState, leaving: bool, now: int) -> None:
    """Leave or stay as the view says, unless the process itself has decided to leave."""
    if leaving and not home.leaving:
        leave(home, "the configuration or the list says so", now)
        home.leaving_by_view = True
    elif not leaving and home.leaving_by_view:
        home.leaving = ""
        home.leaving_by_view = False
        home.trace("staying")


def drained(home: sidecar_state.SidecarState) -> bool:
    """Return whether a leaving sidecar has no request to finish and no flow to hand over."""
    if not home.leaving or home.slots.running:
        return False
    return all(flow.moved_to is not None or flow.lost for flow in home.flows.values())


def route(
    home: sidecar_state.SidecarState,
    forward: messages.Forward,
    message: caller_messages.FromCaller,
    now: int,
) -> None:
    """Process a message if its flow's home is here; else forward it towards that home.

    The service, the flow and the home's incarnation must all match. Otherwise a reused address or
    a balancer with a stale view could deliver a request to an upstream of another service.
    """
    flow = home.flows.get(message.flow)
    token = view.unpack_token(message.token)
    if not matches(flow, token, message.service):
        pass_on(home, forward, message)
    elif flow.moved_to is not None:
        if flow.moved_to.key not in forward.visited:
            home.forward_to(flow.moved_to, forward)
    elif flow.is_fenced:
        on_fenced(home, flow, forward, message, now)
    else:
        flow.caller = forward.caller
        flow.via = forward.via
        flow.lease_until = now + home.limits.flow_lease
        on_message(message, home, flow, now)
        if flow.token != message.token:
            handover.tell_home(home, flow)


def on_fenced(
    home: sidecar_state.SidecarState,
    flow: flows.Flow,
    forward: messages.Forward,
    message: caller_messages.FromCaller,
    now: int,
) -> None:
    """Answer a message of a fenced flow from its records; no new request may start."""
    request = getattr(message, "request", b"")
    if home.ledger.get(flow.id, request) is not None:
        flow.caller = forward.caller
        flow.via = forward.via
        requests.on_message(message, home, flow, now)
    elif flow.lost:
        pass_on(home, forward, message)
    else:
        # The target may already be the home; the caller's next copy is routed by the result.
        home.trace("held", flow.id, reason="handover under way")


def matches(flow: flows.Flow | None, token: view.Token | None, service: str) -> bool:
    """Return whether the token was issued for this flow and is still valid."""
    return (
        flow is not None
        and token is not None
        and flow.service == service
        and token.service == view.key_of(service)
        and token.incarnation in flow.honoured_incarnations
    )


def pass_on(
    home: sidecar_state.SidecarState, forward: messages.Forward, message: caller_messages.FromCaller
) -> None:
    """Forward a message to the next sidecar, or send `UnknownFlow` if all have been tried."""
    if home.pass_on(forward, message.flow, message.service):
        return
    request = getattr(message, "request", b"")
    home.trace("unknown_flow", message.flow, request)
    unknown = caller_messages.UnknownFlow(message.flow, request, "no upstream holds the flow")
    home.send_to_caller(forward.caller, forward.via, unknown)


@functools.singledispatch
def on_message(message, home: sidecar_state.SidecarState, flow: flows.Flow, now: int) -> None:
    """Process a message of a flow whose home is here; most concern a request."""
    requests.on_message(message, home, flow, now)


@on_message.register
def _(message: caller_messages.Subscribe, home, flow, now):
    feeds.on_subscribe(home, flow, message, now)


@on_message.register
def _(message: caller_messages.Acknowledge, home, flow, now):
    if message.request in flow.feeds:
        feeds.on_acknowledge(home, flow, message, now)
    else:
        requests.on_message(message, home, flow, now)


@on_message.register
def _(message: caller_messages.Heartbeat, home, flow, now):
    handover.tell_home(home, flow)


@on_message.register
def _(message: caller_messages.Close, home, flow, now):
    if message.token != flow.token:
        # The close is for a second home that was merged into this one, or predates a handover.
        # Closing the flow would end it while its caller still uses it; its lease ends it later.
        return
    flow.feeds.clear()
    for entry in home.ledger.of_flow(flow.id):
        if home.slots.withdraw(entry.key):
            requests.give_up(home, entry, "the flow was closed", now)
    del home.flows[flow.id]
    home.trace("closed", flow.id)
    home.send_to_flow(flow, caller_messages.Closed(flow.id))


def expire_flows(home: sidecar_state.SidecarState, now: int) -> None:
    """Remove the flows with an expired lease and no pending request."""
    if now - home.leases_checked_at < LEASE_CHECK_MS:
        return
    home.leases_checked_at = now
    for flow in list(home.flows.values()):
        if flow.lease_until > now or flow.handover is not None:
            continue
        records = home.ledger.of_flow(flow.id)
        if not any(entry.state in ledger.PENDING for entry in records):
            del home.flows[flow.id]
            home.trace("lease_expired", flow.id)
