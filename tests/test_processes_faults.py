"""Kill, stop and cut off real processes; every wait is bounded, the upstreams count each run."""

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
        # Told to stop together they would wait for one another, with nobody to hand a flow to.
        sidecar.child.kill()


def soon(ms=15_000):
    return clock.now() + ms


def runs_of(running, request):
    """Return how often a request was run, over all upstreams that still answer."""
    found = [s.upstream.get("standin/runs")["runs"] for s in running.sidecars if s.upstream]
    return sum(runs.get(request.hex(), 0) for runs in found)


def where_it_runs(running, request):
    """Return the sidecar whose upstream has begun a request, once one has."""
    give_up = time.monotonic() + WAIT_S
    while time.monotonic() < give_up:
        for sidecar in running.sidecars:
            if request.hex() in sidecar.upstream.get("standin/runs")["runs"]:
                return sidecar
        time.sleep(0.02)
    raise AssertionError("the request was not run in time")


def begin(flow, deadline):
    """Send a request that must not be repeated; return its future once its id is known."""
    future = flow.submit("demands", b"offset", deadline, idempotent=False)
    give_up = time.monotonic() + WAIT_S
    while not hasattr(future, "request") and time.monotonic() < give_up:
        time.sleep(0.005)
    return future


def assert_truthful(running, request, result):
    """Check the final word against what the upstreams counted."""
    runs = runs_of(running, request)
    assert runs <= 1
    if result.outcome is progress.Outcome.NOT_RUN:
        assert runs == 0
    if result.outcome is progress.Outcome.ANSWERED:
        assert runs == 1


def next_positions(feed, count):
    """Return the next events' positions; None stands for one that did not come in time."""
    events = [feed.next(soon(WAIT_S * 1000)) for _ in range(count)]
    return [event and event.position for event in events]


def test_killed_balancer_costs_no_flow(running):
    """One of two balancers is killed while a request runs and a feed goes on.

    Its packets are lost; the copies and the answers go by the other one.
    """
    flow = running.caller.open("ledger", soon())
    feed = flow.subscribe("balances", 100)
    first = next_positions(feed, 1)[0]
    future = begin(flow, soon())
    where_it_runs(running, future.request)
    killed = running.balancers.pop("entry-0")
    killed.child.signal(signal.SIGKILL)
    result = future.result(WAIT_S)
    assert result.outcome is progress.Outcome.ANSWERED
    assert_truthful(running, future.request, result)
    assert next_positions(feed, 30) == list(range(first + 1, first + 31))


def test_killed_sidecar_leaves_doubt_and_no_second_run(running):
    """The sidecar that runs a demand is killed and comes back as a new incarnation.

    Nobody can tell any more whether the demand was run: the caller hears exactly that, and no
    other upstream runs it. The feed goes on where it stood.
    """
    flow = running.caller.open("ledger", soon())
    feed = flow.subscribe("balances", 100)
    first = next_positions(feed, 1)[0]
    future = begin(flow, soon(8_000))
    home = where_it_runs(running, future.request)
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


def test_killed_upstream_leaves_doubt_at_once(running):
    """The upstream dies while it runs a demand; its sidecar says at once what it knows."""
    flow = running.caller.open("ledger", soon())
    deadline = soon()
    future = begin(flow, deadline)
    home = where_it_runs(running, future.request)
    home.upstream.signal(signal.SIGKILL)
    home.upstream = None
    result = future.result(WAIT_S)
    assert result.outcome is progress.Outcome.UNKNOWN
    assert clock.now() < deadline
    assert runs_of(running, future.request) == 0


def test_sidecar_stopped_past_the_deadline_runs_nothing_late(running):
    """Every sidecar is stopped; a demand waits in its socket past the deadline, then they wake.

    The caller has a final word by then, and the demand never runs.
    """
    flow = running.caller.open("ledger", soon())
    first = begin(flow, soon())
    assert first.result(WAIT_S).outcome is progress.Outcome.ANSWERED
    for sidecar in running.sidecars:
        sidecar.child.signal(signal.SIGSTOP)
    future = begin(flow, soon(1_000))
    with pytest.raises(concurrent.futures.TimeoutError):
        future.result(1.5)
    for sidecar in running.sidecars:
        sidecar.child.signal(signal.SIGCONT)
    result = future.result(WAIT_S)
    assert result.outcome is not progress.Outcome.ANSWERED
    after = begin(flow, soon())
    assert_truthful(running, after.request, after.result(WAIT_S))
    assert runs_of(running, future.request) == 0


def test_sidecar_stopped_while_it_runs_a_demand(running):
    """The home is stopped while its upstream runs a demand and woken before the deadline.

    The upstream's answer waits in the socket; the caller gets it, and it ran once.
    """
    flow = running.caller.open("ledger", soon())
    future = begin(flow, soon(20_000))
    home = where_it_runs(running, future.request)
    home.child.signal(signal.SIGSTOP)
    time.sleep(4)
    home.child.signal(signal.SIGCONT)
    result = future.result(WAIT_S)
    assert result.outcome is progress.Outcome.ANSWERED
    assert_truthful(running, future.request, result)


def test_platform_outage_stops_nothing(running):
    """The platform answers nobody, then an older revision; new flows and demands go on.

    Meanwhile one sidecar is told to stop: it drains and hands its flows over all the same.
    """
    flow = running.caller.open("ledger", soon())
    feed = flow.subscribe("balances", 100)
    first = next_positions(feed, 1)[0]
    running.platform.post("standin/mode", {"mode": "down"})
    future = begin(flow, soon())
    home = where_it_runs(running, future.request)
    home.child.signal(signal.SIGTERM)
    assert future.result(WAIT_S).outcome is progress.Outcome.ANSWERED
    assert home.child.wait(WAIT_S) == 0
    running.platform.post("standin/mode", {"mode": "older", "revision": 1})
    other = running.caller.open("ledger", soon())
    for used in (flow, other):
        demand = begin(used, soon())
        result = demand.result(WAIT_S)
        assert result.outcome is progress.Outcome.ANSWERED
        assert_truthful(running, demand.request, result)
    assert next_positions(feed, 30) == list(range(first + 1, first + 31))


def test_cut_ports_of_balancers_cost_no_flow(running):
    """Half of the ports that packets are handed to are cut: nothing listens there any more.

    What goes there is lost. Copies take the other ways, so a feed goes on without a gap and a
    report that must not be repeated runs once and is answered.
    """
    cut = [("127.0.0.1", system.free_port()) for _ in running.balancers]
    half = client.make_caller([*running.addresses(), *cut])
    with contextlib.closing(half):
        flow = half.open("ledger", soon())
        feed = flow.subscribe("balances", 900)
        future = begin(flow, soon(WAIT_S * 1000))
        result = future.result(WAIT_S + 5)
        assert result.outcome is progress.Outcome.ANSWERED
        assert_truthful(running, future.request, result)
        assert next_positions(feed, 20) == list(range(901, 921))
        flow.close()


@pytest.fixture
def behind_cutter(children):
    """Run a ledger of one upstream whose port the sidecar reaches through a cutter."""
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


def test_cut_port_of_an_upstream_is_told_truthfully(behind_cutter):
    """The way from a sidecar to its upstream breaks while a demand runs, and comes back later.

    The demand under way ends as unknown at once, since it may run on. One that meets the closed
    port was never sent, so its caller hears that it was not run. After the cut demands run again,
    each once.
    """
    running = behind_cutter
    flow = running.caller.open("ledger", soon())
    under_way = begin(flow, soon(WAIT_S * 1000))
    where_it_runs(running, under_way.request)
    running.cutter.cut()
    assert under_way.result(WAIT_S).outcome is progress.Outcome.UNKNOWN
    refused = begin(flow, soon(WAIT_S * 1000))
    assert refused.result(WAIT_S).outcome is progress.Outcome.NOT_RUN
    running.cutter.heal()
    assert_truthful(running, under_way.request, under_way.result())
    assert_truthful(running, refused.request, refused.result())
    assert answered_once_healed(running, flow)


def answered_once_healed(running, flow):
    """Send demands until one is answered; the upstream is trusted again only after a check."""
    give_up = time.monotonic() + WAIT_S
    while time.monotonic() < give_up:
        future = begin(flow, soon())
        result = future.result(WAIT_S)
        assert_truthful(running, future.request, result)
        if result.outcome is progress.Outcome.ANSWERED:
            return True
        time.sleep(clock.seconds_until(result.retry_at))
    return False


def test_all_upstreams_stopped_at_once_end_in_time_beside_an_abandoned_flow(running):
    """A caller ends without closing its flow; then every sidecar of the service gets SIGTERM.

    The flow's home has nobody to hand it to. It must end by itself, with status 0, within what
    common supervisors give a process, and not be killed.
    """
    flow = running.caller.open("ledger", soon())
    assert flow.submit("demands", b"offset", soon(), idempotent=False).result(WAIT_S)
    running.caller.close()
    with concurrent.futures.ThreadPoolExecutor(UPSTREAMS) as pool:
        ended = list(pool.map(lambda s: s.child.stop(WAIT_S), running.sidecars))
    assert ended == [0] * UPSTREAMS
