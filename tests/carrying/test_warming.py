"""What callers and cold upstreams get when many of them start at once."""

import pytest

from ebonystile.core.carrying import routes, warming
from tests.carrying import world

PER_SECOND = 4
LENGTH = 2_000
BOUNDED = warming.SlowStart(LENGTH, PER_SECOND)


def bound(scene, warm_up=BOUNDED):
    """Let every process know a service whose cold upstreams bear few flows a second."""
    route = routes.Route("r", (("s", 1),))
    warm_ups = {"s": warm_up}
    made = routes.make_routes(2, [(*world.ROUTE, route)], routes.DEFAULT_IDLE_TIMEOUT_MS, warm_ups)
    for node in scene.everyone():
        node.core.route_table.replace(made)


def cool(scene, *nodes):
    """Let upstreams be in their first seconds, by their entries."""
    for node in nodes:
        scene.entry(node, slow_start_until=scene.now + LENGTH)
    scene.known()


def come(scene, count, over_ms):
    """Let callers come one after another, by all balancers in turn; return them."""
    callers = []
    for number in range(count):
        through = scene.balancers[number % len(scene.balancers)]
        callers.append(scene.caller(41_000 + number, through=through))
        scene.run(over_ms // count)
    return callers


def most_in_a_second(scene, node):
    """Return the most flows that an upstream got in any span of a second."""
    times = [
        at
        for at, event, fields in scene.traces
        if event == "opened" and fields["upstream"] == scene.entry_of[node.address].name
    ]
    return max((sum(at <= t <= at + 1_000 for t in times) for at in times), default=0)


def test_a_cold_upstream_gets_no_more_flows_in_any_second_than_it_bears():
    """Two upstreams come back cold among two that are warm: all callers are served all the same."""
    scene = world.World()
    bound(scene)
    cold = scene.sidecars[:2]
    cool(scene, *cold)
    callers = come(scene, 60, 1_500)
    scene.run(500)
    assert all(most_in_a_second(scene, node) <= PER_SECOND for node in cold)
    assert any(most_in_a_second(scene, node) for node in cold)
    assert not any(caller.resets for caller in callers)
    homes = [node for node in scene.sidecars for c in callers if c.flow in node.upstream.opened]
    assert len(homes) == 60


def test_a_cold_upstream_gets_no_more_from_balancers_that_all_choose_it_at_once():
    """Each balancer was told of room before the flows of the others had arrived."""
    scene = world.World(balancers=8)
    bound(scene)
    cold = scene.sidecars[:2]
    cool(scene, *cold)
    through = scene.balancers
    callers = [scene.caller(41_000 + n, through=through[n % len(through)]) for n in range(40)]
    scene.run(500)
    assert all(0 < len(node.upstream.opened) <= PER_SECOND for node in cold)
    assert sum(len(node.upstream.opened) for node in scene.sidecars) == len(callers)
    assert not any(caller.resets for caller in callers)


def test_callers_of_cold_upstreams_alone_are_told_in_time_to_come_back():
    """Every upstream is cold after a loss of power; what they don't bear is refused, not lost."""
    scene = world.World()
    bound(scene)
    cool(scene, *scene.sidecars)
    callers = come(scene, 40, 400)
    scene.run(500)
    opened = [c for c in callers if any(c.flow in n.upstream.opened for n in scene.sidecars)]
    assert len(opened) >= PER_SECOND * len(scene.sidecars)
    assert all(caller.resets == 1 for caller in callers if caller not in opened)


def test_a_service_without_a_bound_fills_its_cold_upstreams():
    scene = world.World()
    bound(scene, warming.SlowStart(LENGTH))
    cool(scene, *scene.sidecars)
    callers = come(scene, 40, 400)
    scene.run(100)
    assert not any(caller.resets for caller in callers)


def test_an_upstream_that_crashed_and_is_back_is_cold_before_its_entry_says_so():
    """Its entry is that of before the crash for another second, and balancers go by it.

    The sidecar sees that the upstream holds a flow no more that it held.
    """
    scene = world.World(zones=("a",), upstreams=1, balancers=1)
    bound(scene)
    caller = scene.open()
    scene.sidecars[0].upstream.restart()
    scene.ask(caller, b"again")
    scene.run(20)
    assert caller.resets == 1
    come(scene, 20, 400)
    assert most_in_a_second(scene, scene.sidecars[0]) <= PER_SECOND + 1


def test_an_upstream_without_an_entry_counts_as_cold():
    made = warming.SlowStartTracker()
    for at in range(PER_SECOND):
        assert made.has_capacity(BOUNDED, None, 1_000 + at)
        made.record_opened(1_000 + at)
    assert not made.has_capacity(BOUNDED, None, 2_000)
    assert made.has_capacity(BOUNDED, 0, 2_000)
    assert made.has_capacity(BOUNDED, None, 2_001)


@pytest.mark.parametrize("start", range(0, 1_000, 137))
def test_the_bound_holds_for_every_span_of_a_second(start):
    """Fixed seconds would let twice the flows through around their edge."""
    made = warming.SlowStartTracker()
    opened = []
    for now in range(start, start + 5_000, 20):
        if made.has_capacity(BOUNDED, now + 1, now):
            made.record_opened(now)
            opened.append(now)
    assert max(sum(at <= t <= at + 1_000 for t in opened) for at in opened) <= PER_SECOND
    assert len(opened) > 4 * PER_SECOND


def keep_to(scene, *regions):
    """Keep the route to regions; zone a lies in north, zone b in south."""
    route = routes.Route("r", (("s", 1),), regions)
    made = routes.make_routes(3, [(*world.ROUTE, route)], routes.DEFAULT_IDLE_TIMEOUT_MS)
    for node in scene.everyone():
        node.core.route_table.replace(made)
        node.core.fleet.regions = {"a": "north", "b": "south"}


def test_flows_of_a_route_kept_to_a_region_go_to_no_other():
    scene = world.World()
    keep_to(scene, "south")
    callers = [scene.open(41_000 + n, zone="ab"[n % 2]) for n in range(20)]
    assert {scene.home_of(caller).zone for caller in callers} == {"b"}


def test_a_route_whose_regions_hold_no_upstream_is_refused_at_once():
    scene = world.World()
    keep_to(scene, "elsewhere")
    caller = scene.caller()
    scene.run(5)
    assert caller.resets == 1


def test_a_sidecar_outside_the_routes_regions_refuses():
    """A balancer with an older configuration sends a flow to another region."""
    scene = world.World()
    old = scene.balancers[0].core.route_table.routes
    keep_to(scene, "south")
    for node in scene.balancers:
        node.core.route_table.routes = routes.Routes(3, old.by_end, old.idle_timeout_ms)
    caller = scene.caller()
    scene.run(30)
    held = [node.zone for node in scene.sidecars if caller.flow in node.upstream.opened]
    assert held in ([], ["b"])


def test_no_packet_of_a_lost_flow_leaves_the_routes_regions():
    """All sidecars have restarted and know no flow, so upstreams are probed with its packet."""
    scene = world.World()
    keep_to(scene, "south")
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


def test_the_flow_of_an_unknown_zone_is_kept_out_of_every_region():
    scene = world.World(zones=("c",))
    keep_to(scene, "south")
    caller = scene.caller(zone="c")
    scene.run(5)
    assert caller.resets == 1
