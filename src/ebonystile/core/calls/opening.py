"""Give a flow a home here, or pass the open on to a sibling."""

from ebonystile.caller import messages as caller_messages
from ebonystile.core import view
from ebonystile.core.calls import flows, siblings, sidecar_state
from ebonystile.peer import messages

RETRY_OPEN = 250
"""Shortest time, in ms, after which a caller is asked to open again; up to twice that."""

INCARNATION_BYTES = 8


def new_incarnation(home: sidecar_state.SidecarState) -> int:
    """Return the number of a new home; nobody can guess it."""
    return int.from_bytes(home.randomness.randbytes(INCARNATION_BYTES))


def on_open(
    home: sidecar_state.SidecarState,
    forward: messages.Forward,
    message: caller_messages.Open,
    now: int,
) -> None:
    """Answer an open with a token, here or at a sibling; repeating it changes nothing."""
    flow = home.flows.get(message.flow)
    if flow is not None and flow.service == message.service:
        flow.caller = forward.caller
        flow.via = forward.via
        if flow.moved_to is not None:
            home.forward_to(flow.moved_to, forward)
        elif not flow.is_fenced:
            tell_opened(home, flow, message.attempt)
        return
    chosen = siblings.pick(home, forward, message, now) if flow is None else None
    if chosen is not None:
        home.trace("passed", message.flow, target=chosen.name)
        home.forward_to(chosen, forward)
        return
    if flow is None and home.can_start(message.service) and len(home.flows) < home.limits.flows:
        tell_opened(home, take(home, forward, message, now), message.attempt)
        return
    if not home.pass_on(forward, message.flow, message.service):
        retry_at = now + int(RETRY_OPEN * (1 + home.randomness.random()))
        reason = "no upstream of the service takes new flows"
        refusal = caller_messages.OpenRefused(message.flow, message.attempt, reason, retry_at)
        home.send_to_caller(forward.caller, forward.via, refusal)


def take(
    home: sidecar_state.SidecarState,
    forward: messages.Forward,
    message: caller_messages.Open,
    now: int,
) -> flows.Flow:
    """Make this sidecar the flow's home."""
    incarnation = new_incarnation(home)
    flow = flows.Flow(
        message.flow,
        message.service,
        view.Token(home.key, incarnation, view.key_of(message.service)).pack(),
        forward.caller,
        forward.via,
        now + home.limits.flow_lease,
        (incarnation,),
    )
    home.flows[flow.id] = flow
    home.balance.idle_flows.add(flow.id, now)
    home.trace("opened", flow.id, service=flow.service)
    return flow


def tell_opened(home: sidecar_state.SidecarState, flow: flows.Flow, attempt: int) -> None:
    """Tell the caller its token. The answer is no larger than the open that asked."""
    opened = caller_messages.Opened(
        flow.id, flow.token, attempt, flow.lease_until, flow.honoured_incarnations
    )
    home.send_to_flow(flow, opened)
