"""Check how the cores distribute opens over the sidecars of a service, and refuse them."""

import pytest

import tests.wire as wires
from ebonystile.caller import messages as caller_messages
from ebonystile.core import fairness, view
from ebonystile.core.calls import events, progress, siblings
from ebonystile.core.placing import balance
from ebonystile.peer import messages

SECOND = 1000


def busy(wire, *homes):
    """Let upstreams report that all their slots are taken."""
    for home in homes:
        wire.post(home, events.UpstreamLoad(home.core.limits.slots))
    wire.run(2 * SECOND)


def open_flows(wire, count):
    """Open flows one after another, so that none is still pending when the next comes."""
    callers = []
    for _ in range(count):
        callers.append(wire.add_caller())
        wire.run(250)
    assert all(c.token for c in callers)
    return callers


def holders(wire, callers):
    """Return how many of the callers' flows each upstream holds."""
    held = dict.fromkeys((h.name for h in wire.sidecars.values()), 0)
    for home in wire.sidecars.values():
        held[home.name] = sum(1 for c in callers if c.flow in home.core.flows)
    return held


def test_opens_are_passed_on_from_a_busy_upstream():
    """Callers must not wait in the queue of a busy upstream while others are idle."""
    wire = wires.make_service(slots=8)
    home = next(iter(wire.sidecars.values()))
    busy(wire, home)
    callers = open_flows(wire, 20)
    assert holders(wire, callers)[home.name] == 0


@pytest.mark.parametrize(("passes", "expected"), [(0, 0), (1, 1), (3, 3), (8, 4)])
def test_open_is_passed_a_limited_number_of_times_and_never_back(passes, expected):
    """An open must not loop between sidecars whose reports say that all others are idle."""
    wire = wires.make_service(count=5, slots=8)
    busy(wire, *wire.sidecars.values())
    wire.message_delays = lambda source, target, kind: [] if kind == "LoadReport" else [1]
    for home in wire.sidecars.values():
        home.core.balance.policy = balance.Policy(max_passes=passes)
        for other in wire.sidecars.values():
            idle = messages.LoadReport(other.name, 1, wires.ZONE, wire.now, 8, 9)
            home.core.balance.table.record_report(idle, wire.now)
    callers = [wire.add_caller() for _ in range(6)]
    wire.run(100)
    assert all(c.token for c in callers)
    for caller in callers:
        by = [n for _, n, t in wire.traces if t.event == "passed" and t.flow == caller.flow]
        assert len(by) == len(set(by)) == expected


def test_leaving_upstream_gets_no_new_flow_from_stale_balancers():
    """A leaving upstream must get no flows although the view still shows it as accepting."""
    wire = wires.make_service(slots=8)
    leaver = next(iter(wire.sidecars.values()))
    wire.post(leaver, events.Leave("test"))
    busy(wire, *(h for h in wire.sidecars.values() if h is not leaver))
    callers = open_flows(wire, 20)
    assert holders(wire, callers)[leaver.name] == 0


def fail_runs(wire, home):
    """Make an upstream fail every request at once."""

    def start(at, core, effect, ordinary=wire.start):
        if at is not home:
            ordinary(at, core, effect)
            return
        failed = events.Failed(effect.key, "connection reset", True)
        wire.schedule(1, lambda: wire.post_to(at, core, failed))

    wire.start = start


def test_upstream_that_fails_fast_does_not_attract_work():
    """An upstream that fails every request at once looks idle, so load alone would prefer it.

    It is suspected after three failures, and returns with a ramp after successful health checks.
    """
    wire = wires.make_service()
    bad = next(iter(wire.sidecars.values()))
    fail_runs(wire, bad)
    for _ in range(12):
        caller = wire.add_caller()
        caller.request("p", b"", wire.now + 5 * SECOND, True, wire.now)
    wire.run(SECOND)
    assert bad.core.balance.suspicion.is_suspected(bad.name)
    callers = open_flows(wire, 15)
    assert holders(wire, callers)[bad.name] == 0
    for _ in range(2):
        wire.post(bad, events.UpstreamHealth(True))
    assert not bad.core.balance.suspicion.is_suspected(bad.name)
    assert bad.core.balance.ramp_share(bad.name, wire.now) == 250


def test_all_upstreams_suspected_still_serve():
    """A passing failure of a shared dependency must not become an outage: opens find a home."""
    wire = wires.make_service()
    for home in wire.sidecars.values():
        for _ in range(3):
            wire.post(home, events.UpstreamHealth(False))
    wire.run(2 * SECOND)
    callers = [wire.add_caller() for _ in range(10)]
    wire.run(SECOND)
    assert all(c.token for c in callers)


def test_request_that_would_be_late_is_refused_at_once_and_never_runs():
    """Requests that cannot finish by their deadline must not wait in the queue until then.

    With one slot, 200 ms per request and 500 ms for all ten, two can finish. The others are refused
    at once, with different times to retry, and later copies of them do not run.
    """
    wire = wires.make_service(count=1, slots=1)
    wire.run_ms = 200
    caller = wire.add_caller()
    wire.run(100)
    first = caller.request("p", b"", wire.now + SECOND, False, wire.now)
    wire.run(400)
    sent_at = wire.now
    caller.outcomes.clear()
    sent = [caller.request("p", b"", wire.now + 500, False, wire.now) for _ in range(10)]
    wire.run(60)
    refused = [o for o in caller.outcomes if o.outcome is progress.Outcome.NOT_RUN]
    assert len(refused) == 8
    assert all(o.retry_at > sent_at + 200 for o in refused)
    assert len({o.retry_at for o in refused}) > 4
    wire.run(3 * SECOND)
    assert sum(wire.all_runs[r] for r in sent) == 2
    assert wire.all_runs[first] == 1


def test_unresponsive_sibling_is_shown_as_suspected():
    wire = wires.make_service()
    wire.run(2 * SECOND)
    observer, unresponsive, _ = wire.sidecars.values()
    assert siblings.suspected(observer.core, wire.now) == ()
    wire.kill(unresponsive)
    wire.run(5 * SECOND)
    assert siblings.suspected(observer.core, wire.now) == (unresponsive.name,)


def test_load_reports_are_few():
    """Three idle sidecars report their load to each other about once a second."""
    wire = wires.make_service()
    reports = []
    wire.message_delays = lambda source, target, kind: (
        kind == "LoadReport" and reports.append(1)
    ) or [1]
    wire.run(10 * SECOND)
    assert 50 <= len(reports) <= 70


@pytest.mark.parametrize("seed", range(3))
def test_balancer_refuses_opens_beyond_what_it_carries_fairly(seed):
    """A caller that opens too many flows must not take the capacity of a modest one."""
    wire = wires.make_service(count=1, balancers=1, seed=seed)
    part = next(iter(wire.balancers.values()))
    part.gate = fairness.Gate(fairness.Bounds(opens_per_second=100))
    served = {"greedy": 0, "modest": 0}
    asked = dict(served)
    for at in range(5 * SECOND):
        for name, address, chance in (("greedy", "10.0.0.4", 1.0), ("modest", "10.0.0.5", 0.02)):
            if wire.rng.random() >= chance:
                continue
            opening = caller_messages.Open(
                wire.rng.randbytes(16), wires.SERVICE, b"", 0, wire.now + 9 * SECOND, bytes(160)
            )
            payload = caller_messages.FROM_CALLER.encode(opening)
            source: view.Address = (address, 1)
            action = wires.balancer.route(part, source, payload, wire.now + at)
            if at > 2 * SECOND:
                asked[name] += 1
                served[name] += isinstance(action, wires.balancer.Relay)
    assert served["modest"] > 0.85 * asked["modest"]
    assert 0.05 * asked["greedy"] < served["greedy"] < 0.15 * asked["greedy"]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_replacing_all_upstreams_leaves_the_flows_balanced(seed):
    """Rolling replacement must not leave early replacements with several times the flows of others.

    That would happen if a flow were handed to the next upstream of its ranking whatever its load.
    """
    wire = wires.make_service(7, seed=seed, slots=8)
    callers = open_flows(wire, 42)
    homes = list(wire.sidecars.values())
    for number, old in enumerate(list(homes)):
        homes.append(wire.add_sidecar(f"new-{number}", 300 + number))
        wire.publish({wires.SERVICE: homes})
        wire.run(32 * SECOND)
        wire.publish({wires.SERVICE: homes}, leaving={old.name})
        wire.run(2 * SECOND)
        homes.remove(old)
        wire.publish({wires.SERVICE: homes})
    held = [holders(wire, callers)[home.name] for home in homes]
    assert sum(held) == len(callers)
    assert max(held) <= sum(held) / len(held) + 1
