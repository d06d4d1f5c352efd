"""Flows while an availability zone is drained, and after the end of the drain."""

import pytest

from ebonystile.core.carrying import messages
from tests.carrying import world

CALLERS = 30


def open_many(scene, count=CALLERS, first=41_000):
    """Return callers of both zones whose flows are open."""
    return [scene.open(first + n, zone="ab"[n % 2]) for n in range(count)]


def drain(scene, *zones, nodes=None):
    """Set the drained zones at the given nodes, by default at all of them."""
    scene.drained = set(zones)
    scene.publish_entries(nodes)


def zones_of(scene, callers):
    return {scene.home_of(caller).zone for caller in callers}


def test_a_drained_zone_gets_no_new_flow_and_no_caller_is_refused():
    scene = world.World()
    drain(scene, "a")
    assert zones_of(scene, open_many(scene)) == {"b"}


def test_open_flows_of_a_drained_zone_survive_restarts_of_sidecar_and_balancer():
    scene = world.World()
    caller = scene.open(zone="a")
    home = scene.home_of(caller)
    drain(scene, "a")
    scene.ask(caller, b"again")
    scene.run(50)
    assert home.zone == "a" and caller.answer.endswith(b"again")
    scene.restart_sidecar(home)
    scene.restart_balancer(caller.through)
    scene.ask(caller, b"later")
    scene.run(100)
    assert caller.answer.endswith(b"later") and caller.resets == 0


def test_a_sidecar_refuses_flows_of_a_balancer_that_does_not_know_of_the_drain():
    """A balancer cut off from the store must not place flows in the drained zone."""
    scene = world.World()
    drain(scene, "a", nodes=scene.sidecars)
    callers = open_many(scene)
    assert zones_of(scene, callers) == {"b"}
    assert not any(caller.resets for caller in callers)


def test_a_sidecar_refuses_a_flow_if_the_drain_begins_after_its_answer():
    """The sidecar reads of the drain between its answer and the arrival of the flow."""
    scene = world.World(zones=("a",), upstreams=2, balancers=1)
    first = scene.caller()
    scene.run(world.DELAY_MS + 1)
    drain(scene, "a", nodes=scene.sidecars)
    scene.run(50)
    assert not any(first.flow in node.upstream.opened for node in scene.sidecars)


def test_a_balancer_queries_no_sidecar_of_a_drained_zone():
    scene = world.World()
    drain(scene, "a", nodes=scene.balancers)
    scene.sent.clear()
    assert zones_of(scene, open_many(scene)) == {"b"}
    inside = {node.address for node in scene.sidecars if node.zone == "a"}
    answers = [source for _, source, message in scene.sent if isinstance(message, messages.Answer)]
    assert not inside.intersection(answers)


def test_a_zone_gets_flows_again_after_its_drain():
    scene = world.World()
    drain(scene, "a")
    open_many(scene)
    drain(scene)
    assert zones_of(scene, open_many(scene, first=43_000)) == {"a", "b"}


def test_a_new_flow_is_reset_at_once_while_every_zone_is_drained():
    """Waiting for an upstream that accepts the flow would use up the caller's time."""
    scene = world.World()
    drain(scene, "a", "b")
    caller = scene.caller()
    scene.run(10)
    assert caller.resets == 1


@pytest.mark.parametrize("zones", [("nowhere",), tuple(f"zone-{n}" for n in range(1_000))])
def test_drained_zones_without_upstreams_change_nothing(zones):
    scene = world.World()
    drain(scene, *zones)
    assert zones_of(scene, open_many(scene)) == {"a", "b"}
