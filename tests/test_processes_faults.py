"""Kill, stop and cut off real processes; the upstreams count how often each request runs."""

import concurrent.futures
import contextlib
import signal
import time
import types

import pytest

from ebonystile import clock
from ebonystile.caller import client
from ebonystile.core.calls import progress
from standins import system
from tests import cutter

ZONE = "umea"
WAIT_S = 30
UPSTREAMS = 3
LONG_RUN_MS = 12_000
"""Service time of a request that must still run when its upstream is killed, in ms, within the
deadline of 15 s."""


@pytest.fixture
def running(children):
    """Run a ledger of three slow upstreams behind two balancers, and a caller."""
    made = system.System(children)
    made.publish_services({"ledger": {"app": "ledger"}})
    made.sidecars = []
    for number in range(UPSTREAMS):
        name = f"ledger-{number}"
        fixed = ("--service-ms", 1_000, "--feed-start", clock.now() - 100_000)
        upstream = children.start_upstream(name, "ledger", *fixed, "--feed-interval", 100)
        made.label(name, {"app": "ledger"})
        made.sidecars.append(made.start_sidecar(name, ZONE, upstream))
    for number in range(2):
        made.start_balancer(f"entry-{number}", ZONE)
    made.caller = client.make_caller(made.addresses)
    yield made
    made.caller.close()
    for sidecar in made.sidecars:
        # Stopped together they would wait until the drain times out, without a target for flows.
        sidecar.child.kill()


def soon(ms=15_000):
    return clock.now() + ms


def runs_of(running, request):
    """Return how often a request was run, over all live upstreams."""
    found = [s.upstream.get("standin/runs")["runs"] for s in running.sidecars if s.upstream]
    return sum(runs.get(request.hex(), 0) for runs in found)


def wait_for_run(running, request):
    """Wait until an upstream has begun a request; return its sidecar."""
    give_up_at = time.monotonic() + WAIT_S
    while time.monotonic() < give_up_at:
        for sidecar in running.sidecars:
            if request.hex() in sidecar.upstream.get("standin/runs")["runs"]:
                return sidecar
        time.sleep(0.02)
    raise AssertionError("the request was not run in time")


def submit_request(flow, deadline):
    """Send a request that is not idempotent; return its future once its id is known."""
    future = flow.submit("demands", b"offset", deadline, idempotent=False)
    give_up_at = time.monotonic() + WAIT_S
    while not hasattr(future, "request") and time.monotonic() < give_up_at:
        time.sleep(0.005)
    return future


def assert_outcome_matches_runs(running, request, result):
    """Check a request's outcome against the upstreams' counts of its runs."""
    runs = runs_of(running, request)
    assert runs <= 1
    if result.outcome is progress.Outcome.NOT_RUN:
        assert runs == 0
    if result.outcome is progress.Outcome.ANSWERED:
        assert runs == 1


def next_positions(feed, count):
    """Return the positions of the next events; None for an event that timed out."""
    events = [feed.next(soon(WAIT_S * 1000)) for _ in range(count)]
    return [event and event.position for event in events]


def test_killed_balancer_costs_no_flow(running):
    """Guards against lost answers or feed events when one of two balancers is killed."""
    flow = running.caller.open("ledger", soon())
    feed = flow.subscribe("balances", 100)
    first = next_positions(feed, 1)[0]
    future = submit_request(flow, soon())
    wait_for_run(running, future.request)
    killed = running.balancers.pop("entry-0")
    killed.child.signal(signal.SIGKILL)
    result = future.result(WAIT_S)
    assert result.outcome is progress.Outcome.ANSWERED
    assert_outcome_matches_runs(running, future.request, result)
    assert next_positions(feed, 30) == list(range(first + 1, first + 31))


def test_killed_sidecar_gives_an_unknown_outcome_and_no_second_run(running):
    """Guards against a second run of a request whose sidecar was killed and restarted.

    Its outcome is unknown; the feed goes on without a gap.
    """
    flow = running.caller.open("ledger", soon())
    feed = flow.subscribe("balances", 100)
    first = next_positions(feed, 1)[0]
    future = submit_request(flow, soon(8_000))
    home = wait_for_run(running, future.request)
    home.child.signal(signal.SIGKILL)
    home.child.wait()
    name = f"{home.name}-again"
    running.label(name, {"app": "ledger"})
    running.sidecars.append(running.start_sidecar(name, ZONE, home.upstream))
    running.label(home.name, None)
    running.enlist(home.name, "upstream", home.port, ZONE, "gone")
    result = future.result(WAIT_S)
    assert result.outcome is progress.Outcome.UNKNOWN
    assert runs_of(running, future.request) == len(
        [s for s in running.sidecars if s.upstream is home.upstream]
    )
    assert next_positions(feed, 30) == list(range(first + 1, first + 31))


def test_killed_upstream_gives_an_unknown_outcome_at_once(running):
    """Guards against waiting for the deadline when an upstream dies while it runs a request."""
    for sidecar in running.sidecars:
        sidecar.upstream.post("standin/faults", {"service_ms": LONG_RUN_MS})
    flow = running.caller.open("ledger", soon())
    deadline = soon()
    future = submit_request(flow, deadline)
    home = wait_for_run(running, future.request)
    home.upstream.signal(signal.SIGKILL)
    home.upstream = None
    result = future.result(WAIT_S)
    assert result.outcome is progress.Outcome.UNKNOWN
    assert clock.now() < deadline
    assert runs_of(running, future.request) == 0


def test_sidecar_stopped_past_the_deadline_runs_nothing_late(running):
    """Guards against running a request that waited in a stopped sidecar's socket past its deadline.

    All sidecars are stopped and continued; the request has its outcome by then and never runs.
    """
    flow = running.caller.open("ledger", soon())
    first = submit_request(flow, soon())
    assert first.result(WAIT_S).outcome is progress.Outcome.ANSWERED
    for sidecar in running.sidecars:
        sidecar.child.signal(signal.SIGSTOP)
    future = submit_request(flow, soon(1_000))
    with pytest.raises(concurrent.futures.TimeoutError):
        future.result(1.5)
    for sidecar in running.sidecars:
        sidecar.child.signal(signal.SIGCONT)
    result = future.result(WAIT_S)
    assert result.outcome is not progress.Outcome.ANSWERED
    after = submit_request(flow, soon())
    assert_outcome_matches_runs(running, after.request, after.result(WAIT_S))
    assert runs_of(running, future.request) == 0


def test_sidecar_stopped_while_it_runs_a_demand(running):
    """Guards against a lost answer when the flow's home is paused while a request runs."""
    flow = running.caller.open("ledger", soon())
    future = submit_request(flow, soon(20_000))
    home = wait_for_run(running, future.request)
    home.child.signal(signal.SIGSTOP)
    time.sleep(4)
    home.child.signal(signal.SIGCONT)
    result = future.result(WAIT_S)
    assert result.outcome is progress.Outcome.ANSWERED
    assert_outcome_matches_runs(running, future.request, result)


def test_platform_outage_stops_nothing(running):
    """Guards against a platform outage, and then a stale replica, that stops flows or a drain."""
    flow = running.caller.open("ledger", soon())
    feed = flow.subscribe("balances", 100)
    first = next_positions(feed, 1)[0]
    running.platform.post("standin/mode", {"mode": "down"})
    future = submit_request(flow, soon())
    home = wait_for_run(running, future.request)
    home.child.signal(signal.SIGTERM)
    assert future.result(WAIT_S).outcome is progress.Outcome.ANSWERED
    assert home.child.wait(WAIT_S) == 0
    running.platform.post("standin/mode", {"mode": "older", "revision": 1})
    other = running.caller.open("ledger", soon())
    for used in (flow, other):
        demand = submit_request(used, soon())
        result = demand.result(WAIT_S)
        assert result.outcome is progress.Outcome.ANSWERED
        assert_outcome_matches_runs(running, demand.request, result)
    assert next_positions(feed, 30) == list(range(first + 1, first + 31))


def test_cut_ports_of_balancers_cost_no_flow(running):
    """Guards against lost flows when nothing listens on half of the balancers' ports.

    Copies of the packets reach the other balancers: the request runs once, the feed has no gap.
    """
    cut = [("127.0.0.1", system.free_port()) for _ in running.balancers]
    half = client.make_caller([*running.addresses(), *cut])
    with contextlib.closing(half):
        flow = half.open("ledger", soon())
        feed = flow.subscribe("balances", 900)
        future = submit_request(flow, soon(WAIT_S * 1000))
        result = future.result(WAIT_S + 5)
        assert result.outcome is progress.Outcome.ANSWERED
        assert_outcome_matches_runs(running, future.request, result)
        assert next_positions(feed, 20) == list(range(901, 921))
        flow.close()


@pytest.fixture
def behind_cutter(children):
    """Run a ledger of one upstream; its sidecar connects to it through a cutter."""
    made = system.System(children)
    made.publish_services({"ledger": {"app": "ledger"}})
    upstream = children.start_upstream("ledger-0", "ledger", "--service-ms", 1_000)
    made.cutter = cutter.Cutter(upstream.port)
    made.label("ledger-0", {"app": "ledger"})
    through = types.SimpleNamespace(url=made.cutter.url)
    sidecar = made.start_sidecar("ledger-0", ZONE, through)
    sidecar.upstream = upstream
    made.sidecars = [sidecar]
    made.start_balancer("entry-0", ZONE)
    made.caller = client.make_caller(made.addresses)
    yield made
    made.caller.close()
    sidecar.child.kill()
    made.cutter.cut()


def test_outcomes_are_truthful_when_an_upstreams_port_is_cut(behind_cutter):
    """Guards against wrong outcomes when the connection from a sidecar to its upstream breaks.

    The outcome of the running request is unknown at once; one that was never sent was not run.
    Once the connection is back, requests run again, each once.
    """
    running = behind_cutter
    flow = running.caller.open("ledger", soon())
    under_way = submit_request(flow, soon(WAIT_S * 1000))
    wait_for_run(running, under_way.request)
    running.cutter.cut()
    assert under_way.result(WAIT_S).outcome is progress.Outcome.UNKNOWN
    refused = submit_request(flow, soon(WAIT_S * 1000))
    assert refused.result(WAIT_S).outcome is progress.Outcome.NOT_RUN
    running.cutter.heal()
    assert_outcome_matches_runs(running, under_way.request, under_way.result())
    assert_outcome_matches_runs(running, refused.request, refused.result())
    assert is_answered_after_healing(running, flow)


def is_answered_after_healing(running, flow):
    """Return whether a request is answered in time; a health check must restore the upstream."""
    give_up_at = time.monotonic() + WAIT_S
    while time.monotonic() < give_up_at:
        future = submit_request(flow, soon())
        result = future.result(WAIT_S)
        assert_outcome_matches_runs(running, future.request, result)
        if result.outcome is progress.Outcome.ANSWERED:
            return True
        time.sleep(clock.seconds_until(result.retry_at))
    return False


def test_all_upstreams_stopped_at_once_end_in_time_beside_an_abandoned_flow(running):
    """Guards against a drain that waits for a flow without a caller and without a handover target.

    All sidecars of the service get SIGTERM at once and must exit with status 0 within the time that
    common supervisors allow.
    """
    flow = running.caller.open("ledger", soon())
    assert flow.submit("demands", b"offset", soon(), idempotent=False).result(WAIT_S)
    running.caller.close()
    with concurrent.futures.ThreadPoolExecutor(UPSTREAMS) as pool:
        ended = list(pool.map(lambda s: s.child.stop(WAIT_S), running.sidecars))
    assert ended == [0] * UPSTREAMS
