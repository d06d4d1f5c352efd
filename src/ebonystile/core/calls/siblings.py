"""Exchange load reports with sibling sidecars, and choose siblings for opens and handovers."""

import dataclasses

from ebonystile.caller import messages as caller_messages
from ebonystile.core import view
from ebonystile.core.calls import effects, events, sidecar_state
from ebonystile.core.placing import load, placement
from ebonystile.peer import messages


def own_load(state: sidecar_state.SidecarState, now: int) -> messages.LoadReport:
    """Return the load of the upstream beside this sidecar."""
    own = state.view.endpoints.get(state.key)
    zone = own.zone if own else ""
    report = state.balance.make_report(
        state.name, state.incarnation, zone, state.slots, len(state.flows), now
    )
    return dataclasses.replace(
        report,
        connections=state.limits.max_flows,
        leaving=bool(state.leaving_reason) or not state.is_caught_up,
    )


def report_load(state: sidecar_state.SidecarState, now: int) -> None:
    """Send a load report to the siblings if one is due."""
    balance = state.balance
    if not balance.receivers or not balance.reporter.can_report(now, bool(state.leaving_reason)):
        return
    own = own_load(state, now)
    if balance.reporter.record_if_due(own, now):
        state.emit(effects.SendLoad(balance.receivers, own))


def on_view(state: sidecar_state.SidecarState) -> None:
    """Update the receivers of load reports, and drop the loads of former siblings.

    Leaving siblings get reports too, since they forward every open by load.
    """
    balance = state.balance
    names: set[str] = set()
    receivers: dict[view.Address, None] = {}
    for service in sorted(state.served_services):
        others = [u for u in state.view.services[service].upstreams if u.key != state.key]
        names.update(u.name for u in others)
        for each in balance.reporter.receivers(state.key, others):
            receivers[each.address] = None
    balance.receivers = tuple(receivers)
    balance.table.retain(names)


def on_load_report(state: sidecar_state.SidecarState, event: events.LoadReported, now: int) -> None:
    """Record a sibling's load report."""
    state.balance.table.record_report(event.report, now)


def on_health(state: sidecar_state.SidecarState, event: events.UpstreamHealth, now: int) -> None:
    """Record the result of a health check of the own upstream.

    A good result counts only as the answer to a probe of a suspected upstream; otherwise the
    results of requests are better evidence. When the upstream reports slow start again, its ramp
    restarts.
    """
    balance = state.balance
    if event.in_slow_start and not balance.in_slow_start:
        balance.ramp = load.Ramp(now, balance.policy.ramp_ms)
    balance.in_slow_start = event.in_slow_start
    if not balance.suspicion.is_suspected(state.name):
        if not event.ok:
            record_result(state, False, now)
    elif balance.suspicion.due_probes(now) and balance.suspicion.record_probe(
        state.name, event.ok, now
    ):
        state.trace("trusted")


def record_result(state: sidecar_state.SidecarState, succeeded: bool, now: int) -> None:
    """Record the result of a request or a health check of the own upstream."""
    if succeeded:
        state.balance.suspicion.record_success(state.name, now)
    elif state.balance.suspicion.record_failure(state.name, now):
        state.trace("suspected")


def suspected(state: sidecar_state.SidecarState, now: int) -> tuple[str, ...]:
    """Return the names of the own upstream, if suspected, and of siblings with stale reports."""
    unresponsive = [
        name
        for name, sibling in list(state.balance.table.siblings.items())
        if now - sibling.received_at > state.balance.table.stale_after_ms
    ]
    own = [state.name] if state.balance.suspicion.is_suspected(state.name) else []
    return tuple(own + sorted(unresponsive))


def pick_sibling(
    state: sidecar_state.SidecarState,
    forward: messages.Forward,
    message: caller_messages.Open,
    now: int,
) -> view.Endpoint | None:
    """Return the sibling to forward an open to, or None to accept it here or follow the ranking.

    Two sidecars with stale reports could forward an open back and forth, so it never returns to a
    visited sidecar, and the number of passes is limited. More than one pass corrects a choice that
    was based on a stale report.
    """
    if (
        len(forward.visited) >= state.balance.policy.max_passes
        or message.service not in state.served_services
    ):
        return None
    choices = [u for u in state.siblings(message.service) if u.key not in forward.visited]
    name = placement.choose(
        state.balance.policy.placement_policy,
        message.flow,
        own_load(state, now),
        state.balance.table,
        choices,
        now,
        state.randomness,
    )
    if name is None:
        return None
    state.balance.table.record_sent(name, now)
    return next(u for u in choices if u.name == name)


def least_loaded(
    state: sidecar_state.SidecarState, choices: list[view.Endpoint], now: int
) -> view.Endpoint | None:
    """Return the choice with the fewest flows for its weight, and count one more flow there.

    Only choices with a known load and free capacity are compared; None if there are none. Flows
    sent since the last report count, so that one process does not overload one sibling; of several
    processes that leave at the same time, each adds at most the share that it would fill alone.
    """
    table = state.balance.table
    candidates = [
        (candidate.flows, candidate.work, choice.name, choice)
        for choice in choices
        if (candidate := table.candidate(choice.name, now)) is not None
        and candidate.has_capacity
        and not candidate.suspected
    ]
    if not candidates:
        return None
    chosen = min(candidates, key=lambda s: s[:3])[3]
    table.record_sent(chosen.name, now)
    return chosen
