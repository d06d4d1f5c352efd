"""Placement of new flows: the rating of upstreams, and the spread of simulated arrivals."""

import pytest

from ebonystile.core.carrying import fleet, messages, packet, placing
from tests.carrying import world

ROUTE = packet.endpoint_of(*world.ROUTE)


def upstream(number, zone="a", **fields):
    return fleet.make_upstream(f"u{number}", 1, "s", (f"10.0.1.{number}", 1), zone, 2, **fields)


def flow(port):
    return packet.endpoint_of("100.64.0.7", port) + ROUTE


def chosen(*loads, now=0, **fields):
    made = [(upstream(n, **fields), load) for n, load in enumerate(loads)]
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
    """A slow upstream looks idle between its requests and must not attract new flows."""
    load = messages.Load
    slow = load(0, 10, 1, latency=200)
    assert chosen(slow, load(1, 10, 1, latency=40), load(2, 10, 1, latency=41)) == "u1"
    assert chosen(slow, load(9, 10, 1, latency=40), load(9, 10, 1, latency=41)) == "u0"


def test_varying_request_durations_make_no_upstream_slow():
    load = messages.Load
    assert chosen(load(0, 10, 1, latency=70), load(1, 10, 1, latency=40)) == "u0"


def test_an_upstream_that_lets_half_of_its_requests_hang_comes_last_but_is_not_left_out():
    """An upstream with a gray failure passes its own health check and looks idle."""
    load = messages.Load
    failing = load(0, 10, 1, success_rate=0.5)
    assert chosen(failing, load(1, 10, 1), load(2, 10, 1)) == "u1"
    assert chosen(failing, load(7, 10, 1), load(7, 10, 1)) == "u0"


def test_an_upstream_is_uncongested_only_if_healthy_and_without_queued_requests():
    load = messages.Load
    for answered, is_uncongested in (
        (load(0, 500, 1), True),
        (load(1, 0, 2), True),
        (load(2, 0, 2), True),
        (load(3, 0, 2), False),
        (load(0, 0, 1, success_rate=0.8), False),
        (load(0, 0, 1, unresponsive=True), False),
    ):
        others = [(upstream(2), load(5, 0, 1))]
        candidate = placing.compare_candidates([(upstream(1), answered), *others], "a", 0)[0]
        assert candidate.is_uncongested is is_uncongested


def test_upstreams_of_the_own_zone_are_asked_first_and_all_others_later():
    upstreams = [upstream(n, "ab"[n % 2]) for n in range(10)]
    local, remote = placing.split_by_zone(upstreams, "b")
    first = placing.first_round(flow(1), local)
    assert {u.zone for u in first} == {"b"} and len(first) == 5
    later = placing.later_rounds(flow(1), local, remote)
    assert len(later[0]) == placing.SECOND_ROUND_SIZE
    assert len({u.name for group in (first, *later) for u in group}) == 10
    assert placing.rank_upstreams(flow(1), upstreams, "b")[:5] == first


def test_another_zone_gets_a_flow_only_if_the_own_has_one_more_request_queued():
    load = messages.Load
    local, remote = upstream(1, "a"), upstream(2, "b")

    def taken(local_load, remote_load):
        return placing.pick_best(
            placing.compare_candidates([(local, local_load), (remote, remote_load)], "a", 0)
        ).upstream

    assert taken(load(2, 0, 1), load(1, 0, 1)) is local
    assert taken(load(3, 0, 1), load(1, 0, 1)) is remote
    assert taken(load(1, 0, 1, unresponsive=True), load(4, 0, 1)) is remote


def test_the_ranking_is_the_same_for_all_copies_and_differs_from_flow_to_flow():
    upstreams = [upstream(n) for n in range(8)]
    first = {placing.rank_upstreams(flow(port), upstreams, "a")[0].name for port in range(1, 200)}
    assert placing.rank_upstreams(flow(7), upstreams, "a") == placing.rank_upstreams(
        flow(7), upstreams[::-1], "a"
    )
    assert len(first) == 8


def max_and_min_flows(scene):
    held = [len(node.upstream.flows) for node in scene.sidecars]
    return max(held), min(held)


@pytest.mark.parametrize("count", [24, 96])
def test_flows_that_open_at_the_same_time_are_spread(count):
    """All queries are answered before the first flow arrives, so every upstream looks idle.

    Without a ranking per flow all flows would go to the same upstream.
    """
    scene = world.World(zones=("a",), upstreams=4, balancers=2)
    callers = [scene.caller(40_000 + n, through=scene.balancers[n % 2]) for n in range(count)]
    scene.run(100)
    assert all(caller.open for caller in callers)
    most, fewest = max_and_min_flows(scene)
    assert most <= 2 * count / 4 and fewest >= count / 4 / 3


def test_flows_that_open_one_after_another_are_spread_evenly():
    """Idle flows are balanced by their number, since no requests distinguish the upstreams."""
    scene = world.World(zones=("a",), upstreams=4, balancers=2)
    for number in range(80):
        scene.caller(40_000 + number, through=scene.balancers[number % 2])
        scene.run(200)
    most, fewest = max_and_min_flows(scene)
    assert most - fewest <= 12
