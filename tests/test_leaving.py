"""Show that a stop ends in its bound, also where no sibling is left to take the flows over."""

import tests.wire as wires
from ebonystile.core.calls import events, progress, sidecar

STOP_MS = 30_000
"""Time that common supervisors give a process between SIGTERM and SIGKILL, in ms."""


def stop(wire, homes):
    """Tell sidecars to leave as SIGTERM does; nothing is said in any list."""
    for home in homes:
        wire.post(home, events.Leave("SIGTERM"))


def expire_leases_of_the_gone(wire):
    """Let the last caller's process end without a word; what it sends and hears is lost."""
    wire.callers.clear()


def test_flow_of_a_caller_that_is_gone_does_not_hold_a_stop_of_all_upstreams():
    """A caller's process ends without closing its flow, as a repeated open may leave behind too.

    Then every upstream of the service is stopped at once. Nobody can take the flow and nobody
    wants it, yet its home went on asking siblings that are leaving as well until it was killed.
    """
    wire = wires.make_service(count=4)
    caller = wire.add_caller()
    assert wire.run(2_000, lambda: caller.token)
    homes = list(wire.homes.values())
    expire_leases_of_the_gone(wire)
    stop(wire, homes)
    assert wire.run(STOP_MS, lambda: all(sidecar.is_drained(h.core) for h in homes))


def test_flow_of_a_caller_that_is_gone_does_not_hold_the_last_upstream():
    """The only upstream of a service is stopped while an abandoned flow lives there."""
    wire = wires.make_service(count=1)
    caller = wire.add_caller()
    assert wire.run(2_000, lambda: caller.token)
    (home,) = wire.homes.values()
    expire_leases_of_the_gone(wire)
    stop(wire, [home])
    assert wire.run(STOP_MS, lambda: sidecar.is_drained(home.core))


def test_idle_flow_waits_for_an_upstream_that_starts_a_minute_later():
    """The only upstream is told to leave, and its successor comes up a minute after that.

    The caller says nothing meanwhile but its heartbeats. Its flow is handed over, not dropped: the
    next request runs at the successor, without the flow having been opened anew.
    """
    wire = wires.make_service(count=1)
    caller = wire.add_caller()
    assert wire.run(2_000, lambda: caller.token)
    (old,) = wire.homes.values()
    stop(wire, [old])
    wire.run(60_000)
    assert not sidecar.is_drained(old.core)
    new = wire.add_home("ledger-new", 300)
    wire.publish({wires.SERVICE: [old, new]}, leaving={old.name})
    assert wire.run(10_000, lambda: sidecar.is_drained(old.core))
    request = caller.request("report", b"r", wire.now + 5_000, False, wire.now)
    assert wire.run(5_000, lambda: caller.outcomes)
    assert [o.outcome for o in caller.outcomes] == [progress.Outcome.ANSWERED]
    assert new.runs[request] == 1
    assert wire.traces_of("opened") == [old.name]


def test_feed_goes_on_while_every_sibling_refuses_to_take_its_flow():
    """All upstreams are stopped at once and a crew's feed has nowhere to go.

    Its home keeps asking the others. Were the flow held for that, the crew would see nothing more
    although the upstream still has events for it.
    """
    wire = wires.make_service(count=3)
    caller = wire.add_caller()
    feed = caller.subscribe("spans", 900, wire.now)
    wire.run(500)
    stop(wire, wire.homes.values())
    wire.run(3_000)
    seen = caller.subscriptions[feed].position
    wire.run(20_000)
    events_per_s = 1_000 / wires.FEED_EVERY_MS
    assert caller.subscriptions[feed].position > seen + 15 * events_per_s
