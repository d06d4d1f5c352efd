"""Test requests, uploads, answers, feeds and handovers across all cores of the calls."""

import collections

import pytest

import tests.wire as wires
from ebonystile.core.calls import events, progress, sidecar_state


def outcome_of(wire, caller, request, within=20_000):
    """Return the outcome of a request."""
    wire.run(within, lambda: any(o.request == request for o in caller.outcomes))
    return next(o for o in caller.outcomes if o.request == request)


@pytest.mark.parametrize("size", [0, 10, 5_000, 200_000])
def test_request_and_upload(size):
    wire = wires.make_service()
    caller = wire.add_caller()
    request = caller.request("reports", b"x" * size, wire.now + 10_000, False, wire.now)
    result = outcome_of(wire, caller, request)
    assert result.outcome is progress.Outcome.ANSWERED
    assert result.body == b"done:" + b"x" * min(size, 100)
    assert wire.all_runs[request] == 1


@pytest.mark.parametrize("size", [0, 1200, 1201, 300_000])
def test_answer_in_parts_is_whole(size):
    wire = wires.make_service()
    caller = wire.add_caller()
    request = caller.request(f"answers/{size}", b"", wire.now + 10_000, True, wire.now)
    assert outcome_of(wire, caller, request).body == wire.answer_to(f"answers/{size}", b"")


@pytest.mark.parametrize("seed", range(20))
def test_loss_duplication_and_reordering(seed):
    """Lost, duplicated and reordered datagrams must not lose an answer or cause a second run."""
    wire = wires.make_service(seed=seed)

    def message_delays(*_):
        chance = wire.rng.random()
        copies = 0 if chance < 0.1 else 2 if chance < 0.2 else 1
        return [wire.rng.randrange(1, 40) for _ in range(copies)]

    wire.message_delays = message_delays
    callers = [wire.add_caller() for _ in range(5)]
    sent = [
        (c, c.request("answers/20000", b"y" * 9_000, wire.now + 20_000, False, wire.now))
        for c in callers
    ]
    for caller, request in sent:
        result = outcome_of(wire, caller, request)
        assert result.outcome is progress.Outcome.ANSWERED
        assert len(result.body) == 20_000
        assert wire.all_runs[request] == 1


def test_feed_events_that_overtake_one_another():
    """Events reordered by a slow balancer must not stall the feed or trigger `Subscribe` often."""
    wire = wires.make_service(count=2)
    sent = collections.Counter()

    def message_delays(source, target, kind):
        sent[kind] += 1
        return [7 if kind == "FeedEvent" and sent[kind] % 2 else 1]

    wire.message_delays = message_delays
    caller = wire.add_caller()
    caller.subscribe("spans", 0, wire.now)
    wire.run(8_000)
    newest = (wire.now - wires.FEED_START) // wires.FEED_EVERY_MS
    assert [e.position for e in caller.events] == list(range(1, len(caller.events) + 1))
    assert len(caller.events) >= newest - 10
    assert sent["Subscribe"] < 20


def test_subscriber_that_fell_behind_gets_every_event():
    """A subscriber that is further behind than the source's buffer must still get every event.

    Events polled again for it must not be dropped as the oldest of a full buffer.
    """
    wire = wires.make_service(count=1)
    ahead, behind = wire.add_caller(), wire.add_caller()
    wire.run(500)
    ahead.subscribe("spans", 0, wire.now)
    cut = [True]
    slow = next(a for a, c in wire.callers.items() if c is behind)
    wire.message_delays = lambda s, target, kind: [] if cut[0] and target == slow else [1]
    behind.subscribe("spans", 0, wire.now)
    wire.run(10_000)
    assert len(ahead.events) > sidecar_state.MAX_SOURCE_EVENTS
    cut[0] = False
    wire.run(20_000)
    newest = (wire.now - wires.FEED_START) // wires.FEED_EVERY_MS
    assert [e.position for e in behind.events] == list(range(1, len(behind.events) + 1))
    assert len(behind.events) >= newest - 10


def test_feed_and_requests_survive_replacement_of_every_upstream():
    """A rolling replacement must not lose or repeat a feed's event, nor run a request twice."""
    wire = wires.make_service(count=3)
    caller = wire.add_caller()
    feed = caller.subscribe("spans", 900, wire.now)
    homes = list(wire.sidecars.values())
    reports = []
    for number in range(3):
        homes.append(wire.add_sidecar(f"new-{number}", 300 + number))
        leaver = homes[0]
        wire.publish({wires.SERVICE: homes}, leaving={leaver.name})
        reports.append(caller.request("reports", b"r", wire.now + 20_000, False, wire.now))
        wire.run(3_000)
        assert not leaver.core.slots.running
        assert all(f.moved_to is not None for f in leaver.core.flows.values())
        wire.kill(leaver)
        homes.remove(leaver)
        wire.publish({wires.SERVICE: homes})
        wire.run(2_000)
    positions = [e.position for e in caller.events if e.subscription == feed]
    assert positions == list(range(901, 901 + len(positions)))
    assert len(positions) > 100
    outcomes = {o.request: o for o in caller.outcomes}
    ran = [r for r in reports if outcomes[r].outcome is progress.Outcome.ANSWERED]
    assert all(wire.all_runs[r] == 1 for r in ran)
    assert all(wire.all_runs[r] == 0 for r in set(reports) - set(ran))
    assert caller.reopen_count == 0


def test_sigterm_drains():
    """A request that runs at SIGTERM must be answered before its flow moves."""
    wire = wires.make_service(count=2)
    wire.run_ms = 1_000
    caller = wire.add_caller()
    wire.run(100)
    request = caller.request("reports", b"r", wire.now + 20_000, False, wire.now)
    wire.run(100)
    home = next(h for h in wire.sidecars.values() if h.runs)
    wire.post(home, events.Leave("SIGTERM"))
    result = outcome_of(wire, caller, request)
    assert result.outcome is progress.Outcome.ANSWERED
    wire.run(2_000)
    assert home.core.flows[caller.flow].moved_to is not None


def test_an_idle_flow_outlives_its_lease():
    """Lost heartbeats must not end an idle flow within several leases."""
    wire = wires.make_service(flow_lease_ms=9_000)
    caller = wire.add_caller()
    wire.run(500)
    flow = caller.flow
    wire.message_delays = lambda *_: [] if wire.rng.random() < 0.2 else [wires.HOP_MS]
    wire.run(36_000)
    request = caller.request("reports", b"r", wire.now + 20_000, False, wire.now)
    assert outcome_of(wire, caller, request).outcome is progress.Outcome.ANSWERED
    assert caller.flow == flow


@pytest.mark.parametrize("lost", ["Close", "Closed"])
def test_a_close_that_is_lost_is_sent_again(lost):
    """A lost `Close` or `Closed` must not keep the flow at its home until its lease ends.

    The caller resends `Close` until it is confirmed, and not after that.
    """
    wire = wires.make_service()
    caller = wire.add_caller()
    wire.run(200)
    seen = []

    def message_delays(_source, _target, kind):
        if kind == lost:
            seen.append(kind)
        return [] if kind == lost and len(seen) <= 2 else [wires.HOP_MS]

    wire.message_delays = message_delays
    caller.close()
    wire.run(3_000)
    assert caller.is_done
    assert not any(home.core.flows for home in wire.sidecars.values())
    count = len(seen)
    wire.run(5_000)
    assert len(seen) == count


def test_a_flow_that_is_closed_before_it_is_open_leaves_no_home():
    """A flow closed while the answer to its open is in flight must not stay at a sidecar."""
    wire = wires.make_service()
    wire.message_delays = lambda _s, _t, kind: [50] if kind == "Opened" else [wires.HOP_MS]
    caller = wire.add_caller()
    caller.close()
    wire.run(3_000)
    assert not any(home.core.flows for home in wire.sidecars.values())
