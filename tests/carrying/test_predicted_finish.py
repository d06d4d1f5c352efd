"""Placement by predicted finish: alike, slow and unknown upstreams, and load to carry."""

import random

import pytest

from ebonystile.core.carrying import fleet, messages, packet, placing, predicting, routes
from tests.carrying import loaded, world

OBJECTIVE_MS = 500
WORK_MS = 40
WARM_UP_MS = 2_000
UPSTREAMS = 8
CAPACITY_PER_S = 1_000 / WORK_MS * 2
"""Requests per second that one upstream of normal speed completes on its two slots."""

STATED = routes.RequestTraits(routes.RequestKind.IDEMPOTENT, OBJECTIVE_MS, 5_000)


def upstream(number, zone="a", **fields):
    return fleet.make_upstream(f"u{number}", 1, "s", (f"10.0.1.{number}", 1), zone, 2, **fields)


def chosen(*loads, requests=STATED, now=0, **fields):
    made = [(upstream(n, **fields), load) for n, load in enumerate(loads)]
    return placing.pick_best(placing.compare_candidates(made, "a", now, requests)).upstream.name


@pytest.mark.parametrize("latency", [0, 40])
def test_alike_upstreams_are_chosen_as_without_an_objective(latency):
    """Otherwise an objective would change the spread where there is nothing to gain."""
    varied = random.Random(1)
    for _ in range(500):
        loads = [
            messages.Load(
                running=varied.randrange(6), flows=varied.randrange(40), slots=2, latency=latency
            )
            for _ in range(8)
        ]
        assert chosen(*loads) == chosen(*loads, requests=routes.NO_TRAITS)


def test_a_queue_at_a_fast_upstream_is_preferred_to_a_free_slot_at_a_slow_one():
    load = messages.Load
    fast, slow = load(2, 0, 2, latency=40), load(0, 0, 2, latency=90)
    assert chosen(slow, fast) == "u1"
    assert chosen(slow, load(5, 0, 2, latency=40)) == "u0"
    assert chosen(slow, fast, requests=routes.NO_TRAITS) == "u0"


def test_small_differences_of_the_service_time_leave_the_choice_to_the_rank():
    """Many balancers with the same answers would otherwise all choose the same upstream."""
    load = messages.Load
    assert chosen(load(0, 0, 2, latency=45), load(0, 0, 2, latency=40)) == "u0"
    assert chosen(load(0, 0, 2, latency=55), load(0, 0, 2, latency=40)) == "u1"


def test_an_upstream_of_unknown_service_time_counts_as_the_median():
    """A sidecar that has restarted has no averages, and its upstream must still get its share."""
    load = messages.Load
    unknown = load(0, 0, 2)
    assert chosen(unknown, load(0, 0, 2, latency=40), load(0, 0, 2, latency=40)) == "u0"
    assert chosen(load(1, 0, 2), load(0, 0, 2, latency=40)) == "u1"
    assert chosen(load(3, 0, 2), load(0, 0, 2, latency=40), load(0, 0, 2, latency=90)) == "u1"
    assert chosen(load(0, 0, 2, latency=90), unknown, load(1, 0, 2, latency=40)) == "u1"


def test_without_any_known_service_time_a_share_of_the_objective_stands_for_it():
    unknown = messages.Load(3, 0, 2)
    candidate = placing.compare_candidates([(upstream(1), unknown)], "a", 0, STATED)[0]
    assert candidate.wait_ms == predicting.UNKNOWN_SHARE * OBJECTIVE_MS


def test_failing_cold_and_unresponsive_upstreams_come_last_with_an_objective():
    """An upstream with a gray failure answers what it answers fast, and looks idle."""
    load = messages.Load
    busy = load(2, 0, 2, latency=40)
    assert chosen(load(0, 0, 2, latency=40, success_rate=0.5), busy) == "u1"
    assert chosen(load(0, 0, 2, latency=40, unresponsive=True), busy) == "u1"
    assert chosen(load(0, 0, 2, latency=40, full=True), busy) == "u1"
    warm, cold = upstream(1), upstream(2, slow_start_until=1_000)
    idle = load(0, 0, 2, latency=40)
    made = placing.compare_candidates([(cold, idle), (warm, idle)], "a", 0, STATED)
    assert placing.pick_best(made).upstream is warm


def test_only_answers_about_routes_with_an_objective_give_the_service_time():
    """Deployments that state no objective are served as before, queues included in the latency."""
    scene = loaded.DemandWorld(0, WORK_MS, upstreams=1, balancers=1)
    core, now = scene.sidecars[0].core, scene.now
    flow = packet.endpoint_of("100.64.0.7", 1) + packet.endpoint_of(*world.ROUTE)
    stats = core.table.request_stats
    stats.latency = 90.0
    assert core.make_answer(flow, 0, now).load.latency == 90
    scene.set_requests(STATED)
    core.on_tick(now)
    stats.service_times.record(packet.route_endpoint(flow), 40, now)
    assert core.make_answer(flow, 0, now).load.latency == 40
    assert core.load(now).latency == 90


def play_uneven_speeds(seed, slowness):
    """Return a world whose upstreams got 80% of their capacity for 10 s."""
    scene = loaded.DemandWorld(OBJECTIVE_MS, WORK_MS, seed=seed, upstreams=UPSTREAMS, balancers=6)
    for node, factor in zip(scene.sidecars, slowness, strict=True):
        scene.slowness[node.address] = factor
    capacity_per_s = sum(CAPACITY_PER_S / factor for factor in slowness)
    scene.demand(0.8 * capacity_per_s, "a", scene.now + 10_000)
    scene.run(12_000)
    return scene


@pytest.mark.parametrize("seed", [3, 4])
def test_slow_upstreams_cost_little_at_four_fifths_of_the_capacity(seed):
    """Spread by the number of requests, a quarter of them would wait at the slow upstreams."""
    uneven = play_uneven_speeds(seed, [2] * 2 + [1] * 6)
    even = play_uneven_speeds(seed, [UPSTREAMS / 7] * UPSTREAMS)
    since = uneven.made[0].started_at + WARM_UP_MS
    assert uneven.p99_ms(since) <= 1.5 * even.p99_ms(since)


def shares_by_second(scene, name, seconds, start):
    """Return the share of the new flows that an upstream got in each second, in percent."""
    shares = []
    for second in range(seconds):
        since = start + 1_000 * second
        placed = scene.placements(since, since + 1_000)
        shares.append(100 * placed.count(name) / len(placed))
    return shares


def test_a_slowed_upstream_gets_less_work_at_once_and_its_share_back_afterwards():
    """Two routes whose work differs eightfold hide the slowdown in a mean over all requests."""
    long_ms, short_ms = 80, 10
    scene = loaded.DemandWorld(
        OBJECTIVE_MS, long_ms, short_ms, seed=2, upstreams=UPSTREAMS, balancers=6
    )
    start = scene.now
    per_s = 0.6 * 2 * UPSTREAMS * 1_000 / (long_ms + short_ms)
    for place in (world.ROUTE, loaded.SHORT_ROUTE):
        scene.demand(per_s, "a", start + 25_000, place)
    slowed = scene.sidecars[0]
    scene.run(4_000)
    scene.slowness[slowed.address] = 2
    scene.run(7_000)
    scene.slowness[slowed.address] = 1
    scene.run(14_000)
    shares = shares_by_second(scene, scene.entries[slowed.address].name, 25, start)
    usual = sum(shares[:4]) / 4
    assert sum(shares[6:11]) / 5 <= usual / 2
    assert 0.75 * usual <= sum(shares[21:24]) / 3 <= 1.25 * usual
