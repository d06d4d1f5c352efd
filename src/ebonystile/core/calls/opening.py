"""Handle opens: become the flow's home, or forward the open to another sidecar."""

from ebonystile.caller import messages as caller_messages
from ebonystile.core import view
from ebonystile.core.calls import flows, siblings, sidecar_state
from ebonystile.peer import messages

MIN_OPEN_RETRY_MS = 250
"""Shortest retry delay of a refused open; jitter adds up to as much."""

INCARNATION_BYTES = 8


def new_incarnation(state: sidecar_state.SidecarState) -> int:
    """Return a random number that identifies a new home and cannot be guessed."""
    return int.from_bytes(state.randomness.randbytes(INCARNATION_BYTES))


def on_open(
    state: sidecar_state.SidecarState,
    forward: messages.Forward,
    message: caller_messages.Open,
    now: int,
) -> None:
    """Accept, forward or refuse an open; a repeated one gets the same token again."""
    flow = state.flows.get(message.flow)
    if flow is not None and flow.service == message.service:
        flow.caller = forward.caller
        flow.via = forward.via
        if flow.moved_to is not None:
            state.forward_to(flow.moved_to, forward)
        elif not flow.is_fenced:
            send_opened(state, flow, message.attempt)
        return
    chosen = siblings.pick_sibling(state, forward, message, now) if flow is None else None
    if chosen is not None:
        state.trace("passed", message.flow, target=chosen.name)
        state.forward_to(chosen, forward)
        return
    if (
        flow is None
        and state.can_start(message.service)
        and len(state.flows) < state.limits.max_flows
    ):
        send_opened(state, accept_flow(state, forward, message, now), message.attempt)
        return
    if not state.forward_to_next(forward, message.flow, message.service):
        retry_at = now + int(MIN_OPEN_RETRY_MS * (1 + state.randomness.random()))
        reason = "no upstream of the service takes new flows"
        refusal = caller_messages.OpenRefused(message.flow, message.attempt, reason, retry_at)
        state.send_to_caller(forward.caller, forward.via, refusal)


def accept_flow(
    state: sidecar_state.SidecarState,
    forward: messages.Forward,
    message: caller_messages.Open,
    now: int,
) -> flows.Flow:
    """Make this sidecar the flow's home."""
    incarnation = new_incarnation(state)
    flow = flows.Flow(
        message.flow,
        message.service,
        view.Token(state.key, incarnation, view.key_of(message.service)).pack(),
        forward.caller,
        forward.via,
        now + state.limits.flow_lease_ms,
        (incarnation,),
    )
    state.flows[flow.id] = flow
    state.balance.idle_flows.add(flow.id, now)
    state.trace("opened", flow.id, service=flow.service)
    return flow


def send_opened(state: sidecar_state.SidecarState, flow: flows.Flow, attempt: int) -> None:
    """Send the caller its token; the answer is no larger than the open, against amplification."""
    opened = caller_messages.Opened(
        flow.id, flow.token, attempt, flow.lease_until, flow.honoured_incarnations
    )
    state.send_to_flow(flow, opened)
