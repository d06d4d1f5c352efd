"""Open and new flows while no upstream is listed, or only ones that have lost their entries."""

from ebonystile.core.carrying import (
    asking,
    balancer_state,
    finding,
    flow_search,
    messages,
    packet,
)
from ebonystile.platform import packets
from tests.carrying import world

CONFIRMED_MS = balancer_state.MIN_VIEW_AGE_MS + 100


def lose_all_upstreams(scene):
    """Cut the power of all upstreams and their sidecars, whose entries lapse."""
    for node in scene.sidecars:
        node.alive = False
    scene.entries.clear()


def test_a_flow_that_waits_for_the_view_is_reset_when_that_lists_no_upstream():
    """A balancer started again and again must not end at the first packet of an open flow."""
    scene = world.World(balancers=1)
    caller = scene.open()
    lose_all_upstreams(scene)
    balancer_node = scene.balancers[0]
    scene.start_without_view(balancer_node)
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


def test_a_search_that_begins_while_a_former_one_waits_in_the_batch_ends():
    """The home answers late, then loses its entry and the flow, and further packets get nothing."""
    scene = world.World(zones=("a",), upstreams=2, balancers=2)
    caller = scene.open()
    home = scene.home_of(caller)
    lost = next(node for node in scene.sidecars if node is not home)
    lost.alive = False
    del scene.entries[lost.address]
    other = scene.balancers[1]
    scene.publish_entries([other])
    caller.through = other
    home.frozen_until = scene.now + 10_000
    scene.ask(caller)
    scene.run(flow_search.ROUND_MS + 2)
    held = messages.Answer(caller.flow, 1, messages.FlowStatus.HELD, messages.Load())
    scene.apply_effects(other, other.core.on_message(held, None, home.address, scene.now))
    scene.entries.clear()
    scene.publish_entries([other])
    raw = carried_packets(scene, caller)[-1]
    returned = messages.Return(messages.Reason.ABSENT, 1, raw)
    received = packets.from_caller(raw)
    scene.apply_effects(other, other.core.on_message(returned, received, home.address, scene.now))
    assert caller.flow in other.core.searches
    scene.run(5_000)
    assert caller.resets == 1 and not other.core.searches


def carried_packets(scene, caller):
    """Return the packets of a caller's flow that balancers have sent to its home."""
    sent = [message for _, _, message in scene.sent if isinstance(message, messages.Carry)]
    return [message.raw for message in sent if packets.from_caller(message.raw).flow == caller.flow]


def test_a_search_given_up_after_a_pause_is_logged():
    """Its packet is dropped, and without an event nothing shows why the caller got no answer."""
    scene = world.World(zones=("a",), upstreams=flow_search.FIRST_ROUND_SIZE + 1, balancers=2)
    caller = scene.open()
    caller.through = scene.balancers[1]
    scene.home_of(caller).alive = False
    scene.ask(caller)
    scene.run(10)
    caller.through.frozen_until = scene.now + asking.MAX_BATCH_WAIT_MS + 10
    scene.run(asking.MAX_BATCH_WAIT_MS + 10 + world.TICK_MS)
    reasons = [fields.get("reason") for _, event, fields in scene.traces if event == "not_found"]
    assert reasons == ["waited_too_long"]


def test_a_packet_that_waits_for_the_view_goes_to_its_home_when_that_is_listed_again():
    """The store was away and has dropped the entry; the caller must not wait for its next copy."""
    scene = world.World(zones=("a",), upstreams=1, balancers=1)
    caller = scene.open()
    home, through = scene.home_of(caller), scene.balancers[0]
    through.core.set_view_current(False, scene.now)
    through.core.fleet.remove(scene.entries[home.address].name, scene.now)
    home.alive = False
    scene.ask(caller, b"again")
    scene.run(900)
    assert list(through.core.pending) == [caller.flow]
    home.alive = True
    scene.publish_entries([through])
    scene.run(world.TICK_MS + 50)
    assert caller.answer.endswith(b"again")
