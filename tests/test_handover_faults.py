"""Test that faults during a handover neither create two homes nor lose or close a flow."""

import pytest

import tests.wire as wires
from ebonystile.core import view
from ebonystile.core.calls import flows, progress, sidecar
from ebonystile.peer import transfer

FLOW = b"f" * 16


def run_until(wire, condition, within=20_000):
    assert wire.run(within, condition), "the condition was not met in time"


def home_of(wire, caller):
    """Return the home that the caller's token names."""
    key = view.unpack_token(caller.token).upstream
    return next(h for h in wire.sidecars.values() if view.key_of(h.name) == key)


def opened_twice(wire):
    """Return a caller, its home, and an idle second home whose answer is still on the way."""
    late = []

    def message_delays(source, _, kind):
        if kind == "Return" and not late:
            late.append(source)
        return [5_000] if kind == "Return" and source in late else [wires.HOP_MS]

    wire.message_delays = message_delays
    caller = wire.add_caller()
    run_until(wire, lambda: caller.token)
    return caller, home_of(wire, caller), wire.sidecars[late[0]]


@pytest.mark.parametrize("seed", range(6))
def test_handover_of_an_idle_second_home_does_not_change_the_callers_token(seed):
    """The handover of an idle second home must not change the caller's token.

    With that token a copy of the request would reach a home without its record and run twice.
    """
    wire = wires.make_service(count=3, seed=seed)
    caller, home, idle = opened_twice(wire)
    request = caller.request("slow/1500", b"report", wire.now + 8_000, False, wire.now)
    wire.run(100)
    wire.publish({wires.SERVICE: list(wire.sidecars.values())}, leaving={idle.name})
    run_until(wire, lambda: caller.outcomes)
    wire.run(10_000)
    assert caller.outcomes[0].outcome is progress.Outcome.ANSWERED
    assert wire.all_runs[request] == 1
    assert caller.flow in home.core.flows


@pytest.mark.parametrize("kind", ["Opened", "Return"])
def test_late_answer_to_an_open_does_not_close_the_moved_flow(kind):
    """A late copy of `Opened` after a handover must not make the caller close its flow."""
    wire = wires.make_service(count=2)
    wire.message_delays = lambda _s, _t, k: (
        [1, 3_000] if k == kind and wire.now < 50 + wires.START else [1]
    )
    caller = wire.add_caller()
    run_until(wire, lambda: caller.token)
    old = home_of(wire, caller)
    wire.publish({wires.SERVICE: list(wire.sidecars.values())}, leaving={old.name})
    run_until(wire, lambda: home_of(wire, caller) is not old)
    wire.run(6_000)
    assert caller.flow in home_of(wire, caller).core.flows


def test_late_open_does_not_close_the_moved_flow():
    """A late copy of `Open` at the old home must not make the caller close the moved flow."""
    wire = wires.make_service(count=2)

    def message_delays(_source, _target, kind):
        if kind == "Open":
            return [1, 700]
        return [2_000] if kind == "Moved" else [1]

    wire.message_delays = message_delays
    caller = wire.add_caller()
    run_until(wire, lambda: caller.token)
    old = home_of(wire, caller)
    wire.publish({wires.SERVICE: list(wire.sidecars.values())}, leaving={old.name})
    wire.run(6_000)
    assert home_of(wire, caller) is not old
    assert caller.flow in home_of(wire, caller).core.flows


def test_target_that_dies_after_the_transfer_was_sent_does_not_hold_the_flow_for_ever():
    """A dead target that is still listed must not keep the flow fenced without end.

    The caller reopens the flow: its feed goes on and its next request is answered.
    """
    wire = wires.make_service(count=3, handover_timeout_ms=2_000)
    caller = wire.add_caller()
    feed = caller.subscribe("spans", 900, wire.now)
    wire.run(500)
    old = home_of(wire, caller)
    wire.message_delays = lambda _s, _t, kind: (
        [] if kind == "TransferReply" and wire.traces_of("adopted") else [1]
    )
    homes = list(wire.sidecars.values())
    wire.publish({wires.SERVICE: homes}, leaving={old.name})
    run_until(wire, lambda: wire.traces_of("adopted"))
    target = next(h for h in homes if h.name == wire.traces_of("adopted")[0])
    wire.kill(target)
    wire.message_delays = lambda *_: [1]
    seen = caller.subscriptions[feed].position
    wire.run(12_000)
    request = caller.request("report", b"r", wire.now + 5_000, False, wire.now)
    wire.run(6_000)
    assert caller.subscriptions[feed].position > seen + 50
    assert [o.outcome for o in caller.outcomes if o.request == request] == [
        progress.Outcome.ANSWERED
    ]


@pytest.mark.parametrize("seed", range(3))
def test_target_that_cannot_answer_past_the_deadline_stays_the_only_home(seed):
    """A target whose replies are lost until after the deadline must not refuse the transfer then.

    The old home would hand the flow to a third sidecar, and two homes would run its requests.
    """
    wire = wires.make_service(count=3, seed=seed, handover_timeout_ms=2_000)
    caller = wire.add_caller()
    wire.run(200)
    old = home_of(wire, caller)
    wire.message_delays = lambda _s, _t, kind: (
        [] if kind == "TransferReply" and wire.traces_of("adopted") else [1]
    )
    wire.publish({wires.SERVICE: list(wire.sidecars.values())}, leaving={old.name})
    run_until(wire, lambda: wire.traces_of("adopted"))
    wire.run(4_000)
    wire.message_delays = lambda *_: [1]
    wire.run(4_000)
    assert len(wire.traces_of("adopted")) == 1


def transfer_of(home, incarnation, honoured_incarnations):
    """Return a transfer to `home` from another sidecar."""
    return transfer.Transfer(
        b"t" * 16,
        incarnation,
        wires.START + 60_000,
        FLOW,
        wires.SERVICE,
        honoured_incarnations,
        ("10.0.0.3", 1),
        ("10.0.0.2", 100),
        0,
        0,
        (),
        (),
    )


def home_with_flow():
    """Return the core of a flow's home, with incarnation 7."""
    wire = wires.make_service(count=3)
    core = next(iter(wire.sidecars.values())).core
    token = view.Token(core.key, 7, view.key_of(wires.SERVICE)).pack()
    flow = flows.Flow(FLOW, wires.SERVICE, token, ("10.0.0.3", 1), ("", 1), wire.now + 9_000, (7,))
    core.flows[FLOW] = flow
    return core, flow, core.siblings(wires.SERVICE)[0]


@pytest.mark.parametrize(
    ("state", "honoured_incarnations", "accepted", "kept"),
    [
        ("idle", (5,), True, {5, 7}),
        ("undecided", (5,), False, {7}),
        ("undecided", (5, 7), True, {5, 7}),
        ("moved", (5,), True, {5}),
        ("moved", (5, 7), True, {5, 7}),
    ],
)
def test_transfer_to_a_sidecar_that_has_the_flow(state, honoured_incarnations, accepted, kept):
    """A sidecar that accepts a second home of a flow must not honour tokens of a fenced one.

    The flow of the fenced home may have moved, so those tokens would be valid at two sidecars.
    """
    core, flow, sibling = home_with_flow()
    if state == "undecided":
        flow.handover = flows.Handover(b"h" * 16, sibling, wires.START + 60_000)
        flow.handover.committed = True
    if state == "moved":
        flow.moved_to = sibling
    message = transfer_of(core, core.incarnation, honoured_incarnations)
    decided = sidecar.decide(core, wires.events.TransferArrived(1, message), wires.START)
    reply = next(e.reply for e in decided if isinstance(e, wires.effects.AnswerTransfer))
    assert reply.accepted == accepted
    known = set(core.flows[FLOW].honoured_incarnations)
    assert kept <= known
    assert {5, 7} & known == kept
    assert core.flows[FLOW].is_fenced == (state == "undecided" and not accepted)


def test_flow_with_a_large_answer_moves_once_the_answer_has_arrived():
    """An answer too large for a transfer must neither be lost nor prevent the handover.

    The caller receives it from the old home, later than the handover's deadline; then the flow
    moves.
    """
    wire = wires.make_service(count=2, handover_timeout_ms=1_000)
    lost_until = wires.START + 4_000
    wire.message_delays = lambda _s, _t, k: (
        [] if k == "AnswerPart" and wire.now < lost_until else [1]
    )
    caller = wire.add_caller()
    wire.run(100)
    request = caller.request("answers/3000000", b"", wire.now + 30_000, True, wire.now)
    run_until(wire, lambda: wire.traces_of("answered"))
    old = home_of(wire, caller)
    wire.publish({wires.SERVICE: list(wire.sidecars.values())}, leaving={old.name})
    run_until(wire, lambda: caller.outcomes)
    assert len(caller.outcomes[0].body) == 3_000_000
    assert caller.outcomes[0].request == request
    run_until(wire, lambda: sidecar.is_drained(old.core), 3_000)
    assert wire.traces_of("handover_lost") == []
