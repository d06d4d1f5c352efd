"""Demand of twice the capacity: what is served, and when the rest is refused.

Four balancers that share no state place the flows on eight upstreams of two slots, whose requests
take 30 ms. Callers try each request up to three times.
"""

from ebonystile.core.carrying import messages, opening
from tests.carrying import loaded, retrying, test_overloaded

UPSTREAMS, BALANCERS = 8, 4
CAPACITY_PER_S = UPSTREAMS * 2 * 1_000 // loaded.REQUEST_MS
LOAD_MS = 2_000
OBJECTIVE_MS, TIMEOUT_MS = retrying.TRAITS.objective_ms, retrying.TRAITS.timeout_ms


def make_scene():
    return retrying.RetryingWorld(upstreams=UPSTREAMS, balancers=BALANCERS)


def demand_evenly(scene, per_s, **where):
    """Start requests of 20 callers for the duration of the load."""
    for number in range(20):
        scene.demand(per_s // 20, LOAD_MS, host=f"100.64.1.{number + 1}", **where)


def share_served(outcomes, within_ms):
    """Return the share of the requests that were served within a time limit."""
    return sum(outcome.is_served(within_ms) for outcome in outcomes) / len(outcomes)


def test_at_twice_the_capacity_the_capacity_is_served_in_time():
    scene = make_scene()
    demand_evenly(scene, 2 * CAPACITY_PER_S)
    scene.run(LOAD_MS + TIMEOUT_MS)
    served = sum(outcome.is_served(TIMEOUT_MS) for outcome in scene.outcomes)
    in_time = sum(outcome.is_served(OBJECTIVE_MS) for outcome in scene.outcomes)
    assert served >= 0.95 * CAPACITY_PER_S * LOAD_MS / 1_000
    assert in_time >= 0.95 * CAPACITY_PER_S * LOAD_MS / 1_000


def test_at_twice_the_capacity_flows_are_refused_within_50_ms():
    """A flow that waited is refused at the end of its wait, which is counted from there."""
    scene = make_scene()
    demand_evenly(scene, 2 * CAPACITY_PER_S)
    scene.run(LOAD_MS + TIMEOUT_MS)
    at_once = [delay for delay in scene.reset_delays if delay <= 50]
    assert len(at_once) >= 0.95 * len(scene.reset_delays) > 0
    assert len(at_once) >= 0.5 * CAPACITY_PER_S
    assert max(scene.reset_delays) <= OBJECTIVE_MS + 50


def test_no_request_runs_twice_and_none_is_shed_at_twice_the_capacity():
    scene = make_scene()
    demand_evenly(scene, 2 * CAPACITY_PER_S)
    scene.run(LOAD_MS + TIMEOUT_MS)
    assert test_overloaded.count_shed(scene.callers.values()) == 0
    ran = sum(len(node.upstream.ran) for node in scene.sidecars)
    assert ran == sum(outcome.answered_at is not None for outcome in scene.outcomes)


def test_high_priority_is_served_first_at_twice_the_capacity():
    scene = make_scene()
    demand_evenly(scene, CAPACITY_PER_S * 3 // 2)
    demand_evenly(scene, CAPACITY_PER_S // 2, route=retrying.URGENT_ROUTE)
    scene.run(LOAD_MS + TIMEOUT_MS)
    urgent = [o for o in scene.outcomes if o.route == retrying.URGENT_ROUTE]
    others = [o for o in scene.outcomes if o.route != retrying.URGENT_ROUTE]
    assert share_served(urgent, OBJECTIVE_MS) >= 0.95
    assert 0.2 <= share_served(others, TIMEOUT_MS) <= 0.6


def test_a_caller_with_twenty_flows_does_not_starve_one_with_one():
    """Both share one balancer; the greedy caller alone demands twice the capacity."""
    scene = retrying.RetryingWorld(upstreams=UPSTREAMS, balancers=1)
    scene.demand(2 * CAPACITY_PER_S, LOAD_MS, host="100.64.1.1")
    scene.demand(2 * CAPACITY_PER_S // 20, LOAD_MS, host="100.64.1.2")
    scene.run(LOAD_MS + TIMEOUT_MS)
    modest = [o for o in scene.outcomes if o.host == "100.64.1.2"]
    greedy = [o for o in scene.outcomes if o.host == "100.64.1.1"]
    assert share_served(modest, OBJECTIVE_MS) >= 0.95
    assert 0.35 <= share_served(greedy, TIMEOUT_MS) <= 0.7


def test_waiting_flows_add_few_queries_at_twice_the_capacity():
    """The queries are those of new flows, and of one flow for each balancer and step.

    The allowance of a half is for flows that query once more, as a copy may have been opened.
    """
    scene = make_scene()
    scene.sent.clear()
    demand_evenly(scene, 2 * CAPACITY_PER_S)
    scene.run(LOAD_MS + TIMEOUT_MS)
    asked = sum(isinstance(message, messages.Ask) for _, _, message in scene.sent)
    flows = len(scene.callers)
    steps = BALANCERS * (LOAD_MS + TIMEOUT_MS) / opening.DEFER_STEP_MS
    assert asked <= UPSTREAMS * (flows + 1.5 * steps)


def test_below_the_capacity_no_flow_is_refused():
    scene = make_scene()
    demand_evenly(scene, CAPACITY_PER_S * 8 // 10)
    scene.run(LOAD_MS + TIMEOUT_MS)
    assert not scene.events("refused")
    assert share_served(scene.outcomes, OBJECTIVE_MS) == 1.0
