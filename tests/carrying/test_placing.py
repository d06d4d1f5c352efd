"""Where new flows go: played arrivals, and what callers get of it."""

import pytest

from ebonystile.core.carrying import fleet, messages, packet, placing
from tests.carrying import world

ROUTE = packet.end_of(*world.ROUTE)


def upstream(number, zone="a", **known):
    return fleet.make_upstream(f"u{number}", 1, "s", (f"10.0.1.{number}", 1), zone, 2, **known)


def flow(port):
    return packet.end_of("100.64.0.7", port) + ROUTE


def chosen(*loads, now=0, **known):
    made = [(upstream(n, **known), load) for n, load in enumerate(loads)]
    best = placing.pick_best(placing.compare_candidates(made, "a", now))
    return best.upstream.name if best else None


def test_the_least_busy_upstream_is_best_and_a_silent_one_last():
    load = messages.Load
    assert chosen(load(3, 0, 2), load(1, 4, 2), load(unresponsive=True)) == "u1"
    assert chosen(load(unresponsive=True)) == "u0"
    assert chosen(load(9, 9, 2), load(accepting=False)) == "u0"
    assert chosen(load(accepting=False)) is None


def test_an_upstream_that_has_just_started_counts_as_busier():
    load = messages.Load(1, 0, 2)
    warm, cold = upstream(1), upstream(2, slow_start_until=1_000)
    costs = [s.cost for s in placing.compare_candidates([(warm, load), (cold, load)], "a", 500)]
    assert costs[1] > costs[0]
    costs = [s.cost for s in placing.compare_candidates([(warm, load), (cold, load)], "a", 1_000)]
    assert costs[1] == costs[0]


def test_an_idle_upstream_that_takes_five_times_as_long_comes_after_a_busy_one():
    """An upstream turns slow; between its requests it looks idle and would get the next flow."""
    load = messages.Load
    slow = load(0, 10, 1, latency=200)
    assert chosen(slow, load(1, 10, 1, latency=40), load(2, 10, 1, latency=41)) == "u1"
    assert chosen(slow, load(9, 10, 1, latency=40), load(9, 10, 1, latency=41)) == "u0"


def test_requests_that_differ_make_no_upstream_slow():
    load = messages.Load
    assert chosen(load(0, 10, 1, latency=70), load(1, 10, 1, latency=40)) == "u0"


def test_an_upstream_that_lets_half_of_its_requests_hang_comes_last_but_is_not_left_out():
    """A grey upstream fails requests while its own check is good; as it does little, it is idle."""
    load = messages.Load
    grey = load(0, 10, 1, success_rate=0.5)
    assert chosen(grey, load(1, 10, 1), load(2, 10, 1)) == "u1"
    assert chosen(grey, load(7, 10, 1), load(7, 10, 1)) == "u0"


def test_a_sound_upstream_where_one_waits_at_most_ends_the_questions():
    load = messages.Load
    for answered, calm in (
        (load(0, 500, 1), True),
        (load(1, 0, 2), True),
        (load(2, 0, 2), True),
        (load(3, 0, 2), False),
        (load(0, 0, 1, success_rate=0.8), False),
        (load(0, 0, 1, unresponsive=True), False),
    ):
        others = [(upstream(2), load(5, 0, 1))]
        standing = placing.compare_candidates([(upstream(1), answered), *others], "a", 0)[0]
        assert standing.is_uncongested is calm


def test_those_of_the_own_zone_are_asked_first_and_many_others_in_the_end():
    everyone = [upstream(n, "ab"[n % 2]) for n in range(10)]
    near, far = placing.split_by_zone(everyone, "b")
    first = placing.first_round(flow(1), near)
    assert {u.zone for u in first} == {"b"} and len(first) == 5
    later = placing.later_rounds(flow(1), near, far)
    assert len(later[0]) == placing.SECOND_ROUND_SIZE
    assert len({u.name for wave in (first, *later) for u in wave}) == 10
    assert placing.rank_upstreams(flow(1), everyone, "b")[:5] == first


def test_another_zone_takes_a_flow_only_where_a_request_more_waits_in_the_own():
    load = messages.Load
    near, far = upstream(1, "a"), upstream(2, "b")

    def taken(near_load, far_load):
        return placing.pick_best(
            placing.compare_candidates([(near, near_load), (far, far_load)], "a", 0)
        ).upstream

    assert taken(load(2, 0, 1), load(1, 0, 1)) is near
    assert taken(load(3, 0, 1), load(1, 0, 1)) is far
    assert taken(load(1, 0, 1, unresponsive=True), load(4, 0, 1)) is far


def test_the_order_of_asking_is_one_for_all_copies_and_differs_from_flow_to_flow():
    everyone = [upstream(n) for n in range(8)]
    first = {placing.rank_upstreams(flow(port), everyone, "a")[0].name for port in range(1, 200)}
    assert placing.rank_upstreams(flow(7), everyone, "a") == placing.rank_upstreams(
        flow(7), everyone[::-1], "a"
    )
    assert len(first) == 8


def most_and_fewest(scene):
    held = [len(node.upstream.flows) for node in scene.sidecars]
    return max(held), min(held)


@pytest.mark.parametrize("count", [24, 96])
def test_callers_that_come_at_the_same_moment_are_spread(count):
    """After an outage all callers come back within a millisecond.

    Every question is answered before the first flow has arrived, so each upstream looks idle to
    all of them. Without an order of each flow's own all flows went to one upstream of four.
    """
    scene = world.World(zones=("a",), upstreams=4, balancers=2)
    callers = [scene.caller(40_000 + n, through=scene.balancers[n % 2]) for n in range(count)]
    scene.run(100)
    assert all(caller.open for caller in callers)
    most, fewest = most_and_fewest(scene)
    assert most <= 2 * count / 4 and fewest >= count / 4 / 3


def test_callers_that_come_one_after_another_are_spread_evenly():
    """Long flows are balanced by their number where no request tells the upstreams apart."""
    scene = world.World(zones=("a",), upstreams=4, balancers=2)
    for number in range(80):
        scene.caller(40_000 + number, through=scene.balancers[number % 2])
        scene.run(200)
    most, fewest = most_and_fewest(scene)
    assert most - fewest <= 12
