"""What callers get while operators drain an availability zone, and when they take it back."""

import pytest

from ebonystile.core.carrying import messages
from tests.carrying import world

CALLERS = 30


def open_many(scene, count=CALLERS, first=41_000):
    """Return callers of both zones whose flows are open."""
    return [scene.open(first + n, zone="ab"[n % 2]) for n in range(count)]


def drain(scene, *zones, nodes=None):
    """Let nodes, all of them unless named, know that exactly these zones are drained."""
    scene.drained = set(zones)
    scene.known(nodes)


def zones_of(scene, callers):
    return {scene.home_of(caller).zone for caller in callers}


def test_a_drained_zone_gets_no_new_flow_and_no_caller_is_turned_away():
    scene = world.World()
    drain(scene, "a")
    assert zones_of(scene, open_many(scene)) == {"b"}


def test_open_flows_of_a_drained_zone_go_on_also_through_other_processes():
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


def test_a_sidecar_refuses_what_a_balancer_cut_off_from_the_store_sends():
    """A balancer does not know of the drain: its flows go on to another zone without a word."""
    scene = world.World()
    drain(scene, "a", nodes=scene.sidecars)
    callers = open_many(scene)
    assert zones_of(scene, callers) == {"b"}
    assert not any(caller.resets for caller in callers)


def test_a_sidecar_that_learns_of_the_drain_last_refuses_too():
    """The sidecar answered that it takes flows, and hears of the drain before the flow arrives."""
    scene = world.World(zones=("a",), upstreams=2, balancers=1)
    first = scene.caller()
    scene.run(world.DELAY_MS + 1)
    drain(scene, "a", nodes=scene.sidecars)
    scene.run(50)
    assert not any(first.flow in node.upstream.opened for node in scene.sidecars)


def test_a_balancer_that_learns_of_the_drain_first_asks_nobody_there():
    scene = world.World()
    drain(scene, "a", nodes=scene.balancers)
    scene.sent.clear()
    assert zones_of(scene, open_many(scene)) == {"b"}
    inside = {node.address for node in scene.sidecars if node.zone == "a"}
    answers = [source for _, source, message in scene.sent if isinstance(message, messages.Answer)]
    assert not inside.intersection(answers)


def test_a_zone_that_is_taken_back_gets_flows_again():
    scene = world.World()
    drain(scene, "a")
    open_many(scene)
    drain(scene)
    assert zones_of(scene, open_many(scene, first=43_000)) == {"a", "b"}


def test_callers_are_told_at_once_when_every_zone_is_drained():
    """Nobody can take a new flow, so waiting for one would only use up the caller's time."""
    scene = world.World()
    drain(scene, "a", "b")
    caller = scene.caller()
    scene.run(10)
    assert caller.resets == 1


@pytest.mark.parametrize("zones", [("nowhere",), tuple(f"zone-{n}" for n in range(1_000))])
def test_zones_that_nobody_is_in_change_nothing(zones):
    scene = world.World()
    drain(scene, *zones)
    assert zones_of(scene, open_many(scene)) == {"a", "b"}
