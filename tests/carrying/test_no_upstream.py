"""Open and new flows while no upstream is listed, or only ones that have lost their entries."""

from ebonystile.core.carrying import balancer, balancer_state, finding, packet
from tests.carrying import world

CONFIRMED_MS = balancer_state.MIN_VIEW_AGE_MS + 100


def lose_all_upstreams(scene):
    """Cut the power of all upstreams and their sidecars, whose entries lapse."""
    for node in scene.sidecars:
        node.alive = False
    scene.entries.clear()


def start_without_view(scene, node):
    """Start a balancer that has read the routes and no list of upstreams yet."""
    route_table = node.core.route_table
    node.core = balancer.Balancer(node.zone, scene.now)
    node.core.route_table = route_table


def test_a_flow_that_waits_for_the_view_is_reset_when_that_lists_no_upstream():
    """A balancer started again and again must not end at the first packet of an open flow."""
    scene = world.World(balancers=1)
    caller = scene.open()
    lose_all_upstreams(scene)
    balancer_node = scene.balancers[0]
    start_without_view(scene, balancer_node)
    scene.ask(caller)
    scene.run(10)
    assert list(balancer_node.core.pending) == [caller.flow] and not caller.resets
    balancer_node.core.set_view_current(True, scene.now)
    scene.run(CONFIRMED_MS)
    assert caller.resets == 1
    assert not balancer_node.core.searches and not balancer_node.core.pending
    assert balancer_node.core.open_flow_searches == 0


def test_a_repeated_search_with_no_upstream_left_to_ask_ends():
    """The last upstream without an entry is given up between two searches for the same flow."""
    scene = world.World(zones=("a",), upstreams=1, balancers=2)
    callers = [scene.open(port) for port in (40_001, 40_002)]
    lose_all_upstreams(scene)
    scene.publish_entries()
    other = scene.balancers[1]
    for caller in callers:
        caller.through = other
        scene.ask(caller)
        scene.run(finding.GONE_TIMEOUT_MS - 10)
    scene.run(finding.GONE_TIMEOUT_MS)
    attempts = [
        (fields["flow"], fields["upstreams"])
        for _, event, fields in scene.traces
        if event == "search_repeated"
    ]
    assert (packet.flow_text(callers[1].flow), 0) in attempts
    assert [caller.resets for caller in callers] == [1, 1]
    assert not other.core.searches and other.core.open_flow_searches == 0
