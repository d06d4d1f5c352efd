"""Check where opens are passed: only to clearly less loaded siblings, never to unavailable ones."""

import random

import pytest

from ebonystile.core.placing import load, placement
from tests import policy_helpers as given

POLICIES = [
    placement.KeepLocal(),
    placement.RandomUpstream(),
    placement.BoundedLoads(),
    placement.PowerOfTwo(),
    placement.LeastLoaded(),
    placement.Lexicographic(),
]


def choose(own, loads, *, policy=None, count=3, now=0, table=None, flow=b"f" * 16, zone="z"):
    table = table or given.table_of(*loads)
    randomness = random.Random(7)
    policy = policy or placement.PowerOfTwo()
    return placement.choose(policy, flow, own, table, given.endpoints(count, zone), now, randomness)


@pytest.mark.parametrize(
    ("own", "sibling", "passed"),
    [
        pytest.param({}, {}, False, id="equal"),
        pytest.param({"running": 2}, {}, True, id="sufficient gap"),
        pytest.param({"running": 1, "slots": 4}, {"slots": 4}, False, id="gap too small"),
        pytest.param({"running": 4, "slots": 4}, {"running": 2}, False, id="weights from slots"),
        pytest.param({"flows": 100}, {"flows": 80}, True, id="fewer flows, equal work"),
        pytest.param({"flows": 100}, {"flows": 95}, False, id="about as many flows"),
        pytest.param({"flows": 100}, {"flows": 80, "running": 1}, False, id="work before flows"),
        pytest.param({"running": 2}, {"ramp": 250}, False, id="cold sibling"),
        pytest.param({"running": 9}, {"leaving": True}, False, id="leaving sibling"),
        pytest.param({"running": 9}, {"suspected": True}, True, id="panic: all are suspected"),
        pytest.param({"running": 9}, {"connections": 5, "flows": 5}, False, id="full sibling"),
        pytest.param(
            {"leaving": True}, {"running": 9}, True, id="own upstream leaving, no gap needed"
        ),
        pytest.param(
            {"connections": 5, "flows": 5},
            {"running": 9},
            True,
            id="own upstream full, no gap needed",
        ),
        pytest.param({"suspected": True}, {"running": 1}, True, id="own upstream suspected"),
        pytest.param({"ramp": 250}, {}, False, id="cold and idle: one request to warm up"),
        pytest.param({"ramp": 250, "running": 1}, {"running": 1}, True, id="cold and busy"),
    ],
)
def test_power_of_two(own, sibling, passed):
    loads = [given.load_of(f"u{i}", **sibling) for i in range(3)]
    assert (choose(given.load_of(**own), loads) is not None) == passed


def test_suspected_sibling_is_excluded_unless_in_panic_mode():
    loads = [given.load_of("u0", suspected=True), given.load_of("u1"), given.load_of("u2")]
    chosen = {
        choose(
            given.load_of(running=9), loads, policy=placement.RandomUpstream(), flow=bytes([i]) * 16
        )
        for i in range(3)
    }
    assert "u0" not in chosen


def test_leaving_without_any_report_passes_to_an_upstream_of_the_view():
    """Opens must not be refused because no sibling has reported yet."""
    assert choose(given.load_of(leaving=True), []) in {"u0", "u1", "u2"}
    loads = [given.load_of(f"u{i}", leaving=True) for i in range(3)]
    assert choose(given.load_of(leaving=True), loads) is None


def test_zone_is_a_tie_breaker_only():
    own = given.load_of(running=4)
    near = given.load_of("u0", running=1)
    far = given.load_of("u1", running=1, zone="far")
    assert choose(own, [far, near], count=2) == "u0"
    assert choose(own, [given.load_of("u0", running=2), far], count=2) == "u1"


@pytest.mark.parametrize("policy", POLICIES, ids=lambda p: type(p).__name__)
def test_no_policy_passes_to_an_unavailable_sibling(policy):
    own = given.load_of(running=6)
    loads = [
        given.load_of("u0", leaving=True),
        given.load_of("u1", connections=1, flows=1),
        given.load_of("u2", running=3),
    ]
    assert choose(own, loads, policy=policy) in {None, "u2"}
    assert choose(given.load_of(leaving=True), loads, policy=policy) == "u2"
    assert choose(own, [], policy=policy) is None


def count_opens_to_idle(count_sends):
    """Return how many opens the one idle upstream of 7 gets on the basis of one set of reports."""
    randomness = random.Random(1)
    service = given.endpoints(7)
    loads = [given.load_of(e.name, running=0 if e.name == "u0" else 4) for e in service]
    tables = {e.name: given.table_of(*loads) for e in service[1:]}
    sent = 0
    for i in range(200):
        me = service[1 + i % 6].name
        own = given.load_of(me, running=4)
        others = [e for e in service if e.name != me]
        flow = i.to_bytes(16, "big")
        to = placement.choose(placement.PowerOfTwo(), flow, own, tables[me], others, 10, randomness)
        sent += to == "u0"
        if to and count_sends:
            tables[me].record_sent(to, 10)
    return sent


def test_stale_reports_cause_no_herding():
    """The siblings of an idle upstream must not send it all opens between two reports.

    Each stops when its own sends have closed the gap.
    """
    assert count_opens_to_idle(count_sends=False) > 40
    assert 6 <= count_opens_to_idle(count_sends=True) <= 6 * 4


def test_old_report_of_an_idle_sibling_is_discounted():
    """Reports much older than a request must not cause herding on the upstreams idle back then."""
    loads = [given.load_of("u0"), given.load_of("u1", running=4), given.load_of("u2", running=4)]
    own = given.load_of(running=2, latency=100)
    policy = placement.PowerOfTwo(candidates=3)
    assert choose(own, loads, policy=policy, now=0) == "u0"
    assert choose(own, loads, policy=policy, now=1000) is None


def test_unknown_policy_raises_an_error():
    choice = placement.Choice(b"", load.make_candidate(given.load_of()), "z", [], [])
    with pytest.raises(TypeError):
        placement.decide(object(), choice, random.Random(1))
