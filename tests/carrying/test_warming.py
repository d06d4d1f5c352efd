"""Limits on new flows during the slow start of upstreams, and routes restricted to regions."""

import pytest

from ebonystile.core.carrying import routes, warming
from tests.carrying import world

MAX_FLOWS_PER_S = 4
DURATION_MS = 2_000
LIMITED = warming.SlowStart(DURATION_MS, MAX_FLOWS_PER_S)


def limit_slow_start(scene, slow_start=LIMITED):
    """Configure a limit on new flows during the slow start in every process."""
    route = routes.Route("r", (("s", 1),))
    slow_starts = {"s": slow_start}
    new_routes = routes.make_routes(
        2, [(*world.ROUTE, route)], routes.DEFAULT_IDLE_TIMEOUT_MS, slow_starts
    )
    for node in scene.all_nodes():
        node.core.route_table.replace(new_routes)


def start_slowly(scene, *nodes):
    """Put upstreams into their slow start by their entries."""
    for node in nodes:
        scene.change_entry(node, slow_start_until=scene.now + DURATION_MS)
    scene.publish_entries()


def open_flows(scene, count, over_ms):
    """Open flows one after another, through all balancers in turn; return the callers."""
    callers = []
    for number in range(count):
        through = scene.balancers[number % len(scene.balancers)]
        callers.append(scene.caller(41_000 + number, through=through))
        scene.run(over_ms // count)
    return callers


def max_flows_in_a_second(scene, node):
    """Return the largest number of flows that an upstream got within any second."""
    times = [
        at
        for at, event, fields in scene.traces
        if event == "opened" and fields["upstream"] == scene.entries[node.address].name
    ]
    return max((sum(at <= t <= at + 1_000 for t in times) for at in times), default=0)


def test_a_cold_upstream_gets_no_more_flows_in_a_second_than_its_limit():
    """With two cold and two warm upstreams all callers are served within the limit."""
    scene = world.World()
    limit_slow_start(scene)
    cold = scene.sidecars[:2]
    start_slowly(scene, *cold)
    callers = open_flows(scene, 60, 1_500)
    scene.run(500)
    assert all(max_flows_in_a_second(scene, node) <= MAX_FLOWS_PER_S for node in cold)
    assert any(max_flows_in_a_second(scene, node) for node in cold)
    assert not any(caller.resets for caller in callers)
    homes = [node for node in scene.sidecars for c in callers if c.flow in node.upstream.opened]
    assert len(homes) == 60


def test_a_cold_upstream_keeps_its_limit_when_all_balancers_choose_it_at_once():
    """Each balancer got an answer of spare capacity before the others' flows had arrived."""
    scene = world.World(balancers=8)
    limit_slow_start(scene)
    cold = scene.sidecars[:2]
    start_slowly(scene, *cold)
    through = scene.balancers
    callers = [scene.caller(41_000 + n, through=through[n % len(through)]) for n in range(40)]
    scene.run(500)
    assert all(0 < len(node.upstream.opened) <= MAX_FLOWS_PER_S for node in cold)
    assert sum(len(node.upstream.opened) for node in scene.sidecars) == len(callers)
    assert not any(caller.resets for caller in callers)


def test_flows_beyond_the_limit_of_all_upstreams_are_reset_at_once():
    """If every upstream is cold, as after a power loss, excess flows are refused, not dropped."""
    scene = world.World()
    limit_slow_start(scene)
    start_slowly(scene, *scene.sidecars)
    callers = open_flows(scene, 40, 400)
    scene.run(500)
    opened = [c for c in callers if any(c.flow in n.upstream.opened for n in scene.sidecars)]
    assert len(opened) >= MAX_FLOWS_PER_S * len(scene.sidecars)
    assert all(caller.resets == 1 for caller in callers if caller not in opened)


def test_a_service_without_a_limit_fills_its_cold_upstreams():
    scene = world.World()
    limit_slow_start(scene, warming.SlowStart(DURATION_MS))
    start_slowly(scene, *scene.sidecars)
    callers = open_flows(scene, 40, 400)
    scene.run(100)
    assert not any(caller.resets for caller in callers)


def test_a_restarted_upstream_is_cold_before_its_entry_shows_the_restart():
    """The entry is outdated for about a second after a crash.

    The sidecar detects the restart when the upstream returns a packet of a flow that it held.
    """
    scene = world.World(zones=("a",), upstreams=1, balancers=1)
    limit_slow_start(scene)
    caller = scene.open()
    scene.sidecars[0].upstream.restart()
    scene.ask(caller, b"again")
    scene.run(20)
    assert caller.resets == 1
    open_flows(scene, 20, 400)
    assert max_flows_in_a_second(scene, scene.sidecars[0]) <= MAX_FLOWS_PER_S + 1


def test_an_upstream_without_an_entry_counts_as_cold():
    tracker = warming.SlowStartTracker()
    for at in range(MAX_FLOWS_PER_S):
        assert tracker.has_capacity(LIMITED, None, 1_000 + at)
        tracker.record_opened(1_000 + at)
    assert not tracker.has_capacity(LIMITED, None, 2_000)
    assert tracker.has_capacity(LIMITED, 0, 2_000)
    assert tracker.has_capacity(LIMITED, None, 2_001)


@pytest.mark.parametrize("start", range(0, 1_000, 137))
def test_the_limit_holds_for_a_sliding_window(start):
    """Fixed windows would admit twice the limit around their boundary."""
    tracker = warming.SlowStartTracker()
    opened = []
    for now in range(start, start + 5_000, 20):
        if tracker.has_capacity(LIMITED, now + 1, now):
            tracker.record_opened(now)
            opened.append(now)
    assert max(sum(at <= t <= at + 1_000 for t in opened) for at in opened) <= MAX_FLOWS_PER_S
    assert len(opened) > 4 * MAX_FLOWS_PER_S


def restrict_to_regions(scene, *regions):
    """Restrict the route to regions; zone a lies in north, zone b in south."""
    route = routes.Route("r", (("s", 1),), regions)
    new_routes = routes.make_routes(3, [(*world.ROUTE, route)], routes.DEFAULT_IDLE_TIMEOUT_MS)
    for node in scene.all_nodes():
        node.core.route_table.replace(new_routes)
        node.core.fleet.regions = {"a": "north", "b": "south"}


def test_flows_of_a_route_restricted_to_a_region_go_to_no_other():
    scene = world.World()
    restrict_to_regions(scene, "south")
    callers = [scene.open(41_000 + n, zone="ab"[n % 2]) for n in range(20)]
    assert {scene.home_of(caller).zone for caller in callers} == {"b"}


def test_flows_of_a_route_whose_regions_have_no_upstream_are_reset_at_once():
    scene = world.World()
    restrict_to_regions(scene, "elsewhere")
    caller = scene.caller()
    scene.run(5)
    assert caller.resets == 1


def test_a_sidecar_outside_the_routes_regions_refuses():
    """A balancer with an outdated configuration may send a flow to another region."""
    scene = world.World()
    old = scene.balancers[0].core.route_table.routes
    restrict_to_regions(scene, "south")
    for node in scene.balancers:
        node.core.route_table.routes = routes.Routes(3, old.by_endpoint, old.idle_timeout_ms)
    caller = scene.caller()
    scene.run(30)
    held = [node.zone for node in scene.sidecars if caller.flow in node.upstream.opened]
    assert held in ([], ["b"])


def test_no_packet_of_a_lost_flow_leaves_the_routes_regions():
    """After a restart of all sidecars upstreams are probed with packets of unknown flows."""
    scene = world.World()
    restrict_to_regions(scene, "south")
    caller = scene.open(zone="a")
    for node in scene.sidecars:
        scene.restart_sidecar(node)
        node.core.fleet.regions = {"a": "north", "b": "south"}
    scene.restart_balancer(caller.through)
    caller.through.core.fleet.regions = {"a": "north", "b": "south"}
    scene.ask(caller, b"again")
    scene.run(200)
    assert caller.answer.endswith(b"again")
    outside = [node for node in scene.sidecars if node.zone == "a"]
    assert not any(node.upstream.foreign for node in outside)


def test_an_upstream_in_a_zone_without_a_region_gets_no_flows_of_a_restricted_route():
    scene = world.World(zones=("c",))
    restrict_to_regions(scene, "south")
    caller = scene.caller(zone="c")
    scene.run(5)
    assert caller.resets == 1
