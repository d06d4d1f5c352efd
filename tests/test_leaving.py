"""Test that a stop ends in time even if no sibling can take the flows over."""

import tests.wire as wires
from ebonystile.core.calls import events, progress, sidecar

STOP_MS = 30_000
"""Time that common supervisors give a process between SIGTERM and SIGKILL, in ms."""


def stop(wire, homes):
    """Make sidecars leave as SIGTERM does, without a change of the view."""
    for home in homes:
        wire.post(home, events.Leave("SIGTERM"))


def kill_callers(wire):
    """End the callers' processes without closing their flows."""
    wire.callers.clear()


def test_abandoned_flow_does_not_delay_a_stop_of_all_upstreams():
    """An abandoned flow must not keep its home running when all upstreams stop at once."""
    wire = wires.make_service(count=4)
    caller = wire.add_caller()
    assert wire.run(2_000, lambda: caller.token)
    homes = list(wire.sidecars.values())
    kill_callers(wire)
    stop(wire, homes)
    assert wire.run(STOP_MS, lambda: all(sidecar.is_drained(h.core) for h in homes))


def test_abandoned_flow_does_not_delay_a_stop_of_the_last_upstream():
    """An abandoned flow must not keep the only upstream of a service running."""
    wire = wires.make_service(count=1)
    caller = wire.add_caller()
    assert wire.run(2_000, lambda: caller.token)
    (home,) = wire.sidecars.values()
    kill_callers(wire)
    stop(wire, [home])
    assert wire.run(STOP_MS, lambda: sidecar.is_drained(home.core))


def test_idle_flow_waits_for_an_upstream_that_starts_a_minute_later():
    """A flow with heartbeats must be kept for a successor, not dropped and reopened."""
    wire = wires.make_service(count=1)
    caller = wire.add_caller()
    assert wire.run(2_000, lambda: caller.token)
    (old,) = wire.sidecars.values()
    stop(wire, [old])
    wire.run(60_000)
    assert not sidecar.is_drained(old.core)
    new = wire.add_sidecar("ledger-new", 300)
    wire.publish({wires.SERVICE: [old, new]}, leaving={old.name})
    assert wire.run(10_000, lambda: sidecar.is_drained(old.core))
    request = caller.request("report", b"r", wire.now + 5_000, False, wire.now)
    assert wire.run(5_000, lambda: caller.outcomes)
    assert [o.outcome for o in caller.outcomes] == [progress.Outcome.ANSWERED]
    assert new.runs[request] == 1
    assert wire.traces_of("opened") == [old.name]


def test_feed_goes_on_while_every_sibling_refuses_to_take_its_flow():
    """A feed must not stop while its home offers the flow to siblings that all refuse it."""
    wire = wires.make_service(count=3)
    caller = wire.add_caller()
    feed = caller.subscribe("spans", 900, wire.now)
    wire.run(500)
    stop(wire, wire.sidecars.values())
    wire.run(3_000)
    seen = caller.subscriptions[feed].position
    wire.run(20_000)
    events_per_s = 1_000 / wires.FEED_EVERY_MS
    assert caller.subscriptions[feed].position > seen + 15 * events_per_s
