"""Exchange loads with the sibling sidecars, and pass opens to them by load."""

import dataclasses

from ebonystile.caller import messages as caller_messages
from ebonystile.core import view
from ebonystile.core.calls import effects, events, sidecar_state
from ebonystile.core.placing import load, placement
from ebonystile.peer import messages


def own_load(home: sidecar_state.SidecarState, now: int) -> messages.LoadReport:
    """Return the load of the upstream beside this sidecar."""
    own = home.view.endpoints.get(home.key)
    zone = own.zone if own else ""
    report = home.balance.make_report(
        home.name, home.incarnation, zone, home.slots, len(home.flows), now
    )
    return dataclasses.replace(
        report, connections=home.limits.flows, leaving=bool(home.leaving) or not home.caught_up
    )


def report(home: sidecar_state.SidecarState, now: int) -> None:
    """Tell the siblings the load if it is time to."""
    balance = home.balance
    if not balance.receivers or not balance.reporter.can_report(now, bool(home.leaving)):
        return
    own = own_load(home, now)
    if balance.reporter.record_if_due(own, now):
        home.emit(effects.SendLoad(balance.receivers, own))


def on_view(home: sidecar_state.SidecarState) -> None:
    """Work out whom to report to, and forget who is no sibling any more.

    Leaving siblings are told too: they pass every open on and need to know where to.
    """
    balance = home.balance
    names: set[str] = set()
    receivers: dict[view.Address, None] = {}
    for service in sorted(home.serves):
        others = [u for u in home.view.services[service].upstreams if u.key != home.key]
        names.update(u.name for u in others)
        for each in balance.reporter.receivers(home.key, others):
            receivers[each.address] = None
    balance.receivers = tuple(receivers)
    balance.table.retain(names)


def on_heard(home: sidecar_state.SidecarState, event: events.LoadHeard, now: int) -> None:
    """Take a sibling's report."""
    home.balance.table.record_report(event.report, now)


def on_health(home: sidecar_state.SidecarState, event: events.UpstreamHealth, now: int) -> None:
    """Take what the upstream says of its health, or its silence.

    A good word only counts as the answer to a probe of a suspected upstream; otherwise what its
    requests show is better evidence. A new cold spell starts the ramp anew.
    """
    balance = home.balance
    if event.cold and not balance.is_cold:
        balance.ramp = load.Ramp(now, balance.policy.ramp_ms)
    balance.is_cold = event.cold
    if not balance.suspicion.is_suspected(home.name):
        if not event.ok:
            note_result(home, False, now)
    elif balance.suspicion.due_probes(now) and balance.suspicion.record_probe(
        home.name, event.ok, now
    ):
        home.trace("trusted")


def note_result(home: sidecar_state.SidecarState, good: bool, now: int) -> None:
    """Note how a request or a check of the upstream went."""
    if good:
        home.balance.suspicion.record_success(home.name, now)
    elif home.balance.suspicion.record_failure(home.name, now):
        home.trace("suspected")


def suspects(home: sidecar_state.SidecarState, now: int) -> tuple[str, ...]:
    """Return who is suspected: the own upstream, and siblings that have fallen silent."""
    silent = [
        name
        for name, sibling in list(home.balance.table.siblings.items())
        if now - sibling.received_at > home.balance.table.stale_after_ms
    ]
    own = [home.name] if home.balance.suspicion.is_suspected(home.name) else []
    return tuple(own + sorted(silent))


def pick(
    home: sidecar_state.SidecarState,
    forward: messages.Forward,
    message: caller_messages.Open,
    now: int,
) -> view.Endpoint | None:
    """Return the sibling that should take an open, or None to keep it or to walk the ranking.

    Two sidecars that each believe the other idle would hand an open to and fro, and its caller
    would wait. So it never comes back to one that has passed it on, and is passed a few times at
    most; the second and third pass mend what an old report got wrong.
    """
    if len(forward.visited) >= home.balance.policy.max_passes or message.service not in home.serves:
        return None
    choices = [u for u in home.siblings(message.service) if u.key not in forward.visited]
    name = placement.choose(
        home.balance.policy.placement_policy,
        message.flow,
        own_load(home, now),
        home.balance.table,
        choices,
        now,
        home.randomness,
    )
    if name is None:
        return None
    home.balance.table.record_sent(name, now)
    return next(u for u in choices if u.name == name)


def lightest(
    home: sidecar_state.SidecarState, choices: list[view.Endpoint], now: int
) -> view.Endpoint | None:
    """Return the choice that holds the fewest flows for its weight, and count one more there.

    Only those whose load is known and that may take a flow are compared; None if there are none.
    Flows sent since the last report count, so one process cannot crowd one sibling; of several
    processes that leave at once, each adds at most the share that it would fill alone.
    """
    table = home.balance.table
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
